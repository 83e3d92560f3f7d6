package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The news of discovery binds both processes of a replacement from 2 s after the new one says that it takes clients.
// The check leaves the grace of a drain after that.
const (
	newsBinds  = 2 * time.Second
	drainGrace = 2 * time.Second
	readsFor   = 7 * time.Second
)

// playHandover: the router was told that s-3 drains. A first successor is killed, then discovery goes down, and another
// successor takes over. It must send nothing to s-3 either.
func playHandover(r *rig) (breaks []string, err error) {
	s1, s2 := twoMachines(func(request) (time.Duration, int) { return 20 * time.Millisecond, 0 })
	s1.zone = "springwood"
	s3 := &machine{id: "s-3", zone: "eagle-farm", cell: furtherCell, log: s1.log, work: s1.work, lagBehind: near}
	if err := r.holdSocket(); err != nil {
		return nil, err
	}
	at, err := r.startDeployment(settings("client", viewClass, reportClass, jobClass), s1, s2, s3)
	if err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	drains := listed(s3, 0)
	drains.State = "draining"
	at.discovery.set(drains)
	time.Sleep(time.Second)
	first, err := r.startRouter(at.config)
	if err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	first.signal(syscall.SIGKILL)
	<-first.ended
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		at.discovery.stop()
	}
	second, err := r.startRouter(at.config)
	if err != nil {
		return nil, err
	}
	saidYes := time.Now()
	at.router.terminate()
	<-at.router.ended
	r.readFor(second.address, readsFor)
	for _, a := range s3.received() {
		if after := a.at.Sub(saidYes); after > newsBinds+drainGrace+slack {
			said := fmt.Sprintf("%s comes to s-3 %d ms after the new process said yes", a.id, after.Milliseconds())
			breaks = append(breaks, said)
		}
	}
	return breaks, nil
}

// readFor sends reads on four connections for a time.
func (r *rig) readFor(address string, length time.Duration) {
	var running sync.WaitGroup
	for range 4 {
		running.Add(1)
		go func() {
			defer running.Done()
			r.askFor(address, length)
		}()
	}
	running.Wait()
}
