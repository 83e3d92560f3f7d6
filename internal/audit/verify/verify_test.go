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

// corpus are the messages of one start: n answers with heads between them, from START to the last head.
func corpus(tb testing.TB, start string, n int, keys ...audit.Key) (msgs [][]byte) {
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
		p, err := e.Chain(time.Unix(1.8e9, int64(seq)*1e6), next)
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
		if i == n/3 { // two had no room
			seq += 2
			add(audit.Dropped{Count: 2, First: seq - 1, Last: seq})
		}
	}
	add(audit.End{})
	head(nil)
	return msgs
}

var (
	one = audit.Key{Name: "one", Secret: [32]byte{1}}
	two = audit.Key{Name: "two", Secret: [32]byte{2}}
)

func options() verify.Options {
	return verify.Options{Keys: map[string][32]byte{"one": one.Secret, "two": two.Secret}, Workers: 1}
}

func counted(msgs [][]byte) []byte {
	var b bytes.Buffer
	for _, m := range msgs {
		fmt.Fprintf(&b, "%d %s", len(m), m)
	}
	return b.Bytes()
}

func lines(msgs [][]byte) []byte { return append(bytes.Join(msgs, []byte("\n")), '\n') }

func look(tb testing.TB, opt verify.Options, files ...[]byte) *verify.Report {
	tb.Helper()
	v := verify.New(opt)
	for i, p := range files {
		if err := v.File(fmt.Sprint("file", i), bytes.NewReader(p)); err != nil {
			tb.Fatal(err)
		}
	}
	return v.Report()
}

func TestWhole(t *testing.T) {
	msgs := corpus(t, "s1", 20, one, two)
	other := corpus(t, "s2", 9, two)
	for name, p := range map[string][]byte{"counts": counted(msgs), "lines": lines(msgs)} {
		r := look(t, options(), p)
		if !r.Complete() || r.Messages != len(msgs) || r.Starts[0].ReportedDropped != 2 || r.Starts[0].Missing != 2 {
			t.Errorf("%s: %+v %+v", name, r, r.Starts[0])
		}
	}
	// Two starts in one file, as in an upgrade in place; and a start over two files, which were rotated.
	var mixed [][]byte
	for i := range msgs {
		mixed = append(mixed, msgs[i])
		if i < len(other) {
			mixed = append(mixed, other[i])
		}
	}
	if r := look(t, options(), lines(mixed)); !r.Complete() || len(r.Starts) != 2 {
		t.Errorf("mixed: %+v", r)
	}
	if r := look(t, options(), lines(msgs[:7]), counted(msgs[7:])); !r.Complete() {
		t.Errorf("rotated: %+v", r)
	}
	opt := options()
	opt.Partial = true
	if r := look(t, opt, lines(msgs[7:15])); !r.Clean() || !r.Open() {
		t.Errorf("partial: %+v", r)
	}
	// What comes again byte for byte is told and no fault; what is not ours is counted.
	again := append(append([][]byte{}, msgs[:9]...), msgs[4:]...)
	again = append(again, []byte("<7>1 - - - - - - else"))
	if r := look(t, options(), lines(again)); !r.Complete() || r.Starts[0].Repeated != 5 || r.Foreign != 1 {
		t.Errorf("again: %+v", r)
	}
	// Without keys nothing is proved; with the wrong one all is wrong.
	if r := look(t, verify.Options{}, lines(msgs)); !r.Clean() || r.Complete() || r.Proved {
		t.Errorf("no keys: %+v", r)
	}
	if r := look(t, verify.Options{Keys: map[string][32]byte{"one": two.Secret}}, lines(msgs)); r.Clean() {
		t.Error("the wrong key proves it")
	}
	if r := look(t, options()); r.Complete() || !r.Clean() {
		t.Error("nothing is whole")
	}
}

// Every single-bit change is found, in both forms of file.
func TestEveryFlippedBit(t *testing.T) {
	msgs := corpus(t, "s1", 2, one, two)
	for name, p := range map[string][]byte{"counts": counted(msgs), "lines": lines(msgs)} {
		for bit := range len(p) * 8 {
			p[bit/8] ^= 1 << (bit % 8)
			if r := look(t, options(), p); r.Complete() {
				t.Fatalf("%s: bit %d of byte %d: %q", name, bit%8, bit/8, p[max(0, bit/8-20):min(len(p), bit/8+20)])
			}
			p[bit/8] ^= 1 << (bit % 8)
		}
	}
}

