package platform

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	standin "arrowwalk/internal/standin/platform"
)

// BenchmarkHostCPU measures the processor time of a host per request, with and without
// order, on a calm day and with a stall of 0.2 s each second. An operation is a request.
func BenchmarkHostCPU(b *testing.B) {
	for _, ordered := range []bool{false, true} {
		for _, stalls := range []bool{false, true} {
			b.Run(fmt.Sprintf("ordered=%v/stalls=%v", ordered, stalls), func(b *testing.B) { benchmarkHostCPU(b, ordered, stalls) })
		}
	}
}

func benchmarkHostCPU(b *testing.B, ordered, stalls bool) {
	log := standin.NewLog()
	h := startChildHostWithBrick(b, log, time.Millisecond, `"windowUs":4000000`, fmt.Sprintf(`"windowUs":4000000,"sequential":%v`, ordered))
	const clients = 24
	var running sync.WaitGroup
	requests := make(chan int)
	for n := range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			c := &standin.Client{Name: fmt.Sprintf("c%d-", n), Addr: func() string { return h.addr }, Log: log}
			defer c.Close()
			for i := range requests {
				c.Do(&standin.Request{Class: "save-paper", Volume: 7, Piece: uint64(i), Plan: "basic", Units: 1, Hosts: 1, Write: true, Body: "text", Wait: childHostPatience})
			}
		}()
	}
	second := time.NewTicker(time.Second)
	defer second.Stop()
	b.ResetTimer()
	for i := 0; i < b.N; {
		select {
		case requests <- i:
			i++
		case <-second.C:
			if stalls {
				h.signal(syscall.SIGSTOP)
				<-time.After(200 * time.Millisecond)
				h.signal(syscall.SIGCONT)
			}
		}
	}
	close(requests)
	running.Wait()
	b.StopTimer()
	h.signal(syscall.SIGTERM)
	h.line()
	if err := h.cmd.Wait(); err != nil {
		b.Fatal(err)
	}
	used := h.cmd.ProcessState.UserTime() + h.cmd.ProcessState.SystemTime()
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/request")
}
