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
type Core interface {
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
	Message(m pgwire.Message) error
	// Idle says that the client has asked for nothing that is still to be answered.
	Idle() bool
}

// Front holds the connections of clients. All of it runs in the loop's goroutine.
type Front struct {
	loop      *eventloop.Loop
	lim       limits.Limits
	log       *slog.Logger
	core      Core
	speak     func(*Conn) Speaker
	ready     bool
	draining  bool          // the program is about to end
	empty     bool          // operators have drained the router
	gentle    bool          // another process takes the clients: there is time to let each finish
	finishing time.Duration // since when also those are closed that have no request in hand, 0 = they are not
	named     bool          // requests say whose they are
	conns     map[*Conn]struct{}
	buffered  int              // bytes of all clients that are kept for them, or have come of what they may ask next
	ahead     int              // bytes that have come of clients that are owed an answer
	next      *eventloop.Timer // the next sweep
	sweeps    int
}

// New returns a Front that is not ready yet. speak makes the Speaker of each connection. It is called before the loop
// runs.
func New(l *eventloop.Loop, lim limits.Limits, log *slog.Logger, c Core, speak func(*Conn) Speaker) *Front {
	f := &Front{loop: l, lim: lim, log: log, core: c, speak: speak, conns: map[*Conn]struct{}{}}
	l.Post(f.sweep)
	return f
}

// Name makes requests say whose they are, and from where, for the record. It is called before the first connection.
func (f *Front) Name() { f.named = true }

// nameMost bounds what is kept of a user's name.
const nameMost = 64

// Ready says that empty queries may be answered from now on: the platform sends clients after that.
func (f *Front) Ready() { f.ready = true }

// Accept takes a new connection. The listener bounds how many there are.
func (f *Front) Accept(s *transport.Conn) transport.Handler {
	now := f.loop.Now()
	c := &Conn{front: f, sock: s, reader: pgwire.NewReader(f.lim.Frontend.MessageBytes, f.lim.Frontend.StartupBytes), openAt: now, lastAt: now, tookAt: now}
	c.speaker = f.speak(c)
	s.Buffer(f.lim.Frontend.SendBufferBytes)
	s.Prompt() // a client that has gone wants nothing of what it sent ahead
	f.conns[c] = struct{}{}
	if f.fine() {
		f.soon()
	}
	return c
}

// sweep closes connections that are overdue, and makes room.
func (f *Front) sweep() {
	now := f.loop.Now()
	unread := 0
	for c := range f.conns {
		if why := c.overdue(now); why != "" {
			c.fatal(pgwire.ProtocolViolation, why)
		} else if unread += c.unsent; unread > f.lim.Frontend.BufferedBytes && c.unsent > 0 && c.flow == nil && !c.busy() {
			// Guards memory: many that do not read their answers are too much where each alone is not.
			c.fatal(pgwire.TooLarge, "too much is left unread")
		} else if c.held > 0 {
			c.count() // there may be room again
		}
	}
	for c := range f.conns {
		if (f.empty || f.gentle) && now-c.openAt > f.lim.Frontend.DrainedIdle && c.spare(now, f.lim.Frontend.DrainedIdle) {
			c.End()
		} else if f.draining && !f.gentle {
			c.rest()
		}
	}
	if f.finishing > 0 {
		f.finish()
	}
	f.room(now)
	f.sweeps++
	f.next = f.loop.AfterFunc(f.grain(unread > 0), f.sweep)
}

// grain is the time to the next sweep. Harm: at a fixed fine grain every router of a fleet wakes twenty times a second
// for nothing, and on a small share of a core each wake is dear. Where nothing waits for room, none is tight and nothing
// drains, the first time it enforces lies seconds ahead: a quarter of the shortest of those is soon enough.
// Answers that clients have not taken count, too: all of them together are bounded at each sweep.
func (f *Front) grain(unread bool) time.Duration {
	lim := f.lim
	if unread || f.fine() {
		return lim.Frontend.SweepInterval
	}
	return max(lim.Frontend.SweepInterval, min(lim.Frontend.StartupTimeout, lim.Frontend.FirstCommandTimeout, lim.Frontend.PartialMessageTimeout, lim.Frontend.UnreadTimeout, lim.Frontend.UnitTimeout)/4)
}

