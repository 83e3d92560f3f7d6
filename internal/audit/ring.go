package audit

// ring is a first-in, first-out queue of records in a ring buffer. It grows as needed, and releases a large
// buffer once it is empty after a burst. The size of the buffer, in records, is always a power of two.
type ring struct {
	records []Record
	head    int // the index of the oldest record
	count   int
}

const (
	// minRingSize is the size of the buffer, in records, that the first record allocates.
	minRingSize = 16
	// maxIdleRingSize is the size, in records, of the largest buffer that is kept when the ring becomes empty.
	maxIdleRingSize = 1024
)

// length returns the number of records.
func (r *ring) length() int { return r.count }

// first returns the oldest record. The ring must not be empty.
func (r *ring) first() *Record { return &r.records[r.head] }

// push appends a record.
func (r *ring) push(record Record) {
	if r.count == len(r.records) {
		r.grow()
	}
	r.records[(r.head+r.count)&(len(r.records)-1)] = record
	r.count++
}

// grow moves the records to a buffer of twice the size.
func (r *ring) grow() {
	larger := make([]Record, max(minRingSize, 2*len(r.records)))
	moved := copy(larger, r.records[r.head:])
	copy(larger[moved:], r.records[:r.head])
	r.records = larger
	r.head = 0
}

// pop removes and returns the oldest record. The ring must not be empty.
func (r *ring) pop() Record {
	record := r.records[r.head]
	r.records[r.head] = Record{}
	r.head = (r.head + 1) & (len(r.records) - 1)
	r.count--
	if r.count == 0 && len(r.records) > maxIdleRingSize {
		r.records = nil
		r.head = 0
	}
	return record
}
