package hotrestart

import (
	"log/slog"
	"maps"
	"path/filepath"
	"time"
)

const (
	queuedJobs = 256
	// editRetryInterval is the pause before adding known endpoints is retried because the other process held the lock.
	editRetryInterval = 10 * time.Millisecond
)

// State is the state in the shared folder.
type State struct {
	Suspended      map[string]bool // set of the ids of suspended endpoints
	Drained        bool
	KnownEndpoints []string // ids of all endpoints that were ever listed, oldest first
	EndpointList   []byte   // last list that one process shared with another
}

// SharedState is the state that two processes of one router share through a folder.
type SharedState struct {
	log          *slog.Logger
	maxKnown     int     // maximum number of known endpoints
	folder       *folder // nil if nothing is shared
	locks        locks
	startedAlone bool
	jobs         chan func()
	stop         chan struct{}
	done         chan struct{}

	// The fields below are used only by the goroutine of Watch.
	lastState State  // state that was last read from the folder or written to it
	alone     bool   // whether no other process runs
	ownList   []byte // endpoint list that this process last shared with the process that runs now, nil = none
	reads     int    // how often the folder was read
}

// Open opens the folder of the router that listens at the given address, creates it below root if needed, and returns
// the state in it. If root is empty or the folder can't be written, nothing is shared. maxKnown is the maximum number
// of known endpoints.
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
		return s, s.lastState
	}
	opened, err := createFolder(root, listen)
	if err == nil {
		s.locks, err = openLocks(opened.path)
	}
	if err != nil {
		log.Warn("shared folder unavailable", "error", err)
		return s, s.lastState
	}
	s.folder = opened
	s.folder.log = log
	s.startedAlone = s.locks.serving.tryAcquire()
	if s.startedAlone {
		s.folder.removeTemporaryFiles()
		s.read()
	} else {
		s.alone = false
		s.requestEndpointList()
		s.locks.successor.tryAcquire() // a second successor continues without the lock: only one can take over
	}
	return s, s.lastState
}

// requestEndpointList reads the folder without its endpoint list, which may be outdated, and removes that list. The
// serving process writes its own list once it knows of this process, or finds none. Whatever is in the file from now on
// is reported to the Listener, even if it equals the list that was removed.
func (s *SharedState) requestEndpointList() {
	removed := s.removeEndpointList()
	s.read()
	if removed {
		s.forgetEndpointList()
	}
}

// removeEndpointList removes the shared endpoint list and reports whether there is none now.
func (s *SharedState) removeEndpointList() bool {
	err := s.folder.remove(endpointListFile)
	if err != nil {
		s.log.Warn("shared state not written", "file", endpointListFile, "error", err)
	}
	return err == nil
}

// forgetEndpointList makes the next list in the folder count as changed, whatever it is.
func (s *SharedState) forgetEndpointList() {
	s.lastState.EndpointList = nil
	s.folder.endpointListInfo = nil
}

// StartedAlone reports whether no other process was serving when this one started.
func (s *SharedState) StartedAlone() bool { return s.startedAlone }

// Close finishes the queued jobs and stops the goroutine of Watch. Watch must have been called before.
func (s *SharedState) Close() {
	close(s.stop)
	<-s.done
	s.locks.close()
}

// read updates lastState from the folder.
func (s *SharedState) read() {
	s.reads++
	s.lastState = s.folder.read(s.lastState, s.maxKnown)
}

// SetSuspended records that operators have suspended or resumed an endpoint. done is called after the file was written
// or removed, also if that failed.
func (s *SharedState) SetSuspended(id string, suspended bool, done func()) {
	s.enqueue(func() {
		defer done()
		file := filepath.Join(suspendedFolder, suspendedFileName(id))
		if !s.setFile(file, []byte(id), suspended) {
			return
		}
		// The map is copied because the listener may still read the old one.
		ids := maps.Clone(s.lastState.Suspended)
		if ids == nil {
			ids = map[string]bool{}
		}
		if suspended {
			ids[id] = true
		} else {
			delete(ids, id)
		}
		s.lastState.Suspended = ids
	})
}

// SetDrained records that operators have drained or activated the router. done is called after the file was written or
// removed, also if that failed.
func (s *SharedState) SetDrained(drained bool, done func()) {
	s.enqueue(func() {
		defer done()
		if s.setFile(drainedFile, nil, drained) {
			s.lastState.Drained = drained
		}
	})
}

// AddKnownEndpoints adds the ids of endpoints that discovery has listed to the known endpoints.
func (s *SharedState) AddKnownEndpoints(ids []string) {
	s.enqueue(func() {
		if s.folder == nil {
			return
		}
		// Without the lock, ids that the other process adds at the same time would be lost.
		if !s.locks.edit.tryAcquire() {
			time.AfterFunc(editRetryInterval, func() { s.AddKnownEndpoints(ids) })
			return
		}
		defer s.locks.edit.release()
		all := union(s.folder.readKnownEndpoints(), ids, s.maxKnown)
		content, err := encodeKnownEndpoints(all)
		if err == nil && s.setFile(knownEndpointsFile, content, true) {
			s.lastState.KnownEndpoints = union(s.lastState.KnownEndpoints, ids, s.maxKnown)
		}
	})
}

// ShareEndpointList writes the complete endpoint list that this process has received from discovery. The other process
// uses it if it can't reach discovery itself and would otherwise have only a list from before its start.
func (s *SharedState) ShareEndpointList(list []byte) {
	s.enqueue(func() {
		s.ownList = list
		s.writeEndpointList()
	})
}

func (s *SharedState) writeEndpointList() {
	if s.setFile(endpointListFile, s.ownList, true) {
		s.lastState.EndpointList = s.ownList
	}
}

// enqueue queues a job for the goroutine of Watch. It never blocks, so the caller never waits for a file.
func (s *SharedState) enqueue(job func()) {
	if s.folder == nil {
		go job() // nothing is written, but the job has to call the caller back
		return
	}
	select {
	case s.jobs <- job:
	default:
		go func() { s.jobs <- job }()
	}
}

// setFile writes a file, or removes it if it should not exist, and reports whether that succeeded.
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
