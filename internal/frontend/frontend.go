// Package frontend holds the connections of clients, and is the thin front for the platform's protocol: simple
// queries, one statement each, over plain PostgreSQL connections.
package frontend

import (
	"cmp"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/transport"
)

// Core takes requests.
type Router interface {
	// Take refuses with an error what must not reach a db machine.
	Accept(q router.Request, c router.Client) (id string, err error)
	Disconnect(id string)
	// Order tells what a class's requests wait for of those before them on the same connection.
	OrderingOf(class string) router.Ordering
	// Turn enters a request that is refused for want of room.
	RecordRejection(q router.Request, after time.Duration)
}

// Speaker works on the messages of one connection.
type Speaker interface {
	// Message takes the next message; it is not called while a request of Conn.Take is in hand. An error ends the connection.
	HandleMessage(m pgwire.Message) error
	// Idle says that the client has asked for nothing that is still to be answered.
	Idle() bool
}

// Front holds the connections of clients. All of it runs in the loop's goroutine.
type Front struct {
	eventLoop         *eventloop.Loop
	limits            limits.Limits
	logger            *slog.Logger
	router            Router
	newHandler        func(*Conn) Speaker
	ready             bool
	shuttingDown      bool          // the program is about to end
	drained           bool          // operators have drained the router
	graceful          bool          // another process takes the clients: there is time to let each finish
	closingIdleSince  time.Duration // since when also those are closed that have no request in hand, 0 = they are not
	identifiesClients bool          // requests say whose they are
	connections       map[*Conn]struct{}
	bufferedBytes     int              // bytes of all clients that are kept for them, or have come of what they may ask next
	pipelinedBytes    int              // bytes that have come of clients that are owed an answer
	nextSweep         *eventloop.Timer // the next sweep
	sweepCount        int
}

// New returns a Front that is not ready yet. speak makes the Speaker of each connection. It is called before the loop
// runs.
func New(loop *eventloop.Loop, lim limits.Limits, log *slog.Logger, c Router, speak func(*Conn) Speaker) *Front {
	frontend := &Front{eventLoop: loop, limits: lim, logger: log, router: c, newHandler: speak, connections: map[*Conn]struct{}{}}
	loop.Post(frontend.sweep)
	return frontend
}

// Name makes requests say whose they are, and from where, for the record. It is called before the first connection.
func (frontend *Front) Name() { frontend.identifiesClients = true }

// nameMost bounds what is kept of a user's name.
const maxUserNameBytes = 64

// Ready says that empty queries may be answered from now on: the platform sends clients after that.
func (frontend *Front) Ready() { frontend.ready = true }

// Accept takes a new connection. The listener bounds how many there are.
func (frontend *Front) Accept(s *transport.Conn) transport.Handler {
	now := frontend.eventLoop.Now()
	c := &Conn{frontend: frontend, socket: s, reader: pgwire.NewReader(frontend.limits.Frontend.MessageBytes, frontend.limits.Frontend.StartupBytes), openedAt: now, lastActiveAt: now, lastProgressAt: now}
	c.handler = frontend.newHandler(c)
	s.Buffer(frontend.limits.Frontend.SendBufferBytes)
	s.Prompt() // a client that has gone wants nothing of what it sent ahead
	frontend.connections[c] = struct{}{}
	if frontend.needsFrequentSweeps() {
		frontend.hastenSweep()
	}
	return c
}

// sweep closes connections that are overdue, and makes room.
func (frontend *Front) sweep() {
	now := frontend.eventLoop.Now()
	unread := 0
	for c := range frontend.connections {
		if why := c.overdue(now); why != "" {
			c.closeWithError(pgwire.ProtocolViolation, why)
		} else if unread += c.unsentBytes; unread > frontend.limits.Frontend.BufferedBytes && c.unsentBytes > 0 && c.flow == nil && !c.owesResponse() {
			// Guards memory: many that do not read their answers are too much where each alone is not.
			c.closeWithError(pgwire.TooLarge, "too much is left unread")
		} else if c.unparsedBytes > 0 {
			c.accountInput() // there may be room again
		}
	}
	for c := range frontend.connections {
		if (frontend.drained || frontend.graceful) && now-c.openedAt > frontend.limits.Frontend.DrainedIdle && c.evictable(now, frontend.limits.Frontend.DrainedIdle) {
			c.Close()
		} else if frontend.shuttingDown && !frontend.graceful {
			c.closeIfDraining()
		}
	}
	if frontend.closingIdleSince > 0 {
		frontend.closeIdle()
	}
	frontend.evictIdle(now)
	frontend.sweepCount++
	frontend.nextSweep = frontend.eventLoop.AfterFunc(frontend.sweepInterval(unread > 0), frontend.sweep)
}

