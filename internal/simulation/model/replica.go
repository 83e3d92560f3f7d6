package model

import (
	"time"

	"limeladder/internal/simulation/event"
)

// replica is the state of an endpoint's copy of its group's log. It applies one commit at a time.
type replica struct {
	next          int // the number of the first commit that isn't applied
	received      int // the number of the first commit that hasn't arrived
	blocked       int // the number of running statements that block applying
	applying      *event.Event
	resyncing     bool          // the endpoint has restarted and hasn't started to catch up
	knownPosition time.Duration // the position when it went down, which limits its position while it resyncs
}

// Position returns the time up to which the endpoint has applied every commit of its group.
func (e *Endpoint) Position() time.Duration {
	now := e.now()
	if e.IsPrimary() {
		return now
	}
	known := e.replica.knownUntil(e.Group, now)
	if oldest, ok := e.replica.oldestUnapplied(e.Group, now); ok {
		return min(oldest-1, known) // just before the oldest unapplied commit
	}
	return known
}

// oldestUnapplied returns the time of the first commit that isn't applied; ok is false if there is none, or if the
// replica can't know of it yet because of the ship delay.
func (r *replica) oldestUnapplied(group *ReplicaGroup, now time.Duration) (at time.Duration, ok bool) {
	if r.next < group.firstCommit || r.next >= group.committed() {
		return 0, false
	}
	at = group.log[r.next-group.firstCommit].committedAt
	if r.next >= r.received && at-1 >= now-group.Replication.ShipDelay {
		return 0, false
	}
	return at, true
}

// knownUntil returns the time up to which the replica knows of every commit, whether or not it has applied them.
func (r *replica) knownUntil(group *ReplicaGroup, now time.Duration) time.Duration {
	at := now - group.Replication.ShipDelay
	if group.knownLimit > 0 {
		at = min(at, group.knownLimit)
	}
	if r.resyncing {
		at = min(at, r.knownPosition)
	}
	return at
}

// receive records that all commits with numbers below received have arrived.
func (r *replica) receive(endpoint *Endpoint, received int) {
	r.received = max(r.received, received)
	if !r.resyncing {
		r.apply(endpoint)
	}
}

// apply starts to apply the next commit, unless canApply is false or every commit is applied.
func (r *replica) apply(endpoint *Endpoint) {
	group := endpoint.Group
	if !r.canApply(endpoint) {
		return
	}
	r.next = max(r.next, group.firstCommit)
	if r.next >= group.committed() {
		return
	}
	applyTime := group.log[r.next-group.firstCommit].applyTime
	epoch := endpoint.epoch
	r.applying = group.world.Clock.After(applyTime, func() {
		r.applying = nil
		if endpoint.epoch != epoch {
			return
		}
		r.next++
		r.apply(endpoint)
	})
}

// canApply reports whether a received commit is to be applied and applying is neither in progress nor blocked.
func (r *replica) canApply(endpoint *Endpoint) bool {
	if endpoint.state != Up || endpoint.IsPrimary() {
		return false
	}
	idle := r.applying == nil && r.blocked == 0 && !r.resyncing
	return idle && r.next < r.received
}

// unblock recounts the running statements that block applying, and resumes applying if there are none.
func (r *replica) unblock(endpoint *Endpoint) {
	r.blocked = 0
	for _, statement := range endpoint.running {
		if statement.BlocksApply && !endpoint.IsPrimary() {
			r.blocked++
		}
	}
	r.apply(endpoint)
}

// goDown records the position of an endpoint that goes down. A primary keeps everything that it has committed, so that
// its position doesn't decrease when it restarts as a replica.
func (r *replica) goDown(endpoint *Endpoint) {
	r.knownPosition = endpoint.Position()
	if endpoint.IsPrimary() {
		r.copyLog(endpoint.Group)
	}
	r.blocked = 0
}

// copyLog marks every commit of the group as received and applied.
func (r *replica) copyLog(group *ReplicaGroup) {
	r.next = group.committed()
	r.received = group.committed()
}

// restart makes the replica of an endpoint that has restarted catch up after the resync delay.
func (r *replica) restart(endpoint *Endpoint) {
	group := endpoint.Group
	r.stopApplying()
	r.blocked = 0
	if endpoint.IsPrimary() { // it has restarted before a successor was elected
		r.resyncing = false
		return
	}
	r.resyncing = true
	epoch := endpoint.epoch
	group.world.Clock.After(group.Replication.ResyncDelay, func() {
		if endpoint.epoch == epoch {
			r.resyncing = false
			r.received = group.committed()
			r.apply(endpoint)
		}
	})
}

// stopApplying abandons the commit that is being applied.
func (r *replica) stopApplying() {
	r.applying.Stop()
	r.applying = nil
}

// promote turns the replica into that of a new primary. Commits that it hasn't applied are skipped: they are lost, or
// known only to an endpoint that may restart later.
func (r *replica) promote(group *ReplicaGroup) {
	r.stopApplying()
	r.next = group.committed()
	r.blocked = 0
	r.resyncing = false
}
