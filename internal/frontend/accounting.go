package frontend

// memoryUse is how many bytes are kept for the clients of all connections together.
type memoryUse struct {
	bufferedBytes  int // kept for clients, or come of what they may ask next
	pipelinedBytes int // sent ahead by clients that are owed a response
}

// used returns how much of the limit is taken. What clients send ahead takes half of the limit at the most, so that
// it can't displace those that ask one thing at a time.
func (m *memoryUse) used(limit int) int { return m.bufferedBytes + min(m.pipelinedBytes, limit/2) }

// byteAccount is the share of one connection in the memory that is in use.
type byteAccount struct {
	total              *memoryUse
	unparsedBytes      int  // received and not parsed yet
	countedAsPipelined bool // unparsedBytes are among the pipelined bytes, not the buffered ones
	reservedBytes      int  // kept for the handler, for requests in flight and for responses that wait
}

// setUnparsed counts the bytes that are not parsed yet.
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

// add counts bytes that are kept whatever the limit is. A negative number gives them back.
func (b *byteAccount) add(bytes int) {
	b.reservedBytes += bytes
	b.total.bufferedBytes += bytes
}

// releaseAll gives back everything.
func (b *byteAccount) releaseAll() {
	b.setUnparsed(0, false)
	b.add(-b.reservedBytes)
}

// Reserve counts bytes that are to be kept for the client, and reports whether there is room for them.
func (c *Conn) Reserve(bytes int) bool {
	limit := c.frontend.limits.Frontend.BufferedBytes
	if c.lifetime.closed || c.frontend.memory.used(limit)+bytes > limit {
		return false
	}
	c.memory.add(bytes)
	return true
}

// Release gives back bytes that Reserve has counted.
func (c *Conn) Release(bytes int) {
	if !c.lifetime.closed {
		c.memory.add(-bytes)
	}
}

// accountInput counts what waits to be parsed, and pauses the reading of what is too much. It bounds the memory
// against clients that send on and on without reading responses, and against all clients together: they wait until
// there is room.
func (c *Conn) accountInput() {
	if c.lifetime.closed {
		return
	}
	pipelined := c.owesResponse() || c.output.backpressured
	c.memory.setUnparsed(c.input.reader.Waiting(), pipelined)
	c.trackPartialMessage(pipelined)
	full := c.memoryExhausted(pipelined)
	if full && c.input.partial() {
		c.input.lastDataAt = c.frontend.eventLoop.Now() // it is not the client's fault that nothing more comes
	}
	tooFarAhead := pipelined && c.memory.unparsedBytes > c.frontend.limits.Frontend.PipelinedBytes
	c.socket.SetPaused(full || tooFarAhead)
	if full {
		c.frontend.hastenSweep() // the sweep looks whether there is room again
	}
}

// trackPartialMessage notes since when a part of a message waits for its rest. The time spent behind an earlier
// response is no stall of the client's.
func (c *Conn) trackPartialMessage(pipelined bool) {
	switch {
	case pipelined || c.memory.unparsedBytes == 0:
		c.input.partialSince = 0
	case !c.input.partial():
		c.input.partialSince = c.frontend.eventLoop.Now()
	}
}

// memoryExhausted reports whether no more is read of the client because the memory is taken.
func (c *Conn) memoryExhausted(pipelined bool) bool {
	if c.memory.unparsedBytes == 0 {
		return false
	}
	limit := c.frontend.limits.Frontend.BufferedBytes
	memory := &c.frontend.memory
	return memory.used(limit) > limit || pipelined && memory.pipelinedBytes > limit/2
}
