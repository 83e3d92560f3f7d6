package discovery

import "limeladder/internal/config"

// keepWatch hands the watch that is out to a Watcher that goes on with it at the present address. Without a watch
// nothing is kept.
func (w *Watcher) keepWatch() {
	w.stopPrevious()
	if w.connection == nil || !w.call.isOut() || w.call.kind != CallWatch {
		return
	}
	previous := &Watcher{
		loop:       w.loop,
		engine:     w.engine,
		limits:     w.limits,
		log:        w.log,
		address:    w.address,
		version:    w.version,
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

// stopPrevious ends the watch at the address before.
func (w *Watcher) stopPrevious() {
	if w.previous != nil {
		previous := w.previous
		w.previous = nil
		previous.Stop()
	}
}

// previousListener passes on what the address before still tells.
type previousListener struct {
	current  *Watcher
	previous *Watcher
}

// EndpointListReceived implements Listener. What the new address answers must not be older than this list.
func (l *previousListener) EndpointListReceived(list config.EndpointList) {
	if l.current.previous != l.previous {
		return
	}
	l.current.version = max(l.current.version, list.Version)
	l.current.listener.EndpointListReceived(list)
}

// PollFailed implements Listener. The address before is not called again.
func (l *previousListener) PollFailed(bool) {
	if l.current.previous == l.previous {
		l.current.stopPrevious()
	}
}
