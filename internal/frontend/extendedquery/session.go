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
const maxBufferedBytes = 16 << 10

// New returns the front's speaker for one connection.
func New(classes Classes) func(*frontend.Conn) frontend.Speaker {
	return func(c *frontend.Conn) frontend.Speaker {
		return &session{client: c, classes: classes, statements: map[string]*preparedStatement{}, portals: map[string]*portal{}}
	}
}

// session is what one connection of a client holds. A unit of work goes from one Sync to the next.
type session struct {
	client           *frontend.Conn
	classes          Classes
	statements       map[string]*preparedStatement
	portals          map[string]*portal
	pendingResponses []byte      // answers that wait for Flush or Sync
	skipToSync       bool        // an error ended the unit: all up to Sync is passed over
	pending          *unitOfWork // asked for, not yet handed to the core
	running          *unitOfWork
	deferredMessage  *pgwire.Message // came while next had to be run first
}

type preparedStatement struct {
	pgwire.ParseMessage
	comment requestcomment.Head
}

type portal struct {
	statement *preparedStatement
	bindRest  []byte
	executed  bool // it was executed
}

// work is what one request does at a db machine: the description of a statement, or that of a portal and its
// execution.
type unitOfWork struct {
	statement      *preparedStatement
	portal         *portal // nil: describe the statement
	describe       bool
	execute        bool
	maxRows        uint32
	receivedAt     time.Duration
	closeResponses []byte // answers to what came behind it
	syncReceived   bool   // Sync has come
}

// Idle implements clients.Speaker.
func (s *session) Idle() bool {
	return !s.skipToSync && s.pending == nil && s.running == nil && len(s.pendingResponses) == 0 && len(s.portals) == 0
}

// Message implements clients.Speaker.
func (s *session) HandleMessage(m pgwire.Message) error {
	if m.Type == 'X' { // whatever waits is not wanted any more: nothing of it was sent
		s.client.Close()
		return nil
	}
	if s.skipToSync && m.Type != 'S' {
		return nil
	}
	if len(s.pendingResponses) > maxBufferedBytes {
		s.flush() // guards memory against a client that asks on and on without Sync
	}
	if s.pending != nil && !s.belongsToPending(m) {
		if s.isWrite(s.pending) && m.Type != 'S' {
			// Guards the one-time run of a write: its unit holds nothing behind it, and it is sent only with Sync,
			// so that a client lost in between has run nothing.
			s.pending = nil
			s.reject(pgwire.NotSupported, "a write must be followed by Sync")
			if m.Type == 'H' {
				s.flush()
			}
			return nil
		}
		if m.Type == 'S' {
			s.pending.syncReceived = true
		} else {
			s.deferredMessage = &pgwire.Message{Type: m.Type, Body: append([]byte(nil), m.Body...)}
		}
		s.submitPending()
		return nil
	}
	switch m.Type {
	case 'Q':
		return s.handleSimpleQuery(m.Body)
	case 'P':
		return s.handleParse(m.Body)
	case 'B':
		return s.handleBind(m.Body)
	case 'D':
		return s.handleDescribe(m.Body)
	case 'E':
		return s.handleExecute(m.Body)
	case 'C':
		return s.handleClose(m.Body)
	case 'H':
		s.flush()
	case 'S':
		s.sync()
	case 'F':
		s.reject(pgwire.NotSupported, "function calls are not supported")
		s.skipToSync = false
		s.sync()
	case 'd', 'c', 'f': // PostgreSQL passes over what is left of a COPY that failed
	default:
		return pgwire.ErrFormat
	}
	return nil
}

// joins says whether m belongs to the work that waits: the execution of the portal that it describes, or a Close.
func (s *session) belongsToPending(m pgwire.Message) bool {
	switch m.Type {
	case 'C':
		return len(s.pending.closeResponses) < maxBufferedBytes
	case 'E':
		name, _, err := pgwire.Execute(m.Body)
		return err == nil && !s.pending.execute && s.pending.portal != nil && s.portals[name] == s.pending.portal
	}
	return false
}

func (s *session) isWrite(w *unitOfWork) bool {
	return w.execute && s.classes.IsWrite(w.statement.comment.Class)
}

func (s *session) reject(code, text string) {
	s.pendingResponses = pgwire.AppendError(s.pendingResponses, pgwire.Error{Code: code, Message: text})
	s.skipToSync = true
}

func (s *session) flush() {
	if len(s.pendingResponses) > 0 {
		s.client.Respond(s.pendingResponses)
		s.pendingResponses = nil
	}
}

