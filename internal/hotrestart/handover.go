// Package hotrestart is what a process shares with the one that replaces it, while both serve: who is alone, what operators
// have asked for, which db machines were ever listed, and the list as discovery told it last. It is a folder of the router's own under $TMPDIR.
package hotrestart

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Sink is told what the other process has changed. Its methods are called by post.
type Listener interface {
	Suspended(id string, out bool)
	Drained(on bool)
	KnownEndpointsAdded(ids []string)
	// Heard brings the whole list as the other process has it from discovery now.
	EndpointListShared(list []byte)
	// Alone says whether this is the only process from now on.
	AloneChanged(alone bool)
}

// State is what the folder holds.
type State struct {
	Suspended      map[string]bool
	Drained        bool
	KnownEndpoints []string
	EndpointList   []byte // the list that a process heard last while another one was there; it may be old
}

// Shared is the folder. Its methods, but for Open's work, only queue what a goroutine of its own does.
type SharedState struct {
	dir    string // "" = there is none: all of it stays in this process
	log    *slog.Logger
	most   int // ids kept
	jobs   chan func()
	stop   chan struct{}
	done   chan struct{}
	seen   State       // as the folder was last, owned by the goroutine
	listed fs.FileInfo // of the file of ids that was read last,
	list   fs.FileInfo // and of the list's
	serves *os.File    // locked by the process that serves
	next   *os.File    // locked by the one that is to replace it
	edit   *os.File    // locked while the ids are read and written again
	first  bool        // no other process served at the start
	alone  bool        // none does now; owned by the goroutine
	reads  int         // of the folder, by the goroutine
}

// Open reads the folder of the router that listens at the given address. Without a root, or where it can't be written,
// nothing is shared. most bounds the ids of db machines that are kept.
func Open(root, listen string, most int, log *slog.Logger) (*SharedState, State) {
	s := &SharedState{log: log, most: most, jobs: make(chan func(), 256), stop: make(chan struct{}), done: make(chan struct{}), first: true, alone: true}
	if root == "" {
		return s, s.seen
	}
	dir := filepath.Join(root, "limeladder-"+url.PathEscape(listen))
	err := os.MkdirAll(filepath.Join(dir, "suspended"), 0o700)
	for name, f := range map[string]**os.File{"serves": &s.serves, "next": &s.next, "edit": &s.edit} {
		if err == nil {
			*f, err = os.OpenFile(filepath.Join(dir, name), os.O_CREATE|os.O_RDWR, 0o600)
		}
	}
	if err != nil {
		log.Warn("nothing is shared with another process", "err", err)
		return s, s.seen
	}
	s.dir = dir
	if s.first = lock(s.serves); !s.first {
		s.alone = false
		lock(s.next)
	} else if parts, err := filepath.Glob(filepath.Join(dir, "part.*")); err == nil {
		for _, p := range parts { // left by a process that was killed
			os.Remove(p)
		}
	}
	s.read()
	return s, s.seen
}

// lock says whether this process holds the lock now. The system gives it up when the process ends, however it does.
func lock(f *os.File) bool { return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil }

// First says whether no other process served when this one started.
func (s *SharedState) StartedAlone() bool { return s.first }

// Follow starts to look at the folder now and then. What the other process has changed is told to sink by post.
func (s *SharedState) Watch(every time.Duration, post func(func()), sink Listener) {
	go func() {
		defer close(s.done)
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case f := <-s.jobs:
				f()
			case <-tick.C:
				s.look(post, sink)
			case <-s.stop:
				for len(s.jobs) > 0 {
					(<-s.jobs)()
				}
				return
			}
		}
	}()
}

// Close ends it; what is queued is written first.
func (s *SharedState) Close() {
	close(s.stop)
	<-s.done
	for _, f := range []*os.File{s.serves, s.next, s.edit} {
		if f != nil {
			f.Close()
		}
	}
}

// look compares the folder with what it was.
func (s *SharedState) look(post func(func()), sink Listener) {
	if s.dir == "" {
		return
	}
	// Harm: read at each look, the folder cost a router ten system calls a tenth of a second, half of what it spends
	// when idle. While it serves alone nothing but a newcomer changes the folder, and a newcomer holds the other lock.
	if s.alone && lock(s.next) {
		syscall.Flock(int(s.next.Fd()), syscall.LOCK_UN)
		return
	}
	was := s.seen
	s.read()
	now := s.seen
	for id := range now.Suspended {
		if !was.Suspended[id] {
			post(func() { sink.Suspended(id, true) })
		}
	}
	for id := range was.Suspended {
		if !now.Suspended[id] {
			post(func() { sink.Suspended(id, false) })
		}
	}
	if was.Drained != now.Drained {
		post(func() { sink.Drained(now.Drained) })
	}
	if !slices.Equal(now.KnownEndpoints, was.KnownEndpoints) {
		post(func() { sink.KnownEndpointsAdded(now.KnownEndpoints) })
	}
	if !bytes.Equal(now.EndpointList, was.EndpointList) {
		post(func() { sink.EndpointListShared(now.EndpointList) })
	}
	// Only a process that waits to serve alone holds the other lock for long. The one that serves tries it in passing.
	serves, alone := lock(s.serves), lock(s.next) // it is the same to hold one already
	if serves && alone {
		syscall.Flock(int(s.next.Fd()), syscall.LOCK_UN)
	}
	alone = alone && serves
	if alone != s.alone {
		s.alone = alone
		post(func() { sink.AloneChanged(alone) })
	}
}

