// Package transport puts TCP sockets, polled by nbio, under the event loop: what happens on a connection is reported
// to its Handler on the loop's goroutine, in order.
//
// It owns the sockets, the bytes that were received and not yet looked at, when they arrived, and the orderly end of
// connections. It knows no protocol and never blocks the loop.
//
// Methods belong to the loop's goroutine. Reads are made by nbio's one poller goroutine, and by the loop where it
// goes on with a connection that was left unread; each Listener accepts, and each dial runs, in a goroutine of its
// own. What they share with the loop is guarded by the mutexes of Conn and Listener, or is atomic.
package transport