// sync ends the unit of work, and its portals with it.
func (s *session) sync() {
	s.skipToSync = false
	for name := range s.portals {
		s.dropPortal(name)
	}
	s.pendingResponses = pgwire.AppendReady(s.pendingResponses)
	s.flush()
}

func (s *session) dropPortal(name string) {
	if p := s.portals[name]; p != nil {
		s.client.Release(len(p.bindRest))
		delete(s.portals, name)
	}
}

func (s *session) dropStatement(name string) {
	if p := s.statements[name]; p != nil {
		s.client.Release(len(p.Query))
		delete(s.statements, name)
	}
}

// room guards memory: what a client may have prepared is bounded in number, and what all have in bytes.
func (s *session) reserve(n int) bool {
	if len(s.statements)+len(s.portals) >= s.client.Limits().Frontend.PreparedStatements || !s.client.Reserve(n) {
		s.reject(pgwire.TooLarge, "too much is prepared")
		return false
	}
	return true
}

func (s *session) handleParse(body []byte) error {
	m, err := pgwire.Parse(body)
	if err != nil {
		return err
	}
	if m.Name != "" && s.statements[m.Name] != nil {
		s.reject("42P05", "prepared statement "+m.Name+" already exists")
		return nil
	}
	p := &preparedStatement{ParseMessage: m}
	if p.comment, err = requestcomment.Parse(m.Query); err != nil {
		s.reject(pgwire.BadStatement, err.Error())
		return nil
	}
	if err := CheckStatement(m.Query, s.classes.IsWrite(p.comment.Class)); err != nil {
		s.reject(pgwire.NotSupported, err.Error())
		return nil
	}
	s.dropStatement(m.Name)
	if s.reserve(len(m.Query)) {
		s.statements[m.Name] = p
		s.pendingResponses = pgwire.Append(s.pendingResponses, '1')
	}
	return nil
}

func (s *session) handleBind(body []byte) error {
	m, err := pgwire.Bind(body)
	if err != nil {
		return err
	}
	p := s.statements[m.Statement]
	if p == nil {
		s.reject(pgwire.UndefinedStatement, "prepared statement "+m.Statement+" does not exist")
		return nil
	}
	if m.Portal != "" && s.portals[m.Portal] != nil {
		s.reject("42P03", "portal "+m.Portal+" already exists")
		return nil
	}
	s.dropPortal(m.Portal)
	if s.reserve(len(m.Rest)) {
		s.portals[m.Portal] = &portal{statement: p, bindRest: append([]byte(nil), m.Rest...)}
		s.pendingResponses = pgwire.Append(s.pendingResponses, '2')
	}
	return nil
}

func (s *session) handleDescribe(body []byte) error {
	kind, name, err := pgwire.Target(body)
	if err != nil {
		return err
	}
	w := &unitOfWork{describe: true, receivedAt: s.client.ReceivedAt()}
	if kind == 'S' {
		if w.statement = s.statements[name]; w.statement == nil {
			s.reject(pgwire.UndefinedStatement, "prepared statement "+name+" does not exist")
			return nil
		}
	} else {
		if w.portal = s.portals[name]; w.portal == nil {
			s.reject(pgwire.UndefinedPortal, "portal "+name+" does not exist")
			return nil
		}
		w.statement = w.portal.statement
	}
	s.pending = w
	return nil
}

func (s *session) handleExecute(body []byte) error {
	name, rows, err := pgwire.Execute(body)
	if err != nil {
		return err
	}
	p := s.portals[name]
	if p == nil {
		s.reject(pgwire.UndefinedPortal, "portal "+name+" does not exist")
		return nil
	}
	if p.executed {
		s.pending = nil
		s.reject(pgwire.NotSupported, "a portal can be executed once only")
		return nil
	}
	p.executed = true
	if s.pending == nil {
		s.pending = &unitOfWork{statement: p.statement, portal: p}
	}
	s.pending.execute, s.pending.maxRows, s.pending.receivedAt = true, rows, s.client.ReceivedAt()
	return nil
}

func (s *session) handleClose(body []byte) error {
	kind, name, err := pgwire.Target(body)
	if err != nil {
		return err
	}
	if kind == 'S' {
		s.dropStatement(name)
	} else {
		s.dropPortal(name)
	}
	if s.pending != nil {
		s.pending.closeResponses = pgwire.Append(s.pending.closeResponses, '3')
	} else {
		s.pendingResponses = pgwire.Append(s.pendingResponses, '3')
	}
	return nil
}

