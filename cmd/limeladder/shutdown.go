package main

import (
	"time"

	"limeladder/internal/transport"
)

// shutdownState is how far the graceful shutdown has come.
type shutdownState struct {
	requested       bool // SIGTERM or SIGINT has come
	listenersClosed bool // no client comes any more
}

// startShutdown starts the graceful shutdown. Connections are accepted for a while, because the platform still sends
// some, and every request that was accepted is answered. Calls after the first one do nothing.
func (d *daemon) startShutdown() {
	if d.shutdown.requested {
		return
	}
	d.shutdown.requested = true
	d.log.Info("graceful shutdown started")
	d.recording.routerStateChanged("ending", "signal")
	for _, listener := range d.listeners.open {
		listener.Shutdown(d.listeners.inheritedSocket)
	}
	deadline := d.loop.Now() + d.limits.Shutdown.GuaranteedTime
	acceptTime := d.limits.Shutdown.AcceptTime
	if d.listeners.inheritedSocket {
		acceptTime = 0 // the next process has the same socket and accepts what comes from now on
	}
	d.loop.AfterFunc(acceptTime, func() { d.closeListeners(func() { d.finishConnections(deadline) }) })
	d.loop.AfterFunc(d.limits.Shutdown.MaxTime, d.loop.Stop)
}

// closeListeners stops accepting, on a goroutine of its own because an accept may be under way, and then calls done on
// the loop. Connections that were accepted before are in the loop's queue and come first.
func (d *daemon) closeListeners(done func()) {
	var sockets []*transport.Listener
	for _, listener := range d.listeners.open {
		sockets = append(sockets, listener.socket)
	}
	go func() {
		for _, socket := range sockets {
			socket.Close()
		}
		d.loop.Post(done)
	}()
}

// finishConnections closes connections without a request, once no new ones come. Clients send on every connection that
// stays open, so requests of these have to be answered by the deadline.
func (d *daemon) finishConnections(deadline time.Duration) {
	if !d.listeners.inheritedSocket {
		for _, listener := range d.listeners.open {
			listener.CloseIdleConnections()
		}
	}
	d.shutdown.listenersClosed = true
	d.core.SetShutdownDeadline(deadline)
}

// shutdownComplete says whether everything that was accepted is answered and every client is gone.
func (d *daemon) shutdownComplete() bool {
	return d.shutdown.listenersClosed &&
		d.core.InFlight() == 0 &&
		d.listeners.openConnections() == 0 &&
		d.engine.ClosingCount() == 0
}
