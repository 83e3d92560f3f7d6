package asynclog

import "sync"

// importance says which part of the queue a line may use.
type importance int

const (
	routine   importance = iota // debug and information
	important                   // warnings, errors, and why the program ends
)

// reservedFraction is the part of the queue that only important lines may use: one in so many bytes.
const reservedFraction = 4

// losses counts lines that were not written.
type losses struct {
	queueFull   uint64 // found no room
	writeFailed uint64 // were not taken by the output
}

func (l losses) any() bool { return l.queueFull > 0 || l.writeFailed > 0 }

// lineQueue holds the lines that wait to be written, up to a number of bytes. Any goroutine may call its methods.
type lineQueue struct {
	maxBytes int

	mutex   sync.Mutex // guards what follows
	changed sync.Cond  // a line has come, or the queue was closed
	lines   [][]byte
	bytes   int // of the lines, including the one that is being written
	lost    losses
	closed  bool
}

func newLineQueue(maxBytes int) *lineQueue {
	q := &lineQueue{maxBytes: maxBytes}
	q.changed.L = &q.mutex
	return q
}

// put appends a copy of a line, or counts it as lost where there is no room for one of its importance.
func (q *lineQueue) put(line []byte, of importance) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	room := q.maxBytes - q.bytes
	if of == routine {
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

// take waits for the next line. ok is false once the queue is closed and empty. The line's bytes count until release.
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

// release gives back the room of a line that was taken.
func (q *lineQueue) release(line []byte) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.bytes -= len(line)
}

// takeLosses returns the lines lost so far and forgets them. While the queue is more than half full it returns none:
// more would be lost at once, and each loss would be logged on its own.
func (q *lineQueue) takeLosses() losses {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.bytes > q.maxBytes/2 {
		return losses{}
	}
	taken := q.lost
	q.lost = losses{}
	return taken
}

// addLosses counts further lines as lost.
func (q *lineQueue) addLosses(more losses) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.lost.queueFull += more.queueFull
	q.lost.writeFailed += more.writeFailed
}

// close makes take return what is left and then end.
func (q *lineQueue) close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	q.changed.Signal()
}
