// Package parser reads what collectors get: RFC 5424 messages, strictly, and the framing of RFC 6587. It shares no
// code with the writer, so that a mistake of one is not one of the other. It is written by hand: the grammar on a parser
// library, which stands beside it in the tests, is far too slow for the proof of a day's file (docs/design/syslog.md).
package parser

import (
	"bytes"
	"errors"
	"fmt"
	"time"
	"unicode/utf8"
)

// Message is a message whose parts lie in the bytes that it was read from, and are good as long as those are.
type Message struct {
	Facility, Severity int
	Time               time.Time // zero where it is missing
	Host, App, Proc    []byte    // nil where missing
	ID                 []byte
	Elements           []Element
	Text               []byte // without the byte order mark
	Marked             bool   // the byte order mark stood there: Text is UTF-8

	params []Param // backs the elements
	bounds []int
}

// Element is an SD-ELEMENT.
type Element struct {
	ID     []byte
	Params []Param
}

// Param is an SD-PARAM; Value is unescaped.
type Param struct{ Name, Value []byte }

// Find returns an element, or nil.
func (m *Message) Find(id string) *Element {
	for i := range m.Elements {
		if string(m.Elements[i].ID) == id {
			return &m.Elements[i]
		}
	}
	return nil
}

// Find returns the first parameter of that name.
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

// fault says what is wrong and where.
type fault struct {
	what string
	at   int
}

func (f *fault) Error() string { return fmt.Sprintf("%s at byte %d", f.what, f.at) }

// scanner walks over one message.
type scanner struct {
	p []byte
	i int
}

func (s *scanner) bad(what string) error { return &fault{what, s.i} }

func (s *scanner) take(c byte) bool {
	if s.i < len(s.p) && s.p[s.i] == c {
		s.i++
		return true
	}
	return false
}

// number reads a decimal number of at most so many digits without leading zeros.
func (s *scanner) number(digits int) (n int, ok bool) {
	from := s.i
	for s.i < len(s.p) && s.p[s.i] >= '0' && s.p[s.i] <= '9' && s.i-from < digits {
		n = n*10 + int(s.p[s.i]-'0')
		s.i++
	}
	return n, s.i > from && (s.p[from] != '0' || s.i == from+1)
}

