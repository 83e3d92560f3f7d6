// Package transport connects TCP sockets, polled by nbio, to the event loop: the events of a connection are reported
// to its Handler on the loop's goroutine, in order.
//
// It owns the sockets, the bytes that were received and not yet processed, the times at which they arrived, and the
// orderly close of connections. It knows no protocol and never blocks the loop.
//
// Methods must be called on the loop's goroutine unless they say otherwise. Sockets are read by nbio's one poller
// goroutine, and by the loop when it resumes a connection whose reading had stopped. Each Listener accepts, and each
// dial runs, in a goroutine of its own. State shared with the loop is guarded by the mutexes of Conn and Listener, or
// is atomic.
package transport
