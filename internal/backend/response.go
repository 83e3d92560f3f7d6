package backend

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
)

// Job is the part of a request that is written to an endpoint, with the rules for its response. Each router.Job passed
// to a Pool must implement it.
type Job interface {
	// Messages returns the messages to write, up to and including the one that the endpoint answers with ReadyForQuery.
	// left is the time until the client's deadline.
	Messages(left time.Duration) []byte
	// Complete reports whether a response of well-formed messages is complete and belongs to this job.
	Complete(response *Response) bool
	// StartsResponse reports whether the messages so far may start a response of this job, with a long row to follow.
	StartsResponse(response *Response) bool
}

// Response contains the messages that an endpoint sent before ReadyForQuery, unchanged, without the asynchronous
// messages, which concern only the connection.
type Response struct {
	Messages []byte
	Types    []byte       // the type of each message, in order
	Shape    pgwire.Shape // the structure of the messages so far
	Code     string       // the SQLSTATE of an error caused by the statement, "" = none
}

// incomingResponse is a response that is being received.
type incomingResponse struct {
	response    *Response
	startedAt   time.Duration     // when its first byte was read, 0 = none has been received
	streaming   bool              // it is forwarded while it is being received
	streamedRow *pgwire.RowStream // the row that is being streamed, nil = none
	asyncBytes  int               // total bytes of asynchronous messages
	sqlState    string            // of an ErrorResponse, "" = none
	invalid     bool              // the connection must not be reused
	role        balance.Role      // of the endpoint, as reported with the response
	position    time.Duration     // the endpoint's replication position, as reported with the response
}

func newIncomingResponse() incomingResponse {
	return incomingResponse{response: &Response{Shape: pgwire.NewShape()}, role: balance.RoleUnknown}
}

// awaitsReady reports whether the response is complete except for ReadyForQuery.
func (in *incomingResponse) awaitsReady() bool {
	return in.sqlState != "" || in.response.Shape.Tag != ""
}

// recordError stores the SQLSTATE of an ErrorResponse. An unreadable one counts as an internal error.
func (in *incomingResponse) recordError(message pgwire.Message) {
	in.sqlState = pgwire.InternalError
	if fields, err := pgwire.Fields(message.Body); err == nil && len(fields['C']) == 5 {
		in.sqlState = fields['C']
	}
}

// maxPositionMillis is the upper bound of valid replication positions, in milliseconds since the Unix epoch. It is in
// the year 2109.
const maxPositionMillis = 1 << 42

// recordParameter stores the endpoint's role or replication position from a ParameterStatus message.
func (in *incomingResponse) recordParameter(name, value string) {
	switch name {
	case "mode":
		switch value {
		case "read-write":
			in.role = balance.RolePrimary
		case "read-only":
			in.role = balance.RoleReplica
		}
	case "wal_time":
		millis, err := strconv.ParseFloat(value, 64)
		if err == nil && millis > 0 && millis < maxPositionMillis {
			in.position = time.Duration(millis) * time.Millisecond // rounded down
		}
	}
}

// statementErrorClasses lists the SQLSTATE classes of errors caused by the statement itself: every endpoint would
// return the same error.
const statementErrorClasses = "21 22 23 26 34 42 44 0A"

// result returns the outcome of the attempt. Errors caused by the statement are returned to the client unchanged; the
// other SQLSTATE codes in the protocol documentation's table are outcomes for the balancer.
func (c *connection) result() router.Result {
	in := &c.incoming
	result := router.Result{Role: in.role, Position: in.position, ResponseStartedAt: in.startedAt}
	switch {
	case in.sqlState == "" && c.attempt.job.Complete(in.response):
		result.Status = balance.StatusDone
		result.Response = in.response
	case in.sqlState == "", bytes.ContainsAny(in.response.Types, "DC"):
		// The role and position reported with an invalid response are discarded.
		in.invalid = true
		return router.Result{Status: balance.StatusError}
	case in.sqlState == pgwire.TooManyConnections:
		result.Status = balance.StatusBusy
	case in.sqlState == pgwire.ReadOnly, in.sqlState == pgwire.SnapshotTooOld:
		result.Status = balance.StatusMiss
	case strings.Contains(statementErrorClasses, in.sqlState[:2]):
		in.response.Code = in.sqlState
		result.Status = balance.StatusDone
		result.Response = in.response
		result.SQLState = in.sqlState
	default:
		result.Status = balance.StatusError
	}
	return result
}
