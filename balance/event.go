package balance

import "time"

// Time is an instant on the caller's clock, counted from any fixed origin. Replication positions are instants too.
type Time = time.Duration

// Event is something that happened; the types below implement it.
type Event interface{ event() }

// State is the lifecycle of an endpoint as discovery tells it.
type State int

const (
	Gone     State = 0 // removed
	Ready    State = 1 // may be sent requests
	Draining State = 2 // finishes what it has and must get nothing new
)

// ListKind says how to read a List.
type ListKind int

const (
	ListDelta  ListKind = iota // only what changed
	ListFull                   // everything
	ListCached                 // everything, as it was when the instance last ran
	ListFailed                 // a poll failed or the subscription broke
	ListSilent                 // the same, and discovery was not heard, or said nothing that can be believed
)

// Entry is one endpoint in an endpoint list.
type Entry struct {
	Node    string // the endpoint's id
	Zone    string
	Group   int64
	State   State
	Primary bool // discovery calls it the primary of its group
	ReadyAt Time // the last start; 0 = long ago
}

// List is an endpoint list, or a change of it, as discovery says it.
type List struct {
	Kind    ListKind
	Entries []Entry
}

// Request is a new request. Exactly one final answer is owed.
type Request struct {
	ID        string
	Class     string
	Tenant    string
	Group     int64
	Key       int64         // the session; 0 = none
	Expires   time.Duration // how long the client still waits
	SinceLast time.Duration // age of the session's last write; 0 = none
	Estimate  time.Duration // expected work; 0 = not told
	Retry     bool          // the client sends the same request again
	Tried     int           // attempts that it has used before, none of which ran
}

// Status is how an attempt or a health check ended.
type Status int

const (
	Done          Status = iota // served
	Error                       // answered with an error; may have run
	Busy                        // rejected unseen
	TimedOut                    // may have run
	ConnectFailed               // never ran
	Reset                       // may have run
	Cancelled                   // may have run
	Skipped                     // never sent
	Miss                        // sent back untouched: wrong role, or data too old
)

// answered says that the endpoint itself has answered.
func (s Status) answered() bool {
	switch s {
	case Done, Error, Busy, Miss:
		return true
	}
	return false
}

// reachedEndpoint says that the request has reached the endpoint, or may have.
func (s Status) reachedEndpoint() bool { return s != ConnectFailed && s != Skipped }

// mayHaveRun says that the request may have run, or may still run, though its outcome is not known.
func (s Status) mayHaveRun() bool {
	switch s {
	case Error, TimedOut, Reset, Cancelled:
		return true
	}
	return false
}

// Role is what an answer or a load report says of its sender.
type Role int

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome ends one attempt.
type Outcome struct {
	ID       string // of the request
	Attempt  int
	Node     string // the endpoint
	Status   Status
	Took     time.Duration
	Finished bool // the request is answered
	Role     Role
	Position Time // the replication position, an instant on the caller's clock; 0 = not told
}

// ProbeResult ends one health check.
type ProbeResult struct {
	Node     string // the endpoint
	Status   Status
	Took     time.Duration
	Role     Role
	Position Time // 0 = not told
}

// ClientGone says that the client has disconnected; nothing is owed any more.
type ClientGone struct{ ID string }

// FirstByte says that a response has begun to stream: its attempt has no deadline any more.
type FirstByte struct {
	ID      string
	Attempt int
}

// Suspend takes an endpoint out of service, whatever discovery says of it, or lets it back in. It may come again, and
// for an endpoint that is not listed yet.
type Suspend struct {
	Node string
	Out  bool
}

// Pace limits the endpoints of a zone to a part of their capacity: 0 = not at all, 1 = as usual. A zone that returns
// is ramped up with it.
type Pace struct {
	Zone string
	Part float64
}

// Wake is a Timer that ran out.
type Wake struct{}

func (List) event()        {}
func (Request) event()     {}
func (Outcome) event()     {}
func (ProbeResult) event() {}
func (ClientGone) event()  {}
func (FirstByte) event()   {}
func (Suspend) event()     {}
func (Pace) event()        {}
func (Wake) event()        {}