// grain is the time to the next sweep. Harm: at a fixed fine grain every router of a fleet wakes twenty times a second
// for nothing, and on a small share of a core each wake is dear. Where nothing waits for room, none is tight and nothing
// drains, the first time it enforces lies seconds ahead: a quarter of the shortest of those is soon enough.
// Answers that clients have not taken count, too: all of them together are bounded at each sweep.
func (frontend *Front) sweepInterval(unread bool) time.Duration {
	lim := frontend.limits
	if unread || frontend.needsFrequentSweeps() {
		return lim.Frontend.SweepInterval
	}
	return max(lim.Frontend.SweepInterval, min(lim.Frontend.StartupTimeout, lim.Frontend.FirstCommandTimeout, lim.Frontend.PartialMessageTimeout, lim.Frontend.UnreadTimeout, lim.Frontend.UnitTimeout)/4)
}

// fine says whether the front needs its sweep at the fine grain: readings wait for room, it drains or is emptied, or the
// table is past its easy mark. Bytes kept for requests in hand are no want of room.
func (frontend *Front) needsFrequentSweeps() bool {
	return frontend.usedBytes() > frontend.limits.Frontend.BufferedBytes || frontend.drained || frontend.shuttingDown || len(frontend.connections) > min(frontend.limits.Frontend.SoftLimit, frontend.limits.Frontend.HardLimit)
}

// fill is how much of Buffered is taken. Guards those that ask one thing at a time against those that send ahead: whatever these
// send takes half of the room at the most.
func (frontend *Front) usedBytes() int {
	return frontend.bufferedBytes + min(frontend.pipelinedBytes, frontend.limits.Frontend.BufferedBytes/2)
}

// soon brings the next sweep to the fine grain, where something has come that needs it.
func (frontend *Front) hastenSweep() {
	if frontend.nextSweep != nil && frontend.eventLoop.Now()+frontend.limits.Frontend.SweepInterval < frontend.nextSweep.Due() {
		frontend.nextSweep.Stop()
		frontend.nextSweep = frontend.eventLoop.AfterFunc(frontend.limits.Frontend.SweepInterval, frontend.sweep)
	}
}

// room closes those that have asked for nothing for the longest time. Guards the table against clients that ask once
// and stay, or say nothing: usual ones must find a place. One that has a request, or has just come, is left alone.
func (frontend *Front) evictIdle(now time.Duration) {
	frontend.evictDownTo(now, frontend.limits.Frontend.SoftLimit, frontend.limits.Frontend.SoftLimitIdle)
	// Guards against more clients that ask once and stay than there are places for the time they may stay: usual ones
	// would wait for a place until their time is up. A client whose connection is closed between requests asks anew.
	frontend.evictDownTo(now, frontend.limits.Frontend.HardLimit, frontend.limits.Frontend.HardLimitIdle)
}

func (frontend *Front) evictDownTo(now time.Duration, to int, idle time.Duration) {
	over := len(frontend.connections) - to
	if over <= 0 {
		return
	}
	var spare []*Conn
	for c := range frontend.connections {
		if c.evictable(now, idle) {
			spare = append(spare, c)
		}
	}
	slices.SortFunc(spare, func(a, b *Conn) int { return cmp.Compare(a.lastActiveAt, b.lastActiveAt) })
	for _, c := range spare[:min(over, len(spare))] {
		c.Close()
	}
}

// Empty drains the front, or ends that: the platform is told to send no more clients, newcomers are served what they
// bring, and each connection is closed right behind an answer, or when it has been idle for a while. A close at any other
// moment may cross a request.
func (frontend *Front) Empty(on bool) { frontend.drained = on; frontend.hastenSweep() }

// Takes says whether the platform may send clients.
func (frontend *Front) Takes() bool {
	return frontend.ready && !frontend.drained && !frontend.shuttingDown
}

