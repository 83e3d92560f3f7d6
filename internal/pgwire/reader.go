package pgwire

import (
	"encoding/binary"
	"slices"
)

const (
	lengthBytes = 4               // the length field, which counts itself
	headerBytes = 1 + lengthBytes // type and length of a typed message
	// maxIdleBuffer is the largest buffer that an idle reader keeps.
	maxIdleBuffer = 16 << 10
	// growFraction is the part of a message that must have come before room for all of it is made, so that a peer
	// that announces a long message and sends none costs no memory.
	growFraction = 4
)

// Reader cuts a stream of bytes into messages. The zero value is not ready: use NewReader.
type Reader struct {
	buf   []byte
	start int // where the bytes that are not yet cut begin in buf
	// incomplete is how many bytes the message that is coming has, with its header; 0 = not known.
	incomplete   int
	limit        int // bytes of a message
	startupLimit int // bytes of a startup message, 0 once it has come
}

// NewReader expects typed messages of at most limit bytes. With startupLimit above 0 the first message is an untyped
// one of at most that size.
func NewReader(limit, startupLimit int) *Reader {
	return &Reader{limit: limit, startupLimit: startupLimit}
}

// Feed adds bytes that have come.
func (r *Reader) Feed(p []byte) {
	r.reclaim()
	have := r.Waiting() + len(p)
	if r.incomplete > have && have > r.incomplete/growFraction {
		// A long message is copied once, not at each growth. Its length was checked when it came.
		r.buf = slices.Grow(r.buf, r.incomplete-r.Waiting())
	}
	r.buf = append(r.buf, p...)
}

// reclaim makes the room of bytes that were cut usable again.
func (r *Reader) reclaim() {
	switch {
	case r.start == len(r.buf):
		r.buf = r.buf[:0]
	case r.start > len(r.buf)/2:
		r.buf = append(r.buf[:0], r.buf[r.start:]...)
	default:
		return
	}
	r.start = 0
}

// Waiting is the number of bytes that are not yet cut.
func (r *Reader) Waiting() int { return len(r.buf) - r.start }

// Next returns the next complete message; ok is false when it has not come yet. The length is checked as soon as it
// is there, before anything of that size is kept. The error is a *SizeError.
func (r *Reader) Next() (m Message, ok bool, err error) {
	if r.start == len(r.buf) && cap(r.buf) > maxIdleBuffer {
		// One long message must not hold its memory for the rest of the connection.
		r.buf = nil
		r.start = 0
	}
	p := r.buf[r.start:]
	typeBytes := 1
	limit := r.limit
	if r.startupLimit > 0 {
		typeBytes = 0
		limit = r.startupLimit
	}
	bodyStart := typeBytes + lengthBytes
	if len(p) < bodyStart {
		return m, false, nil
	}
	length := int64(binary.BigEndian.Uint32(p[typeBytes:]))
	if length < lengthBytes || length > int64(limit) {
		return m, false, &SizeError{Length: length, Limit: limit}
	}
	end := typeBytes + int(length)
	if len(p) < end {
		r.incomplete = end
		return m, false, nil
	}
	r.incomplete = 0
	if typeBytes == 1 {
		m.Type = p[0]
	}
	m.Body = p[bodyStart:end:end]
	r.start += end
	return m, true, nil
}

// Incomplete returns what is known of a message that has begun to come and is not complete: its type, the length of its
// body, and the bytes of the body that are there. ok is false when there is none, or less than its length has come.
func (r *Reader) Incomplete() (typ byte, length int, have []byte, ok bool) {
	p := r.buf[r.start:]
	if r.startupLimit > 0 || len(p) < headerBytes || r.incomplete == 0 {
		return 0, 0, nil, false
	}
	return p[0], r.incomplete - headerBytes, p[headerBytes:], true
}

// NextBytes takes the next n bytes as they are, whatever they belong to; it is for a message that is forwarded as it
// comes. They are valid until the next Feed.
func (r *Reader) NextBytes(n int) []byte {
	end := r.start + n
	p := r.buf[r.start:end:end]
	r.start = end
	r.incomplete = 0
	return p
}

// Started says that the untyped message has come and typed ones follow. It isn't called after SSLRequest and
// GSSENCRequest, which another untyped message follows.
func (r *Reader) Started() { r.startupLimit = 0 }
