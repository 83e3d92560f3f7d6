package frontend

import (
	"time"

	"limeladder/internal/router"
)

// pipeline holds the responses that are owed on one connection, in the order of their requests.
//
// Requests that a client sends without waiting for responses are in flight concurrently, and their responses leave in
// the order of the requests. A slow one delays the responses behind it, as the protocol demands, but not the work:
// each request is decided within its own client's deadline.
//
// The effect is that of requests run one after the other. A write begins once all requests before it on the
// connection are answered, and a read that has to see what was written before it waits for those writes. Other reads
// wait for nothing.
type pipeline struct {
	slots        []*slot
	backlogBytes int // of responses that wait for others
}

func (p *pipeline) empty() bool { return len(p.slots) == 0 }

// newest returns the last slot, nil if there is none.
func (p *pipeline) newest() *slot {
	if p.empty() {
		return nil
	}
	return p.slots[len(p.slots)-1]
}

// newestQueued reports whether the last request waits for others. At most the last one does, since nothing is read
// behind it.
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

// slot is the place of one response in a connection's pipeline.
type slot struct {
	conn      *Conn
	request   router.Request
	responder responder
	ordering  router.Ordering
	state     slotState
	textOnly  bool   // it answers no request
	requestID string // the router's name for the request, "" = the router doesn't have it

	statementBytes int    // of the request
	reservedBytes  int    // for the response, as others stand before it
	buffered       []byte // the response, or the part that has come, while others stand before it
	bufferedBytes  int    // what is counted for it

	flow    router.FlowController // source of a streamed response
	started bool                  // a part of the response has been sent
}

type slotState int

const (
	slotQueued slotState = iota // for other requests of its connection
	slotInFlight
	slotAnswered
)

// responder is the client of a request who can also be told that the request is invalid.
type responder interface {
	router.Client
	rejectInvalid(err error)
}

// slotOverheadBytes is what a slot with a buffered response costs beside its bytes.
const slotOverheadBytes = 256

// enqueue adds a request to the pipeline, with s as the place of its response, and hands it to the router as soon as
// the requests before it let it.
func (c *Conn) enqueue(s *slot, request router.Request, client responder) {
	request.Tenant = c.identity.user
	request.ClientAddress = c.identity.address
	*s = slot{
		conn:      c,
		request:   request,
		responder: client,
		ordering:  c.frontend.router.OrderingOf(request.Class),
	}
	c.pipeline.add(s)
	statementBytes := c.input.messageBytes
	if !c.Reserve(statementBytes) {
		c.frontend.router.RecordRejection(request, capacityRetryAfter)
		client.rejectInvalid(errNoCapacity)
		return
	}
	s.statementBytes = statementBytes
	c.acceptNewest()
}

// acceptNewest hands the newest request to the router if it waits and no longer has to.
func (c *Conn) acceptNewest() {
	if !c.pipeline.newestQueued() {
		return
	}
	s := c.pipeline.newest()
	if !c.mayBegin(s) {
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

// mayBegin reports whether a request may be in flight beside those before it, and reserves memory for its response.
func (c *Conn) mayBegin(s *slot) bool {
	before, ok := c.pipeline.concurrentWith(s)
	if !ok || before == 0 {
		return ok
	}
	lim := &c.frontend.limits
	if before >= lim.Frontend.ConcurrentRequests {
		return false
	}
	// With half of the memory taken, a request that was sent ahead waits until it is the first, so that pipelined
	// requests leave memory, and places for requests, to other connections.
	limit := lim.Frontend.BufferedBytes
	responseBytes := lim.Backend.StreamThresholdBytes
	if c.frontend.memory.used(limit)+responseBytes > limit/2 || !c.Reserve(responseBytes) {
		return false
	}
	s.reservedBytes = responseBytes
	return true
}

// dependsOn reports whether the request may not begin before an earlier one is answered.
func (s *slot) dependsOn(earlier *slot) bool {
	if s.ordering.Writes || earlier.ordering.Writes && s.mustSeeWritesOf(earlier) {
		return true
	}
	// The router takes one request at a time under one label.
	return s.request.ClientRequestID != "" && s.request.ClientRequestID == earlier.request.ClientRequestID
}

func (s *slot) mustSeeWritesOf(earlier *slot) bool {
	if s.ordering.ReadsAllWrites {
		return true
	}
	return s.ordering.ReadsOwnWrites && s.request.Session == earlier.request.Session
}

// isFirst reports whether no response stands before this one.
func (s *slot) isFirst() bool { return !s.conn.pipeline.empty() && s.conn.pipeline.slots[0] == s }

// buffer adds to what waits for the responses before it.
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

// takeBuffered returns what was buffered and gives its memory back.
func (s *slot) takeBuffered() []byte {
	data := s.buffered
	s.buffered = nil
	s.conn.pipeline.backlogBytes -= s.bufferedBytes
	s.conn.Release(s.bufferedBytes)
	s.bufferedBytes = 0
	return data
}

// Disconnected implements router.Client.
func (s *slot) Disconnected(look bool) bool { return s.conn.Disconnected(look) }

// Committed implements router.CommitObserver.
func (s *slot) Committed(position time.Duration) {
	s.conn.commits.record(s.request.Session, s.request.Group, position)
}

// complete ends the response with data, which is the whole of it unless a part was sent before.
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
		c.output.flow = nil
		c.pipeline.removeFirst()
		c.write(data)
		c.writeAnswered()
	}
	c.resume()
}

