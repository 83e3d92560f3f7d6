package balance

import "time"

// Action is an instruction to the caller, which carries out the actions of a step in order. The types below implement
// it.
type Action interface{ action() }

// Send starts the next attempt of a request. Attempts are numbered from 0 in the order of their sends. After NotAfter
// the endpoint's data may be too old, a repeat may no longer be discarded, or the client had better retry elsewhere.
type Send struct {
	ID       string // of the request
	Endpoint string // ID of the endpoint
	NotAfter Time   // latest time to write the request; 0 = no limit
}

// Reject is a final answer after which the client can safely retry: the request did not run, or running it again does
// no harm.
type Reject struct {
	ID         string
	RetryAfter time.Duration
	Reason     RejectReason
}

// RejectReason is the reason for a rejection, for the engineers on call.
type RejectReason uint8

// The reasons for a rejection.
const (
	RejectNoEndpoint RejectReason = iota // no endpoint could take the request in useful time
	RejectNoGroup                        // no endpoint is listed in the replica group of the request
	RejectNoPrimary                      // the request needs the primary, which is not known or cannot be reached
	RejectUnanswered                     // the request was sent to an endpoint, and no attempt served it
)

var rejectReasonTexts = [...]string{
	RejectNoEndpoint: "no endpoint could take it in time",
	RejectNoGroup:    "no endpoint is listed in its replica group",
	RejectNoPrimary:  "the primary of its replica group is not known or cannot be reached",
	RejectUnanswered: "no attempt brought an answer",
}

// String returns a description of the reason.
func (r RejectReason) String() string { return rejectReasonTexts[r] }

// Fail is a final answer that does not promise that a retry is safe: the request may have run, or its class is not
// configured.
type Fail struct{ ID string }

// Cancel cancels an attempt of a request.
type Cancel struct {
	ID      string
	Attempt int
}

// HealthCheck requests a load report from an endpoint.
type HealthCheck struct{ Endpoint string }

// Timer requests a Wake event after a delay.
type Timer struct{ After time.Duration }

// PollEndpointList polls discovery for the endpoint list, which also subscribes to its changes.
type PollEndpointList struct{}

// PrimaryUpdate informs the caller that the instance has found the primary of a group, or has marked the cached one
// suspect. It requires no action.
type PrimaryUpdate struct {
	Group     int64
	Endpoint  string
	Confirmed bool   // false = the cached primary is suspect
	Reason    string // why the primary is suspect
}

// LogMessage is a log message for the engineers on call.
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