// fine says whether the front needs its sweep at the fine grain: readings wait for room, it drains or is emptied, or the
// table is past its easy mark. Bytes kept for requests in hand are no want of room.
func (f *Front) fine() bool {
	return f.fill() > f.lim.Frontend.BufferedBytes || f.empty || f.draining || len(f.conns) > min(f.lim.Frontend.SoftLimit, f.lim.Frontend.HardLimit)
}

// fill is how much of Buffered is taken. Guards those that ask one thing at a time against those that send ahead: whatever these
// send takes half of the room at the most.
func (f *Front) fill() int { return f.buffered + min(f.ahead, f.lim.Frontend.BufferedBytes/2) }

// soon brings the next sweep to the fine grain, where something has come that needs it.
func (f *Front) soon() {
	if f.next != nil && f.loop.Now()+f.lim.Frontend.SweepInterval < f.next.Due() {
		f.next.Stop()
		f.next = f.loop.AfterFunc(f.lim.Frontend.SweepInterval, f.sweep)
	}
}

// room closes those that have asked for nothing for the longest time. Guards the table against clients that ask once
// and stay, or say nothing: usual ones must find a place. One that has a request, or has just come, is left alone.
func (f *Front) room(now time.Duration) {
	f.shrink(now, f.lim.Frontend.SoftLimit, f.lim.Frontend.SoftLimitIdle)
	// Guards against more clients that ask once and stay than there are places for the time they may stay: usual ones
	// would wait for a place until their time is up. A client whose connection is closed between requests asks anew.
	f.shrink(now, f.lim.Frontend.HardLimit, f.lim.Frontend.HardLimitIdle)
}

func (f *Front) shrink(now time.Duration, to int, idle time.Duration) {
	over := len(f.conns) - to
	if over <= 0 {
		return
	}
	var spare []*Conn
	for c := range f.conns {
		if c.spare(now, idle) {
			spare = append(spare, c)
		}
	}
	slices.SortFunc(spare, func(a, b *Conn) int { return cmp.Compare(a.lastAt, b.lastAt) })
	for _, c := range spare[:min(over, len(spare))] {
		c.End()
	}
}

// Empty drains the front, or ends that: the platform is told to send no more clients, newcomers are served what they
// bring, and each connection is closed right behind an answer, or when it has been idle for a while. A close at any other
// moment may cross a request.
func (f *Front) Empty(on bool) { f.empty = on; f.soon() }

// Takes says whether the platform may send clients.
func (f *Front) Takes() bool { return f.ready && !f.empty && !f.draining }

// Limit sets new limits.
func (f *Front) Limit(lim limits.Limits) { f.lim = lim }

// Drain closes each connection as soon as it is between requests. New ones serve what they bring. A gentle drain closes
// right behind answers, and what is idle only once it was quiet for a while: a close at any other moment may cross a
// request.
func (f *Front) Drain(gentle bool) {
	f.draining, f.gentle = true, gentle
	f.soon()
	for c := range f.conns {
		if !gentle {
			c.rest()
		}
	}
}

// Finish closes also what has not sent a request; what is taken still gets its answer. One that has only just come may bring what
// it came with, and what has come in part may become whole, within ClientMute: a close would cross it.
func (f *Front) Finish() {
	f.finishing = f.loop.Now()
	f.finish()
}

func (f *Front) finish() {
	now := f.loop.Now()
	for c := range f.conns {
		if c.busy() {
			continue
		}
		if part := c.reader.Waiting() > 0 || !c.sock.Quiet(); !c.fresh(now) && !part || now-f.finishing > f.lim.Frontend.UnusedIdle {
			c.End()
		}
	}
}

// Open is the number of connections.
func (f *Front) Open() int { return len(f.conns) }

// Conn is one connection of a client.
type Conn struct {
	front   *Front
	speaker Speaker
	sock    *transport.Conn
	reader  *pgwire.Reader
	started bool
	asked   bool // a message has come since the start
	faulty  bool // what it sent last was unfit
	ended   bool
	request string  // the core's handle of the one request in hand that nothing is read behind
	line    []*Turn // the answers that are owed, in their order
	backlog int     // bytes of them that wait for others
	commits commits
	reading bool          // messages are being read
	closing bool          // it is ended once they are written
	held    int           // its bytes that are not cut yet,
	early   bool          // counted as front.ahead, and not as front.buffered
	kept    int           // the same, of what its Speaker keeps between requests and of the request in hand
	size    int           // bytes of the newest message
	taken   int           // bytes of the request in hand
	session string        // and its session,
	group   int64         // and group
	fed     int64         // bytes that its reader was given
	openAt  time.Duration // when it was accepted
	lastAt  time.Duration // when a message was whole or an answer was written last
	partAt  time.Duration // since when a part of a message waits, 0 = none does
	moreAt  time.Duration // when anything came last
	tookAt  time.Duration // when it had taken all that it was sent, or some of it
	took    int64         // bytes it had taken then
	unsent  int           // what it has not taken
	flow    router.Flow   // of the answer that is passed on as it comes, nil = none is
	choked  bool          // it is not read until it has taken more
	user    string        // whose it is, and from where; only where requests are to say it
	from    string
}

