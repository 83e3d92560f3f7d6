package testserver

import (
	"errors"
	"net"
	"testing"
	"time"

	"limeladder/internal/pgwire"
)

const (
	maxResponse     = 8 << 20 // bytes
	responseTimeout = 20 * time.Second
	startupTimeout  = 3 * time.Second // from TryDial's startup message to the first byte of the response
	readBufferSize  = 4096            // bytes
)

// Client is a client connection to a router or to a test server.
type Client struct {
	tb     testing.TB
	conn   net.Conn
	reader *pgwire.Reader
}

// Dial connects to addr and waits until the startup is complete. A rejected startup fails the test.
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
		tb.Fatalf("startup rejected: got %+v, expected no error", answer)
	}
	return client
}

// TryDial is like Dial, but returns an error if the server does not complete the startup.
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
	// The connection may be in the backlog of a socket from which no process accepts any more.
	conn.SetReadDeadline(time.Now().Add(startupTimeout))
	var first [1]byte
	if _, err := conn.Read(first[:]); err != nil {
		conn.Close()
		return nil, err
	}
	client.reader.Feed(first[:])
	if answer := client.Until('Z'); answer.Ended || answer.Code != "" {
		conn.Close()
		return nil, errStartupRejected
	}
	return client, nil
}

// errStartupRejected is returned when the server answers the startup with an error or closes the connection.
var errStartupRejected = errors.New("startup rejected")

// Send writes p and fails the test on an error.
func (c *Client) Send(p []byte) {
	c.tb.Helper()
	if err := c.Write(p); err != nil {
		c.tb.Fatal(err)
	}
}

// Write writes p. The server may have closed the connection, so an error is returned and does not fail the test.
func (c *Client) Write(p []byte) error {
	_, err := c.conn.Write(p)
	return err
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// Answer is the response that Client.Until has read.
type Answer struct {
	Types     string // message types in order of arrival, without ParameterStatus
	Code      string // SQLSTATE of the last ErrorResponse, "" = none
	Detail    string // field D of the last ErrorResponse
	Value     string // first column of the last row
	Ended     bool   // the connection ended before the awaited message
	Truncated bool   // the connection ended after part of the response had arrived
}

// Until reads until a message of type typ has arrived or the connection has ended. It fails the test if neither happens
// within responseTimeout, and on a malformed message.
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
			c.tb.Fatalf("timed out: got messages %q, expected one of the awaited type", answer.Types)
		}
		if err != nil {
			answer.Ended = true
			answer.Truncated = answer.Types != "" || c.reader.Buffered() > 0
			return answer
		}
		c.reader.Feed(buf[:n])
	}
}

// add adds one message to answer.
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
