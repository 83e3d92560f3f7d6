package router

import (
	"time"

	"limeladder/balance"
)

// Backends reaches the endpoints. Its methods and the functions given to them run in the loop's goroutine.
type Backends interface {
	// Start begins an attempt. It calls done once with the result, maybe before it returns, unless the attempt is
	// cancelled first.
	Start(attempt Attempt, done func(Result)) AttemptHandle

	// HealthCheck asks an endpoint for a load report and calls done once with the result.
	HealthCheck(endpoint string, done func(Result))

	// Suspend closes an endpoint for new work on behalf of an operator, or opens it again.
	Suspend(endpoint string, suspended bool)
}

// AttemptHandle is an attempt in flight.
type AttemptHandle interface {
	// Cancel gives the attempt up and says whether it may have reached the endpoint. Its result is not reported any
	// more.
	Cancel() (written bool)

	// NotWritten says that no byte of the attempt was written yet.
	NotWritten() bool
}

// Attempt is one attempt of a request at one endpoint. Times are on the loop's clock.
type Attempt struct {
	Endpoint string
	Job      Job
	Deadline time.Duration // the router stops waiting at this moment
	NotAfter time.Duration // the attempt must not be written later than this, 0 = no limit

	OnResponseStarted func(Response, Flow) // a long response begins to arrive: the part before its long row
	OnResponsePart    func(part []byte)    // the next piece of the row
	Abandoned         func() bool          // nobody wants the response any more: do not write it; nil = somebody does
}

// Result ends an attempt or a health check.
type Result struct {
	Status            balance.Status
	Role              balance.Role
	Position          time.Duration // the replication position that the endpoint reported, 0 = none
	Response          Response
	SQLState          string        // the SQLSTATE of an error that the response carries, "" = none
	ResponseStartedAt time.Duration // when the response began to arrive, 0 = none did
	Utilization       float64       // of a health check: the used part of the endpoint's capacity, 0 = not reported
}

// DiscoveryPoller asks discovery for the endpoint list.
type DiscoveryPoller interface {
	// Poll starts one request for the list, which comes back by Router.UpdateEndpoints.
	Poll()
}
