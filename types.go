// Package arrowwalk decides, for one host among several that share storage
// nodes, which I/O request goes to its node, when, and what is answered in
// its place. This file is the interface: settings, events and actions. The
// decisions are in scheduler.go.
package arrowwalk

// Micros is a time or a span in microseconds. Times come from the caller's
// clock, which may start anywhere and only advances.
type Micros int64

// RepeatPolicy says whether a request of a class may run more than once.
type RepeatPolicy int

const (
	// Safe requests may run any number of times.
	Safe RepeatPolicy = iota
	// Keyed requests carry a key by which a group of nodes drops repeats.
	Keyed
	// Unsafe requests must never run twice.
	Unsafe
)

// Scope is the group of nodes that drops the repeats of a keyed request.
type Scope int

const (
	// ScopeAll means every node drops them.
	ScopeAll Scope = iota
	// ScopeZone means the nodes of one zone do.
	ScopeZone
	// ScopeShard means the nodes of one shard do.
	ScopeShard
)

// Class describes a kind of request.
type Class struct {
	Name       string
	Aim        Micros  // an answer within it earns full worth
	AimStretch float64 // the aim grows by this many times the request's work
	Deadline   Micros  // what a client waits in all its tries
	Worth      float64 // worth of a mean request
	LateWorth  float64 // part earned after the aim
	Repeat     RepeatPolicy
	Scope      Scope  // for Keyed
	Window     Micros // for Keyed: how long repeats are dropped
	Ordered    bool   // requests with one key run one at a time
	Streamed   bool
	Writes     bool
}

// Plan describes what a volume is promised, over all hosts and nodes.
type Plan struct {
	Name        string
	Rate        float64 // units a second it is sized for
	Reserve     float64 // units a second of full worth
	Weight      float64 // its part of what the reserves leave
	WorthFactor float64
	LimitRate   float64 // units a second; 0: no limit
	LimitBurst  float64 // units the limit's store holds
	LimitSlack  float64 // units it may go below zero
}

// Rules holds the figures of the rules that a host must keep.
type Rules struct {
	DrainGrace   Micros
	AskEvery     Micros  // longest time without a subscription or a request for the list
	ColdFrom     float64 // part of its capacity at which a node starts
	WarmWithin   Micros
	ColdMultiple float64 // times its capacity that fells a cold node
	ColdSpan     Micros  // when sent for this long
	ColdUnits    float64 // units in ColdSpan, of all hosts, that a cold node bears
	OrderGap     Micros
	ResendFree   float64
	ResendRatio  float64
	ResendSpan   Micros // 0: no resend budget
}

// Settings is what a host is told at its start.
type Settings struct {
	Seed        uint64
	Host, Hosts int
	Zone        int
	Shards      int
	Tick        Micros // shortest time between two steps
	Classes     []Class
	Plans       []Plan
	Rules       Rules
	Subscribe   bool // the node list comes only when asked for
	MaxAttempts int
	MaxWait     Micros // longest advice to wait that clients heed; 0: give none
	MeanUnits   float64
	MostUnits   float64
	ShareWorth  float64 // part of its worth that a unit past the reserve earns
	SpareWorth  float64 // and one past the share too
	MeterPeriod Micros  // period of Outcome.FleetUse; 0: there is none
	TellsOthers bool    // outcomes carry OthersUnits
	Probing     bool
	Cancel      bool     // attempts may be called off
	Parallel    bool     // a request may have two attempts out at once
	Reports     []string // names of the values in a load report
	ReportsIn   bool     // outcomes carry load reports
}

// NodeID, RequestID and VolumeID name things of the caller's.
type (
	NodeID    string
	RequestID uint64
	VolumeID  uint64
)

// NodeState is what the list says of a node.
type NodeState int

