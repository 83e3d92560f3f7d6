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

// Server serves the HTTP requests of operators. It runs on the event loop's goroutine.
type Server struct {
	loop        *eventloop.Loop
	limits      limits.Limits
	log         *slog.Logger
	router      Router
	connections []*connection // oldest first
}

// New returns a Server. Its connections are passed to Accept.
func New(loop *eventloop.Loop, lim limits.Limits, log *slog.Logger, router Router) *Server {
	return &Server{loop: loop, limits: lim, log: log, router: router}
}

// Accept returns the handler of a new connection. If more than half of the slots are in use, it drops the oldest
// connection without a complete request.
func (s *Server) Accept(conn *transport.Conn) transport.Handler {
	accepted := &connection{server: s, conn: conn}
	s.connections = append(s.connections, accepted)
	accepted.timeout = s.loop.AfterFunc(s.limits.AdminAPI.RequestTimeout, func() {
		accepted.respondText(http.StatusRequestTimeout, "the call does not end")
	})
	if len(s.connections) > s.limits.AdminAPI.Connections/2 {
		s.dropOldestIncomplete()
	}
	return accepted
}

// dropOldestIncomplete frees a slot for the next connection. Clients that do not complete their requests must not
// occupy all slots until the timeout.
func (s *Server) dropOldestIncomplete() {
	for _, candidate := range s.connections {
		if !candidate.requestComplete {
			candidate.drop()
			return
		}
	}
}

// connection is an operator's connection.
type connection struct {
	server          *Server
	conn            *transport.Conn
	timeout         *eventloop.Timer
	buffer          []byte
	requestComplete bool
	responded       bool
	closed          bool
}

// Data implements transport.Handler.
func (c *connection) Data(data []byte) {
	if c.requestComplete || c.closed {
		return // one request per connection
	}
	c.buffer = append(c.buffer, data...)
	req, complete, err := parseRequest(c.buffer, c.server.limits.AdminAPI.RequestBytes)
	if err != nil {
		c.respondText(statusOf(err), err.Error())
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

// Content types of responses.
const (
	contentTypeText = "text/plain; charset=utf-8"
	contentTypeJSON = "application/json"
)

// response is an HTTP response.
type response struct {
	status      int
	text        string // body without the final line feed
	contentType string // empty = contentTypeText
	allow       string // Allow header; empty = none
}

// encode returns the response in wire format.
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

func (c *connection) respondText(status int, text string) {
	c.respond(response{status: status, text: text})
}

func (c *connection) respondJSON(text string) {
	c.respond(response{status: http.StatusOK, text: text, contentType: contentTypeJSON})
}

// respond sends the response and closes the connection.
func (c *connection) respond(r response) {
	if c.closed {
		return
	}
	// An error means that the client has disconnected, so there is nothing left to do.
	_ = c.conn.Write(r.encode(time.Now()))
	c.responded = true
	c.drop()
}

// drop closes the connection. If there is a response, the client first gets time to read it.
func (c *connection) drop() {
	if c.closed {
		return
	}
	c.closed = true
	c.timeout.Stop()
	if c.responded {
		c.conn.CloseGracefully(c.server.limits.Frontend.FlushTimeout)
	} else {
		c.conn.Close() // without a response to flush, free the slot at once
	}
	c.server.connections = slices.DeleteFunc(c.server.connections, func(other *connection) bool { return other == c })
}