// overdue says what a client has failed to do in time.
func (c *Conn) overdue(now time.Duration) string {
	lim := c.front.lim
	if c.unsent = c.sock.Unsent(); c.unsent == 0 || c.sock.Progress() > c.took {
		c.tookAt, c.took = now, c.sock.Progress() // a client may take seconds over a long answer
	}
	switch {
	case now-c.tookAt > lim.Frontend.UnreadTimeout:
		return "answers are not read"
	case c.busy():
		return ""
	case !c.started && now-c.openAt > lim.Frontend.StartupTimeout:
		return "no startup message in time"
	case c.started && !c.asked && c.partAt == 0 && now-c.openAt > lim.Frontend.FirstCommandTimeout:
		return "no command in time"
	case c.partAt > 0 && (now-max(c.partAt, c.moreAt) > lim.Frontend.PartialMessageTimeout || now-c.partAt > lim.Frontend.MessageTimeout):
		return "a message does not end"
	case c.started && !c.speaker.Idle() && now-c.lastAt > lim.Frontend.UnitTimeout:
		return "a unit of work does not go on"
	}
	return ""
}

// spare says whether the connection may be closed to make room for others, one with no open request after the given
// time. What has come and is not read yet is looked for.
func (c *Conn) spare(now, idle time.Duration) bool {
	lim := c.front.lim
	if !c.started {
		return now-c.openAt > lim.Frontend.UnstartedIdle && c.partAt == 0
	}
	switch {
	case c.faulty:
		idle = min(idle, lim.Frontend.UnstartedIdle)
	case !c.asked: // usual clients ask at once
		idle = lim.Frontend.UnusedIdle
	}
	return !c.busy() && c.partAt == 0 && c.speaker.Idle() && now-c.lastAt > idle && c.sock.Quiet()
}

// End closes the connection.
func (c *Conn) End() {
	if c.ended {
		return
	}
	c.ended = true
	c.sock.Finish(c.front.lim.Frontend.FlushTimeout) // an answer of which the system has taken a part only must not be cut
	c.gone()
}

func (c *Conn) gone() {
	f := c.front
	delete(f.conns, c)
	c.enter(0, false)
	f.buffered -= c.kept
	c.kept = 0
	if c.flow != nil {
		c.flow.SetPaused(false) // the rest of its answer is read all the same, and meets nobody
		c.flow = nil
	}
	if c.request != "" {
		f.core.Disconnect(c.request)
		c.request = ""
	}
	line := c.line
	c.line = nil
	for _, t := range line {
		if t.flow != nil {
			t.flow.SetPaused(false)
		}
		if t.id != "" {
			f.core.Disconnect(t.id)
		}
	}
}

// Gone implements router.Client.
func (c *Conn) Gone(look bool) bool { return c.ended || c.sock.Left(look) }

// Closed implements sock.Handler.
func (c *Conn) Closed(error) {
	if !c.ended {
		c.ended = true
		c.gone()
	}
}

// Data implements sock.Handler.
func (c *Conn) Data(p []byte) {
	if c.ended {
		return // it is closed once it has taken its last answer
	}
	c.moreAt = c.front.loop.Now()
	c.fed += int64(len(p))
	c.reader.Feed(p)
	c.read()
	c.count()
}

// count enters what waits to be read, and stops the reading of what is too much. Guards memory against clients that send on
// and on without waiting for answers, or without taking them, and against all together: they wait for room.
func (c *Conn) count() {
	f := c.front
	if c.ended {
		return
	}
	busy := c.busy() || c.choked
	c.enter(c.reader.Waiting(), busy)
	if busy || c.held == 0 {
		c.partAt = 0
	} else if c.partAt == 0 {
		c.partAt = f.loop.Now() // the time spent behind an earlier answer is no stall of the client's
	}
	full := c.held > 0 && (f.fill() > f.lim.Frontend.BufferedBytes || busy && f.ahead > f.lim.Frontend.BufferedBytes/2)
	if full && c.partAt > 0 {
		c.moreAt = f.loop.Now() // that nothing more comes is not its fault
	}
	c.sock.SetPaused(full || busy && c.held > f.lim.Frontend.PipelinedBytes)
	if full {
		f.soon() // what is held back waits for the sweep to find room again
	}
}

