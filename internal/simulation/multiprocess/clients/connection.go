package clients

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"limeladder/internal/pgwire"
)

const (
	readBufferBytes = 4096
	maxMessageBytes = 8 << 20

	startupUser     = "portal"
	startupDatabase = "crm"
)

// errConnectionEnded reports that a read failed for another reason than its deadline.
var errConnectionEnded = errors.New("connection ended")

// startupRejectedError reports that a router answered the startup message with an error.
type startupRejectedError struct{ sqlState string }

// Error implements error.
func (err *startupRejectedError) Error() string {
	return "startup rejected with SQLSTATE " + err.sqlState
}

// connection is one connection to a router. One goroutine uses it at a time.
type connection struct {
	net.Conn
	reader   *pgwire.Reader
	buffer   []byte
	answered bool // an earlier request on it was answered
}

// reply is the content of a router's answer up to ReadyForQuery or to the connection's end.
type reply struct {
	sqlState     string        // of an error
	retryAfter   time.Duration // that the error asks for
	value        string        // the first column of the last row
	isEmptyQuery bool          // it answers an empty query
	anyReceived  bool          // at least one message was received
}

// dial connects to a router and completes the startup. The timeout applies to connecting, and again to the startup.
func dial(address string, timeout time.Duration) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	opened := &connection{
		Conn:   conn,
		reader: pgwire.NewReader(maxMessageBytes, 0),
		buffer: make([]byte, readBufferBytes),
	}
	opened.SetDeadline(time.Now().Add(timeout))
	answer, err := opened.exchange(pgwire.AppendStartup(nil, "user", startupUser, "database", startupDatabase))
	if err == nil && answer.sqlState != "" {
		err = &startupRejectedError{answer.sqlState}
	}
	if err != nil {
		opened.Close()
		return nil, err
	}
	return opened, nil
}

// exchange sends a message and reads its answer. When reading fails it returns, with the error, what was received.
func (connection *connection) exchange(message []byte) (reply, error) {
	if _, err := connection.Write(message); err != nil {
		return reply{}, fmt.Errorf("send request: %w", err)
	}
	return connection.readReply()
}

// readReply reads up to ReadyForQuery. The connection ends after a fatal error, so its reply is returned with an error.
func (connection *connection) readReply() (reply, error) {
	var answer reply
	for {
		message, complete, err := connection.reader.Next()
		if err != nil {
			return answer, err
		}
		if !complete {
			if err := connection.readMore(); err != nil {
				return answer, err
			}
			continue
		}
		answer.anyReceived = true
		if message.Type == 'Z' { // ReadyForQuery
			return answer, nil
		}
		if err := answer.add(message); err != nil {
			return answer, err
		}
	}
}

// readMore reads once from the connection and feeds the reader.
func (connection *connection) readMore() error {
	count, err := connection.Read(connection.buffer)
	if err != nil {
		if isTimeout(err) {
			return err
		}
		return errConnectionEnded
	}
	connection.reader.Feed(connection.buffer[:count])
	return nil
}

// add records the content of one message of the answer.
func (answer *reply) add(message pgwire.Message) error {
	switch message.Type {
	case 'E': // ErrorResponse
		fields, err := pgwire.Fields(message.Body)
		if err != nil {
			return err
		}
		answer.sqlState = fields['C']
		if milliseconds, err := strconv.Atoi(fields['D']); err == nil {
			answer.retryAfter = time.Duration(milliseconds) * time.Millisecond
		}
	case 'D': // DataRow
		columns, err := pgwire.Row(message.Body)
		if err != nil {
			return err
		}
		if len(columns) > 0 {
			answer.value = string(columns[0])
		}
	case 'I': // EmptyQueryResponse
		answer.isEmptyQuery = true
	}
	return nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
