package store

import (
	"log/slog"
	"runtime"
	"sync"
	"time"
)

// stableRetryInterval is the pause before a term that the disk did not take is written again.
const stableRetryInterval = 100 * time.Millisecond

// stableStore gives raft its stable values out of the log. raft panics where it can't save its term, so a disk that is
// full would end the whole program. Here raft's goroutine waits instead until the disk takes the term: meanwhile the
// member promises nothing, and the others go on without it.
type stableStore struct {
	*wal
	log      *slog.Logger
	stopped  chan struct{} // closed by stop
	stopOnce sync.Once
}

func newStableStore(w *wal, log *slog.Logger) *stableStore {
	return &stableStore{wal: w, log: log, stopped: make(chan struct{})}
}

// stop ends the goroutines that wait in SetUint64.
func (s *stableStore) stop() { s.stopOnce.Do(func() { close(s.stopped) }) }

// SetUint64 implements raft.StableStore. It returns once the value is on the disk. Where that can't be before the store
// stops, it ends the calling goroutine, which is one of raft's: raft must neither go on with a term that the disk does
// not have nor panic.
func (s *stableStore) SetUint64(key []byte, value uint64) error {
	err := s.wal.SetUint64(key, value)
	if err == nil {
		return nil
	}
	s.log.Warn("store log not written, retrying", "error", err)
	for {
		select {
		case <-s.stopped:
			runtime.Goexit()
		case <-time.After(stableRetryInterval):
		}
		if s.wal.SetUint64(key, value) == nil {
			s.log.Info("store log written again")
			return nil
		}
	}
}
