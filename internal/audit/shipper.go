package audit

import (
	"bytes"
	"sync"
	"time"
)

// Sink accepts messages in order.
type Sink interface {
	// Put returns the number of messages that it accepted, starting with the first; the rest is offered again. It may
	// block on disk writes.
	Put(msgs [][]byte) int
}

// ShipperOptions configure a Shipper.
type ShipperOptions struct {
	// Interval is the time between two passes that empty the queue. The queue is polled because waking a goroutine for
	// each record would cost the event loop time.
	Interval time.Duration
	// MessagesPerHead is the number of messages after which the head of the chain is due.
	MessagesPerHead uint64
	// HeadInterval is the time after which the head of the chain is due if there are messages since the last head.
	HeadInterval time.Duration
	// Now is the wall clock.
	Now func() time.Time
}

// Shipper takes records from the queue, encodes them and passes the messages to the sink, all on its own goroutine.
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
	averageLength int // of a message in the last batch, plus lengthMargin, in bytes
	pending       [][]byte
	lastHeadAt    time.Time
	unsent        int // records and messages that the sink had not accepted at the end
}

const (
	// maxBatch is the maximum number of records that are encoded at once.
	maxBatch = 256
	// lengthMargin is the number of bytes added to the average length of a message, so that the buffer of a batch seldom
	// has to grow.
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

// UseKey changes the key of the chain. A head that is written with the old key first proves the earlier messages. Only
// one change may be pending: UseKey returns false if the previous one has not been applied yet.
func (s *Shipper) UseKey(key Key) bool {
	select {
	case s.keys <- key:
		return true
	default:
		return false
	}
}

// Close sends the queued records and the last head to the sink within the given time and stops the goroutine. It
// returns the number of records and messages that the sink did not accept.
func (s *Shipper) Close(within time.Duration) int {
	s.closeOnce.Do(func() { s.deadline <- time.Now().Add(within) })
	<-s.stopped
	return s.unsent
}

// run is the main loop of the Shipper's goroutine.
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

// finish sends the queued records and the last head to the sink until a deadline, and counts those that remain.
func (s *Shipper) finish(until time.Time) {
	s.drainQueue()
	for s.backlog() > 0 && !time.Now().After(until) {
		time.Sleep(s.options.Interval)
		s.drainQueue()
	}
	if s.encoder.MessagesSinceHead() > 0 {
		s.appendHead(nil)
	}
	for len(s.pending) > 0 && !time.Now().After(until) {
		s.offerPending()
		time.Sleep(s.options.Interval)
	}
	s.unsent = s.backlog()
}

// backlog returns the number of records and messages that the sink has not accepted.
func (s *Shipper) backlog() int {
	records, _ := s.queue.Len()
	return records + len(s.pending)
}

// offerPending offers the encoded messages to the sink and reports whether it accepted all of them.
func (s *Shipper) offerPending() bool {
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

// drainQueue encodes the queued records and sends them to the sink until the queue is empty or the sink does not accept
// more. The other records stay in the queue, where their level decides which are dropped.
func (s *Shipper) drainQueue() {
	for s.offerPending() {
		s.batch = s.queue.Take(s.batch[:0], maxBatch)
		if len(s.batch) == 0 {
			if !s.isHeadOverdue() {
				return
			}
			s.appendHead(nil)
			continue
		}
		s.encodeBatch()
		if s.encoder.MessagesSinceHead() >= s.options.MessagesPerHead {
			s.appendHead(nil)
		}
	}
}

// isHeadOverdue reports whether there are messages since the last head and HeadInterval has passed since it.
func (s *Shipper) isHeadOverdue() bool {
	return s.encoder.MessagesSinceHead() > 0 && s.options.Now().Sub(s.lastHeadAt) >= s.options.HeadInterval
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

// appendHead appends the head of the chain, which proves all messages before it. next is the key of the messages after
// it, or nil to keep the current one.
func (s *Shipper) appendHead(next *Key) {
	now := s.options.Now()
	s.lastHeadAt = now
	if msg, err := s.encoder.EncodeHead(now, next); err == nil {
		s.pending = append(s.pending, bytes.Clone(msg))
	}
}
