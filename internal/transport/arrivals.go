package transport

import (
	"time"

	"golang.org/x/sys/unix"
)

// arrivalLog records when the bytes of a stream arrived. The time limit of a request starts when its bytes arrive,
// however long they wait to be processed.
//
// It is a list of marks, each with the time by which a number of bytes of the stream had arrived. The list is bounded:
// bytes that arrive within arrivalResolution share a mark, and when there are more than maxArrivalMarks, each two
// adjacent marks are merged. A merged mark keeps the earlier time, so that no request gets more time than its client
// allows.
type arrivalLog struct {
	marks    []arrivalMark
	lookedUp int64         // bytes before the first mark, whose arrival was looked up already
	newestAt time.Duration // when the newest byte arrived, 0 = none has
}

// arrivalMark records that the first upTo bytes of the stream had arrived by arrivedAt.
type arrivalMark struct {
	upTo      int64
	arrivedAt time.Duration
}

const (
	arrivalResolution = time.Millisecond // the protocol has deadlines in milliseconds, so none is finer
	maxArrivalMarks   = 64
)

// record records that the first upTo bytes of the stream have arrived by now.
func (l *arrivalLog) record(upTo int64, now time.Duration) {
	if upTo <= l.recorded() {
		return
	}
	l.newestAt = now
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

// recorded returns the number of bytes whose arrival has been recorded.
func (l *arrivalLog) recorded() int64 {
	if len(l.marks) == 0 {
		return l.lookedUp
	}
	return l.marks[len(l.marks)-1].upTo
}

// merge merges each two adjacent marks into one. If their number is odd, the last one stays as it is.
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

// lookup returns the time by which the byte at a position of the stream had arrived; the first byte has position 1.
// Marks before it are dropped, so positions must be looked up in order. ok is false if the arrival is not recorded.
func (l *arrivalLog) lookup(position int64) (arrivedAt time.Duration, ok bool) {
	for len(l.marks) > 0 && l.marks[0].upTo < position {
		l.lookedUp = l.marks[0].upTo
		l.marks = l.marks[1:]
	}
	if len(l.marks) == 0 {
		return 0, false
	}
	return l.marks[0].arrivedAt, true
}

// ArrivedAt returns when the byte at a position of the stream arrived at this machine, on the loop's clock, even if it
// was read much later. The first byte has position 1, and positions must be looked up in order. Arrivals are recorded
// for accepted connections only; where none is recorded, ArrivedAt returns the current time.
func (c *Conn) ArrivedAt(position int64) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if arrivedAt, ok := c.arrivals.lookup(position); ok {
		return arrivedAt
	}
	return c.engine.loop.Now()
}

// LastArrivalAt returns when the newest byte from the peer arrived at this machine, on the loop's clock, whether or not
// it was processed. It is 0 if none has arrived, or if arrivals are not recorded.
func (c *Conn) LastArrivalAt() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.arrivals.newestAt
}

// recordArrival records that n more bytes were read. The caller holds c.mutex.
func (c *Conn) recordArrival(n int) {
	c.bytesRead += int64(n)
	if c.recordsArrivals {
		c.arrivals.record(c.bytesRead, c.engine.loop.Now())
	}
}

// recordUnreadArrivals records the arrival of the bytes in the system's buffer while the connection is not being read.
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

// recordArrivalsBeforeAccept records the arrival of the bytes that were received before the connection was accepted.
// While the connection waited for a slot nobody was notified of them, but TCP_INFO has the time since the last of them
// arrived. If TCP_INFO is not available, the current time is recorded.
func (c *Conn) recordArrivalsBeforeAccept() {
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
