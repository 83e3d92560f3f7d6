package hotrestart

import (
	"bytes"
	"slices"
	"time"
)

// Listener is notified of changes by the other process.
type Listener interface {
	// Suspended is called when operators have suspended or resumed an endpoint.
	Suspended(id string, suspended bool)
	// Drained is called when operators have drained or activated the router.
	Drained(drained bool)
	// KnownEndpointsAdded is called with the ids of all known endpoints when some were added.
	KnownEndpointsAdded(ids []string)
	// EndpointListShared is called with the complete endpoint list that the other process has received from discovery.
	EndpointListShared(list []byte)
	// AloneChanged is called when the other process has started or ended; alone is true if this is the only process now.
	AloneChanged(alone bool)
}

// Watch starts the goroutine that runs the queued jobs and checks the folder for changes at each interval. Each call of
// the listener is passed to post, which runs it on a goroutine of the caller's choice.
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

// finishJobs runs the jobs that are queued, without waiting for further ones.
func (s *SharedState) finishJobs() {
	for len(s.jobs) > 0 {
		job := <-s.jobs
		job()
	}
}

// poll notifies the listener of changes in the folder.
//
// While this process serves alone, only a new process can change the folder, and that process holds the successor lock.
// Reading the folder nevertheless would cost ten system calls at each interval, half of what an idle router makes.
func (s *SharedState) poll(notify func(func(Listener))) {
	if s.folder == nil {
		return
	}
	if s.alone && !s.locks.hasSuccessor() {
		return
	}
	before := s.lastState
	s.read()
	notifyChanges(before, s.lastState, notify)
	if s.ownList != nil && !s.folder.exists(endpointListFile) {
		s.writeEndpointList() // another successor has started, and the end of the one before it was not noticed
	}
	alone := s.locks.tryServeAlone()
	if alone != s.alone {
		s.alone = alone
		s.ownList = nil
		if alone && s.removeEndpointList() {
			s.forgetEndpointList() // nobody keeps the list up to date from now on
		}
		notify(func(l Listener) { l.AloneChanged(alone) })
	}
}

// notifyChanges notifies the listener of the differences between two states.
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
