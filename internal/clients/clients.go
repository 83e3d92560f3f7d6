// Package clients is the thin front for the platform's protocol: simple queries, one statement each, over plain
// PostgreSQL connections.
package clients

import (
	"errors"
	"log/slog"
	"time"

	"limeladder/internal/limits"
	"limeladder/internal/loop"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/servers"
	"limeladder/internal/sock"
	"limeladder/internal/statement"
)

// Core takes requests.
type Core interface {
	Take(q router.Request, c router.Client) (id string)
	Leave(id string)
}

// Front holds the connections of clients. All of it runs in the loop's goroutine.
type Front struct {
	loop     *loop.Loop
	lim      limits.Limits
	log      *slog.Logger
	core     Core
	ready    bool
	draining bool
	conns    map[*conn]struct{}
	buffered int // bytes of all clients that wait to be read
}

// New returns a Front that is not ready yet.
func New(l *loop.Loop, lim limits.Limits, log *slog.Logger, c Core) *Front {
	return &Front{loop: l, lim: lim, log: log, core: c, conns: map[*conn]struct{}{}}
}

// Ready says that empty queries may be answered from now on: the platform sends clients after that.
func (f *Front) Ready() { f.ready = true }

// Accept takes a new connection, or turns it away with nil.
func (f *Front) Accept(s *sock.Conn) sock.Handler {
	if len(f.conns) >= f.lim.Clients {
		s.Write(pgwire.AppendError(nil, pgwire.Error{Fatal: true, Code: pgwire.TooManyConnections,
			Message: "too many connections", After: time.Second}))
		return nil
	}
	c := &conn{front: f, sock: s, reader: pgwire.NewReader(f.lim.Message, f.lim.Startup)}
	f.conns[c] = struct{}{}
	c.start = f.loop.After(f.lim.ClientStart, func() { c.end() })
	return c
}

// Drain closes each connection as soon as it is between requests. New ones serve what they bring.
func (f *Front) Drain() {
	f.draining = true
	for c := range f.conns {
		c.rest()
	}
}

// Finish closes also what has not sent a request; what is taken still gets its answer.
func (f *Front) Finish() {
	for c := range f.conns {
		if c.request == "" {
			c.end()
		}
	}
}

// Open is the number of connections.
func (f *Front) Open() int { return len(f.conns) }

type conn struct {
	front   *Front
	sock    *sock.Conn
	reader  *pgwire.Reader
	start   *loop.Timer
	started bool
	ended   bool
	skip    bool   // an extended message was turned away: all up to Sync is passed over
	request string // the core's handle of the request in hand
	held    int    // its share of front.buffered
	cameAt  time.Duration
}

func (c *conn) end() {
	if c.ended {
		return
	}
	c.ended = true
	c.start.Stop()
	c.sock.Finish(c.front.lim.Flush) // an answer of which the system has taken a part only must not be cut
	c.gone()
}

func (c *conn) gone() {
	f := c.front
	delete(f.conns, c)
	f.buffered -= c.held
	c.held = 0
	if c.request != "" {
		f.core.Leave(c.request)
		c.request = ""
	}
}

// Closed implements sock.Handler.
func (c *conn) Closed(error) {
	if !c.ended {
		c.ended = true
		c.start.Stop()
		c.gone()
	}
}

// Data implements sock.Handler.
func (c *conn) Data(p []byte) {
	c.cameAt = c.front.loop.Now()
	c.reader.Feed(p)
	c.read()
	f := c.front
	if !c.ended {
		f.buffered += c.reader.Waiting() - c.held
		c.held = c.reader.Waiting()
		// Guards memory against clients that send on and on without waiting for answers.
		if c.held > 2*f.lim.Message || f.buffered > f.lim.Buffered {
			c.fatal(pgwire.TooLarge, "too much sent ahead")
		}
	}
}

