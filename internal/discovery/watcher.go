package discovery

import (
	"log/slog"
	"math/rand/v2"

	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/transport"
)

// Listener is told what discovery says.
type Listener interface {
	// EndpointListReceived passes a list on, in full or as a change of the one before.
	EndpointListReceived(list config.EndpointList)

	// PollFailed says that a call has ended without a list. It is unanswered if discovery has not rejected it:
	// nothing was heard of it, or nothing that can be used.
	PollFailed(unanswered bool)
}

// Watcher follows the endpoint list of one discovery service. It keeps one call out at a time.
type Watcher struct {
	loop     *eventloop.Loop
	engine   *transport.Engine
	limits   limits.Limits
	log      *slog.Logger
	address  string
	listener Listener
	stopped  bool

	version     int64 // of the newest list
	snapshotDue bool  // the next call asks for the full list

	call       call
	connection *transport.Conn    // nil = none is open
	handler    *connectionHandler // of the newest dial
	dialNumber int                // of the newest dial; what comes of an older one is ignored

	previous *Watcher // goes on at the address before until this one has a list, nil = none does

	nextCall        *eventloop.Timer // where the next call waits
	retry           *retryBackoff    // nil = Poll is called after each failure
	olderAnswers    int              // in a row, that were older than the newest list
	invalidAnswers  int              // in a row, that could not be used for any reason
	lastLoggedError string           // "" = the last answer was used
}

// New returns a Watcher that makes no call before Poll or FollowPushed.
func New(loop *eventloop.Loop, engine *transport.Engine, lim limits.Limits, log *slog.Logger, address string,
	listener Listener,
) *Watcher {
	return &Watcher{
		loop:        loop,
		engine:      engine,
		limits:      lim,
		log:         log,
		address:     address,
		listener:    listener,
		snapshotDue: true,
	}
}

// ResumeFrom says that the list of that version is known: only what has changed since is asked for.
func (w *Watcher) ResumeFrom(version int64) {
	w.version = version
	w.snapshotDue = false
}

// MoveTo goes on at another address. The full list is asked for first, and what the old address may still answer is
// ignored, but in a fleet that starts from the lists that it knows: there all routers move at once, and each would take
// two turns at discovery, for the list and for the watch behind it, and wait for them while endpoints begin to drain.
// Such a router goes on from the version that it has, and keeps the old watch until the new address answers.
func (w *Watcher) MoveTo(address string) {
	if address == w.address {
		return
	}
	if w.limits.Discovery.ResumeFromKnown {
		w.keepWatch()
	}
	w.address = address
	if !w.limits.Discovery.ResumeFromKnown {
		w.snapshotDue = true
		w.version = 0
	}
	w.abandonCall()
	w.Poll()
}

// Poll makes a call unless one is out, and follows the list from then on. It has to be called again after a failure.
func (w *Watcher) Poll() {
	if !w.call.isOut() && !w.stopped {
		w.sendCall()
	}
}

// FollowPushed follows the list and retries by itself after each failure, within limits.Discovery.MaxRetryInterval:
// Poll need not be called.
func (w *Watcher) FollowPushed(seed uint64) {
	w.retry = &retryBackoff{
		maxInterval: w.limits.Discovery.MaxRetryInterval,
		rng:         rand.New(rand.NewPCG(seed, retryRandomStream)),
	}
	w.Poll()
}

// Stop ends the watch.
func (w *Watcher) Stop() {
	w.stopped = true
	w.stopPrevious()
	w.abandonCall()
}
