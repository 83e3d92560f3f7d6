package adminapi

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/transport"
)

// Server answers the calls of operators. All of it runs on the event loop's goroutine.
type Server struct {
	loop        *eventloop.Loop
	limits      limits.Limits
	log         *slog.Logger
	router      Router
	connections []*connection // in the order of their arrival
}

// New returns a Server that gets its connections by Accept.
func New(loop *eventloop.Loop, lim limits.Limits, log *slog.Logger, router Router) *Server {
	return &Server{loop: loop, limits: lim, log: log, router: router}
}

// Accept takes a new connection.
func (s *Server) Accept(conn *transport.Conn) transport.Handler {
	accepted := &connection{server: s, conn: conn}
	s.connections = append(s.connections, accepted)
	accepted.timeout = s.loop.AfterFunc(s.limits.AdminAPI.CallTimeout, func() {
		accepted.answer(http.StatusRequestTimeout, "the call does not end")
	})
	if len(s.connections) > s.limits.AdminAPI.Connections/2 {
		s.dropOldestIncomplete()
	}
	return accepted
}

// dropOldestIncomplete makes room for the next caller. Callers that finish no request must not hold all connections
// until their time is up.
func (s *Server) dropOldestIncomplete() {
	for _, candidate := range s.connections {
		if !candidate.requestComplete {
			candidate.drop()
			return
		}
	}
}

// connection is one caller.
type connection struct {
	server          *Server
	conn            *transport.Conn
	timeout         *eventloop.Timer
	buffer          []byte
	requestComplete bool
	answered        bool
	closed          bool
}

// Data implements transport.Handler.
func (c *connection) Data(data []byte) {
	if c.requestComplete || c.closed {
		return // one request to a connection
	}
	c.buffer = append(c.buffer, data...)
	req, complete, err := parseRequest(c.buffer, c.server.limits.AdminAPI.CallBytes)
	if err != nil {
		c.answer(statusOf(err), err.Error())
		return
	}
	if complete {
		c.requestComplete = true
		c.buffer = nil
		c.serve(req)
	}
}

// Closed implements transport.Handler.
func (c *connection) Closed(error) { c.drop() }

// The content types of an answer.
const (
	contentTypeText = "text/plain; charset=utf-8"
	contentTypeJSON = "application/json"
)

// response is what a caller is answered.
type response struct {
	status      int
	text        string // without the line feed at its end
	contentType string // contentTypeText where it is empty
	allow       string // the method that the path has, if the request has another
}

// encode returns the response's bytes.
func (r *response) encode(now time.Time) []byte {
	const lineFeed = "\n"
	encoded := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	encoded = fmt.Appendf(encoded, "Date: %s\r\n", now.UTC().Format(http.TimeFormat))
	encoded = fmt.Appendf(encoded, "Content-Length: %d\r\n", len(r.text)+len(lineFeed))
	encoded = append(encoded, "Connection: close\r\n"...)
	if r.allow != "" {
		encoded = fmt.Appendf(encoded, "Allow: %s\r\n", r.allow)
	}
	contentType := r.contentType
	if contentType == "" {
		contentType = contentTypeText
	}
	encoded = fmt.Appendf(encoded, "Content-Type: %s\r\n\r\n", contentType)
	encoded = append(encoded, r.text...)
	return append(encoded, lineFeed...)
}

func (c *connection) answer(status int, text string) {
	c.respond(response{status: status, text: text})
}

func (c *connection) answerJSON(text string) {
	c.respond(response{status: http.StatusOK, text: text, contentType: contentTypeJSON})
}

// respond ends the call and the connection.
func (c *connection) respond(r response) {
	if c.closed {
		return
	}
	// An error says that the caller has gone, and then there is nobody left to answer.
	_ = c.conn.Write(r.encode(time.Now()))
	c.answered = true
	c.drop()
}

// drop closes the connection, after an answer once the caller has taken it.
func (c *connection) drop() {
	if c.closed {
		return
	}
	c.closed = true
	c.timeout.Stop()
	if c.answered {
		c.conn.CloseGracefully(c.server.limits.Frontend.FlushTimeout)
	} else {
		c.conn.Close() // nothing is owed to it, and others wait for its slot
	}
	c.server.connections = slices.DeleteFunc(c.server.connections, func(other *connection) bool { return other == c })
}
