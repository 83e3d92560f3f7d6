package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	staleCell     = 2
	staleSessions = 20

	// A new db machine starts from a copy of this age, and applies the log at this multiple of the time it took.
	copyAge    = 5500 * time.Millisecond
	catchUp    = 2.5
	shippingMs = 10

	// Between a session's write and the arrival of the new machine in the list.
	writeToJoin = 2 * time.Second
)

// ownWrite is the last write of a session.
type ownWrite struct {
	value      string
	answeredAt time.Time
}

// playStale: sessions write, then a new replica joins that starts from a copy older than their writes, and each session
// reads its key. The router remembers the tokens, so an own_writes read must see the writes of its session.
func playStale(r *rig) (breaks []string, err error) {
	log := newGroupLog()
	work := func(q request) (time.Duration, int) {
		if q.write {
			return 20 * time.Millisecond, 0
		}
		return 15 * time.Millisecond, 0
	}
	near := func() time.Duration { return shippingMs * time.Millisecond }
	s1 := &machine{id: "s-1", zone: "eagle-farm", cell: staleCell, log: log, work: work}
	s2 := &machine{id: "s-2", zone: "springwood", cell: staleCell, log: log, work: work, lagBehind: near}
	s3 := &machine{id: "s-3", zone: "north-lakes", cell: staleCell, log: log, work: work, lagBehind: near}
	view := viewClass
	view.needs = "own_writes"
	at, err := r.startDeployment(settings("router", view, reportClass, jobClass), s1, s2, s3)
	if err != nil {
		return nil, err
	}
	stop := r.background(at.router.address)
	defer stop()

	time.Sleep(time.Second)
	written, err := writeAll(r, at.router.address)
	if err != nil {
		return nil, err
	}
	time.Sleep(writeToJoin)
	var s4 *machine
	if r.trouble {
		joined := time.Now()
		behind := func() time.Duration {
			left := copyAge - time.Duration((catchUp-1)*float64(time.Since(joined)))
			return max(near(), left)
		}
		s4 = &machine{id: "s-4", zone: "eagle-farm", cell: staleCell, log: log, work: work, lagBehind: behind}
		if err := r.startMachine(s4); err != nil {
			return nil, err
		}
		at.discovery.set(listed(s4, joined.UnixMilli()))
	}
	return readAll(r, at.router.address, written, 4*time.Second)
}

// background sends other sessions' reads and writes, as a small deployment has them, until stop is called.
func (r *rig) background(address string) (stop func()) {
	quit := make(chan struct{})
	var running sync.WaitGroup
	for i := range 4 {
		running.Add(1)
		go func() {
			defer running.Done()
			c, err := dialClient(address)
			if err != nil {
				return
			}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-quit:
					return
				case <-time.After(60 * time.Millisecond):
				}
				id, key := nextID(), fmt.Sprintf("other%d-%d", i, n)
				sql := readStatement(id, "queue-view", viewClass.limit, staleCell, key)
				if n%5 == 0 {
					sql = writeStatement(id, "submit-job", jobClass.limit, staleCell, key, "x")
				}
				if _, err := c.ask(sql, 4*time.Second); err != nil {
					return
				}
			}
		}()
	}
	return func() {
		close(quit)
		running.Wait()
	}
}

// writeAll lets each session write once and waits for all answers.
func writeAll(r *rig, address string) (map[string]ownWrite, error) {
	written := map[string]ownWrite{}
	c, err := dialClient(address)
	if err != nil {
		return nil, err
	}
	defer c.close()
	for i := range staleSessions {
		key, value, id := fmt.Sprintf("session%02d", i), fmt.Sprintf("own%02d", i), nextID()
		r.record.note("client sends %s, a write of session %s", id, key)
		a, err := c.ask(writeStatement(id, "submit-job", jobClass.limit, staleCell, key, value), 4*time.Second)
		if err != nil {
			return nil, err
		}
		r.record.note("client gets for %s: %v", id, a)
		if a.kind == "served" {
			written[key] = ownWrite{value: value, answeredAt: time.Now()}
		}
	}
	if len(written) < staleSessions/2 {
		return nil, fmt.Errorf("only %d of %d writes were served", len(written), staleSessions)
	}
	return written, nil
}

// readAll lets each session read its key again and again, and returns the reads that do not see the session's write.
func readAll(r *rig, address string, written map[string]ownWrite, length time.Duration) (breaks []string, err error) {
	var mu sync.Mutex
	var running sync.WaitGroup
	served := 0
	end := time.Now().Add(length)
	for key, own := range written {
		c, err := dialClient(address)
		if err != nil {
			return nil, err
		}
		running.Add(1)
		go func() {
			defer running.Done()
			defer c.close()
			for time.Now().Before(end) {
				id := nextID()
				sentAt := time.Now()
				a, err := c.ask(readStatement(id, "queue-view", viewClass.limit, staleCell, key), 4*time.Second)
				if err != nil {
					r.record.note("client lost its connection under %s: %v", id, err)
					return
				}
				r.record.note("client gets for %s, a read of session %s: %v", id, key, a)
				mu.Lock()
				if a.kind == "served" {
					served++
				}
				if a.kind == "served" && a.value != own.value {
					breaks = append(breaks, fmt.Sprintf(
						"read %s of session %s is served %q, %d ms after its write of %q was answered", id, key, a.value,
						sentAt.Sub(own.answeredAt).Milliseconds(), own.value))
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	running.Wait()
	if served == 0 {
		return nil, fmt.Errorf("no read was served")
	}
	r.record.note("%d reads were served, %d of them without the session's own write", served, len(breaks))
	return breaks, nil
}
