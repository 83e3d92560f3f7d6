package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is one write in the log of a group.
type commit struct {
	at    time.Time // rounded up to the millisecond, as the answer tells it
	id    string    // of the request
	value string
}

// groupLog is the log of one group: all commits by key, oldest first.
type groupLog struct {
	mu      sync.Mutex
	commits map[string][]commit
}

func newGroupLog() *groupLog { return &groupLog{commits: map[string][]commit{}} }

// add commits a write now.
func (l *groupLog) add(key, id, value string) commit {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := commit{at: time.Now().Truncate(time.Millisecond).Add(time.Millisecond), id: id, value: value}
	l.commits[key] = append(l.commits[key], c)
	return c
}

// read returns the last value of a key that was committed by the given position, "none" if there is none.
func (l *groupLog) read(key string, position time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	value := "none"
	for _, c := range l.commits[key] {
		if !c.at.After(position) {
			value = c.value
		}
	}
	return value
}

// request is a statement as a db machine reads it.
type request struct {
	id, class, key, value string
	left                  int // ms that the router says it waits
	write                 bool
}

// arrival is a request that has come whole to a db machine.
type arrival struct {
	request
	at time.Time
}

// machine is a stand-in for a db machine: it speaks simple queries as the protocol page says.
type machine struct {
	id, zone string
	addr     string
	cell     int
	record   *record
	log      *groupLog
	// lagBehind returns how far a replica is behind; nil is a primary.
	lagBehind func() time.Duration
	// work returns how long a request takes and how long its value is.
	work func(q request) (takes time.Duration, valueBytes int)
	// pieces, if set, writes a value of over 64 KiB in pieces of a size with a pause behind each.
	pieceBytes int
	piecePause time.Duration
	// copyPause, if set, is the time between an answer and a second copy of it, which one in ten answers is followed by.
	copyPause time.Duration
	// startupDelay is how long a new connection takes to come up.
	startupDelay func() time.Duration

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	long     []byte // see longRow
	arrivals []arrival
}

// startMachine starts a db machine and adds it to those that end with the run.
func (r *rig) startMachine(m *machine) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.record, m.listener, m.addr = r.record, listener, listener.Addr().String()
	m.conns = map[net.Conn]bool{}
	r.mu.Lock()
	r.machines = append(r.machines, m)
	r.mu.Unlock()
	r.record.note("db machine %s listens at %s, zone %s", m.id, m.addr, m.zone)
	go m.accept(listener)
	return nil
}

func (m *machine) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		m.conns[conn] = true
		m.mu.Unlock()
		go func() {
			m.serve(conn)
			m.mu.Lock()
			delete(m.conns, conn)
			m.mu.Unlock()
			conn.Close()
		}()
	}
}

// die resets all connections and refuses new ones, as a process that dies.
func (m *machine) die() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener.Close()
	for conn := range m.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// position returns the time up to which the machine has applied all commits.
func (m *machine) position() time.Time {
	if m.lagBehind == nil {
		return time.Now()
	}
	return time.Now().Add(-m.lagBehind())
}

func (m *machine) primary() bool { return m.lagBehind == nil }

// received returns the requests that have come to the machine so far.
func (m *machine) received() []arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]arrival(nil), m.arrivals...)
}

// readMessage reads one message of the wire protocol.
func readMessage(r io.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	length := int(binary.BigEndian.Uint32(head[1:]))
	if length < 4 || length > 16<<20 {
		return 0, nil, fmt.Errorf("a message of %d bytes", length)
	}
	body = make([]byte, length-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// readStartup reads the startup message.
func readStartup(r io.Reader) error {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(length[:]))
	if n < 8 || n > 10000 {
		return errors.New("no startup message")
	}
	_, err := io.ReadFull(r, make([]byte, n-4))
	return err
}

func appendMessage(p []byte, kind byte, parts ...string) []byte {
	body := strings.Join(parts, "")
	p = append(p, kind)
	p = binary.BigEndian.AppendUint32(p, uint32(len(body)+4))
	return append(p, body...)
}

// appendReady appends ParameterStatus messages with role and position, and ReadyForQuery.
func (m *machine) appendReady(p []byte, position time.Time) []byte {
	mode := "read-only"
	if m.primary() {
		mode = "read-write"
	}
	p = appendMessage(p, 'S', "mode\x00", mode, "\x00")
	p = appendMessage(p, 'S', "wal_time\x00", strconv.FormatInt(position.UnixMilli(), 10), "\x00")
	return appendMessage(p, 'Z', "I")
}

func appendError(p []byte, code, text string) []byte {
	return appendMessage(p, 'E', "SERROR\x00C", code, "\x00M", text, "\x00\x00")
}

// appendRow appends a whole answer of one row with one column.
func appendRow(p []byte, format, value, tag string) []byte {
	column := "data\x00" + strings.Repeat("\x00", 6) + "\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00" + format
	p = appendMessage(p, 'T', "\x00\x01", column)
	size := binary.BigEndian.AppendUint32(nil, uint32(len(value)))
	p = appendMessage(p, 'D', "\x00\x01", string(size), value)
	return appendMessage(p, 'C', tag, "\x00")
}

func (m *machine) serve(conn net.Conn) {
	if readStartup(conn) != nil {
		return
	}
	if m.startupDelay != nil {
		time.Sleep(m.startupDelay())
	}
	p := appendMessage(nil, 'R', "\x00\x00\x00\x00")
	if _, err := conn.Write(m.appendReady(p, m.position())); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(conn)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		if m.answer(conn, string(body[:len(body)-1])) != nil {
			return
		}
	}
}