// read works on what has come until a request is in hand.
func (c *conn) read() {
	for !c.ended && c.request == "" {
		m, ok, err := c.reader.Next()
		if err != nil {
			c.fatal(pgwire.ProtocolViolation, err.Error())
			return
		}
		if !ok {
			return
		}
		if !c.started {
			err = c.startup(m.Body)
		} else {
			err = c.message(m)
		}
		if err != nil {
			c.fatal(pgwire.ProtocolViolation, err.Error())
		}
	}
}

// write sends p; a broken connection is the client's leaving.
func (c *conn) write(p []byte) {
	if !c.ended && c.sock.Write(p) != nil {
		c.end()
	}
}

func (c *conn) fatal(code, text string) {
	c.write(pgwire.AppendError(nil, pgwire.Error{Fatal: true, Code: code, Message: text}))
	c.end()
}

// rest closes a connection between requests when the program is about to end.
func (c *conn) rest() {
	if c.front.draining && c.started && !c.ended && c.request == "" && c.reader.Waiting() == 0 {
		c.end()
	}
}

var errStart = errors.New("unsupported startup message")

func (c *conn) startup(body []byte) error {
	code, _, err := pgwire.Startup(body)
	switch {
	case err != nil:
		return err
	case code == pgwire.SSLRequest, code == pgwire.GSSENCRequest:
		c.write([]byte{'N'}) // plain TCP only
		return nil
	case code == pgwire.CancelRequest:
		c.end() // no cancel keys are given out
		return nil
	case code>>16 != 3:
		return errStart
	}
	c.start.Stop()
	c.started = true
	c.reader.Started()
	c.write(pgwire.AppendWelcome(nil))
	return nil
}

func (c *conn) message(m pgwire.Message) error {
	if c.skip && m.Type != 'S' && m.Type != 'X' {
		return nil
	}
	switch m.Type {
	case 'Q':
		sql, err := pgwire.Query(m.Body)
		if err != nil {
			return err
		}
		c.query(sql)
	case 'X':
		c.end()
	case 'S':
		c.skip = false
		c.write(pgwire.AppendReady(nil))
	case 'P', 'B', 'D', 'E', 'C', 'H', 'F':
		c.skip = m.Type != 'F'
		p := pgwire.AppendError(nil, pgwire.Error{Code: pgwire.NotSupported, Message: "simple queries only"})
		if m.Type == 'F' {
			p = pgwire.AppendReady(p)
		}
		c.write(p)
	default:
		return pgwire.ErrFormat
	}
	return nil
}

func (c *conn) query(sql string) {
	f := c.front
	job, blank := Simple(sql)
	if blank {
		if f.ready {
			c.write(pgwire.AppendReady(pgwire.Append(nil, 'I')))
		} else {
			c.write(pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error{Code: pgwire.CannotConnectNow,
				Message: "starting up", After: 100 * time.Millisecond})))
		}
		return
	}
	h, err := statement.Parse(sql)
	if err != nil {
		c.write(pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error{Code: pgwire.BadStatement, Message: err.Error()})))
		return
	}
	job.head = h
	c.request = f.core.Take(router.Request{Label: h.ID, Class: h.Class, Group: h.Group, Session: h.Session,
		Deadline: h.Deadline, At: c.cameAt, After: h.After, Retry: h.Retry, Job: job}, c)
}

// answered sends the end of a request and goes on to what was sent behind it.
func (c *conn) answered(p []byte) {
	c.request = ""
	c.write(pgwire.AppendReady(p))
	c.cameAt = c.front.loop.Now() // the time spent behind an earlier answer does not count
	c.read()
	c.rest()
}

// Served implements router.Client.
func (c *conn) Served(a router.Answer) { c.answered(a.(*servers.Answer).Messages) }

// Refused implements router.Client.
func (c *conn) Refused(after time.Duration) { c.answered(pgwire.AppendError(nil, Refusal(after))) }

// Failed implements router.Client.
func (c *conn) Failed(why string) { c.answered(pgwire.AppendError(nil, Failure(why))) }
