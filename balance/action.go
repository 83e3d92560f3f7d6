package balance

import "time"

// Action is something the caller has to do, in order; the types below implement it.
type Action interface{ action() }

// Send starts the next attempt of a request. Attempts are numbered from 0 in the order of their sends.
type Send struct {
	ID   string // of the request
	Node string // the endpoint
	By   Time   // not to be written later than this: the data may be too old, or the client gone; 0 = no such limit
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

// Probe asks an endpoint for a load report.
type Probe struct{ Node string }

// Timer asks for a Wake.
type Timer struct{ In time.Duration }

// Track subscribes to the endpoint list.
type Track struct{}

// Lead tells whom the instance takes for a group's primary from now on, or that it has marked the one it had suspect.
// It asks for nothing.
type Lead struct {
	Group    int64
	Node     string
	Believed bool
	Why      string // why the primary is suspect
}

// Log is a line for the engineers on call.
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
