package frontend

import (
	"log/slog"
	"time"

	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/transport"
)

// Router accepts the requests of clients.
type Router interface {
	// Accept returns an error for a request that must not reach an endpoint. The id identifies the request until its
	// response.
	Accept(request router.Request, client router.Client) (id string, err error)
	// Disconnect reports that the client of a request has disconnected.
	Disconnect(id string)
	// OrderingOf returns which earlier requests of its connection a request of the class has to wait for.
	OrderingOf(class string) router.Ordering
	// RecordRejection records a request that was rejected because memory was short.
	RecordRejection(request router.Request, after time.Duration)
}

// ProtocolHandler interprets the messages of one connection.
type ProtocolHandler interface {
	// HandleMessage handles the next message. It is not called while a request passed to Conn.Submit is in flight. An
	// error ends the connection.
	HandleMessage(message pgwire.Message) error
	// Idle reports whether no unit of work is open, not even a rejected one that is skipped up to its Sync. The Conn
	// itself checks whether requests are unanswered.
	Idle() bool
}

// Frontend is the set of client connections of one listener. Its methods are called on the event loop's goroutine.
type Frontend struct {
	eventLoop  *eventloop.Loop
	limits     limits.Limits
	logger     *slog.Logger
	router     Router
	newHandler func(*Conn) ProtocolHandler

	connections       map[*Conn]struct{}
	memory            *clientMemory
	drain             drainState
	ready             bool
	identifiesClients bool // requests carry the client's user name and address

	nextSweep  *eventloop.Timer
	sweepCount int
}

// New returns a Frontend that is not ready yet. newHandler creates the handler of each connection. New must be called
// before the event loop runs.
func New(
	loop *eventloop.Loop,
	lim limits.Limits,
	logger *slog.Logger,
	router Router,
	newHandler func(*Conn) ProtocolHandler,
) *Frontend {
	f := &Frontend{
		eventLoop:   loop,
		limits:      lim,
		logger:      logger,
		router:      router,
		newHandler:  newHandler,
		connections: map[*Conn]struct{}{},
		memory:      &clientMemory{},
	}
	loop.Post(f.sweep)
	return f
}

// IdentifyClients makes requests carry the user name and the address of their client, for the audit record. It must be
// called before the first connection is accepted.
func (f *Frontend) IdentifyClients() { f.identifiesClients = true }

// ShareMemory makes the memory limits apply to the clients of both listeners together. It must be called before the
// first connection is accepted.
func (f *Frontend) ShareMemory(other *Frontend) { f.memory = other.memory }

// SetReady makes empty queries succeed from now on. The platform sends clients once they do.
func (f *Frontend) SetReady() { f.ready = true }

// AcceptsClients reports whether the platform may send clients.
func (f *Frontend) AcceptsClients() bool { return f.ready && !f.drain.begun() }

// SetLimits sets new limits.
func (f *Frontend) SetLimits(lim limits.Limits) { f.limits = lim }

// ConnectionCount returns the number of connections.
func (f *Frontend) ConnectionCount() int { return len(f.connections) }

// Accept adds a new connection. The listener limits their number.
func (f *Frontend) Accept(socket *transport.Conn) transport.Handler {
	lim := &f.limits.Frontend
	now := f.eventLoop.Now()
	c := &Conn{
		frontend: f,
		socket:   socket,
		input:    messageInput{reader: pgwire.NewReader(lim.MessageBytes, lim.StartupBytes)},
		lifetime: lifetime{openedAt: now, lastActiveAt: now},
		output:   outputState{lastProgressAt: now},
		memory:   byteAccount{total: &f.memory.memoryUse},
	}
	c.handler = f.newHandler(c)
	socket.SetWriteBuffer(lim.SendBufferBytes)
	socket.ReportCloseAtOnce() // a client that disconnects no longer needs responses to its pipelined requests
	f.connections[c] = struct{}{}
	if f.needsFrequentSweeps() {
		f.sweepSoon()
	}
	return c
}
