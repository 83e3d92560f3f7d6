// Package syslog encodes RFC 5424 messages and sends them to collectors over UDP (RFC 5426), TCP with octet counting
// (RFC 6587) and TLS (RFC 5425). It does not depend on the content of the messages.
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

// The severities that the program uses.
const (
	Err     Severity = 3
	Warning Severity = 4
	Notice  Severity = 5
	Info    Severity = 6
)

// facilities are the names of RFC 5424, section 6.2.1, table 1, as syslog configurations spell them.
var facilities = strings.Fields("kern user mail daemon auth syslog lpr news uucp cron authpriv ftp ntp audit alert clock " +
	"local0 local1 local2 local3 local4 local5 local6 local7")

// ParseFacility returns the numerical code of a facility.
func ParseFacility(name string) (uint8, error) {
	for i, f := range facilities {
		if f == name {
			return uint8(i), nil
		}
	}
	return 0, fmt.Errorf("%q is none of %s", name, strings.Join(facilities, ", "))
}

// Rank determines the order in which parameters are removed from a message that exceeds its size limit: those of the
// highest rank first, those of rank Keep never.
type Rank uint8

// Keep is the rank of parameters that are never removed.
const Keep Rank = 0

// MinMessageLimit is the lowest size limit of a message in bytes. RFC 5424, section 6.1, requires receivers to accept
// messages of this length.
const MinMessageLimit = 480

// Header holds the header fields that all messages of a process share.
type Header struct {
	Facility uint8
	Host     string // HOSTNAME, at most MaxHostBytes bytes, so that a header is never truncated
	App      string // APP-NAME
	Proc     string // PROCID
}

// MaxHostBytes is the length limit of HOSTNAME in bytes. It is below RFC 5424's 255, so that the header and the
// parameters of rank Keep fit into MinMessageLimit bytes.
const MaxHostBytes = 64

// HostName returns the host name of this machine as a valid HOSTNAME, or "-" if it is not known.
func HostName() string {
	h, err := os.Hostname()
	if err != nil {
		return "-"
	}
	return Printable(h, MaxHostBytes)
}

// Printable returns the printable ASCII characters of s (RFC 5424's PRINTUSASCII), truncated to maxBytes, or "-", RFC
// 5424's NILVALUE, if there are none.
func Printable(s string, maxBytes int) string {
	out := strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f {
			return -1
		}
		return r
	}, s)
	if out == "" {
		return "-"
	}
	return out[:min(len(out), maxBytes)]
}

// Builder builds one message after the other in a buffer that it reuses. The order of calls for a message is Begin,
// then for each element either Element and its parameters or PreparedElement, then Text, then End.
type Builder struct {
	header        Header
	buf           []byte // the complete message
	truncated     []byte // the message that End has truncated
	spans         []span
	elementsStart int // the offset in buf at which the elements start
	elementsEnd   int // the offset in buf at which they end and the text starts
	cutElement    int // the index of the element that gets the cut parameter, -1 = none
	elementCount  int
}

// span is a range of buf that holds the opening of an element or one parameter. A removed one is empty.
type span struct {
	from, to  int // offsets in buf
	element   int // the index of the element
	rank      Rank
	isOpening bool // the opening of an element (or all of a prepared element), not a parameter
}

// cutParamBytes is the space in bytes that End reserves for the cut parameter: ` cut="msg+65535"`.
const cutParamBytes = 16

// NewBuilder returns a Builder for messages with the header fields h.
func NewBuilder(h Header) *Builder {
	h.Host, h.App, h.Proc = Printable(h.Host, MaxHostBytes), Printable(h.App, 48), Printable(h.Proc, 128)
	return &Builder{header: h}
}

// Begin starts a message with the TIMESTAMP at, written in UTC to the microsecond, and the MSGID id.
func (b *Builder) Begin(s Severity, at time.Time, id string) {
	b.spans, b.elementCount, b.cutElement = b.spans[:0], 0, -1
	p := append(b.buf[:0], '<')
	p = strconv.AppendUint(p, uint64(b.header.Facility)*8+uint64(s), 10)
	p = append(p, '>', '1', ' ')
	p = at.UTC().AppendFormat(p, "2006-01-02T15:04:05.000000Z")
	p = append(append(p, ' '), b.header.Host...)
	p = append(append(p, ' '), b.header.App...)
	p = append(append(p, ' '), b.header.Proc...)
	p = append(append(p, ' '), id...)
	b.buf = append(p, ' ')
	b.elementsStart = len(b.buf)
}

