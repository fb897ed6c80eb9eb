package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
)

// Guards against a gateway that was stalled and stored writes of one object in the order
// in which its goroutines found them on their connections.
func TestServeKeepsOrderAfterAStall(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dir := t.TempDir()
	site := bricks.NewLogged(dir, dir, 4*time.Second, bricks.Cold{})
	defer site.Close()
	brick, err := site.Start("b", "zone-a", 0, "b", false)
	if err != nil {
		t.Fatal(err)
	}
	s := startServeProcess(ctx, t, brick.Entry("").Address)
	// arrivalGap is far above the resolution of the kernel's arrival times.
	const rounds, objects, arrivalGap = 3, 8, 100 * time.Millisecond
	judged := 0
	for round := range rounds {
		s.signal(syscall.SIGSTOP)
		var writers sync.WaitGroup
		stored := make([][2]bool, objects)
		put := func(object, order int, body string) {
			writers.Add(1)
			go func() {
				defer writers.Done()
				c := s.client(order*objects + object)
				defer c.Close()
				a := c.Do(&clients.Request{Method: "PUT", Path: fmt.Sprintf("/papers/%d-%d", round, object), Body: []byte(body), Wait: 10 * time.Second})
				stored[object][order] = a.Call.Status == 200
			}()
		}
		for order, body := range []string{"first", "second"} {
			for object := range objects {
				put(object, order, body)
			}
			<-time.After(arrivalGap)
		}
		s.signal(syscall.SIGCONT)
		writers.Wait()
		reader := s.client(0)
		for object := range objects {
			if stored[object] != [2]bool{true, true} { // refused, as on a busy machine
				continue
			}
			a := reader.Do(&clients.Request{Method: "GET", Path: fmt.Sprintf("/papers/%d-%d", round, object), Wait: 10 * time.Second})
			if a.Call.Status != 200 {
				continue
			}
			judged++
			if string(a.Body) != "second" {
				t.Errorf("round %d, object %d: %q is stored, which arrived %s before the other", round, object, a.Body, arrivalGap)
			}
		}
		reader.Close()
	}
	if judged < rounds*objects/2 {
		t.Errorf("only %d of %d objects were written twice and read", judged, rounds*objects)
	}
	s.signal(syscall.SIGTERM)
	for s.log.Scan() {
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("the gateway ended with %v", err)
	}
}
