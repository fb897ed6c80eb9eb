package bench

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"time"

	"arrowwalk/internal/membership/trust"
)

// The modelled site and day of Kept: discovery is away for the day's first
// hour, from the moment that the host starts.
const (
	keptBricks = 42
	keptDay    = 24 * time.Hour
	keptAway   = time.Hour
	keptEvery  = 10 * time.Second // one request to each shard so often
	keptRuns   = 40
	// Of the bricks that changed, this part left an address at which another
	// brick listens now; of the rest half refuse and half swallow packets.
	keptTaken = 0.3
)

// KeptRow is how a day goes for hosts that start with a list of one age, at a
// site whose bricks change at one rate.
type KeptRow struct {
	Rate   float64 // changes a brick and day
	Age    time.Duration
	Wait   float64 // part of the day's requests served by who waits for discovery
	Blind  float64 // by who takes the list for the truth,
	Wrong  float64 // and of a thousand requests, those that reached a wrong brick
	Lost   float64 // or nobody, which costs their clients the whole wait
	Trust  float64 // by who asks bricks who they are before it believes the list,
	TWrong float64 // and of a thousand requests, those that reached a wrong brick
	TLost  float64 // or nobody
}

// brickFate is what became of a brick that a kept list names.
type brickFate int

const (
	fateSame brickFate = iota
	fateTaken
	fateRefuses
	fateSwallows
)

// Kept runs the model with the real decisions of trust, seeded: the same seed
// gives the same rows.
func Kept(seed int64) []KeptRow {
	var rows []KeptRow
	for _, rate := range []float64{0.01, 0.1, 1} {
		for _, age := range []time.Duration{time.Minute, time.Hour, 24 * time.Hour} {
			row := KeptRow{Rate: rate, Age: age}
			rnd := rand.New(rand.NewSource(seed))
			for range keptRuns {
				row.add(keptRun(rnd, rate, age))
			}
			rows = append(rows, row)
		}
	}
	return rows
}

func (r *KeptRow) add(one KeptRow) {
	const n = float64(keptRuns)
	r.Wait += one.Wait / n
	r.Blind += one.Blind / n
	r.Wrong += one.Wrong / n
	r.Lost += one.Lost / n
	r.Trust += one.Trust / n
	r.TWrong += one.TWrong / n
	r.TLost += one.TLost / n
}

// changeAt draws when a brick changes next.
func changeAt(rnd *rand.Rand, rate float64) time.Duration {
	days := rnd.ExpFloat64() / rate
	return time.Duration(math.Min(days*24, 1e5) * float64(time.Hour))
}

func drawFate(rnd *rand.Rand) brickFate {
	switch x := rnd.Float64(); {
	case x < keptTaken:
		return fateTaken
	case x < keptTaken+(1-keptTaken)/2:
		return fateRefuses
	}
	return fateSwallows
}

// keptRun is one host's start: every shard gets one request each keptEvery.
func keptRun(rnd *rand.Rand, rate float64, age time.Duration) KeptRow {
	type brick struct {
		id      trust.Identity
		changes time.Duration // since the host's start; before it if negative
		fate    brickFate
	}
	bricks := make([]brick, keptBricks)
	ids, ages := []trust.Identity{}, map[string]time.Duration{}
	for i := range bricks {
		bricks[i] = brick{trust.Identity{Name: fmt.Sprint(i), Shard: i}, changeAt(rnd, rate) - age, drawFate(rnd)}
		ids = append(ids, bricks[i].id)
		ages[bricks[i].id.Name] = age
	}
	// What the host learned in 30 days before.
	learned := trust.ChangeRate{Changes: rate * 30 * keptBricks, BrickHours: 30 * 24 * keptBricks}
	doubts := trust.NewVerifier(ids, ages, learned)
	var row KeptRow
	total := 0.0
	for now := time.Duration(0); now < keptDay; now += keptEvery {
		total += keptBricks
		if now >= keptAway { // discovery is back: all is known
			row.Wait += keptBricks
			row.Blind += keptBricks
			row.Trust += keptBricks
			continue
		}
		fate := func(b *brick) brickFate {
			if b.changes > now {
				return fateSame
			}
			return b.fate
		}
		for {
			ask := doubts.StartProbes(now, 16)
			if len(ask) == 0 {
				break
			}
			for _, id := range ask {
				doubts.Observe(id.Name, evidenceOf(fate(&bricks[id.Shard])), 0, now)
			}
		}
		for i := range bricks {
			b := &bricks[i]
			f := fate(b)
			switch f {
			case fateSame:
				row.Blind++
			case fateTaken:
				row.Wrong++
			default:
				row.Lost++
			}
			if e, _ := doubts.Entry(b.id.Name); !trust.MayServe(e.Level) {
				continue // refused at once
			}
			switch f {
			case fateSame:
				row.Trust++
			case fateTaken: // it reached another brick
				row.TWrong++
			default:
				row.TLost++
			}
			doubts.Observe(b.id.Name, evidenceOf(f), 0, now)
		}
	}
	row.Wait, row.Blind, row.Trust = row.Wait/total, row.Blind/total, row.Trust/total
	row.Wrong, row.Lost = row.Wrong/total*1000, row.Lost/total*1000
	row.TWrong, row.TLost = row.TWrong/total*1000, row.TLost/total*1000
	return row
}

func evidenceOf(f brickFate) trust.Observation {
	return [...]trust.Observation{trust.Answered, trust.WrongBrick, trust.ConnRefused, trust.TimedOut}[f]
}

// KeptMarkdown writes the rows as a table.
func KeptMarkdown(rows []KeptRow) string {
	var b strings.Builder
	b.WriteString("| changes a brick and day | age of the list | waiting: served | blind: served | blind: at a wrong brick, of 1,000 | blind: at nobody, of 1,000 | trust: served | trust: at a wrong brick, of 1,000 | trust: at nobody, of 1,000 |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %g | %s | %.2f%% | %.2f%% | %.3f | %.3f | %.2f%% | %.3f | %.3f |\n", r.Rate, r.Age, 100*r.Wait, 100*r.Blind,
			r.Wrong, r.Lost, 100*r.Trust, r.TWrong, r.TLost)
	}
	return b.String()
}
