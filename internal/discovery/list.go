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
	loop   *eventloop.Loop
	engine *transport.Engine
	lim    limits.Limits
	log    *slog.Logger
	addr   string
	sink   Listener

	version int64  // of the newest list
	whole   bool   // the next call asks for the whole list: this discovery has given none yet
	older   int    // answers in a row that were older than the newest list,
	bad     int    // or could not be believed for any reason
	fault   string // that was logged last, "" = the last answer was good
	conn    *transport.Conn
	reply   *response        // of the call that is out, nil = none
	limit   *eventloop.Timer // its deadline
	at      time.Duration    // when it was made,
	wait    time.Duration    // how long discovery may wait with its answer,
	slack   time.Duration    // and how long beyond that the answer may take to begin
	cameAt  time.Duration    // when the newest piece of the answer came, 0 = none has
	text    []byte           // the call
	reused  bool             // it went out on a connection that had carried another
	dials   int              // the newest dial; an older one that comes up late is closed
	pace    *pace            // of a watch that goes on by itself, nil = Track is called after each failure
	again   *eventloop.Timer // the next call, where it waits
	stopped bool
}

// New returns a Watcher that asks nothing before Track or Follow.
func New(l *eventloop.Loop, e *transport.Engine, lim limits.Limits, log *slog.Logger, addr string, s Listener) *Watcher {
	return &Watcher{loop: l, engine: e, lim: lim, log: log, addr: addr, whole: true, sink: s}
}

// From says that the list of that version is known: only what has changed since is asked for.
func (w *Watcher) ResumeFrom(version int64) { w.version, w.whole = version, false }

// Move goes on at another address, with the whole list first: the versions of two discoveries need not agree. What
// the old one may still say, or its closing, is no more heard.
func (w *Watcher) MoveTo(addr string) {
	if addr == w.addr {
		return
	}
	w.addr, w.whole, w.version = addr, true, 0
	w.drop()
	w.Poll()
}

// Track starts to follow the list; after a failure it has to be called again.
func (w *Watcher) Poll() {
	if w.reply == nil && !w.stopped {
		w.call()
	}
}

// Follow starts to follow the list and goes on by itself after each failure, within Limits.ListAgain: nobody has to call Track.
func (w *Watcher) FollowPushed(seed uint64) {
	w.pace = &pace{most: w.lim.Discovery.MaxRetryInterval, rng: rand.New(rand.NewPCG(seed, followStream))}
	w.Poll()
}

// followStream tells the draws of this package from others of the same seed.
const followStream = 0x6c697374

// Stop ends the watch.
func (w *Watcher) Stop() {
	w.stopped = true
	w.drop()
}

func (w *Watcher) drop() {
	w.dials++
	w.limit.Stop()
	w.again.Stop()
	w.reply = nil
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// call sends the next call, on the connection in hand or a new one.
func (w *Watcher) call() {
	w.reply = &response{header: w.lim.Discovery.HeaderBytes, most: w.lim.Discovery.ListBytes}
	path, wait := "/v1/endpoints", time.Duration(0)
	// Guards discovery, whose capacity all routers share: 0 is a version like any other. Taken for none, it made
	// the whole list be asked for again and again.
	if !w.whole {
		wait = w.lim.Discovery.WatchWait
		path = fmt.Sprintf("/v1/endpoints?index=%d&wait=%d", w.version, wait.Milliseconds())
	}
	// Guards against a cut link: a silent call must not be taken for a quiet list.
	w.limit.Stop()
	w.again.Stop()
	slack := w.lim.Discovery.CallTimeout
	if wait > 0 {
		slack = w.lim.Discovery.WatchSlack
	}
	w.at, w.wait, w.slack, w.cameAt = w.loop.Now(), wait, slack, 0
	w.limit = w.loop.AfterFunc(wait+slack, w.late)
	w.text = fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, w.addr)
	if w.conn != nil {
		w.reused = true
		if w.conn.Write(w.text) == nil {
			return
		}
		w.conn = nil
	}
	w.dial(w.text)
}

// late ends a call whose answer should have come. Danger: what discovery writes counts as told, so an answer that is on its way in, or
// has come and is not looked at yet, is not given up. It goes on while more comes, as long again at the most.
func (w *Watcher) late() {
	gap, now, end := min(w.lim.Backend.StallTimeout, w.slack/4), w.loop.Now(), w.at+w.wait+2*w.slack
	if now < end && (w.cameAt > 0 && now-w.cameAt < gap || w.conn != nil && !w.conn.Quiet()) {
		w.limit = w.loop.AfterFunc(min(gap, end-now), w.late)
		return
	}
	w.silent(errors.New("no answer in time"))
}

