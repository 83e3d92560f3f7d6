package model

import (
	"time"

	"limeladder/internal/simulation/event"
)

// replica is the copy that an endpoint has of its group's log. It applies one commit after the other.
type replica struct {
	next          int // the first commit that isn't applied
	received      int // the number of the first commit that hasn't arrived
	blocked       int // running statements that keep it from applying
	applying      *event.Event
	resyncing     bool          // the endpoint has restarted and hasn't begun to catch up
	knownPosition time.Duration // the position when it went down, which holds while it resyncs
}

// Position returns the time up to which the endpoint has applied every commit of its group.
func (e *Endpoint) Position() time.Duration {
	now := e.now()
	if e.IsPrimary() {
		return now
	}
	heard := e.replica.heardUntil(e.Group, now)
	if oldest, ok := e.replica.oldestUnapplied(e.Group, now); ok {
		return min(oldest-1, heard) // just before that commit
	}
	return heard
}

// oldestUnapplied returns the time of the first commit that isn't applied; ok is false if there is none, or if it
// can't have been heard of yet.
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

// heardUntil returns the time up to which the replica has heard of every commit.
func (r *replica) heardUntil(group *ReplicaGroup, now time.Duration) time.Duration {
	at := now - group.Replication.ShipDelay
	if group.frozenAt > 0 {
		at = min(at, group.frozenAt)
	}
	if r.resyncing {
		at = min(at, r.knownPosition)
	}
	return at
}

// receive notes that the commits before a number have arrived.
func (r *replica) receive(endpoint *Endpoint, received int) {
	r.received = max(r.received, received)
	if !r.resyncing {
		r.apply(endpoint)
	}
}

// apply begins to apply the next commit, unless one is being applied or something keeps the replica from it.
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

// canApply reports whether a commit is there to be applied and nothing keeps the replica from it.
func (r *replica) canApply(endpoint *Endpoint) bool {
	if endpoint.state != Up || endpoint.IsPrimary() {
		return false
	}
	idle := r.applying == nil && r.blocked == 0 && !r.resyncing
	return idle && r.next < r.received
}

// unblock counts again the running statements that keep the replica from applying, and goes on if there are none.
func (r *replica) unblock(endpoint *Endpoint) {
	r.blocked = 0
	for _, statement := range endpoint.running {
		if statement.BlocksApply && !endpoint.IsPrimary() {
			r.blocked++
		}
	}
	r.apply(endpoint)
}

// goDown notes the position that the endpoint has when it goes down. A primary has everything that it has committed,
// so that its position doesn't go back when it restarts as a replica.
func (r *replica) goDown(endpoint *Endpoint) {
	r.knownPosition = endpoint.Position()
	if endpoint.IsPrimary() {
		r.copyLog(endpoint.Group)
	}
	r.blocked = 0
}

// copyLog makes the replica have and have applied every commit.
func (r *replica) copyLog(group *ReplicaGroup) {
	r.next = group.committed()
	r.received = group.committed()
}

// restart lets the replica of an endpoint that has restarted catch up after the resync delay.
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

// stopApplying gives up the commit that is being applied.
func (r *replica) stopApplying() {
	r.applying.Stop()
	r.applying = nil
}

// promote makes the replica that of a new primary. What it hasn't applied is lost, or is with an endpoint that comes
// back: it isn't applied any more.
func (r *replica) promote(group *ReplicaGroup) {
	r.stopApplying()
	r.next = group.committed()
	r.blocked = 0
	r.resyncing = false
}
