package parser

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// validMessages returns messages that RFC 5424 allows a sender to write, including the examples of its section 6.5.
func validMessages() []string {
	return []string{
		"<34>1 2003-10-11T22:14:15.003Z mymachine.example.com su - ID47 - \xef\xbb\xbf'su root' failed for lonvick on /dev/pts/8",
		"<165>1 2003-08-24T05:14:15.000003-07:00 192.0.2.1 myproc 8710 - - %% It's time to make the do-nuts.",
		"<165>1 2003-10-11T22:14:15.003Z mymachine.example.com evntslog - ID47 [exampleSDID@32473 iut=\"3\" eventSource=\"Application\" eventID=\"1011\"] \xef\xbb\xbfAn application event log entry...",
		`<165>1 2003-10-11T22:14:15.003Z mymachine.example.com evntslog - ID47 [exampleSDID@32473 iut="3" eventSource="Application" eventID="1011"][examplePriority@32473 class="high"]`,
		"<0>1 - - - - - -", "<191>1 - - - - - - ", "<7>1 2024-02-29T00:00:00Z h a p i [a@1.2] x",
		`<7>1 - - - - - [timeQuality tzKnown="1" isSynced="1" syncAccuracy="60000000"][origin ip="192.0.2.1" ip="192.0.2.129" software="x"][meta sequenceId="2147483647" sysUpTime="0" language="en"]`,
		`<7>1 - - - - - [a@1 b="\"\\\]é" b=""]`, "<7>1 1985-04-12T23:20:50.52+23:59 - - - - -",
		"<7>1 - - - - - - \xff\xfe not UTF-8, and not said to be",
	}
}

func TestReadValid(t *testing.T) {
	var m Message
	for _, s := range validMessages() {
		if err := m.Read([]byte(s)); err != nil {
			t.Errorf("Read: %v: %q", err, s)
		}
	}
	if err := m.Read([]byte(validMessages()[2])); err != nil || m.Facility != 20 || m.Severity != 5 ||
		!m.Time.Equal(time.Date(2003, 10, 11, 22, 14, 15, 3e6, time.UTC)) ||
		string(m.Host) != "mymachine.example.com" || string(m.App) != "evntslog" || m.Proc != nil || string(m.ID) != "ID47" || len(m.Elements) != 1 ||
		!m.HasByteOrderMark || string(m.Text) != "An application event log entry..." {
		t.Fatalf("Read of example 3 of RFC 5424: got %+v, %v", m, err)
	}
	if v, _ := m.Find("exampleSDID@32473").Find("eventID"); string(v) != "1011" {
		t.Fatalf("eventID is %q, want 1011", v)
	}
	if err := m.Read([]byte(validMessages()[1])); err != nil ||
		!m.Time.Equal(time.Date(2003, 8, 24, 12, 14, 15, 3000, time.UTC)) {
		t.Fatal(m.Time, err)
	}
	if err := m.Read([]byte(validMessages()[8])); err != nil ||
		string(m.Elements[0].Params[0].Value) != `"\]é` || len(m.Elements[0].Params[1].Value) != 0 {
		t.Fatalf("got the parameters %q, want unescaped values", m.Elements[0].Params)
	}
}

func TestReadInvalid(t *testing.T) {
	head := "<7>1 - - - - - "
	var m Message
	for _, s := range []string{
		"", "<", "<192>1 - - - - - -", "<07>1 - - - - - -", "<7>2 - - - - - -", "<7>1  - - - - -", "<7>1 - - - - -", "7>1 - - - - - -",
		"<7>1 2003-13-11T22:14:15Z - - - - -", "<7>1 2003-02-29T22:14:15Z - - - - -", "<7>1 2003-02-28T24:14:15Z - - - - -", "<7>1 2003-02-28T22:14:60Z - - - - -",
		"<7>1 2003-02-28t22:14:15Z - - - - -", "<7>1 2003-02-28T22:14:15z - - - - -", "<7>1 2003-02-28T22:14:15.1234567Z - - - - -", "<7>1 2003-02-28T22:14:15.Z - - - - -",
		"<7>1 2003-02-28T22:14:15 - - - - -", "<7>1 2003-02-28T22:14:15+24:00 - - - - -", "<7>1 - " + strings.Repeat("h", 256) + " - - - -",
		"<7>1 - - " + strings.Repeat("a", 49) + " - - -", "<7>1 - - - " + strings.Repeat("p", 129) + " - -", "<7>1 - - - - " + strings.Repeat("i", 33) + " -", "<7>1 - h\x7f - - - -",
		head + "x", head + "-x", head + "[]", head + "[a]", head + "[a@]", head + "[@1]", head + "[a@01]", head + "[a@1x]", head + "[a@1 ]", head + "[a@1  b=\"\"]",
		head + "[a@1 b]", head + "[a@1 b=]", head + "[a@1 b=\"]", head + "[a@1 b=\"]\"]", head + `[a@1 b="\n"]`, head + `[a@1 b="\"]`, head + "[a@1 b=\"\xff\"]", head + `[a@1 b=""`,
		head + `[a@1][a@1]`, head + "[" + strings.Repeat("a", 31) + "@1]", head + `[a@1 ="x"]`, head + `[a@1 b="x"c="y"]`,
		head + `[meta sequenceId="0"]`, head + `[meta sequenceId="2147483648"]`, head + `[meta x="1"]`, head + `[timeQuality isSynced="2"]`,
		head + `[timeQuality isSynced="0" syncAccuracy="1"]`, head + `[timeQuality tzKnown="1" syncAccuracy="1"]`, head + `[origin software="` + strings.Repeat("s", 49) + `"]`,
		head + "- \xef\xbb\xbf\xff",
	} {
		if m.Read([]byte(s)) == nil {
			t.Errorf("Read(%q) succeeded, want an error", s)
		}
	}
}

