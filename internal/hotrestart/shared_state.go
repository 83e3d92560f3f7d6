package hotrestart

import (
	"log/slog"
	"maps"
	"path/filepath"
	"time"
)

const (
	queuedJobs = 256
	// editRetryInterval is the pause before the known endpoints are added again while the other process adds some.
	editRetryInterval = 10 * time.Millisecond
)

// State is what the folder holds.
type State struct {
	Suspended      map[string]bool // by the ids of endpoints
	Drained        bool
	KnownEndpoints []string // ids, oldest first
	EndpointList   []byte   // that a process last had from discovery while another one was there; it may be old
}

// SharedState is the folder that two processes of one router share.
type SharedState struct {
	log          *slog.Logger
	maxKnown     int     // ids of known endpoints
	folder       *folder // nil if nothing is shared
	locks        locks
	startedAlone bool
	jobs         chan func()
	stop         chan struct{}
	done         chan struct{}

	// These belong to the goroutine of Watch.
	seen  State // what the folder said last
	alone bool  // no other process runs
	reads int   // of the folder
}

// Open reads the folder of the router that listens at the given address. Without a root, or where the folder can't be
// written, nothing is shared. maxKnown bounds the ids of known endpoints.
func Open(root, listen string, maxKnown int, log *slog.Logger) (*SharedState, State) {
	s := &SharedState{
		log:          log,
		maxKnown:     maxKnown,
		jobs:         make(chan func(), queuedJobs),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		startedAlone: true,
		alone:        true,
	}
	if root == "" {
		return s, s.seen
	}
	opened, err := createFolder(root, listen)
	if err == nil {
		s.locks, err = openLocks(opened.path)
	}
	if err != nil {
		log.Warn("shared folder unavailable", "error", err)
		return s, s.seen
	}
	s.folder = opened
	s.folder.log = log
	s.startedAlone = s.locks.serving.tryAcquire()
	if s.startedAlone {
		s.folder.removeTemporaryFiles()
	} else {
		s.alone = false
		s.locks.successor.tryAcquire() // a second successor goes on without: only one of the two can follow
	}
	s.read()
	return s, s.seen
}

// StartedAlone says whether no other process served when this one started.
func (s *SharedState) StartedAlone() bool { return s.startedAlone }

// Close stops the goroutine of Watch, which must have been called, after the queued work is done.
func (s *SharedState) Close() {
	close(s.stop)
	<-s.done
	s.locks.close()
}

// read reads the folder.
func (s *SharedState) read() {
	s.reads++
	s.seen = s.folder.read(s.seen, s.maxKnown)
}

// SetSuspended notes that operators have suspended an endpoint, or resumed it. done is called once the file says so.
func (s *SharedState) SetSuspended(id string, suspended bool, done func()) {
	s.enqueue(func() {
		defer done()
		file := filepath.Join(suspendedFolder, suspendedFileName(id))
		if !s.setFile(file, []byte(id), suspended) {
			return
		}
		// The map is copied: the listener may still read the old one.
		seen := maps.Clone(s.seen.Suspended)
		if seen == nil {
			seen = map[string]bool{}
		}
		if suspended {
			seen[id] = true
		} else {
			delete(seen, id)
		}
		s.seen.Suspended = seen
	})
}

// SetDrained notes that operators have drained the router, or activated it. done is called once the file says so.
func (s *SharedState) SetDrained(drained bool, done func()) {
	s.enqueue(func() {
		defer done()
		if s.setFile(drainedFile, nil, drained) {
			s.seen.Drained = drained
		}
	})
}

// AddKnownEndpoints notes endpoints that discovery has listed.
func (s *SharedState) AddKnownEndpoints(ids []string) {
	s.enqueue(func() {
		if s.folder == nil {
			return
		}
		// Without the lock the ids that the other process adds at the same time would be lost.
		if !s.locks.edit.tryAcquire() {
			time.AfterFunc(editRetryInterval, func() { s.AddKnownEndpoints(ids) })
			return
		}
		defer s.locks.edit.release()
		all := union(s.folder.readKnownEndpoints(), ids, s.maxKnown)
		content, err := encodeKnownEndpoints(all)
		if err == nil && s.setFile(knownEndpointsFile, content, true) {
			s.seen.KnownEndpoints = union(s.seen.KnownEndpoints, ids, s.maxKnown)
		}
	})
}

// ShareEndpointList notes the complete list as this process has it from discovery. The other process uses it where it
// can't reach discovery itself, and would go by a list from before its start otherwise.
func (s *SharedState) ShareEndpointList(list []byte) {
	s.enqueue(func() {
		if s.setFile(endpointListFile, list, true) {
			s.seen.EndpointList = list
		}
	})
}

// enqueue leaves work to the goroutine of Watch. The caller never waits for a file.
func (s *SharedState) enqueue(job func()) {
	if s.folder == nil {
		go job() // nothing is written, and the caller still expects to be called back later
		return
	}
	select {
	case s.jobs <- job:
	default:
		go func() { s.jobs <- job }()
	}
}

// setFile writes a file, or removes it, and says whether the folder has it so now.
func (s *SharedState) setFile(name string, content []byte, exists bool) bool {
	if s.folder == nil {
		return false
	}
	var err error
	if exists {
		err = s.folder.write(name, content)
	} else {
		err = s.folder.remove(name)
	}
	if err != nil {
		s.log.Warn("shared state not written", "file", name, "error", err)
	}
	return err == nil
}
