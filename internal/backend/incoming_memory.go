package backend

import "slices"

// incomingMemory bounds the memory for the responses that are being received and kept until they are complete. A
// response that needs more than a little reserves it when its length is known; until there is enough, its connection is
// not read. One endpoint may have half of the memory, so that one that sends slowly leaves the rest to others.
type incomingMemory struct {
	usedBytes int
	waiting   []*connection // that wait for memory, the longest first
}

// copiesOfResponse is how often the bytes of a response are in memory while it is being received: in the buffer of the
// connection's reader, and in the response.
const copiesOfResponse = 2

// awaitMemory reserves memory for the response whose next message has arrived in part, or pauses the connection until
// there is some. A response that has some is given more whatever there is, since it may be what others wait for.
func (c *connection) awaitMemory() {
	need := c.neededBytes()
	pool := c.endpoint.pool
	if need <= max(c.reservedBytes, pool.limits.Backend.UnreservedBytes) || c.paused {
		return
	}
	if c.reservedBytes > 0 || c.hasMemoryFor(need) {
		c.reserve(need)
		return
	}
	pool.incoming.waiting = append(pool.incoming.waiting, c)
	c.setPaused(true)
}

// neededBytes returns the memory that the response needs up to the end of the message that has arrived in part.
func (c *connection) neededBytes() int {
	if c.attempt == nil || c.incoming.streamedRow != nil {
		return 0
	}
	_, length, _, ok := c.reader.Incomplete()
	if !ok {
		return 0
	}
	limits := &c.endpoint.pool.limits.Backend
	if length > limits.StreamThresholdBytes && c.canStream() {
		length = limits.StreamStartBytes // the rest is not kept
	}
	return copiesOfResponse * (len(c.incoming.response.Messages) + length)
}

func (c *connection) hasMemoryFor(need int) bool {
	pool := c.endpoint.pool
	limit := pool.limits.Backend.IncomingBytes
	return pool.incoming.usedBytes+need <= limit && c.endpoint.incomingBytes+need <= limit/2
}

func (c *connection) reserve(bytes int) {
	c.endpoint.pool.incoming.usedBytes += bytes - c.reservedBytes
	c.endpoint.incomingBytes += bytes - c.reservedBytes
	c.reservedBytes = bytes
}

// releaseMemory releases the memory of a response that has ended or is not kept any more, and resumes connections that
// wait for some.
func (c *connection) releaseMemory() {
	incoming := &c.endpoint.pool.incoming
	if i := slices.Index(incoming.waiting, c); i >= 0 {
		incoming.waiting = slices.Delete(incoming.waiting, i, i+1)
	}
	if c.reservedBytes == 0 {
		return
	}
	c.reserve(0)
	for i := 0; i < len(incoming.waiting); {
		next := incoming.waiting[i]
		if !next.hasMemoryFor(next.neededBytes()) {
			i++
			continue
		}
		incoming.waiting = slices.Delete(incoming.waiting, i, i+1)
		next.reserve(next.neededBytes())
		next.setPaused(false)
	}
}
