package audit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newAnswer(o Outcome, writes bool) *Answer {
	return &Answer{Request: "r", Class: "c", Outcome: o, Writes: writes}
}

// Guards against a queue that exceeds its bounds, returns records out of order, loses a record without counting it, or
// drops a record while one of a lower level stays queued. The pushes and takes are random.
func TestQueueBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, bytes := rapid.IntRange(1, 40).Draw(t, "records"), rapid.IntRange(400, 20_000).Draw(t, "bytes")
		queue := NewQueue(records, bytes)
		var seq, last, takenCount uint64
		var lost Dropped
		queuedLevels := map[uint64]Level{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "op") == 0 {
				taken := queue.Take(nil, rapid.IntRange(1, 10).Draw(t, "most"))
				last = checkTaken(t, taken, queuedLevels, last)
				takenCount += uint64(len(taken))
				continue
			}
			seq++
			events := []Event{
				newAnswer(Served, false), newAnswer(Served, true), newAnswer(Rejected, true), Router{State: "drained"},
			}
			event := events[rapid.IntRange(0, 3).Draw(t, "event")]
			if a, ok := event.(*Answer); ok {
				a.Request = string(make([]byte, rapid.IntRange(0, 500).Draw(t, "size")))
			}
			before := queue.dropped.Count
			queue.Push(Record{Seq: seq, Event: event})
			queuedLevels[seq] = event.level()
			if n, b := queue.Len(); n > records || b > bytes {
				t.Fatalf("the queue holds %d records of %d bytes, which exceeds a bound", n, b)
			}
			if queue.dropped.Count > before {
				checkDropped(t, queue, queuedLevels, seq, event.size() < bytes)
			}
		}
		for {
			recs := queue.Take(nil, 7)
			if len(recs) == 0 {
				break
			}
			takenCount += uint64(len(recs))
		}
		lost, _ = queue.TakeDropped(true)
		if takenCount+lost.Count != seq {
			t.Fatalf("%d records were taken and %d dropped, want a sum of %d", takenCount, lost.Count, seq)
		}
		if n, b := queue.Len(); n != 0 || b != 0 {
			t.Fatalf("%d records and %d bytes are left in the queue, want none", n, b)
		}
	})
}

// checkTaken checks that the numbers of the taken records increase, removes them from queuedLevels and returns the last
// number.
func checkTaken(t *rapid.T, taken []Record, queuedLevels map[uint64]Level, last uint64) uint64 {
	for _, r := range taken {
		if r.Seq <= last {
			t.Fatalf("record %d was taken after record %d, want increasing numbers", r.Seq, last)
		}
		last = r.Seq
		delete(queuedLevels, r.Seq)
	}
	return last
}

// checkDropped checks that the dropped records were of the lowest level in the queue, and removes them from
// queuedLevels. The newest record may be dropped at any level. Where it is larger than the queue (fits is false), other
// records may be dropped at any level too.
func checkDropped(t *rapid.T, queue *Queue, queuedLevels map[uint64]Level, newest uint64, fits bool) {
	stillQueued := map[uint64]bool{}
	for l := range queue.byLevel {
		ring := &queue.byLevel[l]
		for i := range ring.count {
			stillQueued[ring.records[(ring.head+i)%len(ring.records)].Seq] = true
		}
	}
	for s, l := range queuedLevels {
		if stillQueued[s] {
			continue
		}
		delete(queuedLevels, s)
		for o, m := range queuedLevels {
			if stillQueued[o] && m < l && fits && s != newest {
				t.Fatalf("record %d of level %d was dropped while record %d of level %d stayed queued", s, l, o, m)
			}
		}
	}
}

