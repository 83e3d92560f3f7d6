// Package extendedquery is the second front: the PostgreSQL wire protocol with extended queries, and simple ones. It
// makes requests of them for the same core, under the same rules as the platform's front.
//
// Prepared statements and portals belong to the client's connection. Nothing of them stays at a db machine: each
// attempt brings its own Parse and Bind, so it may go wherever the core sends it.
package extendedquery

import (
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/frontend"
	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
	"limeladder/internal/router"
)

// Classes tells which classes write.
type Classes interface{ IsWrite(class string) bool }

// ahead is the number of bytes of answers that may wait for Flush or Sync.
const ahead = 16 << 10

// New returns the front's speaker for one connection.
func New(classes Classes) func(*frontend.Conn) frontend.Speaker {
	return func(c *frontend.Conn) frontend.Speaker {
		return &session{conn: c, classes: classes, statements: map[string]*prepared{}, portals: map[string]*portal{}}
	}
}

// session is what one connection of a client holds. A unit of work goes from one Sync to the next.
type session struct {
	conn       *frontend.Conn
	classes    Classes
	statements map[string]*prepared
	portals    map[string]*portal
	out        []byte // answers that wait for Flush or Sync
	skip       bool   // an error ended the unit: all up to Sync is passed over
	next       *work  // asked for, not yet handed to the core
	running    *work
	after      *pgwire.Message // came while next had to be run first
}

type prepared struct {
	pgwire.ParseMessage
	head requestcomment.Head
}

type portal struct {
	stmt *prepared
	rest []byte
	done bool // it was executed
}

// work is what one request does at a db machine: the description of a statement, or that of a portal and its
// execution.
type work struct {
	stmt     *prepared
	portal   *portal // nil: describe the statement
	describe bool
	execute  bool
	rows     uint32
	at       time.Duration
	closed   []byte // answers to what came behind it
	ready    bool   // Sync has come
}

// Idle implements clients.Speaker.
func (s *session) Idle() bool {
	return !s.skip && s.next == nil && s.running == nil && len(s.out) == 0 && len(s.portals) == 0
}

// Message implements clients.Speaker.
func (s *session) Message(m pgwire.Message) error {
	if m.Type == 'X' { // whatever waits is not wanted any more: nothing of it was sent
		s.conn.End()
		return nil
	}
	if s.skip && m.Type != 'S' {
		return nil
	}
	if len(s.out) > ahead {
		s.flush() // guards memory against a client that asks on and on without Sync
	}
	if s.next != nil && !s.joins(m) {
		if s.write(s.next) && m.Type != 'S' {
			// Guards the one-time run of a write: its unit holds nothing behind it, and it is sent only with Sync,
			// so that a client lost in between has run nothing.
			s.next = nil
			s.error(pgwire.NotSupported, "a write must be followed by Sync")
			if m.Type == 'H' {
				s.flush()
			}
			return nil
		}
		if m.Type == 'S' {
			s.next.ready = true
		} else {
			s.after = &pgwire.Message{Type: m.Type, Body: append([]byte(nil), m.Body...)}
		}
		s.run()
		return nil
	}
	switch m.Type {
	case 'Q':
		return s.simple(m.Body)
	case 'P':
		return s.parse(m.Body)
	case 'B':
		return s.bind(m.Body)
	case 'D':
		return s.describe(m.Body)
	case 'E':
		return s.execute(m.Body)
	case 'C':
		return s.close(m.Body)
	case 'H':
		s.flush()
	case 'S':
		s.sync()
	case 'F':
		s.error(pgwire.NotSupported, "function calls are not supported")
		s.skip = false
		s.sync()
	case 'd', 'c', 'f': // PostgreSQL passes over what is left of a COPY that failed
	default:
		return pgwire.ErrFormat
	}
	return nil
}

// joins says whether m belongs to the work that waits: the execution of the portal that it describes, or a Close.
func (s *session) joins(m pgwire.Message) bool {
	switch m.Type {
	case 'C':
		return len(s.next.closed) < ahead
	case 'E':
		name, _, err := pgwire.Execute(m.Body)
		return err == nil && !s.next.execute && s.next.portal != nil && s.portals[name] == s.next.portal
	}
	return false
}

