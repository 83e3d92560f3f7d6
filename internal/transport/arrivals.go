package transport

import (
	"time"

	"golang.org/x/sys/unix"
)

// arrivalLog tells when the bytes of a stream arrived. The time of a request runs from then, however long its bytes
// wait behind others to be looked at.
//
// It is a list of marks, each the moment by which so many bytes of the stream had arrived. It is bounded: bytes that
// came within arrivalResolution share a mark, and where there would be more than maxArrivalMarks each two are merged.
// The earlier moment is kept then, so that no request gets time that its client does not have.
type arrivalLog struct {
	marks     []arrivalMark
	forgotten int64 // bytes that came before the first mark: they have been asked for
}

// arrivalMark says that the first upTo bytes of the stream had arrived by a moment.
type arrivalMark struct {
	upTo      int64
	arrivedAt time.Duration
}

const (
	arrivalResolution = time.Millisecond // finer than any deadline, which the protocol gives in milliseconds
	maxArrivalMarks   = 64
)

// record notes that the first upTo bytes of the stream have arrived by now.
func (l *arrivalLog) record(upTo int64, now time.Duration) {
	if upTo <= l.recorded() {
		return
	}
	last := len(l.marks) - 1
	if last >= 0 && now-l.marks[last].arrivedAt < arrivalResolution {
		l.marks[last].upTo = upTo
		return
	}
	l.marks = append(l.marks, arrivalMark{upTo, now})
	if len(l.marks) > maxArrivalMarks {
		l.merge()
	}
}

// recorded is the number of bytes whose arrival has been noted.
func (l *arrivalLog) recorded() int64 {
	if len(l.marks) == 0 {
		return l.forgotten
	}
	return l.marks[len(l.marks)-1].upTo
}

// merge makes one mark of each two; an odd one at the end stays.
func (l *arrivalLog) merge() {
	count := len(l.marks)
	pairs := count / 2
	for i := range pairs {
		l.marks[i] = arrivalMark{upTo: l.marks[2*i+1].upTo, arrivedAt: l.marks[2*i].arrivedAt}
	}
	if count%2 == 0 {
		l.marks = l.marks[:pairs]
		return
	}
	l.marks[pairs] = l.marks[count-1]
	l.marks = l.marks[:pairs+1]
}

// lookup is when the byte at a place of the stream had arrived, the first being 1; what came before it is not asked
// for any more. ok is false where that is not known.
func (l *arrivalLog) lookup(place int64) (arrivedAt time.Duration, ok bool) {
	for len(l.marks) > 0 && l.marks[0].upTo < place {
		l.forgotten = l.marks[0].upTo
		l.marks = l.marks[1:]
	}
	if len(l.marks) == 0 {
		return 0, false
	}
	return l.marks[0].arrivedAt, true
}

// ArrivedAt is when the byte at a place of the stream arrived at this machine, on the loop's clock, though it may have
// been looked at much later; the first byte's place is 1. Places are asked for in order. It is known of connections
// that were accepted.
func (c *Conn) ArrivedAt(place int64) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if arrivedAt, ok := c.arrivals.lookup(place); ok {
		return arrivedAt
	}
	return c.engine.loop.Now()
}

// recordArrival notes that n more bytes were read; c.mutex is held.
func (c *Conn) recordArrival(n int) {
	c.bytesRead += int64(n)
	if c.recordsArrivals {
		c.arrivals.record(c.bytesRead, c.engine.loop.Now())
	}
}

// recordUnreadArrivals notes what the system holds of a connection that is not read for now.
func (c *Conn) recordUnreadArrivals() {
	if !c.recordsArrivals {
		return
	}
	c.withDescriptor(func(descriptor int) {
		if n, err := unix.IoctlGetInt(descriptor, unix.TIOCINQ); err == nil {
			c.mutex.Lock()
			c.arrivals.record(c.bytesRead+int64(n), c.engine.loop.Now())
			c.mutex.Unlock()
		}
	})
}

// recordEarlyArrivals notes what came of a connection before it was accepted. While it waited for a slot the system
// told nobody of its bytes; it does know how long ago the last of them came. Where it does not say, they count from
// now.
func (c *Conn) recordEarlyArrivals() {
	if !c.recordsArrivals {
		return
	}
	c.withDescriptor(func(descriptor int) {
		n, err := unix.IoctlGetInt(descriptor, unix.TIOCINQ)
		if err != nil || n == 0 {
			return
		}
		arrivedAt := c.engine.loop.Now()
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			arrivedAt -= time.Duration(info.Last_data_recv) * time.Millisecond
		}
		c.mutex.Lock()
		c.arrivals.record(c.bytesRead+int64(n), arrivedAt)
		c.mutex.Unlock()
	})
}
