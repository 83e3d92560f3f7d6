package syslog

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"limeladder/internal/spool"
)

// Options bound a Sender. All times and sizes come from the program's limits and the operators' file.
type Options struct {
	Collectors []Collector
	TLS        *tls.Config
	Seed       uint64

	Window int // bytes of messages that are kept in memory: those to be sent, and those not yet acknowledged
	Repeat int // bytes of acknowledged messages that are sent again behind a connection that was reset, 0 = none

	Spool  string // a folder; "" = none
	Name   string // of this process's own folder in it
	Disk   spool.Options
	Replay int // messages a second from the spool, 0 = no such limit

	Connect time.Duration // until a connection stands, its handshake included
	Stall   time.Duration // until a chunk is taken
	First   time.Duration // the first wait behind a failure,
	Last    time.Duration // and the longest
	Prefer  time.Duration // how often a collector in front of the one in use is tried
}

// chunk is what one write carries: with TLS one record, which arrives whole or not at all.
const chunk = 16 << 10

// finishing is how long the end of a connection waits for acknowledgements.
const finishing = 500 * time.Millisecond

// quieting is how long acknowledgements may be late, and a little more.
const quieting = 60 * time.Millisecond

// adopting is how often it is looked for what a process that has died has left.
const adopting = 5 * time.Second

// Stats is what a Sender has done. It may be read from any goroutine.
type Stats struct {
	Sent      uint64 // messages that were delivered, as far as the transport tells
	Repeated  uint64 // of them, those that may have been delivered before
	Connects  uint64
	Spooled   uint64 // messages that went to the spool
	Lost      uint64 // messages that were given up at the end
	SpoolErrs uint64 // times that the disk refused
	Skipped   uint64 // bytes of the spool that were no whole record
	Connected bool
}

// Sender carries messages to the first collector that takes them, in order. Put is called by one goroutine; what it
// takes waits in memory and then in the spool, and where there is no room it takes nothing.
type Sender struct {
	opt    Options
	log    *slog.Logger
	wake   chan struct{}
	quit   chan struct{}
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	start  time.Time
	ended  sync.Once

	pendingChange atomic.Pointer[change] // set by the event loop, which must not wait for mu

	mu      sync.Mutex // held while the spool is written and synced
	waiting [][]byte   // oldest first; older than all that is in the spool
	bytes   int        // of waiting and of flight
	own     *spool.Spool
	broken  time.Time // the disk has refused: it is not tried again before this
	left    []*spool.Spool
	link    *link // for Close, which cuts its writes short
	until   time.Time

	// owned by run
	flight  []flight
	recent  [][]byte // acknowledged ones, at most Repeat bytes
	kept    int
	short   int // connections that were reset soon, one after the other
	still   int // times in a row that nothing new was acknowledged
	turn    Failover
	using   int
	frame   []byte
	tokens  float64
	filled  time.Time
	synced  time.Time
	adopted time.Time

	sent, repeated, connects, spooled, lost, errs, skipped atomic.Uint64
	connected                                              atomic.Bool
}

type change struct {
	collectors []Collector
	tls        *tls.Config
}

// flight is a chunk that is written and not acknowledged.
type flight struct {
	msgs [][]byte
	from *spool.Spool // nil = memory
	off  int64        // there, where its first message starts
	ends []int64      // where each message ends on the connection; one entry for a chunk of TLS
}

// NewSender starts to send. It finds what earlier processes have left in the spool.
func NewSender(opt Options, log *slog.Logger) (*Sender, error) {
	s := &Sender{
		opt: opt, log: log, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}),
		start: time.Now(), using: -1, filled: time.Now(), adopted: time.Now(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.turn = *NewFailover(len(opt.Collectors), opt.Seed, opt.First, opt.Last)
	if opt.Spool != "" {
		var err error
		if s.left, err = spool.Adopt(opt.Spool, opt.Disk); err != nil {
			return nil, err
		}
		if s.own, err = spool.Create(opt.Spool, opt.Name, opt.Disk); err != nil {
			return nil, err
		}
	}
	go s.run()
	return s, nil
}

// Put takes messages in order, and says how many. It keeps them; it may wait for the disk, never for a collector.
func (s *Sender) Put(msgs [][]byte) int {
	s.mu.Lock()
	n := s.remember(msgs)
	if n < len(msgs) && s.own != nil && !s.failing() {
		k, err := s.own.Append(msgs[n:])
		s.spooled.Add(uint64(k))
		n += k
		if err != nil && !errors.Is(err, spool.ErrFull) {
			s.fault(err)
			n += s.remember(msgs[n:])
		}
	}
	s.mu.Unlock()
	if n > 0 {
		s.nudge()
	}
	return n
}

// remember keeps messages in memory, as far as there is room. Guards against a SIGKILL: with a spool that works memory
// holds only what is on its way, and while nobody takes it nothing.
func (s *Sender) remember(msgs [][]byte) (n int) {
	if s.own != nil && (!s.own.Empty() || s.link == nil && !s.failing()) {
		return 0
	}
	for n < len(msgs) && s.bytes+len(msgs[n]) <= s.opt.Window {
		s.waiting = append(s.waiting, msgs[n])
		s.bytes += len(msgs[n])
		n++
	}
	return n
}

// failing says that the disk has refused a moment ago.
func (s *Sender) failing() bool { return time.Now().Before(s.broken) }

// fault notes that the disk has refused. Guards against asking a full disk for each message.
func (s *Sender) fault(err error) {
	s.errs.Add(1)
	s.broken = time.Now().Add(time.Second)
	s.log.Warn("syslog: spool", "err", err)
}

func (s *Sender) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Stats returns what was done so far.
func (s *Sender) Stats() Stats {
	return Stats{
		Sent: s.sent.Load(), Repeated: s.repeated.Load(), Connects: s.connects.Load(), Spooled: s.spooled.Load(),
		Lost: s.lost.Load(), SpoolErrs: s.errs.Load(), Skipped: s.skipped.Load(), Connected: s.connected.Load(),
	}
}

// Change sets other collectors; what is on its way to an old one is finished first. It never waits, not for the disk of
// the spool either.
func (s *Sender) Change(collectors []Collector, tlsConfig *tls.Config) {
	s.pendingChange.Store(&change{collectors: collectors, tls: tlsConfig})
	s.nudge()
}

// Close sends what waits for at most so long. What is left then goes to the spool, or is counted as lost.
func (s *Sender) Close(within time.Duration) { s.ended.Do(func() { s.close(within) }) }

func (s *Sender) close(within time.Duration) {
	until := time.Now().Add(within)
	end := time.AfterFunc(within, s.cancel)
	defer end.Stop()
	s.mu.Lock()
	s.until = until // run reads it only once quit is closed
	if s.link != nil {
		s.link.raw.SetWriteDeadline(until)
	}
	s.mu.Unlock()
	close(s.quit)
	<-s.done
	s.cancel()

	s.mu.Lock()
	defer s.mu.Unlock()
	rest := s.waiting
	if s.own != nil {
		if err := s.own.Front(rest); err == nil {
			rest = nil
		} else {
			s.log.Warn("syslog: spool", "err", err)
		}
		s.skipped.Add(uint64(s.own.Skipped()))
		if err := s.own.Close(); err != nil {
			s.log.Warn("syslog: spool", "err", err)
		}
	}
	for _, o := range s.left {
		_ = o.Close() // where its cursor is not kept the next start sends messages again, and loses none
	}
	s.lost.Add(uint64(len(rest)))
	s.waiting, s.bytes = nil, 0
}
