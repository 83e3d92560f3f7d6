// Package parser strictly parses RFC 5424 messages and the framing of RFC 6587. It shares no code with the encoder in
// package syslog, so that a bug in one does not hide the same bug in the other. It is written by hand, because a
// grammar for a parser library, which the tests compare it with, is far too slow to verify the records of a day
// (docs/design/syslog.md).
package parser

import (
	"bytes"
	"errors"
	"fmt"
	"time"
	"unicode/utf8"
)

// Message is a parsed message. Its fields refer to the bytes that it was read from, and are valid as long as these are
// not changed.
type Message struct {
	Facility, Severity int
	Time               time.Time // the zero time if it is missing
	Host, App, Proc    []byte    // nil if missing
	ID                 []byte
	Elements           []Element
	Text               []byte // without the byte order mark
	HasByteOrderMark   bool   // MSG starts with the byte order mark: Text is UTF-8

	params      []Param // of all elements
	paramBounds []int   // where in params those of each element start, and the end
}

// Element is an SD-ELEMENT.
type Element struct {
	ID     []byte
	Params []Param
}

// Param is an SD-PARAM; Value is unescaped.
type Param struct{ Name, Value []byte }

// Find returns the element with an SD-ID, or nil if there is none.
func (m *Message) Find(id string) *Element {
	for i := range m.Elements {
		if string(m.Elements[i].ID) == id {
			return &m.Elements[i]
		}
	}
	return nil
}

// Find returns the value of the first parameter with a name. It may be called on a nil Element.
func (e *Element) Find(name string) (value []byte, ok bool) {
	if e == nil {
		return nil, false
	}
	for _, p := range e.Params {
		if string(p.Name) == name {
			return p.Value, true
		}
	}
	return nil, false
}

// syntaxError describes a problem and its byte offset in the message.
type syntaxError struct {
	problem string
	offset  int
}

func (f *syntaxError) Error() string { return fmt.Sprintf("%s at byte %d", f.problem, f.offset) }

// scanner reads the fields of a message p from the offset i on.
type scanner struct {
	p []byte
	i int
}

// errorAt returns an error at the current offset.
func (s *scanner) errorAt(problem string) error { return &syntaxError{problem, s.i} }

// accept skips the next byte if it is c, and reports whether it was.
func (s *scanner) accept(c byte) bool {
	if s.i < len(s.p) && s.p[s.i] == c {
		s.i++
		return true
	}
	return false
}

// number reads a decimal number of at most maxDigits digits without leading zeros.
func (s *scanner) number(maxDigits int) (n int, ok bool) {
	from := s.i
	for s.i < len(s.p) && s.p[s.i] >= '0' && s.p[s.i] <= '9' && s.i-from < maxDigits {
		n = n*10 + int(s.p[s.i]-'0')
		s.i++
	}
	return n, s.i > from && (s.p[from] != '0' || s.i == from+1)
}

