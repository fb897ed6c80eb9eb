// Package arrowwalk schedules the I/O requests of one host among several that
// share storage nodes. It decides when each request is sent to its node, and
// when a request is refused or failed instead. A Scheduler does no I/O and
// reads no clock: its caller passes it events and carries out the actions that
// it returns.
//
// This file is the interface: settings, events and actions. The decisions are
// in scheduler.go.
package arrowwalk

// Micros is a time or a duration in microseconds. Times come from the caller's
// monotonic clock, whose zero is arbitrary.
type Micros int64

// RepeatPolicy tells whether the requests of a class may run more than once.
type RepeatPolicy int

const (
	// Safe requests may run any number of times.
	Safe RepeatPolicy = iota
	// Keyed requests carry an idempotency key by which a group of nodes drops
	// repeats.
	Keyed
	// Unsafe requests must never run twice.
	Unsafe
)

// Scope is the group of nodes that recognizes repeats of a keyed request.
type Scope int

const (
	// ScopeAll is every node.
	ScopeAll Scope = iota
	// ScopeZone is the nodes of one zone.
	ScopeZone
	// ScopeShard is the nodes of one shard.
	ScopeShard
)

// Class describes a kind of request.
type Class struct {
	Name       string
	Aim        Micros  // latency within which an answer earns its full worth
	AimStretch float64 // multiple of the request's service time by which its aim grows
	Deadline   Micros  // how long a client waits in total, over all its tries
	Worth      float64 // worth of a request of mean size
	LateWorth  float64 // fraction of the worth earned after the aim
	Repeat     RepeatPolicy
	Scope      Scope  // for Keyed
	Window     Micros // for Keyed: how long repeats are recognized
	Ordered    bool   // requests with the same key run one at a time
	Streamed   bool   // answers are streamed
	Writes     bool   // requests change data
}

// Plan describes what is promised to a volume, over all hosts and nodes.
type Plan struct {
	Name        string
	Rate        float64 // units a second that the volume is sized for
	Reserve     float64 // units a second that earn their full worth
	Weight      float64 // share of the capacity beyond the reserves, relative to other volumes; 0: 1
	WorthFactor float64 // factor on the worth of the class
	LimitRate   float64 // units a second; 0: no limit
	LimitBurst  float64 // size of the limit's token bucket in units
	LimitSlack  float64 // units by which the bucket may be overdrawn
}

// Rules holds the parameters of the rules that a host must keep.
type Rules struct {
	DrainGrace      Micros  // how long a draining node may still be sent requests
	MaxListInterval Micros  // longest time without a subscription to the node list or a request for it
	ColdFrom        float64 // fraction of its capacity that a node has at its start
	WarmWithin      Micros  // time from its start until a node has its full capacity
	ColdMultiple    float64 // load that makes a cold node fail, as a multiple of its capacity
	ColdSpan        Micros  // time for which this load must last
	ColdUnits       float64 // units in ColdSpan, from all hosts, that a cold node can handle
	OrderGap        Micros  // pause for a key after an attempt that may still be running
	ResendFree      float64 // further attempts in ResendSpan that are always allowed
	ResendRatio     float64 // further attempts allowed per accepted request in ResendSpan
	ResendSpan      Micros  // 0: no resend budget
}

// Settings configures a Scheduler.
type Settings struct {
	Seed               uint64 // of the random source
	Host, Hosts        int    // index of this host and number of hosts
	Zone               int    // zone of this host
	Shards             int    // number of shards
	Tick               Micros // shortest time between two steps
	Classes            []Class
	Plans              []Plan
	Rules              Rules
	Subscribe          bool     // the node list must be subscribed to
	MaxAttempts        int      // attempts per request
	MaxRetryAfter      Micros   // longest advice to wait that clients follow; 0: give none
	MeanUnits          float64  // units of a mean request; 0: 1
	MostUnits          float64  // units of the largest request
	ShareWorth         float64  // fraction of its worth that a unit past the reserve earns
	SpareWorth         float64  // fraction of its worth that a unit past the reserve and the share earns
	MeterPeriod        Micros   // period of Outcome.FleetUse; 0: it is not reported
	ReportsOthersUnits bool     // outcomes carry OthersUnits
	Probing            bool     // nodes can be probed
	Cancel             bool     // attempts can be cancelled
	Parallel           bool     // a request may have two attempts in flight
	Reports            []string // names of the values in a load report
	InlineReports      bool     // outcomes carry load reports
}

// NodeID, RequestID and VolumeID are identifiers that the caller assigns.
type (
	NodeID    string
	RequestID uint64
	VolumeID  uint64
)

// NodeState is the state of a node in the node list.
type NodeState int

const (
	// Ready nodes accept requests.
	Ready NodeState = iota
	// Draining nodes finish their requests and accept no new ones.
	Draining
	// Removed nodes are no longer in the list.
	Removed
)