// enter counts the bytes that are not cut yet.
func (c *Conn) enter(held int, early bool) {
	pot := func() *int {
		if c.early {
			return &c.front.ahead
		}
		return &c.front.buffered
	}
	*pot() -= c.held
	c.held, c.early = held, early
	*pot() += held
}

// Taken implements sock.Taker.
func (c *Conn) Taken() {
	if c.choked {
		c.choked = false
		c.settle()
		c.next()
	}
	if c.flow != nil && c.sock.Unsent() <= c.front.lim.Frontend.HighWaterBytes {
		c.flow.SetPaused(false)
	}
}

// Stream begins an answer that is passed on as it comes.
func (c *Conn) Stream(p []byte, f router.Flow) {
	c.flow = f
	c.Part(p)
}

// Part implements router.Client: it sends the next piece. What a client has not taken is bounded: beyond that its db
// machine has to wait, and the loop does not.
func (c *Conn) Part(p []byte) {
	if c.ended {
		return
	}
	if c.sock.Write(p) != nil {
		c.End()
		return
	}
	if c.sock.Unsent() > 0 {
		c.front.soon() // what is not taken counts against all clients' bound
	}
	if c.flow != nil && c.sock.Unsent() > c.front.lim.Frontend.HighWaterBytes {
		c.flow.SetPaused(true)
		c.sock.Await(c.front.lim.Frontend.LowWaterBytes)
	}
}

// Cut implements router.Client: the answer will not become whole, and only the connection's end can say so within a row.
func (c *Conn) Cut() {
	c.flow, c.request = nil, ""
	c.End()
}

// read works on what has come until a request has to wait.
func (c *Conn) read() {
	if c.reading {
		return // an answer given at once: the loop below goes on behind it
	}
	c.reading = true
	defer func() { c.reading = false }()
	for !c.ended && !c.blocked() && !c.sock.Left(false) {
		if c.stuffed() {
			return
		}
		m, ok, err := c.reader.Next()
		if err != nil {
			c.last(pgwire.ProtocolViolation, err.Error())
			return
		}
		if !ok {
			return
		}
		c.partAt, c.lastAt, c.size = 0, c.front.loop.Now(), len(m.Body)
		c.asked, c.faulty = c.started, false
		if !c.started {
			err = c.startup(m.Body)
		} else {
			err = c.speaker.Message(m)
		}
		if err != nil {
			c.last(pgwire.ProtocolViolation, err.Error())
		}
	}
}

// Write sends p, behind the answers that are owed.
func (c *Conn) Write(p []byte) {
	n := len(c.line)
	if n == 0 || c.ended {
		c.send(p)
		return
	}
	if !c.line[n-1].text {
		c.line = append(c.line, &Turn{conn: c, state: answered, text: true})
		n++
	}
	c.line[n-1].keep(p)
}

// send writes p now; a broken connection is the client's leaving.
func (c *Conn) send(p []byte) {
	if !c.ended && (c.sock.Write(p) != nil || c.sock.Unsent() > c.front.lim.Frontend.UnreadBytes) {
		c.End() // also guards memory against a client that asks and does not read
	} else if !c.ended && c.sock.Unsent() > 0 {
		c.front.soon()
	}
}

func (c *Conn) fatal(code, text string) {
	c.front.log.Debug("client turned away", "code", code, "why", text, "asked", c.asked)
	if c.flow == nil { // within a row its bytes would be taken for the value's
		c.send(pgwire.AppendError(nil, pgwire.Error{Fatal: true, Code: code, Message: text}))
	}
	c.End()
}

// rest closes a connection between requests when the program is about to end. One that has only just come is left to bring what it
// came with: usual clients ask at once, and the close would cross it.
func (c *Conn) rest() {
	if (c.front.draining || c.front.empty) && c.started && !c.ended && !c.busy() && c.reader.Waiting() == 0 && c.speaker.Idle() &&
		!c.fresh(c.front.loop.Now()) && c.sock.Quiet() {
		c.End()
	}
}

