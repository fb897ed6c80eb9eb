// Package rules checks the seven rules from what passed on sockets: what the
// bricks' stand-ins saw arrive and what the clients' stand-ins sent and got.
// It reads nothing that a gateway says of itself, beside the request ids that
// are on the wire. It is pure.
package rules

import (
	"fmt"
	"strconv"
	"strings"
)

// Micros is a time in microseconds since 1970, on the clock that all
// stand-ins share.
type Micros = int64

// Arrival is one request that reached a brick's socket.
type Arrival struct {
	At      Micros // its head was read
	Came    Micros `json:",omitempty"` // its bytes may have come so early, where the brick stood still; 0: At
	Ended   Micros // it was answered, or its connection ended
	Brick   string
	Zone    string
	Started Micros // of the brick
	Request string // as on the wire: HOST-RUN-SEQUENCE-TASK.ATTEMPT
	Host    int
	Method  string
	Space   string
	Name    string
	Volume  uint64
	Units   float64
	Key     string // idempotency key; "": a read
	Status  int    // of the answer; 0: none was given
	Repeat  bool   // dropped as a repeat
	Stored  bool   // it changed what is stored
}

// id is a parsed request id.
type id struct {
	run     string // HOST-RUN-SEQUENCE: the client's request
	task    string // with the task: the module's request
	attempt int
}

func parseID(text string) (id, error) {
	dot := strings.LastIndexByte(text, '.')
	dash := strings.LastIndexByte(text, '-')
	if dot < 0 || dash < 0 || dash > dot {
		return id{}, fmt.Errorf("request id %q: not HOST-RUN-SEQUENCE-TASK.ATTEMPT", text)
	}
	attempt, err := strconv.Atoi(text[dot+1:])
	if err != nil || attempt < 0 {
		return id{}, fmt.Errorf("request id %q: bad attempt", text)
	}
	return id{text[:dash], text[:dot], attempt}, nil
}

// mayHaveRun tells whether the attempt's end leaves it open that it ran.
func (a *Arrival) mayHaveRun() bool { return a.Status != 503 && a.Status != 421 }

// Call is one request of a client.
type Call struct {
	Client    string
	Host      int // of the gateway that it went to
	Method    string
	Key       string
	Write     bool
	Sent      Micros // its last byte was written; 0: it was never sent whole
	Waits     Micros // for how long the client waits from then on
	Begun     Micros // the answer's first byte was read; 0: none was
	Came      Micros `json:",omitempty"` // it may have come so early, where the client stood still; 0: Begun
	Ended     Micros // the answer was whole, or the connection ended
	Status    int    // of the answer; 0: none
	ID        string // the answer's request id
	Whole     bool   // the answer was whole
	Wrong     bool   // its bytes are not those that were stored
	Extra     bool   // bytes came after it that nobody asked for
	Left      bool   // the client hung up by itself
	Stopping  bool   // the gateway had been told to stop, or was killed, around then
	RetryTold bool   // a 503 carried Retry-After
}

// Told says when a gateway could first know of a brick's state.
type Told struct {
	Host  int
	At    Micros
	Brick string
	State string // ready, draining or gone
	Until Micros // the state that follows; 0: the end
}

// Still is a span in which a host's process was stopped where it was, as the
// script that stopped it knows.
type Still struct {
	Host     int
	From, To Micros
}

// Capacity is what a brick can do when it is warm, known to the script alone.
type Capacity struct {
	Brick       string
	Started     Micros
	UnitsPerSec float64
}

// Figures are the rules' figures as the gateways were told them.
type Figures struct {
	Slack        Micros // of an answer after the client's time, and of clocks
	DrainGrace   Micros
	ToldWithin   Micros // how long a list may take from its source to the host
	Window       Micros // of keyed writes
	OrderGap     Micros
	ColdFrom     float64
	WarmWithin   Micros
	ColdMultiple float64
	ColdSpan     Micros
	ColdUnits    float64
	ResendFree   float64
	ResendRatio  float64
	ResendSpan   Micros
	Ordered      bool
	Limits       map[uint64]Limit // by volume
}

// Limit is a plan's limit for a volume, over all hosts.
type Limit struct{ Rate, Burst, Slack float64 }

// Trace is all that passed on the sockets of one run.
type Trace struct {
	Arrivals   []Arrival
	Calls      []Call
	Told       []Told
	Capacities []Capacity
	Stills     []Still
	Figures    Figures
}

// Earliest returns the earliest time at which the request may have come.
func (a *Arrival) Earliest() Micros {
	if a.Came != 0 {
		return a.Came
	}
	return a.At
}

// Earliest returns the earliest time at which the answer may have begun; 0:
// none did.
func (c *Call) Earliest() Micros {
	if c.Came != 0 {
		return c.Came
	}
	return c.Begun
}
