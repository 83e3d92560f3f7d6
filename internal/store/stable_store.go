package store

import (
	"log/slog"
	"runtime"
	"sync"
	"time"
)

// stableRetryInterval is the pause before a failed write of the term is retried.
const stableRetryInterval = 100 * time.Millisecond

// stableStore implements raft.StableStore on top of the log. Raft panics if it can't save its term, so a full disk
// would end the whole program. SetUint64 therefore blocks raft's goroutine until the write succeeds: meanwhile the
// member acknowledges nothing, and the other members continue without it.
type stableStore struct {
	*wal
	log      *slog.Logger
	stopped  chan struct{} // closed by stop
	stopOnce sync.Once
}

func newStableStore(w *wal, log *slog.Logger) *stableStore {
	return &stableStore{wal: w, log: log, stopped: make(chan struct{})}
}

// stop ends the goroutines that are blocked in SetUint64.
func (s *stableStore) stop() { s.stopOnce.Do(func() { close(s.stopped) }) }

// SetUint64 implements raft.StableStore. It returns once the value is on the disk. If the store stops first, it ends
// the calling goroutine, which belongs to raft: raft must neither panic nor continue with a term that is not on the
// disk.
func (s *stableStore) SetUint64(key []byte, value uint64) error {
	err := s.wal.SetUint64(key, value)
	if err == nil {
		return nil
	}
	s.log.Warn("store log write failed, retrying", "error", err)
	for {
		select {
		case <-s.stopped:
			runtime.Goexit()
		case <-time.After(stableRetryInterval):
		}
		if s.wal.SetUint64(key, value) == nil {
			s.log.Info("store log write succeeded after retries")
			return nil
		}
	}
}
