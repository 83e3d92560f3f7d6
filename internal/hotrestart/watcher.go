package hotrestart

import (
	"bytes"
	"slices"
	"time"
)

// Listener is notified of what the other process has changed.
type Listener interface {
	// Suspended says that operators have suspended an endpoint, or resumed it.
	Suspended(id string, suspended bool)
	// Drained says that operators have drained the router, or activated it.
	Drained(drained bool)
	// KnownEndpointsAdded brings the ids of all endpoints that were ever listed.
	KnownEndpointsAdded(ids []string)
	// EndpointListShared brings the complete list as the other process has it from discovery.
	EndpointListShared(list []byte)
	// AloneChanged says whether this is the only process from now on.
	AloneChanged(alone bool)
}

// Watch starts the goroutine that does the queued work and compares the folder at each interval with what it was. The
// listener is called by post.
func (s *SharedState) Watch(interval time.Duration, post func(func()), listener Listener) {
	go s.watch(interval, func(notify func(Listener)) {
		post(func() { notify(listener) })
	})
}

func (s *SharedState) watch(interval time.Duration, notify func(func(Listener))) {
	defer close(s.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case job := <-s.jobs:
			job()
		case <-ticker.C:
			s.poll(notify)
		case <-s.stop:
			s.finishJobs()
			return
		}
	}
}

// finishJobs does what is queued and waits for nothing else.
func (s *SharedState) finishJobs() {
	for len(s.jobs) > 0 {
		job := <-s.jobs
		job()
	}
}

// poll compares the folder with what it was.
//
// While this process serves alone, only a new process changes the folder, and that one holds the lock of the successor.
// To read the folder all the same would cost ten system calls at each interval, half of what an idle router spends.
func (s *SharedState) poll(notify func(func(Listener))) {
	if s.folder == nil {
		return
	}
	if s.alone && !s.locks.hasSuccessor() {
		return
	}
	before := s.seen
	s.read()
	notifyChanges(before, s.seen, notify)
	alone := s.locks.alone()
	if alone != s.alone {
		s.alone = alone
		notify(func(l Listener) { l.AloneChanged(alone) })
	}
}

// notifyChanges passes on what differs between two states.
func notifyChanges(before, now State, notify func(func(Listener))) {
	for id := range now.Suspended {
		if !before.Suspended[id] {
			notify(func(l Listener) { l.Suspended(id, true) })
		}
	}
	for id := range before.Suspended {
		if !now.Suspended[id] {
			notify(func(l Listener) { l.Suspended(id, false) })
		}
	}
	if before.Drained != now.Drained {
		notify(func(l Listener) { l.Drained(now.Drained) })
	}
	if !slices.Equal(before.KnownEndpoints, now.KnownEndpoints) {
		notify(func(l Listener) { l.KnownEndpointsAdded(now.KnownEndpoints) })
	}
	if !bytes.Equal(before.EndpointList, now.EndpointList) {
		notify(func(l Listener) { l.EndpointListShared(now.EndpointList) })
	}
}
