package pgwire

import (
	"encoding/binary"
	"slices"
)

const (
	lengthBytes = 4               // size of the length field, which counts itself
	headerBytes = 1 + lengthBytes // type and length of a typed message
	// maxIdleBuffer is the capacity in bytes of the largest buffer that an idle reader keeps.
	maxIdleBuffer = 16 << 10
	// growFactor bounds the size of the buffer of an incomplete message, relative to what has arrived of it, so that a
	// peer that announces a long message and sends little of it costs little memory.
	growFactor = 2
	// compactFactor is the size of the buffer, relative to what is in it, above which Compact replaces it.
	compactFactor = 4
	// leastBuffer is the capacity in bytes of the largest buffer that Compact leaves as it is.
	leastBuffer = 1 << 10
)

// Reader cuts a stream of bytes into messages. The zero value is not usable: use NewReader.
type Reader struct {
	buf   []byte
	start int // index in buf of the first byte that Next or NextBytes has not returned yet
	// incomplete is the size in bytes of the incomplete message, with its header; 0 = not known.
	incomplete   int
	truncation   truncation
	limit        int // maximum length of a message in bytes
	startupLimit int // maximum length of a startup message in bytes, 0 after the startup
}

// truncation is the state of a message that was truncated before all of it had arrived.
type truncation struct {
	keptBytes    int // what is left of the message in the buffer, with its header; 0 = no message is truncated
	missingBytes int // bytes of the message that have not arrived yet
}

// discard returns p without the bytes that belong to the truncated message.
func (t *truncation) discard(p []byte) []byte {
	discarded := min(len(p), t.missingBytes)
	t.missingBytes -= discarded
	return p[discarded:]
}

// NewReader returns a Reader of typed messages of at most limit bytes. If startupLimit is above 0, the first message is
// an untyped one of at most that many bytes.
func NewReader(limit, startupLimit int) *Reader {
	return &Reader{limit: limit, startupLimit: startupLimit}
}

// Feed adds bytes that have arrived.
func (r *Reader) Feed(p []byte) {
	p = r.truncation.discard(p)
	r.reclaim()
	have := r.Buffered() + len(p)
	if r.incomplete > have && r.start+have > cap(r.buf) {
		// The buffer doubles, and does not exceed the message. Its length was checked when it arrived.
		grown := make([]byte, r.Buffered(), min(r.incomplete, growFactor*have))
		copy(grown, r.buf[r.start:])
		r.buf = grown
		r.start = 0
	}
	r.buf = append(r.buf, p...)
}

// Compact releases most of a buffer that is much larger than what is in it.
func (r *Reader) Compact() {
	if cap(r.buf) <= max(leastBuffer, compactFactor*r.Buffered()) {
		return
	}
	r.buf = slices.Clone(r.buf[r.start:])
	r.start = 0
}

// HeldBytes returns the memory in bytes that the reader holds for what has arrived. It leaves out the small buffer that
// a compact reader keeps while nothing is in it.
func (r *Reader) HeldBytes() int {
	if r.Buffered() == 0 {
		return 0
	}
	return cap(r.buf)
}

// reclaim reuses the space of the bytes that Next and NextBytes have returned.
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

// ReleaseBuffer drops the buffer if all bytes in it were returned. Bytes that were returned stay valid.
func (r *Reader) ReleaseBuffer() {
	if r.Buffered() == 0 {
		r.buf = nil
		r.start = 0
	}
}

// Buffered returns the number of bytes that have arrived and that Next or NextBytes has not returned yet.
func (r *Reader) Buffered() int { return len(r.buf) - r.start }

// NextMessageBytes returns how many of the buffered bytes belong to the next message, complete or not.
func (r *Reader) NextMessageBytes() int {
	p := r.buf[r.start:]
	if r.startupLimit > 0 || len(p) < headerBytes || r.truncation.keptBytes > 0 {
		return len(p)
	}
	length := int64(binary.BigEndian.Uint32(p[1:]))
	return int(min(1+length, int64(len(p))))
}

// Next returns the next complete message. ok is false if none has arrived yet. The length is checked as soon as it has
// arrived, before the buffer grows to that size. The error is a *SizeError.
func (r *Reader) Next() (m Message, ok bool, err error) {
	if r.truncation.keptBytes > 0 {
		m, ok = r.nextTruncated()
		return m, ok, nil
	}
	if r.start == len(r.buf) && cap(r.buf) > maxIdleBuffer {
		// One long message must not occupy its memory for the rest of the connection.
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

// nextTruncated returns the truncated message once all of it has arrived.
func (r *Reader) nextTruncated() (m Message, ok bool) {
	if r.truncation.missingBytes > 0 {
		return m, false
	}
	end := r.start + r.truncation.keptBytes
	p := r.buf[r.start:end:end]
	r.start = end
	r.truncation = truncation{}
	return Message{Type: p[0], Body: p[headerBytes:], Truncated: true}, true
}

// Truncate frees the memory of the incomplete message, except for its header and up to keep bytes of its body, and
// discards the rest of it as it arrives. Next returns what was kept once the whole message has arrived. Truncate does
// nothing and returns false if there is no incomplete message, if its length is not known yet, if the rest of it has
// arrived since the last call of Next, or if it is a startup message.
func (r *Reader) Truncate(keep int) bool {
	_, _, have, ok := r.Incomplete()
	if !ok || r.Buffered() >= r.incomplete {
		return false
	}
	r.truncation = truncation{
		keptBytes:    headerBytes + min(keep, len(have)),
		missingBytes: r.incomplete - r.Buffered(),
	}
	r.buf = slices.Clone(r.buf[r.start : r.start+r.truncation.keptBytes])
	r.start = 0
	r.incomplete = 0
	return true
}

// Incomplete returns the type of an incomplete message, the length of its body in bytes, and the part of the body that
// has arrived. ok is false if there is no incomplete message, if its length has not arrived yet, or if the message was
// truncated.
func (r *Reader) Incomplete() (typ byte, length int, have []byte, ok bool) {
	p := r.buf[r.start:]
	if r.startupLimit > 0 || len(p) < headerBytes || r.incomplete == 0 {
		return 0, 0, nil, false
	}
	return p[0], r.incomplete - headerBytes, p[headerBytes:], true
}

// NextBytes returns the next n bytes, without regard to message boundaries. It is used for a message that is forwarded
// while it arrives. The bytes are valid until the next call of Feed.
func (r *Reader) NextBytes(n int) []byte {
	end := r.start + n
	p := r.buf[r.start:end:end]
	r.start = end
	r.incomplete = 0
	return p
}

// StartupDone ends the startup: typed messages follow. It isn't called after SSLRequest and GSSENCRequest, which are
// followed by another untyped message.
func (r *Reader) StartupDone() { r.startupLimit = 0 }
