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

// Options configure a Sender. Its times and sizes come from the program's limits and the operators' settings.
type Options struct {
	Collectors []Collector // the preferred one first
	TLS        *tls.Config // for collectors with the network tls
	Seed       uint64      // of the jitter of the backoff

	// MemoryBytes is the size limit in bytes of the messages in memory: those to be sent, and those not yet
	// acknowledged. The send buffer of a connection has the same size.
	MemoryBytes int
	RepeatBytes int // how many bytes of acknowledged messages are sent again after a connection was reset, 0 = none

	SpoolFolder  string // the folder of the spools of all processes; "" = messages are not stored on disk
	SpoolName    string // the name of this process's own folder in it
	SpoolOptions spool.Options
	ReplayRate   int // the rate limit for messages from the spool, in messages per second, 0 = none

	ConnectTimeout time.Duration // the timeout for connecting, TLS handshake included
	StallTimeout   time.Duration // the timeout for writing a chunk. A connection that lasts longer resets the backoff
	MinBackoff     time.Duration // the backoff after the first failure of a collector; each further one doubles it
	MaxBackoff     time.Duration // the limit of the backoff
	// FailbackInterval is how long a connection lasts at least before the Sender tries collectors again that are
	// preferred to the connected one.
	FailbackInterval time.Duration
}

// maxChunkBytes is the size limit of one write in bytes. It is the size limit of a TLS record, which arrives whole or
// not at all.
const maxChunkBytes = 16 << 10

// closeAckTimeout is how long closing a connection waits for acknowledgements.
const closeAckTimeout = 500 * time.Millisecond

// lateAckTimeout is how long an acknowledgement may be delayed, plus a margin.
const lateAckTimeout = 60 * time.Millisecond

// adoptInterval is how often the spools of processes that have died are searched for.
const adoptInterval = 5 * time.Second

// Stats counts what a Sender has done since its start.
type Stats struct {
	Sent         uint64 // delivered messages, as far as the transport can tell; repeated ones count again
	Repeated     uint64 // acknowledged messages that were queued again because the collector may not have read them
	Connections  uint64 // successful connections
	Spooled      uint64 // messages that were written to the spool
	Lost         uint64 // messages that Close could neither send nor store
	SpoolErrors  uint64 // failed operations on the spool
	SkippedBytes uint64 // bytes of the spool that were not part of a complete record
	Connected    bool   // there is a connection to a collector
}

// Sender sends messages in order to the most preferred collector that can be reached. Put is called by one goroutine.
// The messages that it accepts wait in memory and, beyond Options.MemoryBytes, in the spool; when both are full it
// accepts none.
type Sender struct {
	opt       Options
	log       *slog.Logger
	wake      chan struct{} // a value ends a pause of run
	quit      chan struct{} // closed by Close
	done      chan struct{} // closed when run has returned
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	closeOnce sync.Once

	pendingChange atomic.Pointer[collectorChange] // set by the event loop, which must not wait for mu

	mu            sync.Mutex // held while the spool is written and synced, so for as long as the disk takes
	waiting       [][]byte   // messages in memory, oldest first; all are older than those in the spool
	memoryBytes   int        // the size of the messages of waiting, and of those of unacked that come from memory
	ownSpool      *spool.Spool
	spoolRetryAt  time.Time // the disk has failed and is not used before this
	adoptedSpools []*spool.Spool
	connection    *connection // the current one, nil = none; Close limits the time of its writes
	closeDeadline time.Time

	// These are used by the goroutine of run only.
	unacked        []chunk
	recent         [][]byte // the newest acknowledged messages, at most Options.RepeatBytes bytes
	recentBytes    int
	earlyResets    int // how many connections broke since one lasted longer than Options.StallTimeout
	idleAckChecks  int // consecutive checks that found no new acknowledgement
	failover       Failover
	collectorIndex int // of the current or last connection's collector, -1 = there was none
	writeBuffer    []byte
	replayTokens   float64 // the messages that Options.ReplayRate allows to send from the spool now
	tokensFilledAt time.Time
	syncedAt       time.Time
	adoptedAt      time.Time

	sent, repeated, connections, spooled, lost, spoolErrors, skippedBytes atomic.Uint64
	connected                                                             atomic.Bool
}

// collectorChange holds the arguments of a call of SetCollectors that run has not applied yet.
type collectorChange struct {
	collectors []Collector
	tls        *tls.Config
}

// chunk is a group of messages that are written to a stream with one write, over TLS as one record. Over UDP each of
// them is a datagram.
type chunk struct {
	msgs         [][]byte
	source       *spool.Spool // the spool that they come from, nil = memory
	sourceOffset int64        // where the first message starts in the oldest segment of the spool
	endOffsets   []int64      // byte offsets on the connection at which the messages end; over TLS one for all
}

