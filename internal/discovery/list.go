// Package discovery follows discovery's list of db machines by HTTP/1.1 watches.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/transport"
)

// Sink is told what discovery says.
type Listener interface {
	EndpointListReceived(l config.List)
	// ListFailed says that a call has ended without a list; silent, that discovery has not turned it away: nothing was heard
	// of it, or nothing that can be believed.
	PollFailed(silent bool)
}

// Watcher keeps one call out at a time. All of it runs in the loop's goroutine.
//
// Who calls again after a failure goes by whose capacity a call takes. Where discovery is one service that all routers ask, the
// decision module does (Track): it spreads the calls of the whole fleet. Where lists are pushed to an agent on the router's own
// machine a call costs nobody anything, and the watch goes on by itself (Follow).
type Watcher struct {
	loop     *eventloop.Loop
	engine   *transport.Engine
	limits   limits.Limits
	log      *slog.Logger
	addr     string
	listener Listener

	version          int64  // of the newest list
	needsFullList    bool   // the next call asks for the whole list: this discovery has given none yet
	olderAnswers     int    // answers in a row that were older than the newest list,
	invalidAnswers   int    // or could not be believed for any reason
	lastLoggedError  string // that was logged last, "" = the last answer was good
	conn             *transport.Conn
	response         *httpResponse    // of the call that is out, nil = none
	deadline         *eventloop.Timer // its deadline
	startedAt        time.Duration    // when it was made,
	watchWait        time.Duration    // how long discovery may wait with its answer,
	answerSlack      time.Duration    // and how long beyond that the answer may take to begin
	lastDataAt       time.Duration    // when the newest piece of the answer came, 0 = none has
	requestText      []byte           // the call
	connectionReused bool             // it went out on a connection that had carried another
	dialNumber       int              // the newest dial; an older one that comes up late is closed
	retry            *retryBackoff    // of a watch that goes on by itself, nil = Track is called after each failure
	nextCall         *eventloop.Timer // the next call, where it waits
	stopped          bool
}

// New returns a Watcher that asks nothing before Track or Follow.
func New(l *eventloop.Loop, e *transport.Engine, lim limits.Limits, log *slog.Logger, addr string, s Listener) *Watcher {
	return &Watcher{loop: l, engine: e, limits: lim, log: log, addr: addr, needsFullList: true, listener: s}
}

// From says that the list of that version is known: only what has changed since is asked for.
func (watcher *Watcher) ResumeFrom(version int64) {
	watcher.version, watcher.needsFullList = version, false
}

// Move goes on at another address, with the whole list first: the versions of two discoveries need not agree. What
// the old one may still say, or its closing, is no more heard.
func (watcher *Watcher) MoveTo(addr string) {
	if addr == watcher.addr {
		return
	}
	watcher.addr, watcher.needsFullList, watcher.version = addr, true, 0
	watcher.abandonCall()
	watcher.Poll()
}

// Track starts to follow the list; after a failure it has to be called again.
func (watcher *Watcher) Poll() {
	if watcher.response == nil && !watcher.stopped {
		watcher.sendCall()
	}
}

// Follow starts to follow the list and goes on by itself after each failure, within Limits.ListAgain: nobody has to call Track.
func (watcher *Watcher) FollowPushed(seed uint64) {
	watcher.retry = &retryBackoff{maxInterval: watcher.limits.Discovery.MaxRetryInterval, rng: rand.New(rand.NewPCG(seed, retryRandomStream))}
	watcher.Poll()
}

// followStream tells the draws of this package from others of the same seed.
const retryRandomStream = 0x6c697374

// Stop ends the watch.
func (watcher *Watcher) Stop() {
	watcher.stopped = true
	watcher.abandonCall()
}

func (watcher *Watcher) abandonCall() {
	watcher.dialNumber++
	watcher.deadline.Stop()
	watcher.nextCall.Stop()
	watcher.response = nil
	if watcher.conn != nil {
		watcher.conn.Close()
		watcher.conn = nil
	}
}

