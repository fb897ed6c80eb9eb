package stores

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk/internal/store"
	"arrowwalk/internal/store/maintenance"
	"arrowwalk/internal/store/maintpolicy"
)

// Scrub is live work with and without a scrubber beside it, in turns: reads and
// writes of 4 KiB at a fixed rate, the store's bytes read once in Pass. P50 and
// P99 are in microseconds, of all rounds; Ratio is of the P99s.
type Scrub struct {
	Rate, Rounds         int
	Pass                 time.Duration
	Bytes, Read          int64 // stored, and read by the scrubber
	P50, P99             int64 // without it
	P50Beside, P99Beside int64
	Ratio                float64
	PerRound             []float64 // ratio of the P99s of each pair
}

const (
	scrubBlobs  = 20_000 // of 16 KiB
	scrubRate   = 1500   // operations a second; one in ten is a write
	scrubRounds = 6
	scrubRound  = 2 * time.Second
	scrubPass   = 30 * time.Second
	scrubLive   = 16 // what a brick serves at once
)

// beside measures live work beside a scrub.
func beside(opt Options) (*Scrub, error) {
	dir := filepath.Join(opt.Dir, "scrub")
	defer os.RemoveAll(dir)
	s, err := store.Open(dir, store.Options{})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	k := segments{s}
	if _, err := rate(scrubBlobs, 64, func(name string) error { return k.put(name, make([]byte, 16<<10)) }); err != nil {
		return nil, err
	}
	out := &Scrub{Rate: scrubRate, Rounds: scrubRounds, Pass: scrubPass}
	_, out.Bytes = s.Usage()
	var with, without []int64
	for range scrubRounds {
		a, err := live(k, nil)
		if err != nil {
			return nil, err
		}
		var busy atomic.Int64
		tender := maintenance.Start(maintenance.Options{Store: s, ScrubPeriod: scrubPass, CompactionInterval: time.Hour,
			Load: func() maintpolicy.Load { return maintpolicy.Load{Utilization: float64(busy.Load()) / scrubLive} }})
		before := tender.Progress().ReadBytes
		b, err := live(k, &busy)
		out.Read += max(0, tender.Progress().ReadBytes-before)
		tender.Close()
		if err != nil {
			return nil, err
		}
		without, with = append(without, a...), append(with, b...)
		out.PerRound = append(out.PerRound, float64(at(b, 99))/float64(max(at(a, 99), 1)))
	}
	out.P50, out.P99, out.P50Beside, out.P99Beside = at(without, 50), at(without, 99), at(with, 50), at(with, 99)
	out.Ratio = float64(out.P99Beside) / float64(max(out.P99, 1))
	return out, nil
}

func at(list []int64, percent int) int64 {
	slices.Sort(list)
	return list[len(list)*percent/100]
}

// live sends operations at a fixed rate, each when it is due, and returns how
// long after that each was over.
func live(k kv, busy *atomic.Int64) ([]int64, error) {
	n := int(scrubRound.Seconds() * scrubRate)
	took := make([]int64, n)
	due := make(chan int, n)
	began := time.Now()
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	body := make([]byte, 4<<10)
	for w := range 64 {
		rnd := rand.New(rand.NewSource(int64(w)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range due {
				if busy != nil {
					busy.Add(1)
				}
				name := fmt.Sprintf("bucket/object-%08d", rnd.Intn(scrubBlobs))
				err := error(nil)
				if i%10 == 0 {
					err = k.put(name+"-new", body)
				} else {
					err = k.get(name)
				}
				if err != nil {
					failed.Store(&err)
				}
				took[i] = (time.Since(began) - time.Duration(i)*time.Second/scrubRate).Microseconds()
				if busy != nil {
					busy.Add(-1)
				}
			}
		}()
	}
	for i := range n {
		if ahead := time.Duration(i)*time.Second/scrubRate - time.Since(began); ahead > 0 {
			t := time.NewTimer(ahead)
			<-t.C
		}
		due <- i
	}
	close(due)
	wg.Wait()
	if err := failed.Load(); err != nil {
		return nil, *err
	}
	return took, nil
}
