package audit

import (
	"math"
	"sync"
	"time"
)

// Record is an event with its sequence number and the time at which it was recorded.
type Record struct {
	Seq   uint64
	Time  time.Time
	Event Event
}

// Queue holds the records that wait to be sent, by level. It is bounded in records and in bytes; when it is full, a
// record of the lowest level is dropped, even if it is newer than others. It is safe for concurrent use, and its lock
// is never held during an operation that can block.
type Queue struct {
	mu         sync.Mutex
	byLevel    [levelCount]ring
	records    int
	bytes      int
	maxRecords int
	maxBytes   int
	dropped    Dropped
}

// NewQueue returns an empty Queue that holds at most the given number of records and bytes.
func NewQueue(records, bytes int) *Queue { return &Queue{maxRecords: records, maxBytes: bytes} }

// Push adds a record. If there is no room for it, the oldest records of the lowest levels are dropped and counted, so
// that the evidence of rejected and failed requests is kept longer than that of served ones. If removing all records of
// lower levels does not make enough room, the new record itself is dropped.
func (q *Queue) Push(record Record) {
	level := record.Event.level()
	size := record.Event.size()
	q.mu.Lock()
	defer q.mu.Unlock()
	for low := Level(0); low < level && q.isFullFor(size); {
		if q.byLevel[low].length() == 0 {
			low++
			continue
		}
		q.drop(q.pop(low))
	}
	if q.isFullFor(size) {
		q.drop(record)
		return
	}
	q.byLevel[level].push(record)
	q.records++
	q.bytes += size
}

// isFullFor reports whether there is no room for a record of the given size in bytes.
func (q *Queue) isFullFor(size int) bool {
	return q.records >= q.maxRecords || q.bytes+size > q.maxBytes
}

// pop removes and returns the oldest record of a level that is not empty.
func (q *Queue) pop(level Level) Record {
	record := q.byLevel[level].pop()
	q.records--
	q.bytes -= record.Event.size()
	return record
}

// drop counts a dropped record. If it is itself a Dropped record, the records that it counted are counted again.
func (q *Queue) drop(record Record) {
	losses, _ := record.Event.(Dropped) // the zero value counts nothing
	losses.Count++
	losses.ByLevel[record.Event.level()]++
	if losses.First == 0 || record.Seq < losses.First {
		losses.First = record.Seq
	}
	losses.Last = max(losses.Last, record.Seq)
	q.dropped.add(losses)
}

// add adds the counts of other to d and extends the range of numbers.
func (d *Dropped) add(other Dropped) {
	if other.Count == 0 {
		return
	}
	if d.Count == 0 || other.First < d.First {
		d.First = other.First
	}
	d.Last = max(d.Last, other.Last)
	d.Count += other.Count
	for level := range d.ByLevel {
		d.ByLevel[level] += other.ByLevel[level]
	}
}

// Take removes at most limit records in the order of their numbers, appends them to out and returns the extended slice.
func (q *Queue) Take(out []Record, limit int) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	for ; limit > 0 && q.records > 0; limit-- {
		out = append(out, q.pop(q.oldestLevel()))
	}
	return out
}

// oldestLevel returns the level that holds the record with the lowest number. The queue must not be empty.
func (q *Queue) oldestLevel() Level {
	var oldest Level
	lowest := uint64(math.MaxUint64)
	for level := range q.byLevel {
		records := &q.byLevel[level]
		if records.length() > 0 && records.first().Seq < lowest {
			oldest = Level(level)
			lowest = records.first().Seq
		}
	}
	return oldest
}

// TakeDropped returns and resets the counts of dropped records. ok is false if no record was dropped. Unless end is
// set, which means that the recording ends, ok is also false while more than half of the queue is used, so that there
// is room for the record that reports the counts.
func (q *Queue) TakeDropped(end bool) (losses Dropped, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.dropped.Count == 0 || !end && q.isOverHalfFull() {
		return Dropped{}, false
	}
	losses = q.dropped
	q.dropped = Dropped{}
	return losses, true
}

// isOverHalfFull reports whether more than half of either bound is used.
func (q *Queue) isOverHalfFull() bool {
	return q.records > q.maxRecords/2 || q.bytes > q.maxBytes/2
}

// Len returns the number of queued records and their size in bytes.
func (q *Queue) Len() (records, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records, q.bytes
}
