package main

import (
	"errors"
	"fmt"
	"net"
	"time"

	"limeladder/internal/pgwire"
)

// client is the stand-in of a client: one connection to a router.
type client struct {
	conn   net.Conn
	reader *pgwire.Reader
}

// answer is what a client has read.
type answer struct {
	types string // of the messages, without ParameterStatus
	code  string // SQLSTATE of an ErrorResponse, "" = none
	value string
	end   error // why reading ended before the awaited message, nil = it did not
}

// String returns the answer for the record.
func (a answer) String() string {
	switch {
	case a.end != nil:
		return fmt.Sprintf("messages %q, then %v", a.types, a.end)
	case a.code != "":
		return "error " + a.code
	default:
		return "served " + a.value
	}
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: pgwire.NewReader(8<<20, 0)}
	if err := c.send(pgwire.AppendStartup(nil, "user", "portal", "database", "crm")); err != nil {
		conn.Close()
		return nil, err
	}
	if got := c.until('Z', 5*time.Second); got.end != nil || got.code != "" {
		conn.Close()
		return nil, fmt.Errorf("startup: %s", got)
	}
	return c, nil
}

func (c *client) send(p []byte) error {
	_, err := c.conn.Write(p)
	return err
}

func (c *client) close() { c.conn.Close() }

// until reads until a message of a type has come, the connection has ended or the time is over.
func (c *client) until(kind byte, limit time.Duration) (got answer) {
	c.conn.SetReadDeadline(time.Now().Add(limit))
	buffer := make([]byte, 16<<10)
	for {
		message, ok, err := c.reader.Next()
		switch {
		case err != nil:
			got.end = err
			return got
		case ok:
			got.add(message)
			if message.Type == kind {
				return got
			}
			continue
		}
		n, err := c.conn.Read(buffer)
		if err != nil {
			got.end = err
			return got
		}
		c.reader.Feed(buffer[:n])
	}
}

func (a *answer) add(message pgwire.Message) {
	if message.Type == 'S' {
		return
	}
	a.types += string(message.Type)
	switch message.Type {
	case 'E':
		if fields, err := pgwire.Fields(message.Body); err == nil {
			a.code = fields['C']
		}
	case 'D':
		if row, err := pgwire.Row(message.Body); err == nil && len(row) > 0 {
			a.value = string(row[0])
		}
	}
}

// statement returns a statement in the form of the protocol page.
func statement(id, class string, deadline time.Duration) string {
	comment := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=3 */ ", id, class, deadline.Milliseconds())
	if class == writeClass {
		return comment + "INSERT INTO facts (code, data) VALUES ('" + id + `', '\x9f03') RETURNING data`
	}
	return comment + "SELECT data FROM facts WHERE code = '" + id + "'"
}

// ask sends one request on a connection of its own and returns the answer.
func (w *world) ask(address, id, class string, deadline time.Duration) answer {
	c, err := dialClient(address)
	if err != nil {
		w.logf("client: %s of class %s: %v", id, class, err)
		return answer{end: err}
	}
	defer c.close()
	if err := c.send(pgwire.AppendQuery(nil, statement(id, class, deadline))); err != nil {
		return answer{end: err}
	}
	got := c.until('Z', deadline+time.Second)
	w.logf("client: %s of class %s: %s", id, class, got)
	return got
}

// isTimeout reports whether reading ended because its time was over.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
