package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/pgwire"
)

const (
	usualClients  = 12
	usualDeadline = 1200 * time.Millisecond
	usualPause    = 40 * time.Millisecond // between two requests of a client

	// lateNotLost is how long after its deadline an answer is late; after that its request counts as lost.
	lateNotLost = 500 * time.Millisecond
	// answerPatience is how long a client waits for an answer at most.
	answerPatience = usualDeadline + 6*time.Second
	dialPatience   = 3 * time.Second
	maxAnswerBytes = 8 << 20
)

// usualResults is what usual clients got for their requests.
type usualResults struct {
	mutex   sync.Mutex
	served  int
	refused int
	others  []string // answers that were late or wrong, and requests without an answer
	slowest time.Duration
}

// String returns the results in one line.
func (r *usualResults) String() string {
	return fmt.Sprintf("%d served, %d refused, slowest %v, others %q", r.served, r.refused, r.slowest, r.others)
}

// check fails the test unless all requests were answered in time and most of them served.
func (r *usualResults) check(t *testing.T) {
	t.Helper()
	if len(r.others) > 0 {
		t.Errorf("%d requests were not answered as they should, want none: %q", len(r.others), r.others)
	}
	if r.served <= r.refused || r.served < usualClients {
		t.Errorf("%d requests were served and %d refused, want most of them served, and one of each client",
			r.served, r.refused)
	}
}

func (r *usualResults) add(id, code string, took time.Duration, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.slowest = max(r.slowest, took)
	switch {
	case err != nil:
		r.others = append(r.others, fmt.Sprintf("%s: %v after %v", id, err, took))
	case took > usualDeadline+lateNotLost:
		r.others = append(r.others, fmt.Sprintf("%s: code %q after %v", id, code, took))
	case code == "":
		r.served++
	case code == pgwire.TooManyConnections:
		r.refused++
	default:
		r.others = append(r.others, fmt.Sprintf("%s: code %s", id, code))
	}
}

// playUsualClients starts clients that send short requests one after the other until stop is closed.
func playUsualClients(address string, stop <-chan struct{}, playing *sync.WaitGroup) *usualResults {
	results := &usualResults{}
	for number := range usualClients {
		playing.Go(func() {
			c := &usualClient{address: address}
			defer c.close()
			for i := 0; !isClosed(stop); i++ {
				class := "look"
				if i%8 == 7 {
					class = "job"
				}
				id := fmt.Sprintf("usual-%d-%d", number, i)
				code, took, err := c.request(id, class)
				results.add(id, code, took, err)
				time.Sleep(usualPause)
			}
		})
	}
	return results
}

// usualClient is a client that keeps its connection, and opens a new one if it was closed between two requests.
type usualClient struct {
	address string
	conn    net.Conn // nil = not connected
	reader  *pgwire.Reader
}

// request sends a request and returns the SQLSTATE of its answer, "" = served, and how long it took. A request that has
// crossed the end of its connection is sent once more on a new one.
func (c *usualClient) request(id, class string) (code string, took time.Duration, err error) {
	kept := c.conn != nil
	code, took, err = c.send(id, class)
	if kept && isConnectionEnd(err) && code == "" {
		return c.send(id, class)
	}
	return code, took, err
}

func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (c *usualClient) send(id, class string) (code string, took time.Duration, err error) {
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return "", 0, err
		}
	}
	sentAt := time.Now()
	statement := pgwire.AppendQuery(nil, statementWithin(id, class, usualDeadline, 7))
	if _, err = c.conn.Write(statement); err == nil {
		code, err = c.answer(answerPatience)
	}
	if err != nil {
		c.close()
	}
	return code, time.Since(sentAt), err
}

func (c *usualClient) connect() error {
	conn, err := net.DialTimeout("tcp", c.address, dialPatience)
	if err != nil {
		return err
	}
	c.conn = conn
	c.reader = pgwire.NewReader(maxAnswerBytes, 0)
	if _, err = conn.Write(pgwire.AppendStartup(nil, "user", "usual")); err == nil {
		_, err = c.answer(dialPatience)
	}
	if err != nil {
		c.close()
	}
	return err
}

func (c *usualClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// answer reads up to ReadyForQuery and returns the SQLSTATE of the error before it, "" = none.
func (c *usualClient) answer(patience time.Duration) (code string, err error) {
	c.conn.SetReadDeadline(time.Now().Add(patience))
	buffer := make([]byte, 16<<10)
	for {
		message, ok, err := c.reader.Next()
		switch {
		case err != nil:
			return code, err
		case ok && message.Type == 'E':
			fields, _ := pgwire.Fields(message.Body) // without a code it is none of those that are expected
			code = fields['C']
		case ok && message.Type == 'Z':
			return code, nil
		case !ok:
			n, err := c.conn.Read(buffer)
			if err != nil {
				return code, err
			}
			c.reader.Feed(buffer[:n])
		}
	}
}