// Every removal, swap and cut is found, and the first fault names the place.
func TestRemovalsSwapsAndCuts(t *testing.T) {
	msgs := corpus(t, "s1", 10, one, two)
	for i := range msgs {
		less := append(append([][]byte{}, msgs[:i]...), msgs[i+1:]...)
		r := look(t, options(), lines(less))
		if r.Complete() || i < len(msgs)-2 && (r.Clean() || r.Faults[0].Message != i+1) {
			t.Errorf("%d is missing: %v", i, r.Faults)
		}
		for j := range i {
			swapped := append([][]byte{}, msgs...)
			swapped[i], swapped[j] = swapped[j], swapped[i]
			if r := look(t, options(), lines(swapped)); r.Clean() || r.Faults[0].Message > j+2 {
				t.Errorf("%d and %d are swapped: %v", i, j, r.Faults)
			}
		}
		// Put in once more under another number, as one who has no key could.
		forged := bytes.Replace(msgs[i], []byte(` seq="`), []byte(` seq="9`), 1)
		with := append(append(append([][]byte{}, msgs[:i]...), forged), msgs[i:]...)
		if r := look(t, options(), lines(with)); r.Clean() && !bytes.Equal(forged, msgs[i]) {
			t.Errorf("%d: a forged one passes", i)
		}
	}
	for _, p := range [][]byte{counted(msgs), lines(msgs)} {
		checkEveryCut(t, p)
	}
}

// checkEveryCut checks that no part of a file is taken for all of it.
func checkEveryCut(t *testing.T, p []byte) {
	t.Helper()
	for cut := range p {
		if r := look(t, options(), p[:cut]); r.Complete() {
			t.Fatalf("cut at %d of %d", cut, len(p))
		}
		if cut == 0 || cut%7 != 0 {
			continue
		}
		if r := look(t, options(), p[cut:]); r.Complete() {
			t.Fatalf("begins at %d of %d", cut, len(p))
		}
	}
}

// A record of losses has to fit what is missing.
func TestLossesHaveToFit(t *testing.T) {
	for told, whole := range map[uint64]bool{3: true, 2: false, 1: false} {
		e, _ := audit.NewEncoder(audit.EncoderOptions{
			Head: syslog.Header{Host: "h"}, Enterprise: 1, MaxMessageBytes: 1024, Start: "s", Key: &one,
		})
		var msgs [][]byte
		for _, r := range []audit.Record{
			{Seq: 1, Event: audit.Start{}},
			{Seq: 5, Event: audit.Dropped{Count: told, First: 2, Last: 4}},
			{Seq: 6, Event: audit.End{}},
		} {
			msgs = append(msgs, bytes.Clone(e.Encode(r)))
		}
		head, _ := e.Chain(time.Unix(1, 0), nil)
		if r := look(t, options(), lines(append(msgs, head))); r.Complete() != whole {
			t.Errorf("%d told of 3: %v", told, r.Faults)
		}
	}
}

// million gives a file of so many messages without holding it.
type million struct {
	msgs [][]byte
	n    int
	rest []byte
}

func (m *million) Read(p []byte) (int, error) {
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
	msgs := corpus(b, "s1", 100_000, one)
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
				if err := v.File("f", &million{msgs: msgs}); err != nil || !v.Report().Complete() {
					b.Fatal(err, v.Report().Faults)
				}
			}
			b.ReportMetric(float64(len(msgs)*b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// A million records with one flipped bit.
func TestMillionWithOneFlippedBit(t *testing.T) {
	if testing.Short() {
		t.Skip("a million records")
	}
	const n = 1_000_000
	e, err := audit.NewEncoder(audit.EncoderOptions{
		Head: syslog.Header{Host: "h"}, Enterprise: 1, MaxMessageBytes: 1024, Start: "s", Key: &one,
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
		_ = w.Close() // a pipe's end never fails to close
	}()
	v := verify.New(options())
	if err := v.File("f", r); err != nil {
		t.Fatal(err)
	}
	rep := v.Report()
	if len(rep.Faults) != 1 || rep.Messages != n {
		t.Fatalf("%d messages, %v", rep.Messages, rep.Faults)
	}
	fault := rep.Faults[0]
	if fault.Message < 700_001 || fault.Message > 700_002 || !strings.Contains(fault.What, "chang") {
		t.Fatalf("%d messages, %v", rep.Messages, rep.Faults)
	}
}