// fixed reads a number of exactly so many digits.
func (s *scanner) fixed(digits int) (n int, ok bool) {
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

// field reads 1 to most printable ASCII characters and the space behind them; NILVALUE is nil.
func (s *scanner) field(name string, most int) ([]byte, error) {
	from := s.i
	for s.i < len(s.p) && s.p[s.i] > ' ' && s.p[s.i] < 0x7f {
		s.i++
	}
	v := s.p[from:s.i]
	if len(v) == 0 || len(v) > most || !s.take(' ') {
		return nil, s.bad(name)
	}
	if len(v) == 1 && v[0] == '-' {
		return nil, nil
	}
	return v, nil
}

// Read reads one message into m, whose memory is used again. It rejects whatever RFC 5424, section 6, does not allow a
// sender to write, and registered parameters (section 7) with values that they can't have.
func (m *Message) Read(p []byte) error {
	*m = Message{Elements: m.Elements[:0], params: m.params[:0], bounds: m.bounds[:0]}
	s := scanner{p: p}
	pri, ok := 0, s.take('<')
	if ok {
		pri, ok = s.number(3)
	}
	if !ok || pri > 191 || !s.take('>') {
		return s.bad("PRI")
	}
	m.Facility, m.Severity = pri/8, pri%8
	if !s.take('1') || !s.take(' ') {
		return s.bad("VERSION")
	}
	var err error
	if m.Time, err = s.time(); err != nil {
		return err
	}
	if m.Host, err = s.field("HOSTNAME", 255); err != nil {
		return err
	}
	if m.App, err = s.field("APP-NAME", 48); err != nil {
		return err
	}
	if m.Proc, err = s.field("PROCID", 128); err != nil {
		return err
	}
	if m.ID, err = s.field("MSGID", 32); err != nil {
		return err
	}
	if !s.take('-') {
		if err := m.elements(&s); err != nil {
			return err
		}
	}
	if s.i == len(p) {
		return nil
	}
	if !s.take(' ') {
		return s.bad("no space before MSG")
	}
	m.Text = p[s.i:]
	if text, marked := bytes.CutPrefix(m.Text, []byte("\xef\xbb\xbf")); marked {
		m.Text, m.Marked = text, true
		if !utf8.Valid(text) {
			return s.bad("MSG is no UTF-8")
		}
	}
	return nil
}

// time reads TIMESTAMP (section 6.2.3): RFC 3339 with a T and a Z in capitals, no leap seconds, six digits of a fraction.
func (s *scanner) time() (time.Time, error) {
	if s.take('-') {
		if !s.take(' ') {
			return time.Time{}, s.bad("TIMESTAMP")
		}
		return time.Time{}, nil
	}
	var v [6]int
	for i, part := range []struct {
		digits    int
		behind    byte
		low, high int
	}{{4, '-', 0, 9999}, {2, '-', 1, 12}, {2, 'T', 1, 31}, {2, ':', 0, 23}, {2, ':', 0, 59}, {2, 0, 0, 59}} {
		n, ok := s.fixed(part.digits)
		if !ok || n < part.low || n > part.high || part.behind != 0 && !s.take(part.behind) {
			return time.Time{}, s.bad("TIMESTAMP")
		}
		v[i] = n
	}
	nanos := 0
	if s.take('.') {
		scale, from := 100_000_000, s.i
		for s.i < len(s.p) && s.p[s.i] >= '0' && s.p[s.i] <= '9' {
			nanos += int(s.p[s.i]-'0') * scale
			scale /= 10
			s.i++
		}
		if s.i == from || s.i-from > 6 {
			return time.Time{}, s.bad("TIME-SECFRAC")
		}
	}
	at := time.Date(v[0], time.Month(v[1]), v[2], v[3], v[4], v[5], nanos, time.UTC)
	if at.Day() != v[2] {
		return time.Time{}, s.bad("TIMESTAMP: no such day")
	}
	if !s.take('Z') {
		sign := time.Duration(-1)
		if s.take('-') {
			sign = 1
		} else if !s.take('+') {
			return time.Time{}, s.bad("TIME-OFFSET")
		}
		h, ok := s.fixed(2)
		ok = ok && s.take(':')
		minute, ok2 := s.fixed(2)
		if !ok || !ok2 || h > 23 || minute > 59 {
			return time.Time{}, s.bad("TIME-OFFSET")
		}
		at = at.Add(sign * (time.Duration(h)*time.Hour + time.Duration(minute)*time.Minute))
	}
	if !s.take(' ') {
		return time.Time{}, s.bad("TIMESTAMP")
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
		return nil, s.bad("SD-NAME")
	}
	return s.p[from:s.i], nil
}

func (m *Message) elements(s *scanner) error {
	for s.take('[') {
		id, err := s.name()
		if err != nil {
			return err
		}
		if err := known(id); err != nil {
			return s.bad(err.Error())
		}
		for _, e := range m.Elements {
			if bytes.Equal(e.ID, id) {
				return s.bad("an SD-ID comes twice")
			}
		}
		m.Elements = append(m.Elements, Element{ID: id})
		m.bounds = append(m.bounds, len(m.params))
		for !s.take(']') {
			if !s.take(' ') {
				return s.bad("SD-ELEMENT")
			}
			name, err := s.name()
			if err != nil {
				return err
			}
			if !s.take('=') || !s.take('"') {
				return s.bad("SD-PARAM")
			}
			value, err := s.value()
			if err != nil {
				return err
			}
			m.params = append(m.params, Param{name, value})
		}
	}
	if len(m.Elements) == 0 {
		return s.bad("STRUCTURED-DATA")
	}
	m.bounds = append(m.bounds, len(m.params))
	for i := range m.Elements {
		m.Elements[i].Params = m.params[m.bounds[i]:m.bounds[i+1]]
		if err := registered(&m.Elements[i]); err != nil {
			return s.bad(err.Error())
		}
	}
	return nil
}

// value reads a PARAM-VALUE up to its closing quote (section 6.3.3). A backslash in front of anything but ", \ and ] is
// one that no sender may write.
func (s *scanner) value() ([]byte, error) {
	from := s.i
	plain, ascii := true, true
	for ; s.i < len(s.p); s.i++ {
		switch c := s.p[s.i]; {
		case c == '"':
			v := s.p[from:s.i]
			if !ascii && !utf8.Valid(v) {
				return nil, s.bad("PARAM-VALUE is no UTF-8")
			}
			s.i++
			if !plain {
				v = unescape(v)
			}
			return v, nil
		case c == ']':
			return nil, s.bad("a bracket without a backslash")
		case c == '\\':
			plain = false
			if s.i++; s.i == len(s.p) || s.p[s.i] != '"' && s.p[s.i] != '\\' && s.p[s.i] != ']' {
				return nil, s.bad("an escape that there is not")
			}
		case c >= utf8.RuneSelf:
			ascii = false
		}
	}
	return nil, s.bad("PARAM-VALUE does not end")
}

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

// known checks an SD-ID: one of those that are registered, or a name with a private enterprise number (section 6.3.2).
func known(id []byte) error {
	name, number, own := bytes.Cut(id, []byte{'@'})
	if !own {
		switch string(id) {
		case "timeQuality", "origin", "meta":
			return nil
		}
		return errors.New("an SD-ID that is not registered")
	}
	if len(name) == 0 || len(number) == 0 {
		return errors.New("SD-ID")
	}
	// Numbers may go on behind a point (section 7.2.2).
	for i, part := range bytes.Split(number, []byte{'.'}) {
		if len(part) == 0 || i == 0 && part[0] == '0' {
			return errors.New("an SD-ID without a number")
		}
		for _, c := range part {
			if c < '0' || c > '9' {
				return errors.New("an SD-ID without a number")
			}
		}
	}
	return nil
}

// registered checks the parameters of registered elements (section 7).
func registered(e *Element) error {
	switch string(e.ID) {
	case "timeQuality":
		synced := false
		accuracy := false
		for _, p := range e.Params {
			switch string(p.Name) {
			case "tzKnown", "isSynced":
				if v := string(p.Value); v != "0" && v != "1" {
					return errors.New("timeQuality: neither 0 nor 1")
				}
				synced = synced || string(p.Name) == "isSynced" && p.Value[0] == '1'
			case "syncAccuracy":
				if _, ok := integer(p.Value, 1<<62); !ok {
					return errors.New("syncAccuracy is no number")
				}
				accuracy = true
			default:
				return errors.New("timeQuality has no such parameter")
			}
		}
		if accuracy && !synced {
			return errors.New("syncAccuracy though not synced")
		}
	case "meta":
		for _, p := range e.Params {
			switch string(p.Name) {
			case "sequenceId":
				if n, ok := integer(p.Value, 1<<31-1); !ok || n < 1 {
					return errors.New("sequenceId does not fit")
				}
			case "sysUpTime":
				if _, ok := integer(p.Value, 1<<62); !ok {
					return errors.New("sysUpTime is no number")
				}
			case "language":
			default:
				return errors.New("meta has no such parameter")
			}
		}
	case "origin":
		for _, p := range e.Params {
			switch string(p.Name) {
			case "ip", "enterpriseId":
			case "software":
				if utf8.RuneCount(p.Value) > 48 {
					return errors.New("software is too long")
				}
			case "swVersion":
				if utf8.RuneCount(p.Value) > 32 {
					return errors.New("swVersion is too long")
				}
			default:
				return errors.New("origin has no such parameter")
			}
		}
	}
	return nil
}

func integer(p []byte, most uint64) (uint64, bool) {
	n, ok := Number(p)
	return n, ok && n <= most
}

// Number reads a decimal number that stands in a value.
func Number(p []byte) (uint64, bool) {
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

// Plain undoes the router's own escapes in a value: % and two hexadecimal digits for bytes that can't stand there.
func Plain(value []byte) (string, error) {
	out := make([]byte, 0, len(value))
	for i := 0; i < len(value); i++ {
		if value[i] != '%' {
			out = append(out, value[i])
			continue
		}
		if i+2 >= len(value) {
			return "", errors.New("a % without its two digits")
		}
		var b byte
		for _, c := range value[i+1 : i+3] {
			switch {
			case c >= '0' && c <= '9':
				b = b<<4 | (c - '0')
			case c >= 'A' && c <= 'F':
				b = b<<4 | (c - 'A' + 10)
			default:
				return "", errors.New("a % without its two digits")
			}
		}
		out = append(out, b)
		i += 2
	}
	return string(out), nil
}
