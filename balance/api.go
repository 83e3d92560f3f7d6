// Package balance decides, for one gateway instance, which member of a replica group serves a request.
//
// The package does no input or output, holds no clock and starts no goroutine: the caller passes the time and
// the events, and carries out the actions that come back. This file is the whole interface; balance.go decides.
package balance

import "time"

// Time is an instant on the caller's clock, counted from any fixed origin. Positions are instants too.
type Time = time.Duration

// Need says how recent the data behind a class must be.
type Consistency int

const (
	ConsistencyAny     Consistency = iota // any member will do
	ConsistencyBounded                    // no older than Class.Bound when the request is sent
	ConsistencySession                    // all that the session has written
	ConsistencyLatest                     // all that was committed before the request arrived
	ConsistencyWrite                      // a write: only the primary takes it
)

// Effect says what a repeat of a request would do.
type Idempotency int

const (
	Idempotent        Idempotency = iota // may be repeated and refused freely
	IdempotentWithKey                    // repeats are discarded by the members of Scope, for Window
	NonIdempotent                        // must never run twice
)

// Scope names the members that discard the repeats of a keyed request.
type IdempotencyScope int

const (
	ScopeGroup IdempotencyScope = iota // the members of the request's group
	ScopeZone                          // the members in the same zone
	ScopeAll                           // every member
)

// Checks says what a member does with a read that it is too far behind for.
type FreshnessCheck int

const (
	FreshnessCheckNone   FreshnessCheck = iota // it answers from what it has
	FreshnessCheckReject                       // it answers with a miss
	FreshnessCheckWait                         // it waits a while, then answers with a miss
)

// Class describes one kind of request.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // answered within this: full worth
	ObjectiveStretch  float64       // the aim grows by this multiple of the request's own work
	ClientTimeout     time.Duration // how long a client waits over all its tries
	PriorityWeight    float64
	LateWeightShare   float64 // part of the worth that an answer after the aim still has
	Idempotency       Idempotency
	IdempotencyScope  IdempotencyScope
	IdempotencyWindow time.Duration // how long a keyed request is remembered
	Consistency       Consistency
	MaxStaleness      time.Duration
}

// Tenant is a customer and its share.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all instances, within the share
}

// Config is what an instance is told when it starts.
type Config struct {
	Instances       int // how many instances share the work
	Zone            string
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64       // worth of a request beyond the share, as a part of the usual
	TimerResolution time.Duration // the shortest time between two steps
	PollDiscovery   bool          // the list must be asked for
	DrainGrace      time.Duration // sends to a member must have ended this long after it was told to leave; 0 = not told
	PollWithin      time.Duration // one that has not asked for this long counts as told all the same; 0 = not told

	FreshnessCheck      FreshnessCheck
	ClientSessionTokens bool // session reads carry the age of the last write; otherwise the instance remembers writes

	HealthChecks    bool
	LateRejectCost  float64 // what giving up what was never sent costs beyond half of its time, as a part of its worth
	HealthCheckCost float64 // what a probe costs, as a part of what a request is worth
	Cancellation    bool
	RetryAfter      bool
	MaxRetryAfter   time.Duration
	MaxAttempts     int // attempts for one request; 0 = no limit

	SlowStartFrom    float64       // a fresh member starts with at least this part of its capacity
	SlowStartWindow  time.Duration // and has all of it after this
	OverloadMultiple float64       // more than this multiple of its present capacity
	OverloadWindow   time.Duration // for this time makes it fall over
	SoftRemoval      bool          // only a list entry that says draining forbids sends
}

// Event is something that happened; the types below implement it.
type Event interface{ event() }

// State is the lifecycle of a member as the list tells it.
type EndpointState int

const (
	EndpointRemoved  EndpointState = 0
	EndpointReady    EndpointState = 1
	EndpointDraining EndpointState = 2
)

// ListKind says how to read a List.
type EndpointListKind int

const (
	ListDelta  EndpointListKind = iota // only what changed
	ListFull                           // everything
	ListCached                         // everything, as it was when the instance last ran
	ListFailed                         // a call failed or the subscription broke
	ListSilent                         // the same, and the list's service was not heard, or said nothing that can be believed
)

