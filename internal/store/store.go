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

	"limeladder/internal/store/fsm"
)

// Config says who this member is and where all of them are reached.
type Config struct {
	Name    string
	Folder  string
	Peers   map[string]string // name to address, this member's too
	Entries int               // log entries kept before a snapshot takes their place
	Queue   int               // writes that may wait
	Secret  Files             // what members know each other by
}

// Store is one member.
type Store struct {
	cfg     Config
	log     *slog.Logger
	raft    *raft.Raft
	wal     *wal
	stream  *stream
	state   *state
	queue   chan fsm.Change
	seq     atomic.Uint64 // of the ids that this member has given
	quit    chan struct{}
	done    sync.WaitGroup
	dropped atomic.Uint64
}

const (
	applyTimeout = 2 * time.Second
	retryAfter   = 100 * time.Millisecond
	mostSnapshot = 512 << 20
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
	s := &Store{cfg: cfg, log: log, wal: w, state: &state{data: fsm.New(fsm.Usual())},
		queue: make(chan fsm.Change, cfg.Queue), quit: make(chan struct{})}
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
	secret, err := newSecret(s.cfg.Secret, s.cfg.Name, s.cfg.Peers, s.log)
	if err != nil {
		return err
	}
	if s.stream, err = listen(s.cfg.Peers[s.cfg.Name], secret, s.apply); err != nil {
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
	case s.queue <- fsm.Change{Author: s.cfg.Name, At: time.Duration(time.Now().UnixNano()), Ops: []fsm.Op{{Key: key, Value: append([]byte(nil), value...)}}}:
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
			c.ID = s.id()
			for {
				r, err := s.Commit(c)
				if err == nil {
					if r.Fault != "" {
						s.log.Warn("store: write refused", "key", c.Ops[0].Key, "fault", r.Fault)
					}
					break
				}
				select {
				case <-s.quit:
					return
				case <-time.After(retryAfter):
				}
			}
		}
	}
}

// id is one that no other change has: the member, when it was asked for, and a count.
func (s *Store) id() string {
	return fmt.Sprintf("%s.%x.%x", s.cfg.Name, time.Now().UnixNano(), s.seq.Add(1))
}

// Commit has a change carried out by the peers and returns what came of it, once a majority has it. An error says that this is
// not known: the same change, with the same id, may be committed again and is carried out once. It blocks, and is not for
// the path of a request.
func (s *Store) Commit(c fsm.Change) (fsm.Result, error) {
	if c.ID == "" {
		c.ID = s.id()
	}
	p, err := c.Encode()
	if err != nil {
		return fsm.Result{}, err
	}
	if s.raft.State() != raft.Leader {
		addr, _ := s.raft.LeaderWithID()
		if addr == "" {
			return fsm.Result{}, ErrNoLeader
		}
		if p, err = s.stream.forward(string(addr), p); err != nil {
			return fsm.Result{}, err
		}
	} else if p, err = s.apply(p); err != nil {
		return fsm.Result{}, err
	}
	var r fsm.Result
	err = json.Unmarshal(p, &r)
	return r, err
}

// ErrNoLeader says that this member knows of no majority.
var ErrNoLeader = errors.New("no leader")

// apply replicates an entry as the leader, and returns its result as text.
func (s *Store) apply(p []byte) ([]byte, error) {
	f := s.raft.Apply(p, applyTimeout)
	if err := f.Error(); err != nil {
		return nil, err
	}
	switch r := f.Response().(type) {
	case fsm.Result:
		return json.Marshal(r)
	case error:
		return nil, r
	}
	return nil, errors.New("no result")
}

// Read returns a record as this member has it; List all whose keys begin with prefix.
func (s *Store) Read(key string) (fsm.Record, bool) {
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	return s.state.data.Get(key)
}

// List returns the records whose keys begin with prefix, in order, and the revision that they are of.
func (s *Store) List(prefix string) ([]fsm.Record, uint64) {
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	return s.state.data.List(prefix), s.state.data.Revision()
}

// History returns the configurations that were under a key, oldest first.
func (s *Store) History(key string) []fsm.Past {
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	return s.state.data.History(key)
}

// Rollback brings back what stood under a key at a revision, unless somebody changes it meanwhile.
func (s *Store) Rollback(key string, revision uint64, author string) (fsm.Result, error) {
	s.state.mu.RLock()
	c, err := s.state.data.Rollback(key, revision)
	s.state.mu.RUnlock()
	if err != nil {
		return fsm.Result{}, err
	}
	c.Author, c.At = author, time.Duration(time.Now().UnixNano())
	return s.Commit(c)
}

// Since returns what has changed behind a revision, as far as this member has it.
func (s *Store) Since(revision uint64) ([]fsm.Event, error) {
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	return s.state.data.Since(revision)
}

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
	mu   sync.RWMutex
	data *fsm.State
}

func (s *state) get(key string) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.data.Get(key)
	return r.Value, ok
}

// Apply implements raft.FSM.
func (s *state) Apply(l *raft.Log) any {
	c, err := fsm.Decode(l.Data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Apply(c)
}

// Snapshot implements raft.FSM.
func (s *state) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, err := s.data.Snapshot()
	return snapshot(p), err
}

// Restore implements raft.FSM.
func (s *state) Restore(r io.ReadCloser) error {
	defer r.Close()
	p, err := io.ReadAll(io.LimitReader(r, mostSnapshot))
	if err != nil {
		return err
	}
	d, err := fsm.Restore(p, fsm.Usual())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = d
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
