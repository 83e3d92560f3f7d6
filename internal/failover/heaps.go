package failover

// deadlineHeap is the queued requests of a group by the latest useful release, the earliest first: that one is
// released first, and expires first.
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
	(*h)[last] = nil // a slice that shrinks still references its elements
	*h = (*h)[:last]
	request.deadlineIndex = -1
	return request
}

// clientQueue is the queued requests of a client, in no order.
type clientQueue struct {
	name      string // "" = of a single request without a client
	pending   []*pendingRequest
	heapIndex int
}

// clientHeap is the clients with queued requests, the one with the most first.
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
	(*h)[last] = nil // a slice that shrinks still references its elements
	*h = (*h)[:last]
	return client
}
