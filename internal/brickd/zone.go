package brickd

import (
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/store/admission"
)

// Zone is the memory of keyed writes that the bricks of a zone share: a repeat
// within the window is dropped and gets the first answer again.
type Zone struct {
	Name   string
	Window time.Duration

	mu   sync.Mutex
	seen map[string]*once
	old  []*once // in order of arrival
}

// once is a keyed write and its answer.
type once struct {
	key   string
	at    time.Time
	done  chan struct{}
	reply reply
}

// NewZone returns a zone's memory with the given window.
func NewZone(window time.Duration) *Zone {
	return &Zone{Window: window, seen: map[string]*once{}}
}

// once does a keyed write, or waits for its first run and returns that answer.
// What failed before it had an effect may be tried anew.
func (z *Zone) once(key string, do func() *reply) *reply {
	now := time.Now()
	z.mu.Lock()
	for len(z.old) > 0 && now.Sub(z.old[0].at) > z.Window {
		if o := z.old[0]; z.seen[o.key] == o {
			delete(z.seen, o.key)
		}
		z.old = z.old[1:]
	}
	if o := z.seen[key]; o != nil {
		z.mu.Unlock()
		<-o.done
		r := o.reply
		r.repeat = true
		return &r
	}
	o := &once{key: key, at: now, done: make(chan struct{})}
	z.seen[key] = o
	z.old = append(z.old, o)
	z.mu.Unlock()
	r := do()
	o.reply = *r
	if r.status >= 400 && r.status != 404 && r.status != 412 {
		z.mu.Lock()
		if z.seen[key] == o {
			delete(z.seen, key)
		}
		z.mu.Unlock()
	}
	close(o.done)
	return r
}

// Meter adds up what volumes are served by all bricks and tells it late: the
// rate of the period before the last finished one.
type Meter struct {
	period time.Duration
	mu     sync.Mutex
	from   time.Time
	now    map[uint64]float64
	last   map[uint64]float64
	told   map[uint64]float64
}

// NewMeter returns a meter with the given period.
func NewMeter(period time.Duration) *Meter {
	return &Meter{period: period, from: time.Now(), now: map[uint64]float64{}}
}

// Served counts units of a volume and returns its told rate in units a second.
func (m *Meter) Served(volume uint64, units float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if past := time.Since(m.from); past >= m.period {
		m.told, m.last, m.now = m.last, m.now, map[uint64]float64{}
		if past >= 3*m.period {
			m.told, m.last = nil, nil
		}
		m.from = time.Now()
	}
	m.now[volume] += units
	return m.told[volume] / m.period.Seconds()
}

// hostMeter tells each host what a brick served a volume through other hosts
// since it last told it.
type hostMeter struct {
	mu      sync.Mutex
	volumes map[uint64]*volumeUse
}

type volumeUse struct {
	last  time.Time
	total float64
	own   map[int]float64 // by host: what it had through itself
	told  map[int]float64 // and what it was told of others
}

const (
	volumesMost = 4096 // volumes kept; the idle ones go first
	hostsMost   = 1024
)

func (m *hostMeter) served(volume uint64, host int, units float64) float64 {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.volumes[volume]
	if v == nil {
		m.trim(now)
		v = &volumeUse{own: map[int]float64{}, told: map[int]float64{}}
		if m.volumes == nil {
			m.volumes = map[uint64]*volumeUse{}
		}
		m.volumes[volume] = v
	}
	v.last = now
	if _, known := v.own[host]; !known {
		if len(v.own) >= hostsMost {
			return 0
		}
		v.told[host] = v.total // what came before it was known is not news
	}
	v.total += units
	v.own[host] += units
	others := v.total - v.own[host] - v.told[host]
	v.told[host] += others
	return others
}

func (m *hostMeter) trim(now time.Time) {
	if len(m.volumes) < volumesMost {
		return
	}
	for id, v := range m.volumes {
		if now.Sub(v.last) > time.Minute || len(m.volumes) >= 2*volumesMost {
			delete(m.volumes, id)
		}
	}
}

// busyMeter measures util: the part of the workers' time that was busy in the
// last finished period of 100 ms.
type busyMeter struct {
	mu      sync.Mutex
	workers int
	running int
	since   time.Time // of the last change
	from    time.Time // of the period
	spent   time.Duration
	util    atomic.Int64 // parts of 1000
}

const busyPeriod = 100 * time.Millisecond

func (b *busyMeter) init(workers int) {
	b.workers, b.since, b.from = workers, time.Now(), time.Now()
}

func (b *busyMeter) change(by int) {
	now := time.Now()
	b.mu.Lock()
	b.spent += time.Duration(b.running) * now.Sub(b.since)
	b.since = now
	b.running += by
	if span := now.Sub(b.from); span >= busyPeriod {
		b.util.Store(int64(1000 * b.spent / (span * time.Duration(b.workers))))
		b.from, b.spent = now, 0
	}
	b.mu.Unlock()
}

func (b *busyMeter) begin() { b.change(1) }
func (b *busyMeter) end()   { b.change(-1) }

// appendLoad appends the load report in ORCA's text form.
func (s *Server) appendLoad(b []byte) []byte {
	util := int64(1000 * admission.ReportedUtilization(float64(s.busy.util.Load())/1000, s.dir.CommitStats()))
	b = append(b, brick.HeaderLoad...)
	b = append(b, ": TEXT cpu_utilization="...)
	b = append(b, byte('0'+min(util/1000, 9)), '.', byte('0'+util/100%10), byte('0'+util/10%10), byte('0'+util%10))
	return append(b, "\r\n"...)
}
