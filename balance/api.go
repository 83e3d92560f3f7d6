// Package balance decides, for one gateway instance, which member of a replica group serves a request.
//
// The package does no input or output, holds no clock and starts no goroutine: the caller passes the time and
// the events, and carries out the actions that come back. This file is the whole interface; balance.go decides.
package balance

import "time"

// Time is an instant on the caller's clock, counted from any fixed origin. Positions are instants too.
type Time = time.Duration

// Need says how recent the data behind a class must be.
type Need int

const (
	NeedAny     Need = iota // any member will do
	NeedBounded             // no older than Class.Bound when the request is sent
	NeedSession             // all that the session has written
	NeedLatest              // all that was committed before the request arrived
	NeedUpdate              // a write: only the primary takes it
)

// Effect says what a repeat of a request would do.
type Effect int

const (
	Safe   Effect = iota // may be repeated and refused freely
	Keyed                // repeats are discarded by the members of Scope, for Window
	Unsafe               // must never run twice
)

// Scope names the members that discard the repeats of a keyed request.
type Scope int

const (
	ScopeGroup Scope = iota // the members of the request's group
	ScopeZone               // the members in the same zone
	ScopeAll                // every member
)

// Checks says what a member does with a read that it is too far behind for.
type Checks int

const (
	ChecksNone   Checks = iota // it answers from what it has
	ChecksRefuse               // it answers with a miss
	ChecksWait                 // it waits a while, then answers with a miss
)

// Class describes one kind of request.
type Class struct {
	Name       string
	Aim        time.Duration // answered within this: full worth
	AimStretch float64       // the aim grows by this multiple of the request's own work
	GiveUp     time.Duration // how long a client waits over all its tries
	Worth      float64
	LateShare  float64 // part of the worth that an answer after the aim still has
	Effect     Effect
	Scope      Scope
	Window     time.Duration // how long a keyed request is remembered
	Need       Need
	Bound      time.Duration
}

// Tenant is a customer and its share.
type Tenant struct {
	Name string
	Rate float64 // requests a second, over all instances, within the share
}

// Config is what an instance is told when it starts.
type Config struct {
	Instances      int // how many instances share the work
	Zone           string
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64       // worth of a request beyond the share, as a part of the usual
	Resolution     time.Duration // the shortest time between two steps
	Ask            bool          // the list must be asked for
	DrainGrace     time.Duration // sends to a member must have ended this long after it was told to leave; 0 = not told
	AskWithin      time.Duration // one that has not asked for this long counts as told all the same; 0 = not told

	Checks       Checks
	ClientTokens bool // session reads carry the age of the last write; otherwise the instance remembers writes

	Probes        bool
	HeldBack      float64 // what giving up what was never sent costs beyond half of its time, as a part of its worth
	ProbePrice    float64 // what a probe costs, as a part of what a request is worth
	Cancel        bool
	RetryAfter    bool
	MaxRetryAfter time.Duration
	MostTries     int // attempts for one request; 0 = no limit

	ColdFrom     float64       // a fresh member starts with at least this part of its capacity
	ColdFor      time.Duration // and has all of it after this
	FallMultiple float64       // more than this multiple of its present capacity
	FallFor      time.Duration // for this time makes it fall over
	SoftRemoval  bool          // only a list entry that says draining forbids sends
}

// Event is something that happened; the types below implement it.
type Event interface{ event() }

// State is the lifecycle of a member as the list tells it.
type State int

const (
	Gone     State = 0
	Ready    State = 1
	Draining State = 2
)

// ListKind says how to read a List.
type ListKind int

const (
	ListDelta  ListKind = iota // only what changed
	ListFull                   // everything
	ListCached                 // everything, as it was when the instance last ran
	ListFailed                 // a call failed or the subscription broke
	ListSilent                 // the same, and the list's service was not heard, or said nothing that can be believed
)

// Entry is one member in a list.
type Entry struct {
	Node    string
	Zone    string
	Group   int64
	State   State
	Primary bool
	ReadyAt Time // the last start; 0 = long ago
}

// List is what discovery says.
type List struct {
	Kind    ListKind
	Entries []Entry
}

// Request is a new request; exactly one final answer is owed.
type Request struct {
	ID        string
	Class     string
	Tenant    string
	Group     int64
	Key       int64         // the session, 0 = none
	Expires   time.Duration // how long the client still waits
	SinceLast time.Duration // age of the session's last write, 0 = none
	Estimate  time.Duration // expected work, 0 = not told
	Retry     bool
	Tried     int // attempts that it has used before, none of which ran
}

// Status is how an attempt or a probe ended.
type Status int

const (
	Done          Status = iota // served
	Error                       // may have run
	Busy                        // turned away unseen
	TimedOut                    // may have run
	ConnectFailed               // never ran
	Reset                       // may have run
	Cancelled                   // may have run
	Skipped                     // never sent
	Miss                        // sent back untouched: wrong role, or too far behind
)

// Role is what an answer or a report says of its sender.
type Role int

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome ends one attempt.
type Outcome struct {
	ID       string
	Attempt  int
	Node     string
	Status   Status
	Took     time.Duration
	Finished bool // the request is over
	Role     Role
	Position Time // an instant on the caller's clock; 0 = not told
}

// ProbeResult ends one probe.
type ProbeResult struct {
	Node     string
	Status   Status
	Took     time.Duration
	Role     Role
	Position Time // 0 = not told
}

// ClientGone says that the client left; nothing is owed any more.
type ClientGone struct{ ID string }

// FirstByte says that a stream has started: its attempt has no deadline any more.
type FirstByte struct {
	ID      string
	Attempt int
}

// Suspend takes a member out, whatever the list says of it, or lets it back in. It may come again, and for a member that
// is not listed yet.
type Suspend struct {
	Node string
	Out  bool
}

// Pace says that the members of a zone may be used for a part of their power only, 0 = not at all, 1 = as usual. Who returns is eased in.
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

// Action is something the caller has to do, in order; the types below implement it.
type Action interface{ action() }

// Send starts the next attempt of a request. Attempts are numbered from 0 in the order of their sends.
type Send struct {
	ID   string
	Node string
	By   Time // not to be written later than this: the data may be too old, or the client gone; 0 = no such limit
}

// Refuse is a final answer: nothing ran and a retry does no harm.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// Cancel withdraws one attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Probe asks a member for a report.
type Probe struct{ Node string }

// Timer asks for a Wake.
type Timer struct{ In time.Duration }

// Track subscribes to the list.
type Track struct{}

// Lead tells whom the instance takes for a group's primary from now on, or that it has come to doubt the one it had. It
// asks for nothing.
type Lead struct {
	Group    int64
	Node     string
	Believed bool
	Why      string // of a doubt
}

// Log is a line for those on call.
type Log struct{ Text string }

func (Send) action()   {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Cancel) action() {}
func (Probe) action()  {}
func (Timer) action()  {}
func (Track) action()  {}
func (Lead) action()   {}
func (Log) action()    {}