// Guards against a queue full of rejected requests that drops the first of them instead of the newest, or that does not
// report which were dropped.
func TestQueueFullOfRejected(t *testing.T) {
	queue := NewQueue(100, 1<<20)
	policy, err := NewPolicy(Rules{Reads: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r := NewRecorder(policy, queue, time.Now)
	for range 1000 {
		r.Record(newAnswer(Rejected, true))
	}
	if r.ReportDropped(); r.LastNumber() != 1000 {
		t.Fatal("the dropped records were reported while the queue was full, want that only once it is half empty")
	}
	if got := queue.Take(nil, 90); len(got) != 90 || got[0].Seq != 1 || got[89].Seq != 90 {
		t.Fatalf("%d records were taken, want 90 with the numbers 1 to 90", len(got))
	}
	r.ReportDropped()
	got := queue.Take(nil, 99)
	d, ok := got[len(got)-1].Event.(Dropped)
	want := Dropped{Count: 900, First: 101, Last: 1000, ByLevel: [levelCount]uint64{LevelUnserved: 900}}
	if !ok || d != want || got[len(got)-1].Seq != 1001 {
		t.Fatalf("the last record is %+v, want number 1001 with 900 dropped records, 101 to 1000", got[len(got)-1])
	}
	// Served reads are dropped to make room for failed requests, never the reverse. Nothing is recorded after the end.
	for range 100 {
		r.Record(newAnswer(Served, false))
	}
	for range 100 {
		r.Record(newAnswer(Failed, true))
	}
	r.Record(newAnswer(Served, false))
	r.End(End{})
	r.Record(newAnswer(Failed, true))
	r.End(End{})
	left := queue.Take(nil, 1000)
	for i, rec := range left[:len(left)-2] {
		if a, ok := rec.Event.(*Answer); !ok || a.Outcome != Failed {
			t.Fatalf("record %d is %+v, want a failed request", i, rec.Event)
		}
	}
	if _, ok := left[len(left)-1].Event.(End); !ok || r.LastNumber() != left[len(left)-1].Seq {
		t.Fatalf("the last record is %+v, want the end with the last number", left[len(left)-1])
	}
}

// Guards against a policy that selects events outside its rules, samples anything but served reads, or samples
// differently for the same key, and against invalid rules whose error does not start with the field's name.
func TestPolicy(t *testing.T) {
	key := Secret{1}
	policy, err := NewPolicy(Rules{Outcomes: []string{"served", "Refused"}, Kinds: []string{"answer"}, Reads: 0.25}, &key)
	if err != nil {
		t.Fatal(err)
	}
	samePolicy, _ := NewPolicy(Rules{Reads: 0.25}, &key)
	sampledReads := 0
	for i := range 10_000 {
		a := newAnswer(Served, false)
		a.Request = fmt.Sprint("r", i)
		if policy.Selects(a) {
			sampledReads++
		}
		if policy.Selects(a) != samePolicy.Selects(a) {
			t.Fatal("two policies with the same key decide differently about a read, want the same decision")
		}
		if a.Writes = true; !policy.Selects(a) {
			t.Fatal("a served write was not selected, want every write")
		}
		if a.Outcome, a.Writes = Rejected, false; !policy.Selects(a) {
			t.Fatal("a rejected read was not selected, want every read that was not served")
		}
	}
	if sampledReads < 2300 || sampledReads > 2700 {
		t.Fatalf("%d of 10000 served reads were selected, want 2300 to 2700", sampledReads)
	}
	for _, event := range []Event{newAnswer(Failed, true), newAnswer(Disconnected, true), EndpointStateChange{}, Note{}} {
		if policy.Selects(event) {
			t.Errorf("%T %+v was selected, want it excluded by the rules", event, event)
		}
	}
	for _, event := range []Event{Start{}, End{}, Dropped{}} {
		if !policy.Selects(event) {
			t.Errorf("%T was not selected, want it regardless of the rules", event)
		}
	}
	if policy, _ := NewPolicy(Rules{}, nil); policy.Selects(newAnswer(Served, false)) ||
		!policy.Selects(newAnswer(Served, true)) {
		t.Error("with a share of 0, a served read was selected or a served write was not")
	}
	for field, r := range map[string]Rules{
		"kinds:":    {Kinds: []string{"x"}},
		"outcomes:": {Outcomes: []string{"x"}},
		"reads:":    {Reads: 2},
		"reads: a":  {Reads: 0.5},
	} {
		if _, err := NewPolicy(r, nil); err == nil || err.Error()[:len(field)] != field {
			t.Errorf("the error is %[2]v, want one that starts with %[1]q", field, err)
		}
	}
}

// Guards against an invalid key file that is accepted, or whose error shows the content of the file.
func TestKeys(t *testing.T) {
	secret := fmt.Sprintf("%064x", 0xabc)
	keys, err := ParseKeys([]byte("current = \"b\"\n[keys]\na = \"" + secret + "\"\nb = \"" + secret + "\""))
	if err != nil || len(keys) != 2 || keys[0].Name != "b" || keys[1].Name != "a" || keys[0].Secret[31] != 0xbc {
		t.Fatalf("the keys are %v with error %v, want b and a", keys, err)
	}
	for _, bad := range []string{
		"", "current",
		"current = \"c\"\n[keys]\na = \"" + secret + "\"",
		"current = \"a\"\n[keys]\na = \"" + secret[1:] + "\"",
		"current = \"a\"\n[keys]\na = \"g" + secret[1:] + "\"",
		"current = \"a b\"\n[keys]\n\"a b\" = \"" + secret + "\"",
		"current = \"a\"\nx = 1\n[keys]\na = \"" + secret + "\"",
		"current = \"\"\n[keys]\n\"\" = \"" + secret + "\"",
	} {
		if _, err := ParseKeys([]byte(bad)); err == nil || len(err.Error()) > 200 {
			t.Errorf("%q: the error is %v, want one of at most 200 bytes", bad, err)
		}
	}
}
