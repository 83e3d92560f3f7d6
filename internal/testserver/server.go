package testserver

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/testserver/check"
)

// Act is what an endpoint does on receipt of a message. The zero value is a normal response.
type Act struct {
	CloseConnection bool                       // close the connection without a response
	Silent          bool                       // send nothing more on the connection, which stays open
	Code            string                     // SQLSTATE of an error to answer with, "" = none
	TruncateAt      int                        // close the connection after so many bytes of the next response, 0 = never
	Fatal           bool                       // the error of Code is fatal: close the connection after it
	Delay           time.Duration              // time to wait before the message is handled
	Corrupt         func(answer []byte) []byte // changes the response before it is sent
	Trailing        []byte                     // sent after the response, in a segment of its own
	Pause           time.Duration              // wait between response and Trailing, at least segmentPause
	CloseAfter      bool                       // close the connection after the response
	ValueBytes      int                        // bytes of the value in the response, 0 = as SetResponseSize says
	WritePause      time.Duration              // wait after each piece of pieceBytes of the response
}

// DB is a fake endpoint: a database server that answers statements and records which ones it received and executed.
type DB struct {
	Addr string

	mu           sync.Mutex
	listener     net.Listener // nil = the endpoint is stopped
	primary      bool
	act          func(typ byte, id string) Act
	runs         map[string]int
	log          check.Log
	responseSize int               // bytes of the value in each response
	conns        map[net.Conn]bool // open connections; the value is false for those that were open at Stop
	resumed      chan struct{}     // not nil while the endpoint hangs; closed when it continues
	lag          time.Duration     // staleness of the data while it is a replica
}

// NewDB starts an endpoint. act, if not nil, is called for each message with the message's type and the request ID of
// its statement, and decides how the endpoint responds. Type 0 is the startup message.
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

// Start starts the endpoint. After a Stop, the endpoint listens at the same address as before.
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

// register adds a connection. It returns false if the endpoint was stopped while it accepted the connection.
func (d *DB) register(listener net.Listener, conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != listener {
		return false
	}
	d.conns[conn] = true
	return true
}

// lingerTime is how long a stopped endpoint still reads from the connections that were open.
const lingerTime = 2 * time.Second

// Stop closes the listener and the write side of all connections. No statement is executed from then on. Statements
// that peers send before they notice the end are still recorded as received, since a peer can't know that they are not
// executed.
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

// Hang sets whether the endpoint hangs. While it hangs, it accepts connections but handles no message; it handles those
// that have arrived as soon as it continues.
func (d *DB) Hang(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case on && d.resumed == nil:
		d.resumed = make(chan struct{})
	case !on && d.resumed != nil:
		close(d.resumed)
		d.resumed = nil
	}
}

// blockWhileHung returns when the endpoint no longer hangs.
func (d *DB) blockWhileHung() {
	d.mu.Lock()
	hung := d.resumed
	d.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

// SetLag sets by how much the endpoint's data lags while it is a replica.
func (d *DB) SetLag(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = by
}

// SetResponseSize sets the size in bytes of the value that the endpoint returns for each statement.
func (d *DB) SetResponseSize(size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.responseSize = size
}

// Log returns a copy of the endpoint's record of statements received and executed, stops and demotions.
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

// SetPrimary sets whether the endpoint is the primary.
func (d *DB) SetPrimary(primary bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primary && !primary {
		d.log.Demotions = append(d.log.Demotions, time.Now())
	}
	d.primary = primary
}

// Runs returns how often the endpoint executed the statement with that request ID.
func (d *DB) Runs(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

// position returns the endpoint's replication position: the time up to which it has applied all writes.
func (d *DB) position(primary bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if primary {
		return time.Now()
	}
	return time.Now().Add(-d.lag)
}

// value returns the value of a response: the endpoint's address, padded with spaces to the given number of bytes, or to
// responseSize if that is 0.
func (d *DB) value(bytes int) string {
	d.mu.Lock()
	size := cmp.Or(bytes, d.responseSize)
	address := d.Addr
	d.mu.Unlock()
	return address + strings.Repeat(" ", max(0, size-len(address)))
}

func (d *DB) decide(typ byte, id string) Act {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.act == nil {
		return Act{}
	}
	return d.act(typ, id)
}

// state reports whether the endpoint is the primary and whether it still executes statements of the connection.
func (d *DB) state(conn net.Conn) (primary, working bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary, d.conns[conn]
}

// noteReceived records that a statement has arrived completely.
func (d *DB) noteReceived(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log.Received = append(d.log.Received, check.Received{ID: id, At: time.Now()})
}

// run records the execution of a statement. If the endpoint has been stopped, it records nothing and returns false.
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
