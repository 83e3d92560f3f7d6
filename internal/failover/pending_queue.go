package failover

import (
	"container/heap"
	"time"
)

// Request is a request that needs the primary of a group.
type Request struct {
	ID       string
	Group    int64
	Class    string
	Client   string        // for fairness between clients; each request with "" counts as a client of its own
	Deadline time.Duration // when the client gives up
	Size     int           // of the statement, in bytes
}

// pendingRequest is a queued request.
type pendingRequest struct {
	Request
	group          *replicaGroup
	priorityWeight float64
	enqueuedAt     time.Duration
	latestRelease  time.Duration // from this time on a release is useless; see Tracker.latestRelease
	deadlineIndex  int           // index in the heap of its group
	clientQueue    *clientQueue
	clientIndex    int // index in the queue of its client
}

// pendingQueue holds the queued requests of all groups. Each request is both in the heap of its group, which determines
// the order of release and expiry, and in the queue of its client, which determines the order of rejection.
type pendingQueue struct {
	byID         map[string]*pendingRequest
	bytes        int // total size of the statements
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

// clientFor returns the queue of a client. It creates the queue if necessary. A request without a client gets a queue
// of its own.
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

// leastValuable returns the request to reject when the queue is full. Of the requests of the client that has the most
// queued, it is the one with the lowest priority weight, and among several of these the newest, because it has waited
// for the shortest time.
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

// exceeds reports whether the queue exceeds a bound of the configuration.
func (q *pendingQueue) exceeds(cfg *Config) bool {
	return len(q.byID) > cfg.MaxPending || q.bytes > cfg.MaxPendingBytes
}

// ShouldQueue reports whether a new request of the class that needs the primary of the group has to be passed to
// Enqueue rather than to the decision module.
func (t *Tracker) ShouldQueue(groupID int64, class string) bool {
	group := t.groups[groupID]
	if group == nil || !group.queuesNewRequests() {
		return false
	}
	_, ok := t.cfg.Classes[class]
	return ok
}

// queuesNewRequests reports whether new requests have to be queued: because there is no usable primary, or because
// older requests are still queued for it.
func (g *replicaGroup) queuesNewRequests() bool {
	if g.phase.queuesWrites() {
		return true
	}
	return g.phase == PhaseSuccessorSeen && len(g.pending) > 0
}

// IsPending reports whether a request is queued.
func (t *Tracker) IsPending(requestID string) bool { return t.pending.contains(requestID) }

// Enqueue queues a request until its group has a primary. It immediately rejects a request that can't be served before
// its deadline. If the queue is full, it rejects the least valuable requests.
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
		group.oldestEnqueuedAt = now
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
	t.addRoundBudget(group, now)
}

// reject requests the rejection of a request, which must not be in the queue (any more).
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
