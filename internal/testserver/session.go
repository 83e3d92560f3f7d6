package testserver

import (
	"encoding/binary"
	"net"
	"slices"
	"strconv"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
)

const (
	maxMessage = 1 << 20 // bytes
	maxStartup = 1 << 16 // bytes
	// segmentPause is long enough for the peer to read the response before the trailing bytes arrive.
	segmentPause = 2 * time.Millisecond

	writeClass      = "job"
	healthCheckText = "SHOW stats"
)

// RowDescription bodies of the responses to statements and to health checks.
var (
	dataColumn  = []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	statsColumn = []byte("\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
)

// session is one connection of an endpoint.
type session struct {
	db       *DB
	conn     net.Conn
	sql      string // text of the last Query or Parse
	response []byte // bytes that are not sent yet
	failed   bool   // an error was sent; messages are skipped up to the next Sync
	truncate int    // bytes of the next response after which the connection is closed, 0 = it is sent completely
}

// statement is a message together with the request comment of its statement, what the endpoint is to do on its receipt,
// and whether the endpoint was the primary then.
type statement struct {
	message    pgwire.Message
	comment    requestcomment.Comment
	commentErr error
	act        Act
	primary    bool
}

// executes reports whether the message, a Query or an Execute, executes the statement.
func (s *statement) executes() bool { return s.message.Type == 'Q' || s.message.Type == 'E' }

func (d *DB) serve(conn net.Conn) {
	defer d.remove(conn)
	s := &session{db: d, conn: conn}
	reader := pgwire.NewReader(maxMessage, maxStartup)
	buf := make([]byte, readBufferSize)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		d.blockWhileHung()
		reader.Feed(buf[:n])
		if !s.handleAll(reader) {
			return
		}
	}
}

// handleAll handles the messages that have arrived. It returns false if the connection is to be closed.
func (s *session) handleAll(reader *pgwire.Reader) bool {
	for {
		m, ok, err := reader.Next()
		if err != nil {
			return false
		}
		if !ok {
			return true
		}
		if m.Type == 0 {
			reader.StartupDone()
		}
		if !s.handle(m) {
			return false
		}
	}
}

// handle handles one message. It returns false if the connection is to be closed.
func (s *session) handle(m pgwire.Message) bool {
	switch m.Type {
	case 'Q':
		s.sql, _ = pgwire.Query(m.Body)
	case 'P':
		parse, _ := pgwire.Parse(m.Body)
		s.sql = parse.Query
	case 'X':
		return false
	}
	st := &statement{message: m}
	st.comment, st.commentErr = requestcomment.Parse(s.sql)
	st.act = s.db.decide(m.Type, st.comment.ID)
	time.Sleep(st.act.Delay)
	s.truncate = max(s.truncate, st.act.TruncateAt)
	if st.act.CloseConnection {
		return false
	}
	if st.act.Silent {
		select {}
	}
	var working bool
	st.primary, working = s.db.state(s.conn)
	if !working {
		if st.executes() {
			s.db.noteReceived(st.comment.ID)
		}
		return true
	}
	return s.respond(st)
}

// respond answers a message. It returns false if the connection is to be closed.
func (s *session) respond(st *statement) bool {
	switch {
	case st.message.Type == 0:
		s.response = pgwire.AppendStartupResponse(s.response)
	case st.message.Type == 'S':
		s.endResponse(st.primary)
	case st.message.Type == 'Q' && s.sql == healthCheckText:
		s.answerHealthCheck(st.primary)
	default:
		stopped, closed := s.answer(st)
		if stopped {
			return true
		}
		if closed {
			return false
		}
		if st.message.Type == 'Q' {
			s.endResponse(st.primary)
		}
	}
	switch st.message.Type {
	case 0, 'S', 'Q', 'H':
		return s.flush(st.act)
	default:
		return true
	}
}

// answer executes the statement if the message asks for it, and appends the response. stopped reports that the endpoint
// was stopped before the execution, so that there is no response; closed reports that a fatal error was sent, after
// which the connection is to be closed.
func (s *session) answer(st *statement) (stopped, closed bool) {
	if s.failed {
		return false, false
	}
	code, ok := s.execute(st)
	if !ok {
		return true, false
	}
	if code == "" {
		s.appendResult(st)
		return false, false
	}
	failure := pgwire.Error{Code: code, Message: "told to", Fatal: st.act.Fatal}
	s.response = pgwire.AppendError(s.response, failure)
	s.failed = true
	if st.act.Fatal {
		_, _ = s.conn.Write(s.response) // the connection is closed next, so a failed write changes nothing
		return false, true
	}
	return false, false
}