// Element starts the next element. If reportsCut is set, End adds the cut parameter to it when the message exceeds its
// size limit. Any other element is removed with the last of its parameters.
func (b *Builder) Element(id string, reportsCut bool) {
	if b.elementCount > 0 {
		b.buf = append(b.buf, ']')
	}
	from := len(b.buf)
	b.buf = append(append(b.buf, '['), id...)
	if reportsCut {
		b.cutElement = b.elementCount
	}
	b.spans = append(b.spans, span{from: from, to: len(b.buf), element: b.elementCount, isOpening: true})
	b.elementCount++
}

func (b *Builder) beginParam(name string) int {
	from := len(b.buf)
	b.buf = append(append(append(b.buf, ' '), name...), '=', '"')
	return from
}

func (b *Builder) endParam(from int, r Rank) {
	b.buf = append(b.buf, '"')
	b.spans = append(b.spans, span{from: from, to: len(b.buf), element: b.elementCount - 1, rank: r})
}

// String adds a parameter. The value may hold any bytes, which AppendValue escapes.
func (b *Builder) String(r Rank, name, value string) {
	from := b.beginParam(name)
	b.buf = AppendValue(b.buf, value)
	b.endParam(from, r)
}

// PreparedElement adds a complete element that PrepareElement has returned. It is removed as a whole.
func (b *Builder) PreparedElement(r Rank, elem []byte) {
	if b.elementCount > 0 {
		b.buf = append(b.buf, ']')
	}
	from := len(b.buf)
	b.buf = append(b.buf, elem...)
	b.spans = append(b.spans, span{from: from, to: len(b.buf), element: b.elementCount, rank: r, isOpening: true})
	b.elementCount++
}

// PrepareElement returns an element for PreparedElement; pairs holds the names and values of its parameters
// alternately.
func PrepareElement(id string, pairs ...string) []byte {
	p := append([]byte{'['}, id...)
	for i := 0; i+1 < len(pairs); i += 2 {
		p = append(append(append(p, ' '), pairs[i]...), '=', '"')
		p = append(AppendValue(p, pairs[i+1]), '"')
	}
	return p // the Builder writes the closing bracket
}

// Uint adds a parameter with an unsigned number.
func (b *Builder) Uint(r Rank, name string, v uint64) {
	from := b.beginParam(name)
	b.buf = strconv.AppendUint(b.buf, v, 10)
	b.endParam(from, r)
}

// Int adds a parameter with a signed number.
func (b *Builder) Int(r Rank, name string, v int64) {
	from := b.beginParam(name)
	b.buf = strconv.AppendInt(b.buf, v, 10)
	b.endParam(from, r)
}

// Micros adds a parameter with a duration in microseconds.
func (b *Builder) Micros(r Rank, name string, d time.Duration) { b.Int(r, name, d.Microseconds()) }

// Raw adds a parameter whose value write appends to the message. The value must not need escaping.
func (b *Builder) Raw(r Rank, name string, write func([]byte) []byte) {
	from := b.beginParam(name)
	b.buf = write(b.buf)
	b.endParam(from, r)
}

// Text ends the elements and adds MSG, which may be empty. Control characters and invalid UTF-8 in it are escaped as in
// values. MSG starts with the byte order mark if it holds characters beyond ASCII (RFC 5424, section 6.4).
func (b *Builder) Text(text string) {
	if b.elementCount > 0 {
		b.buf = append(b.buf, ']')
	} else {
		b.buf = append(b.buf, '-')
	}
	b.elementsEnd = len(b.buf)
	if text == "" {
		return
	}
	b.buf = append(b.buf, ' ')
	from := len(b.buf)
	b.buf = appendText(b.buf, text)
	for _, c := range b.buf[from:] {
		if c >= utf8.RuneSelf {
			b.buf = append(b.buf, "   "...)
			copy(b.buf[from+3:], b.buf[from:len(b.buf)-3])
			copy(b.buf[from:], byteOrderMark)
			break
		}
	}
}

const byteOrderMark = "\xef\xbb\xbf"

// End returns the message, truncated to at most maxBytes as RFC 5424, sections 6.1 and 8.1, allow: first MSG is
// truncated at a character boundary, then whole parameters are removed, those of the highest rank first, and of these
// the last one first. The element with reportsCut then has the parameter cut, which is "msg", or "msg+3" if three
// parameters were removed as well. The returned bytes are valid until the next Begin.
func (b *Builder) End(maxBytes int) []byte {
	if len(b.buf) <= maxBytes {
		return b.buf
	}
	if text := maxBytes - b.elementsEnd - cutParamBytes; text >= 0 && b.cutElement >= 0 {
		out := b.assemble(0)
		return b.truncateText(out, maxBytes)
	}
	// Whole parameters are removed. There are few ranks, so all spans are searched again for each of them.
	excess := b.elementsEnd + cutParamBytes - maxBytes
	removed := 0
	for rank := b.highestRank(); rank > Keep && excess > 0; rank-- {
		for i := len(b.spans) - 1; i >= 0 && excess > 0; i-- {
			s := &b.spans[i]
			if s.isOpening && s.rank == Keep || s.rank != rank || s.to == s.from {
				continue
			}
			excess -= s.to - s.from
			removed++
			if s.isOpening { // a prepared element, which ends with a bracket
				s.to = s.from
				excess--
				continue
			}
			b.dropParam(i, &excess)
		}
	}
	return b.assemble(removed)
}

