// Package arrivals generates the send times of an open-loop load, in which
// requests are sent when they are due whatever became of earlier ones. It is
// pure; its random sources are seeded by the caller.
package arrivals

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Source generates arrival times. Sources are not safe for concurrent use.
type Source interface {
	// Next returns the next time since the start, in ascending order, or false if
	// there are no more.
	Next() (time.Duration, bool)
}

// Poisson is a Poisson process of constant rate.
type Poisson struct {
	rate   float64 // arrivals per second
	end    time.Duration
	at     float64
	random *rand.Rand
}

// NewPoisson returns arrivals at rate per second until end.
func NewPoisson(rate float64, end time.Duration, seed uint64) *Poisson {
	return &Poisson{rate: rate, end: end, random: rand.New(rand.NewPCG(seed, 21))}
}

// Next returns the next arrival time, or false after the end.
func (p *Poisson) Next() (time.Duration, bool) {
	p.at += p.random.ExpFloat64() / p.rate
	at := time.Duration(p.at * float64(time.Second))
	return at, at < p.end
}

// Bursts is a Poisson process with a high rate at the start of each period and
// a low rate in the rest of it.
type Bursts struct {
	highRate, lowRate float64
	burst, period     float64
	end               time.Duration
	at                float64
	random            *rand.Rand
}

// NewBursts returns arrivals with a mean of rate per second until end. The rate
// is factor times the mean for the first burst of each period, and is lowered
// in the rest of the period to keep the mean. factor must be at least 1, and
// factor times burst must not exceed period.
func NewBursts(rate, factor float64, burst, period, end time.Duration, seed uint64) (*Bursts, error) {
	b := &Bursts{highRate: rate * factor, burst: burst.Seconds(), period: period.Seconds(), end: end, random: rand.New(rand.NewPCG(seed, 22))}
	if factor < 1 || burst <= 0 || burst >= period || factor*b.burst > b.period {
		return nil, fmt.Errorf("bursts: %g times the rate for %s of every %s exceeds the mean rate", factor, burst, period)
	}
	b.lowRate = (rate*b.period - b.highRate*b.burst) / (b.period - b.burst)
	return b, nil
}

// Next returns the next arrival time, or false after the end. It draws an
// exponentially distributed amount of intensity and advances until the rate has
// used it up.
func (b *Bursts) Next() (time.Duration, bool) {
	intensity := b.random.ExpFloat64()
	for {
		offset := b.at - float64(int(b.at/b.period))*b.period
		rate, phaseEnd := b.highRate, b.burst
		if offset >= b.burst {
			rate, phaseEnd = b.lowRate, b.period
		}
		remaining := phaseEnd - offset
		if rate > 0 && intensity <= rate*remaining {
			b.at += intensity / rate
			break
		}
		intensity -= rate * remaining
		b.at += remaining + 1e-9
		if b.at > b.end.Seconds() {
			break
		}
	}
	at := time.Duration(b.at * float64(time.Second))
	return at, at < b.end
}

// Trace is a list of recorded arrivals.
type Trace struct {
	times []time.Duration
	next  int
}

// maxTraceArrivals is the largest number of arrivals in a trace.
const maxTraceArrivals = 10_000_000

// ReadTrace reads a trace, with one time per line in milliseconds since the
// start. Empty lines and lines that begin with # are ignored. Errors name the
// line.
func ReadTrace(r io.Reader) (*Trace, error) {
	t := &Trace{}
	lines := bufio.NewScanner(r)
	for line := 1; lines.Scan(); line++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || text[0] == '#' {
			continue
		}
		ms, err := strconv.ParseFloat(text, 64)
		switch {
		case err != nil || !(ms >= 0) || ms > 1e12:
			return nil, fmt.Errorf("trace: line %d: %q is not a time in milliseconds", line, text)
		case len(t.times) == maxTraceArrivals:
			return nil, fmt.Errorf("trace: line %d: more than %d arrivals", line, maxTraceArrivals)
		}
		at := time.Duration(ms * float64(time.Millisecond))
		if len(t.times) > 0 && at < t.times[len(t.times)-1] {
			return nil, fmt.Errorf("trace: line %d: %q is earlier than the line before it", line, text)
		}
		t.times = append(t.times, at)
	}
	return t, lines.Err()
}

// Next returns the next arrival time, or false after the last one.
func (t *Trace) Next() (time.Duration, bool) {
	if t.next == len(t.times) {
		return 0, false
	}
	t.next++
	return t.times[t.next-1], true
}