// fixedNumber reads a decimal number of exactly the given number of digits.
func (s *scanner) fixedNumber(digits int) (n int, ok bool) {
	if s.i+digits > len(s.p) {
		return 0, false
	}
	for _, c := range s.p[s.i : s.i+digits] {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	s.i += digits
	return n, true
}

// field reads 1 to maxBytes printable ASCII characters and the space after them. It returns nil for NILVALUE.
// problem is the text of its error.
func (s *scanner) field(problem string, maxBytes int) ([]byte, error) {
	from := s.i
	for s.i < len(s.p) && s.p[s.i] > ' ' && s.p[s.i] < 0x7f {
		s.i++
	}
	v := s.p[from:s.i]
	if len(v) == 0 || len(v) > maxBytes || !s.accept(' ') {
		return nil, s.errorAt(problem)
	}
	if len(v) == 1 && v[0] == '-' {
		return nil, nil
	}
	return v, nil
}

// Read parses a message into m, whose memory it reuses. It rejects messages that RFC 5424, section 6, does not allow a
// sender to write, and parameters of registered elements (section 7) that are unknown or have invalid values.
func (m *Message) Read(p []byte) error {
	*m = Message{Elements: m.Elements[:0], params: m.params[:0], paramBounds: m.paramBounds[:0]}
	s := scanner{p: p}
	pri, ok := 0, s.accept('<')
	if ok {
		pri, ok = s.number(3)
	}
	if !ok || pri > 191 || !s.accept('>') {
		return s.errorAt("malformed PRI")
	}
	m.Facility, m.Severity = pri/8, pri%8
	if !s.accept('1') || !s.accept(' ') {
		return s.errorAt("malformed VERSION")
	}
	var err error
	if m.Time, err = s.timestamp(); err != nil {
		return err
	}
	if m.Host, err = s.field("malformed HOSTNAME", 255); err != nil {
		return err
	}
	if m.App, err = s.field("malformed APP-NAME", 48); err != nil {
		return err
	}
	if m.Proc, err = s.field("malformed PROCID", 128); err != nil {
		return err
	}
	if m.ID, err = s.field("malformed MSGID", 32); err != nil {
		return err
	}
	if !s.accept('-') {
		if err := m.readElements(&s); err != nil {
			return err
		}
	}
	if s.i == len(p) {
		return nil
	}
	if !s.accept(' ') {
		return s.errorAt("missing space before MSG")
	}
	m.Text = p[s.i:]
	if text, marked := bytes.CutPrefix(m.Text, []byte("\xef\xbb\xbf")); marked {
		m.Text, m.HasByteOrderMark = text, true
		if !utf8.Valid(text) {
			return s.errorAt("MSG is not valid UTF-8")
		}
	}
	return nil
}

// timestamp reads TIMESTAMP (section 6.2.3), which is an RFC 3339 time with upper-case T and Z, without leap seconds,
// and with at most six digits of a fraction.
func (s *scanner) timestamp() (time.Time, error) {
	if s.accept('-') {
		if !s.accept(' ') {
			return time.Time{}, s.errorAt("malformed TIMESTAMP")
		}
		return time.Time{}, nil
	}
	var v [6]int
	for i, part := range []struct {
		digits    int
		delimiter byte // follows the digits, 0 = none
		low, high int
	}{{4, '-', 0, 9999}, {2, '-', 1, 12}, {2, 'T', 1, 31}, {2, ':', 0, 23}, {2, ':', 0, 59}, {2, 0, 0, 59}} {
		n, ok := s.fixedNumber(part.digits)
		if !ok || n < part.low || n > part.high || part.delimiter != 0 && !s.accept(part.delimiter) {
			return time.Time{}, s.errorAt("malformed TIMESTAMP")
		}
		v[i] = n
	}
	nanos := 0
	if s.accept('.') {
		scale, from := 100_000_000, s.i
		for s.i < len(s.p) && s.p[s.i] >= '0' && s.p[s.i] <= '9' {
			nanos += int(s.p[s.i]-'0') * scale
			scale /= 10
			s.i++
		}
		if s.i == from || s.i-from > 6 {
			return time.Time{}, s.errorAt("malformed TIME-SECFRAC")
		}
	}
	at := time.Date(v[0], time.Month(v[1]), v[2], v[3], v[4], v[5], nanos, time.UTC)
	if at.Day() != v[2] {
		return time.Time{}, s.errorAt("TIMESTAMP: day does not exist")
	}
	if !s.accept('Z') {
		sign := time.Duration(-1)
		if s.accept('-') {
			sign = 1
		} else if !s.accept('+') {
			return time.Time{}, s.errorAt("malformed TIME-OFFSET")
		}
		h, ok := s.fixedNumber(2)
		ok = ok && s.accept(':')
		minute, ok2 := s.fixedNumber(2)
		if !ok || !ok2 || h > 23 || minute > 59 {
			return time.Time{}, s.errorAt("malformed TIME-OFFSET")
		}
		at = at.Add(sign * (time.Duration(h)*time.Hour + time.Duration(minute)*time.Minute))
	}
	if !s.accept(' ') {
		return time.Time{}, s.errorAt("malformed TIMESTAMP")
	}
	return at, nil
}

// name reads an SD-NAME (section 6.3.2).
func (s *scanner) name() ([]byte, error) {
	from := s.i
	for s.i < len(s.p) && s.p[s.i] > ' ' && s.p[s.i] < 0x7f && s.p[s.i] != '=' && s.p[s.i] != ']' && s.p[s.i] != '"' {
		s.i++
	}
	if n := s.i - from; n == 0 || n > 32 {
		return nil, s.errorAt("malformed SD-NAME")
	}
	return s.p[from:s.i], nil
}

// readElements reads the elements of STRUCTURED-DATA (section 6.3).
func (m *Message) readElements(s *scanner) error {
	for s.accept('[') {
		id, err := s.name()
		if err != nil {
			return err
		}
		if err := checkElementID(id); err != nil {
			return s.errorAt(err.Error())
		}
		for _, e := range m.Elements {
			if bytes.Equal(e.ID, id) {
				return s.errorAt("duplicate SD-ID")
			}
		}
		m.Elements = append(m.Elements, Element{ID: id})
		m.paramBounds = append(m.paramBounds, len(m.params))
		for !s.accept(']') {
			if !s.accept(' ') {
				return s.errorAt("malformed SD-ELEMENT")
			}
			name, err := s.name()
			if err != nil {
				return err
			}
			if !s.accept('=') || !s.accept('"') {
				return s.errorAt("malformed SD-PARAM")
			}
			value, err := s.value()
			if err != nil {
				return err
			}
			m.params = append(m.params, Param{name, value})
		}
	}
	if len(m.Elements) == 0 {
		return s.errorAt("malformed STRUCTURED-DATA")
	}
	m.paramBounds = append(m.paramBounds, len(m.params))
	for i := range m.Elements {
		m.Elements[i].Params = m.params[m.paramBounds[i]:m.paramBounds[i+1]]
		if err := checkRegisteredParams(&m.Elements[i]); err != nil {
			return s.errorAt(err.Error())
		}
	}
	return nil
}

// value reads a PARAM-VALUE and its closing quote (section 6.3.3). A backslash may only be followed by ", \ or ].
func (s *scanner) value() ([]byte, error) {
	from := s.i
	plain, ascii := true, true
	for ; s.i < len(s.p); s.i++ {
		switch c := s.p[s.i]; {
		case c == '"':
			v := s.p[from:s.i]
			if !ascii && !utf8.Valid(v) {
				return nil, s.errorAt("PARAM-VALUE is not valid UTF-8")
			}
			s.i++
			if !plain {
				v = unescape(v)
			}
			return v, nil
		case c == ']':
			return nil, s.errorAt("unescaped ] in PARAM-VALUE")
		case c == '\\':
			plain = false
			if s.i++; s.i == len(s.p) || s.p[s.i] != '"' && s.p[s.i] != '\\' && s.p[s.i] != ']' {
				return nil, s.errorAt("invalid escape in PARAM-VALUE")
			}
		case c >= utf8.RuneSelf:
			ascii = false
		}
	}
	return nil, s.errorAt("PARAM-VALUE without a closing quote")
}

// unescape removes the backslashes of the escapes of a PARAM-VALUE.
func unescape(p []byte) []byte {
	out := make([]byte, 0, len(p))
	for i := 0; i < len(p); i++ {
		if p[i] == '\\' {
			i++
		}
		out = append(out, p[i])
	}
	return out
}

// checkElementID checks that an SD-ID is registered, or is a name with a private enterprise number (section 6.3.2).
func checkElementID(id []byte) error {
	name, number, own := bytes.Cut(id, []byte{'@'})
	if !own {
		switch string(id) {
		case "timeQuality", "origin", "meta":
			return nil
		}
		return errors.New("unregistered SD-ID")
	}
	if len(name) == 0 || len(number) == 0 {
		return errors.New("malformed SD-ID")
	}
	// A private enterprise number may have further parts, separated by dots (section 7.2.2).
	for i, part := range bytes.Split(number, []byte{'.'}) {
		if len(part) == 0 || i == 0 && part[0] == '0' {
			return errors.New("SD-ID without an enterprise number")
		}
		for _, c := range part {
			if c < '0' || c > '9' {
				return errors.New("SD-ID without an enterprise number")
			}
		}
	}
	return nil
}

// checkRegisteredParams checks the parameters of a registered element (section 7).
func checkRegisteredParams(e *Element) error {
	switch string(e.ID) {
	case "timeQuality":
		synced := false
		accuracy := false
		for _, p := range e.Params {
			switch string(p.Name) {
			case "tzKnown", "isSynced":
				if v := string(p.Value); v != "0" && v != "1" {
					return errors.New("timeQuality: value is neither 0 nor 1")
				}
				synced = synced || string(p.Name) == "isSynced" && p.Value[0] == '1'
			case "syncAccuracy":
				if _, ok := numberUpTo(p.Value, 1<<62); !ok {
					return errors.New("syncAccuracy is not a number")
				}
				accuracy = true
			default:
				return errors.New("timeQuality: unknown parameter")
			}
		}
		if accuracy && !synced {
			return errors.New("syncAccuracy requires isSynced=\"1\"")
		}
	case "meta":
		for _, p := range e.Params {
			switch string(p.Name) {
			case "sequenceId":
				if n, ok := numberUpTo(p.Value, 1<<31-1); !ok || n < 1 {
					return errors.New("sequenceId is not a number from 1 to 2147483647")
				}
			case "sysUpTime":
				if _, ok := numberUpTo(p.Value, 1<<62); !ok {
					return errors.New("sysUpTime is not a number")
				}
			case "language":
			default:
				return errors.New("meta: unknown parameter")
			}
		}
	case "origin":
		for _, p := range e.Params {
			switch string(p.Name) {
			case "ip", "enterpriseId":
			case "software":
				if utf8.RuneCount(p.Value) > 48 {
					return errors.New("software is longer than 48 characters")
				}
			case "swVersion":
				if utf8.RuneCount(p.Value) > 32 {
					return errors.New("swVersion is longer than 32 characters")
				}
			default:
				return errors.New("origin: unknown parameter")
			}
		}
	}
	return nil
}

// numberUpTo parses a decimal number of at most limit.
func numberUpTo(p []byte, limit uint64) (uint64, bool) {
	n, ok := ParseNumber(p)
	return n, ok && n <= limit
}

// ParseNumber parses a value as a decimal number without leading zeros. It reports false for any other value, and for a
// number that does not fit into 64 bits.
func ParseNumber(p []byte) (uint64, bool) {
	var n uint64
	if len(p) == 0 || len(p) > 20 || p[0] == '0' && len(p) > 1 {
		return 0, false
	}
	for _, c := range p {
		d := uint64(c - '0')
		if c < '0' || c > '9' || n > (1<<64-1-d)/10 {
			return 0, false
		}
		n = n*10 + d
	}
	return n, true
}

// DecodePercent decodes the percent escapes of syslog.AppendValue, which the router writes for bytes that a value must
// not hold.
func DecodePercent(value []byte) (string, error) {
	out := make([]byte, 0, len(value))
	for i := 0; i < len(value); i++ {
		if value[i] != '%' {
			out = append(out, value[i])
			continue
		}
		if i+2 >= len(value) {
			return "", errors.New("% without two hexadecimal digits")
		}
		var b byte
		for _, c := range value[i+1 : i+3] {
			switch {
			case c >= '0' && c <= '9':
				b = b<<4 | (c - '0')
			case c >= 'A' && c <= 'F':
				b = b<<4 | (c - 'A' + 10)
			default:
				return "", errors.New("% without two hexadecimal digits")
			}
		}
		out = append(out, b)
		i += 2
	}
	return string(out), nil
}
