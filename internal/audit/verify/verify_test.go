package verify_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"limeladder/internal/audit"
	"limeladder/internal/audit/verify"
	"limeladder/internal/syslog"
)

// encodeStart returns the messages of one start, from START to the last head: n answers, with heads between them.
func encodeStart(tb testing.TB, start string, n int, keys ...audit.Key) (msgs [][]byte) {
	tb.Helper()
	e, err := audit.NewEncoder(audit.EncoderOptions{
		Head: syslog.Header{Facility: 3, Host: "h", App: "limeladder", Proc: "1"}, Enterprise: 32473,
		MaxMessageBytes: 1024,
		Software:        "limeladder", Version: "1", Start: start, StartedAt: time.Unix(1.8e9, 0),
		RejectedSQLSTATE: "53300", FailedSQLSTATE: "08007", Key: &keys[0],
	})
	if err != nil {
		tb.Fatal(err)
	}
	seq := uint64(0)
	add := func(ev audit.Event) {
		seq++
		msgs = append(msgs, bytes.Clone(e.Encode(audit.Record{Seq: seq, Time: time.Unix(1.8e9, int64(seq)*1e6), Event: ev})))
	}
	head := func(next *audit.Key) {
		p, err := e.EncodeHead(time.Unix(1.8e9, int64(seq)*1e6), next)
		if err != nil {
			tb.Fatal(err)
		}
		msgs = append(msgs, bytes.Clone(p))
	}
	add(audit.Start{Router: "n1", Key: keys[0].Name})
	for i := range n {
		add(&audit.Answer{
			Request: fmt.Sprint("r", i), Class: "job", Endpoint: "db-1", Outcome: audit.Outcome(i % 5),
			Attempts: []audit.Attempt{{Endpoint: "db-1"}},
		})
		if i%4 == 3 {
			head(nil)
		}
		if len(keys) > 1 && i == n/2 {
			head(&keys[1])
		}
		if i == n/3 { // two records were dropped
			seq += 2
			add(audit.Dropped{Count: 2, First: seq - 1, Last: seq})
		}
	}
	add(audit.End{})
	head(nil)
	return msgs
}

var (
	keyOne = audit.Key{Name: "one", Secret: [32]byte{1}}
	keyTwo = audit.Key{Name: "two", Secret: [32]byte{2}}
)

func options() verify.Options {
	return verify.Options{Keys: map[string][32]byte{"one": keyOne.Secret, "two": keyTwo.Secret}, Workers: 1}
}

func withOctetCounts(msgs [][]byte) []byte {
	var b bytes.Buffer
	for _, m := range msgs {
		fmt.Fprintf(&b, "%d %s", len(m), m)
	}
	return b.Bytes()
}

func asLines(msgs [][]byte) []byte { return append(bytes.Join(msgs, []byte("\n")), '\n') }

func verifyFiles(tb testing.TB, opt verify.Options, files ...[]byte) *verify.Report {
	tb.Helper()
	v := verify.New(opt)
	for i, p := range files {
		if err := v.File(fmt.Sprint("file", i), bytes.NewReader(p)); err != nil {
			tb.Fatal(err)
		}
	}
	return v.Report()
}