// Randomly changed valid messages don't make Read panic, and Read accepts them if and only if the grammar does.
func TestMutatedMessagesAgainstGrammar(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 424))
	g := newGrammar(t)
	accepted := 0
	for range 20_000 {
		p := []byte(validMessages()[rng.IntN(len(validMessages()))])
		for range rng.IntN(4) {
			i := rng.IntN(len(p))
			switch rng.IntN(3) {
			case 0:
				p[i] = "<>[]\"\\= -.:@1Z\x00\xffa"[rng.IntN(17)]
			case 1:
				p = append(p[:i], p[i+1:]...)
			case 2:
				p = append(p[:i], append([]byte(validMessages()[rng.IntN(len(validMessages()))][:rng.IntN(10)]), p[i:]...)...)
			}
			if len(p) == 0 {
				break
			}
		}
		var m Message
		err := m.Read(p)
		if err == nil {
			accepted++
		}
		if gerr := g.check(p); err == nil && gerr != nil {
			t.Fatalf("Read accepts a message that the grammar rejects: %v: %q", gerr, p)
		} else if err != nil && gerr == nil {
			t.Fatalf("Read rejects a message that the grammar accepts: %v: %q", err, p)
		}
	}
	if accepted < 2000 || accepted > 19_000 {
		t.Fatalf("%d of 20000 messages were accepted, want 2000 to 19000", accepted)
	}
}

func FuzzRead(f *testing.F) {
	for _, s := range validMessages() {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, p []byte) {
		var m Message
		if m.Read(p) != nil {
			return
		}
		for _, e := range m.Elements {
			for _, q := range e.Params {
				if len(q.Name) == 0 || len(q.Value) > len(p) {
					t.Fatalf("empty parameter name, or a value longer than the message %q", p)
				}
				_, _ = DecodePercent(q.Value) // an error is allowed, a panic is not
			}
		}
	})
}

// Frames returns complete messages in whatever pieces the stream arrives. Malformed framing is an error, and so is a
// size above the limit, before memory is allocated for the message.
func TestFrames(t *testing.T) {
	var counted, lines bytes.Buffer
	for _, s := range validMessages() {
		fmt.Fprintf(&counted, "%d %s", len(s), s)
		lines.WriteString(s + "\n")
	}
	for name, p := range map[string][]byte{"counts": counted.Bytes(), "lines": lines.Bytes()} {
		for _, r := range []io.Reader{bytes.NewReader(p), iotest.OneByteReader(bytes.NewReader(p))} {
			fr := NewFrames(r, 1000)
			for i, want := range validMessages() {
				if got, err := fr.Next(); err != nil || string(got) != want {
					t.Fatalf("%s: message %d is %q, %v", name, i, got, err)
				}
			}
			if _, err := fr.Next(); !errors.Is(err, io.EOF) || fr.Offset() != int64(len(p)) {
				t.Fatalf("%s: %v at offset %d, want EOF at the end", name, err, fr.Offset())
			}
		}
		fr := NewFrames(bytes.NewReader(p[:len(p)-1]), 1000)
		var err error
		for err == nil {
			_, err = fr.Next()
		}
		if !errors.Is(err, ErrTruncated) {
			t.Errorf("%s: truncated input: got %v, want ErrTruncated", name, err)
		}
	}
	for text, want := range map[string]error{
		"5 abc": ErrTruncated, "0 ": ErrOctetCount, "05 abcde": ErrOctetCount, "1001 ": ErrTooLong,
		"99999999999999999999 ": ErrTooLong, "5x": ErrOctetCount, "x": ErrOctetCount, " ": ErrOctetCount,
		"12": ErrTruncated, "<" + strings.Repeat("x", 5000) + "\n": ErrTooLong, "<x": ErrTruncated,
	} {
		if _, err := NewFrames(strings.NewReader(text), 1000).Next(); !errors.Is(err, want) {
			t.Errorf("%.20q: got %v, want %v", text, err, want)
		}
	}
}

func sampleRecord() []byte {
	return []byte(`<30>1 2026-12-01T17:00:00.000001Z host-1 limeladder 4711 ANSWER [audit@32473 start="019ae12345600000001" link="abcdefghijklmnopqrstuv" seq="123456"]` +
		`[answer@32473 outcome="served" sqlstate="00000" writes="0" may-have-run="0" node="db-17" total-us="1234" queued-us="12" worked-us="1200" attempts="1" try="1200,done,db-17"]` +
		`[request@32473 id="request-1234" class="look" group="7" tenant="member-1" client="127.0.0.1:54321"][meta sequenceId="123456" sysUpTime="4711"]` +
		`[timeQuality tzKnown="1" isSynced="1" syncAccuracy="500000"][origin software="limeladder" swVersion="(devel)" enterpriseId="32473"]`)
}

func BenchmarkParse(b *testing.B) {
	p := sampleRecord()
	b.Run("by hand", func(b *testing.B) {
		var m Message
		b.ReportAllocs()
		for b.Loop() {
			if err := m.Read(p); err != nil {
				b.Fatal(err)
			}
		}
	})
	g := newGrammar(b)
	b.Run("participle", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := g.check(p); err != nil {
				b.Fatal(err)
			}
		}
	})
}
