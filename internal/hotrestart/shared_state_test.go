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

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

const testAddress = "127.0.0.1:1"

// recorder keeps what a listener was notified of last.
type recorder struct {
	suspended map[string]bool
	drained   bool
	known     []string
	list      string
	alone     bool
	last      string
	posted    chan func()
}

func (r *recorder) Suspended(id string, suspended bool) {
	r.suspended[id] = suspended
	r.last = id
}

func (r *recorder) Drained(drained bool) {
	r.drained = drained
	r.last = "drained"
}

func (r *recorder) KnownEndpointsAdded(ids []string) {
	r.known = ids
	r.last = "known endpoints"
}

func (r *recorder) EndpointListShared(list []byte) {
	r.list = string(list)
	r.last = "endpoint list"
}

func (r *recorder) AloneChanged(alone bool) {
	r.alone = alone
	r.last = "alone"
}

// wait waits for the next notification and checks what it is of.
func (r *recorder) wait(t *testing.T, want string) {
	t.Helper()
	select {
	case notify := <-r.posted:
		notify()
		if r.last != want {
			t.Fatalf("notified of %s, not of %s", r.last, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("not notified of %s", want)
	}
}

// open starts a process of the router.
func open(t *testing.T, root string) (*SharedState, State, *recorder) {
	t.Helper()
	s, state := Open(root, testAddress, 3, discardLog)
	r := &recorder{suspended: map[string]bool{}, posted: make(chan func(), 99)}
	s.Watch(time.Millisecond, func(notify func()) { r.posted <- notify }, r)
	return s, state, r
}

// suspendAndWait suspends an endpoint and waits until that is done.
func suspendAndWait(s *SharedState, id string) {
	done := make(chan struct{})
	s.SetSuspended(id, true, func() { close(done) })
	<-done
}

// What one process is asked holds in the other, whichever it is, a third one finds all of it, and the one that is left
// serves alone.
func TestTwoProcesses(t *testing.T) {
	root := t.TempDir()
	a, _, notifiedA := open(t, root)
	if !a.StartedAlone() {
		t.Fatal("not alone")
	}
	b, _, notifiedB := open(t, root)
	if b.StartedAlone() {
		t.Fatal("alone beside another")
	}
	notifiedA.wait(t, "alone")
	calls := make(chan bool, 9)
	done := func() { calls <- true }
	a.SetSuspended("s/1", true, done)
	notifiedB.wait(t, "s/1")
	b.SetSuspended("s-2", true, done)
	notifiedA.wait(t, "s-2")
	b.SetSuspended("s/1", false, done)
	notifiedA.wait(t, "s/1")
	a.SetDrained(true, done)
	notifiedB.wait(t, "drained")
	for range 4 {
		<-calls
	}
	if notifiedA.alone || notifiedA.suspended["s/1"] || !notifiedA.suspended["s-2"] || !notifiedB.drained {
		t.Fatalf("%+v %+v", notifiedA, notifiedB)
	}
	a.AddKnownEndpoints([]string{"x", "y"})
	notifiedB.wait(t, "known endpoints")
	b.AddKnownEndpoints([]string{"y", "z"})
	notifiedA.wait(t, "known endpoints")
	a.AddKnownEndpoints([]string{"u"}) // the oldest is dropped beyond three
	notifiedB.wait(t, "known endpoints")
	a.Close()
	notifiedB.wait(t, "alone")
	b.Close()
	if !notifiedB.alone {
		t.Fatalf("the process that is left is not alone: %+v", notifiedB)
	}
	checkThirdProcess(t, root, notifiedB.known)
}

// checkThirdProcess checks that a process finds what two others have left.
func checkThirdProcess(t *testing.T, root string, known []string) {
	t.Helper()
	s, state, _ := open(t, root)
	defer s.Close()
	if !s.StartedAlone() || !state.Drained || !state.Suspended["s-2"] || state.Suspended["s/1"] {
		t.Fatalf("%+v", state)
	}
	want := []string{"y", "z", "u"}
	if !slices.Equal(state.KnownEndpoints, known) || !slices.Equal(state.KnownEndpoints, want) {
		t.Fatalf("%q, notified of %q, want %q", state.KnownEndpoints, known, want)
	}
}

// Garbage in any file, and files of no use, are passed over.
func TestBrokenFiles(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 9))
	root := t.TempDir()
	s, _, _ := open(t, root)
	suspendAndWait(s, "s-1")
	path := s.folder.path
	s.Close()
	for round := range 50 {
		garbage := make([]byte, rng.IntN(99))
		for i := range garbage {
			garbage[i] = byte(rng.Uint32())
		}
		for _, file := range []string{
			knownEndpointsFile, "suspended/junk", "suspended/" + suspendedFileName("s-9"), "part.listed.1",
		} {
			content := garbage[:rng.IntN(len(garbage)+1)]
			if err := os.WriteFile(filepath.Join(path, file), content, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		s, state, _ := open(t, root)
		if !state.Suspended["s-1"] || len(state.Suspended) != 1 || len(state.KnownEndpoints) > 0 {
			t.Fatalf("round %d: %+v", round, state)
		}
		s.Close()
	}
}

// Where nothing can be written, all stays in the process, and callers are still called back.
func TestFolderUnavailable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ name, root string }{
		{"no root", ""},
		{"the root is a file", file},
		{"the root is a device", "/dev/null"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, state := Open(test.root, testAddress, 3, discardLog)
			s.Watch(time.Millisecond, func(notify func()) { notify() }, &recorder{})
			suspendAndWait(s, "s-1")
			if !s.StartedAlone() || len(state.Suspended) > 0 {
				t.Fatalf("%+v", state)
			}
			s.Close()
		})
	}
}

// A process that serves alone does not read the folder at each interval, and still hears of a new process at once.
func TestAloneReadsNothing(t *testing.T) {
	root := t.TempDir()
	a, _, notified := open(t, root)
	defer a.Close()
	reads := func() int {
		count := make(chan int)
		a.jobs <- func() { count <- a.reads }
		return <-count
	}
	before := reads()
	time.Sleep(100 * time.Millisecond) // a hundred intervals
	if n := reads() - before; n > 0 {
		t.Fatalf("read the folder %d times alone", n)
	}
	b, _, _ := open(t, root)
	defer b.Close()
	notified.wait(t, "alone")
	if notified.alone || reads() == before {
		t.Fatalf("the new process is not seen: alone %v", notified.alone)
	}
}

// The endpoint list that one process shares reaches the other one and does not come back; one left from before is no
// change.
func TestEndpointListIsShared(t *testing.T) {
	root := t.TempDir()
	before, _, _ := open(t, root)
	before.ShareEndpointList([]byte("left over"))
	before.Close()
	a, state, notifiedA := open(t, root)
	if string(state.EndpointList) != "left over" {
		t.Fatalf("%q", state.EndpointList)
	}
	b, _, notifiedB := open(t, root)
	notifiedA.wait(t, "alone")
	for _, list := range []string{"one", "two"} {
		a.ShareEndpointList([]byte(list))
		notifiedB.wait(t, "endpoint list")
		if notifiedB.list != list {
			t.Fatalf("%q", notifiedB.list)
		}
	}
	b.ShareEndpointList([]byte("three"))
	notifiedA.wait(t, "endpoint list")
	if notifiedA.list != "three" {
		t.Fatalf("%q", notifiedA.list)
	}
	a.Close()
	notifiedB.wait(t, "alone")
	if len(notifiedA.posted)+len(notifiedB.posted) > 0 {
		t.Fatal("something is notified twice")
	}
	b.Close()
}
