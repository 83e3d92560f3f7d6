package discovery

import (
	"errors"
	"fmt"
	"io"
	"time"

	"limeladder/internal/eventloop"
	"limeladder/internal/transport"
)

// endpointsPath is the URL path of discovery's endpoint list.
const endpointsPath = "/v1/endpoints"

// call is the call in flight, or the last one that was.
type call struct {
	kind       CallKind
	request    []byte
	response   *httpResponse // nil = the call has ended
	reusesConn bool          // the call was sent on a connection that had carried another call

	startedAt       time.Duration
	longPollTimeout time.Duration    // how long discovery may hold the call open before it responds
	slack           time.Duration    // how much longer the response may take to arrive
	lastDataAt      time.Duration    // when the newest part of the response was received, 0 = none was
	deadline        *eventloop.Timer // of the response
}

func (c *call) inFlight() bool { return c.response != nil }

// receivedWithin reports whether a part of the response was received within the interval that ends now.
func (c *call) receivedWithin(interval, now time.Duration) bool {
	return c.lastDataAt > 0 && now-c.lastDataAt < interval
}

// foundIdleConnClosed reports whether the call was sent on a reused connection that discovery was closing because it
// had been idle.
func (c *call) foundIdleConnClosed() bool {
	return c.reusesConn && len(c.response.buffered) == 0 && !c.response.headerRead
}

// sendCall makes the next call, on the open connection or on a new one.
func (w *Watcher) sendCall() {
	bounds := &w.limits.Discovery
	w.call.deadline.Stop()
	w.nextCall.Stop()
	next := call{
		kind:       CallSnapshot,
		slack:      bounds.CallTimeout,
		response:   &httpResponse{maxHeaderBytes: bounds.HeaderBytes, maxBodyBytes: bounds.ListBytes},
		reusesConn: w.connection != nil,
	}
	path := endpointsPath
	// Version 0 is valid. If it meant "no list", each call after it would request the full list, and all routers share
	// the capacity of discovery.
	if !w.snapshotDue {
		next.kind = CallWatch
		next.longPollTimeout = w.longPollTimeout()
		path = fmt.Sprintf("%s?index=%d&wait=%d", endpointsPath, w.version, next.longPollTimeout.Milliseconds())
	}
	// A watch on a broken link receives nothing, just as a watch on a list that doesn't change. Only the deadline
	// distinguishes the two.
	if next.longPollTimeout > 0 {
		next.slack = bounds.WatchSlack
	}
	next.startedAt = w.loop.Now()
	next.deadline = w.loop.AfterFunc(next.longPollTimeout+next.slack, w.deadlinePassed)
	next.request = fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, w.address)
	w.call = next
	if w.connection != nil {
		if w.connection.Write(next.request) == nil {
			return
		}
		w.connection = nil
	}
	w.dial()
}

// firstWatchTimeout bounds the wait of a watch at an address that has not sent a list yet. If the versions there are
// lower than the one that the watch names, discovery responds only when the wait is over, but changes count as notified
// 4 s after a move.
const firstWatchTimeout = 3 * time.Second

// longPollTimeout returns how long the next watch asks discovery to wait for a change.
func (w *Watcher) longPollTimeout() time.Duration {
	if w.answered {
		return w.limits.Discovery.LongPollTimeout
	}
	return min(w.limits.Discovery.LongPollTimeout, firstWatchTimeout)
}

// abandonCall ends the call in flight, if any, and closes its connection. Later events of that connection are ignored.
func (w *Watcher) abandonCall() {
	w.dialNumber++
	w.call.deadline.Stop()
	w.nextCall.Stop()
	w.call.response = nil
	if w.connection != nil {
		w.connection.Close()
		w.connection = nil
	}
}

// deadlinePassed ends a call whose response is overdue. Discovery counts a list as delivered once it has written it, so
// the call is not given up while its response is arriving, or is in the socket's buffer and not read yet: the deadline
// is extended while more data arrives, by at most the slack again.
func (w *Watcher) deadlinePassed() {
	maxGap := min(w.limits.Backend.StallTimeout, w.call.slack/4)
	now := w.loop.Now()
	end := w.call.startedAt + w.call.longPollTimeout + 2*w.call.slack
	if now < end && w.answerIsArriving(maxGap, now) {
		w.call.deadline = w.loop.AfterFunc(min(maxGap, end-now), w.deadlinePassed)
		return
	}
	w.callUnanswered(errNoAnswer)
}

// answerIsArriving reports whether a part of the response was received within maxGap, or is still unread in the
// connection.
func (w *Watcher) answerIsArriving(maxGap, now time.Duration) bool {
	if w.call.receivedWithin(maxGap, now) {
		return true
	}
	return w.connection != nil && !w.connection.HasNothingToReport()
}

// dial sends the call in flight on a new connection.
func (w *Watcher) dial() {
	w.call.reusesConn = false
	w.dialNumber++
	request := w.call.request
	handler := &connectionHandler{watcher: w, dialNumber: w.dialNumber}
	w.handler = handler
	connected := func(conn *transport.Conn, err error) transport.Handler {
		if handler.isCurrent() {
			w.connected(conn, err, request)
		} else if conn != nil {
			conn.Close()
		}
		return handler
	}
	w.engine.Dial(w.address, w.limits.Backend.ConnectTimeout, connected)
}

func (w *Watcher) connected(conn *transport.Conn, err error, request []byte) {
	if err == nil {
		err = conn.Write(request)
	}
	if err != nil {
		w.callUnanswered(err)
		return
	}
	w.connection = conn
	conn.DetectResets() // a response without a length ends with its connection; a reset must not be taken for that end
}

// connectionHandler forwards the events of a connection to the Watcher, as long as it is the newest connection dialed.
type connectionHandler struct {
	watcher    *Watcher
	dialNumber int
}

func (h *connectionHandler) isCurrent() bool { return h.dialNumber == h.watcher.dialNumber }

// Data implements transport.Handler.
func (h *connectionHandler) Data(p []byte) {
	if h.isCurrent() {
		h.watcher.received(p)
	}
}

// Closed implements transport.Handler.
func (h *connectionHandler) Closed(err error) {
	if h.isCurrent() {
		h.watcher.connectionClosed(err)
	}
}

// received handles a part of a response.
func (w *Watcher) received(p []byte) {
	if !w.call.inFlight() {
		w.abandonCall() // bytes that belong to no call: the connection can't be reused
		return
	}
	w.call.lastDataAt = w.loop.Now()
	complete, err := w.call.response.feed(p)
	if err != nil {
		w.callRejected(err)
	} else if complete {
		w.responseComplete()
	}
}

func (w *Watcher) connectionClosed(err error) {
	w.connection = nil
	if !w.call.inFlight() {
		return
	}
	response := w.call.response
	switch {
	case response.completeAtClose() && errors.Is(err, io.EOF):
		w.responseComplete()
	case w.call.foundIdleConnClosed():
		w.dial()
	case response.headerRead, w.outlivedCallTimeout():
		w.callUnanswered(fmt.Errorf("connection lost during the call: %w", err))
	default:
		w.callRejected(fmt.Errorf("connection closed without a response: %w", err))
	}
}

// outlivedCallTimeout reports whether a watch has been in flight for longer than discovery takes to reject a call. If
// its connection ends after that, the link or discovery has failed.
func (w *Watcher) outlivedCallTimeout() bool {
	return !w.snapshotDue && w.loop.Now()-w.call.startedAt > w.limits.Discovery.CallTimeout
}
