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

// recorder is a Listener that records its notifications. Each waits in posted until wait runs it.
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

// wait waits for the next notification, runs it, and checks its subject.
func (r *recorder) wait(t *testing.T, want string) {
	t.Helper()
	select {
	case notify := <-r.posted:
		notify()
		if r.last != want {
			t.Fatalf("notified of %s, want %s", r.last, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("not notified of %s within 20 seconds", want)
	}
}

// openProcess starts a process of the router.
func openProcess(t *testing.T, root string) (*SharedState, State, *recorder) {
	t.Helper()
	s, state := Open(root, testAddress, 3, discardLog)
	r := &recorder{suspended: map[string]bool{}, posted: make(chan func(), 99)}
	s.Watch(time.Millisecond, func(notify func()) { r.posted <- notify }, r)
	return s, state, r
}

// suspendAndWait suspends an endpoint and waits until done is called.
func suspendAndWait(s *SharedState, id string) {
	done := make(chan struct{})
	s.SetSuspended(id, true, func() { close(done) })
	<-done
}

// Each of two processes is notified of the changes of the other, a process that starts later finds all of them, and the
// process that remains is notified that it is alone.
func TestTwoProcesses(t *testing.T) {
	root := t.TempDir()
	a, _, notifiedA := openProcess(t, root)
	if !a.StartedAlone() {
		t.Fatal("the first process did not start alone")
	}
	b, _, notifiedB := openProcess(t, root)
	if b.StartedAlone() {
		t.Fatal("the second process started alone, want it to find the first")
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
		t.Fatalf("got %+v and %+v, want the first not alone with only s-2 suspended, and the second drained",
			notifiedA, notifiedB)
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
		t.Fatalf("the remaining process is not alone: %+v", notifiedB)
	}
	checkThirdProcess(t, root, notifiedB.known)
}

// checkThirdProcess checks that a process finds the state that two earlier processes have left.
func checkThirdProcess(t *testing.T, root string, known []string) {
	t.Helper()
	s, state, _ := openProcess(t, root)
	defer s.Close()
	if !s.StartedAlone() || !state.Drained || !state.Suspended["s-2"] || state.Suspended["s/1"] {
		t.Fatalf("got %+v, want to start alone with a drained router and only s-2 suspended", state)
	}
	want := []string{"y", "z", "u"}
	if !slices.Equal(state.KnownEndpoints, known) || !slices.Equal(state.KnownEndpoints, want) {
		t.Fatalf("known endpoints %q, last notified of %q, want %q", state.KnownEndpoints, known, want)
	}
}

// Files with random content and unknown files are skipped.
func TestCorruptFilesAreSkipped(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 9))
	root := t.TempDir()
	s, _, _ := openProcess(t, root)
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
		s, state, _ := openProcess(t, root)
		if !state.Suspended["s-1"] || len(state.Suspended) != 1 || len(state.KnownEndpoints) > 0 {
			t.Fatalf("round %d: got %+v, want only s-1 suspended and no known endpoints", round, state)
		}
		s.Close()
	}
}

// If the folder can't be written, nothing is shared, and done is still called.
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
				t.Fatalf("got %+v, want to start alone with nothing suspended", state)
			}
			s.Close()
		})
	}
}

// A process that serves alone does not read the folder at each interval, but still detects a new process.
func TestLoneProcessDoesNotReadFolder(t *testing.T) {
	root := t.TempDir()
	a, _, notified := openProcess(t, root)
	defer a.Close()
	reads := func() int {
		count := make(chan int)
		a.jobs <- func() { count <- a.reads }
		return <-count
	}
	before := reads()
	time.Sleep(100 * time.Millisecond) // a hundred intervals
	if n := reads() - before; n > 0 {
		t.Fatalf("read the folder %d times while alone, want 0", n)
	}
	b, _, _ := openProcess(t, root)
	defer b.Close()
	notified.wait(t, "alone")
	if notified.alone || reads() == before {
		t.Fatalf("the new process is not detected or the folder is not read: alone %v", notified.alone)
	}
}

