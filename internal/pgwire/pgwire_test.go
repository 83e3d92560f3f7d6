package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// validMessages returns one message of each type, in an order that could occur on a connection.
func validMessages() []byte {
	p := AppendStartupResponse(nil)
	p = AppendQuery(p, "SELECT 1")
	p = AppendParse(p, ParseMessage{Name: "s", Query: "SELECT $1", Types: []uint32{25, 17}})
	rest := []byte("\x00\x00\x00\x01\x00\x00\x00\x01x\x00\x01\x00\x01")
	p = AppendBind(p, BindMessage{Portal: "p", Statement: "s", Rest: rest})
	p = AppendTarget(p, 'D', 'S', "s")
	p = AppendExecute(p, "p", 7)
	p = AppendError(p, Error{Code: TooManyConnections, Message: "no", RetryAfter: time.Second})
	p = Append(p, 'D', []byte("\x00\x02\x00\x00\x00\x01v\xff\xff\xff\xff"))
	return AppendReady(p)
}

// readMessages cuts p into messages and decodes them all. The bytes are fed in pieces whose sizes are returned by next.
func readMessages(p []byte, next func(left int) int) (out []Message, err error) {
	r := NewReader(1<<16, 0)
	for len(p) > 0 {
		n := next(len(p))
		r.Feed(p[:n])
		p = p[n:]
		for {
			m, ok, err := r.Next()
			if err != nil {
				return out, err
			}
			if !ok {
				break
			}
			decodeWithAll(m.Body)
			out = append(out, Message{Type: m.Type, Body: bytes.Clone(m.Body), Truncated: m.Truncated})
		}
	}
	return out, nil
}

// decodeWithAll passes a body to every decoder. No decoder may panic, whatever the body is.
func decodeWithAll(b []byte) {
	_, _, _ = Startup(b)
	_, _ = Query(b)
	_, _, _ = ParameterStatus(b)
	_, _ = Fields(b)
	_, _ = Row(b)
	_, _ = Parse(b)
	_, _ = Bind(b)
	_, _, _ = Target(b)
	_, _, _ = Execute(b)
}

func equalMessages(a, b []Message) bool {
	return slices.EqualFunc(a, b, func(m, n Message) bool {
		return m.Type == n.Type && bytes.Equal(m.Body, n.Body) && m.Truncated == n.Truncated
	})
}

func TestRandomSplits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	want, err := readMessages(validMessages(), func(left int) int { return left })
	if err != nil || len(want) != 17 {
		t.Fatalf("%d messages in one piece, error %v, want 17 and no error", len(want), err)
	}
	for range 500 {
		got, err := readMessages(validMessages(), func(left int) int { return 1 + rng.IntN(min(left, 40)) })
		if err != nil || !equalMessages(got, want) {
			t.Fatalf("%d messages in random pieces, error %v, want the same as in one piece", len(got), err)
		}
	}
}

func TestRandomGarbage(_ *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		p := validMessages()
		for range 1 + rng.IntN(8) {
			p[rng.IntN(len(p))] = byte(rng.Uint32())
		}
		if rng.IntN(4) == 0 {
			for i := range p {
				p[i] = byte(rng.Uint32())
			}
		}
		_, _ = readMessages(p, func(left int) int { return 1 + rng.IntN(left) }) // an error is permitted, a panic is not
	}
}

func FuzzReader(f *testing.F) {
	f.Add(validMessages(), uint8(3))
	f.Add([]byte{'Q', 0, 0, 0, 4}, uint8(1))
	f.Add([]byte{'D', 0, 0, 0, 6, 0xff, 0xff}, uint8(2))
	f.Fuzz(func(t *testing.T, p []byte, step uint8) {
		whole, err1 := readMessages(p, func(left int) int { return left })
		cut, err2 := readMessages(p, func(left int) int { return min(left, 1+int(step)) })
		if !equalMessages(whole, cut) || (err1 == nil) != (err2 == nil) {
			t.Fatalf("in one piece and in several: %d and %d messages, errors %v and %v, want the same",
				len(whole), len(cut), err1, err2)
		}
	})
}