// NewSender returns a Sender and starts its goroutine. It adopts the spools that earlier processes have left.
func NewSender(opt Options, log *slog.Logger) (*Sender, error) {
	s := &Sender{
		opt: opt, log: log, wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}),
		startedAt: time.Now(), collectorIndex: -1, tokensFilledAt: time.Now(), adoptedAt: time.Now(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.failover = *NewFailover(len(opt.Collectors), opt.Seed, opt.MinBackoff, opt.MaxBackoff)
	if opt.SpoolFolder != "" {
		var err error
		if s.adoptedSpools, err = spool.Adopt(opt.SpoolFolder, opt.SpoolOptions); err != nil {
			return nil, err
		}
		if s.ownSpool, err = spool.Create(opt.SpoolFolder, opt.SpoolName, opt.SpoolOptions); err != nil {
			return nil, err
		}
	}
	go s.run()
	return s, nil
}

// Put accepts messages in order, and returns how many. The Sender keeps the slices, so the caller must not change them.
// Put may wait for the disk, but never for a collector.
func (s *Sender) Put(msgs [][]byte) int {
	s.mu.Lock()
	n := s.addToMemory(msgs)
	if n < len(msgs) && s.ownSpool != nil && !s.spoolFailedRecently() {
		appended, err := s.ownSpool.Append(msgs[n:])
		s.spooled.Add(uint64(appended))
		n += appended
		if err != nil && !errors.Is(err, spool.ErrFull) {
			s.noteSpoolError(err)
			n += s.addToMemory(msgs[n:])
		}
	}
	s.mu.Unlock()
	if n > 0 {
		s.wakeRun()
	}
	return n
}

// addToMemory adds messages to those in memory as far as there is room, and returns how many. SIGKILL loses the
// messages in memory. So with a spool nothing is added while there is no connection, unless the disk has failed
// recently. Nothing is added either while the spool holds messages, as these are older.
func (s *Sender) addToMemory(msgs [][]byte) (n int) {
	if s.ownSpool != nil && (!s.ownSpool.Empty() || s.connection == nil && !s.spoolFailedRecently()) {
		return 0
	}
	for n < len(msgs) && s.memoryBytes+len(msgs[n]) <= s.opt.MemoryBytes {
		s.waiting = append(s.waiting, msgs[n])
		s.memoryBytes += len(msgs[n])
		n++
	}
	return n
}

// spoolFailedRecently reports whether the spool must not be used yet after an error.
func (s *Sender) spoolFailedRecently() bool { return time.Now().Before(s.spoolRetryAt) }

// noteSpoolError counts and logs an error of the spool, which is then not used for a second. Otherwise each message
// would cause an attempt to write to a full disk.
func (s *Sender) noteSpoolError(err error) {
	s.spoolErrors.Add(1)
	s.spoolRetryAt = time.Now().Add(time.Second)
	s.log.Warn("syslog: spool operation failed, retrying after 1 s", "err", err)
}

// wakeRun ends a pause of the goroutine of run.
func (s *Sender) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Stats returns the counters. It may be called from any goroutine.
func (s *Sender) Stats() Stats {
	return Stats{
		Sent: s.sent.Load(), Repeated: s.repeated.Load(), Connections: s.connections.Load(), Spooled: s.spooled.Load(),
		Lost: s.lost.Load(), SpoolErrors: s.spoolErrors.Load(), SkippedBytes: s.skippedBytes.Load(),
		Connected: s.connected.Load(),
	}
}

// SetCollectors replaces the collectors. The goroutine of the Sender applies this, and closes the old connection
// gracefully. SetCollectors never blocks, not even while the spool waits for the disk.
func (s *Sender) SetCollectors(collectors []Collector, tlsConfig *tls.Config) {
	s.pendingChange.Store(&collectorChange{collectors: collectors, tls: tlsConfig})
	s.wakeRun()
}

// Close sends waiting messages for at most timeout. It then writes those that are left to the spool, or counts them as
// lost.
func (s *Sender) Close(timeout time.Duration) { s.closeOnce.Do(func() { s.close(timeout) }) }

func (s *Sender) close(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	timer := time.AfterFunc(timeout, s.cancel)
	defer timer.Stop()
	s.mu.Lock()
	s.closeDeadline = deadline // run reads it only once quit is closed
	if s.connection != nil {
		s.connection.socket.SetWriteDeadline(deadline)
	}
	s.mu.Unlock()
	close(s.quit)
	<-s.done
	s.cancel()

	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := s.waiting
	if s.ownSpool != nil {
		if err := s.ownSpool.Prepend(remaining); err == nil {
			remaining = nil
		} else {
			s.log.Warn("syslog: storing unsent messages in the spool failed, they are lost", "err", err)
		}
		s.skippedBytes.Add(uint64(s.ownSpool.Skipped()))
		if err := s.ownSpool.Close(); err != nil {
			s.log.Warn("syslog: closing the spool failed", "err", err)
		}
	}
	for _, other := range s.adoptedSpools {
		_ = other.Close() // if its cursor is not saved, the next start sends messages again, but loses none
	}
	s.lost.Add(uint64(len(remaining)))
	s.waiting, s.memoryBytes = nil, 0
}
