package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	stallCell = 2

	// Bad clients announce a statement of this length, send this much of it, and stay.
	stallClients   = 12
	announcedBytes = 1_000_000
	sentBytes      = 900_000

	// Usual clients write their requests in two pieces.
	betweenPieces = 50 * time.Millisecond
	usualClients  = 6

	// What the pages allow: an answer this long after its request's time is late and not lost (with the 50 ms that each
	// time limit grows by). The time that a bad client is owed its error or close in is noted in the record only.
	lateNotLost = 500 * time.Millisecond
	slack       = 50 * time.Millisecond
	badIsOwed   = 3 * time.Second

	// How long the run waits for an answer at most.
	patience = 25 * time.Second
)

// breakList collects breaks from several goroutines.
type breakList struct {
	mu  sync.Mutex
	all []string
}

func (b *breakList) add(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, fmt.Sprintf(format, args...))
}

// playStall: some bad clients stop in the middle of a request and stay, while usual clients ask on.
func playStall(r *rig) (breaks []string, err error) {
	log := newGroupLog()
	work := func(request) (time.Duration, int) { return 60 * time.Millisecond, 0 }
	s1 := &machine{id: "s-1", zone: "eagle-farm", cell: stallCell, log: log, work: work}
	s2 := &machine{
		id: "s-2", zone: "springwood", cell: stallCell, log: log, work: work,
		lagBehind: func() time.Duration { return 10 * time.Millisecond },
	}
	r.memory = 64
	at, err := r.startDeployment(settings("client", viewClass, reportClass, jobClass), s1, s2)
	if err != nil {
		return nil, err
	}
	seen := &breakList{}
	var running sync.WaitGroup
	for i := range usualClients {
		c, err := dialClient(at.router.address)
		if err != nil {
			return nil, err
		}
		running.Add(1)
		go func() {
			defer running.Done()
			defer c.close()
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			r.askInPieces(c, fmt.Sprintf("usual client %d", i), seen)
		}()
	}
	if r.trouble {
		time.Sleep(time.Second)
		for i := range stallClients {
			running.Add(1)
			go func() {
				defer running.Done()
				r.stopInTheMiddle(at.router.address, fmt.Sprintf("bad client %d", i))
			}()
		}
	}
	running.Wait()
	return seen.all, nil
}

// askInPieces sends twelve requests one after the other, each in two pieces. The time of each answer counts from the
// request's last byte.
func (r *rig) askInPieces(c *client, who string, seen *breakList) {
	for n := range 12 {
		id := nextID()
		limit := viewClass.limit
		sql := readStatement(id, viewClass.name, limit, stallCell, "k")
		if n%4 == 3 {
			limit = jobClass.limit
			sql = writeStatement(id, jobClass.name, limit, stallCell, "k"+id, "x")
		}
		p := appendMessage(nil, 'Q', sql, "\x00")
		if _, err := c.conn.Write(p[:len(p)/2]); err != nil {
			r.record.note("%s: its connection has ended before it had sent %s: %v", who, id, err)
			return
		}
		time.Sleep(betweenPieces)
		if _, err := c.conn.Write(p[len(p)/2:]); err != nil {
			r.record.note("%s: its connection has ended before it had sent %s: %v", who, id, err)
			return
		}
		sentAt := time.Now()
		r.record.note("%s has sent %s, d=%d", who, id, limit.Milliseconds())
		c.conn.SetReadDeadline(time.Now().Add(patience))
		a, err := c.receive()
		took := time.Since(sentAt)
		r.record.note("%s gets for %s after %d ms: %v, %v", who, id, took.Milliseconds(), a, err)
		switch {
		case err != nil:
			seen.add("%s: %s has no answer %d ms after it was sent whole: %v", who, id, took.Milliseconds(), err)
			return
		case took > limit+lateNotLost+slack:
			seen.add("%s: %s with a time of %d ms is answered (%v) after %d ms", who, id, limit.Milliseconds(), a,
				took.Milliseconds())
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// stopInTheMiddle is a bad client: it sends a part of a request and waits for its error or close.
func (r *rig) stopInTheMiddle(address, who string) {
	connectedAt := time.Now()
	c, err := dialClient(address)
	if err != nil {
		r.record.note("%s: its connection was closed at once: %v", who, err)
		return
	}
	defer c.close()
	n, err := c.conn.Write(partOfWrite(stallCell, announcedBytes, sentBytes))
	r.record.note("%s has sent %d of %d bytes: %v", who, n, announcedBytes, err)
	c.conn.SetReadDeadline(time.Now().Add(patience))
	a, err := c.receive()
	took := time.Since(connectedAt)
	r.record.note("%s gets its error or close %d ms after it has connected (it is owed it within %d ms): %v, %v", who,
		took.Milliseconds(), badIsOwed.Milliseconds(), a, err)
}
