package frontend

import (
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
)

// Platform returns the Speaker of the platform's protocol.
func Platform(c *Conn) Speaker { return &simple{Conn: c} }

type simple struct {
	*Conn
	skip bool // an extended message was turned away: all up to Sync is passed over
}

// Idle implements Speaker.
func (c *simple) Idle() bool { return !c.skip }

// Message implements Speaker.
func (c *simple) Message(m pgwire.Message) error {
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
		c.Quit()
	case 'S':
		c.skip = false
		c.Write(pgwire.AppendReady(nil))
	case 'P', 'B', 'D', 'E', 'C', 'H', 'F':
		c.Fault()
		c.skip = m.Type != 'F'
		p := pgwire.AppendError(nil, pgwire.Error{Code: pgwire.NotSupported, Message: "simple queries only"})
		if m.Type == 'F' {
			p = pgwire.AppendReady(p)
		}
		c.Write(p)
	default:
		return pgwire.ErrFormat
	}
	return nil
}

func (c *simple) query(sql string) {
	job, blank := Simple(sql)
	if blank {
		c.Blank()
		return
	}
	h, err := job.Head()
	if err != nil {
		c.Fault()
		c.Write(pgwire.AppendReady(pgwire.AppendError(nil, Unfit(err))))
		return
	}
	r := &reply{}
	c.Join(&r.Turn, router.Request{Label: h.ID, Class: h.Class, Group: h.Group, Session: h.Session, Deadline: h.Deadline,
		ReceivedAt: c.CameAt(), MinPosition: h.After, Retry: h.Retry, Job: job}, r)
}

// reply words the answer to one request.
type reply struct{ Turn }

// Served implements router.Client.
func (r *reply) Served(a router.Response) {
	r.Answer(pgwire.AppendReady(a.(*backend.Response).Messages))
}

// Begun implements router.Client.
func (r *reply) ResponseStarted(a router.Response, f router.Flow) {
	r.Stream(a.(*backend.Response).Messages, f)
}

// Refused implements router.Client.
func (r *reply) Rejected(after time.Duration) { r.error(Refusal(after)) }

// Failed implements router.Client.
func (r *reply) Failed(why string) { r.error(Failure(why)) }

// Cut implements router.Client.
func (r *reply) ResponseTruncated() {
	r.Turn.Cut(pgwire.AppendReady(pgwire.AppendError(nil, Failure("its answer broke off"))))
}

// Unfit implements Reply.
func (r *reply) Unfit(err error) {
	r.conn.Fault()
	r.error(Unfit(err))
}

func (r *reply) error(e pgwire.Error) { r.Answer(pgwire.AppendReady(pgwire.AppendError(nil, e))) }