// Limit sets new limits.
func (frontend *Front) Limit(lim limits.Limits) { frontend.limits = lim }

// Drain closes each connection as soon as it is between requests. New ones serve what they bring. A gentle drain closes
// right behind answers, and what is idle only once it was quiet for a while: a close at any other moment may cross a
// request.
func (frontend *Front) Drain(gentle bool) {
	frontend.shuttingDown, frontend.graceful = true, gentle
	frontend.hastenSweep()
	for c := range frontend.connections {
		if !gentle {
			c.closeIfDraining()
		}
	}
}

// Finish closes also what has not sent a request; what is taken still gets its answer. One that has only just come may bring what
// it came with, and what has come in part may become whole, within ClientMute: a close would cross it.
func (frontend *Front) Finish() {
	frontend.closingIdleSince = frontend.eventLoop.Now()
	frontend.closeIdle()
}

func (frontend *Front) closeIdle() {
	now := frontend.eventLoop.Now()
	for c := range frontend.connections {
		if c.owesResponse() {
			continue
		}
		if part := c.reader.Waiting() > 0 || !c.socket.Quiet(); !c.mayBringFirstCommand(now) && !part || now-frontend.closingIdleSince > frontend.limits.Frontend.UnusedIdle {
			c.Close()
		}
	}
}

// Open is the number of connections.
func (frontend *Front) Open() int { return len(frontend.connections) }

// Conn is one connection of a client.
type Conn struct {
	frontend           *Front
	handler            Speaker
	socket             *transport.Conn
	reader             *pgwire.Reader
	started            bool
	commandSeen        bool // a message has come since the start
	lastInvalid        bool // what it sent last was unfit
	closed             bool
	request            string  // the core's handle of the one request in hand that nothing is read behind
	slots              []*slot // the answers that are owed, in their order
	backlogBytes       int     // bytes of them that wait for others
	commits            sessionCommits
	reading            bool          // messages are being read
	closeWhenAnswered  bool          // it is ended once they are written
	unparsedBytes      int           // its bytes that are not cut yet,
	countedAsPipelined bool          // counted as front.ahead, and not as front.buffered
	reservedBytes      int           // the same, of what its Speaker keeps between requests and of the request in hand
	messageBytes       int           // bytes of the newest message
	requestBytes       int           // bytes of the request in hand
	session            string        // and its session,
	group              int64         // and group
	fedBytes           int64         // bytes that its reader was given
	openedAt           time.Duration // when it was accepted
	lastActiveAt       time.Duration // when a message was whole or an answer was written last
	partialSince       time.Duration // since when a part of a message waits, 0 = none does
	lastDataAt         time.Duration // when anything came last
	lastProgressAt     time.Duration // when it had taken all that it was sent, or some of it
	progressBytes      int64         // bytes it had taken then
	unsentBytes        int           // what it has not taken
	flow               router.Flow   // of the answer that is passed on as it comes, nil = none is
	backpressured      bool          // it is not read until it has taken more
	user               string        // whose it is, and from where; only where requests are to say it
	address            string
}

// overdue says what a client has failed to do in time.
func (c *Conn) overdue(now time.Duration) string {
	lim := c.frontend.limits
	if c.unsentBytes = c.socket.Unsent(); c.unsentBytes == 0 || c.socket.Progress() > c.progressBytes {
		c.lastProgressAt, c.progressBytes = now, c.socket.Progress() // a client may take seconds over a long answer
	}
	switch {
	case now-c.lastProgressAt > lim.Frontend.UnreadTimeout:
		return "answers are not read"
	case c.owesResponse():
		return ""
	case !c.started && now-c.openedAt > lim.Frontend.StartupTimeout:
		return "no startup message in time"
	case c.started && !c.commandSeen && c.partialSince == 0 && now-c.openedAt > lim.Frontend.FirstCommandTimeout:
		return "no command in time"
	case c.partialSince > 0 && (now-max(c.partialSince, c.lastDataAt) > lim.Frontend.PartialMessageTimeout || now-c.partialSince > lim.Frontend.MessageTimeout):
		return "a message does not end"
	case c.started && !c.handler.Idle() && now-c.lastActiveAt > lim.Frontend.UnitTimeout:
		return "a unit of work does not go on"
	}
	return ""
}