// read reads the folder. Files that are stale or broken are passed over: no process may fail on what another has left.
func (s *SharedState) read() {
	s.reads++
	now := State{Suspended: map[string]bool{}, KnownEndpoints: s.seen.KnownEndpoints, EndpointList: s.seen.EndpointList}
	entries, err := os.ReadDir(filepath.Join(s.dir, "suspended"))
	if err != nil {
		return
	}
	for _, e := range entries {
		if p, err := os.ReadFile(filepath.Join(s.dir, "suspended", e.Name())); err == nil && name(string(p)) == e.Name() {
			now.Suspended[string(p)] = true
		}
	}
	_, err = os.Stat(filepath.Join(s.dir, "drained"))
	now.Drained = err == nil
	if s.changed("listed", &s.listed) {
		now.KnownEndpoints = union(now.KnownEndpoints, s.ids(), s.most)
	}
	if s.changed("list", &s.list) {
		if p, err := os.ReadFile(filepath.Join(s.dir, "list")); err == nil {
			now.EndpointList = p
		}
	}
	s.seen = now
}

// changed says whether a file is another one than when this was asked last.
func (s *SharedState) changed(file string, last *fs.FileInfo) bool {
	i, err := os.Stat(filepath.Join(s.dir, file))
	// Guards against two changes within one tick of the file system's clock: the time alone would hide the second.
	if was := *last; err != nil || was != nil && os.SameFile(i, was) && i.ModTime() == was.ModTime() && i.Size() == was.Size() {
		return false
	}
	*last = i
	return true
}

func (s *SharedState) ids() (ids []string) {
	p, err := os.ReadFile(filepath.Join(s.dir, "listed"))
	if err != nil || json.Unmarshal(p, &ids) != nil {
		return nil
	}
	return ids
}

// union adds to ids what is new in more, and drops the oldest beyond most.
func union(ids, more []string, most int) []string {
	has := map[string]bool{}
	out := make([]string, 0, len(ids)+len(more))
	for _, id := range append(append(out, ids...), more...) {
		if !has[id] {
			has[id] = true
			out = append(out, id)
		}
	}
	return out[max(0, len(out)-most):]
}

// name is the file's name of an id, which may hold anything. The file holds the id itself.
func name(id string) string {
	h := sha256.Sum256([]byte(id))
	return hex.EncodeToString(h[:])
}

// Suspend notes that operators have taken a db machine out, or let it back in. done is called once the file says so.
func (s *SharedState) SetSuspended(id string, out bool, done func()) {
	s.do(func() {
		if s.put(filepath.Join("suspended", name(id)), []byte(id), out) {
			seen := map[string]bool{}
			for k := range s.seen.Suspended {
				seen[k] = true
			}
			if delete(seen, id); out {
				seen[id] = true
			}
			s.seen.Suspended = seen
		}
		done()
	})
}

// Drain notes that operators have drained the router, or activated it.
func (s *SharedState) SetDrained(on bool, done func()) {
	s.do(func() {
		if s.put("drained", nil, on) {
			s.seen.Drained = on
		}
		done()
	})
}

// List notes db machines that discovery has named.
func (s *SharedState) AddKnownEndpoints(ids []string) {
	s.do(func() {
		if s.dir == "" {
			return
		}
		if !lock(s.edit) { // guards what the other process is adding
			time.AfterFunc(10*time.Millisecond, func() { s.AddKnownEndpoints(ids) })
			return
		}
		defer syscall.Flock(int(s.edit.Fd()), syscall.LOCK_UN)
		all := union(s.ids(), ids, s.most) // the other process may have named others
		if p, err := json.Marshal(all); err == nil && s.put("listed", p, true) {
			s.seen.KnownEndpoints = union(s.seen.KnownEndpoints, ids, s.most)
		}
	})
}

// Hear notes the whole list as this process has it from discovery, for the other one: where that can't hear discovery itself, it
// would go by a list from before its start.
func (s *SharedState) ShareEndpointList(list []byte) {
	s.do(func() {
		if s.put("list", list, true) {
			s.seen.EndpointList = list
		}
	})
}

func (s *SharedState) do(f func()) {
	if s.dir == "" {
		go f() // there is nothing to write, and no goroutine need be waited for
		return
	}
	select {
	case s.jobs <- f:
	default:
		go func() { s.jobs <- f }() // the loop never waits for a file
	}
}

// put makes a file say p, or removes it. A file is renamed into place: the other process never reads half of it.
func (s *SharedState) put(file string, p []byte, there bool) bool {
	if s.dir == "" {
		return false
	}
	path := filepath.Join(s.dir, file)
	var err error
	if there {
		var f *os.File
		if f, err = os.CreateTemp(s.dir, "part.*"); err == nil {
			_, err = f.Write(p)
			if err = errors.Join(err, f.Close()); err == nil {
				err = os.Rename(f.Name(), path)
			}
		}
	} else if err = os.Remove(path); errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err != nil {
		s.log.Warn("not shared with another process", "file", file, "err", err)
	}
	return err == nil
}
