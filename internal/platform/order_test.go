package platform

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	standin "arrowwalk/internal/standin/platform"
)

// orderPair is two writes with one key, of which the first is sent during a stall well
// before the second.
type orderPair struct{ first, second string }

// arrivalGap is how long before the second request of a pair the first is sent. It is
// far above the resolution of the kernel's arrival times.
const arrivalGap = 100 * time.Millisecond

// Guards against a host that was stalled and sent requests with one key in the order in
// which its goroutines found them on their connections.
func TestOrderAfterAStall(t *testing.T) {
	log := standin.NewLog()
	h := startChildHostWithBrick(t, log, time.Millisecond, `"windowUs":4000000`, `"windowUs":4000000,"sequential":true`)
	const rounds, keys = 3, 8
	var pairs []orderPair
	for round := range rounds {
		h.signal(syscall.SIGSTOP)
		var clients sync.WaitGroup
		send := func(name string, key int) {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c := &standin.Client{Name: name, Addr: func() string { return h.addr }, Log: log}
				defer c.Close()
				c.Do(&standin.Request{Class: "save-paper", Volume: 7, Piece: uint64(round*keys + key), Plan: "basic", Units: 1, Hosts: 1,
					Write: true, Body: name, Wait: childHostPatience})
			}()
		}
		for key := range keys {
			pair := orderPair{fmt.Sprintf("first-%d-%d-", round, key), fmt.Sprintf("second-%d-%d-", round, key)}
			pairs = append(pairs, pair)
			send(pair.first, key)
		}
		<-time.After(arrivalGap)
		for key, pair := range pairs[round*keys:] {
			send(pair.second, key)
		}
		<-time.After(arrivalGap)
		h.signal(syscall.SIGCONT)
		clients.Wait()
	}
	arrivals, _ := log.Trace()
	position := func(client string) int {
		for i := range arrivals {
			if strings.Contains(arrivals[i].Request, client) {
				return i
			}
		}
		return -1
	}
	judged := 0
	for _, pair := range pairs {
		first, second := position(pair.first), position(pair.second)
		if first < 0 || second < 0 { // refused, as on a busy machine
			continue
		}
		judged++
		if first > second {
			t.Errorf("%s was sent before %s, which arrived %s earlier", pair.second, pair.first, arrivalGap)
		}
	}
	if judged < len(pairs)/2 {
		t.Errorf("only %d of %d pairs reached the brick", judged, len(pairs))
	}
}
