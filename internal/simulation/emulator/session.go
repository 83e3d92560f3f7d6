package emulator

import (
	"encoding/binary"
	"net"
	"strconv"
	"strings"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/model"
)

// Maximum lengths in bytes of a message and of the startup message that a session reads.
const (
	maxMessage = 1 << 20
	maxStartup = 10_000
)

// session is one connection to an endpoint.
type session struct {
	server     *server
	conn       net.Conn
	epoch      int // of the connection at the endpoint, -1 = not accepted by it
	output     []byte
	current    *model.Statement // the statement in progress, nil = none
	input      chan []byte      // bytes received
	peerClosed chan struct{}    // closed when the peer has closed the connection or it is broken
	closed     chan struct{}    // closed when this side has closed the connection
}

// readInput reads from the connection, also while a statement runs, so that a disconnect is noticed meanwhile.
func (x *session) readInput() {
	defer close(x.peerClosed)
	for {
		buf := make([]byte, 4096)
		n, err := x.conn.Read(buf)
		if err != nil {
			return
		}
		select {
		case x.input <- buf[:n]:
		case <-x.closed:
			return
		}
	}
}

func (x *session) serve() {
	x.input, x.peerClosed, x.closed = make(chan []byte, 4), make(chan struct{}), make(chan struct{})
	go x.readInput()
	defer x.close()
	r := pgwire.NewReader(maxMessage, maxStartup)
	var sql string
	failed := false
	for {
		m, ok, err := r.Next()
		if err != nil {
			return
		}
		if !ok {
			select {
			case p := <-x.input:
				r.Feed(p)
			case <-x.peerClosed:
				return
			}
			continue
		}
		if m.Type == 0 {
			code, _, err := pgwire.Startup(m.Body)
			if err != nil || code == pgwire.CancelRequest {
				return
			}
			if !x.connect() {
				return
			}
			r.StartupDone()
			continue
		}
		switch m.Type {
		case 'Q':
			if sql, err = pgwire.Query(m.Body); err != nil {
				return
			}
			if sql == "SHOW stats" {
				if !x.answerHealthCheck() {
					return
				}
				continue
			}
			x.run(sql, true)
			x.appendReady()
		case 'P':
			p, err := pgwire.Parse(m.Body)
			if err != nil {
				return
			}
			sql = p.Query
			x.appendIf(!failed, '1')
		case 'B':
			x.appendIf(!failed, '2')
		case 'D':
			if !failed {
				if len(m.Body) > 0 && m.Body[0] == 'S' {
					x.output = pgwire.Append(x.output, 't', []byte{0, 0})
				}
				x.output = pgwire.Append(x.output, 'T', dataColumn)
			}
		case 'E':
			if !failed {
				failed = !x.run(sql, false)
			}
		case 'C':
			x.appendIf(!failed, '3')
		case 'S':
			x.appendReady()
			failed = false
		case 'H':
		case 'X':
			return
		default:
			return
		}
		if m.Type == 'Q' || m.Type == 'S' || m.Type == 'H' {
			if _, err := x.conn.Write(x.output); err != nil {
				return
			}
			x.output = x.output[:0]
		}
	}
}

// appendIf appends a message without a body if do is set.
func (x *session) appendIf(do bool, typ byte) {
	if do {
		x.output = pgwire.Append(x.output, typ)
	}
}

// close closes the connection, cancels the statement in progress and frees the connection's slot at the endpoint.
func (x *session) close() {
	close(x.closed)
	x.conn.Close()
	x.server.host.withModel(func() {
		delete(x.server.conns, x)
		if x.current != nil {
			x.server.endpoint.Cancel(x.current)
		}
		if x.epoch >= 0 {
			x.server.endpoint.Disconnect(x.epoch)
		}
	})
}

// connect waits until the endpoint accepts the connection, and answers the startup. It returns false if the connection
// is to be closed.
func (x *session) connect() bool {
	type end struct {
		ok, full bool
		epoch    int
	}
	up := make(chan end, 1)
	x.server.host.withModel(func() {
		x.server.endpoint.Connect(func(ok, full bool, epoch int) { up <- end{ok, full, epoch} })
	})
	e, ok := waitForModel(x, up)
	if !ok {
		return false
	}
	switch {
	case e.full:
		// The connection is closed next, so a failed write changes nothing.
		_, _ = x.conn.Write(pgwire.AppendError(nil,
			pgwire.Error{Code: pgwire.TooManyConnections, Message: "too many connections", Fatal: true}))
		return false
	case !e.ok:
		return false
	}
	x.epoch = e.epoch
	x.server.host.withModel(func() { x.server.host.count.Dials++ })
	_, err := x.conn.Write(pgwire.AppendStartupResponse(nil))
	return err == nil
}

// waitForModel returns the model's next result from ch. ok is false if the peer closes the connection or the host stops
// first. An endpoint that hangs gives no result.
func waitForModel[T any](x *session, ch chan T) (v T, ok bool) {
	select {
	case v = <-ch:
		return v, true
	case <-x.peerClosed:
	case <-x.server.host.done:
	}
	return v, false
}

