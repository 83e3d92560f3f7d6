package router

import "time"

// Job is the work that a frontend requests. It is opaque to the router, which only asks a Job that implements sizer for
// its size; frontends and backends inspect it.
type Job any

// Response is an endpoint's response to a job. It is opaque to the router; only frontends and backends inspect it.
type Response any

// Client receives the answer to one request on behalf of the frontend. Unless the client disconnects first, exactly one
// of Served, Rejected, Failed and ResponseTruncated is called, once.
type Client interface {
	// HasRoomFor reports whether there is memory to keep the response until the client has read what was sent before. If
	// there is not, a request that may be repeated is rejected.
	HasRoomFor(response Response) bool

	// ResponseStarted is called when a long response is going to be forwarded while it arrives. response is the part
	// before its long row. ResponsePart delivers the row in pieces, and Served the part after it.
	ResponseStarted(response Response, flow FlowController)

	// ResponsePart delivers the next piece of the long row.
	ResponsePart(part []byte)

	// WithholdsResponse reports whether the client keeps a response that has started until it is complete, so that no
	// part of it has been sent yet. The request's deadline applies to such a response as to any other.
	WithholdsResponse() bool

	// ResponseTruncated is called when the forwarded response stays incomplete. The client must be able to notice it.
	ResponseTruncated()

	// Served delivers the response, or the rest of a response that was forwarded while it arrived.
	Served(response Response)

	// Rejected is called when the request was not executed: the client may safely retry it after retryAfter.
	Rejected(retryAfter time.Duration)

	// Failed is called when the outcome is unknown: the request may have been executed.
	Failed(reason string)

	// Disconnected reports whether the client has disconnected, even if Disconnect was not called yet. With askSystem
	// the operating system is asked too, which learns of it first.
	Disconnected(askSystem bool) bool
}

// CommitObserver is a Client that is notified of the replication position of its write.
type CommitObserver interface {
	// Committed is called with the position right before the answer.
	Committed(position time.Duration)
}

// FlowController controls the flow of a response that is forwarded while it arrives.
type FlowController interface {
	// SetPaused pauses or resumes the reading of the response.
	SetPaused(paused bool)
	// BytesToCome returns how many bytes of the response are known to follow.
	BytesToCome() int
	// LimitParts limits the size of the parts in which the response is read and forwarded, in bytes.
	LimitParts(bytes int)
}

// Request is a request as a frontend received it. Points in time are on the event loop's clock.
type Request struct {
	ClientRequestID string // assigned by the client, "" = none
	Class           string
	Group           int64 // the replica group
	Session         string
	ClientTimeout   time.Duration // how long the client waits for the answer after it has sent the request
	ReceivedAt      time.Duration // when the last byte of the request arrived
	MinPosition     time.Duration // replication position that the response has to reflect, 0 = any
	Retry           bool
	Job             Job
	Tenant          string // the user of the connection, for the audit record; "" = unknown
	ClientAddress   string
}

// Ordering specifies which of the earlier requests on its connection a request has to wait for.
type Ordering struct {
	// Writes is set if the request may change data. It waits for all earlier requests, so that none of them sees its
	// change.
	Writes bool
	// ReadsOwnWrites is set if the request has to see the writes of its session. It waits for those.
	ReadsOwnWrites bool
	// ReadsAllWrites is set if the request has to see the writes of all sessions. It waits for all earlier writes.
	ReadsAllWrites bool
}
