package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const furtherCell = 2

func near() time.Duration { return 10 * time.Millisecond }

// twoMachines returns a primary and a replica whose requests take as long as work says.
func twoMachines(work func(q request) (time.Duration, int)) (primary, replica *machine) {
	log := newGroupLog()
	primary = &machine{id: "s-1", zone: "eagle-farm", cell: furtherCell, log: log, work: work}
	replica = &machine{id: "s-2", zone: "springwood", cell: furtherCell, log: log, work: work, lagBehind: near}
	return primary, replica
}

// playDrain: an operator drains the router while a client sends a request every 50 ms on its connection, each of which
// takes 120 ms. Four seconds after the call no connection may be held that carried a request within the last two.
func playDrain(r *rig) (breaks []string, err error) {
	s1, s2 := twoMachines(func(request) (time.Duration, int) { return 120 * time.Millisecond, 0 })
	if r.operator, err = freeAddress(); err != nil {
		return nil, err
	}
	at, err := r.startDeployment(settings("client", viewClass, reportClass, jobClass), s1, s2)
	if err != nil {
		return nil, err
	}
	c, err := dialClient(at.router.address)
	if err != nil {
		return nil, err
	}
	defer c.close()
	ended := make(chan struct{})
	var lastSent atomic.Int64
	go func() {
		defer close(ended)
		for {
			a, err := c.receive()
			r.record.note("client gets %v, %v", a, err)
			if err != nil {
				return
			}
		}
	}()
	go func() {
		for {
			id := nextID()
			r.record.note("client sends %s", id)
			lastSent.Store(time.Now().UnixNano())
			if c.send(readStatement(id, viewClass.name, viewClass.limit, furtherCell, "k")) != nil {
				return
			}
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ended:
				return
			}
		}
	}()
	time.Sleep(time.Second)
	if !r.trouble {
		return nil, nil
	}
	answer, err := http.Post("http://"+r.operator+"/v1/router/drain", "", nil)
	if err != nil {
		return nil, err
	}
	answer.Body.Close()
	r.record.note("drain is answered %s", answer.Status)
	select {
	case <-ended:
	case <-time.After(6 * time.Second):
		breaks = append(breaks, fmt.Sprintf("a connection is held 6 s after the drain, its last request came %v ago",
			time.Since(time.Unix(0, lastSent.Load())).Round(time.Millisecond)))
	}
	return breaks, nil
}

// playGone: a client sends much at once and closes its connection. No attempt may begin more than 0.1 s later.
// Connections to db machines come up late.
func playGone(r *rig) (breaks []string, err error) {
	s1, s2 := twoMachines(func(request) (time.Duration, int) { return 60 * time.Millisecond, 0 })
	late := func() time.Duration { return 220 * time.Millisecond }
	s1.startupDelay, s2.startupDelay = late, late
	at, err := r.startDeployment(settings("client", viewClass, reportClass, jobClass), s1, s2)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	c, err := dialClient(at.router.address)
	if err != nil {
		return nil, err
	}
	var p []byte
	for len(p) < 1<<20 {
		id := nextID()
		p = appendMessage(p, 'Q', writeStatement(id, jobClass.name, jobClass.limit, furtherCell, "k"+id, "x"), "\x00")
	}
	c.conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	n, err := c.conn.Write(p)
	r.record.note("client has sent %d of %d bytes: %v", n, len(p), err)
	if !r.trouble {
		time.Sleep(2 * time.Second)
		return nil, nil
	}
	c.close()
	closedAt := time.Now()
	r.record.note("client has closed its connection")
	time.Sleep(3 * time.Second)
	for _, a := range s1.received() {
		if after := a.at.Sub(closedAt); after > 150*time.Millisecond {
			breaks = append(breaks, fmt.Sprintf("%s comes to s-1 %d ms after its client has closed", a.id, after.Milliseconds()))
		}
	}
	return breaks, nil
}

// playBehind: a client sends a read of a long value and other reads right behind it. The db machine that gives the long
// value dies in the middle of it. The reads behind it are owed their answers.
func playBehind(r *rig) (breaks []string, err error) {
	work := func(q request) (time.Duration, int) {
		if strings.HasPrefix(q.key, "long") {
			return 30 * time.Millisecond, longValue
		}
		return 30 * time.Millisecond, 0
	}
	s1, s2 := twoMachines(work)
	s2.pieceBytes, s2.piecePause = pieceBytes, 100*time.Millisecond
	at, err := r.startDeployment(settings("client", viewClass, reportClass, jobClass), s1, s2)
	if err != nil {
		return nil, err
	}
	c, err := dialClient(at.router.address)
	if err != nil {
		return nil, err
	}
	defer c.close()
	time.Sleep(500 * time.Millisecond)
	var behind []string
	if err := c.send(readStatement(nextID(), viewClass.name, viewClass.limit, furtherCell, "long")); err != nil {
		return nil, err
	}
	for range 3 {
		behind = append(behind, nextID())
		sql := readStatement(behind[len(behind)-1], reportClass.name, reportClass.limit, furtherCell, "k")
		if err := c.send(sql); err != nil {
			return nil, err
		}
	}
	time.AfterFunc(time.Second, func() {
		if r.trouble {
			r.record.note("s-2 dies")
			s2.die()
		}
	})
	c.conn.SetReadDeadline(time.Now().Add(12 * time.Second))
	answered := 0
	for range 4 {
		a, err := c.receive()
		r.record.note("client gets %v, %v", a, err)
		if err != nil {
			break
		}
		answered++
	}
	came := map[string]bool{}
	for _, a := range append(s1.received(), s2.received()...) {
		came[a.id] = true
	}
	for i, id := range behind {
		if answered < i+2 {
			breaks = append(breaks, fmt.Sprintf("%s is never answered (came to a db machine: %v)", id, came[id]))
		}
	}
	return breaks, nil
}

