package frontend

import (
	"time"

	"limeladder/internal/router"
)

// slot holds the place of one response in a connection's pipeline.
type slot struct {
	conn           *Conn
	request        router.Request
	responder      responder
	ordering       router.Ordering
	state          slotState
	withoutRequest bool   // the data answers no request, for example a readiness check or a protocol error
	requestID      string // the router's id of the request, "" = not submitted, or already answered

	statementBytes int            // memory reserved for the statement
	reservedBytes  int            // memory reserved for the response while earlier ones are pending
	buffered       responseBuffer // the response, or the part that has arrived, while it can't be sent
	bufferedBytes  int            // memory counted for buffered, including slotOverheadBytes
	collectedBytes int            // memory reserved for a response that is collected

	flow     router.FlowController // source of a streamed response
	withheld bool                  // the response is collected, and nothing of it has been sent
	started  bool                  // part of the response has been sent
}

type slotState int

const (
	slotQueued slotState = iota // waits for earlier requests of its connection
	slotInFlight
	slotAnswered
)

// responder is the router.Client of a pipelined request. It also answers a request that is not accepted.
type responder interface {
	router.Client
	rejectInvalid(err error)
}

// slotOverheadBytes is the memory that a slot with a buffered response takes in addition to the response.
const slotOverheadBytes = 256

// dependsOn reports whether the request may not start before an earlier one is answered.
func (s *slot) dependsOn(earlier *slot) bool {
	if s.ordering.Writes || earlier.ordering.Writes && s.mustSeeWritesOf(earlier) {
		return true
	}
	// The router accepts one request at a time under one client request ID.
	return s.request.ClientRequestID != "" && s.request.ClientRequestID == earlier.request.ClientRequestID
}

func (s *slot) mustSeeWritesOf(earlier *slot) bool {
	if s.ordering.ReadsAllWrites {
		return true
	}
	return s.ordering.ReadsOwnWrites && s.request.Session == earlier.request.Session
}

// isFirst reports whether no earlier response is pending.
func (s *slot) isFirst() bool { return !s.conn.pipeline.empty() && s.conn.pipeline.slots[0] == s }

// buffer appends data to the response while it can't be sent. The memory of a collected response is reserved already.
func (s *slot) buffer(data []byte) {
	bytes := len(data)
	if s.buffered.empty() {
		bytes += slotOverheadBytes
	}
	s.buffered.append(data)
	if s.withheld {
		return
	}
	s.bufferedBytes += bytes
	s.conn.pipeline.backlogBytes += bytes
	s.conn.memory.add(bytes)
}

// takeChunk returns the next part of the buffered data and releases its memory.
func (s *slot) takeChunk() []byte {
	chunk := s.buffered.takeChunk()
	buffered := min(len(chunk), s.bufferedBytes)
	collected := min(len(chunk), s.collectedBytes)
	if s.buffered.empty() {
		buffered = s.bufferedBytes
		collected = s.collectedBytes
	}
	s.bufferedBytes -= buffered
	s.conn.pipeline.backlogBytes -= buffered
	s.conn.Release(buffered)
	s.releaseCollected(collected)
	return chunk
}

// dropBuffered drops the buffered data and releases its memory.
func (s *slot) dropBuffered() {
	for !s.buffered.empty() {
		s.takeChunk()
	}
	s.releaseCollected(s.collectedBytes) // of a response that waits for room
}

// Disconnected implements router.Client.
func (s *slot) Disconnected(askSystem bool) bool { return s.conn.Disconnected(askSystem) }

// Committed implements router.CommitObserver.
func (s *slot) Committed(position time.Duration) {
	s.conn.commits.record(s.request.Session, s.request.Group, position)
}

// complete ends the response with data, which is the whole response unless part of it was sent or collected before.
func (s *slot) complete(data []byte) {
	c := s.conn
	c.Release(s.statementBytes + s.reservedBytes)
	s.statementBytes = 0
	s.reservedBytes = 0
	s.requestID = ""
	s.request = router.Request{} // its strings keep the whole statement in memory
	s.flow = nil
	s.state = slotAnswered
	if c.lifetime.closed {
		return
	}
	switch {
	case s.withheld:
		s.buffer(data)
		s.withheld = false
		c.writeAnswered()
	case s.mustBuffer():
		s.buffer(data)
	default:
		c.setFlow(nil)
		c.pipeline.removeFirst()
		c.write(data)
		c.writeAnswered()
	}
	c.resume()
}

// mustBuffer reports whether the response can't be sent now. The end of a response that was sent in part is not
// delayed.
func (s *slot) mustBuffer() bool {
	return !s.isFirst() || !s.started && s.conn.applyBackpressure()
}

// startResponse starts a response that arrives in parts. Its source is paused while earlier responses are pending, and
// while the client has too much unread data.
func (s *slot) startResponse(data []byte, flow router.FlowController) {
	s.flow = flow
	s.buffer(data)
	if !s.isFirst() || s.conn.applyBackpressure() {
		flow.SetPaused(true)
		return
	}
	s.forwardStarted()
}

// forwardStarted begins to send or to collect the first response of the pipeline, of which a part has arrived.
func (s *slot) forwardStarted() {
	if s.mustCollect() {
		s.collect()
		return
	}
	c := s.conn
	s.started = true
	flow := s.flow
	for !s.buffered.empty() && !c.lifetime.closed {
		c.StartResponse(s.takeChunk(), flow)
	}
	c.accountInput()
}

// ResponsePart implements router.Client. Data that was in transit when the source was paused is buffered.
func (s *slot) ResponsePart(data []byte) {
	switch {
	case s.conn.lifetime.closed:
	case s.started:
		s.conn.WriteResponsePart(data)
	default:
		s.buffer(data)
	}
}

// truncate ends a response that arrives in parts and will not be completed. It closes the connection if a part has been
// sent, since nothing else can signal the truncation to the client. Otherwise the given error replaces the response.
func (s *slot) truncate(replacement []byte) {
	s.requestID = ""
	if s.conn.lifetime.closed || s.started {
		s.conn.TruncateResponse()
		return
	}
	s.dropBuffered()
	s.complete(replacement)
}
