package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a connection of a client to a router.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// requestCount numbers the requests of the run: every request has an id of its own.
var requestCount atomic.Int64

func nextID() string { return fmt.Sprintf("%016x", 0x5100000000000000+requestCount.Add(1)) }

// readStatement returns a read of a key.
func readStatement(id, class string, limit time.Duration, cell int, key string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ SELECT data FROM facts WHERE code = '%s'",
		id, class, limit.Milliseconds(), cell, key)
}

// writeStatement returns a write of a key.
func writeStatement(id, class string, limit time.Duration, cell int, key, value string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ INSERT INTO facts (code, data) VALUES ('%s', '%s')"+
		" RETURNING data", id, class, limit.Milliseconds(), cell, key, value)
}

// partOfWrite returns the first bytes of a query with a write, whose announced length is never reached.
func partOfWrite(cell, announced, sent int) []byte {
	sql := writeStatement(nextID(), jobClass.name, jobClass.limit, cell, "bad", strings.Repeat("y", announced))
	p := append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, uint32(announced))...)
	return append(p, sql...)[:sent]
}

// startupMessage is that of the platform's clients.
func startupMessage() []byte {
	body := "\x00\x03\x00\x00user\x00portal\x00database\x00crm\x00\x00"
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

// dialClient connects to a router and waits for the end of the startup.
func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReaderSize(conn, 64<<10)}
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write(startupMessage()); err != nil {
		conn.Close()
		return nil, err
	}
	for {
		kind, _, err := readMessage(c.reader)
		if err != nil {
			conn.Close()
			return nil, err
		}
		if kind == 'Z' {
			conn.SetDeadline(time.Time{})
			return c, nil
		}
	}
}

func (c *client) close() { c.conn.Close() }

// send writes a query.
func (c *client) send(sql string) error {
	_, err := c.conn.Write(appendMessage(nil, 'Q', sql, "\x00"))
	return err
}

// answer is what a router has answered to one query.
type answer struct {
	kind  string // served, refused, failed or ready
	value string
	code  string
}

func (a answer) String() string {
	if a.kind == "served" {
		return fmt.Sprintf("served %.24q", a.value)
	}
	return a.kind + " " + a.code
}

// receive reads the answer to one query, up to ReadyForQuery.
func (c *client) receive() (a answer, err error) {
	for {
		kind, body, err := readMessage(c.reader)
		if err != nil {
			return a, err
		}
		switch kind {
		case 'D':
			a.value = string(body[min(6, len(body)):])
		case 'C':
			a.kind = "served"
		case 'I':
			a.kind = "ready"
		case 'E':
			a.code = errorCode(body)
			a.kind = "failed"
			if a.code == "53300" || a.code == "57P03" {
				a.kind = "refused"
			}
		case 'Z':
			return a, nil
		}
	}
}

// errorCode returns the SQLSTATE of an ErrorResponse.
func errorCode(body []byte) string {
	for _, field := range strings.Split(string(body), "\x00") {
		if code, ok := strings.CutPrefix(field, "C"); ok {
			return code
		}
	}
	return ""
}

// ask sends a query and waits for its answer.
func (c *client) ask(sql string, atMost time.Duration) (answer, error) {
	c.conn.SetDeadline(time.Now().Add(atMost))
	defer c.conn.SetDeadline(time.Time{})
	if err := c.send(sql); err != nil {
		return answer{}, err
	}
	return c.receive()
}

// emptyQuery reports whether the router says that it takes clients.
func (c *client) emptyQuery() bool {
	a, err := c.ask("", time.Second)
	return err == nil && a.kind == "ready"
}
