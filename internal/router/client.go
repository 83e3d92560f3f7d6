package router

import "time"

// Job is what a frontend wants done. Only the frontend and the backends look inside.
type Job any

// Response is what an endpoint answered to a job. Only the frontend and the backends look inside.
type Response any

// Client is the frontend's side of one request. Exactly one of Served, Rejected, Failed and ResponseTruncated is
// called, once.
type Client interface {
	// ResponseStarted says that a long response is forwarded while it arrives, and brings the part before its long
	// row. ResponsePart brings the row, piece by piece, and Served what follows it.
	ResponseStarted(response Response, flow Flow)

	// ResponsePart brings the next piece of the long row.
	ResponsePart(part []byte)

	// ResponseTruncated says that the forwarded response stays incomplete. The client has to see that.
	ResponseTruncated()

	// Served brings the response, or the rest of one that was forwarded while it arrived.
	Served(response Response)

	// Rejected says that nothing ran: the client may retry after this time without harm.
	Rejected(retryAfter time.Duration)

	// Failed says that nothing is promised: the request may have run.
	Failed(reason string)

	// Disconnected says that the client has left, although Disconnect was not called yet. With askSystem the
	// operating system is asked too, which knows first.
	Disconnected(askSystem bool) bool
}

// Committer is a Client that is notified of the position of its write, right before its answer.
type Committer interface {
	// Committed brings the position.
	Committed(position time.Duration)
}

// Flow is the source of a response that is forwarded while it arrives.
type Flow interface {
	// SetPaused stops the source, or lets it go on.
	SetPaused(paused bool)
}

// Request is what a frontend has received. Times are on the loop's clock.
type Request struct {
	ClientRequestID string // the client's own id of the request, "" = it gave none
	Class           string
	Group           int64 // the replica group
	Session         string
	Deadline        time.Duration // the client gives up this long after it has sent the request
	ReceivedAt      time.Duration // when the last byte of the request arrived
	MinPosition     time.Duration // the position that the response has to reflect, 0 = any
	Retry           bool
	Job             Job
	Tenant          string // the user of the connection, for the audit record; "" = not known
	ClientAddress   string // the address of the client
}

// Ordering says which of the requests that were sent before it on the same connection a request has to follow.
type Ordering struct {
	// Writes says that the request may change data. It follows all earlier requests, so that none of them sees its
	// change.
	Writes bool
	// ReadsOwnWrites says that the request has to see what its session has written. It follows those writes.
	ReadsOwnWrites bool
	// ReadsAllWrites says that the request has to see what anybody has written. It follows all writes.
	ReadsAllWrites bool
}
