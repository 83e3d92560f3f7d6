package extendedquery

import (
	"strings"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/frontend"
	"limeladder/internal/pgwire"
)

// operation is what one request does at an endpoint: the description of a statement, or that of a portal and its
// execution. It implements backend.Job.
type operation struct {
	statement      *preparedStatement // nil: a simple query, which has a job of its own
	portal         *portal            // nil: describe the statement
	describe       bool
	execute        bool
	maxRows        uint32 // 0 = all
	receivedAt     time.Duration
	closeResponses []byte // responses to the Close messages that came behind it
	syncReceived   bool   // Sync has come behind it
}

// Messages implements backend.Job: the statement is prepared anew on whichever endpoint the attempt goes to, and Sync
// stands behind it, so that nothing of it outlives the attempt.
func (o *operation) Messages(left time.Duration) []byte {
	parse := o.statement.ParseMessage
	parse.Name = ""
	parse.Query = o.statement.comment.WithTimeout(parse.Query, left)
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

// Complete implements backend.Job: the types of the messages have to be those that answer Messages.
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

// cutDescription cuts RowDescription or NoData off the front of a list of message types.
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
