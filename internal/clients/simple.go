package clients

import (
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/servers"
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
		c.End()
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
	if err == nil {
		err = c.Take(router.Request{Label: h.ID, Class: h.Class, Group: h.Group, Session: h.Session, Deadline: h.Deadline,
			At: c.CameAt(), After: h.After, Retry: h.Retry, Job: job}, c)
	}
	if err != nil {
		c.Fault()
		c.Write(pgwire.AppendReady(pgwire.AppendError(nil, Unfit(err))))
	}
}

// answered sends the end of a request and goes on to what was sent behind it.
func (c *simple) answered(p []byte) {
	c.Write(pgwire.AppendReady(p))
	c.Done(nil)
}

// Served implements router.Client.
func (c *simple) Served(a router.Answer) { c.answered(a.(*servers.Answer).Messages) }

// Begun implements router.Client.
func (c *simple) Begun(a router.Answer, f router.Flow) { c.Stream(a.(*servers.Answer).Messages, f) }

// Refused implements router.Client.
func (c *simple) Refused(after time.Duration) { c.answered(pgwire.AppendError(nil, Refusal(after))) }

// Failed implements router.Client.
func (c *simple) Failed(why string) { c.answered(pgwire.AppendError(nil, Failure(why))) }