func TestCompleteFiles(t *testing.T) {
	msgs := encodeStart(t, "s1", 20, keyOne, keyTwo)
	other := encodeStart(t, "s2", 9, keyTwo)
	for name, p := range map[string][]byte{"counts": withOctetCounts(msgs), "lines": asLines(msgs)} {
		r := verifyFiles(t, options(), p)
		if !r.Complete() || r.Messages != len(msgs) || r.Starts[0].ReportedDropped != 2 || r.Starts[0].Missing != 2 {
			t.Errorf("%s: the report is %+v with the start %+v, want it complete with 2 dropped records", name, r, r.Starts[0])
		}
	}
	// Two starts in one file, as during a hot restart, and one start in two files, as after a rotation.
	var mixed [][]byte
	for i := range msgs {
		mixed = append(mixed, msgs[i])
		if i < len(other) {
			mixed = append(mixed, other[i])
		}
	}
	if r := verifyFiles(t, options(), asLines(mixed)); !r.Complete() || len(r.Starts) != 2 {
		t.Errorf("two starts in one file: the report is %+v, want a complete one", r)
	}
	if r := verifyFiles(t, options(), asLines(msgs[:7]), withOctetCounts(msgs[7:])); !r.Complete() {
		t.Errorf("one start in two files: the report is %+v, want a complete one", r)
	}
	opt := options()
	opt.Partial = true
	if r := verifyFiles(t, opt, asLines(msgs[7:15])); !r.Clean() || !r.Open() {
		t.Errorf("part of a start: the report is %+v, want no faults and an open start", r)
	}
	// Repeated messages and messages of other programs are counted, and are not faults.
	repeated := append(append([][]byte{}, msgs[:9]...), msgs[4:]...)
	repeated = append(repeated, []byte("<7>1 - - - - - - else"))
	if r := verifyFiles(t, options(), asLines(repeated)); !r.Complete() || r.Starts[0].Repeated != 5 || r.Foreign != 1 {
		t.Errorf("repeated messages: the report is %+v, want a complete one with 5 repeated and 1 foreign message", r)
	}
	// Without keys nothing is proved. A wrong key is a fault.
	if r := verifyFiles(t, verify.Options{}, asLines(msgs)); !r.Clean() || r.Complete() || r.HasKeys {
		t.Errorf("without keys: the report is %+v, want no faults and no proof", r)
	}
	if r := verifyFiles(t, verify.Options{Keys: map[string][32]byte{"one": keyTwo.Secret}}, asLines(msgs)); r.Clean() {
		t.Error("no faults with the wrong key, want some")
	}
	if r := verifyFiles(t, options()); r.Complete() || !r.Clean() {
		t.Error("the report on no files is complete or has faults, want neither")
	}
}

// Guards against a changed bit that is not detected, with messages framed by their length and by newlines.
func TestEveryFlippedBit(t *testing.T) {
	msgs := encodeStart(t, "s1", 2, keyOne, keyTwo)
	for name, p := range map[string][]byte{"counts": withOctetCounts(msgs), "lines": asLines(msgs)} {
		for bit := range len(p) * 8 {
			p[bit/8] ^= 1 << (bit % 8)
			if r := verifyFiles(t, options(), p); r.Complete() {
				t.Fatalf("%s: bit %d of byte %d was flipped and the report is complete: %q",
					name, bit%8, bit/8, p[max(0, bit/8-20):min(len(p), bit/8+20)])
			}
			p[bit/8] ^= 1 << (bit % 8)
		}
	}
}

// Guards against removed, swapped or forged messages and truncated files that are not detected, and against a first
// fault that names another place.
func TestRemovalsSwapsAndTruncations(t *testing.T) {
	msgs := encodeStart(t, "s1", 10, keyOne, keyTwo)
	for i := range msgs {
		shortened := append(append([][]byte{}, msgs[:i]...), msgs[i+1:]...)
		r := verifyFiles(t, options(), asLines(shortened))
		if r.Complete() || i < len(msgs)-2 && (r.Clean() || r.Faults[0].Message != i+1) {
			t.Errorf("message %d was removed: the faults are %v, want the first one at its place", i, r.Faults)
		}
		for j := range i {
			swapped := append([][]byte{}, msgs...)
			swapped[i], swapped[j] = swapped[j], swapped[i]
			if r := verifyFiles(t, options(), asLines(swapped)); r.Clean() || r.Faults[0].Message > j+2 {
				t.Errorf("messages %d and %d were swapped: the faults are %v, want the first one at the earlier place",
					i, j, r.Faults)
			}
		}
		// A copy of the message under another number, as an attacker without the key could insert it.
		forged := bytes.Replace(msgs[i], []byte(` seq="`), []byte(` seq="9`), 1)
		extended := append(append(append([][]byte{}, msgs[:i]...), forged), msgs[i:]...)
		if r := verifyFiles(t, options(), asLines(extended)); r.Clean() && !bytes.Equal(forged, msgs[i]) {
			t.Errorf("no faults with a forged copy of message %d, want some", i)
		}
	}
	for _, p := range [][]byte{withOctetCounts(msgs), asLines(msgs)} {
		checkEveryTruncation(t, p)
	}
}

// checkEveryTruncation checks that no beginning or end of a file is reported as complete.
func checkEveryTruncation(t *testing.T, p []byte) {
	t.Helper()
	for cut := range p {
		if r := verifyFiles(t, options(), p[:cut]); r.Complete() {
			t.Fatalf("the first %d of %d bytes are reported as complete", cut, len(p))
		}
		if cut == 0 || cut%7 != 0 {
			continue
		}
		if r := verifyFiles(t, options(), p[cut:]); r.Complete() {
			t.Fatalf("the file without its first %d of %d bytes is reported as complete", cut, len(p))
		}
	}
}

