package main

import (
	"errors"
	"fmt"
	"time"
)

// errNotServed is returned by a case that could not run.
var errNotServed = errors.New("the router does not serve before the disruption")

// readTimeout is the deadline of a read that any machine may answer.
const readTimeout = 5 * time.Second

// newBank starts the machines of a bank, the first of them as the primary, and a discovery that lists them.
func (w *world) newBank(ids ...string) ([]*machine, *discovery, error) {
	var machines []*machine
	var entries []endpointEntry
	for i, id := range ids {
		m, err := w.newMachine(id, i == 0)
		if err != nil {
			return nil, nil, err
		}
		machines = append(machines, m)
		entry := m.entry("ready")
		if i == 0 {
			entry = m.primaryEntry("ready")
		}
		entries = append(entries, entry)
	}
	list, err := w.newDiscovery(entries...)
	return machines, list, err
}

// servesReads sends reads, one after the other, and reports whether any was served.
func (w *world) servesReads(r *router, name string, count int) bool {
	served := 0
	for i := range count {
		if got := w.ask(r.listen, fmt.Sprintf("%s-%d", name, i), "audit-report", readTimeout); got.value != "" {
			served++
		}
	}
	w.logf("%s: %d of %d reads served", name, served, count)
	return served > 0
}
