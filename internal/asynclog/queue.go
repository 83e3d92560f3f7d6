package asynclog

import "sync"

// importance determines how much of the queue a line may use.
type importance int

const (
	routine   importance = iota // debug and info levels
	important                   // warnings, errors, and the reason why the program exits
)

// reservedFraction is the denominator of the fraction of the queue that is reserved for important lines: 4 reserves a
// quarter.
const reservedFraction = 4

// losses counts lost lines.
type losses struct {
	queueFull   uint64 // did not fit into the queue
	writeFailed uint64 // failed to be written to the output
}

func (l losses) any() bool { return l.queueFull > 0 || l.writeFailed > 0 }

// lineQueue is a queue of lines, bounded by their total size. Its methods may be called from any goroutine.
type lineQueue struct {
	maxBytes int

	mutex   sync.Mutex // guards the fields below
	changed sync.Cond  // signaled when a line is added or the queue is closed
	lines   [][]byte
	bytes   int // size of the queued lines and of the one being written
	lost    losses
	closed  bool
}

func newLineQueue(maxBytes int) *lineQueue {
	q := &lineQueue{maxBytes: maxBytes}
	q.changed.L = &q.mutex
	return q
}

// put appends a copy of line, or counts it as lost if there is no room for a line of its importance.
func (q *lineQueue) put(line []byte, rank importance) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	room := q.maxBytes - q.bytes
	if rank == routine {
		room -= q.maxBytes / reservedFraction
	}
	if len(line) > room {
		q.lost.queueFull++
		return
	}
	q.lines = append(q.lines, append([]byte(nil), line...))
	q.bytes += len(line)
	q.changed.Signal()
}

// take waits for the next line and removes it. ok is false once the queue is closed and empty. The line occupies its
// room in the queue until release.
func (q *lineQueue) take() (line []byte, ok bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for len(q.lines) == 0 && !q.closed {
		q.changed.Wait()
	}
	if len(q.lines) == 0 {
		return nil, false
	}
	line = q.lines[0]
	q.lines[0] = nil
	q.lines = q.lines[1:]
	return line, true
}

// release frees the room of a line that take returned.
func (q *lineQueue) release(line []byte) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.bytes -= len(line)
}

// takeLosses returns the losses so far and resets the counts. While the queue is more than half full it returns none:
// more lines would be lost soon, and each loss would be logged separately.
func (q *lineQueue) takeLosses() losses {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.bytes > q.maxBytes/2 {
		return losses{}
	}
	lost := q.lost
	q.lost = losses{}
	return lost
}

// addLosses adds to the counts of lost lines.
func (q *lineQueue) addLosses(more losses) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.lost.queueFull += more.queueFull
	q.lost.writeFailed += more.writeFailed
}

// close closes the queue. take still returns the remaining lines.
func (q *lineQueue) close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	q.changed.Signal()
}