// spare says whether the connection may be closed to make room for others, one with no open request after the given
// time. What has come and is not read yet is looked for.
func (c *Conn) evictable(now, idle time.Duration) bool {
	lim := c.frontend.limits
	if !c.started {
		return now-c.openedAt > lim.Frontend.UnstartedIdle && c.partialSince == 0
	}
	switch {
	case c.lastInvalid:
		idle = min(idle, lim.Frontend.UnstartedIdle)
	case !c.commandSeen: // usual clients ask at once
		idle = lim.Frontend.UnusedIdle
	}
	return !c.owesResponse() && c.partialSince == 0 && c.handler.Idle() && now-c.lastActiveAt > idle && c.socket.Quiet()
}

// End closes the connection.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.socket.Finish(c.frontend.limits.Frontend.FlushTimeout) // an answer of which the system has taken a part only must not be cut
	c.releaseAll()
}

func (c *Conn) releaseAll() {
	frontend := c.frontend
	delete(frontend.connections, c)
	c.setUnparsed(0, false)
	frontend.bufferedBytes -= c.reservedBytes
	c.reservedBytes = 0
	if c.flow != nil {
		c.flow.SetPaused(false) // the rest of its answer is read all the same, and meets nobody
		c.flow = nil
	}
	if c.request != "" {
		frontend.router.Disconnect(c.request)
		c.request = ""
	}
	line := c.slots
	c.slots = nil
	for _, t := range line {
		if t.flow != nil {
			t.flow.SetPaused(false)
		}
		if t.requestID != "" {
			frontend.router.Disconnect(t.requestID)
		}
	}
}

// Gone implements router.Client.
func (c *Conn) Disconnected(look bool) bool { return c.closed || c.socket.Left(look) }

// Closed implements sock.Handler.
func (c *Conn) Closed(error) {
	if !c.closed {
		c.closed = true
		c.releaseAll()
	}
}

// Data implements sock.Handler.
func (c *Conn) Data(message []byte) {
	if c.closed {
		return // it is closed once it has taken its last answer
	}
	c.lastDataAt = c.frontend.eventLoop.Now()
	c.fedBytes += int64(len(message))
	c.reader.Feed(message)
	c.readMessages()
	c.accountInput()
}

// count enters what waits to be read, and stops the reading of what is too much. Guards memory against clients that send on
// and on without waiting for answers, or without taking them, and against all together: they wait for room.
func (c *Conn) accountInput() {
	frontend := c.frontend
	if c.closed {
		return
	}
	busy := c.owesResponse() || c.backpressured
	c.setUnparsed(c.reader.Waiting(), busy)
	if busy || c.unparsedBytes == 0 {
		c.partialSince = 0
	} else if c.partialSince == 0 {
		c.partialSince = frontend.eventLoop.Now() // the time spent behind an earlier answer is no stall of the client's
	}
	full := c.unparsedBytes > 0 && (frontend.usedBytes() > frontend.limits.Frontend.BufferedBytes || busy && frontend.pipelinedBytes > frontend.limits.Frontend.BufferedBytes/2)
	if full && c.partialSince > 0 {
		c.lastDataAt = frontend.eventLoop.Now() // that nothing more comes is not its fault
	}
	c.socket.SetPaused(full || busy && c.unparsedBytes > frontend.limits.Frontend.PipelinedBytes)
	if full {
		frontend.hastenSweep() // what is held back waits for the sweep to find room again
	}
}

// enter counts the bytes that are not cut yet.
func (c *Conn) setUnparsed(held int, early bool) {
	pot := func() *int {
		if c.countedAsPipelined {
			return &c.frontend.pipelinedBytes
		}
		return &c.frontend.bufferedBytes
	}
	*pot() -= c.unparsedBytes
	c.unparsedBytes, c.countedAsPipelined = held, early
	*pot() += held
}

// Taken implements sock.Taker.
func (c *Conn) Taken() {
	if c.backpressured {
		c.backpressured = false
		c.writeAnswered()
		c.resume()
	}
	if c.flow != nil && c.socket.Unsent() <= c.frontend.limits.Frontend.HighWaterBytes {
		c.flow.SetPaused(false)
	}
}

