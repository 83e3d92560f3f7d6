package audit

import (
	"bytes"
	"sync"
	"time"
)

// Sink accepts messages in order.
type Sink interface {
	// Put returns how many messages it accepted; the rest is offered again. It may wait for a disk.
	Put(msgs [][]byte) int
}

// ShipperOptions bound a Shipper.
type ShipperOptions struct {
	// Interval is how often the queue is emptied. The event loop would lose time if each record woke a goroutine.
	Interval time.Duration
	// MessagesPerHead is the number of messages after which the head of the chain is due.
	MessagesPerHead uint64
	// HeadInterval is the time after which the head of the chain is due where there are messages since the last one.
	HeadInterval time.Duration
	// Now is the wall clock.
	Now func() time.Time
}

// Shipper takes records from the queue, encodes them and hands the messages to the sink, all in a goroutine of its own.
type Shipper struct {
	options   ShipperOptions
	queue     *Queue
	encoder   *Encoder
	sink      Sink
	keys      chan Key
	deadline  chan time.Time
	stopped   chan struct{}
	closeOnce sync.Once

	batch         []Record
	averageLength int // of a message in the last batch, and a little more
	pending       [][]byte
	lastHeadAt    time.Time
	unsent        int // records and messages that were left at the end
}

const (
	// maxBatch is how many records are encoded at once.
	maxBatch = 256
	// lengthMargin is added to the average length of a message, so that the buffer of a batch seldom grows.
	lengthMargin = 16
)

// NewShipper returns a Shipper whose goroutine runs until Close.
func NewShipper(options ShipperOptions, queue *Queue, encoder *Encoder, sink Sink) *Shipper {
	s := &Shipper{
		options:    options,
		queue:      queue,
		encoder:    encoder,
		sink:       sink,
		keys:       make(chan Key, 1),
		deadline:   make(chan time.Time, 1),
		stopped:    make(chan struct{}),
		lastHeadAt: options.Now(),
	}
	go s.run()
	return s
}

// Use changes the key of the chain; a head under the old key proves what was hashed with it. Only one change may be
// pending: Use returns false while the change before has not been applied.
func (s *Shipper) Use(key Key) bool {
	select {
	case s.keys <- key:
		return true
	default:
		return false
	}
}

// Close hands over what is queued, and the last head, within the given time. It returns how many messages were left.
func (s *Shipper) Close(within time.Duration) int {
	s.closeOnce.Do(func() { s.deadline <- time.Now().Add(within) })
	<-s.stopped
	return s.unsent
}

// run is the goroutine of the Shipper.
func (s *Shipper) run() {
	defer close(s.stopped)
	tick := time.NewTicker(s.options.Interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.drainQueue()
		case key := <-s.keys:
			s.drainQueue()
			s.appendHead(&key)
		case until := <-s.deadline:
			s.finish(until)
			return
		}
	}
}

// finish hands over what is queued, and the last head, until a deadline, and counts what is left.
func (s *Shipper) finish(until time.Time) {
	s.drainQueue()
	for s.backlog() > 0 && !time.Now().After(until) {
		time.Sleep(s.options.Interval)
		s.drainQueue()
	}
	if s.encoder.Due() > 0 {
		s.appendHead(nil)
	}
	for len(s.pending) > 0 && !time.Now().After(until) {
		s.handOver()
		time.Sleep(s.options.Interval)
	}
	s.unsent = s.backlog()
}

// backlog returns the number of records and messages that the sink has not accepted.
func (s *Shipper) backlog() int {
	records, _ := s.queue.Len()
	return records + len(s.pending)
}

// handOver offers what is encoded to the sink, and reports whether all of it was accepted.
func (s *Shipper) handOver() bool {
	for len(s.pending) > 0 {
		n := s.sink.Put(s.pending)
		s.pending = s.pending[n:]
		if n == 0 {
			return false
		}
	}
	s.pending = nil
	return true
}

// drainQueue empties the queue into the sink. What the sink does not accept stays queued, where the level of a record
// decides whether it is dropped.
func (s *Shipper) drainQueue() {
	for s.handOver() {
		s.batch = s.queue.Take(s.batch[:0], maxBatch)
		if len(s.batch) == 0 {
			if !s.isHeadOverdue() {
				return
			}
			s.appendHead(nil)
			continue
		}
		s.encodeBatch()
		if s.encoder.Due() >= s.options.MessagesPerHead {
			s.appendHead(nil)
		}
	}
}

// isHeadOverdue reports whether messages have waited too long for a head that proves them.
func (s *Shipper) isHeadOverdue() bool {
	return s.encoder.Due() > 0 && s.options.Now().Sub(s.lastHeadAt) >= s.options.HeadInterval
}

// encodeBatch encodes the records of the batch, which is not empty, into one buffer that all their messages share.
func (s *Shipper) encodeBatch() {
	buffer := make([]byte, 0, len(s.batch)*s.averageLength)
	ends := make([]int, 0, len(s.batch))
	for i, record := range s.batch {
		buffer = append(buffer, s.encoder.Encode(record)...)
		ends = append(ends, len(buffer))
		s.batch[i] = Record{}
	}
	s.averageLength = len(buffer)/len(s.batch) + lengthMargin
	from := 0
	for _, to := range ends {
		s.pending = append(s.pending, buffer[from:to:to])
		from = to
	}
}

// appendHead appends the head of the chain, which proves everything before it. next is the key of what follows, or nil.
func (s *Shipper) appendHead(next *Key) {
	now := s.options.Now()
	s.lastHeadAt = now
	if msg, err := s.encoder.Chain(now, next); err == nil {
		s.pending = append(s.pending, bytes.Clone(msg))
	}
}
