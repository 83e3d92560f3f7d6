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
	// Accept fails for a request that must not reach an endpoint. The id stands for the request until its response.
	Accept(request router.Request, client router.Client) (id string, err error)
	// Disconnect says that the client of a request has gone.
	Disconnect(id string)
	// OrderingOf tells which earlier requests of its connection a request of the class has to wait for.
	OrderingOf(class string) router.Ordering
	// RecordRejection records a request that was rejected for want of memory.
	RecordRejection(request router.Request, after time.Duration)
}

// ProtocolHandler gives the messages of one connection their meaning.
type ProtocolHandler interface {
	// HandleMessage handles the next message. It is not called while a request given to Conn.Submit is in flight.
	// An error ends the connection.
	HandleMessage(message pgwire.Message) error
	// Idle reports whether the client has asked for nothing that is still to be answered.
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
	memory            memoryUse
	drain             drainState
	ready             bool
	identifiesClients bool // requests carry the client's user name and address

	nextSweep  *eventloop.Timer
	sweepCount int
}

// New returns a Frontend that is not ready yet. The function newHandler makes the handler of each connection. New is
// called before the event loop runs.
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
	}
	loop.Post(f.sweep)
	return f
}

// IdentifyClients makes requests carry the user name and the address of their client, for the audit record. It is
// called before the first connection.
func (f *Frontend) IdentifyClients() { f.identifiesClients = true }

// SetReady makes empty queries succeed from now on: the platform sends clients after that.
func (f *Frontend) SetReady() { f.ready = true }

// AcceptsClients reports whether the platform may send clients.
func (f *Frontend) AcceptsClients() bool { return f.ready && !f.drain.begun() }

// SetLimits sets new limits.
func (f *Frontend) SetLimits(lim limits.Limits) { f.limits = lim }

// ConnectionCount returns the number of connections.
func (f *Frontend) ConnectionCount() int { return len(f.connections) }

// Accept adds a new connection. The listener bounds how many there are.
func (f *Frontend) Accept(socket *transport.Conn) transport.Handler {
	lim := &f.limits.Frontend
	now := f.eventLoop.Now()
	c := &Conn{
		frontend: f,
		socket:   socket,
		input:    messageInput{reader: pgwire.NewReader(lim.MessageBytes, lim.StartupBytes)},
		lifetime: lifetime{openedAt: now, lastActiveAt: now},
		output:   outputState{lastProgressAt: now},
		memory:   byteAccount{total: &f.memory},
	}
	c.handler = f.newHandler(c)
	socket.SetWriteBuffer(lim.SendBufferBytes)
	socket.ReportCloseAtOnce() // a client that has gone wants nothing of what it sent ahead
	f.connections[c] = struct{}{}
	if f.needsFrequentSweeps() {
		f.hastenSweep()
	}
	return c
}
