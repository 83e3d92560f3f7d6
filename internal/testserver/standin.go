// Package testserver has the other ends that tests meet on loopback: a db machine that counts what it runs, and a
// client. Neither is part of the program.
package testserver

import (
	"encoding/binary"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
	"limeladder/internal/testserver/check"
)

// Act is what a db machine does when a message has come.
type Act struct {
	Break  bool   // it ends the connection
	Silent bool   // it says nothing more on it
	Code   string // it answers with this error
	Cut    int    // of the answer that is next it sends this many bytes and ends the connection
	Fatal  bool   // the error is fatal: the connection ends behind it
	Delay  time.Duration
	Spoil  func(answer []byte) []byte // changes the answer before it is sent
	Behind []byte                     // it sends this behind the answer, in a segment of its own
	Pause  time.Duration              // before that, in place of a short one
	Leave  bool                       // it ends the connection behind the answer
}

// DB is a db machine.
type DB struct {
	Addr string
	ln   net.Listener

	mu      sync.Mutex
	primary bool
	act     func(typ byte, id string) Act
	runs    map[string]int
	log     check.Log
	size    int               // bytes of each answer
	conns   map[net.Conn]bool // of those that are open: whether it still works on them
	hung    chan struct{}     // not nil = it does nothing until this is closed
	behind  time.Duration     // its data is so old
}

// NewDB starts a db machine. act, if not nil, is asked at each message of a statement with the given id; type 0 is
// the startup message.
func NewDB(tb testing.TB, primary bool, act func(typ byte, id string) Act) *DB {
	tb.Helper()
	d := &DB{Addr: "127.0.0.1:0", primary: primary, act: act, runs: map[string]int{}, conns: map[net.Conn]bool{}}
	if err := d.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { d.Stop(); d.Hang(false) })
	return d
}

// Start lets it come back at its address.
func (d *DB) Start() error {
	ln, err := net.Listen("tcp", d.Addr)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.ln, d.Addr = ln, ln.Addr().String()
	d.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			alive := d.ln == ln
			if alive {
				d.conns[c] = true
			}
			d.mu.Unlock()
			if !alive {
				c.Close() // accepted in the moment in which it ended
				return
			}
			go d.serve(c)
		}
	}()
	return nil
}

// remains is how long what still comes to a machine that has ended is looked at.
const remains = 2 * time.Second

// Stop ends it and all its connections. Nothing runs from then on; what its peers write until they have seen the end is
// noted as come, for they can't know that nobody reads it.
func (d *DB) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ln == nil {
		return
	}
	d.ln.Close()
	d.ln = nil
	for c, alive := range d.conns {
		if !alive {
			continue
		}
		d.conns[c] = false
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(remains))
	}
	d.log.Stops = append(d.log.Stops, time.Now())
}

// Hang makes it do nothing at all, connections it accepts included, until it is let go on: what had come it does then.
func (d *DB) Hang(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on && d.hung == nil {
		d.hung = make(chan struct{})
	} else if !on && d.hung != nil {
		close(d.hung)
		d.hung = nil
	}
}

