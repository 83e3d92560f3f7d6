// Package syslog writes RFC 5424 messages and carries them to collectors over UDP (RFC 5426), TCP with octet counting
// (RFC 6587) and TLS (RFC 5425). It knows nothing of what the messages tell.
package syslog

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Severity is a severity of RFC 5424, section 6.2.1, table 2.
type Severity uint8

// The severities in use.
const (
	Err     Severity = 3
	Warning Severity = 4
	Notice  Severity = 5
	Info    Severity = 6
)

// facilities are the names of RFC 5424, section 6.2.1, table 1, as syslog configurations spell them.
var facilities = strings.Fields("kern user mail daemon auth syslog lpr news uucp cron authpriv ftp ntp audit alert clock " +
	"local0 local1 local2 local3 local4 local5 local6 local7")

// Facility returns the number of a facility's name.
func Facility(name string) (uint8, error) {
	for i, f := range facilities {
		if f == name {
			return uint8(i), nil
		}
	}
	return 0, fmt.Errorf("%q is none of %s", name, strings.Join(facilities, ", "))
}

// Rank is how readily a parameter goes where a message is too long: the highest rank goes first. Keep never goes.
type Rank uint8

// Keep marks what no message is without.
const Keep Rank = 0

// Smallest is the least size limit: RFC 5424, section 6.1, wants every receiver to take messages of this length.
const Smallest = 480

// Head is what all messages of a process share.
type Head struct {
	Facility uint8
	Host     string // HOSTNAME, at most HostMost bytes, so that no head is ever cut
	App      string // APP-NAME
	Proc     string // PROCID
}

// HostMost bounds HOSTNAME below RFC 5424's 255: head and the parameters that are always kept fit into Smallest.
const HostMost = 64

// HostName is this machine's name in the form that a head needs.
func HostName() string {
	h, err := os.Hostname()
	if err != nil {
		return "-"
	}
	return Printable(h, HostMost)
}

// Printable keeps the printable ASCII of s (RFC 5424's PRINTUSASCII), at most so many bytes; "-" stands for nothing.
func Printable(s string, most int) string {
	out := strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f {
			return -1
		}
		return r
	}, s)
	if out == "" {
		return "-"
	}
	return out[:min(len(out), most)]
}

// Builder writes one message after the other into a buffer of its own. The order of calls is Begin, then Element and its
// parameters, then Text, then End.
type Builder struct {
	head   Head
	buf    []byte // the whole of it, uncut
	out    []byte // the cut one
	spans  []span
	opened int // where the elements start
	closed int // where they end; the text stands behind
	marker int // the element that tells of a cut
	elems  int
}

// span is one element's opening or one parameter in buf.
type span struct {
	from, to int
	elem     int
	rank     Rank
	open     bool // an element's opening, not a parameter
}

// room is what a cut takes for its own marker: ` cut="msg+65535"`.
const room = 16

// NewBuilder returns a Builder for messages with that head.
func NewBuilder(h Head) *Builder {
	h.Host, h.App, h.Proc = Printable(h.Host, HostMost), Printable(h.App, 48), Printable(h.Proc, 128)
	return &Builder{head: h}
}

// Begin starts a message. at is written in UTC, to the microsecond.
func (b *Builder) Begin(s Severity, at time.Time, id string) {
	b.spans, b.elems, b.marker = b.spans[:0], 0, -1
	p := append(b.buf[:0], '<')
	p = strconv.AppendUint(p, uint64(b.head.Facility)*8+uint64(s), 10)
	p = append(p, '>', '1', ' ')
	p = at.UTC().AppendFormat(p, "2006-01-02T15:04:05.000000Z")
	p = append(append(p, ' '), b.head.Host...)
	p = append(append(p, ' '), b.head.App...)
	p = append(append(p, ' '), b.head.Proc...)
	p = append(append(p, ' '), id...)
	b.buf = append(p, ' ')
	b.opened = len(b.buf)
}

// Element opens the next element. marks says that it is the one that tells of a cut. An element all of whose
// parameters are cut goes with them.
func (b *Builder) Element(id string, marks bool) {
	if b.elems > 0 {
		b.buf = append(b.buf, ']')
	}
	from := len(b.buf)
	b.buf = append(append(b.buf, '['), id...)
	if marks {
		b.marker = b.elems
	}
	b.spans = append(b.spans, span{from: from, to: len(b.buf), elem: b.elems, open: true})
	b.elems++
}

