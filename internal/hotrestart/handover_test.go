package hotrestart

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// sink notes what it is told, in the order it is.
type sink struct {
	out   map[string]bool
	drain bool
	ids   []string
	list  string
	alone bool
	last  string
	told  chan func()
}

func (s *sink) Suspended(id string, out bool)    { s.out[id] = out; s.last = id }
func (s *sink) Drained(on bool)                  { s.drain = on; s.last = "drain" }
func (s *sink) KnownEndpointsAdded(ids []string) { s.ids = ids; s.last = "ids" }
func (s *sink) EndpointListShared(list []byte)   { s.list = string(list); s.last = "list" }
func (s *sink) AloneChanged(alone bool)          { s.alone = alone; s.last = "alone" }

func (s *sink) wait(t *testing.T, want string) {
	t.Helper()
	select {
	case f := <-s.told:
		if f(); s.last != want {
			t.Fatalf("told %s, not %s", s.last, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("not told %s", want)
	}
}

func open(t *testing.T, root string) (*SharedState, State, *sink) {
	s, left := Open(root, "127.0.0.1:1", 3, quiet)
	k := &sink{out: map[string]bool{}, told: make(chan func(), 99)}
	s.Watch(time.Millisecond, func(f func()) { k.told <- f }, k)
	return s, left, k
}

// What one process is asked binds in the other, whichever it is; a third finds all of it; who is left serves alone.
func TestTwoProcesses(t *testing.T) {
	root := t.TempDir()
	a, _, ka := open(t, root)
	if !a.StartedAlone() {
		t.Fatal("not alone")
	}
	b, _, kb := open(t, root)
	if b.StartedAlone() {
		t.Fatal("alone beside another")
	}
	ka.wait(t, "alone")
	wait := make(chan bool, 9)
	done := func() { wait <- true }
	a.SetSuspended("s/1", true, done)
	kb.wait(t, "s/1")
	b.SetSuspended("s-2", true, done)
	ka.wait(t, "s-2")
	b.SetSuspended("s/1", false, done)
	ka.wait(t, "s/1")
	a.SetDrained(true, done)
	kb.wait(t, "drain")
	for range 4 {
		<-wait
	}
	if ka.alone || ka.out["s/1"] || !ka.out["s-2"] || !kb.drain {
		t.Fatalf("%+v %+v", ka, kb)
	}
	a.AddKnownEndpoints([]string{"x", "y"})
	kb.wait(t, "ids")
	b.AddKnownEndpoints([]string{"y", "z"})
	ka.wait(t, "ids")
	a.AddKnownEndpoints([]string{"u"}) // the oldest is dropped beyond three
	kb.wait(t, "ids")
	a.Close()
	kb.wait(t, "alone")
	b.Close()
	c, left, _ := open(t, root)
	defer c.Close()
	if !kb.alone || !c.StartedAlone() || !left.Drained || !left.Suspended["s-2"] || left.Suspended["s/1"] || !slices.Equal(left.KnownEndpoints, kb.ids) ||
		!slices.Equal(left.KnownEndpoints, []string{"y", "z", "u"}) {
		t.Fatalf("%+v", left)
	}
}

// Garbage in any file, and files of no use, are passed over; where nothing can be written, all stays in the process.
func TestBrokenFiles(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 9))
	root := t.TempDir()
	s, _, _ := open(t, root)
	done := make(chan bool)
	s.SetSuspended("s-1", true, func() { close(done) })
	<-done
	dir := s.dir
	s.Close()
	for i := range 50 {
		p := make([]byte, rng.IntN(99))
		for i := range p {
			p[i] = byte(rng.Uint32())
		}
		for _, f := range []string{"listed", "suspended/junk", "suspended/" + name("s-9"), "part.listed.1"} {
			os.WriteFile(filepath.Join(dir, f), p[:rng.IntN(len(p)+1)], 0o600)
		}
		s, left, _ := open(t, root)
		if !left.Suspended["s-1"] || len(left.Suspended) != 1 || len(left.KnownEndpoints) > 0 {
			t.Fatalf("round %d: %+v", i, left)
		}
		s.Close()
	}
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	for _, root := range []string{"", file, "/dev/null"} {
		s, left := Open(root, "127.0.0.1:1", 3, quiet)
		s.Watch(time.Millisecond, func(f func()) { f() }, &sink{})
		done := make(chan bool)
		s.SetSuspended("s-1", true, func() { close(done) })
		<-done
		if !s.StartedAlone() || len(left.Suspended) > 0 {
			t.Fatal(root)
		}
		s.Close()
	}
}

// A process that serves alone does not read the folder at each look, and still hears of a newcomer at once.
func TestAloneReadsNothing(t *testing.T) {
	root := t.TempDir()
	a, _, ka := open(t, root)
	defer a.Close()
	reads := func() int {
		got := make(chan int)
		a.jobs <- func() { got <- a.reads }
		return <-got
	}
	from := reads()
	time.Sleep(100 * time.Millisecond) // a hundred looks
	if n := reads() - from; n > 0 {
		t.Fatalf("read the folder %d times alone", n)
	}
	b, _, _ := open(t, root)
	defer b.Close()
	ka.wait(t, "alone")
	if ka.alone || reads() == from {
		t.Fatalf("a newcomer is not seen: alone %v", ka.alone)
	}
}

// The list that one process has heard reaches the other one, and comes back to nobody; one left from before is no news.
func TestListPassesOn(t *testing.T) {
	root := t.TempDir()
	before, _, _ := open(t, root)
	before.ShareEndpointList([]byte("left over"))
	before.Close()
	a, left, ka := open(t, root)
	if string(left.EndpointList) != "left over" {
		t.Fatalf("%q", left.EndpointList)
	}
	b, _, kb := open(t, root)
	ka.wait(t, "alone")
	for _, list := range []string{"one", "two"} {
		a.ShareEndpointList([]byte(list))
		if kb.wait(t, "list"); kb.list != list {
			t.Fatalf("%q", kb.list)
		}
	}
	b.ShareEndpointList([]byte("three"))
	if ka.wait(t, "list"); ka.list != "three" {
		t.Fatalf("%q", ka.list)
	}
	a.Close()
	if kb.wait(t, "alone"); len(ka.told)+len(kb.told) > 0 {
		t.Fatal("something is told twice")
	}
	b.Close()
}