// answerHealthCheck answers a health check with replication position, role and utilization. It returns false if the
// connection is to be closed.
func (x *session) answerHealthCheck() bool {
	type end struct {
		r  model.LoadReport
		ok bool
	}
	ch := make(chan end, 1)
	x.server.host.withModel(func() {
		x.server.host.count.Probes++
		x.server.endpoint.RequestReport(func(r model.LoadReport, ok bool) { ch <- end{r, ok} })
	})
	e, ok := waitForModel(x, ch)
	if !ok || !e.ok {
		return false
	}
	lead := "0"
	if e.r.Primary {
		lead = "1"
	}
	text := "x0=" + strconv.FormatFloat(float64(e.r.Position.Milliseconds())/1000, 'f', 3, 64) + ",x1=" + lead + ",util=" + strconv.FormatFloat(e.r.Utilization, 'f', 3, 64)
	x.output = pgwire.Append(x.output, 'T',
		[]byte("\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00"))
	x.appendRow("SHOW", text)
	x.appendReady()
	_, err := x.conn.Write(x.output)
	x.output = x.output[:0]
	return err == nil
}

// workMarker precedes the amount of work in the text of a statement, in microseconds.
const workMarker = "limelab("

// Statement returns the text of a statement for emulated endpoints: the request comment, and need as the amount of
// work.
func Statement(id, class string, deadline time.Duration, bank int64, after time.Duration, retry bool, session string, need time.Duration) string {
	var b strings.Builder
	b.WriteString("/* id=" + id + ",c=" + class + ",d=" + strconv.FormatInt(deadline.Milliseconds(), 10) + ",cluster=" + strconv.FormatInt(bank, 10))
	if after > 0 {
		b.WriteString(",after=" + strconv.FormatInt((after+time.Millisecond-1).Milliseconds(), 10))
	}
	if retry {
		b.WriteString(",r=1")
	}
	b.WriteString(" */ SELECT " + workMarker + strconv.FormatInt(need.Microseconds(), 10) + ") -- '" + session + "'")
	return b.String()
}

// workOf returns the work of a statement: the amount in its text, else a draw from the distribution of class k, or
// one millisecond if k is nil.
func (h *Host) workOf(sql string, k *fleet.Class) time.Duration {
	if _, rest, ok := strings.Cut(sql, workMarker); ok {
		if text, _, ok := strings.Cut(rest, ")"); ok {
			if us, err := strconv.ParseInt(text, 10, 64); err == nil && us >= 0 && us < 1e9 {
				return time.Duration(us) * time.Microsecond
			}
		}
	}
	if k == nil {
		return time.Millisecond
	}
	return k.Work.Draw(h.rng)
}

// run executes a statement and appends the response. It reports whether the statement was served.
func (x *session) run(sql string, simple bool) bool {
	head, err := requestcomment.Parse(sql)
	if err != nil {
		x.appendError(pgwire.ProtocolViolation, err.Error())
		return false
	}
	h, m := x.server.host, x.server.endpoint
	ch := make(chan StatementResult, 1)
	v := ReceivedStatement{Member: m.ID, Remote: x.conn.RemoteAddr().String(), ID: head.ID, Class: head.Class}
	h.withModel(func() {
		var k *fleet.Class
		for i := range h.cfg.Classes {
			if h.cfg.Classes[i].Name == head.Class {
				k = &h.cfg.Classes[i]
			}
		}
		w := &model.Statement{Work: max(time.Microsecond, h.workOf(sql, k)), Deadline: h.clock.Now() + head.Timeout}
		if k != nil {
			w.Write, w.BlocksApply = fleet.Update(k), k.Long
		}
		see := head.MinPosition
		if k != nil && k.Consistency == balance.ConsistencyBounded {
			see = h.clock.Now() - k.MaxStaleness
		}
		if h.cfg.Checks != balance.FreshnessCheckNone {
			w.MinPosition = see
		}
		v.Write, v.See, v.Led = w.Write, see, m.WasPrimary()
		w.Done = func(o model.Outcome, pos time.Duration, primary bool) {
			x.current = nil
			ch <- StatementResult{o, pos, primary}
		}
		h.count.Attempts++
		if h.observer != nil {
			h.observer.Came(v)
		}
		x.current = w
		m.Submit(w)
	})
	e, ok := waitForModel(x, ch)
	if h.observer != nil {
		h.observer.Ended(v, e, !ok)
	}
	if !ok {
		x.conn.Close()
		return false
	}
	switch e.Outcome {
	case model.Served:
		if simple {
			x.output = pgwire.Append(x.output, 'T', dataColumn)
		}
		x.appendRow("SELECT 1", m.ID+" "+strconv.FormatInt(int64(e.Position), 10))
		return true
	case model.QueueFull:
		x.appendError(pgwire.TooManyConnections, "no slot and no room")
	case model.ReadOnly:
		x.appendError(pgwire.ReadOnly, "read-only")
	case model.TooStale:
		x.appendError(pgwire.SnapshotTooOld, "not applied yet")
	case model.Disconnected:
		x.conn.Close()
	default:
		x.appendError("57014", "did not run to its end")
	}
	return false
}

func (x *session) appendError(code, why string) {
	x.output = pgwire.AppendError(x.output, pgwire.Error{Code: code, Message: why})
}

var dataColumn = []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")

func (x *session) appendRow(tag, value string) {
	x.output = pgwire.Append(x.output, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), []byte(value))
	x.output = pgwire.Append(x.output, 'C', append([]byte(tag), 0))
}

func (x *session) appendReady() {
	mode, pos := "read-only", time.Duration(0)
	x.server.host.withModel(func() {
		if x.server.endpoint.IsPrimary() {
			mode = "read-write"
		}
		pos = x.server.endpoint.Position()
	})
	x.output = pgwire.AppendParameterStatus(x.output, "mode", mode)
	x.output = pgwire.AppendParameterStatus(x.output, "wal_time", strconv.FormatInt(pos.Milliseconds(), 10))
	x.output = pgwire.AppendReady(x.output)
}