// run hands the work that waits to the core. What came before it is answered first.
func (s *session) submitPending() {
	s.flush()
	w := s.pending
	s.pending, s.running = nil, w
	h := w.statement.comment
	s.submit(router.Request{
		Label: h.ID, Class: h.Class, Group: h.Group, Session: h.Session, Deadline: h.Deadline,
		ReceivedAt: w.receivedAt, MinPosition: h.After, Retry: h.Retry, Job: w,
	})
}

// take hands a request to the core, and answers one that is unfit.
func (s *session) submit(q router.Request) {
	if err := s.client.Submit(q, s); err != nil {
		s.client.MarkInvalid()
		s.pendingResponses = pgwire.AppendError(s.pendingResponses, frontend.InvalidRequestError(err))
		s.finishUnit(true)
		s.deferredMessage = nil // it is passed over, like all up to Sync
	}
}

func (s *session) handleSimpleQuery(body []byte) error {
	sql, err := pgwire.Query(body)
	if err != nil {
		return err
	}
	job, blank := frontend.NewSimpleQuery(sql)
	if blank {
		for name := range s.portals { // it ends the unit of work, like any simple query
			s.dropPortal(name)
		}
		s.flush()
		s.client.RespondToEmptyQuery()
		return nil
	}
	h, err := job.ParseComment()
	if err != nil {
		s.reject(pgwire.BadStatement, err.Error())
		s.sync()
		return nil
	}
	if err := CheckStatement(sql, s.classes.IsWrite(h.Class)); err != nil {
		s.reject(pgwire.NotSupported, err.Error())
		s.sync()
		return nil
	}
	s.running = &unitOfWork{syncReceived: true}
	s.flush()
	s.submit(router.Request{
		Label: h.ID, Class: h.Class, Group: h.Group, Session: h.Session, Deadline: h.Deadline,
		ReceivedAt: s.client.ReceivedAt(), MinPosition: h.After, Retry: h.Retry, Job: simpleQueryJob{job},
	})
	return nil
}

// settle closes the work that ran.
func (s *session) finishUnit(failed bool) {
	w := s.running
	s.running = nil
	if failed {
		s.skipToSync = true
	} else {
		s.pendingResponses = append(s.pendingResponses, w.closeResponses...)
	}
	if w.syncReceived {
		s.sync()
	}
}

// ended goes on after the answer to the work that ran.
func (s *session) completeUnit(failed bool) {
	s.finishUnit(failed)
	m := s.deferredMessage
	s.deferredMessage = nil
	s.client.CompleteRequest(func() error {
		if m == nil {
			return nil
		}
		return s.HandleMessage(*m)
	})
}

// Gone implements router.Client.
func (s *session) Disconnected(look bool) bool { return s.client.Disconnected(look) }

// Committed implements router.Committer.
func (s *session) Committed(position time.Duration) { s.client.Committed(position) }

// Begun implements router.Client.
func (s *session) ResponseStarted(a router.Response, f router.Flow) {
	s.appendResponse(a.(*backend.Response))
	messages := s.pendingResponses
	s.pendingResponses = nil
	s.client.StartResponse(messages, f)
}

// Part implements router.Client.
func (s *session) ResponsePart(messages []byte) { s.client.WriteResponsePart(messages) }

// Cut implements router.Client.
func (s *session) ResponseTruncated() { s.client.TruncateResponse() }

// Served implements router.Client.
func (s *session) Served(a router.Response) {
	answer := a.(*backend.Response)
	w := s.running
	s.appendResponse(answer)
	s.completeUnit(answer.Code != "" && w.statement != nil)
}

// append adds what an answer says to the client.
func (s *session) appendResponse(answer *backend.Response) {
	r := pgwire.NewReader(len(answer.Messages)+5, 0)
	r.Feed(answer.Messages)
	for {
		m, ok, err := r.Next()
		if !ok || err != nil {
			break
		}
		// ParseComplete and BindComplete were said when the client asked; these are the attempt's own.
		if m.Type != '1' && m.Type != '2' {
			s.pendingResponses = pgwire.Append(s.pendingResponses, m.Type, m.Body)
		}
	}
}

// Refused implements router.Client.
func (s *session) Rejected(after time.Duration) {
	s.pendingResponses = pgwire.AppendError(s.pendingResponses, frontend.RejectionError(after))
	s.completeUnit(true)
}

// Failed implements router.Client.
func (s *session) Failed(why string) {
	s.pendingResponses = pgwire.AppendError(s.pendingResponses, frontend.FailureError(why))
	s.completeUnit(true)
}
