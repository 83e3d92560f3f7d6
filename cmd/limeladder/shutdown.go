package main

import (
	"time"

	"limeladder/internal/transport"
)

// shutdownState is the progress of the graceful shutdown.
type shutdownState struct {
	requested       bool // SIGTERM or SIGINT was received
	listenersClosed bool // no new clients are accepted
}

// startShutdown starts the graceful shutdown. Connections are still accepted for AcceptTime, because the platform may
// send more, and every accepted request is answered. Calls after the first one do nothing.
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
		acceptTime = 0 // the next process has the same socket and accepts all further connections
	}
	d.loop.AfterFunc(d.limits.Shutdown.GuaranteedTime, d.endOpenUnits)
	d.loop.AfterFunc(acceptTime, func() { d.closeListeners(func() { d.finishConnections(deadline) }) })
	d.loop.AfterFunc(d.limits.Shutdown.MaxTime, func() {
		d.endOpenUnits() // the process may end in the next moment
		d.stopWhenDelivered(d.loop.Now() + d.limits.Shutdown.DeliveryTime)
	})
}

// endOpenUnits ends the units of work that are still open with an error.
func (d *daemon) endOpenUnits() {
	for _, listener := range d.listeners.open {
		listener.EndOpenUnits()
	}
}

// stopWhenDelivered stops the loop, at the latest at the given time. Before, it waits for responses that are still
// being delivered: an endpoint may be slow to write a long one, or a client to read it, and no deadline applies to a
// response that has begun. All other requests have been answered by now.
func (d *daemon) stopWhenDelivered(latest time.Duration) {
	now := d.loop.Now()
	if now >= latest || !d.isDelivering() {
		d.loop.Stop()
		return
	}
	d.loop.AfterFunc(deliveryCheckInterval, func() { d.stopWhenDelivered(latest) })
}

// deliveryCheckInterval is the interval of the checks whether responses are still being delivered at the end of the
// shutdown.
const deliveryCheckInterval = 50 * time.Millisecond

// isDelivering reports whether a client has yet to get the rest of a response.
func (d *daemon) isDelivering() bool {
	for _, listener := range d.listeners.open {
		if listener.IsDelivering() {
			return true
		}
	}
	return d.engine.ClosingCount() > 0
}

// closeListeners closes the listening sockets and then calls done on the event loop. It closes them on another
// goroutine, because closing waits for an accept in progress. Connections accepted before are in the loop's queue ahead
// of done.
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

// finishConnections is called once no new connections are accepted, and closes those without a request. Clients may
// send on every connection that stays open, so requests on these have to be answered by the deadline.
func (d *daemon) finishConnections(deadline time.Duration) {
	for _, listener := range d.listeners.open {
		listener.SetShutdownDeadline(deadline)
		if !d.listeners.inheritedSocket {
			listener.CloseIdleConnections()
		}
	}
	d.shutdown.listenersClosed = true
	d.core.SetShutdownDeadline(deadline)
}

// shutdownComplete reports whether every accepted request is answered and every client is disconnected.
func (d *daemon) shutdownComplete() bool {
	return d.shutdown.listenersClosed &&
		d.core.InFlight() == 0 &&
		d.listeners.openConnections() == 0 &&
		d.engine.ClosingCount() == 0
}
