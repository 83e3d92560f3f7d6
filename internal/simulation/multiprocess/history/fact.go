package history

import (
	"fmt"
	"time"
)

// Fact is one thing that happened.
type Fact interface {
	// String describes the fact in one line.
	String() string
}

// RequestSent is the fact that a client has written a complete request to a router.
type RequestSent struct {
	ID          string
	Class       string
	Site        string // of the client
	Router      string
	Incarnation int // which start of the router, from 1
	Timeout     time.Duration
	IsWrite     bool
}

// Outcome is how a request has ended for its client.
type Outcome uint8

// The outcomes of a request.
const (
	Served       Outcome = iota // answered with a result
	Rejected                    // answered with an error that guarantees that it was not executed
	Failed                      // answered with another error
	Disconnected                // the connection ended without a complete answer
	Unanswered                  // no answer came in time

	// ClosedByPeer means that a connection which had carried other requests ended before any part of the answer. The
	// router may have closed it before it read this request.
	ClosedByPeer
)

// String returns the outcome as timelines print it.
func (outcome Outcome) String() string {
	texts := [...]string{
		Served:       "served",
		Rejected:     "refused",
		Failed:       "failed",
		Disconnected: "broken off",
		Unanswered:   "unanswered",
		ClosedByPeer: "crossed by a close",
	}
	return texts[outcome]
}

// RequestEnded is the fact that the client knows the outcome of its request.
type RequestEnded struct {
	ID         string
	Outcome    Outcome
	SQLState   string // of an error
	Value      string // the first column of a result, which starts with the name of the endpoint that executed it
	ExtraBytes int    // that followed a complete answer
}

// StatementArrived is the fact that a complete statement has arrived at an endpoint.
type StatementArrived struct {
	ID          string
	Class       string
	Router      string
	Incarnation int // which start of the router
	Endpoint    string
	Connection  string        // the address by which the endpoint sees it
	TransitTime time.Duration // how long it was inside the test's own proxy
	IsWrite     bool
	WasPrimary  bool          // the endpoint is or has been the primary of its replica group
	MinPosition time.Duration // a read must not see less of the replication log than this
}

// StatementExecuted is the fact that an endpoint has ended a statement.
type StatementExecuted struct {
	ID           string
	Router       string
	Incarnation  int // which start of the router
	Endpoint     string
	Served       bool
	Disconnected bool // the connection ended first
	IsPrimary    bool
	Position     time.Duration // in the replication log
}

// ConnectionAbandoned is the fact that a router has closed a connection to an endpoint or ended its sending, whether or
// not the endpoint can detect it.
type ConnectionAbandoned struct {
	Router     string
	Endpoint   string
	Connection string // the address by which the endpoint sees it
}

// EndpointStateNotified is the fact that a list with the state of an endpoint was sent to a router, or has reached
// the discovery agent on its host.
type EndpointStateNotified struct {
	Router       string
	Incarnation  int // which start of the router
	Endpoint     string
	State        string // as in the endpoint list
	LinkImpaired bool   // the list may not have arrived, because the link was impaired
}

// ProcessEvent is the fact that a router is ready for clients, or that something was done to its process or to its link
// to clients.
type ProcessEvent struct {
	Router      string
	Incarnation int // which start of the router
	Event       string
	Ready       bool          // it accepts clients from now on
	Duration    time.Duration // of the event's effect; 0 means until the end of this incarnation
}

// ScriptStep is the fact that a step of the script was carried out.
type ScriptStep struct{ Text string }

// SchedulingDelay is the fact that a process waited for a processor of the machine: a router, or the driver, which
// simulates clients, endpoints and discovery.
type SchedulingDelay struct {
	Process string
	Delay   time.Duration
}

// EndpointOverloaded is the fact that an endpoint was overloaded while it was warming up.
type EndpointOverloaded struct{ Endpoint string }

// String implements Fact.
func (fact RequestSent) String() string {
	return fmt.Sprintf("request %s (%s) of %s to %s.%d, within %v",
		fact.ID, fact.Class, fact.Site, fact.Router, fact.Incarnation, fact.Timeout)
}

// String implements Fact.
func (fact RequestEnded) String() string {
	return fmt.Sprintf("request %s is %v %s", fact.ID, fact.Outcome, fact.SQLState)
}

// String implements Fact.
func (fact StatementArrived) String() string {
	return fmt.Sprintf("statement %s comes to %s from %s.%d", fact.ID, fact.Endpoint, fact.Router, fact.Incarnation)
}

// String implements Fact.
func (fact StatementExecuted) String() string {
	return fmt.Sprintf("statement %s ends at %s: served %v, its connection gone %v",
		fact.ID, fact.Endpoint, fact.Served, fact.Disconnected)
}

// String implements Fact.
func (fact ConnectionAbandoned) String() string {
	return fmt.Sprintf("%s gives up its connection %s to %s", fact.Router, fact.Connection, fact.Endpoint)
}

// String implements Fact.
func (fact EndpointStateNotified) String() string {
	return fmt.Sprintf("%s.%d is told that %s is %s", fact.Router, fact.Incarnation, fact.Endpoint, fact.State)
}

// String implements Fact.
func (fact ProcessEvent) String() string {
	if fact.Ready {
		return fmt.Sprintf("%s.%d is ready", fact.Router, fact.Incarnation)
	}
	return fmt.Sprintf("%s.%d: %s", fact.Router, fact.Incarnation, fact.Event)
}

// String implements Fact.
func (fact ScriptStep) String() string { return "step: " + fact.Text }

// String implements Fact.
func (fact SchedulingDelay) String() string {
	return fmt.Sprintf("%s waited %v for a processor", fact.Process, fact.Delay.Round(time.Millisecond))
}

// String implements Fact.
func (fact EndpointOverloaded) String() string { return fact.Endpoint + " is pushed over while cold" }