var (
	commentForm = regexp.MustCompile(`^/\* id=([^,]+),c=([^,]+),d=(\d+),cluster=(\d+)\S* \*/ (SELECT|INSERT) `)
	quotedForm  = regexp.MustCompile(`'([^']*)'`)
)

// parseRequest reads a statement in the form that clients send.
func parseRequest(sql string) (q request, ok bool) {
	found := commentForm.FindStringSubmatch(sql)
	if found == nil {
		return q, false
	}
	left, _ := strconv.Atoi(found[3]) // digits only
	q = request{id: found[1], class: found[2], left: left, write: found[5] == "INSERT"}
	quoted := quotedForm.FindAllStringSubmatch(sql, 2)
	if len(quoted) == 0 || q.write && len(quoted) < 2 {
		return q, false
	}
	q.key = quoted[0][1]
	if q.write {
		q.value = quoted[1][1]
	}
	return q, true
}

// answer answers one statement.
func (m *machine) answer(conn net.Conn, sql string) error {
	position := m.position()
	if sql == "SHOW stats" || sql == "SELECT 1" {
		leads := "0"
		if m.primary() {
			leads = "1"
		}
		report := fmt.Sprintf("x0=%.3f,x1=%s,util=0.30", float64(position.UnixMilli())/1000, leads)
		return m.send(conn, m.appendReady(appendRow(nil, "\x00", report, "SHOW"), position))
	}
	q, ok := parseRequest(sql)
	if !ok {
		m.record.note("%s got a statement that no client sent: %.80q", m.id, sql)
		return m.send(conn, m.appendReady(appendError(nil, "08P01", "no such statement"), position))
	}
	m.mu.Lock()
	m.arrivals = append(m.arrivals, arrival{request: q, at: time.Now()})
	m.mu.Unlock()
	m.record.note("%s got %s (%s, key %s, d=%d), its position is %d ms behind", m.id, q.id, q.class, q.key, q.left,
		time.Since(position).Milliseconds())
	if q.write && !m.primary() {
		return m.send(conn, m.appendReady(appendError(nil, "25006", "read-only"), position))
	}
	takes, valueBytes := m.work(q)
	time.Sleep(takes)
	return m.finish(conn, q, valueBytes)
}

// finish runs a request and sends its answer.
func (m *machine) finish(conn net.Conn, q request, valueBytes int) error {
	var p []byte
	value, position := q.value, m.position()
	if q.write {
		done := m.log.add(q.key, q.id, q.value)
		position = done.at
		p = appendRow(nil, "\x01", value, "INSERT 0 1")
	} else {
		value = m.log.read(q.key, position)
		if valueBytes > len(value) {
			p = m.longRow(valueBytes)
		} else {
			p = appendRow(nil, "\x01", value, "SELECT 1")
		}
	}
	m.record.note("%s ran %s: %.24q", m.id, q.id, value)
	err := m.send(conn, p)
	ready := m.appendReady(nil, position)
	if err == nil {
		err = m.send(conn, ready)
	}
	if err == nil && m.copyPause > 0 && rand.IntN(10) == 0 {
		time.Sleep(m.copyPause)
		err = m.send(conn, append(p, ready...))
	}
	if err != nil {
		m.record.note("%s could not send the answer to %s: %v", m.id, q.id, err)
	}
	return err
}

// longRow returns the answer with a long value, which is built once.
func (m *machine) longRow(valueBytes int) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.long == nil {
		m.long = appendRow(nil, "\x01", strings.Repeat(".", valueBytes), "SELECT 1")
		m.long = m.long[:len(m.long):len(m.long)]
	}
	return m.long
}

// send writes an answer, in pieces if it is long and the machine is told to.
func (m *machine) send(conn net.Conn, p []byte) error {
	if m.pieceBytes == 0 || len(p) <= 64<<10 {
		_, err := conn.Write(p)
		return err
	}
	for len(p) > 0 {
		n := min(m.pieceBytes, len(p))
		if _, err := conn.Write(p[:n]); err != nil {
			return err
		}
		p = p[n:]
		time.Sleep(m.piecePause)
	}
	return nil
}
