package event

// queueArity is how many children a node of the heap has. With four of them the heap is flatter than a binary one,
// and removing the first event, which is most of the work, touches fewer levels.
const queueArity = 4

// queue is a heap of events in which the first element runs next. Each event knows its index, so that any of them can
// be removed.
type queue []*Event

func (q *queue) push(event *Event) {
	*q = append(*q, event)
	q.siftUp(len(*q)-1, event)
}

// remove removes an event, which must be in the queue.
func (q *queue) remove(event *Event) {
	index := event.index
	last := len(*q) - 1
	moved := (*q)[last]
	(*q)[last] = nil // the array behind the slice must not keep the event alive
	*q = (*q)[:last]
	if index == last {
		return
	}
	q.siftUp(index, moved)
	if moved.index == index {
		q.siftDown(index, moved)
	}
}

// siftUp moves event from index towards the root until its parent runs before it.
func (q *queue) siftUp(index int, event *Event) {
	for index > 0 {
		parent := (index - 1) / queueArity
		if !event.before((*q)[parent]) {
			break
		}
		q.set(index, (*q)[parent])
		index = parent
	}
	q.set(index, event)
}

// siftDown moves event from index towards the leaves until none of its children runs before it.
func (q *queue) siftDown(index int, event *Event) {
	for {
		child, ok := q.firstChild(index)
		if !ok || !(*q)[child].before(event) {
			break
		}
		q.set(index, (*q)[child])
		index = child
	}
	q.set(index, event)
}

// firstChild returns the child of a node that runs before the node's other children; ok is false for a leaf.
func (q *queue) firstChild(index int) (first int, ok bool) {
	first = queueArity*index + 1
	if first >= len(*q) {
		return 0, false
	}
	end := min(first+queueArity, len(*q))
	for child := first + 1; child < end; child++ {
		if (*q)[child].before((*q)[first]) {
			first = child
		}
	}
	return first, true
}

func (q *queue) set(index int, event *Event) {
	(*q)[index] = event
	event.index = index
}
