package failover

import (
	"container/heap"
	"time"
)

// Request is one that needs the primary of a group.
type Request struct {
	ID       string
	Group    int64
	Class    string
	Client   string        // the queue is fair between clients; "" is a client of its own
	Deadline time.Duration // when its client gives up
	Size     int           // of its statement, bytes
}

// pendingRequest is a request in the queue of its group.
type pendingRequest struct {
	Request
	group          *replicaGroup
	priorityWeight float64
	enqueuedAt     time.Duration
	latestRelease  time.Duration // released later, it can't be answered in time
	deadlineIndex  int           // in the heap of its group
	clientQueue    *clientQueue
	clientIndex    int // in the queue of its client
}

// pendingQueue is the queued requests of all groups: each is in the heap of its group, which says what is released or
// expires first, and in the queue of its client, which says what is rejected first.
type pendingQueue struct {
	byID         map[string]*pendingRequest
	bytes        int
	clients      clientHeap
	clientByName map[string]*clientQueue
}

func newPendingQueue() pendingQueue {
	return pendingQueue{byID: map[string]*pendingRequest{}, clientByName: map[string]*clientQueue{}}
}

func (q *pendingQueue) contains(requestID string) bool { return q.byID[requestID] != nil }

func (q *pendingQueue) add(request *pendingRequest) {
	client := q.clientFor(request.Client)
	request.clientQueue = client
	request.clientIndex = len(client.pending)
	client.pending = append(client.pending, request)
	heap.Fix(&q.clients, client.heapIndex)
	q.byID[request.ID] = request
	q.bytes += request.Size
	heap.Push(&request.group.pending, request)
}

// clientFor returns the queue of a client, which it creates if need be. A request without a client gets a queue of
// its own.
func (q *pendingQueue) clientFor(name string) *clientQueue {
	if client := q.clientByName[name]; client != nil {
		return client
	}
	client := &clientQueue{name: name}
	if name != "" {
		q.clientByName[name] = client
	}
	heap.Push(&q.clients, client)
	return client
}

func (q *pendingQueue) remove(request *pendingRequest) {
	delete(q.byID, request.ID)
	q.bytes -= request.Size
	heap.Remove(&request.group.pending, request.deadlineIndex)

	client := request.clientQueue
	last := len(client.pending) - 1
	client.pending[request.clientIndex] = client.pending[last]
	client.pending[request.clientIndex].clientIndex = request.clientIndex
	client.pending[last] = nil
	client.pending = client.pending[:last]
	if last == 0 {
		heap.Remove(&q.clients, client.heapIndex)
		delete(q.clientByName, client.name)
	} else {
		heap.Fix(&q.clients, client.heapIndex)
	}
}

// leastValuable returns the request that is rejected when the queue is full. It is one of the client that has the
// most requests queued: of the lowest priority weight, and among equals the newest, since it has waited least.
func (q *pendingQueue) leastValuable() *pendingRequest {
	pending := q.clients[0].pending
	least := pending[0]
	for _, request := range pending[1:] {
		isLower := request.priorityWeight < least.priorityWeight
		isNewer := request.priorityWeight == least.priorityWeight && request.enqueuedAt >= least.enqueuedAt
		if isLower || isNewer {
			least = request
		}
	}
	return least
}

// exceeds says whether the queue is over a bound of the configuration.
func (q *pendingQueue) exceeds(cfg *Config) bool {
	return len(q.byID) > cfg.MaxPending || q.bytes > cfg.MaxPendingBytes
}

// ShouldQueue says whether a new request of the class that needs the group's primary has to be enqueued here, rather
// than given to the decision module.
func (t *Tracker) ShouldQueue(groupID int64, class string) bool {
	group := t.groups[groupID]
	if group == nil || !group.queuesNewRequests() {
		return false
	}
	_, ok := t.cfg.Classes[class]
	return ok
}

// queuesNewRequests says whether new requests have to wait: for a primary, or behind those that waited for it.
func (g *replicaGroup) queuesNewRequests() bool {
	if g.phase.queuesWrites() {
		return true
	}
	return g.phase == PhaseSuccessorSeen && len(g.pending) > 0
}

// IsPending says whether a request is queued.
func (t *Tracker) IsPending(requestID string) bool { return t.pending.contains(requestID) }

// Enqueue queues a request until its group has a primary. It rejects at once a request that can't be answered in
// time, and the least valuable ones where the queue is full.
func (t *Tracker) Enqueue(now time.Duration, request Request) {
	if t.pending.contains(request.ID) {
		return
	}
	group := t.groupFor(request.Group)
	pending := &pendingRequest{
		Request:        request,
		group:          group,
		priorityWeight: t.cfg.Classes[request.Class].PriorityWeight,
		enqueuedAt:     now,
		latestRelease:  t.latestRelease(request),
	}
	if now >= pending.latestRelease {
		t.reject(pending, ReasonDeadline, now)
		return
	}
	if len(group.pending) == 0 {
		group.oldestPending = now
	}
	t.pending.add(pending)
	for t.pending.exceeds(&t.cfg) {
		least := t.pending.leastValuable()
		t.pending.remove(least)
		t.reject(least, ReasonQueueFull, now)
	}
	if t.pending.contains(request.ID) {
		t.releasePending(group, now)
	}
	t.payHealthChecks(group, now)
}

// reject rejects a request that is not, or no longer, in the queue.
func (t *Tracker) reject(request *pendingRequest, reason Reason, now time.Duration) {
	request.group.rejectedTotal[reason]++
	t.emit(Action{
		Kind:       ActionReject,
		ID:         request.ID,
		Group:      request.group.id,
		RetryAfter: t.retryAfter(request.group, now),
		Reason:     reason,
	})
}
