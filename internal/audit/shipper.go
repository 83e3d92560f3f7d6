package audit

import (
	"sync"
	"time"
)

// Sink takes messages in order.
type Sink interface {
	// Put says how many messages it took; the rest is offered again. It may wait for a disk.
	Put(msgs [][]byte) int
}

// ShipperOptions bound a Shipper.
type ShipperOptions struct {
	Gather time.Duration // how often the queue is looked at. Guards the loop: nobody is woken when something is recorded
	Heads  uint64        // messages after which the head of the chain is due,
	Every  time.Duration // or the time after which it is, if there are any
	Now    func() time.Time
}

// Shipper takes records from the queue, in a goroutine of its own, and hands them to the sink as messages.
type Shipper struct {
	opt   ShipperOptions
	queue *Queue
	enc   *Encoder
	sink  Sink
	keys  chan Key
	quit  chan time.Time
	done  chan struct{}
	once  sync.Once

	recs    []Record
	length  int // of a message, about
	pending [][]byte
	headAt  time.Time
	lost    int // messages that were left at the end
}

// batch is how many records are encoded at once.
const batch = 256

// NewShipper starts one.
func NewShipper(opt ShipperOptions, q *Queue, e *Encoder, sink Sink) *Shipper {
	s := &Shipper{
		opt: opt, queue: q, enc: e, sink: sink, keys: make(chan Key, 1), quit: make(chan time.Time, 1),
		done: make(chan struct{}), headAt: opt.Now(),
	}
	go s.run()
	return s
}

// Use changes the key of the chain: a head under the old one closes what it has hashed. Only one call may be on its way:
// false says that the one before is not heeded yet.
func (s *Shipper) Use(k Key) bool {
	select {
	case s.keys <- k:
		return true
	default:
		return false
	}
}

// Close hands on what is queued, and the last head, within the given time, and returns how many messages were left.
func (s *Shipper) Close(within time.Duration) int {
	s.once.Do(func() { s.quit <- time.Now().Add(within) })
	<-s.done
	return s.lost
}

func (s *Shipper) run() {
	defer close(s.done)
	tick := time.NewTicker(s.opt.Gather)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.work()
		case k := <-s.keys:
			s.work()
			s.head(&k)
		case until := <-s.quit:
			for {
				s.work()
				if records, _ := s.queue.Len(); records == 0 && len(s.pending) == 0 || time.Now().After(until) {
					break
				}
				time.Sleep(s.opt.Gather)
			}
			if s.enc.Due() > 0 {
				s.head(nil)
			}
			for len(s.pending) > 0 && !time.Now().After(until) {
				s.offer()
				time.Sleep(s.opt.Gather)
			}
			records, _ := s.queue.Len()
			s.lost = records + len(s.pending)
			return
		}
	}
}

// offer hands on what is encoded, and says whether all of it was taken.
func (s *Shipper) offer() bool {
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

// work empties the queue into the sink. What the sink does not take stays queued, where importance decides.
func (s *Shipper) work() {
	for s.offer() {
		s.recs = s.queue.Take(s.recs[:0], batch)
		if len(s.recs) == 0 {
			if s.enc.Due() > 0 && s.opt.Now().Sub(s.headAt) >= s.opt.Every {
				s.head(nil)
				continue
			}
			return
		}
		all := make([]byte, 0, len(s.recs)*s.length)
		ends := make([]int, 0, len(s.recs))
		for i, r := range s.recs {
			all = append(all, s.enc.Encode(r)...)
			ends = append(ends, len(all))
			s.recs[i] = Record{}
		}
		s.length = len(all)/len(s.recs) + 16
		from := 0
		for _, to := range ends {
			s.pending = append(s.pending, all[from:to:to])
			from = to
		}
		if due := s.enc.Due(); due >= s.opt.Heads {
			s.head(nil)
		}
	}
}

// head closes a batch.
func (s *Shipper) head(next *Key) {
	now := s.opt.Now()
	s.headAt = now
	if msg, err := s.enc.Chain(now, next); err == nil {
		s.pending = append(s.pending, append([]byte(nil), msg...))
	}
}
