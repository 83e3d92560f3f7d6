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

// Job is what a frontend wants to be written to an endpoint. Each router.Job that reaches a Pool must be one.
type Job interface {
	// Messages returns the messages to write, up to and including the one that is answered with ReadyForQuery.
	Messages(left time.Duration) []byte
	// Complete reports whether a response, each of whose messages is well-formed, is complete and belongs to this job.
	Complete(response *Response) bool
	// StartsResponse reports whether a response may be the start of such a one, with a long row to follow.
	StartsResponse(response *Response) bool
}

// Response is what an endpoint sent before ReadyForQuery, as it came, without the messages that concern only the
// connection.
type Response struct {
	Messages []byte
	Types    []byte       // one letter a message, in order
	Shape    pgwire.Shape // the form of the messages so far
	Code     string       // the SQLSTATE of an error that concerns the statement, "" = none
}

// incomingResponse is a response that is being received.
type incomingResponse struct {
	response    *Response
	startedAt   time.Duration     // when its first byte was looked at, 0 = none has come
	streaming   bool              // it is forwarded as it comes
	streamedRow *pgwire.RowStream // the row that is being streamed, nil = none
	asyncBytes  int               // of messages that are not part of the response
	sqlState    string            // of an ErrorResponse, "" = none
	invalid     bool              // the connection must not be used again
	role        balance.Role      // of the endpoint, as the response says
	position    time.Duration     // the endpoint's replication position, as the response says
}

func newIncomingResponse() incomingResponse {
	return incomingResponse{response: &Response{Shape: pgwire.NewShape()}, role: balance.RoleUnknown}
}

// awaitsReady reports whether only ReadyForQuery is missing.
func (in *incomingResponse) awaitsReady() bool {
	return in.sqlState != "" || in.response.Shape.Tag != ""
}

// recordError notes the SQLSTATE of an ErrorResponse.
func (in *incomingResponse) recordError(message pgwire.Message) {
	in.sqlState = pgwire.InternalError
	if fields, err := pgwire.Fields(message.Body); err == nil && len(fields['C']) == 5 {
		in.sqlState = fields['C']
	}
}

// maxPositionMillis bounds the replication positions that are believed, in milliseconds since the Unix epoch: the
// year 2109.
const maxPositionMillis = 1 << 42

// recordParameter notes what a ParameterStatus tells of the endpoint: its role and its replication position.
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

// statementErrorClasses are the classes of SQLSTATE that concern the statement itself: every endpoint would answer like
// this.
const statementErrorClasses = "21 22 23 26 34 42 44 0A"

// result says how the attempt ended. Errors that concern the statement go back to the client as they came; the other
// codes of the protocol page's table are outcomes for the balancer.
func (c *connection) result() router.Result {
	in := &c.incoming
	result := router.Result{Role: in.role, Position: in.position, ResponseStartedAt: in.startedAt}
	switch {
	case in.sqlState == "" && c.attempt.job.Complete(in.response):
		result.Status = balance.StatusDone
		result.Response = in.response
	case in.sqlState == "", bytes.ContainsAny(in.response.Types, "DC"):
		// What an invalid response claims of role and position is not believed.
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