// execute executes the statement if the message asks for it, and returns the SQLSTATE of a failure. ok is false if the
// endpoint was stopped before the execution.
func (s *session) execute(st *statement) (code string, ok bool) {
	if !st.executes() || st.act.Code != "" {
		return st.act.Code, true
	}
	s.db.noteReceived(st.comment.ID)
	write := st.comment.Class == writeClass
	switch {
	case st.commentErr != nil:
		return pgwire.ProtocolViolation, true
	case write && !st.primary:
		return pgwire.ReadOnly, true
	default:
		return "", s.db.run(s.conn, st.comment.ID, write, st.primary)
	}
}

// appendResult appends the response to a message that did not fail.
func (s *session) appendResult(st *statement) {
	m := st.message
	switch m.Type {
	case 'P':
		s.response = pgwire.Append(s.response, '1')
	case 'B':
		s.response = pgwire.Append(s.response, '2')
	case 'D':
		if m.Body[0] == 'S' {
			s.response = pgwire.Append(s.response, 't', []byte{0, 0})
		}
		s.response = pgwire.Append(s.response, 'T', dataColumn)
	case 'Q':
		s.response = pgwire.Append(s.response, 'T', dataColumn)
		s.appendRow("SELECT 1", s.db.value(st.act.ValueBytes))
	case 'E':
		s.appendRow("SELECT 1", s.db.value(st.act.ValueBytes))
	}
}

// answerHealthCheck answers a health check with the replication position, the role and a fixed utilization.
func (s *session) answerHealthCheck(primary bool) {
	position := float64(s.db.position(primary).UnixMilli()) / 1000
	role := "0"
	if primary {
		role = "1"
	}
	s.response = pgwire.Append(s.response, 'T', statsColumn)
	s.appendRow("SHOW", "x0="+strconv.FormatFloat(position, 'f', 3, 64)+",x1="+role+",util=0.5")
	s.appendReady(primary)
}

func (s *session) appendRow(tag, value string) {
	header := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	s.response = pgwire.Append(s.response, 'D', header, []byte(value))
	s.response = pgwire.Append(s.response, 'C', append([]byte(tag), 0))
}

// endResponse appends ReadyForQuery and ends the skipping of messages that follows an error.
func (s *session) endResponse(primary bool) {
	s.appendReady(primary)
	s.failed = false
}

// appendReady appends ReadyForQuery, preceded by ParameterStatus messages with role and replication position.
func (s *session) appendReady(primary bool) {
	mode := "read-only"
	if primary {
		mode = "read-write"
	}
	position := strconv.FormatInt(s.db.position(primary).UnixMilli(), 10)
	s.response = pgwire.AppendParameterStatus(s.response, "mode", mode)
	s.response = pgwire.AppendParameterStatus(s.response, "wal_time", position)
	s.response = pgwire.AppendReady(s.response)
}

// pieceBytes is the size of the pieces of a response that is sent slowly.
const pieceBytes = 64 << 10

// write sends data, with a pause after each piece if pause is above 0.
func (s *session) write(data []byte, pause time.Duration) error {
	if pause == 0 {
		_, err := s.conn.Write(data)
		return err
	}
	for piece := range slices.Chunk(data, pieceBytes) {
		if _, err := s.conn.Write(piece); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// flush sends the response as act demands. It returns false if the connection is to be closed.
func (s *session) flush(act Act) bool {
	if s.truncate > 0 {
		// The connection is closed next, so a failed write changes nothing.
		_, _ = s.conn.Write(s.response[:min(s.truncate, len(s.response))])
		return false
	}
	if act.Corrupt != nil {
		s.response = act.Corrupt(s.response)
	}
	if err := s.write(s.response, act.WritePause); err != nil {
		return false
	}
	if act.CloseAfter {
		return false
	}
	if act.Trailing != nil {
		time.Sleep(max(act.Pause, segmentPause))
		_, _ = s.conn.Write(act.Trailing) // the peer may have closed the connection, which the next read reports
	}
	s.response = nil
	return true
}
