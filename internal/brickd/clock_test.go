package brickd

import (
	"testing"

	"arrowwalk/internal/brick"
)

// A write carries the clock that its host had from the brick. One from before the last
// change, from another run or from no answer at all has no effect, and the answer's clock
// lets it through. Hosts of an older version send none.
func TestStaleClockRejectsAWrite(t *testing.T) {
	s, _ := serve(t, Options{ID: "a"})
	put := brick.Request{Method: "PUT", Space: "o", Name: "k", Body: brick.Bytes("text")}
	send := func(seen *brick.Clock) *brick.Response {
		put.Seen = seen
		response, _ := do(t, s, put)
		return response
	}
	if got := send(nil).Status; got != 200 {
		t.Fatalf("without a clock: %d", got)
	}
	first := send(&brick.Clock{})
	if first.Status != brick.StatusStale || first.Clock.Run != s.Started() || first.Clock.Version == 0 {
		t.Fatalf("with the clock of no answer: %d, %+v", first.Status, first.Clock)
	}
	otherRun := first.Clock
	otherRun.Run++
	for _, c := range []struct {
		name string
		seen brick.Clock
		want int
	}{
		{"of another run", otherRun, brick.StatusStale},
		{"of the last change", first.Clock, 200},
		{"of the change before", first.Clock, brick.StatusStale},
	} {
		if got := send(&c.seen).Status; got != c.want {
			t.Errorf("a clock %s: %d, want %d", c.name, got, c.want)
		}
	}
}

// ParseClock accepts what String makes, and nothing that means the same in another form is
// taken for something else.
func FuzzParseClock(f *testing.F) {
	for _, text := range []string{"1.2", "0.0", "1", ".", "-1.2", "1.2.3", "9223372036854775807.18446744073709551615"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		clock, err := brick.ParseClock(text)
		if err != nil {
			return
		}
		if again, err := brick.ParseClock(clock.String()); err != nil || again != clock {
			t.Errorf("%q: %+v, again %+v, %v", text, clock, again, err)
		}
	})
}