func (d *DB) wait() {
	d.mu.Lock()
	ch := d.hung
	d.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

// Behind sets how old its data is, where it is no primary.
func (d *DB) Behind(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.behind = by
}

// Answers sets how many bytes each of its answers has.
func (d *DB) Answers(size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.size = size
}

// Log returns what has come to it and what it has run.
func (d *DB) Log() check.Log {
	d.mu.Lock()
	defer d.mu.Unlock()
	return check.Log{Member: d.Addr, Runs: slices.Clone(d.log.Runs), Whole: slices.Clone(d.log.Whole), Stops: slices.Clone(d.log.Stops), Yields: slices.Clone(d.log.Yields)}
}

// position is what it says of its data.
func (d *DB) position(primary bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if primary {
		return time.Now()
	}
	return time.Now().Add(-d.behind)
}

// Lead sets whether it is the primary.
func (d *DB) Lead(primary bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primary && !primary {
		d.log.Yields = append(d.log.Yields, time.Now())
	}
	d.primary = primary
}

// Runs is how often it ran the statement with that id.
func (d *DB) Runs(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

func (d *DB) decide(typ byte, id string) Act {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.act == nil {
		return Act{}
	}
	return d.act(typ, id)
}

func (d *DB) serve(c net.Conn) {
	defer func() {
		c.Close()
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	r := pgwire.NewReader(1<<20, 1<<16)
	var out []byte
	var sql string
	failed, cut := false, 0
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		d.wait()
		r.Feed(buf[:n])
		for {
			m, ok, err := r.Next()
			if err != nil {
				return
			}
			if !ok {
				break
			}
			switch m.Type {
			case 0:
				r.Started()
			case 'Q':
				sql, _ = pgwire.Query(m.Body)
			case 'P':
				p, _ := pgwire.Parse(m.Body)
				sql = p.Query
			case 'X':
				return
			}
			h, err := requestcomment.Parse(sql)
			a := d.decide(m.Type, h.ID)
			time.Sleep(a.Delay)
			cut = max(cut, a.Cut)
			if a.Break {
				return
			}
			if a.Silent {
				select {}
			}
			d.mu.Lock()
			primary, alive := d.primary, d.conns[c]
			if !alive && (m.Type == 'Q' || m.Type == 'E') {
				d.log.Whole = append(d.log.Whole, check.Whole{ID: h.ID, At: time.Now()})
			}
			d.mu.Unlock()
			if !alive {
				continue
			}
			write := h.Class == "job"
			if m.Type == 'Q' && sql == "SHOW stats" {
				v := "x0=" + strconv.FormatFloat(float64(d.position(primary).UnixMilli())/1000, 'f', 3, 64) + ",x1=" + flag(primary) + ",util=0.5"
				out = d.ready(row("SHOW", pgwire.Append(out, 'T', []byte("\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")), v), primary)
			} else if code := a.Code; m.Type != 0 && m.Type != 'S' && !failed {
				if runs := m.Type == 'Q' || m.Type == 'E'; runs && code == "" {
					d.mu.Lock()
					d.log.Whole = append(d.log.Whole, check.Whole{ID: h.ID, At: time.Now()})
					d.mu.Unlock()
					switch {
					case err != nil:
						code = pgwire.ProtocolViolation
					case write && !primary:
						code = pgwire.ReadOnly
					default:
						d.mu.Lock()
						if alive = d.conns[c]; alive {
							d.runs[h.ID]++
							d.log.Runs = append(d.log.Runs, check.Run{ID: h.ID, Member: d.Addr, At: time.Now(), Write: write, Led: primary})
						}
						d.mu.Unlock()
						if !alive {
							continue
						}
					}
				}
				if code != "" {
					out = pgwire.AppendError(out, pgwire.Error{Code: code, Message: "told to", Fatal: a.Fatal})
					failed = true
					if a.Fatal {
						_, _ = c.Write(out) // the connection ends here, whether or not its peer is still there
						return
					}
				} else {
					out = d.reply(out, m)
				}
			}
			if m.Type == 'S' || m.Type == 'Q' && sql != "SHOW stats" {
				out, failed = d.ready(out, primary), false
			}
			if m.Type == 0 {
				out = pgwire.AppendWelcome(out)
			}
			if m.Type == 0 || m.Type == 'S' || m.Type == 'Q' || m.Type == 'H' {
				if cut > 0 {
					_, _ = c.Write(out[:min(cut, len(out))]) // the connection ends here all the same
					return
				}
				if a.Spoil != nil {
					out = a.Spoil(out)
				}
				if _, err := c.Write(out); err != nil {
					return
				}
				if a.Leave {
					return
				}
				if a.Behind != nil {
					time.Sleep(max(a.Pause, 2*time.Millisecond))
					_, _ = c.Write(a.Behind) // its peer may end at the answer, which the next read shows
				}
				out = nil
			}
		}
	}
}

func flag(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

var columns = []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")

func (d *DB) reply(out []byte, m pgwire.Message) []byte {
	switch m.Type {
	case 'P':
		return pgwire.Append(out, '1')
	case 'B':
		return pgwire.Append(out, '2')
	case 'D':
		if m.Body[0] == 'S' {
			out = pgwire.Append(out, 't', []byte{0, 0})
		}
		return pgwire.Append(out, 'T', columns)
	case 'Q':
		return row("SELECT 1", pgwire.Append(out, 'T', columns), d.value())
	case 'E':
		return row("SELECT 1", out, d.value())
	}
	return out
}

// value is what it answers: who it is, and as much more as it was told.
func (d *DB) value() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Addr + strings.Repeat(" ", max(0, d.size-len(d.Addr)))
}

func row(tag string, out []byte, value string) []byte {
	out = pgwire.Append(out, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))), []byte(value))
	return pgwire.Append(out, 'C', append([]byte(tag), 0))
}