// Node is an entry of the node list.
type Node struct {
	ID      NodeID
	Shard   int
	Zone    int
	State   NodeState
	Started Micros // time of its last start; 0: long ago
}

// Volume describes the volume that a request belongs to.
type Volume struct {
	ID    VolumeID
	Plan  int // index in Settings.Plans
	Hosts int // number of hosts through which its requests come
}

// Event is an input of Scheduler.Step: a *NodeList, *Request, *StreamStarted,
// *Abandoned, *Shutdown, *Outcome, *ProbeResult or *TimerFired.
type Event interface{ event() }

// ListKind is the kind of a NodeList event.
type ListKind int

const (
	// ListSnapshot is the complete, current list.
	ListSnapshot ListKind = iota
	// ListDelta holds only the entries that have changed.
	ListDelta
	// ListStored is a complete list that the host had stored; it may be stale.
	ListStored
	// ListFailed means that a call for the list failed or that the
	// subscription ended.
	ListFailed
)

// NodeList reports the node list, changes to it or a failure to get it.
type NodeList struct {
	Kind    ListKind
	Version int64 // version of the list at its source
	Nodes   []Node
}

// Request reports a client's request, to which the host owes one final answer.
type Request struct {
	ID       RequestID
	Class    int // index in Settings.Classes
	Volume   Volume
	HasKey   bool
	Key      uint64 // orders requests of an Ordered class; valid if HasKey
	TimeLeft Micros // time until the client stops waiting
	Units    float64
	Shard    int  // -1: a new object, which any shard may store
	IsRetry  bool // a client's retry, not its first try
}

// StreamStarted reports that the answer to a streamed request has begun.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Node    NodeID
}

// Abandoned reports that the client has given up and needs no answer.
type Abandoned struct{ Request RequestID }

// Shutdown reports that this host is shutting down: all requests must have
// their final answers by At.
type Shutdown struct{ At Micros }

// Status is how an attempt ended.
type Status int

const (
	// Unknown is an outcome that the caller can't classify; the attempt may have
	// run.
	Unknown Status = iota
	// OK means that the node has served the request.
	OK
	// Failed means that the node answered with an error; the attempt may have
	// run.
	Failed
	// Overloaded means that the node rejected the attempt without processing
	// it; it never ran.
	Overloaded
	// TimedOut means that no answer came in time; the attempt may have run or
	// may still be running.
	TimedOut
	// Unreachable means that no connection was made; the attempt never ran.
	Unreachable
	// Reset means that the connection broke; the attempt may have run.
	Reset
	// Cancelled means that the host cancelled the attempt, which may have run.
	Cancelled
	// NotSent means that the host did not send the attempt.
	NotSent
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s Status) NeverRan() bool { return s == Overloaded || s == Unreachable || s == NotSent }

// MayStillRun reports whether the attempt may still be running after the
// outcome.
func (s Status) MayStillRun() bool {
	return s == TimedOut || s == Reset || s == Cancelled || s == Unknown
}

// Attempt identifies one sending of a request. Attempts are numbered from 0.
type Attempt struct {
	Request RequestID
	Number  int
	Node    NodeID
}

// Outcome reports how an attempt ended.
type Outcome struct {
	Attempt
	Status      Status
	Latency     Micros
	Closed      bool      // the client has its answer
	FleetUse    float64   // 1 + percentage of the plan's rate served through all hosts; 0: unknown
	OthersUnits float64   // units that this node served for the volume through other hosts
	Load        []float64 // load report, with values named by Settings.Reports
}

// ProbeResult reports the result of a Probe action.
type ProbeResult struct {
	Node    NodeID
	Status  Status
	Latency Micros
	Load    []float64
}

// TimerFired reports that the timer with a token has expired.
type TimerFired struct{ Token uint64 }

func (*NodeList) event()      {}
func (*Request) event()       {}
func (*StreamStarted) event() {}
func (*Abandoned) event()     {}
func (*Shutdown) event()      {}
func (*Outcome) event()       {}
func (*ProbeResult) event()   {}
func (*TimerFired) event()    {}

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// Send starts an attempt of Request at Node with Delay as its timeout (0:
	// until the client gives up).
	Send ActionKind = iota
	// Refuse answers Request: the client may safely retry after Delay.
	Refuse
	// Fail answers Request with an error: it may have run, and a retry may run
	// it again.
	Fail
	// SetTimer requests a TimerFired event with Token after Delay.
	SetTimer
	// Subscribe requests the node list and its changes from now on.
	Subscribe
	// Probe requests a load report from Node.
	Probe
	// Cancel cancels attempt number Attempt of Request.
	Cancel
	// Log writes Text to the operators' log.
	Log
)

// Action is an output of Scheduler.Step that the host must carry out. Its Kind
// tells which of the other fields are used.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int
	Node    NodeID
	Delay   Micros
	Token   uint64
	Text    string
}
