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

// What a session reads at most.
const (
	mostMessage = 1 << 20
	mostStartup = 10_000
)

// session is one connection to a machine.
type session struct {
	s     *server
	c     net.Conn
	epoch int // of its place at the machine, -1 = it has none
	out   []byte
	work  *model.Statement // the statement that is out
	in    chan []byte      // what has come
	gone  chan struct{}    // closed once the other side has closed or broken the connection
	left  chan struct{}    // closed once this side has
}

// read takes what comes also while a statement runs, so that a connection that is given up is noticed then.
func (x *session) read() {
	defer close(x.gone)
	for {
		buf := make([]byte, 4096)
		n, err := x.c.Read(buf)
		if err != nil {
			return
		}
		select {
		case x.in <- buf[:n]:
		case <-x.left:
			return
		}
	}
}

func (x *session) serve() {
	x.in, x.gone, x.left = make(chan []byte, 4), make(chan struct{}), make(chan struct{})
	go x.read()
	defer x.leave()
	r := pgwire.NewReader(mostMessage, mostStartup)
	var sql string
	failed := false
	for {
		m, ok, err := r.Next()
		if err != nil {
			return
		}
		if !ok {
			select {
			case p := <-x.in:
				r.Feed(p)
			case <-x.gone:
				return
			}
			continue
		}
		if m.Type == 0 {
			code, _, err := pgwire.Startup(m.Body)
			if err != nil || code == pgwire.CancelRequest {
				return
			}
			if !x.welcome() {
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
				if !x.report() {
					return
				}
				continue
			}
			x.run(sql, true)
			x.ready()
		case 'P':
			p, err := pgwire.Parse(m.Body)
			if err != nil {
				return
			}
			sql = p.Query
			x.add(!failed, '1')
		case 'B':
			x.add(!failed, '2')
		case 'D':
			if !failed {
				if len(m.Body) > 0 && m.Body[0] == 'S' {
					x.out = pgwire.Append(x.out, 't', []byte{0, 0})
				}
				x.out = pgwire.Append(x.out, 'T', columns)
			}
		case 'E':
			if !failed {
				failed = !x.run(sql, false)
			}
		case 'C':
			x.add(!failed, '3')
		case 'S':
			x.ready()
			failed = false
		case 'H':
		case 'X':
			return
		default:
			return
		}
		if m.Type == 'Q' || m.Type == 'S' || m.Type == 'H' {
			if _, err := x.c.Write(x.out); err != nil {
				return
			}
			x.out = x.out[:0]
		}
	}
}

func (x *session) add(do bool, typ byte) {
	if do {
		x.out = pgwire.Append(x.out, typ)
	}
}

// leave gives up what is out, and the connection's place.
func (x *session) leave() {
	close(x.left)
	x.c.Close()
	x.s.h.with(func() {
		delete(x.s.conns, x)
		if x.work != nil {
			x.s.m.Cancel(x.work)
		}
		if x.epoch >= 0 {
			x.s.m.Disconnect(x.epoch)
		}
	})
}

// welcome waits for a place.
func (x *session) welcome() bool {
	type end struct {
		ok, full bool
		epoch    int
	}
	up := make(chan end, 1)
	x.s.h.with(func() { x.s.m.Connect(func(ok, full bool, epoch int) { up <- end{ok, full, epoch} }) })
	e, ok := wait(x, up)
	if !ok {
		return false
	}
	switch {
	case e.full:
		// The connection ends here, whether or not its peer is still there.
		_, _ = x.c.Write(pgwire.AppendError(nil, pgwire.Error{Code: pgwire.TooManyConnections, Message: "too many connections", Fatal: true}))
		return false
	case !e.ok:
		return false
	}
	x.epoch = e.epoch
	x.s.h.with(func() { x.s.h.count.Dials++ })
	_, err := x.c.Write(pgwire.AppendStartupResponse(nil))
	return err == nil
}

// wait is for what the model says, unless all ends meanwhile. A machine that hangs says nothing.
func wait[T any](x *session, ch chan T) (v T, ok bool) {
	select {
	case v = <-ch:
		return v, true
	case <-x.gone:
	case <-x.s.h.end:
	}
	return v, false
}

