package extendedquery

import (
	"errors"
	"strings"
)

// The statements that are turned away.
var (
	errMultipleStatements   = errors.New("one statement at a time")
	errUnsupportedStatement = errors.New("transaction blocks, COPY and statements that leave state at a server are not supported")
	errWriteInReadClass     = errors.New("a statement that writes needs a class that writes")
	errUnterminated         = errors.New("a quote or comment is not closed")
)

// Plain says whether sql is one statement that can run alone on any connection. writes tells whether its class
// does; the router may repeat the others, so they must not.
func CheckStatement(sql string, writes bool) error {
	words, many, err := scan(sql)
	switch {
	case err != nil:
		return err
	case many:
		return errMultipleStatements
	case len(words) == 0:
		return errUnsupportedStatement
	}
	switch words[0] {
	case "SELECT", "VALUES", "TABLE", "WITH", "INSERT", "UPDATE", "DELETE", "MERGE":
	default:
		return errUnsupportedStatement
	}
	for i, w := range words {
		switch w {
		case "INSERT", "DELETE", "MERGE":
		case "UPDATE": // SELECT ... FOR UPDATE locks, which a replica refuses too
		case "INTO":
			if i > 0 && (words[i-1] == "INSERT" || words[i-1] == "MERGE") {
				continue
			}
		default:
			continue
		}
		if !writes {
			return errWriteInReadClass
		}
	}
	return nil
}

// scan returns the bare words of sql in upper case, and whether something stands behind a semicolon.
func scan(sql string) (words []string, many bool, err error) {
	ended := false
	for i := 0; i < len(sql); {
		c := sql[i]
		rest := sql[i:]
		n := 1
		switch {
		case strings.HasPrefix(rest, "--"):
			if n = strings.IndexByte(rest, '\n'); n < 0 {
				n = len(rest)
			}
			i += n
			continue
		case strings.HasPrefix(rest, "/*"):
			if n = commentLength(rest); n < 0 {
				return nil, false, errUnterminated
			}
			i += n
			continue
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
			i++
			continue
		case c == ';':
			ended = true
			i++
			continue
		case c == '\'':
			escapes := i > 0 && (sql[i-1] == 'e' || sql[i-1] == 'E') && (i < 2 || !isWordByte(sql[i-2]))
			n = quotedLength(rest, '\'', escapes)
		case c == '"':
			n = quotedLength(rest, '"', false)
		case c == '$' && (i == 0 || !isWordByte(sql[i-1])):
			n = dollarQuotedLength(rest)
		case isWordByte(c):
			for n < len(rest) && (isWordByte(rest[n]) || rest[n] == '$') {
				n++
			}
			words = append(words, strings.ToUpper(rest[:n]))
		}
		if n < 0 {
			return nil, false, errUnterminated
		}
		many = many || ended
		i += n
	}
	return words, many, nil
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 0x80 || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// comment returns the length of the comment that s starts with; comments nest.
func commentLength(s string) int {
	depth := 0
	for i := 0; i+1 < len(s); i++ {
		switch s[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return -1
}

func quotedLength(s string, q byte, escapes bool) int {
	for i := 1; i < len(s); i++ {
		switch {
		case escapes && s[i] == '\\':
			i++
		case s[i] == q && i+1 < len(s) && s[i+1] == q:
			i++
		case s[i] == q:
			return i + 1
		}
	}
	return -1
}

// dollar returns the length of a dollar-quoted string, or 1 where s starts a parameter such as $1.
func dollarQuotedLength(s string) int {
	end := strings.IndexByte(s[1:], '$')
	if end < 0 || end > 0 && (s[1] >= '0' && s[1] <= '9') {
		return 1
	}
	for _, c := range []byte(s[1 : 1+end]) {
		if !isWordByte(c) {
			return 1
		}
	}
	tag := s[:end+2]
	close := strings.Index(s[len(tag):], tag)
	if close < 0 {
		return -1
	}
	return len(tag) + close + len(tag)
}
