package testserver

import (
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/testserver/check"
)

// Act is what an endpoint does when a message has come.
type Act struct {
	Break      bool   // it ends the connection
	Silent     bool   // it says nothing more on it
	Code       string // it answers with this error
	TruncateAt int    // of the answer that is next it sends this many bytes and ends the connection
	Fatal      bool   // the error is fatal: the connection ends behind it
	Delay      time.Duration
	Corrupt    func(answer []byte) []byte // changes the answer before it is sent
	Trailing   []byte                     // it sends this behind the answer, in a segment of its own
	Pause      time.Duration              // before that, in place of a short one
	CloseAfter bool                       // it ends the connection behind the answer
}

// DB is an endpoint: a database server that answers and counts.
type DB struct {
	Addr string

	mu           sync.Mutex
	listener     net.Listener // nil = it is stopped
	primary      bool
	act          func(typ byte, id string) Act
	runs         map[string]int
	log          check.Log
	responseSize int               // bytes of each answer
	conns        map[net.Conn]bool // of those that are open: whether it still works on them
	hung         chan struct{}     // not nil = it does nothing until this is closed
	lag          time.Duration     // how old its data is
}

// NewDB starts an endpoint. act, if not nil, is asked at each message of a statement with the given id; type 0 is the
// startup message.
func NewDB(tb testing.TB, primary bool, act func(typ byte, id string) Act) *DB {
	tb.Helper()
	d := &DB{
		Addr:    "127.0.0.1:0",
		primary: primary,
		act:     act,
		runs:    map[string]int{},
		conns:   map[net.Conn]bool{},
	}
	if err := d.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		d.Stop()
		d.Hang(false)
	})
	return d
}

// Start lets it come back at its address.
func (d *DB) Start() error {
	listener, err := net.Listen("tcp", d.Addr)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listener = listener
	d.Addr = listener.Addr().String()
	d.mu.Unlock()
	go d.accept(listener)
	return nil
}

func (d *DB) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !d.register(listener, conn) {
			conn.Close()
			return
		}
		go d.serve(conn)
	}
}

// register adds a connection. It says no where the endpoint was stopped in the moment in which it accepted.
func (d *DB) register(listener net.Listener, conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != listener {
		return false
	}
	d.conns[conn] = true
	return true
}

// lingerTime is how long a stopped endpoint looks at what still comes to it.
const lingerTime = 2 * time.Second

// Stop ends it and all its connections. Nothing runs from then on; what its peers write until they have seen the end
// is noted as received, for they can't know that nobody reads it.
func (d *DB) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener == nil {
		return
	}
	d.listener.Close()
	d.listener = nil
	for conn, working := range d.conns {
		if !working {
			continue
		}
		d.conns[conn] = false
		conn.(*net.TCPConn).CloseWrite()
		conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
	d.log.Stops = append(d.log.Stops, time.Now())
}

// Hang makes it do nothing at all, connections it accepts included, until it is let go on: what had come it does then.
func (d *DB) Hang(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case on && d.hung == nil:
		d.hung = make(chan struct{})
	case !on && d.hung != nil:
		close(d.hung)
		d.hung = nil
	}
}

// blockWhileHung returns once the endpoint may work.
func (d *DB) blockWhileHung() {
	d.mu.Lock()
	hung := d.hung
	d.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

// SetLag sets how old its data is, where it is no primary.
func (d *DB) SetLag(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = by
}

// SetResponseSize sets how many bytes each of its answers has.
func (d *DB) SetResponseSize(size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.responseSize = size
}

// Log returns what it has received and what it has run.
func (d *DB) Log() check.Log {
	d.mu.Lock()
	defer d.mu.Unlock()
	return check.Log{
		Member:    d.Addr,
		Runs:      slices.Clone(d.log.Runs),
		Received:  slices.Clone(d.log.Received),
		Stops:     slices.Clone(d.log.Stops),
		Demotions: slices.Clone(d.log.Demotions),
	}
}

// SetPrimary sets whether it is the primary.
func (d *DB) SetPrimary(primary bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primary && !primary {
		d.log.Demotions = append(d.log.Demotions, time.Now())
	}
	d.primary = primary
}

// Runs is how often it ran the statement with that id.
func (d *DB) Runs(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

// position is the time up to which it says that it has all data.
func (d *DB) position(primary bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if primary {
		return time.Now()
	}
	return time.Now().Add(-d.lag)
}

// value is what it answers: who it is, and as much more as it was told.
func (d *DB) value() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Addr + strings.Repeat(" ", max(0, d.responseSize-len(d.Addr)))
}

func (d *DB) decide(typ byte, id string) Act {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.act == nil {
		return Act{}
	}
	return d.act(typ, id)
}

// state says whether it is the primary and still works on a connection.
func (d *DB) state(conn net.Conn) (primary, working bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary, d.conns[conn]
}

// noteReceived notes that a statement has come to its last byte.
func (d *DB) noteReceived(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log.Received = append(d.log.Received, check.Received{ID: id, At: time.Now()})
}

// run counts a run, unless the endpoint was stopped meanwhile: then it returns false and nothing ran.
func (d *DB) run(conn net.Conn, id string, write, primary bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.conns[conn] {
		return false
	}
	d.runs[id]++
	d.log.Runs = append(d.log.Runs, check.Run{ID: id, Member: d.Addr, At: time.Now(), Write: write, WasPrimary: primary})
	return true
}

func (d *DB) remove(conn net.Conn) {
	conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, conn)
}
