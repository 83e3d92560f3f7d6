package frontend

import (
	"time"

	"limeladder/internal/router"
)

// pipeline holds the pending responses of one connection, in the order of their requests.
//
// Requests that a client sends without waiting for responses are in flight concurrently, and their responses are sent
// in the order of the requests. A slow request delays the responses after it, as the protocol requires, but not their
// processing: each request is decided within its own deadline.
//
// The result is the same as if the requests ran one after another. A write starts once all earlier requests on the
// connection are answered, and a read that must see earlier writes waits for those writes. Other reads do not wait.
type pipeline struct {
	slots        []*slot
	backlogBytes int // size of the buffered responses that wait for earlier ones
}

func (p *pipeline) empty() bool { return len(p.slots) == 0 }

// newest returns the last slot, or nil if there is none.
func (p *pipeline) newest() *slot {
	if p.empty() {
		return nil
	}
	return p.slots[len(p.slots)-1]
}

// newestQueued reports whether the last request waits for earlier ones. Only the last one can, since nothing is read
// after a queued request.
func (p *pipeline) newestQueued() bool {
	return !p.empty() && p.newest().state == slotQueued
}

func (p *pipeline) add(s *slot) { p.slots = append(p.slots, s) }

func (p *pipeline) removeFirst() { p.slots = p.slots[1:] }

func (p *pipeline) removeAll() []*slot {
	removed := p.slots
	p.slots = nil
	return removed
}

// concurrentWith returns how many requests before s are not answered, and ok = false if s has to wait for one of them.
func (p *pipeline) concurrentWith(s *slot) (unanswered int, ok bool) {
	for _, earlier := range p.slots {
		if earlier == s {
			break
		}
		if earlier.state == slotAnswered {
			continue
		}
		unanswered++
		if s.dependsOn(earlier) {
			return unanswered, false
		}
	}
	return unanswered, true
}

