package balance

import "time"

// Time is an instant on the caller's clock, counted from any fixed origin. Replication positions are instants too.
type Time = time.Duration

// Event is something that happened; the types below implement it.
type Event interface{ event() }

// EndpointState is the lifecycle of an endpoint as discovery tells it.
type EndpointState int

// The states of an endpoint.
const (
	EndpointRemoved  EndpointState = 0 // removed
	EndpointReady    EndpointState = 1 // may be sent requests
	EndpointDraining EndpointState = 2 // finishes what it has and must get nothing new
)

// EndpointListKind says how to read an EndpointList.
type EndpointListKind int

// The kinds of an endpoint list.
const (
	ListDelta  EndpointListKind = iota // only what changed
	ListFull                           // everything
	ListCached                         // everything, as it was when the instance last ran
	ListFailed                         // a poll failed or the subscription broke
	ListSilent                         // the same, and discovery was not heard, or said nothing that can be believed
)

// EndpointEntry is one endpoint in an endpoint list.
type EndpointEntry struct {
	Endpoint  string // the endpoint's id
	Zone      string
	Group     int64
	State     EndpointState
	Primary   bool // discovery calls it the primary of its group
	StartedAt Time // the last start; 0 = long ago
}

// EndpointList is an endpoint list, or a change of it, as discovery says it.
type EndpointList struct {
	Kind    EndpointListKind
	Entries []EndpointEntry
}

// Request is a new request. Exactly one final answer is owed.
type Request struct {
	ID                string
	Class             string
	Tenant            string
	Group             int64
	SessionID         int64         // the session; 0 = none
	TimeLeft          time.Duration // how long the client still waits
	SinceSessionWrite time.Duration // age of the session's last write; 0 = none
	EstimatedWork     time.Duration // expected work; 0 = unknown
	Retry             bool          // the client sends the same request again
	PriorAttempts     int           // attempts that it has used before, none of which ran
}

// Status is how an attempt or a health check ended.
type Status int

// How an attempt or a health check can end.
const (
	StatusDone          Status = iota // served
	StatusError                       // answered with an error; may have run
	StatusBusy                        // rejected unseen
	StatusTimedOut                    // may have run
	StatusConnectFailed               // never ran
	StatusReset                       // may have run
	StatusCancelled                   // may have run
	StatusNotSent                     // never sent
	StatusMiss                        // sent back untouched: wrong role, or data too old
)

// answered says that the endpoint itself has answered.
func (s Status) answered() bool {
	switch s {
	case StatusDone, StatusError, StatusBusy, StatusMiss:
		return true
	}
	return false
}

// reachedEndpoint says that the request has reached the endpoint, or may have.
func (s Status) reachedEndpoint() bool { return s != StatusConnectFailed && s != StatusNotSent }

// mayHaveRun says that the request may have run, or may still run, though its outcome is not known.
func (s Status) mayHaveRun() bool {
	switch s {
	case StatusError, StatusTimedOut, StatusReset, StatusCancelled:
		return true
	}
	return false
}

// Role is what an answer or a load report says of its sender.
type Role int

// The roles of an endpoint.
const (
	RoleUnknown Role = iota // it says nothing of its role
	RolePrimary             // it takes the writes of its group
	RoleReplica             // it takes no writes
)

// AttemptResult ends one attempt.
type AttemptResult struct {
	ID       string // of the request
	Attempt  int
	Endpoint string // the endpoint
	Status   Status
	Elapsed  time.Duration
	Finished bool // the request is answered
	Role     Role
	Position Time // the replication position, an instant on the caller's clock; 0 = unknown
}

// HealthCheckResult ends one health check.
type HealthCheckResult struct {
	Endpoint string // the endpoint
	Status   Status
	Elapsed  time.Duration
	Role     Role
	Position Time // 0 = unknown
}

// ClientDisconnected says that the client has disconnected; nothing is owed any more.
type ClientDisconnected struct{ ID string }

// FirstByte says that a response has begun to stream: its attempt has no deadline any more.
type FirstByte struct {
	ID      string
	Attempt int
}

// Suspend takes an endpoint out of service, whatever discovery says of it, or lets it back in. It may come again, and
// for an endpoint that is not listed yet.
type Suspend struct {
	Endpoint  string
	Suspended bool
}

// ZoneCapacity limits the endpoints of a zone to a part of their capacity: 0 = not at all, 1 = as usual. A zone that
// returns is ramped up with it.
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
