package frontend

import (
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
)

// Platform returns the Speaker of the platform's protocol.
func Platform(c *Conn) Speaker { return &simpleQueryHandler{Conn: c} }

type simpleQueryHandler struct {
	*Conn
	skipToSync bool // an extended message was turned away: all up to Sync is passed over
}

// Idle implements Speaker.
func (c *simpleQueryHandler) Idle() bool { return !c.skipToSync }

// Message implements Speaker.
func (c *simpleQueryHandler) HandleMessage(m pgwire.Message) error {
	if c.skipToSync && m.Type != 'S' && m.Type != 'X' {
		return nil
	}
	switch m.Type {
	case 'Q':
		sql, err := pgwire.Query(m.Body)
		if err != nil {
			return err
		}
		c.handleQuery(sql)
	case 'X':
		c.CloseWhenAnswered()
	case 'S':
		c.skipToSync = false
		c.Respond(pgwire.AppendReady(nil))
	case 'P', 'B', 'D', 'E', 'C', 'H', 'F':
		c.MarkInvalid()
		c.skipToSync = m.Type != 'F'
		message := pgwire.AppendError(nil, pgwire.Error{Code: pgwire.NotSupported, Message: "simple queries only"})
		if m.Type == 'F' {
			message = pgwire.AppendReady(message)
		}
		c.Respond(message)
	default:
		return pgwire.ErrFormat
	}
	return nil
}

func (c *simpleQueryHandler) handleQuery(sql string) {
	job, blank := NewSimpleQuery(sql)
	if blank {
		c.RespondToEmptyQuery()
		return
	}
	h, err := job.ParseComment()
	if err != nil {
		c.MarkInvalid()
		c.Respond(pgwire.AppendReady(pgwire.AppendError(nil, InvalidRequestError(err))))
		return
	}
	r := &simpleQueryResponder{}
	c.enqueue(&r.slot, router.Request{
		Label: h.ID, Class: h.Class, Group: h.Group, Session: h.Session, Deadline: h.Deadline,
		ReceivedAt: c.ReceivedAt(), MinPosition: h.After, Retry: h.Retry, Job: job,
	}, r)
}

// reply words the answer to one request.
type simpleQueryResponder struct{ slot }

// Served implements router.Client.
func (r *simpleQueryResponder) Served(a router.Response) {
	r.complete(pgwire.AppendReady(a.(*backend.Response).Messages))
}

// Begun implements router.Client.
func (r *simpleQueryResponder) ResponseStarted(a router.Response, f router.Flow) {
	r.startResponse(a.(*backend.Response).Messages, f)
}

// Refused implements router.Client.
func (r *simpleQueryResponder) Rejected(after time.Duration) {
	r.respondWithError(RejectionError(after))
}

// Failed implements router.Client.
func (r *simpleQueryResponder) Failed(why string) { r.respondWithError(FailureError(why)) }

// Cut implements router.Client.
func (r *simpleQueryResponder) ResponseTruncated() {
	r.slot.truncate(pgwire.AppendReady(pgwire.AppendError(nil, FailureError("its answer broke off"))))
}

// Unfit implements Reply.
func (r *simpleQueryResponder) Invalid(err error) {
	r.conn.MarkInvalid()
	r.respondWithError(InvalidRequestError(err))
}

func (r *simpleQueryResponder) respondWithError(e pgwire.Error) {
	r.complete(pgwire.AppendReady(pgwire.AppendError(nil, e)))
}
