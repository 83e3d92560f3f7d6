// Package store keeps the program's configuration and state, replicated by hashicorp/raft among named peers. It is
// off where no peers are configured. Nothing on the path of a request waits for it: reads are local, writes queue.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// Config says who this member is and where all of them are reached.
type Config struct {
	Name    string
	Folder  string
	Peers   map[string]string // name to address, this member's too
	Entries int               // log entries kept before a snapshot takes their place
	Queue   int               // writes that may wait
}

// Store is one member.
type Store struct {
	cfg     Config
	log     *slog.Logger
	raft    *raft.Raft
	wal     *wal
	stream  *stream
	state   *state
	queue   chan change
	quit    chan struct{}
	done    sync.WaitGroup
	dropped atomic.Uint64
}

// change is one replicated write.
type change struct {
	Key   string
	Value []byte
}

const (
	applyTimeout = 2 * time.Second
	retryAfter   = 100 * time.Millisecond
)

// Open starts a member. A record that a crash cut short is dropped and reported; other damage is an error.
func Open(cfg Config, log *slog.Logger) (*Store, error) {
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("store.folder: %w", err)
	}
	w, err := openWAL(filepath.Join(cfg.Folder, "log"))
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{cfg: cfg, log: log, wal: w, state: &state{values: map[string][]byte{}},
		queue: make(chan change, cfg.Queue), quit: make(chan struct{})}
	if w.torn > 0 {
		log.Warn("store: torn data dropped", "file", w.path, "bytes", w.torn)
	}
	if err := s.start(); err != nil {
		w.close()
		return nil, fmt.Errorf("store: %w", err)
	}
	s.done.Add(1)
	go s.write()
	return s, nil
}

func (s *Store) start() error {
	snaps, err := raft.NewFileSnapshotStore(s.cfg.Folder, 2, io.Discard)
	if err != nil {
		return err
	}
	if s.stream, err = listen(s.cfg.Peers[s.cfg.Name], s.apply); err != nil {
		return err
	}
	// raft brings its own transport on the standard library's sockets; nbio has none that fits its interface.
	transport := raft.NewNetworkTransport(s.stream, 2, applyTimeout, io.Discard)
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(s.cfg.Name)
	c.LogOutput = io.Discard
	c.SnapshotThreshold, c.TrailingLogs = uint64(s.cfg.Entries), uint64(s.cfg.Entries)
	c.SnapshotInterval = 10 * time.Second
	if s.raft, err = raft.NewRaft(c, s.state, s.wal, s.wal, snaps, transport); err != nil {
		s.stream.Close()
		return err
	}
	old, err := raft.HasExistingState(s.wal, s.wal, snaps)
	if err != nil || old {
		return err
	}
	var peers raft.Configuration
	for name, addr := range s.cfg.Peers {
		peers.Servers = append(peers.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(addr)})
	}
	// Each member starts from the same names, so it does not matter who comes first.
	return s.raft.BootstrapCluster(peers).Error()
}

// Torn is the number of bytes that the start found unfinished and dropped.
func (s *Store) Torn() int64 { return s.wal.torn }

// Ready says whether this member has caught up with what the peers have agreed on: what Get returns is no older than the
// start.
func (s *Store) Ready() bool {
	_, leader := s.raft.LeaderWithID()
	commit := s.raft.CommitIndex()
	return leader != "" && commit > 0 && s.raft.AppliedIndex() >= commit
}

// Get reads what this member has. It may be behind the others.
func (s *Store) Get(key string) ([]byte, bool) { return s.state.get(key) }

// Put queues a write and says whether there was room. It never waits.
func (s *Store) Put(key string, value []byte) bool {
	select {
	case s.queue <- change{key, append([]byte(nil), value...)}:
		return true
	default:
		s.dropped.Add(1)
		return false
	}
}

// Dropped is the number of writes that found no room.
func (s *Store) Dropped() uint64 { return s.dropped.Load() }

// write replicates what is queued, in order, and tries again until the peers have it.
func (s *Store) write() {
	defer s.done.Done()
	for {
		select {
		case <-s.quit:
			return
		case c := <-s.queue:
			p, err := json.Marshal(c)
			if err != nil {
				s.log.Warn("store: write lost", "key", c.Key, "err", err)
				continue
			}
			for s.replicate(p) != nil {
				select {
				case <-s.quit:
					return
				case <-time.After(retryAfter):
				}
			}
		}
	}
}

// replicate writes through the leader, wherever it is. A write may come to the log twice; it sets the same value.
func (s *Store) replicate(p []byte) error {
	if s.raft.State() == raft.Leader {
		return s.apply(p)
	}
	addr, _ := s.raft.LeaderWithID()
	if addr == "" {
		return errors.New("no leader")
	}
	return s.stream.forward(string(addr), p)
}

func (s *Store) apply(p []byte) error { return s.raft.Apply(p, applyTimeout).Error() }

// Close ends this member.
func (s *Store) Close() error {
	close(s.quit)
	s.done.Wait()
	err := s.raft.Shutdown().Error()
	s.stream.Close()
	return errors.Join(err, s.wal.close())
}

// state is what the log amounts to.
type state struct {
	mu     sync.RWMutex
	values map[string][]byte
}

func (s *state) get(key string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.values[key]
	return v, ok
}

// Apply implements raft.FSM.
func (s *state) Apply(l *raft.Log) any {
	var c change
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[c.Key] = c.Value
	return nil
}

// Snapshot implements raft.FSM.
func (s *state) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, err := json.Marshal(s.values)
	return snapshot(p), err
}

// Restore implements raft.FSM.
func (s *state) Restore(r io.ReadCloser) error {
	defer r.Close()
	values := map[string][]byte{}
	if err := json.NewDecoder(r).Decode(&values); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = values
	return nil
}

type snapshot []byte

// Persist implements raft.FSMSnapshot.
func (p snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(p); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}
