package sitefailover

import "time"

// Event is an observation that a Monitor processes.
type Event interface{ event() }

// EndpointListed is one entry of an endpoint list.
type EndpointListed struct {
	Endpoint string
	Site     string
	Group    int64
	State    EndpointState
}

// EndpointState is the state of an endpoint in an endpoint list.
type EndpointState uint8

// The states of an endpoint in a list.
const (
	EndpointReady    EndpointState = iota // EndpointReady is in service.
	EndpointDraining                      // EndpointDraining is being taken out of service, as in a deploy.
	EndpointRemoved                       // EndpointRemoved is no longer part of the deployment.
)

// EndpointListComplete reports that a complete list had exactly these endpoints.
type EndpointListComplete struct{ Endpoints []string }

// EndpointAnswered reports that an endpoint has sent any response.
type EndpointAnswered struct{ Endpoint string }

// AttemptFailed reports that an attempt or health check has ended without a response.
type AttemptFailed struct {
	Endpoint string
	Failure  Failure
}

// Failure is how an attempt failed.
type Failure uint8

// The failures of an attempt.
const (
	FailureRefused Failure = iota // FailureRefused means that no connection could be opened.
	FailureReset                  // FailureReset means that an open connection broke.
	FailureTimeout                // FailureTimeout means that no response arrived in time.
)

// String returns the word for the failure in the evidence texts for operators.
func (f Failure) String() string {
	return [...]string{"refused", "reset", "silent"}[f]
}

// PrimaryObserved reports which endpoint is considered the primary of a replica group.
type PrimaryObserved struct {
	Group    int64
	Endpoint string
}

// ReplicaApplied reports that a replica has applied all commits of its group up to Position, a time on the caller's
// clock. If the position is later than the failure of a primary that this router cannot reach, the primary is alive.
type ReplicaApplied struct {
	Endpoint string
	Position time.Duration
}

// DeclareLost is an operator's declaration that a site is lost until a time on the caller's clock. A zero Until revokes
// the declaration.
type DeclareLost struct {
	Site  string
	Until time.Duration
}

func (EndpointListed) event()       {}
func (EndpointListComplete) event() {}
func (EndpointAnswered) event()     {}
func (AttemptFailed) event()        {}
func (PrimaryObserved) event()      {}
func (ReplicaApplied) event()       {}
func (DeclareLost) event()          {}
