package transport

import (
	"time"

	"golang.org/x/sys/unix"
)

// arrivals tells when the bytes of a stream came. A request's time runs from then, however long its bytes wait to be looked at
// behind others.
//
// It is a list of marks, each the moment by which so many bytes of the stream had come. It is bounded: bytes that came within
// arrivalGrain share a mark, and where there would be more than arrivalsMost each two are made one. What is then told is the
// earlier moment, so that nobody is promised time that a peer does not have.
type arrivals struct {
	marks []mark
	told  int64 // bytes that came before the first mark: they have been asked for
}

type mark struct {
	upTo int64
	at   time.Duration
}

const (
	arrivalGrain = time.Millisecond // finer than any deadline, which the protocol gives in milliseconds
	arrivalsMost = 64
)

// came notes that the first upTo bytes of the stream have come by now.
func (a *arrivals) came(upTo int64, now time.Duration) {
	last := len(a.marks) - 1
	switch {
	case last < 0 && upTo <= a.told, last >= 0 && upTo <= a.marks[last].upTo:
		return
	case last >= 0 && now-a.marks[last].at < arrivalGrain:
		a.marks[last].upTo = upTo
		return
	}
	if a.marks = append(a.marks, mark{upTo, now}); len(a.marks) > arrivalsMost {
		for i := range len(a.marks) / 2 {
			a.marks[i] = mark{a.marks[2*i+1].upTo, a.marks[2*i].at}
		}
		if odd := len(a.marks) % 2; odd == 1 {
			a.marks[len(a.marks)/2] = a.marks[len(a.marks)-1]
			a.marks = a.marks[:len(a.marks)/2+1]
		} else {
			a.marks = a.marks[:len(a.marks)/2]
		}
	}
}

// at is when the byte at that place of the stream had come, the first being 1; what came before it is not asked for any more. ok is
// false where that is not known.
func (a *arrivals) at(place int64) (at time.Duration, ok bool) {
	for len(a.marks) > 0 && a.marks[0].upTo < place {
		a.told = a.marks[0].upTo
		a.marks = a.marks[1:]
	}
	if len(a.marks) == 0 {
		return 0, false
	}
	return a.marks[0].at, true
}

// CameAt is when the byte at that place of the stream had come to this machine, though it may have been looked at much later; the
// first byte's place is 1. Places are asked for in order. It is known of connections that were accepted.
func (c *Conn) CameAt(place int64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.arrived.at(place); ok {
		return at
	}
	return c.engine.loop.Now()
}

// arrive notes bytes that were read; c.mu is held.
func (c *Conn) arrive(n int) {
	c.got += int64(n)
	if c.stamped {
		c.arrived.came(c.got, c.engine.loop.Now())
	}
}

// unread notes what the system holds of a connection that is not read for now.
func (c *Conn) unread() {
	if !c.stamped {
		return
	}
	c.use(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			c.mu.Lock()
			c.arrived.came(c.got+int64(n), c.engine.loop.Now())
			c.mu.Unlock()
		}
	})
}

// early notes what came of a connection before it was accepted. While it waited for a place the system told nobody of its bytes; it does know
// how long ago the last of them came. Where it tells nothing, they count from now.
func (c *Conn) early() {
	if !c.stamped {
		return
	}
	c.use(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		if err != nil || n == 0 {
			return
		}
		now := c.engine.loop.Now()
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			now -= time.Duration(info.Last_data_recv) * time.Millisecond
		}
		c.mu.Lock()
		c.arrived.came(c.got+int64(n), now)
		c.mu.Unlock()
	})
}