// An invalid length is rejected as soon as it has arrived, without waiting for as many bytes.
func TestLengthIsCheckedBeforeBody(t *testing.T) {
	refused := map[uint32]bool{0: true, 3: true, 4: false, 100: false, 101: true, 1 << 31: true, 1<<32 - 1: true}
	for n, bad := range refused {
		r := NewReader(100, 0)
		r.Feed(binary.BigEndian.AppendUint32([]byte{'Q'}, n))
		if _, _, err := r.Next(); errors.Is(err, ErrSize) != bad {
			t.Errorf("length %d: error %v, want ErrSize for lengths below 4 or above 100 only", n, err)
		}
		r = NewReader(10, 100)
		r.Feed(binary.BigEndian.AppendUint32(nil, n))
		if _, _, err := r.Next(); errors.Is(err, ErrSize) != bad {
			t.Errorf("startup length %d: error %v, want ErrSize for lengths below 4 or above 100 only", n, err)
		}
	}
}

func TestRoundTrips(t *testing.T) {
	r := NewReader(1<<16, 1<<10)
	r.Feed(AppendStartup(nil, "user", "portal", "database", "crm"))
	m, ok, err := r.Next()
	code, params, err2 := Startup(m.Body)
	if !ok || err != nil || err2 != nil || code != ProtocolVersion {
		t.Fatalf("startup message: ok %v, errors %v and %v, code %d, want true, no errors and code 196608",
			ok, err, err2, code)
	}
	if params["user"] != "portal" || params["database"] != "crm" {
		t.Fatalf("startup message: ok %v, errors %v and %v, parameters %v, want user portal and database crm",
			ok, err, err2, params)
	}
	r.StartupDone()
	r.Feed(AppendError(nil, Error{Fatal: true, Code: "57P03", Message: "m", RetryAfter: 1500 * time.Millisecond}))
	m, _, _ = r.Next()
	f, err := Fields(m.Body)
	if err != nil || f['C'] != "57P03" || f['D'] != "1500" || f['S'] != "FATAL" {
		t.Fatalf("error response has fields %v, error %v, want C 57P03, D 1500 and S FATAL", f, err)
	}
	r.Feed(AppendExecute(nil, "p", 9))
	m, _, _ = r.Next()
	if portal, rows, err := Execute(m.Body); portal != "p" || rows != 9 || err != nil {
		t.Fatalf("Execute has portal %q and %d rows, error %v, want p and 9", portal, rows, err)
	}
}

// A long message does not keep its memory after it is read.
func TestReaderReleasesLongBuffer(t *testing.T) {
	r := NewReader(1<<20, 0)
	r.Feed(AppendQuery(nil, string(make([]byte, 100_000))))
	if _, ok, err := r.Next(); !ok || err != nil {
		t.Fatal(ok, err)
	}
	if _, ok, _ := r.Next(); ok || cap(r.buf) > 0 {
		t.Fatalf("buffer has a capacity of %d bytes after the message was read, want 0", cap(r.buf))
	}
}

func FuzzShape(f *testing.F) {
	f.Add([]byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"))
	f.Add([]byte("\x00\x01\x00\x00\x00\x01v"))
	f.Add([]byte("INSERT 0 1\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, typ := range []byte("TDCtE12nsI?") {
			s := NewShape()
			if s.Add(Message{Type: typ, Body: body}) == nil && (s.Columns > len(body) || strings.Contains(s.Tag, "\x00")) {
				t.Fatalf("message type %c: invalid body accepted as %+v", typ, s)
			}
		}
	})
}

