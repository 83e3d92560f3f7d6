package audit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func answer(o Outcome, writes bool) *Answer {
	return &Answer{Request: "r", Class: "c", Outcome: o, Writes: writes}
}

// Whatever is pushed and taken in whatever order: the bounds hold, numbers come out rising, each number comes out or is
// told as lost, and nothing goes while something less important stays.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, bytes := rapid.IntRange(1, 40).Draw(t, "records"), rapid.IntRange(400, 20_000).Draw(t, "bytes")
		queue := NewQueue(records, bytes)
		var seq, last, out uint64
		var lost Dropped
		held := map[uint64]Level{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "op") == 0 {
				taken := queue.Take(nil, rapid.IntRange(1, 10).Draw(t, "most"))
				last = checkTaken(t, taken, held, last)
				out += uint64(len(taken))
				continue
			}
			seq++
			events := []Event{
				answer(Served, false), answer(Served, true), answer(Refused, true), Router{State: "drained"},
			}
			event := events[rapid.IntRange(0, 3).Draw(t, "event")]
			if a, ok := event.(*Answer); ok {
				a.Request = string(make([]byte, rapid.IntRange(0, 500).Draw(t, "size")))
			}
			before := queue.dropped.Count
			queue.Push(Record{Seq: seq, Event: event})
			held[seq] = event.level()
			if n, b := queue.Len(); n > records || b > bytes {
				t.Fatalf("%d records, %d bytes", n, b)
			}
			if queue.dropped.Count > before {
				checkDropped(t, queue, held, seq, event.size() < bytes)
			}
		}
		for {
			recs := queue.Take(nil, 7)
			if len(recs) == 0 {
				break
			}
			out += uint64(len(recs))
		}
		lost, _ = queue.Lost(true)
		if out+lost.Count != seq {
			t.Fatalf("%d out, %d lost, %d in", out, lost.Count, seq)
		}
		if n, b := queue.Len(); n != 0 || b != 0 {
			t.Fatalf("%d records and %d bytes are left", n, b)
		}
	})
}

// checkTaken forgets what was taken, checks that the numbers rise, and returns the last one.
func checkTaken(t *rapid.T, taken []Record, held map[uint64]Level, last uint64) uint64 {
	for _, r := range taken {
		if r.Seq <= last {
			t.Fatalf("%d behind %d", r.Seq, last)
		}
		last = r.Seq
		delete(held, r.Seq)
	}
	return last
}

// checkDropped forgets what was dropped, and checks that it was of the lowest level that was queued. The newest record
// itself may go at any level where it is larger than the queue.
func checkDropped(t *rapid.T, queue *Queue, held map[uint64]Level, newest uint64, fits bool) {
	still := map[uint64]bool{}
	for l := range queue.byLevel {
		lane := &queue.byLevel[l]
		for i := range lane.count {
			still[lane.records[(lane.head+i)%len(lane.records)].Seq] = true
		}
	}
	for s, l := range held {
		if still[s] {
			continue
		}
		delete(held, s)
		for o, m := range held {
			if still[o] && m < l && fits && s != newest {
				t.Fatalf("%d of level %d went, %d of level %d stayed", s, l, o, m)
			}
		}
	}
}

// A queue full of refused ones alone keeps the first of them, and says which are lost.
func TestQueueFullOfRefused(t *testing.T) {
	queue := NewQueue(100, 1<<20)
	policy, err := NewPolicy(Rules{Reads: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r := NewRecorder(policy, queue, time.Now)
	for range 1000 {
		r.Record(answer(Refused, true))
	}
	if r.Tick(); r.Numbers() != 1000 {
		t.Fatal("losses were told without room")
	}
	if got := queue.Take(nil, 90); len(got) != 90 || got[0].Seq != 1 || got[89].Seq != 90 {
		t.Fatalf("%d taken", len(got))
	}
	r.Tick()
	got := queue.Take(nil, 99)
	d, ok := got[len(got)-1].Event.(Dropped)
	want := Dropped{Count: 900, First: 101, Last: 1000, ByLevel: [levelCount]uint64{LevelRefused: 900}}
	if !ok || d != want || got[len(got)-1].Seq != 1001 {
		t.Fatalf("%+v", got[len(got)-1])
	}
	// Reads make room for them, never the other way round; nothing is recorded behind the end.
	for range 100 {
		r.Record(answer(Served, false))
	}
	for range 100 {
		r.Record(answer(Failed, true))
	}
	r.Record(answer(Served, false))
	r.End(End{})
	r.Record(answer(Failed, true))
	r.End(End{})
	left := queue.Take(nil, 1000)
	for i, rec := range left[:len(left)-2] {
		if a, ok := rec.Event.(*Answer); !ok || a.Outcome != Failed {
			t.Fatalf("%d: %+v", i, rec.Event)
		}
	}
	if _, ok := left[len(left)-1].Event.(End); !ok || r.Numbers() != left[len(left)-1].Seq {
		t.Fatalf("%+v", left[len(left)-1])
	}
}

// The rules take what they say, sample served reads alone and alike for one key, and are refused by the field's name.
func TestPolicy(t *testing.T) {
	key := Secret{1}
	policy, err := NewPolicy(Rules{Outcomes: []string{"served", "Refused"}, Kinds: []string{"answer"}, Reads: 0.25}, &key)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := NewPolicy(Rules{Reads: 0.25}, &key)
	picked := 0
	for i := range 10_000 {
		a := answer(Served, false)
		a.Request = fmt.Sprint("r", i)
		if policy.Takes(a) {
			picked++
		}
		if policy.Takes(a) != again.Takes(a) {
			t.Fatal("two decide differently")
		}
		if a.Writes = true; !policy.Takes(a) {
			t.Fatal("a write was sampled")
		}
		if a.Outcome, a.Writes = Refused, false; !policy.Takes(a) {
			t.Fatal("a refusal was sampled")
		}
	}
	if picked < 2300 || picked > 2700 {
		t.Fatalf("%d of 10000 picked", picked)
	}
	for _, event := range []Event{answer(Failed, true), answer(Left, true), Drain{}, Note{}} {
		if policy.Takes(event) {
			t.Errorf("%T %+v", event, event)
		}
	}
	for _, event := range []Event{Start{}, End{}, Dropped{}} {
		if !policy.Takes(event) {
			t.Errorf("%T", event)
		}
	}
	if policy, _ := NewPolicy(Rules{}, nil); policy.Takes(answer(Served, false)) || !policy.Takes(answer(Served, true)) {
		t.Error("a share of 0")
	}
	for field, r := range map[string]Rules{
		"kinds:":    {Kinds: []string{"x"}},
		"outcomes:": {Outcomes: []string{"x"}},
		"reads:":    {Reads: 2},
		"reads: a":  {Reads: 0.5},
	} {
		if _, err := NewPolicy(r, nil); err == nil || err.Error()[:len(field)] != field {
			t.Errorf("%s %v", field, err)
		}
	}
}

// A key file that can't be used says why, and shows no secret.
func TestKeys(t *testing.T) {
	secret := fmt.Sprintf("%064x", 0xabc)
	keys, err := ParseKeys([]byte("current = \"b\"\n[keys]\na = \"" + secret + "\"\nb = \"" + secret + "\""))
	if err != nil || len(keys) != 2 || keys[0].Name != "b" || keys[1].Name != "a" || keys[0].Secret[31] != 0xbc {
		t.Fatalf("%v %v", keys, err)
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
			t.Errorf("%q: %v", bad, err)
		}
	}
}
