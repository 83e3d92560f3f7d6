// Package requestcomment reads the comment in front of a statement, which says how the request is to be routed.
package requestcomment

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// Head is what the comment says.
type Head struct {
	ID       string
	Class    string
	Deadline time.Duration // counted from when the client sent the statement
	Group    int64
	After    time.Duration // a position, since the Unix epoch; 0 = not told
	Retry    bool
	Session  string // the first quoted word behind the comment

	from, to int // where the figure of d stands
}

// The faults of a comment.
var (
	ErrNone = errors.New("the statement carries no request comment")
	ErrForm = errors.New("the request comment is malformed")
)

const longest = 24 * time.Hour

// Parse reads the comment at the start of sql.
func Parse(sql string) (Head, error) {
	var h Head
	rest, ok := strings.CutPrefix(sql, "/*")
	if !ok {
		return h, ErrNone
	}
	text, tail, ok := strings.Cut(rest, "*/")
	if !ok {
		return h, ErrNone
	}
	seen := map[string]bool{}
	at := 2
	for _, part := range strings.Split(text, ",") {
		here := at
		at += len(part) + 1
		name, value, ok := strings.Cut(part, "=")
		lead := len(name) - len(strings.TrimLeft(name, " "))
		key := name[lead:]
		if !ok || seen[key] {
			return h, ErrForm
		}
		seen[key] = true
		from := here + len(name) + 1
		value = strings.TrimRight(value, " ")
		var err error
		switch key {
		case "id":
			h.ID = value
		case "c":
			h.Class = value
		case "d":
			var ms int64
			if ms, err = strconv.ParseInt(value, 10, 64); err == nil && (ms < 0 || ms > longest.Milliseconds()) {
				err = ErrForm
			}
			h.Deadline = time.Duration(ms) * time.Millisecond
			h.from, h.to = from, from+len(value)
		case "cluster":
			h.Group, err = strconv.ParseInt(value, 10, 64)
		case "after":
			var ms int64
			if ms, err = strconv.ParseInt(value, 10, 64); err == nil && (ms < 0 || ms > 1<<42) {
				err = ErrForm
			}
			h.After = time.Duration(ms) * time.Millisecond
		case "r":
			h.Retry = value == "1"
		}
		if err != nil {
			return h, ErrForm
		}
	}
	if h.ID == "" || h.Class == "" || !seen["d"] || !seen["cluster"] {
		return h, ErrForm
	}
	if _, quoted, ok := strings.Cut(tail, "'"); ok {
		h.Session, _, _ = strings.Cut(quoted, "'")
	}
	return h, nil
}

// WithDeadline returns sql, for which Parse gave h, with d telling the time that is left. All else stays as it is.
func (h Head) WithDeadline(sql string, left time.Duration) string {
	return sql[:h.from] + strconv.FormatInt(max(1, left.Milliseconds()), 10) + sql[h.to:]
}