// FuzzRowStream tests that a row that is checked while it arrives gives the same result as the whole row, at whatever
// points it is split.
func FuzzRowStream(f *testing.F) {
	f.Add([]byte("\x00\x01\x00\x00\x00\x01v"), uint8(1))
	f.Add([]byte("\x00\x03\xff\xff\xff\xff\x00\x00\x00\x00\x00\x00\x00\x02xy"), uint8(3))
	f.Add([]byte("\x00\x01\x00\x00\x00\x05v"), uint8(9))
	f.Add([]byte("\x00\x00v"), uint8(1))
	f.Fuzz(func(t *testing.T, body []byte, step uint8) {
		whole := NewShape()
		err := whole.Add(Message{Type: 'D', Body: body})
		s := NewRowStream(len(body))
		var cut error
		for p := body; len(p) > 0 && cut == nil; {
			n := min(len(p), 1+int(step))
			cut = s.Feed(p[:n])
			p = p[n:]
		}
		if len(body) == 0 {
			return
		}
		if (err == nil) != (cut == nil) || cut == nil && (s.BytesLeft != 0 || s.Columns != whole.Columns) {
			t.Fatalf("whole row has error %v, row in pieces has error %v and state %+v, want the same result", err, cut, s)
		}
	})
}

// An error contains the malformed message and the offset, while its text, which clients see, stays the same.
func TestFormatErrorsNameMessageAndOffset(t *testing.T) {
	decode := func(f func(body []byte) error, body string) error { return f([]byte(body)) }
	query := func(body []byte) error { _, err := Query(body); return err }
	bind := func(body []byte) error { _, err := Bind(body); return err }
	target := func(body []byte) error { _, _, err := Target(body); return err }
	for name, c := range map[string]struct {
		err     error
		message string
		offset  int
	}{
		"query without a final zero byte": {decode(query, "SELECT 1"), "Query", 0},
		"query with trailing bytes":       {decode(query, "SELECT 1\x00x"), "Query", 9},
		"bind with a long value":          {decode(bind, "p\x00s\x00\x00\x00\x00\x01\x00\x00\x00\x09x"), "Bind", 12},
		"describe of an unknown kind":     {decode(target, "Xs\x00"), "Describe or Close", 0},
	} {
		var format *FormatError
		if !errors.As(c.err, &format) || !errors.Is(c.err, ErrFormat) {
			t.Errorf("%s: error %v, want a *FormatError", name, c.err)
			continue
		}
		if format.Message != c.message || format.Offset != c.offset || format.SQLState() != ProtocolViolation {
			t.Errorf("%s: error %#v, want the message and the offset of the case, and SQLSTATE 08P01", name, format)
		}
		if c.err.Error() != "malformed message" {
			t.Errorf("%s: error text %q, want malformed message", name, c.err)
		}
	}
	r := NewReader(100, 0)
	r.Feed([]byte("Q\x00\x00\x00\x65"))
	_, _, err := r.Next()
	var size *SizeError
	if !errors.As(err, &size) || size.Length != 101 || size.Limit != 100 || size.SQLState() != ProtocolViolation {
		t.Fatalf("error %#v, want a *SizeError of length 101 and limit 100, with SQLSTATE 08P01", err)
	}
	if err.Error() != "message length out of bounds: 101 bytes" {
		t.Fatalf("error text %q, want message length out of bounds: 101 bytes", err)
	}
}

// Reading and checking the rows of a response needs no allocation per row.
func TestRowsAreCheckedWithoutAllocation(t *testing.T) {
	row := Message{Type: 'D', Body: []byte("\x00\x02\x00\x00\x00\x01v\xff\xff\xff\xff")}
	wire := Append(nil, row.Type, row.Body)
	r := NewReader(1<<16, 0)
	shape := NewShape()
	n := testing.AllocsPerRun(100, func() {
		r.Feed(wire)
		m, ok, err := r.Next()
		if !ok || err != nil || shape.Add(m) != nil {
			t.Error("the row was not read or not valid")
		}
	})
	if n != 0 {
		t.Fatalf("%v allocations per row, want 0", n)
	}
}

