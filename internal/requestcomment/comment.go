// Package requestcomment parses the request comment, which precedes a statement and specifies how the request is
// routed.
//
// It defines the format of the comment. It does not inspect the statement after it, except for the first quoted string,
// which is the session, and it does not check whether a class or a group exists. It holds no state and starts no
// goroutines.
package requestcomment

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// Comment has the values of a request comment.
type Comment struct {
	ID          string
	Class       string
	Timeout     time.Duration // counted from when the client sent the statement
	Group       int64
	MinPosition time.Duration // replication position to be reflected, as time since the Unix epoch; 0 = none
	Retry       bool
	Session     string // the first quoted string after the comment

	// Byte offsets of the deadline's value in the statement.
	deadlineStart int
	deadlineEnd   int
}

// Errors returned by Parse.
var (
	ErrMissing   = errors.New("the statement carries no request comment")
	ErrMalformed = errors.New("the request comment is malformed")
)

const (
	commentStart = "/*"
	commentEnd   = "*/"
	quote        = "'"
)

// Keys of the comment. Unknown keys are ignored, so that clients may add their own.
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

// Parse parses the comment at the start of sql. The error is nil, ErrMissing or ErrMalformed.
func Parse(sql string) (Comment, error) {
	var h Comment
	rest, ok := strings.CutPrefix(sql, commentStart)
	if !ok {
		return h, ErrMissing
	}
	text, statement, ok := strings.Cut(rest, commentEnd)
	if !ok {
		return h, ErrMissing
	}
	seen := map[string]bool{}
	start := len(commentStart)
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		key := strings.TrimLeft(name, " ")
		if !ok || seen[key] {
			return h, ErrMalformed
		}
		seen[key] = true
		valueStart := start + len(name) + len("=")
		if err := h.setField(key, strings.TrimRight(value, " "), valueStart); err != nil {
			return h, err
		}
		start += len(pair) + len(",")
	}
	if !h.isComplete(seen) {
		return h, ErrMalformed
	}
	if _, quoted, ok := strings.Cut(statement, quote); ok {
		h.Session, _, _ = strings.Cut(quoted, quote)
	}
	return h, nil
}

// setField sets the field of a key. valueStart is the byte offset of the value in the statement.
func (h *Comment) setField(key, value string, valueStart int) (err error) {
	switch key {
	case keyID:
		h.ID = value
	case keyClass:
		h.Class = value
	case keyDeadline:
		h.Timeout, err = parseMilliseconds(value, maxDeadline)
		h.deadlineStart = valueStart
		h.deadlineEnd = valueStart + len(value)
	case keyGroup:
		h.Group, err = strconv.ParseInt(value, 10, 64)
	case keyAfter:
		h.MinPosition, err = parseMilliseconds(value, maxPosition)
	case keyRetry:
		h.Retry = value == "1"
	}
	if err != nil {
		return ErrMalformed
	}
	return nil
}

// parseMilliseconds parses a duration in milliseconds between 0 and limit.
func parseMilliseconds(text string, limit time.Duration) (time.Duration, error) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if ms < 0 || ms > limit.Milliseconds() {
		return 0, ErrMalformed
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// isComplete reports whether the comment has all keys that are required to route a request.
func (h *Comment) isComplete(seen map[string]bool) bool {
	identified := h.ID != "" && h.Class != ""
	return identified && seen[keyDeadline] && seen[keyGroup]
}

// WithTimeout returns a copy of sql, the statement that h was parsed from, in which the deadline is replaced by the
// time that is left. The rest of the statement is unchanged.
func (h Comment) WithTimeout(sql string, left time.Duration) string {
	return sql[:h.deadlineStart] + strconv.FormatInt(max(1, left.Milliseconds()), 10) + sql[h.deadlineEnd:]
}