// call sends the next call, on the connection in hand or a new one.
func (watcher *Watcher) sendCall() {
	watcher.response = &httpResponse{maxHeaderBytes: watcher.limits.Discovery.HeaderBytes, maxBodyBytes: watcher.limits.Discovery.ListBytes}
	path, wait := "/v1/endpoints", time.Duration(0)
	// Guards discovery, whose capacity all routers share: 0 is a version like any other. Taken for none, it made
	// the whole list be asked for again and again.
	if !watcher.needsFullList {
		wait = watcher.limits.Discovery.WatchWait
		path = fmt.Sprintf("/v1/endpoints?index=%d&wait=%d", watcher.version, wait.Milliseconds())
	}
	// Guards against a cut link: a silent call must not be taken for a quiet list.
	watcher.deadline.Stop()
	watcher.nextCall.Stop()
	slack := watcher.limits.Discovery.CallTimeout
	if wait > 0 {
		slack = watcher.limits.Discovery.WatchSlack
	}
	watcher.startedAt, watcher.watchWait, watcher.answerSlack, watcher.lastDataAt = watcher.loop.Now(), wait, slack, 0
	watcher.deadline = watcher.loop.AfterFunc(wait+slack, watcher.deadlinePassed)
	watcher.requestText = fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, watcher.addr)
	if watcher.conn != nil {
		watcher.connectionReused = true
		if watcher.conn.Write(watcher.requestText) == nil {
			return
		}
		watcher.conn = nil
	}
	watcher.dial(watcher.requestText)
}

// late ends a call whose answer should have come. Danger: what discovery writes counts as told, so an answer that is on its way in, or
// has come and is not looked at yet, is not given up. It goes on while more comes, as long again at the most.
func (watcher *Watcher) deadlinePassed() {
	gap, now, end := min(watcher.limits.Backend.StallTimeout, watcher.answerSlack/4), watcher.loop.Now(), watcher.startedAt+watcher.watchWait+2*watcher.answerSlack
	if now < end && (watcher.lastDataAt > 0 && now-watcher.lastDataAt < gap || watcher.conn != nil && !watcher.conn.Quiet()) {
		watcher.deadline = watcher.loop.AfterFunc(min(gap, end-now), watcher.deadlinePassed)
		return
	}
	watcher.callUnheard(errors.New("no answer in time"))
}

func (watcher *Watcher) dial(text []byte) {
	watcher.connectionReused = false
	watcher.dialNumber++
	mine := watcher.dialNumber
	watcher.engine.Dial(watcher.addr, watcher.limits.Backend.ConnectTimeout, func(c *transport.Conn, err error) transport.Handler {
		if mine != watcher.dialNumber {
			if c != nil {
				c.Close()
			}
			return &connectionHandler{watcher, mine}
		}
		if err == nil {
			err = c.Write(text)
		}
		if err != nil {
			watcher.callUnheard(err)
		} else {
			watcher.conn = c
			c.Exact() // an answer without a length ends with the connection, and a reset is no end
		}
		return &connectionHandler{watcher, mine}
	})
}

// link is one connection to discovery.
type connectionHandler struct {
	watcher    *Watcher
	dialNumber int
}

// Data implements sock.Handler.
func (k *connectionHandler) Data(p []byte) {
	watcher := k.watcher
	if k.dialNumber != watcher.dialNumber {
		return
	}
	if watcher.response == nil {
		watcher.abandonCall() // nothing was asked
		return
	}
	watcher.lastDataAt = watcher.loop.Now()
	whole, err := watcher.response.feed(p)
	if err != nil {
		watcher.callRejected(err)
	} else if whole {
		watcher.responseComplete()
	}
}

// Closed implements sock.Handler.
func (k *connectionHandler) Closed(err error) {
	watcher := k.watcher
	if k.dialNumber != watcher.dialNumber {
		return
	}
	watcher.conn = nil
	switch {
	case watcher.response == nil:
	case watcher.response.completeAtClose() && errors.Is(err, io.EOF):
		watcher.responseComplete()
	case watcher.connectionReused && len(watcher.response.buffered) == 0 && !watcher.response.headerRead:
		watcher.dial(watcher.requestText) // discovery had closed an idle connection: that is no failure
	case watcher.response.headerRead, !watcher.needsFullList && watcher.loop.Now()-watcher.startedAt > watcher.limits.Discovery.CallTimeout:
		// A call that discovery turns away waits no longer than this: it was a watch, and the link or discovery is lost.
		watcher.callUnheard(fmt.Errorf("watch ended: %v", err))
	default:
		watcher.callRejected(fmt.Errorf("connection ended: %v", err))
	}
}