// Stream begins an answer that is passed on as it comes.
func (c *Conn) StartResponse(message []byte, f router.Flow) {
	c.flow = f
	c.WriteResponsePart(message)
}

// Part implements router.Client: it sends the next piece. What a client has not taken is bounded: beyond that its db
// machine has to wait, and the loop does not.
func (c *Conn) WriteResponsePart(message []byte) {
	if c.closed {
		return
	}
	if c.socket.Write(message) != nil {
		c.Close()
		return
	}
	if c.socket.Unsent() > 0 {
		c.frontend.hastenSweep() // what is not taken counts against all clients' bound
	}
	if c.flow != nil && c.socket.Unsent() > c.frontend.limits.Frontend.HighWaterBytes {
		c.flow.SetPaused(true)
		c.socket.Await(c.frontend.limits.Frontend.LowWaterBytes)
	}
}

// Cut implements router.Client: the answer will not become whole, and only the connection's end can say so within a row.
func (c *Conn) TruncateResponse() {
	c.flow, c.request = nil, ""
	c.Close()
}

// read works on what has come until a request has to wait.
func (c *Conn) readMessages() {
	if c.reading {
		return // an answer given at once: the loop below goes on behind it
	}
	c.reading = true
	defer func() { c.reading = false }()
	for !c.closed && !c.blocked() && !c.socket.Left(false) {
		if c.backpressure() {
			return
		}
		m, ok, err := c.reader.Next()
		if err != nil {
			c.closeWithErrorInOrder(pgwire.ProtocolViolation, err.Error())
			return
		}
		if !ok {
			return
		}
		c.partialSince, c.lastActiveAt, c.messageBytes = 0, c.frontend.eventLoop.Now(), len(m.Body)
		c.commandSeen, c.lastInvalid = c.started, false
		if !c.started {
			err = c.startup(m.Body)
		} else {
			err = c.handler.HandleMessage(m)
		}
		if err != nil {
			c.closeWithErrorInOrder(pgwire.ProtocolViolation, err.Error())
		}
	}
}

// Write sends p, behind the answers that are owed.
func (c *Conn) Respond(message []byte) {
	count := len(c.slots)
	if count == 0 || c.closed {
		c.write(message)
		return
	}
	if !c.slots[count-1].textOnly {
		c.slots = append(c.slots, &slot{conn: c, state: slotAnswered, textOnly: true})
		count++
	}
	c.slots[count-1].buffer(message)
}

// send writes p now; a broken connection is the client's leaving.
func (c *Conn) write(message []byte) {
	if !c.closed && (c.socket.Write(message) != nil || c.socket.Unsent() > c.frontend.limits.Frontend.UnreadBytes) {
		c.Close() // also guards memory against a client that asks and does not read
	} else if !c.closed && c.socket.Unsent() > 0 {
		c.frontend.hastenSweep()
	}
}

func (c *Conn) closeWithError(code, text string) {
	c.frontend.logger.Debug("client turned away", "code", code, "why", text, "asked", c.commandSeen)
	if c.flow == nil { // within a row its bytes would be taken for the value's
		c.write(pgwire.AppendError(nil, pgwire.Error{Fatal: true, Code: code, Message: text}))
	}
	c.Close()
}

// rest closes a connection between requests when the program is about to end. One that has only just come is left to bring what it
// came with: usual clients ask at once, and the close would cross it.
func (c *Conn) closeIfDraining() {
	if (c.frontend.shuttingDown || c.frontend.drained) && c.started && !c.closed && !c.owesResponse() && c.reader.Waiting() == 0 && c.handler.Idle() &&
		!c.mayBringFirstCommand(c.frontend.eventLoop.Now()) && c.socket.Quiet() {
		c.Close()
	}
}

// fresh says that a client has asked for nothing yet and still may do so.
func (c *Conn) mayBringFirstCommand(now time.Duration) bool {
	return !c.commandSeen && now-c.openedAt <= c.frontend.limits.Frontend.UnusedIdle
}

// Blank answers an empty query, by which the platform asks whether it may send clients.
func (c *Conn) RespondToEmptyQuery() {
	frontend := c.frontend
	if frontend.ready && !frontend.drained {
		c.Respond(pgwire.AppendReady(pgwire.Append(nil, 'I')))
		c.closeIfDraining()
		return
	}
	why := "starting up"
	if frontend.ready {
		why = "drained"
	}
	c.Respond(pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error{
		Code: pgwire.CannotConnectNow, Message: why,
		After: 100 * time.Millisecond,
	})))
	c.closeIfDraining()
}

