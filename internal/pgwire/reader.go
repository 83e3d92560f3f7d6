// Package pgwire reads and writes messages of version 3 of the PostgreSQL wire protocol. It holds no sockets.
package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// Reader cuts a stream of bytes into messages. The zero value is not ready: use NewReader.
type Reader struct {
	buf     []byte
	start   int
	want    int // bytes of the message that is coming, 0 = not known
	most    int // bytes of a message
	startup int // bytes of a startup message, 0 once it has come
}

// ErrSize says that a message's length is impossible or above the limit.
var ErrSize = errors.New("message length out of bounds")

// NewReader expects typed messages of at most so many bytes. With startup above 0 the first message is an untyped
// one of at most that size.
func NewReader(most, startup int) *Reader { return &Reader{most: most, startup: startup} }

// Feed adds what has come.
func (r *Reader) Feed(p []byte) {
	if r.start == len(r.buf) {
		r.buf, r.start = r.buf[:0], 0
	} else if r.start > len(r.buf)/2 {
		r.buf = append(r.buf[:0], r.buf[r.start:]...)
		r.start = 0
	}
	if have := r.Waiting() + len(p); r.want > have && have > r.want/4 {
		// A long message is copied once, not at each growth. Its length is within bounds, and a fourth has come.
		r.buf = slices.Grow(r.buf, r.want-r.Waiting())
	}
	r.buf = append(r.buf, p...)
}

// Waiting is the number of bytes that are not yet cut.
func (r *Reader) Waiting() int { return len(r.buf) - r.start }

// Message is one message; Type is 0 for a startup message. Body is valid until the next Feed.
type Message struct {
	Type byte
	Body []byte
}

// Next returns the next whole message; ok is false when it has not come yet. The length is checked as soon as it
// is there, before anything of that size is kept.
func (r *Reader) Next() (m Message, ok bool, err error) {
	if r.start == len(r.buf) && cap(r.buf) > 16<<10 {
		r.buf, r.start = nil, 0 // one long message must not hold its memory for the life of the connection
	}
	p := r.buf[r.start:]
	head, most := 1, r.most
	if r.startup > 0 {
		head, most = 0, r.startup
	}
	if len(p) < head+4 {
		return m, false, nil
	}
	n := int64(binary.BigEndian.Uint32(p[head:]))
	if n < 4 || n > int64(most) {
		return m, false, fmt.Errorf("%w: %d bytes", ErrSize, n)
	}
	end := head + int(n)
	if len(p) < end {
		r.want = end
		return m, false, nil
	}
	r.want = 0
	if head == 1 {
		m.Type = p[0]
	}
	m.Body = p[head+4 : end : end]
	r.start += end
	return m, true, nil
}

// Begun tells of the message that has begun to come but is not whole: its type, the length of its body, and what of that
// is there. ok is false when there is none, or less than its length has come.
func (r *Reader) Begun() (typ byte, length int, have []byte, ok bool) {
	p := r.buf[r.start:]
	if r.startup > 0 || len(p) < 5 || r.want == 0 {
		return 0, 0, nil, false
	}
	return p[0], r.want - 5, p[5:], true
}

// Cut takes the next bytes as they are, whatever they belong to; it is for a message that is passed on as it comes. They
// are valid until the next Feed.
func (r *Reader) Cut(n int) []byte {
	p := r.buf[r.start : r.start+n : r.start+n]
	r.start += n
	r.want = 0
	return p
}

// Started says that the untyped message has come; another follows after SSLRequest and GSSENCRequest.
func (r *Reader) Started() { r.startup = 0 }

// Codes of untyped messages.
const (
	ProtocolVersion = 3 << 16
	CancelRequest   = 1234<<16 | 5678
	SSLRequest      = 1234<<16 | 5679
	GSSENCRequest   = 1234<<16 | 5680
)

// ErrFormat says that a message's body does not have its type's form.
var ErrFormat = errors.New("malformed message")

