package frontend

import "limeladder/internal/router"

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

// hasAnswered reports whether a complete response is first and only waits for the client to read more.
func (p *pipeline) hasAnswered() bool { return !p.empty() && p.slots[0].state == slotAnswered }

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

// enqueue adds a request to the pipeline, with s as the slot of its response, and submits it to the router as soon as
// the earlier requests permit it.
func (c *Conn) enqueue(s *slot, request router.Request, client responder) {
	c.addSlot(s, request, client)
	if c.input.rejecting {
		c.rejectForCapacity(s.request, client)
		return
	}
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

// writeAnswered sends the responses that have no pending response before them. It stops while the client has too much
// unread data: many responses that become ready at once would exceed UnreadBytes, and a client that reads them slowly
// must still get all of them.
func (c *Conn) writeAnswered() {
	for c.mayWriteFirst() {
		s := c.pipeline.slots[0]
		if s.state != slotAnswered {
			c.sendUnanswered(s)
			return
		}
		data := s.takeChunk()
		if s.buffered.empty() {
			c.pipeline.removeFirst()
		}
		c.write(data)
	}
}

func (c *Conn) mayWriteFirst() bool {
	return !c.pipeline.empty() && !c.lifetime.closed && !c.applyBackpressure()
}

// sendUnanswered sends the part that has arrived of the first response, if it is a streamed one that waited for others.
func (c *Conn) sendUnanswered(s *slot) {
	c.Release(s.reservedBytes)
	s.reservedBytes = 0
	if s.flow == nil || s.started || s.withheld {
		return
	}
	s.forwardStarted()
	if s.started && !c.lifetime.closed {
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
