package main

import (
	"fmt"
	"time"
)

// The bounds of the rule on drains, with the 50 ms of the protocol page.
const (
	drainGrace = 2050 * time.Millisecond
	latestTold = 6 * time.Second // after discovery can be reached again
	listOutage = 8 * time.Second
)

// storedListUndoesDrain: a router with a store of its own is restarted while discovery is down. It is given the list as
// it last had it, in which s-4 drains.
func storedListUndoesDrain(w *world) error {
	machines, list, err := w.newBank("s-1", "s-2", "s-3", "s-4")
	if err != nil {
		return err
	}
	peer, err := freeAddress()
	if err != nil {
		return err
	}
	r, err := w.newRouter("n1", list.addr, storeSection("n1", w.path("store"), map[string]string{"n1": peer}))
	if err != nil {
		return err
	}
	r.instances = 6
	if err := r.start(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // the store elects its leader and keeps the list
	if !w.servesReads(r, "before", 20) {
		return errNotServed
	}
	drained := machines[3]
	list.change(drained.entry("draining"))
	time.Sleep(4 * time.Second)
	w.servesReads(r, "drained", 20)
	if err := restartDuringOutage(w, r, list); err != nil {
		return err
	}
	startedAt := time.Now()
	bindingFrom := startedAt.Add(drainGrace)
	if w.trouble {
		for i := 0; time.Since(startedAt) < listOutage; i++ {
			w.ask(r.listen, fmt.Sprintf("outage-%d", i), "audit-report", readTimeout)
			time.Sleep(100 * time.Millisecond)
		}
		list.setDown(false)
	}
	again := time.Now()
	strictlyFrom := again.Add(latestTold + drainGrace)
	w.logf("by the latest reading s-4 may get nothing from %s on", w.since(strictlyFrom))
	for i := 0; time.Now().Before(strictlyFrom.Add(4 * time.Second)); i++ {
		w.ask(r.listen, fmt.Sprintf("after-%d", i), "audit-report", readTimeout)
		time.Sleep(100 * time.Millisecond)
	}
	return judgeDrain(w, drained, startedAt, bindingFrom, strictlyFrom)
}

// restartDuringOutage ends the router with SIGTERM and starts it again, with the list that it had last. With trouble,
// discovery is down meanwhile and stays so.
func restartDuringOutage(w *world, r *router, list *discovery) error {
	if err := r.terminate(); err != nil {
		return err
	}
	if err := r.waitEnded(15 * time.Second); err != nil {
		return err
	}
	r.known = list.known()
	if w.trouble {
		list.setDown(true)
	}
	return r.start()
}

// judgeDrain counts what the machine got after it was known to drain.
func judgeDrain(w *world, drained *machine, restarted, binding, strictly time.Time) error {
	hits := drained.received()
	late, latest := 0, 0
	for _, got := range hits {
		if got.at.Before(restarted) {
			continue
		}
		if got.at.After(binding) {
			late++
		}
		if got.at.After(strictly) {
			latest++
		}
	}
	w.logf("s-4 got %d statements later than %s, and %d later than %s", late, w.since(binding), latest, w.since(strictly))
	if latest > 0 {
		return brokenf("the draining s-4 got %d statements after its grace by every reading", latest)
	}
	return nil
}

// storeSection returns the section [store] of a deploy file.
func storeSection(name, folder string, peers map[string]string) string {
	text := fmt.Sprintf("[store]\nname = %q\nfolder = %q\n[store.peers]\n", name, folder)
	for peer, address := range peers {
		text += fmt.Sprintf("%s = %q\n", peer, address)
	}
	return text
}