func (b *Builder) open(name string) int {
	from := len(b.buf)
	b.buf = append(append(append(b.buf, ' '), name...), '=', '"')
	return from
}

func (b *Builder) close(from int, r Rank) {
	b.buf = append(b.buf, '"')
	b.spans = append(b.spans, span{from: from, to: len(b.buf), elem: b.elems - 1, rank: r})
}

// String adds a parameter. Any bytes pass: see AppendValue.
func (b *Builder) String(r Rank, name, value string) {
	from := b.open(name)
	b.buf = AppendValue(b.buf, value)
	b.close(from, r)
}

// Fixed adds a whole element that was written before, such as Prepared returns; it goes as one.
func (b *Builder) Fixed(r Rank, elem []byte) {
	if b.elems > 0 {
		b.buf = append(b.buf, ']')
	}
	from := len(b.buf)
	b.buf = append(b.buf, elem...)
	b.spans = append(b.spans, span{from: from, to: len(b.buf), elem: b.elems, rank: r, open: true})
	b.elems++
}

// Prepared is an element for Fixed: names and values by turns.
func Prepared(id string, pairs ...string) []byte {
	p := append([]byte{'['}, id...)
	for i := 0; i+1 < len(pairs); i += 2 {
		p = append(append(append(p, ' '), pairs[i]...), '=', '"')
		p = append(AppendValue(p, pairs[i+1]), '"')
	}
	return p // the bracket is the Builder's
}

// Uint adds a number.
func (b *Builder) Uint(r Rank, name string, v uint64) {
	from := b.open(name)
	b.buf = strconv.AppendUint(b.buf, v, 10)
	b.close(from, r)
}

// Int adds a number that may be negative.
func (b *Builder) Int(r Rank, name string, v int64) {
	from := b.open(name)
	b.buf = strconv.AppendInt(b.buf, v, 10)
	b.close(from, r)
}

// Micros adds a time in microseconds.
func (b *Builder) Micros(r Rank, name string, d time.Duration) { b.Int(r, name, d.Microseconds()) }

// Raw adds a parameter that write appends to the message; it must need no escape.
func (b *Builder) Raw(r Rank, name string, write func([]byte) []byte) {
	from := b.open(name)
	b.buf = write(b.buf)
	b.close(from, r)
}

// Text ends the elements and adds MSG, which may be empty. Control bytes and invalid UTF-8 in it are escaped as in
// values; with anything beyond ASCII the byte order mark stands in front (RFC 5424, section 6.4).
func (b *Builder) Text(text string) {
	if b.elems > 0 {
		b.buf = append(b.buf, ']')
	} else {
		b.buf = append(b.buf, '-')
	}
	b.closed = len(b.buf)
	if text == "" {
		return
	}
	b.buf = append(b.buf, ' ')
	from := len(b.buf)
	b.buf = appendPlain(b.buf, text)
	for _, c := range b.buf[from:] {
		if c >= utf8.RuneSelf {
			b.buf = append(b.buf, "   "...)
			copy(b.buf[from+3:], b.buf[from:len(b.buf)-3])
			copy(b.buf[from:], bom)
			break
		}
	}
}

const bom = "\xef\xbb\xbf"

// End returns the message, cut to at most so many bytes as RFC 5424, sections 6.1 and 8.1, allow: first MSG at a
// character's border, then whole parameters, the highest rank and among equals the last one first. The parameter cut of
// the marked element tells "msg", or how many parameters went as well: "msg+3". The bytes are good until the next Begin.
func (b *Builder) End(most int) []byte {
	if len(b.buf) <= most {
		return b.buf
	}
	if text := most - b.closed - room; text >= 0 && b.marker >= 0 {
		out := b.splice(0)
		return b.clip(out, most)
	}
	// Whole parameters go. The ranks are few, so it is counted rank by rank from the top.
	need := b.closed + room - most
	gone := 0
	for rank := b.top(); rank > Keep && need > 0; rank-- {
		for i := len(b.spans) - 1; i >= 0 && need > 0; i-- {
			s := &b.spans[i]
			if s.open && s.rank == Keep || s.rank != rank || s.to == s.from {
				continue
			}
			need -= s.to - s.from
			gone++
			if s.open { // a fixed element, and its bracket
				s.to = s.from
				need--
				continue
			}
			b.drop(i, &need)
		}
	}
	return b.splice(gone)
}

