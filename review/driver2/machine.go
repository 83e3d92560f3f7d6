package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
)

const (
	statementWork = 20 * time.Millisecond
	replicaLag    = 10 * time.Millisecond
	writeClass    = "submit-job"
)

// hit is a statement that a machine has received whole.
type hit struct {
	at    time.Time
	id    string
	class string
	ran   bool
	code  string // the error it was answered with
}

// machine is the stand-in of a db machine.
type machine struct {
	w    *world
	id   string
	addr string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	primary  bool
	noProbes bool // SHOW stats is answered with 42501
	probes   int  // received
	hits     []hit
}

func (w *world) newMachine(id string, primary bool) (*machine, error) {
	m := &machine{w: w, id: id, addr: "127.0.0.1:0", primary: primary, conns: map[net.Conn]bool{}}
	return m, m.start()
}

// entry returns the machine's entry of the list.
func (m *machine) entry(state string) endpointEntry {
	return endpointEntry{
		ID: m.id, Addr: m.addr, Zone: "north-lakes", Kind: "std-3core", Cell: 3, State: state, Weight: 1,
	}
}

// primaryEntry returns the entry of a machine that was the primary as the day began.
func (m *machine) primaryEntry(state string) endpointEntry {
	entry := m.entry(state)
	entry.Mode = "read-write"
	return entry
}

func (m *machine) start() error {
	listener, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	m.listener = listener
	m.addr = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[conn] = true
			m.mu.Unlock()
			go m.serve(conn)
		}
	}()
	return nil
}

// die ends the process of the machine: its connections are reset, and new ones are refused.
func (m *machine) die() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.w.logf("%s: dies", m.id)
	m.listener.Close()
	for conn := range m.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	clear(m.conns)
}

// promote makes the machine the primary.
func (m *machine) promote() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.primary = true
	m.w.logf("%s: is the primary now", m.id)
}

// restartAsReplica starts a machine that has died again; another one is the primary by then.
func (m *machine) restartAsReplica() {
	m.mu.Lock()
	m.primary = false
	m.mu.Unlock()
	err := m.start()
	m.w.logf("%s: is back as a replica, error %v", m.id, err)
}

// forbidProbes makes the machine answer SHOW stats with 42501.
func (m *machine) forbidProbes() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noProbes = true
}

// countProbe counts a probe, and reports whether it is allowed.
func (m *machine) countProbe() (allowed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probes++
	return !m.noProbes
}

// probesReceived returns how many probes the machine has received.
func (m *machine) probesReceived() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.probes
}

// received returns the statements that the machine has received.
func (m *machine) received() []hit {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]hit(nil), m.hits...)
}

func (m *machine) isPrimary() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary
}

// machineSession is one connection to a machine.
type machineSession struct {
	machine *machine
	sql     string
	out     []byte
	failed  bool   // the rest up to Sync is skipped
	long    string // a long value that is to be given
}

func (m *machine) serve(conn net.Conn) {
	defer conn.Close()
	s := &machineSession{machine: m}
	reader := pgwire.NewReader(1<<20, 1<<16)
	buffer := make([]byte, 16<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		reader.Feed(buffer[:n])
		for {
			message, ok, err := reader.Next()
			if err != nil {
				return
			}
			if !ok {
				break
			}
			if message.Type == 0 {
				reader.StartupDone()
			}
			if message.Type == 'X' {
				return
			}
			s.handle(message)
			if s.long == "" {
				continue
			}
			if s.streamLong(conn, s.long) != nil {
				return
			}
			s.long = ""
		}
		if _, err := conn.Write(s.out); err != nil {
			return
		}
		s.out = nil
	}
}

func (s *machineSession) handle(message pgwire.Message) {
	switch message.Type {
	case 0:
		s.out = pgwire.AppendStartupResponse(s.out)
	case 'S':
		s.failed = false
		s.ready()
	case 'Q':
		s.query(message)
	case 'P':
		parse, _ := pgwire.Parse(message.Body) // the router sends nothing else
		s.sql = parse.Query
		s.appendUnlessFailed('1')
	case 'B':
		s.appendUnlessFailed('2')
	case 'D':
		if !s.failed {
			s.out = pgwire.Append(s.out, 'T', rowDescription("data"))
		}
	case 'E':
		if !s.failed {
			s.run(false)
		}
	}
}

