package fsm

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func small() Limits {
	return Limits{Key: 8, Value: 16, Ops: 3, Records: 4, Bytes: 60, History: 3, IDs: 4, Events: 5}
}

func at(n uint64) *uint64 { return &n }

// A change holds whole or not at all, and only where nothing has changed meanwhile.
func TestCompareAndSet(t *testing.T) {
	s := New(Usual())
	if r := s.Apply(Change{Ops: []Op{{Key: "a", Value: []byte("1"), If: at(0)}, {Key: "b", Value: []byte("2")}}}); r.Revision != 1 || r.Err() != nil {
		t.Fatalf("%+v", r)
	}
	if r := s.Apply(Change{Ops: []Op{{Key: "b", Value: []byte("3")}, {Key: "a", Value: []byte("3"), If: at(0)}}}); r.Fault != Conflict || r.Key != "a" || r.Have != 1 || r.Err() == nil {
		t.Fatalf("%+v", r)
	}
	if b, _ := s.Get("b"); string(b.Value) != "2" || s.Revision() != 1 {
		t.Fatalf("half of a change was carried out: %+v", b)
	}
	if r := s.Apply(Change{Ops: []Op{{Key: "a", Delete: true, If: at(1)}, {Key: "c", Delete: true}}}); r.Revision != 2 || s.Len() != 1 {
		t.Fatalf("%+v", r)
	}
	if events, err := s.Since(1); err != nil || !slices.Equal(events, []Event{{2, "a", true}}) {
		t.Fatalf("%+v %v", events, err)
	}
	if l := s.List("b"); len(l) != 1 || l[0].Created != 1 {
		t.Fatalf("%+v", l)
	}
}

// A change whose answer was lost and that is proposed again is carried out once.
func TestOnce(t *testing.T) {
	s := New(small())
	c := Change{ID: "x", Ops: []Op{{Key: "a", Value: []byte("1")}}}
	first := s.Apply(c)
	s.Apply(Change{Ops: []Op{{Key: "a", Value: []byte("2")}}})
	again := s.Apply(c)
	if !again.Again || again.Revision != first.Revision || s.Revision() != 2 {
		t.Fatalf("%+v, then %+v", first, again)
	}
	if a, _ := s.Get("a"); string(a.Value) != "2" {
		t.Fatalf("%+v", a)
	}
	for i := range 4 {
		s.Apply(Change{ID: fmt.Sprint(i), Ops: []Op{{Key: "a"}}})
	}
	if len(s.byID) != 4 || s.Apply(c).Again {
		t.Error("ids are kept without end")
	}
}

// Beyond a limit nothing is taken, but what makes room is.
func TestLimits(t *testing.T) {
	s := New(small())
	for name, c := range map[string]Change{
		"nothing": {}, "no key": {Ops: []Op{{}}}, "twice": {Ops: []Op{{Key: "a"}, {Key: "a"}}}, "deleted with a value": {Ops: []Op{{Key: "a", Delete: true, Value: []byte("x")}}},
		"long key": {Ops: []Op{{Key: strings.Repeat("k", 9)}}}, "long value": {Ops: []Op{{Key: "a", Value: make([]byte, 17)}}}, "many": {Ops: []Op{{Key: "a"}, {Key: "b"}, {Key: "c"}, {Key: "d"}}},
		"long id": {ID: strings.Repeat("i", 9), Ops: []Op{{Key: "a"}}},
	} {
		if r := s.Apply(c); r.Fault != Bad && r.Fault != TooMuch || s.Len() != 0 {
			t.Errorf("%s: %+v", name, r)
		}
	}
	for i := range 3 {
		if r := s.Apply(Change{Ops: []Op{{Key: fmt.Sprint(i), Value: make([]byte, 16)}}}); r.Fault != "" {
			t.Fatalf("%+v", r)
		}
	}
	if r := s.Apply(Change{Ops: []Op{{Key: "3", Value: make([]byte, 16)}}}); r.Fault != TooMuch || s.Bytes() != 51 {
		t.Errorf("%+v, %d bytes", r, s.Bytes())
	}
	s.lim.Records, s.lim.Bytes = 1, 10 // a member that was given less than is there
	if r := s.Apply(Change{Ops: []Op{{Key: "0", Delete: true}}}); r.Fault != "" || s.Len() != 2 {
		t.Errorf("%+v", r)
	}
}

// The last configurations are kept with who set them and when, and can be brought back unless somebody was faster.
func TestHistory(t *testing.T) {
	s := New(small())
	for i := range 5 {
		s.Apply(Change{Author: fmt.Sprint("op", i), At: time.Duration(i), Ops: []Op{{Key: "c", Kind: Config, Schema: i, Value: []byte{byte(i)}}, {Key: "s", Value: []byte{byte(i)}}}})
	}
	h := s.History("c")
	if len(h) != 3 || h[0].Author != "op2" || h[2].At != 4 || h[2].Schema != 4 || len(s.History("s")) != 0 {
		t.Fatalf("%+v", h)
	}
	back, err := s.Rollback("c", h[0].Revision)
	if err != nil {
		t.Fatal(err)
	}
	late, _ := s.Rollback("c", h[1].Revision)
	if r := s.Apply(back); r.Fault != "" {
		t.Fatalf("%+v", r)
	}
	if c, _ := s.Get("c"); c.Value[0] != 2 || c.Schema != 2 || c.Kind != Config {
		t.Fatalf("%+v", c)
	}
	if r := s.Apply(late); r.Fault != Conflict {
		t.Fatalf("%+v", r)
	}
	s.Apply(Change{Ops: []Op{{Key: "c", Delete: true}}})
	if h := s.History("c"); !h[len(h)-1].Deleted {
		t.Fatalf("%+v", h)
	}
	if _, err := s.Rollback("c", 1); !errors.Is(err, ErrPast) {
		t.Fatal(err)
	}
}