func (s *session) write(w *work) bool { return w.execute && s.classes.IsWrite(w.stmt.head.Class) }

func (s *session) error(code, text string) {
	s.out = pgwire.AppendError(s.out, pgwire.Error{Code: code, Message: text})
	s.skip = true
}

func (s *session) flush() {
	if len(s.out) > 0 {
		s.conn.Write(s.out)
		s.out = nil
	}
}

// sync ends the unit of work, and its portals with it.
func (s *session) sync() {
	s.skip = false
	for name := range s.portals {
		s.drop(name)
	}
	s.out = pgwire.AppendReady(s.out)
	s.flush()
}

func (s *session) drop(name string) {
	if p := s.portals[name]; p != nil {
		s.conn.Release(len(p.rest))
		delete(s.portals, name)
	}
}

func (s *session) forget(name string) {
	if p := s.statements[name]; p != nil {
		s.conn.Release(len(p.Query))
		delete(s.statements, name)
	}
}

// room guards memory: what a client may have prepared is bounded in number, and what all have in bytes.
func (s *session) room(n int) bool {
	if len(s.statements)+len(s.portals) >= s.conn.Limits().Frontend.PreparedStatements || !s.conn.Hold(n) {
		s.error(pgwire.TooLarge, "too much is prepared")
		return false
	}
	return true
}

func (s *session) parse(body []byte) error {
	m, err := pgwire.Parse(body)
	if err != nil {
		return err
	}
	if m.Name != "" && s.statements[m.Name] != nil {
		s.error("42P05", "prepared statement "+m.Name+" already exists")
		return nil
	}
	p := &prepared{ParseMessage: m}
	if p.head, err = requestcomment.Parse(m.Query); err != nil {
		s.error(pgwire.BadStatement, err.Error())
		return nil
	}
	if err := Plain(m.Query, s.classes.IsWrite(p.head.Class)); err != nil {
		s.error(pgwire.NotSupported, err.Error())
		return nil
	}
	s.forget(m.Name)
	if s.room(len(m.Query)) {
		s.statements[m.Name] = p
		s.out = pgwire.Append(s.out, '1')
	}
	return nil
}

func (s *session) bind(body []byte) error {
	m, err := pgwire.Bind(body)
	if err != nil {
		return err
	}
	p := s.statements[m.Statement]
	if p == nil {
		s.error(pgwire.UndefinedStatement, "prepared statement "+m.Statement+" does not exist")
		return nil
	}
	if m.Portal != "" && s.portals[m.Portal] != nil {
		s.error("42P03", "portal "+m.Portal+" already exists")
		return nil
	}
	s.drop(m.Portal)
	if s.room(len(m.Rest)) {
		s.portals[m.Portal] = &portal{stmt: p, rest: append([]byte(nil), m.Rest...)}
		s.out = pgwire.Append(s.out, '2')
	}
	return nil
}

func (s *session) describe(body []byte) error {
	kind, name, err := pgwire.Target(body)
	if err != nil {
		return err
	}
	w := &work{describe: true, at: s.conn.CameAt()}
	if kind == 'S' {
		if w.stmt = s.statements[name]; w.stmt == nil {
			s.error(pgwire.UndefinedStatement, "prepared statement "+name+" does not exist")
			return nil
		}
	} else {
		if w.portal = s.portals[name]; w.portal == nil {
			s.error(pgwire.UndefinedPortal, "portal "+name+" does not exist")
			return nil
		}
		w.stmt = w.portal.stmt
	}
	s.next = w
	return nil
}

func (s *session) execute(body []byte) error {
	name, rows, err := pgwire.Execute(body)
	if err != nil {
		return err
	}
	p := s.portals[name]
	if p == nil {
		s.error(pgwire.UndefinedPortal, "portal "+name+" does not exist")
		return nil
	}
	if p.done {
		s.next = nil
		s.error(pgwire.NotSupported, "a portal can be executed once only")
		return nil
	}
	p.done = true
	if s.next == nil {
		s.next = &work{stmt: p.stmt, portal: p}
	}
	s.next.execute, s.next.rows, s.next.at = true, rows, s.conn.CameAt()
	return nil
}

