package discovery

import (
	"errors"
	"fmt"
	"io"
	"time"

	"limeladder/internal/eventloop"
	"limeladder/internal/transport"
)

// endpointsPath is where discovery gives its list.
const endpointsPath = "/v1/endpoints"

// call is the call that is out, or the last one that was.
type call struct {
	kind       CallKind
	request    []byte
	response   *httpResponse // nil = the call has ended
	reusesConn bool          // it was sent on a connection that had carried another call

	startedAt       time.Duration
	longPollTimeout time.Duration    // how long discovery may wait with its answer
	slack           time.Duration    // how long beyond that the answer may take to begin
	lastDataAt      time.Duration    // when the newest part of the answer came, 0 = none did
	deadline        *eventloop.Timer // of the answer
}

func (c *call) isOut() bool { return c.response != nil }

// receivedWithin says whether a part of the answer came within the interval that ends now.
func (c *call) receivedWithin(interval, now time.Duration) bool {
	return c.lastDataAt > 0 && now-c.lastDataAt < interval
}

// foundIdleConnClosed says whether the call was sent on a connection that discovery was closing for having been idle.
func (c *call) foundIdleConnClosed() bool {
	return c.reusesConn && len(c.response.buffered) == 0 && !c.response.headerRead
}

// sendCall makes the next call, on the open connection or a new one.
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
	// Zero is a version like any other. Taken for none, it would make each call ask for the full list, and the
	// capacity of discovery is shared by all routers.
	if !w.snapshotDue {
		next.kind = CallWatch
		next.longPollTimeout = bounds.LongPollTimeout
		path = fmt.Sprintf("%s?index=%d&wait=%d", endpointsPath, w.version, next.longPollTimeout.Milliseconds())
	}
	// A watch on a broken link is silent, as one of a list that doesn't change: only its deadline tells them apart.
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

// abandonCall ends the call that is out, if any, and closes its connection. What still comes of it is ignored.
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

// deadlinePassed ends a call whose answer should have come. Discovery counts a list as delivered once it has written
// it, so an answer that is arriving, or that has arrived and was not read yet, is not given up: the call goes on
// while more comes, for as long again at the most.
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

// answerIsArriving says whether a part of the answer came within maxGap, or waits in the connection to be read.
func (w *Watcher) answerIsArriving(maxGap, now time.Duration) bool {
	if w.call.receivedWithin(maxGap, now) {
		return true
	}
	return w.connection != nil && !w.connection.Quiet()
}

// dial sends the call that is out on a new connection.
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
	conn.DetectResets() // an answer without a length ends with its connection, and a reset must not be taken for that end
}

// connectionHandler passes on what happens on a connection while that is the Watcher's newest one.
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

// received takes a part of an answer.
func (w *Watcher) received(p []byte) {
	if !w.call.isOut() {
		w.abandonCall() // bytes that answer no call: the connection can't be used again
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
	if !w.call.isOut() {
		return
	}
	response := w.call.response
	switch {
	case response.completeAtClose() && errors.Is(err, io.EOF):
		w.responseComplete()
	case w.call.foundIdleConnClosed():
		w.dial()
	case response.headerRead, w.outlastedRejection():
		w.callUnanswered(fmt.Errorf("watch ended: %w", err))
	default:
		w.callRejected(fmt.Errorf("connection ended: %w", err))
	}
}

// outlastedRejection says whether a watch is out for longer than discovery takes to reject a call: if it ends then,
// the link or discovery is lost.
func (w *Watcher) outlastedRejection() bool {
	return !w.snapshotDue && w.loop.Now()-w.call.startedAt > w.limits.Discovery.CallTimeout
}
