package extendedquery

import (
	"strings"

	"limeladder/internal/frontend"
)

// checkStatement returns why sql can't be run, or nil if it can. It must be one statement that runs on its own on any
// connection. The router may retry a statement of a class that does not write, so such a statement must not write.
func checkStatement(sql string, mayWrite bool) *frontend.ProtocolError {
	words, multiple, err := scanWords(sql)
	switch {
	case err != nil:
		return err
	case multiple:
		return errMultipleStatements
	case len(words) == 0 || !isSupportedCommand(words[0]):
		return errUnsupportedStatement
	case !mayWrite && containsWrite(words):
		return errWriteInReadClass
	}
	return nil
}

func isSupportedCommand(word string) bool {
	switch word {
	case "SELECT", "VALUES", "TABLE", "WITH", "INSERT", "UPDATE", "DELETE", "MERGE":
		return true
	}
	return false
}

// containsWrite reports whether any word of a statement makes it a write. SELECT ... FOR UPDATE is a write, since it
// takes locks, which a replica refuses too. So is SELECT ... INTO, which creates a table.
func containsWrite(words []string) bool {
	for i, word := range words {
		switch word {
		case "INSERT", "UPDATE", "DELETE", "MERGE":
			return true
		case "INTO":
			if i == 0 || words[i-1] != "INSERT" && words[i-1] != "MERGE" {
				return true
			}
		}
	}
	return false
}

// scanWords returns the words of sql outside quotes and comments, in upper case, and whether anything follows a
// semicolon.
func scanWords(sql string) (words []string, multiple bool, err *frontend.ProtocolError) {
	ended := false
	for position := 0; position < len(sql); {
		rest := sql[position:]
		length := blankLength(rest)
		switch {
		case length > 0:
		case length < 0:
			return nil, false, errUnterminated
		case rest[0] == ';':
			ended = true
			length = 1
		default:
			length = tokenLength(sql, position)
			if length < 0 {
				return nil, false, errUnterminated
			}
			if isWordByte(rest[0]) {
				words = append(words, strings.ToUpper(rest[:length]))
			}
			multiple = multiple || ended
		}
		position += length
	}
	return words, multiple, nil
}

// blankLength returns the length in bytes of the comment or white space that s starts with: 0 if there is none, -1 if a
// comment is not closed.
func blankLength(s string) int {
	switch {
	case strings.HasPrefix(s, "--"):
		if end := strings.IndexByte(s, '\n'); end >= 0 {
			return end
		}
		return len(s)
	case strings.HasPrefix(s, "/*"):
		return commentLength(s)
	case strings.IndexByte(" \t\n\r\f", s[0]) >= 0:
		return 1
	}
	return 0
}

// tokenLength returns the length in bytes of the word, quoted text or other character at a position of sql, or -1 if a
// quote is not closed.
func tokenLength(sql string, position int) int {
	rest := sql[position:]
	first := rest[0]
	switch {
	case first == '\'':
		return quotedLength(rest, '\'', followsEscapePrefix(sql, position))
	case first == '"':
		return quotedLength(rest, '"', false)
	case first == '$' && (position == 0 || !isWordByte(sql[position-1])):
		return dollarQuotedLength(rest)
	case isWordByte(first):
		return wordLength(rest)
	}
	return 1
}

// followsEscapePrefix reports whether a position follows the E of an escape string, E'...'.
func followsEscapePrefix(sql string, position int) bool {
	if position == 0 || sql[position-1] != 'e' && sql[position-1] != 'E' {
		return false
	}
	return position < 2 || !isWordByte(sql[position-2])
}

func wordLength(s string) int {
	length := 1
	for length < len(s) && (isWordByte(s[length]) || s[length] == '$') {
		length++
	}
	return length
}

// isWordByte reports whether a byte may be part of a word or number.
func isWordByte(c byte) bool {
	switch {
	case c == '_', c >= 0x80:
		return true
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return false
}

// commentLength returns the length in bytes of the comment that s starts with, or -1 if it is not closed. Comments
// nest.
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

// quotedLength returns the length in bytes of the quoted text that s starts with, or -1 if it is not closed.
func quotedLength(s string, quote byte, escapes bool) int {
	for i := 1; i < len(s); i++ {
		switch {
		case escapes && s[i] == '\\':
			i++
		case s[i] != quote:
		case i+1 < len(s) && s[i+1] == quote: // a doubled quote represents one quote
			i++
		default:
			return i + 1
		}
	}
	return -1
}

// dollarQuotedLength returns the length in bytes of the dollar-quoted text that s starts with, -1 if it is not closed,
// or 1 if s does not start with a dollar quote but, for example, with a parameter such as $1.
func dollarQuotedLength(s string) int {
	end := strings.IndexByte(s[1:], '$')
	if end < 0 {
		return 1
	}
	name := s[1 : 1+end]
	if name != "" && name[0] >= '0' && name[0] <= '9' {
		return 1
	}
	for i := range len(name) {
		if !isWordByte(name[i]) {
			return 1
		}
	}
	tag := s[:end+2]
	closing := strings.Index(s[len(tag):], tag)
	if closing < 0 {
		return -1
	}
	return len(tag) + closing + len(tag)
}
