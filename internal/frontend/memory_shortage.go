package frontend

import (
	"cmp"
	"slices"
	"time"

	"limeladder/internal/router"
)

// truncatedBodyBytes is how much of the body of a rejected message is kept, in bytes. The request comment is at its
// beginning.
const truncatedBodyBytes = 1 << 10

// rejectWaitingMessages truncates incomplete messages that have waited for memory for too long, until memory is
// available. Nothing else ends the wait while all of the memory is occupied by incomplete messages whose reading is
// paused. A client whose message is truncated is told to retry it, once the whole message has arrived; its connection
// stays open. Clients whose data arrived the longest time ago come first, since they may never continue.
func (f *Frontend) rejectWaitingMessages(now time.Duration) {
	var waiting []*Conn
	for c := range f.connections {
		if c.waitsTooLongForMemory(now) {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *Conn) int {
		return cmp.Compare(a.socket.LastArrivalAt(), b.socket.LastArrivalAt())
	})
	for _, c := range waiting {
		if c.memoryExhausted() {
			c.truncateMessage()
		}
	}
}

// waitsTooLongForMemory reports whether the connection has an incomplete message that has waited for memory for longer
// than MemoryWaitTimeout.
func (c *Conn) waitsTooLongForMemory(now time.Duration) bool {
	if c.input.waitingSince == 0 || now-c.input.waitingSince < c.frontend.limits.Frontend.MemoryWaitTimeout {
		return false
	}
	_, _, _, incomplete := c.input.reader.Incomplete()
	return incomplete
}

// truncateMessage frees the memory of an incomplete message. The rest of it is read and discarded.
func (c *Conn) truncateMessage() {
	if !c.input.reader.Truncate(truncatedBodyBytes) {
		return
	}
	c.frontend.logger.Debug("message truncated: memory is short", "buffered_bytes", c.memory.unparsedBytes)
	c.accountInput()
}

// resumeInput lets the connections that wait for memory continue if there is some, and reports whether any of them
// still waits.
func (f *Frontend) resumeInput() (waiting bool) {
	for c := range f.connections {
		if c.memory.unparsedBytes == 0 {
			continue
		}
		c.accountInput()
		waiting = waiting || c.memoryExhausted()
	}
	return waiting
}

// hasRoomForResponse reports whether a response may be kept until its client has read more. Such responses of all
// connections may take half of the memory for clients.
func (c *Conn) hasRoomForResponse(bytes int) bool {
	limit := c.frontend.limits.Frontend.BufferedBytes
	memory := c.frontend.memory
	return memory.used(limit)+memory.unsentBytes+bytes <= limit/2
}

// HasRoomToSend reports whether a response may be sent although the client has not read what was sent before.
func (c *Conn) HasRoomToSend(bytes int) bool {
	return bytes <= c.frontend.limits.Frontend.LowWaterBytes || !c.readsSlowly() || c.hasRoomForResponse(bytes)
}

// rejectForCapacity answers a request that there is no memory to keep.
func (c *Conn) rejectForCapacity(request router.Request, client responder) {
	c.RecordCapacityRejection(request)
	client.rejectInvalid(errNoCapacity)
}

// RecordCapacityRejection records the rejection of a request that there is no memory to keep. Its client is answered
// with CapacityError.
func (c *Conn) RecordCapacityRejection(request router.Request) {
	c.frontend.router.RecordRejection(request, capacityRetryAfter)
}
