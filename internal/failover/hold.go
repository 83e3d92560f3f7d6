package failover

import (
	"container/heap"
	"time"
)

// hold is one request that waits for a primary.
type pendingRequest struct {
	Request
	group          *replicaGroup
	priorityWeight float64
	enqueuedAt     time.Duration
	latestRelease  time.Duration // it can't be answered in time if it is let out later than this
	deadlineIndex  int           // in the bank's queue
	clientQueue    *clientQueue
	clientIndex    int // among the client's
}

// queue is a bank's heap by the latest useful moment: the earliest is let out first, and is the first that is too late.
type deadlineHeap []*pendingRequest

func (q deadlineHeap) Len() int           { return len(q) }
func (q deadlineHeap) Less(i, j int) bool { return q[i].latestRelease < q[j].latestRelease }
func (q deadlineHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].deadlineIndex, q[j].deadlineIndex = i, j
}
func (q *deadlineHeap) Push(x any) {
	pending := x.(*pendingRequest)
	pending.deadlineIndex = len(*q)
	*q = append(*q, pending)
}
func (q *deadlineHeap) Pop() any {
	n := len(*q) - 1
	pending := (*q)[n]
	(*q)[n] = nil
	*q = (*q)[:n]
	pending.deadlineIndex = -1
	return pending
}

// client is who has asked; clients is a heap of them by how many of theirs are held, the most first.
type clientQueue struct {
	name      string
	pending   []*pendingRequest
	heapIndex int
}

type clientHeap []*clientQueue

func (c clientHeap) Len() int           { return len(c) }
func (c clientHeap) Less(i, j int) bool { return len(c[i].pending) > len(c[j].pending) }
func (c clientHeap) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].heapIndex, c[j].heapIndex = i, j
}
func (c *clientHeap) Push(x any) {
	k := x.(*clientQueue)
	k.heapIndex = len(*c)
	*c = append(*c, k)
}
func (c *clientHeap) Pop() any {
	n := len(*c) - 1
	k := (*c)[n]
	(*c)[n] = nil
	*c = (*c)[:n]
	return k
}

// Holds says whether a request of that class and bank would be held now, rather than given to the module.
func (tracker *Tracker) ShouldQueue(id int64, class string) bool {
	group := tracker.groups[id]
	if group == nil || !group.queuesWrites() && (group.phase != PhaseSuccessorSeen || len(group.pending) == 0) {
		return false
	}
	_, ok := tracker.cfg.Classes[class]
	return ok
}

// Held says whether a request is held.
func (tracker *Tracker) IsPending(id string) bool { return tracker.pending[id] != nil }

// Hold takes a request. What can't be answered in time is given up at once; where there is no room the least valuable one
// goes, of the client that has the most.
func (tracker *Tracker) Enqueue(now time.Duration, q Request) {
	if tracker.pending[q.ID] != nil {
		return
	}
	pending := &pendingRequest{Request: q, group: tracker.groupFor(q.Group), priorityWeight: tracker.cfg.Classes[q.Class].PriorityWeight, enqueuedAt: now, latestRelease: tracker.latestRelease(q)}
	if now >= pending.latestRelease {
		tracker.reject(pending, ReasonDeadline, now)
		return
	}
	k := tracker.clientQueuesByName[q.Client]
	if q.Client == "" {
		k = nil
	}
	if k == nil {
		k = &clientQueue{name: q.Client}
		if q.Client != "" {
			tracker.clientQueuesByName[q.Client] = k
		}
		heap.Push(&tracker.clientQueues, k)
	}
	pending.clientQueue = k
	pending.clientIndex = len(k.pending)
	k.pending = append(k.pending, pending)
	heap.Fix(&tracker.clientQueues, k.heapIndex)
	tracker.pending[q.ID] = pending
	if len(pending.group.pending) == 0 {
		pending.group.oldestPending = now
	}
	heap.Push(&pending.group.pending, pending)
	tracker.pendingBytes += q.Size
	for len(tracker.pending) > tracker.cfg.MaxPending || tracker.pendingBytes > tracker.cfg.MaxPendingBytes {
		least := tracker.leastValuable()
		tracker.removePending(least)
		tracker.reject(least, ReasonQueueFull, now)
	}
	if tracker.pending[q.ID] != nil {
		tracker.releasePending(pending.group, now)
	}
	// Before this was held its members were asked now and then only.
	pending.group.healthCheckCredit += healthCheckRoundsPerRequest / float64(max(1, tracker.cfg.Instances))
	if group := pending.group; group.queuesWrites() && group.canPayHealthCheckRound() {
		group.nextHealthCheckRound = min(group.nextHealthCheckRound, now+group.healthCheckInterval*3/4+time.Duration(tracker.rng.Int64N(int64(group.healthCheckInterval/2))))
	}
}

// least is the least valuable one of the client that has the most held: of the least worth, and among equals the one that
// came last, since it has waited least.
func (tracker *Tracker) leastValuable() *pendingRequest {
	k := tracker.clientQueues[0]
	least := k.pending[0]
	for _, pending := range k.pending[1:] {
		if pending.priorityWeight < least.priorityWeight || pending.priorityWeight == least.priorityWeight && pending.enqueuedAt >= least.enqueuedAt {
			least = pending
		}
	}
	return least
}

