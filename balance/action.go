package balance

import "time"

// Action is something the caller has to do, in order; the types below implement it.
type Action interface{ action() }

// Send starts the next attempt of a request. Attempts are numbered from 0 in the order of their sends.
type Send struct {
	ID       string // of the request
	Endpoint string // the endpoint
	NotAfter Time   // not to be written later than this: the data may be too old, or the client gone; 0 = no such limit
}

// Reject is a final answer: nothing ran and a retry does no harm.
type Reject struct {
	ID         string
	RetryAfter time.Duration
	Reason     RejectReason
}

// RejectReason is why a request is rejected, for the engineers on call.
type RejectReason uint8

// The reasons for a rejection.
const (
	RejectNoEndpoint RejectReason = iota // no endpoint could take it in useful time
	RejectNoGroup                        // no endpoint is listed in its replica group
	RejectNoPrimary                      // it needs the primary, which is not known or cannot be reached
	RejectUnanswered                     // it was sent, and no attempt brought an answer
)

var rejectReasonTexts = [...]string{
	RejectNoEndpoint: "no endpoint could take it in time",
	RejectNoGroup:    "no endpoint is listed in its replica group",
	RejectNoPrimary:  "the primary of its replica group is not known or cannot be reached",
	RejectUnanswered: "no attempt brought an answer",
}

// String says the reason in words.
func (r RejectReason) String() string { return rejectReasonTexts[r] }

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// Cancel withdraws one attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// HealthCheck asks an endpoint for a load report.
type HealthCheck struct{ Endpoint string }

// Timer asks for a Wake.
type Timer struct{ After time.Duration }

// PollEndpointList subscribes to the endpoint list.
type PollEndpointList struct{}

// PrimaryUpdate tells whom the instance takes for a group's primary from now on, or that it has marked the one it had
// suspect. It asks for nothing.
type PrimaryUpdate struct {
	Group     int64
	Endpoint  string
	Confirmed bool
	Reason    string // why the primary is suspect
}

// LogMessage is a message for the engineers on call.
type LogMessage struct{ Text string }

func (Send) action()             {}
func (Reject) action()           {}
func (Fail) action()             {}
func (Cancel) action()           {}
func (HealthCheck) action()      {}
func (Timer) action()            {}
func (PollEndpointList) action() {}
func (PrimaryUpdate) action()    {}
func (LogMessage) action()       {}