func (watcher *Watcher) responseComplete() {
	response := watcher.response
	watcher.response = nil
	watcher.deadline.Stop()
	if response.closesConnection {
		watcher.abandonCall()
	}
	var l config.List
	if response.status != 200 {
		watcher.callRejected(fmt.Errorf("status %d", response.status))
		return
	}
	if err := json.Unmarshal(response.body, &l); err != nil {
		watcher.callInvalid(fmt.Errorf("body: %w", err))
		return
	}
	for i, e := range l.Servers {
		if _, err := e.Balance(); err != nil {
			watcher.callInvalid(fmt.Errorf("servers[%d].%w", i, err))
			return
		}
	}
	if err := watcher.checkPlausible(l); err != nil {
		watcher.callInvalid(err)
		return
	}
	watcher.version, watcher.needsFullList, watcher.olderAnswers, watcher.invalidAnswers, watcher.lastLoggedError = l.Version, false, 0, 0, ""
	if watcher.retry != nil {
		watcher.retry.reset()
	}
	watcher.listener.EndpointListReceived(l)
	switch early := watcher.loop.Now()-watcher.startedAt < watcher.watchWait/2; {
	case watcher.stopped, watcher.response != nil:
	case early && !l.Full && len(l.Servers) == 0:
		// Guards the router's part of a core against a discovery that does not wait. The watch still goes on.
		watcher.nextCall = watcher.loop.AfterFunc(watcher.limits.Discovery.WatchInterval, watcher.sendCall)
	default:
		watcher.sendCall() // at once: a watch goes on only if its next call comes within 200 ms
	}
}

// unfit says why a list that can be read is not believed: the last good one stays. Guards all routers at once against a
// discovery that has lost its data, or answers from a copy that is behind.
func (watcher *Watcher) checkPlausible(l config.List) error {
	if l.Full && len(l.Servers) == 0 {
		return errors.New("the whole list is empty")
	}
	if l.Version >= watcher.version {
		return nil
	}
	// The next call asks for all of it. One that goes on to be older after that has started anew: it is believed.
	if watcher.olderAnswers++; watcher.olderAnswers > maxOlderAnswers && l.Full {
		return nil
	}
	watcher.needsFullList = true
	return errors.New("the list is older than the one that is known")
}

// olderMost is how many answers in a row may be older than the list that is known before one is believed.
const maxOlderAnswers = 2

// failed ends a call that discovery has turned away.
func (watcher *Watcher) callRejected(err error) { watcher.callFailed(err, false) }

// spoilt ends a call with a list that can't be believed. What it should have said counts as told, so it is asked for again soon;
// a discovery that goes on like that is not asked by all routers at once for ever.
func (watcher *Watcher) callInvalid(err error) {
	watcher.invalidAnswers++
	watcher.callFailed(err, watcher.invalidAnswers <= maxOlderAnswers+1)
}

// silent ends a call of which nothing was heard. Discovery is not overloaded for all that is known, and what it had to tell
// counts as told all the same.
func (watcher *Watcher) callUnheard(err error) { watcher.callFailed(err, true) }

func (watcher *Watcher) callFailed(err error, silent bool) {
	// Once for each fault: a discovery that is away is asked many times.
	if text := err.Error(); text != watcher.lastLoggedError {
		watcher.lastLoggedError = text
		watcher.log.Warn("discovery failed", "err", err)
	}
	watcher.abandonCall()
	if watcher.stopped {
		return
	}
	if watcher.retry != nil {
		watcher.nextCall = watcher.loop.AfterFunc(watcher.retry.nextDelay(), watcher.Poll)
	}
	watcher.listener.PollFailed(silent)
}