// latest is the last moment in which it is of use to let a request out: the client's deadline, less the answer's way, less
// what it takes to serve it.
func (tracker *Tracker) latestRelease(q Request) time.Duration {
	return q.Deadline - tracker.cfg.DeadlineMargin - tracker.expectedWorkOf(q.Class)
}

// expect is the time that a request of a class takes once it is sent.
func (tracker *Tracker) expectedWorkOf(class string) time.Duration {
	if w := tracker.expectedWork[class]; w != nil {
		return *w
	}
	return tracker.cfg.Classes[class].Work
}

// drop takes a request out of the queue.
func (tracker *Tracker) removePending(pending *pendingRequest) {
	delete(tracker.pending, pending.ID)
	heap.Remove(&pending.group.pending, pending.deadlineIndex)
	tracker.pendingBytes -= pending.Size
	k := pending.clientQueue
	last := len(k.pending) - 1
	k.pending[pending.clientIndex] = k.pending[last]
	k.pending[pending.clientIndex].clientIndex = pending.clientIndex
	k.pending[last] = nil
	k.pending = k.pending[:last]
	if len(k.pending) == 0 {
		heap.Remove(&tracker.clientQueues, k.heapIndex)
		delete(tracker.clientQueuesByName, k.name)
	} else {
		heap.Fix(&tracker.clientQueues, k.heapIndex)
	}
}

func (tracker *Tracker) reject(pending *pendingRequest, why Reason, now time.Duration) {
	pending.group.rejectedTotal[why]++
	tracker.emit(Action{Kind: ActionReject, ID: pending.ID, Group: pending.group.id, RetryAfter: tracker.retryAfter(pending.group, now), Reason: why})
}

// after is when a client may come back: when the change is over, as far as those before it tell. It is drawn from a
// quarter more, so that those who are sent away do not return together.
func (tracker *Tracker) retryAfter(group *replicaGroup, now time.Duration) time.Duration {
	left := minRetryAfter
	if group.queuesWrites() {
		left = max(minRetryAfter, tracker.usualFailoverDuration-(now-group.failoverSince))
		if now-group.failoverSince > tracker.usualFailoverDuration { // longer than usual: as long again
			left = max(minRetryAfter, (now-group.failoverSince)/2)
		}
	}
	left += time.Duration(tracker.rng.Int64N(int64(left/4) + 1))
	if tracker.cfg.MaxRetryAfter > 0 {
		left = min(left, tracker.cfg.MaxRetryAfter)
	}
	return left
}

// Busy says whether anything is held, or let out and not answered.
func (tracker *Tracker) InProgress() bool { return len(tracker.pending)+tracker.releasedInFlight > 0 }

// Done says that a request is answered, or that its client has left.
func (tracker *Tracker) RequestDone(now time.Duration, bank int64, id string) {
	if !tracker.InProgress() {
		return
	}
	if pending := tracker.pending[id]; pending != nil {
		tracker.removePending(pending)
	}
	if group := tracker.groups[bank]; group != nil && group.released[id] {
		delete(group.released, id)
		tracker.releasedInFlight--
		tracker.releasePending(group, now)
	}
}

// expire gives up what can't be answered in time any more, and what was held for as long as any may be.
func (tracker *Tracker) rejectExpired(group *replicaGroup, now time.Duration) {
	for len(group.pending) > 0 && now >= group.pending[0].latestRelease {
		pending := group.pending[0]
		tracker.removePending(pending)
		tracker.reject(pending, ReasonDeadline, now)
	}
	if tracker.cfg.MaxPendingTime <= 0 || now < group.oldestPending+tracker.cfg.MaxPendingTime || len(group.pending) == 0 {
		return
	}
	var old []*pendingRequest
	group.oldestPending = now
	for _, pending := range group.pending {
		if now-pending.enqueuedAt >= tracker.cfg.MaxPendingTime {
			old = append(old, pending)
		} else {
			group.oldestPending = min(group.oldestPending, pending.enqueuedAt)
		}
	}
	for _, pending := range old {
		tracker.removePending(pending)
		tracker.reject(pending, ReasonQueueTimeout, now)
	}
}

// let lets out what the window has room for, the earliest deadline first.
func (tracker *Tracker) releasePending(group *replicaGroup, now time.Duration) {
	if group.phase != PhaseSuccessorSeen {
		return
	}
	for len(group.pending) > 0 && float64(len(group.released)) < group.releaseLimit {
		pending := group.pending[0]
		tracker.removePending(pending)
		if now >= pending.latestRelease {
			tracker.reject(pending, ReasonDeadline, now)
			continue
		}
		group.released[pending.ID] = true
		tracker.releasedInFlight++
		group.releasedTotal++
		tracker.emit(Action{Kind: ActionRelease, ID: pending.ID, Group: group.id})
	}
}
