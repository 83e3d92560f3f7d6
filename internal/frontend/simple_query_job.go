package frontend

import (
	"strings"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
)

// SimpleQuery is the job of one simple query. It implements backend.Job for a query that returns one row of one column.
type SimpleQuery struct {
	sql     string
	comment requestcomment.Comment
}

// NewSimpleQuery returns the job of a simple query, and reports whether the query is empty.
func NewSimpleQuery(sql string) (query *SimpleQuery, empty bool) {
	text := strings.TrimSuffix(strings.TrimSpace(sql), ";")
	return &SimpleQuery{sql: sql}, strings.TrimSpace(text) == ""
}

// ParseComment parses the request comment of the statement. It must succeed before the job is submitted to the router.
func (q *SimpleQuery) ParseComment() (comment requestcomment.Comment, err error) {
	q.comment, err = requestcomment.Parse(q.sql)
	return q.comment, err
}

// Messages implements backend.Job: the statement as it was received, with the client timeout in its request comment
// replaced by the remaining time.
func (q *SimpleQuery) Messages(timeLeft time.Duration) []byte {
	return pgwire.AppendQuery(nil, q.comment.WithTimeout(q.sql, timeLeft))
}

// Size returns the number of bytes that the job keeps.
func (q *SimpleQuery) Size() int { return len(q.sql) }

// Complete implements backend.Job: a complete response is one row of one column, with a command tag that matches the
// statement.
func (q *SimpleQuery) Complete(response *backend.Response) bool {
	hasOneRow := string(response.Types) == "TDC" && response.Shape.Columns == 1
	return hasOneRow && q.MatchesTag(response.Shape.Tag)
}

// StartsResponse implements backend.Job.
func (q *SimpleQuery) StartsResponse(response *backend.Response) bool {
	return string(response.Types) == "T" && response.Shape.Columns == 1
}

// MatchesTag reports whether the statement can have the command tag.
func (q *SimpleQuery) MatchesTag(tag string) bool {
	_, text, _ := strings.Cut(q.sql, "*/")
	word, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	verb := strings.ToUpper(word)
	switch verb {
	case "SELECT", "INSERT", "UPDATE", "DELETE":
		return strings.HasPrefix(tag, verb+" ")
	}
	return true
}