// An endpoint list that one process shares reaches the other process and is not notified to the first one. A list that
// an earlier process has left does not count as a change.
func TestEndpointListIsShared(t *testing.T) {
	root := t.TempDir()
	before, _, _ := openProcess(t, root)
	before.ShareEndpointList([]byte("left over"))
	before.Close()
	a, state, notifiedA := openProcess(t, root)
	if string(state.EndpointList) != "left over" {
		t.Fatalf("got the endpoint list %q, want the one left over", state.EndpointList)
	}
	b, _, notifiedB := openProcess(t, root)
	notifiedA.wait(t, "alone")
	for _, list := range []string{"one", "two"} {
		a.ShareEndpointList([]byte(list))
		notifiedB.wait(t, "endpoint list")
		if notifiedB.list != list {
			t.Fatalf("the second process got the endpoint list %q, want the one shared last", notifiedB.list)
		}
	}
	b.ShareEndpointList([]byte("three"))
	notifiedA.wait(t, "endpoint list")
	if notifiedA.list != "three" {
		t.Fatalf("the first process got the endpoint list %q, want three", notifiedA.list)
	}
	a.Close()
	notifiedB.wait(t, "alone")
	if len(notifiedA.posted)+len(notifiedB.posted) > 0 {
		t.Fatal("more notifications than expected")
	}
	b.Close()
}

// shareOnRequest shares a list whenever another process has started, as the router does, until the test ends.
func (r *recorder) shareOnRequest(t *testing.T, s *SharedState, list string) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case notify := <-r.posted:
				notify()
				if r.last == "alone" && !r.alone {
					s.ShareEndpointList([]byte(list))
				}
			case <-done:
				return
			}
		}
	}()
}

// Guards against an outdated list that a later process finds: nobody keeps the shared list up to date while there is
// only one process. Until that process has noticed that it is alone, a process that starts finds the list.
func TestEndpointListIsRemovedOnceAProcessIsAlone(t *testing.T) {
	root := t.TempDir()
	serving, _, notified := openProcess(t, root)
	notified.shareOnRequest(t, serving, "current")
	successor, _, notifiedSuccessor := openProcess(t, root)
	notifiedSuccessor.wait(t, "endpoint list")
	listFile := filepath.Join(folderPath(root, testAddress), endpointListFile)
	if _, err := os.Stat(listFile); err != nil {
		t.Errorf("while there are two processes: %v", err)
	}
	serving.Close()
	notifiedSuccessor.wait(t, "alone")
	if _, err := os.Stat(listFile); !os.IsNotExist(err) {
		t.Errorf("the list is still there once the successor is alone: %v", err)
	}
	successor.Close()
	if _, state, _ := openProcess(t, root); len(state.EndpointList) > 0 {
		t.Errorf("the next process starts with the list %q", state.EndpointList)
	}
}

// A successor gets the endpoint list of the serving process although an earlier successor has died and left the same
// list in the folder, and whether or not the serving process has noticed that.
func TestLaterSuccessorGetsTheSameEndpointList(t *testing.T) {
	root := t.TempDir()
	serving, _, notified := openProcess(t, root)
	notified.shareOnRequest(t, serving, "current")
	for i, pause := range []time.Duration{0, 100 * time.Millisecond, 0, 0, 100 * time.Millisecond} {
		successor, state, notifiedSuccessor := openProcess(t, root)
		if len(state.EndpointList) > 0 {
			t.Errorf("successor %d starts with the list %q, which may be outdated", i, state.EndpointList)
		}
		notifiedSuccessor.wait(t, "endpoint list")
		if notifiedSuccessor.list != "current" {
			t.Errorf("successor %d got the list %q, want that of the serving process", i, notifiedSuccessor.list)
		}
		successor.Close()
		time.Sleep(pause)
	}
	serving.Close()
}
