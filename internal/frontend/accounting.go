package frontend

// memoryUse is the number of bytes that are kept for the clients of all connections together.
type memoryUse struct {
	bufferedBytes  int // reserved for clients, or received and not parsed yet
	pipelinedBytes int // received from clients that still have a response pending
	refusedBytes   int // largest reservation that was refused since the last sweep
}

// clientMemory is the memory for the clients of all listeners.
type clientMemory struct {
	memoryUse
	unsentBytes int // of responses, counted at the last sweep, with what was added since then
	streamCount int // connections to which a response is being streamed
	collector   collector
}

// used returns how many bytes count towards the limit. Pipelined bytes count for at most half of the limit, so that
// they can't displace clients that send one request at a time.
func (m *memoryUse) used(limit int) int { return m.bufferedBytes + min(m.pipelinedBytes, limit/2) }

// exhausted reports whether the limit is exceeded, or would be with a reservation that was refused.
func (m *memoryUse) exhausted(limit int) bool { return m.used(limit)+m.refusedBytes > limit }

// byteAccount is the memory in use by one connection.
type byteAccount struct {
	total              *memoryUse
	unparsedBytes      int  // memory of the reader, for bytes that are received and not parsed yet
	countedAsPipelined bool // unparsedBytes count as pipelined bytes, not as buffered ones
	reservedBytes      int  // reserved by the handler, for requests in flight and for buffered responses
}

// setUnparsed sets the number of bytes that are not parsed yet.
func (b *byteAccount) setUnparsed(bytes int, pipelined bool) {
	*b.unparsedTotal() -= b.unparsedBytes
	b.unparsedBytes = bytes
	b.countedAsPipelined = pipelined
	*b.unparsedTotal() += bytes
}

func (b *byteAccount) unparsedTotal() *int {
	if b.countedAsPipelined {
		return &b.total.pipelinedBytes
	}
	return &b.total.bufferedBytes
}

// add counts bytes that are kept whatever the limit is. A negative number releases them.
func (b *byteAccount) add(bytes int) {
	b.reservedBytes += bytes
	b.total.bufferedBytes += bytes
}

// releaseAll releases all memory of the connection.
func (b *byteAccount) releaseAll() {
	b.setUnparsed(0, false)
	b.add(-b.reservedBytes)
}

// Reserve counts bytes to be kept for the client, and reports whether the memory limit permits them. It permits
// ReservedInputBytes of each connection in any case: a short request must be answered, whatever other clients occupy.
func (c *Conn) Reserve(bytes int) bool {
	if c.lifetime.closed {
		return false
	}
	limit := c.frontend.limits.Frontend.BufferedBytes
	memory := c.frontend.memory
	isShort := c.memory.reservedBytes+bytes <= c.frontend.limits.Frontend.ReservedInputBytes
	if !isShort && memory.used(limit)+bytes > limit {
		memory.refusedBytes = max(memory.refusedBytes, bytes)
		c.frontend.sweepSoon() // the sweep rejects incomplete messages that occupy the memory
		return false
	}
	c.memory.add(bytes)
	return true
}

// Release releases bytes that were counted by Reserve.
func (c *Conn) Release(bytes int) {
	if !c.lifetime.closed {
		c.memory.add(-bytes)
	}
}

// accountInput counts the bytes that are not parsed yet, and pauses reading when they are too many. It limits the
// memory for clients that keep sending without reading responses, and for all clients together: they wait until memory
// is available, or until rejectWaitingMessages ends the wait.
func (c *Conn) accountInput() {
	if c.lifetime.closed {
		return
	}
	if c.owesResponse() && c.isTooFarAhead() {
		c.rejectSentAhead()
	}
	pipelined := c.owesResponse() || c.output.backpressured
	c.input.reader.Compact()
	c.memory.setUnparsed(c.input.reader.HeldBytes(), pipelined)
	c.trackPartialMessage(pipelined)
	waits := c.memoryExhausted()
	if waits {
		c.input.trackMemoryWait(c.frontend.eventLoop.Now())
		c.frontend.sweepSoon() // the sweep checks whether memory is available again
	}
	tooFarAhead := pipelined && c.isTooFarAhead()
	c.socket.SetPaused(waits || tooFarAhead || c.input.yielded || c.streamsResponse())
}

// trackPartialMessage records when the first part of an incomplete message arrived. Time spent waiting for an earlier
// response does not count as a stall of the client.
func (c *Conn) trackPartialMessage(pipelined bool) {
	switch {
	case pipelined || c.input.reader.Buffered() == 0:
		c.input.partialSince = 0
	case !c.input.partial():
		c.input.partialSince = c.frontend.eventLoop.Now()
	}
}

// memoryExhausted reports whether reading from the client has to stop because the memory limit is reached. It never
// stops at ReservedInputBytes or less: a short request must be read and answered, whatever other clients occupy. A
// startup message is limited to StartupBytes.
func (c *Conn) memoryExhausted() bool {
	lim := &c.frontend.limits.Frontend
	if !c.lifetime.started || c.memory.unparsedBytes <= lim.ReservedInputBytes {
		return false
	}
	memory := c.frontend.memory
	if memory.exhausted(lim.BufferedBytes) {
		return true
	}
	return c.memory.countedAsPipelined && memory.pipelinedBytes > lim.BufferedBytes/2
}