// CameAt is when the last byte of the newest message had come to this machine. The client's time runs from its send, whatever its
// message waited behind.
func (c *Conn) ReceivedAt() time.Duration {
	return c.socket.CameAt(c.fedBytes - int64(c.reader.Waiting()))
}

// Limits are those of the program.
func (c *Conn) Limits() limits.Limits { return c.frontend.limits }

// Hold says whether there is room to keep so many bytes for the client, and counts them if so.
func (c *Conn) Reserve(count int) bool {
	if c.closed || c.frontend.usedBytes()+count > c.frontend.limits.Frontend.BufferedBytes {
		return false
	}
	c.reservedBytes += count
	c.frontend.bufferedBytes += count
	return true
}

// Release gives back bytes that Hold has counted.
func (c *Conn) Release(count int) {
	if !c.closed {
		c.reservedBytes -= count
		c.frontend.bufferedBytes -= count
	}
}

// Take hands a request to the core; until Done no further message is read. An error says that it is unfit, and that
// nothing was taken.
func (c *Conn) Submit(q router.Request, to router.Client) (err error) {
	q.Tenant, q.Client = c.user, c.address
	if c.frontend.router.OrderingOf(q.Class).ReadsOwnWrites {
		q.MinPosition = c.commits.positionFor(&q)
	}
	if !c.Reserve(c.messageBytes) {
		c.frontend.router.RecordRejection(q, capacityRetryAfter)
		return errNoCapacity
	}
	if c.request, err = c.frontend.router.Accept(q, to); err != nil {
		c.Release(c.messageBytes)
	} else {
		c.requestBytes, c.session, c.group = c.messageBytes, q.Session, q.Group
	}
	return err
}

// Committed notes the position of the write in hand, so that reads which its client sent before it knew of that see it.
func (c *Conn) Committed(position time.Duration) { c.commits.record(c.session, c.group, position) }

// roomAfter is when a client may come again for which there was no room.
const capacityRetryAfter = 100 * time.Millisecond

// errRoom is no fault of the client's: it may come again.
var errNoCapacity = errors.New("no room to keep the statement")

// Unfit is the error of a request that Take has not taken.
func InvalidRequestError(err error) pgwire.Error {
	if err == errNoCapacity {
		return RejectionError(capacityRetryAfter)
	}
	return pgwire.Error{Code: pgwire.BadStatement, Message: err.Error()}
}

// Fault notes that what the client has sent is unfit: it is among the first to go when room is needed.
func (c *Conn) MarkInvalid() { c.lastInvalid = true }

// Done ends the request in hand. next, if any, is called before what was sent behind the request is read.
func (c *Conn) CompleteRequest(next func() error) {
	c.request, c.flow = "", nil
	c.Release(c.requestBytes)
	c.requestBytes, c.session = 0, ""
	if c.reader.Waiting() > 0 && c.socket.Left(true) {
		c.lastActiveAt = c.frontend.eventLoop.Now()
		return // nothing of what it sent ahead is begun: its end is on its way here
	}
	if next != nil && !c.closed {
		if err := next(); err != nil {
			c.closeWithError(pgwire.ProtocolViolation, err.Error())
		}
	}
	c.resume()
}

var errStartupMessage = errors.New("unsupported startup message")

func (c *Conn) startup(body []byte) error {
	code, params, err := pgwire.Startup(body)
	switch {
	case err != nil:
		return err
	case code == pgwire.SSLRequest, code == pgwire.GSSENCRequest:
		c.Respond([]byte{'N'}) // plain TCP only
		return nil
	case code == pgwire.CancelRequest:
		c.Close() // no cancel keys are given out
		return nil
	case code>>16 != 3:
		return errStartupMessage
	}
	if c.frontend.identifiesClients {
		user := params["user"]
		c.user, c.address = strings.Clone(user[:min(len(user), maxUserNameBytes)]), c.socket.Remote()
	}
	c.started = true
	c.reader.Started()
	c.Respond(pgwire.AppendWelcome(nil))
	return nil
}
