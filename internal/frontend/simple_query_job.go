package frontend

import (
	"strings"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
)

// Query is a simple query on its way to a db machine.
type SimpleQuery struct {
	sql     string
	comment requestcomment.Head
}

// Simple makes a job of a simple query, or says that it is an empty one.
func NewSimpleQuery(sql string) (q *SimpleQuery, blank bool) {
	return &SimpleQuery{sql: sql}, strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(sql), ";")) == ""
}

// Head reads the statement's comment; it has to be called, and to give no error, before the job is handed on.
func (q *SimpleQuery) ParseComment() (h requestcomment.Head, err error) {
	q.comment, err = requestcomment.Parse(q.sql)
	return q.comment, err
}

// Messages implements servers.Job: the statement as it came, but for the time that is left.
func (q *SimpleQuery) Messages(left time.Duration) []byte {
	return pgwire.AppendQuery(nil, q.comment.WithDeadline(q.sql, left))
}

// Size is what it keeps, in bytes.
func (q *SimpleQuery) Size() int { return len(q.sql) }

// Whole implements servers.Job: one row of one column, from a command such as the statement's.
func (q *SimpleQuery) Complete(a *backend.Response) bool {
	return string(a.Types) == "TDC" && a.Shape.Columns == 1 && q.MatchesTag(a.Shape.Tag)
}

// Begins implements servers.Job.
func (q *SimpleQuery) StartsResponse(a *backend.Response) bool {
	return string(a.Types) == "T" && a.Shape.Columns == 1
}

// Fits says whether a command tag is one that the statement can have.
func (q *SimpleQuery) MatchesTag(tag string) bool {
	_, text, _ := strings.Cut(q.sql, "*/")
	verb, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	switch verb = strings.ToUpper(verb); verb {
	case "SELECT", "INSERT", "UPDATE", "DELETE":
		return strings.HasPrefix(tag, verb+" ")
	}
	return true
}

// Refusal is the error of a request that may be sent again without harm.
func RejectionError(after time.Duration) pgwire.Error {
	return pgwire.Error{Code: pgwire.TooManyConnections, Message: "refused: a repeat does no harm, come again", After: after}
}

// Failure is the error of a request that may have run.
func FailureError(why string) pgwire.Error {
	return pgwire.Error{Code: pgwire.UnknownOutcome, Message: "failed: " + why}
}