// A watch that is too far behind is told so.
func TestSince(t *testing.T) {
	s := New(small())
	for i := range 8 {
		s.Apply(Change{Ops: []Op{{Key: "a", Value: []byte{byte(i)}}}})
	}
	if _, err := s.Since(2); !errors.Is(err, ErrCut) {
		t.Error(err)
	}
	if e, err := s.Since(3); err != nil || len(e) != 5 || e[0].Revision != 4 {
		t.Error(e, err)
	}
	if e, err := s.Since(8); err != nil || len(e) != 0 {
		t.Error(e, err)
	}
}

// Whatever comes in whatever order: a member that restarts from a snapshot anywhere on the way ends in the same bytes as one that
// has seen all, counts are right, and revisions only grow.
func TestMembersEndTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(small()), New(small())
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			var c Change
			c.ID = rapid.SampledFrom([]string{"", "", "i", "j", "k", "l", "m"}).Draw(t, "id")
			for range rapid.IntRange(0, 4).Draw(t, "ops") {
				op := Op{Key: rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e"}).Draw(t, "key"), Kind: rapid.SampledFrom([]string{"", Config}).Draw(t, "kind"),
					Value: rapid.SliceOfN(rapid.Byte(), 0, 18).Draw(t, "value"), Delete: rapid.Bool().Draw(t, "delete")}
				if op.Delete {
					op.Value = nil
				}
				if rapid.Bool().Draw(t, "conditional") {
					op.If = at(rapid.Uint64Range(0, a.Revision()).Draw(t, "if"))
				}
				c.Ops = append(c.Ops, op)
			}
			p, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			d, err := Decode(p)
			if err != nil {
				t.Fatal(err)
			}
			before := a.Revision()
			x, y := a.Apply(c), b.Apply(d)
			if x != y {
				t.Fatalf("%+v and %+v", x, y)
			}
			if grown := a.Revision() - before; grown != 0 && (x.Fault != "" || x.Again) || grown == 0 && x.Fault == "" && !x.Again || grown > 1 {
				t.Fatalf("%+v from %d to %d", x, before, a.Revision())
			}
			n := 0
			for _, r := range a.List("") {
				n += size(r.Key, r.Value)
			}
			if n != a.Bytes() || a.Len() > 4 || n > 60 {
				t.Fatalf("%d records, %d bytes, counted %d", a.Len(), n, a.Bytes())
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				p, err := b.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if b, err = Restore(p, small()); err != nil {
					t.Fatal(err)
				}
			}
		}
		p, _ := a.Snapshot()
		q, _ := b.Snapshot()
		if !bytes.Equal(p, q) {
			t.Fatalf("%s\n%s", p[head:], q[head:])
		}
	})
}

// Of a damaged snapshot nothing is taken, whichever bit is wrong and wherever it ends; one of the first form is read.
func TestSnapshotDamaged(t *testing.T) {
	s := New(Usual())
	s.Apply(Change{ID: "i", Ops: []Op{{Key: "a", Kind: Config, Value: []byte("1")}}})
	p, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for i := range p {
		q := slices.Clone(p)
		q[i] ^= 1 << (i % 8)
		if _, err := Restore(q, Usual()); !errors.Is(err, ErrSnapshot) {
			t.Fatalf("byte %d: %v", i, err)
		}
		if _, err := Restore(p[:i], Usual()); !errors.Is(err, ErrSnapshot) {
			t.Fatalf("%d bytes: %v", i, err)
		}
	}
	old, _ := json.Marshal(map[string][]byte{"list": []byte("x"), "primary/1": []byte("y")})
	r, err := Restore(old, Usual())
	if err != nil || r.Len() != 2 || r.Revision() != 1 || r.Bytes() != 15 {
		t.Fatalf("%v %+v", err, r)
	}
	if c, err := Decode([]byte(`{"Key":"k","Value":"eA=="}`)); err != nil || len(c.Ops) != 1 || c.Ops[0].Key != "k" || string(c.Ops[0].Value) != "x" {
		t.Fatalf("%v %+v", err, c)
	}
	if _, err := Decode([]byte("{")); err == nil {
		t.Error("half an entry is read")
	}
}

func FuzzRestore(f *testing.F) {
	s := New(Usual())
	s.Apply(Change{Ops: []Op{{Key: "a", Value: []byte("1")}}})
	p, _ := s.Snapshot()
	f.Add(p)
	f.Add([]byte(`{"a":"eA=="}`))
	f.Fuzz(func(t *testing.T, p []byte) {
		if s, err := Restore(p, small()); err == nil {
			if _, err := s.Snapshot(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func BenchmarkApply(b *testing.B) {
	s := New(Usual())
	value := make([]byte, 200)
	for i := 0; b.Loop(); i++ {
		key := fmt.Sprint("key/", i%10_000)
		r, _ := s.Get(key)
		if x := s.Apply(Change{ID: fmt.Sprint(i), Ops: []Op{{Key: key, Value: value, If: &r.Revision}}}); x.Fault != "" {
			b.Fatal(x)
		}
	}
}