// mustBuffer reports whether the response can't be sent now. One of which a part was sent is not held up at its end.
func (s *slot) mustBuffer() bool {
	return !s.isFirst() || !s.started && s.conn.applyBackpressure()
}

// startResponse begins a response that is streamed as it comes. Its source is paused while other responses stand
// before it, and while the client has much to read.
func (s *slot) startResponse(data []byte, flow router.FlowController) {
	s.flow = flow
	if s.isFirst() && !s.conn.applyBackpressure() {
		s.send(data)
		return
	}
	flow.SetPaused(true)
	s.buffer(data)
}

// send sends what has come of a streamed response once it is the first.
func (s *slot) send(data []byte) {
	s.started = true
	s.conn.StartResponse(data, s.flow)
}

// ResponsePart implements router.Client. What the source had under way when it was paused is buffered.
func (s *slot) ResponsePart(data []byte) {
	switch {
	case s.conn.lifetime.closed:
	case s.started:
		s.conn.WriteResponsePart(data)
	default:
		s.buffer(data)
	}
}

// truncate ends a streamed response that will not become complete. Only the end of the connection can say so, unless
// nothing of the response was sent yet: then the given error takes its place.
func (s *slot) truncate(replacement []byte) {
	s.requestID = ""
	if s.conn.lifetime.closed || s.started {
		s.conn.TruncateResponse()
		return
	}
	s.takeBuffered()
	s.complete(replacement)
}

// writeAnswered sends the responses that no other one stands before. It stops while the client has much to read, since
// many responses that became ready at once would exceed UnreadBytes: a client that reads them slowly gets them all.
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

// sendUnanswered sends what has come of the first response, if it is a streamed one that waited for others.
func (c *Conn) sendUnanswered(s *slot, data []byte) {
	c.Release(s.reservedBytes)
	s.reservedBytes = 0
	if s.flow == nil || s.started {
		return
	}
	s.send(data)
	if !c.lifetime.closed && c.socket.BytesUnsent() <= c.frontend.limits.Frontend.HighWaterBytes {
		s.flow.SetPaused(false)
	}
}

// resume goes on behind a response: with the requests that waited for it, and with what was sent ahead.
func (c *Conn) resume() {
	if c.lifetime.closed {
		return
	}
	c.lifetime.lastActiveAt = c.frontend.eventLoop.Now()
	if c.lifetime.closeWhenAnswered && c.pipeline.empty() {
		c.Close()
		return
	}
	sentAhead := c.pipeline.newestQueued() || c.input.reader.Waiting() > 0
	if sentAhead && c.socket.PeerClosed(true) {
		return // the client has gone: nothing of what it sent ahead is begun
	}
	c.acceptNewest()
	c.readMessages()
	c.accountInput()
	c.closeIfDraining()
}
