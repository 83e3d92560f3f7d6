package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// When things happen, counted from the death of the primary.
const (
	takeoverAt = 4 * time.Second  // given up after 1 to 3 s, and a successor 1 to 3.5 s later
	returnAt   = 15 * time.Second // the dead machine comes back as a replica
	judgedFrom = 20 * time.Second
	judgedTime = 20 * time.Second
)

// successorNeverFound: the primary dies where writes are held through a change of primary, and where the settings allow
// no probes. A replica takes over.
func successorNeverFound(w *world) error {
	machines, list, err := w.newBank("s-1", "s-2", "s-3", "s-4")
	if err != nil {
		return err
	}
	for _, m := range machines {
		m.forbidProbes()
	}
	r, err := w.newRouter("n1", list.addr, "[changeover]\nclasses = [\"submit-job\"]\n")
	if err != nil {
		return err
	}
	r.noProbes = true
	if err := r.start(); err != nil {
		return err
	}
	stop := w.sendReads(r)
	defer stop()
	before := w.sendJobs(r, "before", 4*time.Second)
	if before.served == 0 {
		return errNotServed
	}
	if w.trouble {
		machines[0].die()
		time.AfterFunc(takeoverAt, machines[1].promote)
		time.AfterFunc(returnAt, machines[0].restartAsReplica)
	}
	diedAt := time.Now()
	w.sendJobs(r, "change", judgedFrom-4*time.Second)
	time.Sleep(time.Until(diedAt.Add(judgedFrom)))
	after := w.sendJobs(r, "after", judgedTime)
	_, state := r.call("GET", "/v1/cells")
	w.logf("/v1/cells: %s", state)
	probes := 0
	for _, m := range machines {
		probes += m.probesReceived()
	}
	w.logf("the machines got %d probes, which the settings forbid", probes)
	if after.served == 0 {
		return brokenf("none of %d jobs sent later than %v behind the takeover was delivered",
			after.sent, judgedFrom-takeoverAt)
	}
	return nil
}

// tally counts jobs.
type tally struct{ sent, served int }

// sendJobs sends jobs, five a second, for some time. It returns when the last one is answered.
func (w *world) sendJobs(r *router, name string, length time.Duration) tally {
	var served atomic.Int64
	sent := 0
	answered := make(chan struct{})
	for end := time.Now().Add(length); time.Now().Before(end); sent++ {
		id := fmt.Sprintf("%s-%d", name, sent)
		go func() {
			if got := w.ask(r.listen, id, writeClass, 3*time.Second); got.value != "" {
				served.Add(1)
			}
			answered <- struct{}{}
		}()
		time.Sleep(200 * time.Millisecond)
	}
	for range sent {
		<-answered
	}
	w.logf("%s: %d of %d jobs served", name, served.Load(), sent)
	return tally{sent: sent, served: int(served.Load())}
}

// sendReads sends reads, ten a second, until stop is called.
func (w *world) sendReads(r *router) (stop func()) {
	quit := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-time.After(100 * time.Millisecond):
				w.ask(r.listen, fmt.Sprintf("read-%d", i), "audit-report", readTimeout)
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}