func (s *session) close(body []byte) error {
	kind, name, err := pgwire.Target(body)
	if err != nil {
		return err
	}
	if kind == 'S' {
		s.forget(name)
	} else {
		s.drop(name)
	}
	if s.next != nil {
		s.next.closed = pgwire.Append(s.next.closed, '3')
	} else {
		s.out = pgwire.Append(s.out, '3')
	}
	return nil
}

// run hands the work that waits to the core. What came before it is answered first.
func (s *session) run() {
	s.flush()
	w := s.next
	s.next, s.running = nil, w
	h := w.stmt.head
	s.take(router.Request{Label: h.ID, Class: h.Class, Group: h.Group, Session: h.Session, Deadline: h.Deadline,
		ReceivedAt: w.at, MinPosition: h.After, Retry: h.Retry, Job: w})
}

// take hands a request to the core, and answers one that is unfit.
func (s *session) take(q router.Request) {
	if err := s.conn.Take(q, s); err != nil {
		s.conn.Fault()
		s.out = pgwire.AppendError(s.out, frontend.Unfit(err))
		s.settle(true)
		s.after = nil // it is passed over, like all up to Sync
	}
}

func (s *session) simple(body []byte) error {
	sql, err := pgwire.Query(body)
	if err != nil {
		return err
	}
	job, blank := frontend.Simple(sql)
	if blank {
		for name := range s.portals { // it ends the unit of work, like any simple query
			s.drop(name)
		}
		s.flush()
		s.conn.Blank()
		return nil
	}
	h, err := job.Head()
	if err != nil {
		s.error(pgwire.BadStatement, err.Error())
		s.sync()
		return nil
	}
	if err := Plain(sql, s.classes.IsWrite(h.Class)); err != nil {
		s.error(pgwire.NotSupported, err.Error())
		s.sync()
		return nil
	}
	s.running = &work{ready: true}
	s.flush()
	s.take(router.Request{Label: h.ID, Class: h.Class, Group: h.Group, Session: h.Session, Deadline: h.Deadline,
		ReceivedAt: s.conn.CameAt(), MinPosition: h.After, Retry: h.Retry, Job: rows{job}})
	return nil
}

// settle closes the work that ran.
func (s *session) settle(failed bool) {
	w := s.running
	s.running = nil
	if failed {
		s.skip = true
	} else {
		s.out = append(s.out, w.closed...)
	}
	if w.ready {
		s.sync()
	}
}

// ended goes on after the answer to the work that ran.
func (s *session) ended(failed bool) {
	s.settle(failed)
	m := s.after
	s.after = nil
	s.conn.Done(func() error {
		if m == nil {
			return nil
		}
		return s.Message(*m)
	})
}

// Gone implements router.Client.
func (s *session) Disconnected(look bool) bool { return s.conn.Gone(look) }

// Committed implements router.Committer.
func (s *session) Committed(position time.Duration) { s.conn.Committed(position) }

// Begun implements router.Client.
func (s *session) ResponseStarted(a router.Response, f router.Flow) {
	s.append(a.(*backend.Response))
	p := s.out
	s.out = nil
	s.conn.Stream(p, f)
}

// Part implements router.Client.
func (s *session) ResponsePart(p []byte) { s.conn.Part(p) }

// Cut implements router.Client.
func (s *session) ResponseTruncated() { s.conn.Cut() }

// Served implements router.Client.
func (s *session) Served(a router.Response) {
	answer := a.(*backend.Response)
	w := s.running
	s.append(answer)
	s.ended(answer.Code != "" && w.stmt != nil)
}

// append adds what an answer says to the client.
func (s *session) append(answer *backend.Response) {
	r := pgwire.NewReader(len(answer.Messages)+5, 0)
	r.Feed(answer.Messages)
	for {
		m, ok, err := r.Next()
		if !ok || err != nil {
			break
		}
		// ParseComplete and BindComplete were said when the client asked; these are the attempt's own.
		if m.Type != '1' && m.Type != '2' {
			s.out = pgwire.Append(s.out, m.Type, m.Body)
		}
	}
}

// Refused implements router.Client.
func (s *session) Rejected(after time.Duration) {
	s.out = pgwire.AppendError(s.out, frontend.Refusal(after))
	s.ended(true)
}

// Failed implements router.Client.
func (s *session) Failed(why string) {
	s.out = pgwire.AppendError(s.out, frontend.Failure(why))
	s.ended(true)
}