// Entry is one member in a list.
type EndpointEntry struct {
	Endpoint  string
	Zone      string
	Group     int64
	State     EndpointState
	Primary   bool
	StartedAt Time // the last start; 0 = long ago
}

// List is what discovery says.
type EndpointList struct {
	Kind    EndpointListKind
	Entries []EndpointEntry
}

// Request is a new request; exactly one final answer is owed.
type Request struct {
	ID                string
	Class             string
	Tenant            string
	Group             int64
	SessionID         int64         // the session, 0 = none
	TimeLeft          time.Duration // how long the client still waits
	SinceSessionWrite time.Duration // age of the session's last write, 0 = none
	EstimatedWork     time.Duration // expected work, 0 = not told
	Retry             bool
	PriorAttempts     int // attempts that it has used before, none of which ran
}

// Status is how an attempt or a probe ended.
type Status int

const (
	StatusDone          Status = iota // served
	StatusError                       // may have run
	StatusBusy                        // turned away unseen
	StatusTimedOut                    // may have run
	StatusConnectFailed               // never ran
	StatusReset                       // may have run
	StatusCancelled                   // may have run
	StatusNotSent                     // never sent
	StatusMiss                        // sent back untouched: wrong role, or too far behind
)

// Role is what an answer or a report says of its sender.
type Role int

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome ends one attempt.
type AttemptResult struct {
	ID       string
	Attempt  int
	Endpoint string
	Status   Status
	Elapsed  time.Duration
	Finished bool // the request is over
	Role     Role
	Position Time // an instant on the caller's clock; 0 = not told
}

// ProbeResult ends one probe.
type HealthCheckResult struct {
	Endpoint string
	Status   Status
	Elapsed  time.Duration
	Role     Role
	Position Time // 0 = not told
}

// ClientGone says that the client left; nothing is owed any more.
type ClientDisconnected struct{ ID string }

// FirstByte says that a stream has started: its attempt has no deadline any more.
type FirstByte struct {
	ID      string
	Attempt int
}

// Suspend takes a member out, whatever the list says of it, or lets it back in. It may come again, and for a member that
// is not listed yet.
type Suspend struct {
	Endpoint  string
	Suspended bool
}

// Pace says that the members of a zone may be used for a part of their power only, 0 = not at all, 1 = as usual. Who returns is eased in.
type ZoneCapacity struct {
	Zone  string
	Share float64
}

// Wake is a Timer that ran out.
type Wake struct{}

func (EndpointList) event()       {}
func (Request) event()            {}
func (AttemptResult) event()      {}
func (HealthCheckResult) event()  {}
func (ClientDisconnected) event() {}
func (FirstByte) event()          {}
func (Suspend) event()            {}
func (ZoneCapacity) event()       {}
func (Wake) event()               {}

// Action is something the caller has to do, in order; the types below implement it.
type Action interface{ action() }

// Send starts the next attempt of a request. Attempts are numbered from 0 in the order of their sends.
type Send struct {
	ID       string
	Endpoint string
	NotAfter Time // not to be written later than this: the data may be too old, or the client gone; 0 = no such limit
}

// Refuse is a final answer: nothing ran and a retry does no harm.
type Reject struct {
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
type HealthCheck struct{ Endpoint string }

// Timer asks for a Wake.
type Timer struct{ After time.Duration }

// Track subscribes to the list.
type PollEndpointList struct{}

// Lead tells whom the instance takes for a group's primary from now on, or that it has come to doubt the one it had. It
// asks for nothing.
type PrimaryUpdate struct {
	Group     int64
	Endpoint  string
	Confirmed bool
	Reason    string // of a doubt
}

// Log is a line for those on call.
type LogLine struct{ Text string }

func (Send) action()             {}
func (Reject) action()           {}
func (Fail) action()             {}
func (Cancel) action()           {}
func (HealthCheck) action()      {}
func (Timer) action()            {}
func (PollEndpointList) action() {}
func (PrimaryUpdate) action()    {}
func (LogLine) action()          {}
