package audit

import (
	"sync"
	"time"
)

// Record is an event with its number.
type Record struct {
	Seq   uint64
	At    time.Time
	Event Event
}

// Queue holds the records that wait to be sent, by level. It is bounded in records and in bytes; where it is full the
// least important record goes, whoever came first. Its lock is never held across anything that can wait.
type Queue struct {
	mu      sync.Mutex
	lanes   [levels]lane
	records int
	bytes   int
	mostRec int
	mostB   int
	lost    Dropped
}

// NewQueue returns an empty Queue for at most so many records and bytes.
func NewQueue(records, bytes int) *Queue { return &Queue{mostRec: records, mostB: bytes} }

// Push adds a record. What has no room is entered as lost: of the lower levels the oldest ones make room; a record goes
// itself where there is nothing less important. Guards the evidence: refused and failed outlive served.
func (q *Queue) Push(r Record) {
	level, size := r.Event.level(), r.Event.size()
	q.mu.Lock()
	defer q.mu.Unlock()
	for low := Level(0); low < level && q.over(size); {
		if q.lanes[low].len() == 0 {
			low++
			continue
		}
		q.lose(q.pop(low))
	}
	if q.over(size) {
		q.lose(r)
		return
	}
	q.lanes[level].push(r)
	q.records++
	q.bytes += size
}

func (q *Queue) over(size int) bool { return q.records >= q.mostRec || q.bytes+size > q.mostB }

func (q *Queue) pop(l Level) Record {
	r := q.lanes[l].pop()
	q.records--
	q.bytes -= r.Event.size()
	return r
}

func (q *Queue) lose(r Record) {
	// A record of losses that is lost itself passes on what it told.
	d, ok := r.Event.(Dropped)
	if !ok {
		d = Dropped{}
	}
	d.Count++
	d.Of[r.Event.level()]++
	if d.First == 0 || r.Seq < d.First {
		d.First = r.Seq
	}
	d.Last = max(d.Last, r.Seq)
	q.lost.add(d)
}

func (d *Dropped) add(o Dropped) {
	if o.Count == 0 {
		return
	}
	if d.Count == 0 || o.First < d.First {
		d.First = o.First
	}
	d.Last = max(d.Last, o.Last)
	d.Count += o.Count
	for i := range d.Of {
		d.Of[i] += o.Of[i]
	}
}

// Take appends to out at most so many records, in the order of their numbers, and returns it.
func (q *Queue) Take(out []Record, most int) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	for ; most > 0 && q.records > 0; most-- {
		next, found := Level(0), false
		for l := range q.lanes {
			if q.lanes[l].len() > 0 && (!found || q.lanes[l].first().Seq < q.lanes[next].first().Seq) {
				next, found = Level(l), true
			}
		}
		out = append(out, q.pop(next))
	}
	return out
}

// Lost returns what was lost since it returned something last, once there is room to tell it, or when asked at the end.
func (q *Queue) Lost(end bool) (d Dropped, lost bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lost.Count == 0 || !end && (q.records > q.mostRec/2 || q.bytes > q.mostB/2) {
		return Dropped{}, false
	}
	d, q.lost = q.lost, Dropped{}
	return d, true
}

// Len is the number of records and bytes that wait.
func (q *Queue) Len() (records, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records, q.bytes
}

// lane is a queue of records on a ring that grows as needed, and gives back what a burst took once it is empty.
type lane struct {
	ring []Record
	head int
	n    int
}

// small is the ring that is kept when a lane is empty.
const small = 1024

func (l *lane) len() int       { return l.n }
func (l *lane) first() *Record { return &l.ring[l.head] }

func (l *lane) push(r Record) {
	if l.n == len(l.ring) {
		more := make([]Record, max(16, 2*len(l.ring)))
		n := copy(more, l.ring[l.head:])
		copy(more[n:], l.ring[:l.head])
		l.ring, l.head = more, 0
	}
	l.ring[(l.head+l.n)&(len(l.ring)-1)] = r
	l.n++
}

func (l *lane) pop() Record {
	r := l.ring[l.head]
	l.ring[l.head] = Record{}
	l.head = (l.head + 1) & (len(l.ring) - 1)
	if l.n--; l.n == 0 && len(l.ring) > small {
		l.ring, l.head = nil, 0
	}
	return r
}