func (w *Watcher) dial(text []byte) {
	w.reused = false
	w.dials++
	mine := w.dials
	w.engine.Dial(w.addr, w.lim.Backend.ConnectTimeout, func(c *transport.Conn, err error) transport.Handler {
		if mine != w.dials {
			if c != nil {
				c.Close()
			}
			return &link{w, mine}
		}
		if err == nil {
			err = c.Write(text)
		}
		if err != nil {
			w.silent(err)
		} else {
			w.conn = c
			c.Exact() // an answer without a length ends with the connection, and a reset is no end
		}
		return &link{w, mine}
	})
}

// link is one connection to discovery.
type link struct {
	w    *Watcher
	mine int
}

// Data implements sock.Handler.
func (k *link) Data(p []byte) {
	w := k.w
	if k.mine != w.dials {
		return
	}
	if w.reply == nil {
		w.drop() // nothing was asked
		return
	}
	w.cameAt = w.loop.Now()
	whole, err := w.reply.feed(p)
	if err != nil {
		w.failed(err)
	} else if whole {
		w.answered()
	}
}

// Closed implements sock.Handler.
func (k *link) Closed(err error) {
	w := k.w
	if k.mine != w.dials {
		return
	}
	w.conn = nil
	switch {
	case w.reply == nil:
	case w.reply.ended() && errors.Is(err, io.EOF):
		w.answered()
	case w.reused && len(w.reply.buf) == 0 && !w.reply.inBody:
		w.dial(w.text) // discovery had closed an idle connection: that is no failure
	case w.reply.inBody, !w.whole && w.loop.Now()-w.at > w.lim.Discovery.CallTimeout:
		// A call that discovery turns away waits no longer than this: it was a watch, and the link or discovery is lost.
		w.silent(fmt.Errorf("watch ended: %v", err))
	default:
		w.failed(fmt.Errorf("connection ended: %v", err))
	}
}

func (w *Watcher) answered() {
	r := w.reply
	w.reply = nil
	w.limit.Stop()
	if r.close {
		w.drop()
	}
	var l config.List
	if r.status != 200 {
		w.failed(fmt.Errorf("status %d", r.status))
		return
	}
	if err := json.Unmarshal(r.body, &l); err != nil {
		w.spoilt(fmt.Errorf("body: %w", err))
		return
	}
	for i, e := range l.Servers {
		if _, err := e.Balance(); err != nil {
			w.spoilt(fmt.Errorf("servers[%d].%w", i, err))
			return
		}
	}
	if err := w.unfit(l); err != nil {
		w.spoilt(err)
		return
	}
	w.version, w.whole, w.older, w.bad, w.fault = l.Version, false, 0, 0, ""
	if w.pace != nil {
		w.pace.heard()
	}
	w.sink.EndpointListReceived(l)
	switch early := w.loop.Now()-w.at < w.wait/2; {
	case w.stopped, w.reply != nil:
	case early && !l.Full && len(l.Servers) == 0:
		// Guards the router's part of a core against a discovery that does not wait. The watch still goes on.
		w.again = w.loop.AfterFunc(w.lim.Discovery.WatchInterval, w.call)
	default:
		w.call() // at once: a watch goes on only if its next call comes within 200 ms
	}
}

// unfit says why a list that can be read is not believed: the last good one stays. Guards all routers at once against a
// discovery that has lost its data, or answers from a copy that is behind.
func (w *Watcher) unfit(l config.List) error {
	if l.Full && len(l.Servers) == 0 {
		return errors.New("the whole list is empty")
	}
	if l.Version >= w.version {
		return nil
	}
	// The next call asks for all of it. One that goes on to be older after that has started anew: it is believed.
	if w.older++; w.older > olderMost && l.Full {
		return nil
	}
	w.whole = true
	return errors.New("the list is older than the one that is known")
}

// olderMost is how many answers in a row may be older than the list that is known before one is believed.
const olderMost = 2

// failed ends a call that discovery has turned away.
func (w *Watcher) failed(err error) { w.ended(err, false) }

// spoilt ends a call with a list that can't be believed. What it should have said counts as told, so it is asked for again soon;
// a discovery that goes on like that is not asked by all routers at once for ever.
func (w *Watcher) spoilt(err error) {
	w.bad++
	w.ended(err, w.bad <= olderMost+1)
}

// silent ends a call of which nothing was heard. Discovery is not overloaded for all that is known, and what it had to tell
// counts as told all the same.
func (w *Watcher) silent(err error) { w.ended(err, true) }

func (w *Watcher) ended(err error, silent bool) {
	// Once for each fault: a discovery that is away is asked many times.
	if text := err.Error(); text != w.fault {
		w.fault = text
		w.log.Warn("discovery failed", "err", err)
	}
	w.drop()
	if w.stopped {
		return
	}
	if w.pace != nil {
		w.again = w.loop.AfterFunc(w.pace.failed(), w.Poll)
	}
	w.sink.PollFailed(silent)
}
