package failover

// deadlineHeap is a heap of the queued requests of a group. The request with the earliest latestRelease comes first: it
// is the next to be released, and the next to expire.
type deadlineHeap []*pendingRequest

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].latestRelease < h[j].latestRelease }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex = i
	h[j].deadlineIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	request := x.(*pendingRequest)
	request.deadlineIndex = len(*h)
	*h = append(*h, request)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	request := (*h)[last]
	(*h)[last] = nil // so that the backing array doesn't keep the request reachable
	*h = (*h)[:last]
	request.deadlineIndex = -1
	return request
}

// clientQueue holds the queued requests of a client, in no particular order.
type clientQueue struct {
	name      string // "" = the queue of a single request without a client
	pending   []*pendingRequest
	heapIndex int
}

// clientHeap is a heap of the clients with queued requests. The client with the most requests comes first.
type clientHeap []*clientQueue

// Len implements heap.Interface.
func (h clientHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h clientHeap) Less(i, j int) bool { return len(h[i].pending) > len(h[j].pending) }

// Swap implements heap.Interface.
func (h clientHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *clientHeap) Push(x any) {
	client := x.(*clientQueue)
	client.heapIndex = len(*h)
	*h = append(*h, client)
}

// Pop implements heap.Interface.
func (h *clientHeap) Pop() any {
	last := len(*h) - 1
	client := (*h)[last]
	(*h)[last] = nil // so that the backing array doesn't keep the client reachable
	*h = (*h)[:last]
	return client
}