// A message that is truncated while it arrives ends where its sender ends it, and the messages after it are unharmed,
// however they are split.
func TestTruncatedMessageKeepsItsBeginning(t *testing.T) {
	const keep = 30
	long := AppendQuery(nil, strings.Repeat("0123456789", 100))
	next := AppendQuery(nil, "next")
	stream := slices.Concat(long, next, long)
	for have := headerBytes; have < len(long); have += 37 {
		want := []Message{
			{Type: 'Q', Body: long[headerBytes : headerBytes+min(keep, have-headerBytes)], Truncated: true},
			{Type: 'Q', Body: next[headerBytes:]},
			{Type: 'Q', Body: long[headerBytes:]},
		}
		for _, step := range []int{1, 7, len(stream)} {
			reader := fedReader(0, stream[:have])
			if !reader.Truncate(keep) || reader.Truncate(keep) {
				t.Fatalf("with %d bytes the message can't be truncated, or twice", have)
			}
			if got := reader.Buffered(); got > headerBytes+keep || cap(reader.buf) > 2*(headerBytes+keep) {
				t.Fatalf("%d bytes are kept in a buffer of %d, want at most %d", got, cap(reader.buf), headerBytes+keep)
			}
			got := feedInSteps(reader, stream[have:], step)
			if !equalMessages(got, want) || reader.Buffered() > 0 {
				t.Fatalf("truncated at %d, in steps of %d: got %d messages, want the beginning and 2 whole ones",
					have, step, len(got))
			}
		}
	}
}

// feedInSteps feeds p in pieces of the given size and returns the messages that became complete.
func feedInSteps(reader *Reader, p []byte, step int) (messages []Message) {
	for piece := range slices.Chunk(p, step) {
		reader.Feed(piece)
		for m, ok, _ := reader.Next(); ok; m, ok, _ = reader.Next() {
			m.Body = bytes.Clone(m.Body)
			messages = append(messages, m)
		}
	}
	return messages
}

// Only an incomplete message whose length is known can be truncated, and no startup message.
func TestOnlyAnIncompleteMessageIsTruncated(t *testing.T) {
	query := AppendQuery(nil, "SELECT 1")
	startup := AppendStartup(nil, "user", "x")
	completed := fedReader(0, query[:len(query)-1])
	completed.Feed(slices.Concat(query[len(query)-1:], query))
	for what, reader := range map[string]*Reader{
		"nothing":                                 fedReader(0, nil),
		"part of a header":                        fedReader(0, query[:headerBytes-1]),
		"a whole message":                         fedReader(0, query),
		"part of a startup message":               fedReader(100, startup[:len(startup)-1]),
		"a message that was incomplete, and more": completed,
	} {
		if reader.Truncate(1) {
			t.Errorf("%s is truncated", what)
		}
	}
	if got := feedInSteps(completed, query, len(query)); len(got) != 3 {
		t.Errorf("%d messages follow, want 3", len(got))
	}
}

// fedReader returns a reader that has returned the messages in data which are complete.
func fedReader(startupLimit int, data []byte) *Reader {
	reader := NewReader(1<<16, startupLimit)
	if len(data) > 0 {
		feedInSteps(reader, data, len(data))
	}
	return reader
}

// An incomplete message takes no more than twice the memory of what has arrived of it, however long it is announced,
// and a short rest of a long buffer does not keep the buffer.
func TestReaderHoldsLittleMoreThanHasArrived(t *testing.T) {
	const total = 500_000
	message := AppendQuery(nil, strings.Repeat("x", total))
	r := NewReader(1<<20, 0)
	fed := 0
	for piece := range slices.Chunk(message[:total/2], 4000) {
		r.Feed(piece)
		fed += len(piece)
		if _, ok, err := r.Next(); ok || err != nil {
			t.Fatal(ok, err)
		}
		if held := r.HeldBytes(); held > 2*fed+4096 {
			t.Fatalf("%d bytes are held after %d have arrived, want at most twice as many", held, fed)
		}
	}
	r.Feed(slices.Concat(message[total/2:], message[:100]))
	if m, ok, err := r.Next(); !ok || err != nil || len(m.Body) != total+1 {
		t.Fatal(ok, err, len(m.Body))
	}
	r.Compact()
	if held := r.HeldBytes(); held > 1024 {
		t.Errorf("%d bytes are held for a rest of 100, want at most 1024", held)
	}
	r.Feed(message[100:])
	if m, ok, err := r.Next(); !ok || err != nil || len(m.Body) != total+1 {
		t.Error("the message behind the compacted rest is damaged", ok, err, len(m.Body))
	}
}
