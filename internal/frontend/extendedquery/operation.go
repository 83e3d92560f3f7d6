package extendedquery

import (
	"strings"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/frontend"
	"limeladder/internal/pgwire"
)

// operation is the job of one request: to describe a statement, or to describe a portal, execute it, or both. It
// implements backend.Job.
type operation struct {
	statement      *preparedStatement // nil = a simple query, which has its own job
	portal         *portal            // nil = describe the statement
	describe       bool
	execute        bool
	maxRows        uint32 // 0 = all
	receivedAt     time.Duration
	closeResponses []byte // responses to the Close messages that arrived after the operation
	syncReceived   bool   // Sync has arrived after the operation
}

// Messages implements backend.Job. The statement is prepared again at the endpoint of each attempt, and Sync follows
// it, so that the attempt leaves no state at the endpoint.
func (o *operation) Messages(timeLeft time.Duration) []byte {
	parse := o.statement.ParseMessage
	parse.Name = ""
	parse.Query = o.statement.comment.WithTimeout(parse.Query, timeLeft)
	out := pgwire.AppendParse(nil, parse)
	if o.portal == nil {
		out = pgwire.AppendTarget(out, 'D', 'S', "")
		return pgwire.Append(out, 'S')
	}
	out = pgwire.AppendBind(out, pgwire.BindMessage{Rest: o.portal.bindRest})
	if o.describe {
		out = pgwire.AppendTarget(out, 'D', 'P', "")
	}
	if o.execute {
		out = pgwire.AppendExecute(out, "", o.maxRows)
	}
	return pgwire.Append(out, 'S')
}

// Size returns the number of bytes that the operation keeps.
func (o *operation) Size() int {
	size := len(o.statement.Query)
	if o.portal != nil {
		size += len(o.portal.bindRest)
	}
	return size
}

// Complete implements backend.Job. The types of the response messages must be those that answer Messages.
func (o *operation) Complete(response *backend.Response) bool {
	types, ok := strings.CutPrefix(string(response.Types), "1")
	if !ok {
		return false
	}
	if o.portal == nil {
		return types == "tT" || types == "tn"
	}
	types, ok = strings.CutPrefix(types, "2")
	if !ok {
		return false
	}
	if o.describe {
		types, ok = cutDescription(types)
		if !ok {
			return false
		}
	}
	if !o.execute {
		return types == ""
	}
	return endsExecution(strings.TrimLeft(types, "D"))
}

// cutDescription removes a leading RowDescription or NoData from a list of message types.
func cutDescription(types string) (rest string, ok bool) {
	if types == "" || types[0] != 'T' && types[0] != 'n' {
		return types, false
	}
	return types[1:], true
}

// endsExecution reports whether the types are those of CommandComplete, PortalSuspended or EmptyQueryResponse.
func endsExecution(types string) bool {
	return types == "C" || types == "s" || types == "I"
}

// StartsResponse implements backend.Job.
func (o *operation) StartsResponse(response *backend.Response) bool {
	start := "12"
	if o.describe {
		start = "12T"
	}
	return o.execute && strings.TrimRight(string(response.Types), "D") == start
}

// simpleQueryJob is a simple query that may return any number of rows, or none.
type simpleQueryJob struct{ *frontend.SimpleQuery }

// Complete implements backend.Job.
func (j simpleQueryJob) Complete(response *backend.Response) bool {
	types, described := strings.CutPrefix(string(response.Types), "T")
	if described {
		types = strings.TrimLeft(types, "D")
	}
	return types == "C" && j.MatchesTag(response.Shape.Tag)
}

// StartsResponse implements backend.Job.
func (j simpleQueryJob) StartsResponse(response *backend.Response) bool {
	return strings.TrimRight(string(response.Types), "D") == "T"
}
