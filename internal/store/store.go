// Package store keeps configuration and state of the program, replicated by hashicorp/raft among named members.
//
// A Store is one member: it owns its folder with the log and the snapshots, the address where other members reach it,
// and the state machine of package fsm. It is off where no members are configured. Nothing on the path of a request
// waits for it: reads are local, and writes are queued.
//
// Store's methods may be called from any goroutine. One goroutine replicates the queued writes, one accepts connections
// of other members, each connection has its own until it is handed to raft, and raft runs its own ones.
package store

import (
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

const (
	retainedSnapshots = 2
	raftConnections   = 2 // kept to each other member
	snapshotInterval  = 10 * time.Second
)

// Config says who this member is and where all of them are reached.
type Config struct {
	Name         string
	Folder       string            // on a disk that lasts
	Peers        map[string]string // addresses by name, this member's too
	LogEntries   int               // log entries kept before a snapshot takes their place
	QueuedWrites int               // writes that may wait
	TLS          TLSFiles          // what members authenticate each other with

	// Purge says which values must not stay on the disk. Once no record has one any more the log and the snapshots are
	// compacted. nil stands for none.
	Purge func(key string, value []byte) bool

	files fileSystem // of the log; nil is the machine's
}

func (c Config) fileSystem() fileSystem {
	if c.files == nil {
		return osFileSystem{}
	}
	return c.files
}

// Store is one member.
type Store struct {
	cfg       Config
	log       *slog.Logger
	raft      *raft.Raft
	wal       *wal
	snapshots *raft.FileSnapshotStore
	stable    *stableStore
	stream    *streamLayer
	machine   *stateMachine
	queue     chan fsm.Change
	changeIDs atomic.Uint64 // given by this member
	dropped   atomic.Uint64 // writes that found the queue full
	started   chan struct{} // closed once raft is set
	quit      chan struct{}
	done      sync.WaitGroup
}

// Open starts a member. A record of the log that a crash cut short is dropped and reported; other damage is a
// *DamagedError.
func Open(cfg Config, log *slog.Logger) (*Store, error) {
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("store.folder: %w", err)
	}
	w, err := openWALIn(cfg.fileSystem(), filepath.Join(cfg.Folder, "log"))
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{
		cfg:     cfg,
		log:     log,
		wal:     w,
		machine: &stateMachine{state: fsm.New(fsm.DefaultLimits())},
		queue:   make(chan fsm.Change, cfg.QueuedWrites),
		started: make(chan struct{}),
		quit:    make(chan struct{}),
	}
	if w.tornBytes > 0 {
		log.Warn("store log truncated", "file", w.path, "bytes", w.tornBytes)
	}
	if err := s.start(); err != nil {
		_ = w.close() // nothing was written; the caller needs the reason of the failed start
		return nil, fmt.Errorf("store: %w", err)
	}
	s.done.Add(2)
	go s.replicateQueue()
	go s.stopOnFailedLog()
	if cfg.Purge != nil {
		s.done.Add(1)
		go s.purge()
	}
	return s, nil
}

// start listens for the other members and starts raft.
func (s *Store) start() error {
	var err error
	s.snapshots, err = raft.NewFileSnapshotStore(s.cfg.Folder, retainedSnapshots, io.Discard)
	if err != nil {
		return err
	}
	authentication, err := newMemberTLS(s.cfg.TLS, s.cfg.Name, s.cfg.Peers, s.log)
	if err != nil {
		return err
	}
	s.stream, err = listen(s.cfg.Peers[s.cfg.Name], authentication, s.applyForwarded)
	if err != nil {
		return err
	}
	// The transport of raft uses the sockets of the standard library: nbio has none that fits its interface.
	transport := raft.NewNetworkTransport(s.stream, raftConnections, applyTimeout, io.Discard)
	if err := s.checkLogIsWritable(); err != nil {
		_ = s.stream.Close() // the caller needs the reason of the failed start
		return err
	}
	s.stable = newStableStore(s.wal, s.log)
	s.raft, err = raft.NewRaft(s.raftConfig(), s.machine, s.wal, s.stable, s.snapshots, transport)
	if err != nil {
		_ = s.stream.Close() // the caller needs the reason of the failed start
		return err
	}
	close(s.started)
	if err := s.bootstrap(); err != nil {
		s.stopRaft()
		return err
	}
	return nil
}

// bootstrap gives a member that has no state yet the first configuration of the cluster. Each member starts from the
// same names, so it does not matter who comes first.
func (s *Store) bootstrap() error {
	hasState, err := raft.HasExistingState(s.wal, s.wal, s.snapshots)
	if err != nil || hasState {
		return err
	}
	return s.raft.BootstrapCluster(s.members()).Error()
}

// checkLogIsWritable writes the term that the log has once more. raft does so when it starts, and panics where it
// cannot.
func (s *Store) checkLogIsWritable() error {
	const raftTermKey = "CurrentTerm"
	term, err := s.wal.GetUint64([]byte(raftTermKey))
	if err != nil && !errors.Is(err, errKeyNotFound) {
		return err
	}
	return s.wal.SetUint64([]byte(raftTermKey), term)
}

func (s *Store) raftConfig() *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(s.cfg.Name)
	c.LogOutput = io.Discard
	c.SnapshotThreshold = uint64(s.cfg.LogEntries)
	c.TrailingLogs = uint64(s.cfg.LogEntries)
	c.SnapshotInterval = snapshotInterval
	return c
}

// members returns the first configuration of the cluster.
func (s *Store) members() raft.Configuration {
	var configuration raft.Configuration
	for name, address := range s.cfg.Peers {
		configuration.Servers = append(configuration.Servers, raft.Server{
			ID:      raft.ServerID(name),
			Address: raft.ServerAddress(address),
		})
	}
	return configuration
}

// TornBytes returns the number of bytes of an unfinished record that the start found at the end of the log and dropped.
func (s *Store) TornBytes() int64 { return s.wal.tornBytes }

// Ready says whether this member has caught up with what the members have agreed on: what Get returns is no older than
// the start.
func (s *Store) Ready() bool {
	_, leader := s.raft.LeaderWithID()
	commit := s.raft.CommitIndex()
	return leader != "" && commit > 0 && s.raft.AppliedIndex() >= commit
}

// stopOnFailedLog stops raft once the log can't be written any more. What this member has can still be read.
func (s *Store) stopOnFailedLog() {
	defer s.done.Done()
	select {
	case <-s.quit:
		return
	case <-s.wal.failed:
	}
	s.log.Error("store stopped: log not written any more", "error", s.wal.writeFailure())
	s.stopRaft()
}

// stopRaft ends raft and the connections of other members.
func (s *Store) stopRaft() {
	shutdown := s.raft.Shutdown()
	s.stable.stop() // raft's goroutine may wait in it
	_ = shutdown.Error()
	_ = s.stream.Close() // the listener is gone either way
}

// Close stops this member. Writes that are still queued are dropped.
func (s *Store) Close() error {
	close(s.quit)
	s.done.Wait()
	s.stopRaft()
	return s.wal.close()
}