func (s *machineSession) appendUnlessFailed(kind byte) {
	if !s.failed {
		s.out = pgwire.Append(s.out, kind)
	}
}

func (s *machineSession) query(message pgwire.Message) {
	s.sql, _ = pgwire.Query(message.Body)
	if s.sql == "SHOW stats" {
		s.probe()
	} else {
		s.run(true)
	}
	s.failed = false
	if s.long == "" {
		s.ready()
	}
}

// probe answers SHOW stats with the load report, or with 42501 where probes are not allowed.
func (s *machineSession) probe() {
	m := s.machine
	if !m.countProbe() {
		s.out = pgwire.AppendError(s.out, pgwire.Error{Code: "42501", Message: "no probes"})
		return
	}
	role := 0
	if m.isPrimary() {
		role = 1
	}
	report := fmt.Sprintf("x0=%.3f,x1=%d,util=0.30", float64(m.position().UnixMilli())/1000, role)
	s.out = pgwire.Append(s.out, 'T', rowDescription("stats"))
	s.row(report, "SHOW")
}

// run runs the statement of a Query or an Execute.
func (s *machineSession) run(describe bool) {
	m := s.machine
	comment, err := requestcomment.Parse(s.sql)
	if err != nil {
		s.fail(comment, "08P01")
		return
	}
	if comment.Class == writeClass && !m.isPrimary() {
		s.fail(comment, "25006")
		return
	}
	time.Sleep(statementWork)
	m.note(comment, "")
	if strings.HasPrefix(comment.ID, longPrefix) {
		s.long = strings.Repeat("v", longValue)
		return
	}
	if describe {
		s.out = pgwire.Append(s.out, 'T', rowDescription("data"))
	}
	tag := "SELECT 1"
	if comment.Class == writeClass {
		tag = "INSERT 0 1"
	}
	s.row(m.id+":"+comment.ID, tag)
}

func (s *machineSession) fail(comment requestcomment.Comment, code string) {
	s.failed = true
	s.machine.note(comment, code)
	s.out = pgwire.AppendError(s.out, pgwire.Error{Code: code, Message: "told by the page"})
}

// note records a statement that was received whole; code is the error that it is answered with.
func (m *machine) note(comment requestcomment.Comment, code string) {
	m.mu.Lock()
	m.hits = append(m.hits, hit{at: time.Now(), id: comment.ID, class: comment.Class, ran: code == "", code: code})
	m.mu.Unlock()
	m.w.logf("%s: got %s of class %s, ran=%v %s", m.id, comment.ID, comment.Class, code == "", code)
}

func (s *machineSession) row(value, tag string) {
	header := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	s.out = pgwire.Append(s.out, 'D', header, []byte(value))
	s.out = pgwire.Append(s.out, 'C', append([]byte(tag), 0))
}

// position returns the time up to which the machine has applied all commits.
func (m *machine) position() time.Time {
	if m.isPrimary() {
		return time.Now()
	}
	return time.Now().Add(-replicaLag)
}

// ready appends ReadyForQuery, and before it role and position.
func (s *machineSession) ready() {
	mode := "read-only"
	if s.machine.isPrimary() {
		mode = "read-write"
	}
	position := strconv.FormatInt(s.machine.position().UnixMilli(), 10)
	s.out = pgwire.AppendParameterStatus(s.out, "mode", mode)
	s.out = pgwire.AppendParameterStatus(s.out, "wal_time", position)
	s.out = pgwire.AppendReady(s.out)
}

// rowDescription returns the body of a RowDescription of one binary column.
func rowDescription(name string) []byte {
	body := append([]byte{0, 1}, name...)
	body = append(body, 0)
	body = append(body, strings.Repeat("\x00", 6)...)       // table and column
	body = append(body, 0, 0, 0, 0x11, 0xff, 0xff)          // bytea, of any length
	return append(body, 0xff, 0xff, 0xff, 0xff, 0x00, 0x01) // no modifier, binary
}
