package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"syscall"
	"time"
)

const (
	streamCell = 2

	// The value is as long as the pages allow, and the db machine spends seconds writing it.
	longValue  = 4 << 20
	pieceBytes = 64 << 10
	piecePause = 120 * time.Millisecond

	// The platform kills a router no sooner than the longest deadline and 0.7 s after SIGTERM; here it waits for long.
	killAfter = 20 * time.Second
)

// playStream: a db machine spends eight seconds writing a value of 4 MiB, the client takes all that comes, and the
// router gets SIGTERM one second after the answer has begun.
func playStream(r *rig) (breaks []string, err error) {
	log := newGroupLog()
	work := func(q request) (time.Duration, int) {
		if q.class == "audit-report" {
			return 50 * time.Millisecond, longValue
		}
		return 20 * time.Millisecond, 0
	}
	s1 := &machine{id: "s-1", zone: "eagle-farm", cell: streamCell, log: log, work: work}
	s2 := &machine{
		id: "s-2", zone: "springwood", cell: streamCell, log: log, work: work, pieceBytes: pieceBytes, piecePause: piecePause,
		lagBehind: func() time.Duration { return 10 * time.Millisecond },
	}
	report := reportClass
	report.limit = 3 * time.Second
	report.aim = time.Second
	at, err := r.startDeployment(settings("client", viewClass, report, jobClass), s1, s2)
	if err != nil {
		return nil, err
	}
	c, err := dialClient(at.router.address)
	if err != nil {
		return nil, err
	}
	defer c.close()
	time.Sleep(500 * time.Millisecond)
	id := nextID()
	r.record.note("client sends %s", id)
	if err := c.send(readStatement(id, "audit-report", report.limit, streamCell, "long")); err != nil {
		return nil, err
	}
	whole := make(chan error, 1)
	begun := make(chan struct{})
	go func() { whole <- r.takeLong(c, id, begun) }()
	select {
	case <-begun:
	case err := <-whole:
		return nil, fmt.Errorf("the answer did not begin: %w", err)
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("the answer did not begin")
	}
	time.Sleep(time.Second)
	if r.trouble {
		at.router.signal(syscall.SIGTERM)
		defer time.AfterFunc(killAfter, at.router.kill).Stop()
	}
	err = <-whole
	time.Sleep(200 * time.Millisecond)
	if err != nil {
		breaks = append(breaks, fmt.Sprintf("%s: %v", id, err))
	}
	return breaks, nil
}

// takeLong reads an answer of one long value and returns an error if it does not come whole.
func (r *rig) takeLong(c *client, id string, begun chan struct{}) error {
	started := false
	for {
		var head [5]byte
		if _, err := io.ReadFull(c.reader, head[:]); err != nil {
			return fmt.Errorf("the connection ended between messages: %w", err)
		}
		left := int(binary.BigEndian.Uint32(head[1:])) - 4
		size := left
		for left > 0 {
			n, err := c.reader.Read(make([]byte, min(left, 32<<10)))
			left -= n
			if err != nil {
				r.record.note("client has %d of %d bytes of %s, then: %v", size-left, size, id, err)
				return fmt.Errorf("the router ended the connection after %d of %d bytes: %w", size-left, size, err)
			}
			if head[0] == 'D' && !started {
				started = true
				r.record.note("the answer to %s has begun", id)
				close(begun)
			}
		}
		if head[0] == 'Z' {
			r.record.note("client has the whole answer to %s", id)
			return nil
		}
	}
}
