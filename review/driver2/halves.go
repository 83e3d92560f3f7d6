package main

import (
	"strings"
	"sync"
	"time"

	"limeladder/internal/pgwire"
)

const (
	badClients    = 300     // under a third of the descriptors
	badStatement  = 500_000 // bytes; the router takes 512 KiB of a statement where it has 32 MiB
	badClientStay = 4 * time.Second
)

// halvesExhaustMemory: some hundreds of bad clients of the platform's front send half a command and stay.
func halvesExhaustMemory(w *world) error {
	_, list, err := w.newBank("s-1", "s-2", "s-3", "s-4")
	if err != nil {
		return err
	}
	r, err := w.newRouter("n1", list.addr, "")
	if err != nil {
		return err
	}
	r.memoryMB = memoryLimit
	if err := r.start(); err != nil {
		return err
	}
	if !w.servesReads(r, "before", 10) {
		return errNotServed
	}
	watch := r.enforceMemory()
	answered := w.sendHalves(r.listen)
	w.logf("bad clients: %d of %d have read an error or an end", answered, badClients)
	served := w.servesReads(r, "after", 10)
	return w.judgeMemory(watch, served)
}

// sendHalves connects the bad clients. Each sends the first half of a command, stays, and reads what it is sent.
// Without trouble each sends a short command, whole, and stays. It returns how many have read an error or the end.
func (w *world) sendHalves(address string) (answered int) {
	command := pgwire.AppendQuery(nil, statement("bad", "nosuchclass", time.Second)+strings.Repeat(" ", badStatement))
	command = command[:len(command)/2]
	if !w.trouble {
		command = pgwire.AppendQuery(nil, statement("bad", "nosuchclass", time.Second))
	}
	w.logf("bad clients: %d connect, each sends %d bytes", badClients, len(command))
	var all sync.WaitGroup
	var mu sync.Mutex
	for range badClients {
		all.Go(func() {
			c, err := dialClient(address)
			if err != nil {
				return
			}
			defer c.close()
			_ = c.send(command) // the router may have closed the connection: it then reads the end
			got := c.until('Z', badClientStay)
			mu.Lock()
			defer mu.Unlock()
			if got.code != "" || !isTimeout(got.end) {
				answered++
			}
		})
	}
	all.Wait()
	return answered
}