func (d *DB) ready(out []byte, primary bool) []byte {
	mode := "read-only"
	if primary {
		mode = "read-write"
	}
	out = pgwire.AppendPair(out, "mode", mode)
	out = pgwire.AppendPair(out, "wal_time", strconv.FormatInt(d.position(primary).UnixMilli(), 10))
	return pgwire.AppendReady(out)
}

// Client is a client of the router.
type Client struct {
	t testing.TB
	c net.Conn
	r *pgwire.Reader
}

// Dial connects and waits for the welcome.
func Dial(tb testing.TB, addr string) *Client {
	tb.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { c.Close() })
	k := &Client{t: tb, c: c, r: pgwire.NewReader(8<<20, 0)}
	k.Send(pgwire.AppendStartup(nil, "user", "portal", "database", "crm"))
	if a := k.Until('Z'); a.Code != "" {
		tb.Fatalf("not welcome: %+v", a)
	}
	return k
}

// Send writes p.
func (k *Client) Send(p []byte) {
	if err := k.Write(p); err != nil {
		k.t.Fatal(err)
	}
}

// Write writes p to a router that may have closed the connection.
func (k *Client) Write(p []byte) error {
	_, err := k.c.Write(p)
	return err
}

// Close ends the connection.
func (k *Client) Close() { k.c.Close() }

// Answer is what came up to a message.
type Answer struct {
	Types  string // of all messages but ParameterStatus
	Code   string // of the last error
	Detail string // its field D
	Value  string // of the last row
	Ended  bool   // the connection ended instead,
	Cut    bool   // and part of an answer had come
}

// Until reads up to a message of the given type.
func (k *Client) Until(typ byte) (a Answer) {
	k.t.Helper()
	buf := make([]byte, 4096)
	k.c.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		m, ok, err := k.r.Next()
		if err != nil {
			k.t.Fatal(err)
		}
		if !ok {
			n, err := k.c.Read(buf)
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				k.t.Fatalf("no answer, after %q", a.Types)
			}
			if err != nil {
				a.Ended, a.Cut = true, a.Types != "" || k.r.Waiting() > 0
				return a
			}
			k.r.Feed(buf[:n])
			continue
		}
		if m.Type == 'S' {
			continue
		}
		a.Types += string(m.Type)
		if m.Type == 'E' {
			f, err := pgwire.Fields(m.Body)
			if err != nil {
				k.t.Fatal(err)
			}
			a.Code, a.Detail = f['C'], f['D']
		}
		if m.Type == 'D' {
			v, err := pgwire.Row(m.Body)
			if err != nil {
				k.t.Fatal(err)
			}
			a.Value = string(v[0])
		}
		if m.Type == typ {
			return a
		}
	}
}
