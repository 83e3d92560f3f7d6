package discovery

import "limeladder/internal/config"

// keepPreviousWatch moves the watch in flight to a second Watcher, which continues it at the current address. It does
// nothing if no watch is in flight.
func (w *Watcher) keepPreviousWatch() {
	w.stopPrevious()
	if w.connection == nil || !w.call.inFlight() || w.call.kind != CallWatch {
		return
	}
	previous := &Watcher{
		loop:       w.loop,
		engine:     w.engine,
		limits:     w.limits,
		log:        w.log,
		address:    w.address,
		version:    w.version,
		answered:   w.answered,
		call:       w.call,
		connection: w.connection,
		handler:    w.handler,
		dialNumber: w.dialNumber,
	}
	previous.listener = &previousListener{current: w, previous: previous}
	previous.handler.watcher = previous
	previous.call.deadline = w.loop.AfterFunc(w.call.deadline.Due()-w.loop.Now(), previous.deadlinePassed)
	w.call.deadline.Stop()
	w.call.response = nil
	w.connection = nil
	w.previous = previous
}

// stopPrevious ends the watch at the previous address, if there is one.
func (w *Watcher) stopPrevious() {
	if w.previous != nil {
		previous := w.previous
		w.previous = nil
		previous.Stop()
	}
}

// previousListener forwards the lists that are still received from the previous address.
type previousListener struct {
	current  *Watcher
	previous *Watcher
}

// EndpointListReceived implements Listener. A list from the new address must not be older than this one.
func (l *previousListener) EndpointListReceived(list config.EndpointList) {
	if l.current.previous != l.previous {
		return
	}
	l.current.version = max(l.current.version, list.Version)
	l.current.listener.EndpointListReceived(list)
}

// PollFailed implements Listener. The previous address is not called again.
func (l *previousListener) PollFailed(bool) {
	if l.current.previous == l.previous {
		l.current.stopPrevious()
	}
}
