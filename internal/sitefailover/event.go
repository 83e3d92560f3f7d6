package sitefailover

import "time"

// Event is one observation that a Monitor takes in.
type Event interface{ event() }

// EndpointListed is one entry of an endpoint list.
type EndpointListed struct {
	Endpoint string
	Site     string
	Group    int64
	State    EndpointState
}

// EndpointState is what an endpoint list says of an endpoint.
type EndpointState uint8

// The states of an endpoint in a list.
const (
	EndpointReady    EndpointState = iota // EndpointReady is in service.
	EndpointDraining                      // EndpointDraining was told to leave, as in a deploy.
	EndpointRemoved                       // EndpointRemoved is no longer part of the deployment.
)

// EndpointListComplete says that a list had exactly these endpoints.
type EndpointListComplete struct{ Endpoints []string }

// EndpointAnswered says that an endpoint has answered anything at all.
type EndpointAnswered struct{ Endpoint string }

// AttemptFailed says that an attempt or health check has ended without an answer.
type AttemptFailed struct {
	Endpoint string
	Failure  Failure
}

// Failure is the way in which an attempt failed.
type Failure uint8

// The failures of an attempt.
const (
	FailureRefused Failure = iota // FailureRefused means that no connection could be opened.
	FailureReset                  // FailureReset means that an open connection broke.
	FailureTimeout                // FailureTimeout means that no answer came in time.
)

// String returns the word that operators read in a site's evidence.
func (f Failure) String() string {
	return [...]string{"refused", "reset", "silent"}[f]
}

// PrimaryObserved says which endpoint is believed to be the primary of a replica group.
type PrimaryObserved struct {
	Group    int64
	Endpoint string
}

// ReplicaApplied says that a replica has applied all commits of its group up to Position, a time on the caller's clock.
// A primary that this router cannot reach is alive if the position lies behind the primary's failure.
type ReplicaApplied struct {
	Endpoint string
	Position time.Duration
}

// DeclareLost is an operator's declaration that a site is lost, until a time on the caller's clock. A zero Until takes
// the declaration back.
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