// report answers a probe.
func (x *session) report() bool {
	type end struct {
		r  model.LoadReport
		ok bool
	}
	ch := make(chan end, 1)
	x.s.h.with(func() {
		x.s.h.count.Probes++
		x.s.m.RequestReport(func(r model.LoadReport, ok bool) { ch <- end{r, ok} })
	})
	e, ok := wait(x, ch)
	if !ok || !e.ok {
		return false
	}
	lead := "0"
	if e.r.Primary {
		lead = "1"
	}
	text := "x0=" + strconv.FormatFloat(float64(e.r.Position.Milliseconds())/1000, 'f', 3, 64) + ",x1=" + lead + ",util=" + strconv.FormatFloat(e.r.Utilization, 'f', 3, 64)
	x.out = pgwire.Append(x.out, 'T', []byte("\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00"))
	x.row("SHOW", text)
	x.ready()
	_, err := x.c.Write(x.out)
	x.out = x.out[:0]
	return err == nil
}

// mark is the word behind which a statement says how much work it is, in microseconds.
const mark = "limelab("

// Statement is the text of a request for machines of this world.
func Statement(id, class string, deadline time.Duration, bank int64, after time.Duration, retry bool, session string, need time.Duration) string {
	var b strings.Builder
	b.WriteString("/* id=" + id + ",c=" + class + ",d=" + strconv.FormatInt(deadline.Milliseconds(), 10) + ",cluster=" + strconv.FormatInt(bank, 10))
	if after > 0 {
		b.WriteString(",after=" + strconv.FormatInt((after+time.Millisecond-1).Milliseconds(), 10))
	}
	if retry {
		b.WriteString(",r=1")
	}
	b.WriteString(" */ SELECT " + mark + strconv.FormatInt(need.Microseconds(), 10) + ") -- '" + session + "'")
	return b.String()
}

// need is the work of a statement: what it says, or a draw for its class.
func (h *Host) need(sql string, k *fleet.Class) time.Duration {
	if _, rest, ok := strings.Cut(sql, mark); ok {
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

// run lets a statement run and adds its answer. It says whether it was served.
func (x *session) run(sql string, simple bool) bool {
	head, err := requestcomment.Parse(sql)
	if err != nil {
		x.fail(pgwire.ProtocolViolation, err.Error())
		return false
	}
	h, m := x.s.h, x.s.m
	ch := make(chan Ending, 1)
	v := Visit{Member: m.ID, Remote: x.c.RemoteAddr().String(), ID: head.ID, Class: head.Class}
	h.with(func() {
		var k *fleet.Class
		for i := range h.cfg.Classes {
			if h.cfg.Classes[i].Name == head.Class {
				k = &h.cfg.Classes[i]
			}
		}
		w := &model.Statement{Work: max(time.Microsecond, h.need(sql, k)), Deadline: h.clock.Now() + head.Timeout}
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
			x.work = nil
			ch <- Ending{o, pos, primary}
		}
		h.count.Attempts++
		if h.observer != nil {
			h.observer.Came(v)
		}
		x.work = w
		m.Submit(w)
	})
	e, ok := wait(x, ch)
	if h.observer != nil {
		h.observer.Ended(v, e, !ok)
	}
	if !ok {
		x.c.Close()
		return false
	}
	switch e.Outcome {
	case model.Served:
		if simple {
			x.out = pgwire.Append(x.out, 'T', columns)
		}
		x.row("SELECT 1", m.ID+" "+strconv.FormatInt(int64(e.Position), 10))
		return true
	case model.QueueFull:
		x.fail(pgwire.TooManyConnections, "no slot and no room")
	case model.ReadOnly:
		x.fail(pgwire.ReadOnly, "read-only")
	case model.TooStale:
		x.fail(pgwire.SnapshotTooOld, "not applied yet")
	case model.Disconnected:
		x.c.Close()
	default:
		x.fail("57014", "did not run to its end")
	}
	return false
}

func (x *session) fail(code, why string) {
	x.out = pgwire.AppendError(x.out, pgwire.Error{Code: code, Message: why})
}

var columns = []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")

func (x *session) row(tag, value string) {
	x.out = pgwire.Append(x.out, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), []byte(value))
	x.out = pgwire.Append(x.out, 'C', append([]byte(tag), 0))
}

func (x *session) ready() {
	mode, pos := "read-only", time.Duration(0)
	x.s.h.with(func() {
		if x.s.m.IsPrimary() {
			mode = "read-write"
		}
		pos = x.s.m.Position()
	})
	x.out = pgwire.AppendParameterStatus(x.out, "mode", mode)
	x.out = pgwire.AppendParameterStatus(x.out, "wal_time", strconv.FormatInt(pos.Milliseconds(), 10))
	x.out = pgwire.AppendReady(x.out)
}
