// Package requestcomment reads the comment in front of a statement, which says how the request is to be routed.
//
// It owns the comment's form. It never looks at the statement behind it, but for the first quoted word, which names the
// session, and it doesn't judge whether a class or a group exists. It holds no state and starts no goroutines.
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
	After    time.Duration // a position, since the Unix epoch; 0 = none is given
	Retry    bool
	Session  string // the first quoted word behind the comment

	// Where the figure of the deadline stands in the statement.
	deadlineStart int
	deadlineEnd   int
}

// The faults of a comment.
var (
	ErrNone = errors.New("the statement carries no request comment")
	ErrForm = errors.New("the request comment is malformed")
)

const (
	opening = "/*"
	closing = "*/"
	quote   = "'"
)

// The comment's keys. Others are skipped, so that clients may add their own.
const (
	keyID       = "id"
	keyClass    = "c"
	keyDeadline = "d"
	keyGroup    = "cluster"
	keyAfter    = "after"
	keyRetry    = "r"
)

const (
	maxDeadline = 24 * time.Hour
	// maxPosition is far above any time since the Unix epoch and far below what overflows as a time.Duration.
	maxPosition = (1 << 42) * time.Millisecond
)

// Parse reads the comment at the start of sql. The error is ErrNone or ErrForm.
func Parse(sql string) (Head, error) {
	var h Head
	rest, ok := strings.CutPrefix(sql, opening)
	if !ok {
		return h, ErrNone
	}
	text, statement, ok := strings.Cut(rest, closing)
	if !ok {
		return h, ErrNone
	}
	seen := map[string]bool{}
	start := len(opening)
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		key := strings.TrimLeft(name, " ")
		if !ok || seen[key] {
			return h, ErrForm
		}
		seen[key] = true
		valueStart := start + len(name) + len("=")
		if err := h.set(key, strings.TrimRight(value, " "), valueStart); err != nil {
			return h, err
		}
		start += len(pair) + len(",")
	}
	if !h.complete(seen) {
		return h, ErrForm
	}
	if _, quoted, ok := strings.Cut(statement, quote); ok {
		h.Session, _, _ = strings.Cut(quoted, quote)
	}
	return h, nil
}

// set takes one key's value, which begins at valueStart in the statement.
func (h *Head) set(key, value string, valueStart int) (err error) {
	switch key {
	case keyID:
		h.ID = value
	case keyClass:
		h.Class = value
	case keyDeadline:
		h.Deadline, err = milliseconds(value, maxDeadline)
		h.deadlineStart = valueStart
		h.deadlineEnd = valueStart + len(value)
	case keyGroup:
		h.Group, err = strconv.ParseInt(value, 10, 64)
	case keyAfter:
		h.After, err = milliseconds(value, maxPosition)
	case keyRetry:
		h.Retry = value == "1"
	}
	if err != nil {
		return ErrForm
	}
	return nil
}

// milliseconds reads a duration from 0 to limit.
func milliseconds(text string, limit time.Duration) (time.Duration, error) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if ms < 0 || ms > limit.Milliseconds() {
		return 0, ErrForm
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// complete says whether the comment has the keys without which a request can't be routed.
func (h *Head) complete(seen map[string]bool) bool {
	identified := h.ID != "" && h.Class != ""
	return identified && seen[keyDeadline] && seen[keyGroup]
}

// WithDeadline returns sql, for which Parse gave h, with the time that is left as its deadline. All else stays as it
// is.
func (h Head) WithDeadline(sql string, left time.Duration) string {
	return sql[:h.deadlineStart] + strconv.FormatInt(max(1, left.Milliseconds()), 10) + sql[h.deadlineEnd:]
}