// slot holds the place of one response in a connection's pipeline.
type slot struct {
	conn           *Conn
	request        router.Request
	responder      responder
	ordering       router.Ordering
	state          slotState
	withoutRequest bool   // the data answers no request, for example a readiness check or a protocol error
	requestID      string // the router's id of the request, "" = not submitted, or already answered

	statementBytes int    // memory reserved for the statement
	reservedBytes  int    // memory reserved for the response while earlier ones are pending
	buffered       []byte // the response, or the part that has arrived, while earlier ones are pending
	bufferedBytes  int    // memory counted for buffered, including slotOverheadBytes

	flow    router.FlowController // source of a streamed response
	started bool                  // part of the response has been sent
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

// enqueue adds a request to the pipeline, with s as the slot of its response, and submits it to the router as soon as
// the earlier requests permit it.
func (c *Conn) enqueue(s *slot, request router.Request, client responder) {
	c.addSlot(s, request, client)
	statementBytes := c.input.messageBytes
	if !c.Reserve(statementBytes) {
		c.rejectForCapacity(s.request, client)
		return
	}
	s.statementBytes = statementBytes
	c.acceptNewest()
}

// enqueueRejected adds a request whose message was truncated to the pipeline, and answers it in the order of its
// connection's requests.
func (c *Conn) enqueueRejected(s *slot, request router.Request, client responder) {
	c.addSlot(s, request, client)
	c.rejectForCapacity(s.request, client)
}

// addSlot adds a request to the pipeline, with s as the slot of its response.
func (c *Conn) addSlot(s *slot, request router.Request, client responder) {
	request.Tenant = c.identity.user
	request.ClientAddress = c.identity.address
	*s = slot{
		conn:      c,
		request:   request,
		responder: client,
		ordering:  c.frontend.router.OrderingOf(request.Class),
	}
	c.pipeline.add(s)
}

// acceptNewest submits the newest request to the router if it is queued and no longer has to wait.
func (c *Conn) acceptNewest() {
	if !c.pipeline.newestQueued() {
		return
	}
	s := c.pipeline.newest()
	if !c.mayStart(s) {
		return
	}
	s.state = slotInFlight
	if s.ordering.ReadsOwnWrites {
		s.request.MinPosition = c.commits.positionFor(&s.request)
	}
	id, err := c.frontend.router.Accept(s.request, s.responder)
	if err != nil {
		s.responder.rejectInvalid(err)
		return
	}
	s.requestID = id
}

// mayStart reports whether a request may be in flight concurrently with the earlier ones, and reserves memory for its
// response.
func (c *Conn) mayStart(s *slot) bool {
	before, ok := c.pipeline.concurrentWith(s)
	if !ok || before == 0 {
		return ok
	}
	lim := &c.frontend.limits
	if before >= lim.Frontend.ConcurrentRequests {
		return false
	}
	// When half of the memory is in use, a pipelined request waits until it is the first, so that pipelined requests
	// leave memory, and capacity for requests, to other connections.
	limit := lim.Frontend.BufferedBytes
	responseBytes := lim.Backend.StreamThresholdBytes
	if c.frontend.memory.used(limit)+responseBytes > limit/2 || !c.Reserve(responseBytes) {
		return false
	}
	s.reservedBytes = responseBytes
	return true
}

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

// buffer appends data to the response while earlier responses are pending.
func (s *slot) buffer(data []byte) {
	bytes := len(data)
	if len(s.buffered) == 0 {
		bytes += slotOverheadBytes
	}
	s.buffered = append(s.buffered, data...)
	s.bufferedBytes += bytes
	s.conn.pipeline.backlogBytes += bytes
	s.conn.memory.add(bytes)
}

// takeBuffered returns the buffered data and releases its memory.
func (s *slot) takeBuffered() []byte {
	data := s.buffered
	s.buffered = nil
	s.conn.pipeline.backlogBytes -= s.bufferedBytes
	s.conn.Release(s.bufferedBytes)
	s.bufferedBytes = 0
	return data
}

// Disconnected implements router.Client.
func (s *slot) Disconnected(askSystem bool) bool { return s.conn.Disconnected(askSystem) }

// Committed implements router.CommitObserver.
func (s *slot) Committed(position time.Duration) {
	s.conn.commits.record(s.request.Session, s.request.Group, position)
}

// complete ends the response with data, which is the whole response unless part of it was sent before.
func (s *slot) complete(data []byte) {
	c := s.conn
	c.Release(s.statementBytes + s.reservedBytes)
	s.statementBytes = 0
	s.reservedBytes = 0
	s.requestID = ""
	s.flow = nil
	s.state = slotAnswered
	if c.lifetime.closed {
		return
	}
	if s.mustBuffer() {
		s.buffer(data)
	} else {
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

// startResponse starts a streamed response. Its source is paused while earlier responses are pending, and while the
// client has too much unread data.
func (s *slot) startResponse(data []byte, flow router.FlowController) {
	s.flow = flow
	if s.isFirst() && !s.conn.applyBackpressure() {
		s.send(data)
		return
	}
	flow.SetPaused(true)
	s.buffer(data)
}

// send sends the part of a streamed response that has arrived, once the response is the first.
func (s *slot) send(data []byte) {
	s.started = true
	s.conn.StartResponse(data, s.flow)
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

// truncate ends a streamed response that will not be completed. It closes the connection, since nothing else can signal
// the truncation to the client. If nothing of the response has been sent yet, the given error replaces it instead.
func (s *slot) truncate(replacement []byte) {
	s.requestID = ""
	if s.conn.lifetime.closed || s.started {
		s.conn.TruncateResponse()
		return
	}
	s.takeBuffered()
	s.complete(replacement)
}

// writeAnswered sends the responses that have no pending response before them. It stops while the client has too much
// unread data: many responses that become ready at once would exceed UnreadBytes, and a client that reads them slowly
// must still get all of them.
func (c *Conn) writeAnswered() {
	for c.mayWriteFirst() {
		s := c.pipeline.slots[0]
		data := s.takeBuffered()
		if s.state != slotAnswered {
			c.sendUnanswered(s, data)
			return
		}
		c.pipeline.removeFirst()
		c.write(data)
	}
}

func (c *Conn) mayWriteFirst() bool {
	return !c.pipeline.empty() && !c.lifetime.closed && !c.applyBackpressure()
}

// sendUnanswered sends the part that has arrived of the first response, if it is a streamed one that waited for others.
func (c *Conn) sendUnanswered(s *slot, data []byte) {
	c.Release(s.reservedBytes)
	s.reservedBytes = 0
	if s.flow == nil || s.started {
		return
	}
	s.send(data)
	if !c.lifetime.closed {
		c.resumeFlow(s.flow)
	}
}

// resume continues after a response: with the requests that waited for it, and with pipelined messages.
func (c *Conn) resume() {
	if c.lifetime.closed {
		return
	}
	c.lifetime.lastActiveAt = c.frontend.eventLoop.Now()
	if c.lifetime.closeWhenAnswered && c.pipeline.empty() {
		c.Close()
		return
	}
	sentAhead := c.pipeline.newestQueued() || c.input.reader.Buffered() > 0
	if sentAhead && c.socket.PeerClosed(true) {
		return // the client has disconnected: its pipelined requests are not started
	}
	c.acceptNewest()
	c.readMessages()
	c.accountInput()
	c.closeIfDraining()
}