func (b *Builder) highestRank() (r Rank) {
	for _, s := range b.spans {
		r = max(r, s.rank)
	}
	return r
}

// dropParam removes a parameter, and its element too if it was the last parameter and the element does not get the cut
// parameter. It subtracts the removed bytes of the element from excess.
func (b *Builder) dropParam(i int, excess *int) {
	elem := b.spans[i].element
	b.spans[i].to = b.spans[i].from
	if elem == b.cutElement {
		return
	}
	first := -1
	for j, s := range b.spans {
		if s.element != elem {
			continue
		}
		if s.isOpening {
			first = j
		} else if s.to > s.from {
			return
		}
	}
	*excess -= b.spans[first].to - b.spans[first].from + 1
	b.spans[first].to = b.spans[first].from
}

// assemble returns the message with the remaining elements and the cut parameter. The text follows only if no
// parameters were removed.
func (b *Builder) assemble(removed int) []byte {
	out := append(b.truncated[:0], b.buf[:b.elementsStart]...)
	started, element := false, -1
	end := func() {
		if element == b.cutElement && started {
			out = append(out, ` cut="msg`...)
			if removed > 0 {
				out = append(out, '+')
				out = strconv.AppendInt(out, int64(removed), 10)
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
		if s.isOpening {
			end()
			element, started = s.element, true
		}
		out = append(out, b.buf[s.from:s.to]...)
	}
	end()
	if len(out) == b.elementsStart {
		out = append(out, '-')
	}
	if removed == 0 {
		out = append(out, b.buf[b.elementsEnd:]...)
	}
	b.truncated = out
	return out
}

// truncateText truncates the text of the assembled message at a character boundary, so that the message has at most
// maxBytes.
func (b *Builder) truncateText(out []byte, maxBytes int) []byte {
	text := len(out) - (len(b.buf) - b.elementsEnd)
	cut := min(maxBytes, len(out))
	for cut > text && cut < len(out) && !utf8.RuneStart(out[cut]) {
		cut--
	}
	for back := 1; back <= 2 && cut-back > text; back++ { // not within the escape of a byte
		if out[cut-back] == '%' && cut < len(out) {
			cut -= back
			break
		}
	}
	if p := out[text:cut]; len(p) < 2 || string(p) == " \xef\xbb\xbf" || len(p) < 4 && p[1] >= utf8.RuneSelf {
		cut = text // only the space and the byte order mark, or a part of it, are left
	}
	return out[:cut]
}

const hexDigits = "0123456789ABCDEF"

// AppendValue appends s as a PARAM-VALUE, with a backslash before each ", \ and ] (RFC 5424, section 6.3.3). A value
// has to be UTF-8, and collectors write one message per line. So control characters, invalid UTF-8 and the character %
// are written as % and two hexadecimal digits per byte, from which the value can be restored.
func AppendValue(dst []byte, s string) []byte {
	for i := 0; i < len(s); {
		c := s[i]
		switch {
		case c == '"' || c == '\\' || c == ']':
			dst = append(dst, '\\', c)
		case c < ' ' || c == 0x7f || c == '%':
			dst = append(dst, '%', hexDigits[c>>4], hexDigits[c&15])
		case c < utf8.RuneSelf:
			dst = append(dst, c)
		default:
			r, n := utf8.DecodeRuneInString(s[i:])
			if r == utf8.RuneError && n == 1 || r >= 0x80 && r < 0xa0 {
				for _, c := range []byte(s[i : i+n]) {
					dst = append(dst, '%', hexDigits[c>>4], hexDigits[c&15])
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

// appendText appends s as MSG, with the percent escapes of AppendValue but no backslashes. A leading byte order mark is
// escaped too.
func appendText(dst []byte, s string) []byte {
	for i := 0; i < len(s); {
		r, n := utf8.DecodeRuneInString(s[i:])
		if r < ' ' || r >= 0x7f && r < 0xa0 || r == '%' || r == utf8.RuneError && n == 1 || i == 0 && r == 0xfeff {
			for _, c := range []byte(s[i : i+n]) {
				dst = append(dst, '%', hexDigits[c>>4], hexDigits[c&15])
			}
		} else {
			dst = append(dst, s[i:i+n]...)
		}
		i += n
	}
	return dst
}
