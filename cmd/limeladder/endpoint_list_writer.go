package main

import (
	"time"

	"limeladder/internal/membership"
)

const (
	// endpointListWriteInterval is the minimum interval between two writes of the endpoint list to the store, however
	// often it changes: each write replicates the complete list.
	endpointListWriteInterval = time.Second
	// followerWriteDelay lets the write of the leader reach the other members, which then need not write the same list.
	followerWriteDelay = 500 * time.Millisecond
)

// endpointListWriter schedules the writes of the endpoint list to the store.
type endpointListWriter struct {
	scheduled bool          // a write is due later
	lastAt    time.Duration // time of the last write, 0 = none
}

// delay returns the time until the next write may begin.
func (w *endpointListWriter) delay(now time.Duration, isLeader bool) time.Duration {
	delay := time.Duration(0)
	if !isLeader {
		delay = followerWriteDelay
	}
	if w.lastAt > 0 {
		delay = max(delay, w.lastAt+endpointListWriteInterval-now)
	}
	return delay
}

// storeEndpointList stores the list from discovery soon, unless the store is off. A list that did not come from
// discovery is not stored.
func (d *daemon) storeEndpointList() {
	if d.store == nil || d.listWriter.scheduled || d.endpoints.Source() != membership.Received {
		return
	}
	d.listWriter.scheduled = true
	d.loop.AfterFunc(d.listWriter.delay(d.loop.Now(), d.store.IsLeader()), d.writeEndpointList)
}

// writeEndpointList stores the list in hand, unless the peers have stored one that is as new. While other writes wait
// for a majority it tries again later, so that at most one list waits in the queue.
func (d *daemon) writeEndpointList() {
	d.listWriter.scheduled = false
	list := d.endpoints.Snapshot()
	var stored membership.Snapshot
	if d.loadValue(endpointListKey, &stored) && !list.NewerThan(stored) {
		return
	}
	d.listWriter.lastAt = d.loop.Now()
	if d.store.HasQueuedWrites() {
		d.storeEndpointList()
		return
	}
	d.storeValue(endpointListKey, list)
}