const (
	// Ready nodes take requests.
	Ready NodeState = iota
	// Draining nodes finish their work and take nothing new.
	Draining
	// Removed nodes have left the list.
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

// Volume is what a request says of the volume it belongs to.
type Volume struct {
	ID    VolumeID
	Plan  int
	Hosts int // number of hosts through which its requests come
}

// Event is something that happened to the host: a *NodeList, *Request,
// *StreamStart, *Abandoned, *Shutdown, *Outcome, *ProbeResult or *Timer.
type Event interface{ event() }

// ListKind tells a complete list from changes.
type ListKind int

const (
	// ListSnapshot is the whole list.
	ListSnapshot ListKind = iota
	// ListDelta holds the changed entries only.
	ListDelta
	// ListStored is the whole list as the host last had it; it may be old.
	ListStored
	// ListFailed tells that a call failed or the subscription broke.
	ListFailed
)

// NodeList is news of the nodes.
type NodeList struct {
	Kind    ListKind
	Version int64
	Nodes   []Node
}

// Request is a client's request, which the host now owes one answer.
type Request struct {
	ID     RequestID
	Class  int
	Volume Volume
	HasKey bool
	Key    uint64
	Left   Micros // time until the client stops waiting
	Units  float64
	Shard  int // -1: a new object, for any node
	Again  bool
}

// StreamStarted tells that the answer of a streamed request has begun.
type StreamStarted struct {
	Request RequestID
	Attempt int
	Node    NodeID
}

// Abandoned tells that the client has gone; nothing more is owed.
type Abandoned struct{ Request RequestID }

// Shutdown tells that this host ends: what it has taken gets its final answer
// by At.
type Shutdown struct{ At Micros }

// Status is how an attempt ended.
type Status int

const (
	// Unknown is an outcome that the caller can't name; it may have run.
	Unknown Status = iota
	// OK means served.
	OK
	// Failed means that the node answered with an error; it may have run.
	Failed
	// Overloaded means sent back before it was seen; it never ran.
	Overloaded
	// TimedOut means no answer in time; it may have run or still run.
	TimedOut
	// Unreachable means that no connection was made; it never ran.
	Unreachable
	// Reset means that the connection broke; it may have run.
	Reset
	// Cancelled means called off; it may have run.
	Cancelled
	// NotSent means not sent at all.
	NotSent
)

// NeverRan tells whether the status proves that the attempt did not run.
func (s Status) NeverRan() bool { return s == Overloaded || s == Unreachable || s == NotSent }

// MayStillRun tells whether the attempt may still be running after the outcome.
func (s Status) MayStillRun() bool {
	return s == TimedOut || s == Reset || s == Cancelled || s == Unknown
}

// Attempt names one sending of a request; they count from 0.
type Attempt struct {
	Request RequestID
	Number  int
	Node    NodeID
}

// Outcome tells how an attempt ended.
type Outcome struct {
	Attempt
	Status      Status
	Latency     Micros
	Closed      bool    // the request has had its answer
	FleetUse    float64 // 1 + percent of the plan's rate served everywhere; 0: not told
	OthersUnits float64 // units this node served for the volume through other hosts
	Load        []float64
}

// ProbeResult answers a probe.
type ProbeResult struct {
	Node    NodeID
	Status  Status
	Latency Micros
	Load    []float64
}

// TimerFired tells that a timer has run out.
type TimerFired struct{ Token uint64 }

func (*NodeList) event()      {}
func (*Request) event()       {}
func (*StreamStarted) event() {}
func (*Abandoned) event()     {}
func (*Shutdown) event()      {}
func (*Outcome) event()       {}
func (*ProbeResult) event()   {}
func (*TimerFired) event()    {}

// ActionKind is what an action does.
type ActionKind int

const (
	// Send starts an attempt of Request at Node, with Delay as its time-out
	// (0: until the client gives up).
	Send ActionKind = iota
	// Refuse answers Request: trying again after Delay is harmless.
	Refuse
	// Fail answers Request and promises nothing.
	Fail
	// SetTimer asks for a Timer event with Token after Delay.
	SetTimer
	// Subscribe asks for the changes of the node list from now on.
	Subscribe
	// Probe asks Node for its load.
	Probe
	// Cancel stops waiting for attempt number Attempt of Request.
	Cancel
	// Log leaves Text for the operators.
	Log
)

// Action is something that the host is to do.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int
	Node    NodeID
	Delay   Micros
	Token   uint64
	Text    string
}
