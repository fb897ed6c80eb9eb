package arrivalorder

import (
	"slices"
	"testing"
)

// permutations calls visit with every order of items.
func permutations(items []int, visit func([]int)) {
	var extend func(done int)
	extend = func(done int) {
		if done == len(items) {
			visit(items)
			return
		}
		for i := done; i < len(items); i++ {
			items[done], items[i] = items[i], items[done]
			extend(done + 1)
			items[done], items[i] = items[i], items[done]
		}
	}
	extend(0)
}

// In whatever order sources are read, requests are released in order of arrival, and
// not before all sources are read.
func TestReleaseIsInOrderOfArrival(t *testing.T) {
	const requests = 6
	want := []int{0, 1, 2, 3, 4, 5}
	permutations(slices.Clone(want), func(order []int) {
		var c Collector[int, int]
		c.Begin(0, 500, 1000)
		for source := range requests + 1 { // the last one turns out to hold no request
			c.AddSource(source)
		}
		for i, request := range order {
			if !c.Hold(request, int64(request)) {
				t.Fatalf("%v: request %d is not held", order, request)
			}
			c.RemoveSource(request)
			if got, ok := c.Release(500); ok {
				t.Fatalf("%v: %v released with %d sources unread", order, got, requests-i)
			}
		}
		c.RemoveSource(requests)
		if got, ok := c.Release(500); !ok || !slices.Equal(got, want) {
			t.Fatalf("%v: released %v, %v", order, got, ok)
		}
		if c.Hold(7, 0) || c.Collecting() {
			t.Fatalf("%v: requests are held after the release", order)
		}
	})
}

// A source that is never read holds requests until the deadline, a later stall extends
// it, and a withdrawn request is not released.
func TestReleaseIsBounded(t *testing.T) {
	var c Collector[string, int]
	if c.Hold(1, 0) {
		t.Error("a request is held before there was a stall")
	}
	c.AddSource("before") // has no effect
	c.Begin(0, 50, 100)
	c.AddSource("slow")
	c.Hold(1, 30)
	c.Hold(2, 20)
	c.Hold(3, 20)
	c.Hold(4, 10)
	if _, ok := c.Release(99); ok {
		t.Error("requests are released before the deadline with a source unread")
	}
	c.Begin(150, 100, 100)
	if _, ok := c.Release(199); ok || c.Deadline() != 200 {
		t.Errorf("a second stall left the deadline at %d", c.Deadline())
	}
	if !c.Withdraw(4) || c.Withdraw(4) {
		t.Error("a held request is not withdrawn exactly once")
	}
	if got, ok := c.Release(200); !ok || !slices.Equal(got, []int{2, 3, 1}) {
		t.Errorf("released %v, %v", got, ok)
	}
	if _, ok := c.Release(200); ok {
		t.Error("nothing is collected, and requests are released")
	}
}