// fresh says that a client has asked for nothing yet and still may do so.
func (c *Conn) fresh(now time.Duration) bool {
	return !c.asked && now-c.openAt <= c.front.lim.Frontend.UnusedIdle
}

// Blank answers an empty query, by which the platform asks whether it may send clients.
func (c *Conn) Blank() {
	f := c.front
	if f.ready && !f.empty {
		c.Write(pgwire.AppendReady(pgwire.Append(nil, 'I')))
		c.rest()
		return
	}
	why := "starting up"
	if f.ready {
		why = "drained"
	}
	c.Write(pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error{Code: pgwire.CannotConnectNow, Message: why,
		After: 100 * time.Millisecond})))
	c.rest()
}

// CameAt is when the last byte of the newest message had come to this machine. The client's time runs from its send, whatever its
// message waited behind.
func (c *Conn) CameAt() time.Duration { return c.sock.CameAt(c.fed - int64(c.reader.Waiting())) }

// Limits are those of the program.
func (c *Conn) Limits() limits.Limits { return c.front.lim }

// Hold says whether there is room to keep so many bytes for the client, and counts them if so.
func (c *Conn) Hold(n int) bool {
	if c.ended || c.front.fill()+n > c.front.lim.Frontend.BufferedBytes {
		return false
	}
	c.kept += n
	c.front.buffered += n
	return true
}

// Release gives back bytes that Hold has counted.
func (c *Conn) Release(n int) {
	if !c.ended {
		c.kept -= n
		c.front.buffered -= n
	}
}

// Take hands a request to the core; until Done no further message is read. An error says that it is unfit, and that
// nothing was taken.
func (c *Conn) Take(q router.Request, to router.Client) (err error) {
	q.Tenant, q.Client = c.user, c.from
	if c.front.core.OrderingOf(q.Class).ReadsOwnWrites {
		q.MinPosition = c.commits.see(&q)
	}
	if !c.Hold(c.size) {
		c.front.core.RecordRejection(q, roomAfter)
		return errRoom
	}
	if c.request, err = c.front.core.Accept(q, to); err != nil {
		c.Release(c.size)
	} else {
		c.taken, c.session, c.group = c.size, q.Session, q.Group
	}
	return err
}

// Committed notes the position of the write in hand, so that reads which its client sent before it knew of that see it.
func (c *Conn) Committed(position time.Duration) { c.commits.note(c.session, c.group, position) }

// roomAfter is when a client may come again for which there was no room.
const roomAfter = 100 * time.Millisecond

// errRoom is no fault of the client's: it may come again.
var errRoom = errors.New("no room to keep the statement")

// Unfit is the error of a request that Take has not taken.
func Unfit(err error) pgwire.Error {
	if err == errRoom {
		return Refusal(roomAfter)
	}
	return pgwire.Error{Code: pgwire.BadStatement, Message: err.Error()}
}

// Fault notes that what the client has sent is unfit: it is among the first to go when room is needed.
func (c *Conn) Fault() { c.faulty = true }

// Done ends the request in hand. next, if any, is called before what was sent behind the request is read.
func (c *Conn) Done(next func() error) {
	c.request, c.flow = "", nil
	c.Release(c.taken)
	c.taken, c.session = 0, ""
	if c.reader.Waiting() > 0 && c.sock.Left(true) {
		c.lastAt = c.front.loop.Now()
		return // nothing of what it sent ahead is begun: its end is on its way here
	}
	if next != nil && !c.ended {
		if err := next(); err != nil {
			c.fatal(pgwire.ProtocolViolation, err.Error())
		}
	}
	c.next()
}

var errStart = errors.New("unsupported startup message")

func (c *Conn) startup(body []byte) error {
	code, params, err := pgwire.Startup(body)
	switch {
	case err != nil:
		return err
	case code == pgwire.SSLRequest, code == pgwire.GSSENCRequest:
		c.Write([]byte{'N'}) // plain TCP only
		return nil
	case code == pgwire.CancelRequest:
		c.End() // no cancel keys are given out
		return nil
	case code>>16 != 3:
		return errStart
	}
	if c.front.named {
		user := params["user"]
		c.user, c.from = strings.Clone(user[:min(len(user), nameMost)]), c.sock.Remote()
	}
	c.started = true
	c.reader.Started()
	c.Write(pgwire.AppendWelcome(nil))
	return nil
}