// Guards against a DROPPED record that is accepted although it reports another count than the missing numbers.
func TestDropCountsMatchMissingNumbers(t *testing.T) {
	for reported, wantComplete := range map[uint64]bool{3: true, 2: false, 1: false} {
		e, _ := audit.NewEncoder(audit.EncoderOptions{
			Head: syslog.Header{Host: "h"}, Enterprise: 1, MaxMessageBytes: 1024, Start: "s", Key: &keyOne,
		})
		var msgs [][]byte
		for _, r := range []audit.Record{
			{Seq: 1, Event: audit.Start{}},
			{Seq: 5, Event: audit.Dropped{Count: reported, First: 2, Last: 4}},
			{Seq: 6, Event: audit.End{}},
		} {
			msgs = append(msgs, bytes.Clone(e.Encode(r)))
		}
		head, _ := e.EncodeHead(time.Unix(1, 0), nil)
		if r := verifyFiles(t, options(), asLines(append(msgs, head))); r.Complete() != wantComplete {
			t.Errorf("%d of 3 missing numbers were reported as dropped: the faults are %v, want a complete report only for 3",
				reported, r.Faults)
		}
	}
}

// lineReader reads messages as the lines of a file, without joining them in memory.
type lineReader struct {
	msgs [][]byte
	n    int
	rest []byte
}

func (m *lineReader) Read(p []byte) (int, error) {
	if len(m.rest) == 0 {
		if m.n == len(m.msgs) {
			return 0, io.EOF
		}
		m.rest = append(append(m.rest, m.msgs[m.n]...), '\n')
		m.n++
	}
	n := copy(p, m.rest)
	m.rest = m.rest[n:]
	return n, nil
}

func BenchmarkVerify(b *testing.B) {
	msgs := encodeStart(b, "s1", 100_000, keyOne)
	size := 0
	for _, m := range msgs {
		size += len(m)
	}
	for _, workers := range []int{1, 0} {
		b.Run(fmt.Sprint("workers ", workers), func(b *testing.B) {
			opt := options()
			opt.Workers = workers
			delete(opt.Keys, "two")
			for b.Loop() {
				v := verify.New(opt)
				if err := v.File("f", &lineReader{msgs: msgs}); err != nil || !v.Report().Complete() {
					b.Fatal(err, v.Report().Faults)
				}
			}
			b.ReportMetric(float64(len(msgs)*b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// Guards against a flipped bit that is not found, or reported at another place, in a file of a million records.
func TestMillionWithOneFlippedBit(t *testing.T) {
	if testing.Short() {
		t.Skip("a million records")
	}
	const n = 1_000_000
	e, err := audit.NewEncoder(audit.EncoderOptions{
		Head: syslog.Header{Host: "h"}, Enterprise: 1, MaxMessageBytes: 1024, Start: "s", Key: &keyOne,
	})
	if err != nil {
		t.Fatal(err)
	}
	r, w := io.Pipe()
	go func() {
		buf := make([]byte, 0, 1<<20)
		for i := range n {
			var ev audit.Event = audit.Router{State: "drained"}
			if i == 0 {
				ev = audit.Start{}
			}
			msg := e.Encode(audit.Record{Seq: uint64(i) + 1, Time: time.Unix(1.8e9, 0), Event: ev})
			buf = append(buf, msg...)
			if i == 700_000 {
				buf[len(buf)-1] ^= 4
			}
			buf = append(buf, '\n')
			if len(buf) > 1<<19 {
				if _, err := w.Write(buf); err != nil {
					t.Error(err)
				}
				buf = buf[:0]
			}
		}
		if _, err := w.Write(buf); err != nil {
			t.Error(err)
		}
		_ = w.Close() // closing a pipe never fails
	}()
	v := verify.New(options())
	if err := v.File("f", r); err != nil {
		t.Fatal(err)
	}
	rep := v.Report()
	if len(rep.Faults) != 1 || rep.Messages != n {
		t.Fatalf("%d messages were read with the faults %v, want 1000000 with one fault", rep.Messages, rep.Faults)
	}
	fault := rep.Faults[0]
	if fault.Message < 700_001 || fault.Message > 700_002 || !strings.Contains(fault.Problem, "chang") {
		t.Fatalf("%d messages were read with the faults %v, want one at message 700001 or 700002 that reports a change",
			rep.Messages, rep.Faults)
	}
}