func (b *Builder) top() (r Rank) {
	for _, s := range b.spans {
		r = max(r, s.rank)
	}
	return r
}

// drop takes a parameter out, and its element if that was its last.
func (b *Builder) drop(i int, need *int) {
	elem := b.spans[i].elem
	b.spans[i].to = b.spans[i].from
	if elem == b.marker {
		return
	}
	first := -1
	for j, s := range b.spans {
		if s.elem != elem {
			continue
		}
		if s.open {
			first = j
		} else if s.to > s.from {
			return
		}
	}
	*need -= b.spans[first].to - b.spans[first].from + 1
	b.spans[first].to = b.spans[first].from
}

// splice writes what is left of the elements, with the marker, and where nothing of them went the text as well.
func (b *Builder) splice(gone int) []byte {
	out := append(b.out[:0], b.buf[:b.opened]...)
	started, in := false, -1
	end := func() {
		if in == b.marker && started {
			out = append(out, ` cut="msg`...)
			if gone > 0 {
				out = append(out, '+')
				out = strconv.AppendInt(out, int64(gone), 10)
			}
			out = append(out, '"')
		}
		if started {
			out = append(out, ']')
		}
		started = false
	}
	for _, s := range b.spans {
		if s.from == s.to {
			continue
		}
		if s.open {
			end()
			in, started = s.elem, true
		}
		out = append(out, b.buf[s.from:s.to]...)
	}
	end()
	if len(out) == b.opened {
		out = append(out, '-')
	}
	if gone == 0 {
		out = append(out, b.buf[b.closed:]...)
	}
	b.out = out
	return out
}

// clip cuts the text at a character's border.
func (b *Builder) clip(out []byte, most int) []byte {
	text := len(out) - (len(b.buf) - b.closed)
	cut := min(most, len(out))
	for cut > text && cut < len(out) && !utf8.RuneStart(out[cut]) {
		cut--
	}
	for back := 1; back <= 2 && cut-back > text; back++ { // not within what stands for a byte
		if out[cut-back] == '%' && cut < len(out) {
			cut -= back
			break
		}
	}
	if p := out[text:cut]; len(p) < 2 || string(p) == " \xef\xbb\xbf" || len(p) < 4 && p[1] >= utf8.RuneSelf {
		cut = text // nothing of it is left but what stands in front
	}
	return out[:cut]
}

const hex = "0123456789ABCDEF"

// AppendValue appends a PARAM-VALUE: ", \ and ] behind a backslash (RFC 5424, section 6.3.3). A value is UTF-8 there, and
// collectors write messages into lines, so control characters, bytes that are no UTF-8, and the sign % itself stand as %
// and two hex digits: nothing is lost and nothing is garbled.
func AppendValue(dst []byte, s string) []byte {
	for i := 0; i < len(s); {
		c := s[i]
		switch {
		case c == '"' || c == '\\' || c == ']':
			dst = append(dst, '\\', c)
		case c < ' ' || c == 0x7f || c == '%':
			dst = append(dst, '%', hex[c>>4], hex[c&15])
		case c < utf8.RuneSelf:
			dst = append(dst, c)
		default:
			r, n := utf8.DecodeRuneInString(s[i:])
			if r == utf8.RuneError && n == 1 || r >= 0x80 && r < 0xa0 {
				for _, c := range []byte(s[i : i+n]) {
					dst = append(dst, '%', hex[c>>4], hex[c&15])
				}
			} else {
				dst = append(dst, s[i:i+n]...)
			}
			i += n
			continue
		}
		i++
	}
	return dst
}

// appendPlain is AppendValue for MSG, which knows no escape but the one for what can't stand there.
func appendPlain(dst []byte, s string) []byte {
	for i := 0; i < len(s); {
		r, n := utf8.DecodeRuneInString(s[i:])
		if r < ' ' || r >= 0x7f && r < 0xa0 || r == '%' || r == utf8.RuneError && n == 1 || i == 0 && r == 0xfeff {
			for _, c := range []byte(s[i : i+n]) {
				dst = append(dst, '%', hex[c>>4], hex[c&15])
			}
		} else {
			dst = append(dst, s[i:i+n]...)
		}
		i += n
	}
	return dst
}
