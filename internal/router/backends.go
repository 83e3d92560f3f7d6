package router

import (
	"time"

	"limeladder/balance"
)

// Backends executes attempts and health checks at the endpoints. Its methods and the callbacks passed to them run in
// the event loop's goroutine.
type Backends interface {
	// Start starts an attempt. It calls done once with the result, possibly before Start returns, unless the attempt
	// is cancelled first.
	Start(attempt Attempt, done func(Result)) AttemptHandle

	// HealthCheck asks an endpoint for a load report and calls done once with the result.
	HealthCheck(endpoint string, done func(Result))

	// Suspend stops new work from being sent to an endpoint on behalf of an operator, or allows it again.
	Suspend(endpoint string, suspended bool)
}

// AttemptHandle is an attempt in flight.
type AttemptHandle interface {
	// Cancel cancels the attempt and reports whether any of it was written, so that it may have reached the endpoint.
	// Its result is not reported any more.
	Cancel() (written bool)

	// NotWritten reports whether no byte of the attempt has been written yet.
	NotWritten() bool
}

// Attempt is one attempt to execute a request at an endpoint. Points in time are on the event loop's clock.
type Attempt struct {
	Endpoint string
	Job      Job
	Deadline time.Duration // the router stops waiting at this time
	NotAfter time.Duration // the attempt must not be written later than this, 0 = no limit

	OnResponseStarted func(Response, FlowController) // a long response begins to arrive; gets the part before its long row
	OnResponsePart    func(part []byte)              // gets the next piece of the long row
	Abandoned         func() bool                    // reports whether the attempt must not be written; nil = false
}

// Result is the result of an attempt or a health check.
type Result struct {
	Status            balance.Status
	Role              balance.Role
	Position          time.Duration // the replication position that the endpoint reported, 0 = none
	Response          Response
	SQLState          string        // the SQLSTATE of an error that the response carries, "" = none
	ResponseStartedAt time.Duration // when the response began to arrive, 0 = no response
	Utilization       float64       // used share of the endpoint's capacity, from a health check; 0 = not reported
}

// DiscoveryPoller asks discovery for the endpoint list.
type DiscoveryPoller interface {
	// Poll requests the list once. The result is passed to Router.UpdateEndpoints.
	Poll()
}
