package testserver

import (
	"errors"
	"net"
	"testing"
	"time"

	"limeladder/internal/pgwire"
)

const (
	maxResponse     = 8 << 20
	responseTimeout = 20 * time.Second
	startupTimeout  = 3 * time.Second // of TryDial, until anything comes
	readBufferSize  = 4096
)

// Client is a client of the router.
type Client struct {
	tb     testing.TB
	conn   net.Conn
	reader *pgwire.Reader
}

// Dial connects and waits for the end of the startup.
func Dial(tb testing.TB, addr string) *Client {
	tb.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	client := &Client{tb: tb, conn: conn, reader: pgwire.NewReader(maxResponse, 0)}
	client.Send(pgwire.AppendStartup(nil, "user", "portal", "database", "crm"))
	if answer := client.Until('Z'); answer.Code != "" {
		tb.Fatalf("not welcome: %+v", answer)
	}
	return client
}

// TryDial is Dial at a router that may take no clients: it returns an error where the startup has no end.
func TryDial(tb testing.TB, addr string) (*Client, error) {
	tb.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	tb.Cleanup(func() { conn.Close() })
	client := &Client{tb: tb, conn: conn, reader: pgwire.NewReader(maxResponse, 0)}
	if err := client.Write(pgwire.AppendStartup(nil, "user", "portal", "database", "crm")); err != nil {
		return nil, err
	}
	// A connection may wait in the queue of a socket that no process accepts from any more.
	conn.SetReadDeadline(time.Now().Add(startupTimeout))
	var first [1]byte
	if _, err := conn.Read(first[:]); err != nil {
		conn.Close()
		return nil, err
	}
	client.reader.Feed(first[:])
	if answer := client.Until('Z'); answer.Ended || answer.Code != "" {
		conn.Close()
		return nil, errNotWelcome
	}
	return client, nil
}

// errNotWelcome says that the router has refused a connection or closed it.
var errNotWelcome = errors.New("not welcome")

// Send writes p.
func (c *Client) Send(p []byte) {
	c.tb.Helper()
	if err := c.Write(p); err != nil {
		c.tb.Fatal(err)
	}
}

// Write writes p to a router that may have closed the connection.
func (c *Client) Write(p []byte) error {
	_, err := c.conn.Write(p)
	return err
}

// Close ends the connection.
func (c *Client) Close() { c.conn.Close() }

// Answer is what came up to a message.
type Answer struct {
	Types     string // of all messages but ParameterStatus
	Code      string // of the last error
	Detail    string // its field D
	Value     string // of the last row
	Ended     bool   // the connection ended instead,
	Truncated bool   // and part of an answer had come
}

// Until reads up to a message of the given type, or to the end of the connection.
func (c *Client) Until(typ byte) (answer Answer) {
	c.tb.Helper()
	buf := make([]byte, readBufferSize)
	c.conn.SetReadDeadline(time.Now().Add(responseTimeout))
	for {
		m, ok, err := c.reader.Next()
		if err != nil {
			c.tb.Fatal(err)
		}
		if ok {
			c.add(&answer, m)
			if m.Type == typ {
				return answer
			}
			continue
		}
		n, err := c.conn.Read(buf)
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			c.tb.Fatalf("no answer, after %q", answer.Types)
		}
		if err != nil {
			answer.Ended = true
			answer.Truncated = answer.Types != "" || c.reader.Buffered() > 0
			return answer
		}
		c.reader.Feed(buf[:n])
	}
}

// add takes one message of the answer.
func (c *Client) add(answer *Answer, m pgwire.Message) {
	c.tb.Helper()
	switch m.Type {
	case 'S': // ParameterStatus
		return
	case 'E':
		fields, err := pgwire.Fields(m.Body)
		if err != nil {
			c.tb.Fatal(err)
		}
		answer.Code = fields['C']
		answer.Detail = fields['D']
	case 'D':
		values, err := pgwire.Row(m.Body)
		if err != nil {
			c.tb.Fatal(err)
		}
		answer.Value = string(values[0])
	}
	answer.Types += string(m.Type)
}
