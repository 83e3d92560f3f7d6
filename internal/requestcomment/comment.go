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

	// Byte offsets of the timeout's value in the statement.
	timeoutStart int
	timeoutEnd   int
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
	keyID      = "id"
	keyClass   = "c"
	keyTimeout = "d"
	keyGroup   = "cluster"
	keyAfter   = "after"
	keyRetry   = "r"
)

const (
	maxFields  = 64 // further ones would take time and memory in proportion to the length of a statement
	maxTimeout = 24 * time.Hour
	// maxPosition is in the year 2109, so no position in practice reaches it. It does not overflow a time.Duration.
	maxPosition = (1 << 42) * time.Millisecond
)

// Parse parses the comment at the start of sql. The error is nil, ErrMissing or ErrMalformed.
func Parse(sql string) (Comment, error) {
	var c Comment
	rest, ok := strings.CutPrefix(sql, commentStart)
	if !ok {
		return c, ErrMissing
	}
	text, statement, ok := strings.Cut(rest, commentEnd)
	if !ok {
		return c, ErrMissing
	}
	seen := map[string]bool{}
	start := len(commentStart)
	for pair := range strings.SplitSeq(text, ",") {
		if len(seen) == maxFields {
			return c, ErrMalformed
		}
		name, value, ok := strings.Cut(pair, "=")
		key := strings.TrimLeft(name, " ")
		if !ok || seen[key] {
			return c, ErrMalformed
		}
		seen[key] = true
		valueStart := start + len(name) + len("=")
		if err := c.setField(key, strings.TrimRight(value, " "), valueStart); err != nil {
			return c, err
		}
		start += len(pair) + len(",")
	}
	if !c.isComplete(seen) {
		return c, ErrMalformed
	}
	if _, quoted, ok := strings.Cut(statement, quote); ok {
		c.Session, _, _ = strings.Cut(quoted, quote)
	}
	return c, nil
}

// setField sets the field of a key. valueStart is the byte offset of the value in the statement.
func (c *Comment) setField(key, value string, valueStart int) (err error) {
	switch key {
	case keyID:
		c.ID = value
	case keyClass:
		c.Class = value
	case keyTimeout:
		c.Timeout, err = parseMilliseconds(value, maxTimeout)
		c.timeoutStart = valueStart
		c.timeoutEnd = valueStart + len(value)
	case keyGroup:
		c.Group, err = strconv.ParseInt(value, 10, 64)
	case keyAfter:
		c.MinPosition, err = parseMilliseconds(value, maxPosition)
	case keyRetry:
		c.Retry = value == "1"
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
func (c *Comment) isComplete(seen map[string]bool) bool {
	identified := c.ID != "" && c.Class != ""
	return identified && seen[keyTimeout] && seen[keyGroup]
}

// WithTimeout returns a copy of sql, the statement that c was parsed from, in which the timeout is replaced by the time
// that is left, in whole milliseconds and at least 1. The rest of the statement is unchanged.
func (c Comment) WithTimeout(sql string, left time.Duration) string {
	return sql[:c.timeoutStart] + strconv.FormatInt(max(1, left.Milliseconds()), 10) + sql[c.timeoutEnd:]
}