// playUpgrade: a session writes through a process that is then replaced, and reads through its successor. Both count as
// one router. The replica in the router's zone is three seconds behind.
func playUpgrade(r *rig) (breaks []string, err error) {
	s1, s2 := twoMachines(func(request) (time.Duration, int) { return 20 * time.Millisecond, 0 })
	s1.zone, s2.zone = "springwood", "eagle-farm"
	s2.lagBehind = func() time.Duration { return 3 * time.Second }
	view := viewClass
	view.needs = "own_writes"
	if err := r.holdSocket(); err != nil {
		return nil, err
	}
	at, err := r.startDeployment(settings("router", view, reportClass, jobClass), s1, s2)
	if err != nil {
		return nil, err
	}
	own, err := r.writeOwn(at.router.address)
	if err != nil {
		return nil, err
	}
	if r.trouble {
		if _, err := r.startRouter(at.config); err != nil {
			return nil, err
		}
		at.router.terminate()
		<-at.router.ended
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	for key, value := range own {
		c, err := dialClient(at.router.address)
		if err != nil {
			return nil, err
		}
		running.Add(1)
		go func() {
			defer running.Done()
			defer c.close()
			id := nextID()
			a, err := c.ask(readStatement(id, view.name, view.limit, furtherCell, key), 3*time.Second)
			r.record.note("client gets for %s, a read of session %s: %v, %v", id, key, a, err)
			mu.Lock()
			defer mu.Unlock()
			if a.kind == "served" && a.value != value {
				breaks = append(breaks, fmt.Sprintf("read %s of session %s is served %q, not %q", id, key, a.value, value))
			}
		}()
	}
	running.Wait()
	return breaks, nil
}

// writeOwn lets ten sessions write.
func (r *rig) writeOwn(address string) (map[string]string, error) {
	c, err := dialClient(address)
	if err != nil {
		return nil, err
	}
	defer c.close()
	own := map[string]string{}
	for i := range 10 {
		key, value := fmt.Sprintf("session%02d", i), fmt.Sprintf("own%02d", i)
		a, err := c.ask(writeStatement(nextID(), jobClass.name, jobClass.limit, furtherCell, key, value), 4*time.Second)
		if err != nil {
			return nil, err
		}
		r.record.note("client gets for the write of session %s: %v", key, a)
		if a.kind == "served" {
			own[key] = value
		}
	}
	return own, nil
}

// playCopy: one answer in ten is followed by a second copy, 5 ms later. The pages say "directly behind", so this is no
// case: it shows what the router's rest of 2 ms after an answer rests on.
func playCopy(r *rig) (breaks []string, err error) {
	s1, s2 := twoMachines(func(request) (time.Duration, int) { return 5 * time.Millisecond, 0 })
	if r.trouble {
		s1.copyPause, s2.copyPause = 5*time.Millisecond, 5*time.Millisecond
	}
	at, err := r.startDeployment(settings("client", viewClass, reportClass, jobClass), s1, s2)
	if err != nil {
		return nil, err
	}
	seen := &breakList{}
	end := time.Now().Add(5 * time.Second)
	var running sync.WaitGroup
	for range 8 {
		c, err := dialClient(at.router.address)
		if err != nil {
			return nil, err
		}
		running.Add(1)
		go func() {
			defer running.Done()
			defer c.close()
			for time.Now().Before(end) {
				id := nextID()
				value := "v" + id
				sql := writeStatement(id, jobClass.name, jobClass.limit, furtherCell, "k"+id, value)
				a, err := c.ask(sql, 4*time.Second)
				r.record.note("client gets for %s: %v, %v", id, a, err)
				if err != nil {
					return
				}
				if a.kind == "served" && a.value != value {
					seen.add("%s is served %q", id, a.value)
				}
				time.Sleep(3 * time.Millisecond)
			}
		}()
	}
	running.Wait()
	r.record.note("%d requests, %d of them with the value of another", requestCount.Load(), len(seen.all))
	return seen.all, nil
}
