package balance

import "time"

// Time is an instant on the caller's clock: the duration since a fixed origin of the caller's choice. Replication
// positions are instants too.
type Time = time.Duration

// Event is an input to [Balancer.Step]. The types below implement it.
type Event interface{ event() }

// EndpointState is the lifecycle state of an endpoint as reported by discovery.
type EndpointState int

// The states of an endpoint.
const (
	EndpointRemoved  EndpointState = 0 // no longer listed
	EndpointReady    EndpointState = 1 // may be sent requests
	EndpointDraining EndpointState = 2 // finishes the requests it has and must not get new ones
)

// EndpointListKind is the kind of an EndpointList.
type EndpointListKind int

// The kinds of an endpoint list.
const (
	ListDelta  EndpointListKind = iota // only the changed entries
	ListFull                           // all entries
	ListCached                         // all entries, as they were when the instance last ran
	ListFailed                         // a poll failed or the subscription broke
	ListSilent                         // like ListFailed, and discovery sent no answer, or none that can be trusted
)

// EndpointEntry is one endpoint in an endpoint list.
type EndpointEntry struct {
	Endpoint  string // ID of the endpoint
	Zone      string
	Group     int64
	State     EndpointState
	Primary   bool // discovery reports it as the primary of its group
	StartedAt Time // when it last started; 0 = long ago
}

// EndpointList is an endpoint list from discovery, or a change to it.
type EndpointList struct {
	Kind    EndpointListKind
	Entries []EndpointEntry
}

// Request is a new request. Each request gets exactly one final answer.
type Request struct {
	ID                string
	Class             string
	Tenant            string
	Group             int64
	SessionID         int64         // 0 = no session
	TimeLeft          time.Duration // until the client times out
	SinceSessionWrite time.Duration // age of the session's last write; 0 = no write
	EstimatedWork     time.Duration // expected work of the request; 0 = unknown
	Retry             bool          // whether this is a retry by the client
	PriorAttempts     int           // attempts used before the request was submitted again; none of them ran
}

// Status is the outcome of an attempt or a health check.
type Status int

// The outcomes of an attempt or a health check.
const (
	StatusDone          Status = iota // the request was served
	StatusError                       // answered with an error; may have run
	StatusBusy                        // rejected without being processed
	StatusTimedOut                    // may have run
	StatusConnectFailed               // never ran
	StatusReset                       // may have run
	StatusCancelled                   // may have run
	StatusNotSent                     // never sent
	StatusMiss                        // not processed: the endpoint has the wrong role, or its data is too old
)

// answered reports whether the endpoint itself has answered.
func (s Status) answered() bool {
	switch s {
	case StatusDone, StatusError, StatusBusy, StatusMiss:
		return true
	}
	return false
}

// reachedEndpoint reports whether the request has reached the endpoint, or may have.
func (s Status) reachedEndpoint() bool { return s != StatusConnectFailed && s != StatusNotSent }

// mayHaveRun reports whether the outcome of the request is unknown: it may have run, or may still run.
func (s Status) mayHaveRun() bool {
	switch s {
	case StatusError, StatusTimedOut, StatusReset, StatusCancelled:
		return true
	}
	return false
}

// Role is the role that an endpoint reports in an answer or a load report.
type Role int

// The roles of an endpoint.
const (
	RoleUnknown Role = iota // no role was reported
	RolePrimary             // accepts the writes of its group
	RoleReplica             // does not accept writes
)

// AttemptResult reports the end of an attempt.
type AttemptResult struct {
	ID       string // of the request
	Attempt  int    // number of the attempt; see Send
	Endpoint string // ID of the endpoint
	Status   Status
	Elapsed  time.Duration
	Finished bool // whether the client has its final answer
	Role     Role
	Position Time // replication position of the endpoint; 0 = unknown
}

// HealthCheckResult reports the end of a health check.
type HealthCheckResult struct {
	Endpoint string // ID of the endpoint
	Status   Status
	Elapsed  time.Duration
	Role     Role
	Position Time // replication position of the endpoint; 0 = unknown
}

// ClientDisconnected reports that the client of a request has disconnected. The request needs no answer any more.
type ClientDisconnected struct{ ID string }

// FirstByte reports that a response has begun to stream. From then on the request has no deadline.
type FirstByte struct {
	ID      string
	Attempt int
}

// Suspend suspends or resumes an endpoint, regardless of its state in discovery. It may be repeated, and may name an
// endpoint that is not listed yet.
type Suspend struct {
	Endpoint  string
	Suspended bool
}

// ZoneCapacity limits the endpoints of a zone to a share of their capacity, from 0 (not used) to 1 (no limit). A zone
// that recovers is ramped up with it.
type ZoneCapacity struct {
	Zone  string
	Share float64
}

// OtherProcess reports that another process of this router serves clients, or does so no longer. It commits writes of
// sessions whose reads may come to this process.
type OtherProcess struct{ Serving bool }

// Wake reports that a Timer has fired.
type Wake struct{}

func (EndpointList) event()       {}
func (Request) event()            {}
func (AttemptResult) event()      {}
func (HealthCheckResult) event()  {}
func (ClientDisconnected) event() {}
func (FirstByte) event()          {}
func (Suspend) event()            {}
func (ZoneCapacity) event()       {}
func (OtherProcess) event()       {}
func (Wake) event()               {}