// Startup decodes an untyped message: its code, and the parameters where the code is a protocol version.
func Startup(body []byte) (code uint32, params map[string]string, err error) {
	d := decoder{p: body}
	code = d.uint32()
	if d.bad {
		return 0, nil, ErrFormat
	}
	if code>>16 != 3 {
		return code, nil, nil
	}
	params = map[string]string{}
	for {
		k := d.text()
		if d.bad {
			return code, nil, ErrFormat
		}
		if k == "" {
			return code, params, nil
		}
		params[k] = d.text()
	}
}

// Query decodes the text of a simple query.
func Query(body []byte) (string, error) {
	d := decoder{p: body}
	s := d.text()
	return s, d.end()
}

// Pair decodes ParameterStatus.
func Pair(body []byte) (name, value string, err error) {
	d := decoder{p: body}
	name, value = d.text(), d.text()
	return name, value, d.end()
}

// Fields decodes ErrorResponse and NoticeResponse.
func Fields(body []byte) (map[byte]string, error) {
	d := decoder{p: body}
	out := map[byte]string{}
	for {
		k := d.byte()
		if k == 0 || d.bad {
			return out, d.end()
		}
		out[k] = d.text()
	}
}

// Row decodes DataRow. A NULL is nil.
func Row(body []byte) ([][]byte, error) {
	d := decoder{p: body}
	n := int(d.uint16())
	var out [][]byte
	for i := 0; i < n && !d.bad; i++ {
		out = append(out, d.value())
	}
	return out, d.end()
}

// ParseMessage is the content of Parse.
type ParseMessage struct {
	Name, Query string
	Types       []uint32
}

// Parse decodes Parse.
func Parse(body []byte) (ParseMessage, error) {
	d := decoder{p: body}
	m := ParseMessage{Name: d.text(), Query: d.text()}
	n := int(d.uint16())
	for i := 0; i < n && !d.bad; i++ {
		m.Types = append(m.Types, d.uint32())
	}
	return m, d.end()
}

// BindMessage is the content of Bind. Rest holds formats, values and result formats as they came.
type BindMessage struct {
	Portal, Statement string
	Rest              []byte
}

// Bind decodes Bind and checks its form to the end.
func Bind(body []byte) (BindMessage, error) {
	d := decoder{p: body}
	m := BindMessage{Portal: d.text(), Statement: d.text()}
	m.Rest = d.p
	for n := int(d.uint16()); n > 0 && !d.bad; n-- {
		d.uint16()
	}
	for n := int(d.uint16()); n > 0 && !d.bad; n-- {
		d.value()
	}
	for n := int(d.uint16()); n > 0 && !d.bad; n-- {
		d.uint16()
	}
	return m, d.end()
}

// Target decodes Describe and Close: 'S' and a statement's name, or 'P' and a portal's.
func Target(body []byte) (kind byte, name string, err error) {
	d := decoder{p: body}
	kind, name = d.byte(), d.text()
	if kind != 'S' && kind != 'P' {
		return 0, "", ErrFormat
	}
	return kind, name, d.end()
}

// Execute decodes Execute.
func Execute(body []byte) (portal string, rows uint32, err error) {
	d := decoder{p: body}
	portal, rows = d.text(), d.uint32()
	return portal, rows, d.end()
}

type decoder struct {
	p   []byte
	bad bool
}

func (d *decoder) take(n int) []byte {
	if d.bad || n < 0 || n > len(d.p) {
		d.bad = true
		return nil
	}
	b := d.p[:n]
	d.p = d.p[n:]
	return b
}

func (d *decoder) byte() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) uint16() uint16 {
	if b := d.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *decoder) uint32() uint32 {
	if b := d.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (d *decoder) text() string {
	for i, b := range d.p {
		if b == 0 && !d.bad {
			s := string(d.p[:i])
			d.p = d.p[i+1:]
			return s
		}
	}
	d.bad = true
	return ""
}

func (d *decoder) value() []byte {
	n := int32(d.uint32())
	if n == -1 {
		return nil
	}
	return d.take(int(n))
}

func (d *decoder) end() error {
	if d.bad || len(d.p) != 0 {
		return ErrFormat
	}
	return nil
}
