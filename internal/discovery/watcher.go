package discovery

import (
	"log/slog"
	"math/rand/v2"

	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/transport"
)

// Listener receives the lists and the failures of a Watcher.
type Listener interface {
	// EndpointListReceived is called with each valid list: a full one, or the changes since the previous one.
	EndpointListReceived(list config.EndpointList)

	// PollFailed is called when a call has ended without a valid list. unanswered is false if discovery rejected the
	// call, and true if its response was missing, incomplete or unusable. It is also false once more than a few
	// consecutive responses were unusable.
	PollFailed(unanswered bool)
}

// Watcher follows the endpoint list of one discovery service. It has at most one call in flight.
type Watcher struct {
	loop     *eventloop.Loop
	engine   *transport.Engine
	limits   limits.Limits
	log      *slog.Logger
	address  string
	listener Listener
	stopped  bool

	version     int64 // of the newest list
	snapshotDue bool  // the next call requests the full list
	answered    bool  // the current address has sent a valid list

	call       call
	connection *transport.Conn    // nil = none is open
	handler    *connectionHandler // of the newest dial
	dialNumber int                // of the newest dial; the result of an older one is ignored

	previous *Watcher // watches the previous address until this Watcher has received a list, nil = none

	nextCall        *eventloop.Timer // starts the next call after a delay
	retry           *retryBackoff    // nil = the owner calls Poll after each failure
	outdatedAnswers int              // consecutive responses older than the newest list
	invalidAnswers  int              // consecutive responses that could not be used, for any reason
	lastLoggedError string           // "" = the last response was used
}

// New returns a Watcher that makes no call before Poll or FollowPushed is called.
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

// ResumeFrom sets the version of the list that the caller already has: the first call requests only later changes.
func (w *Watcher) ResumeFrom(version int64) {
	w.version = version
	w.snapshotDue = false
}

// MoveTo switches to another address. By default it requests the full list there, and ignores any later response from
// the old address.
//
// With limits.Discovery.ResumeFromKnown it resumes from the version that it has, and keeps the old watch until the new
// address responds. This is for large fleets: all routers move at once, and each would need two scheduled calls to
// discovery, one for the list and one for the watch, and would miss endpoints that begin to drain while it waits.
func (w *Watcher) MoveTo(address string) {
	if address == w.address {
		return
	}
	if w.limits.Discovery.ResumeFromKnown {
		w.keepPreviousWatch()
	}
	w.address = address
	w.answered = false
	w.outdatedAnswers = maxOutdatedAnswers // the versions of another discovery may begin anew
	if !w.limits.Discovery.ResumeFromKnown {
		w.snapshotDue = true
		w.version = 0
	}
	w.abandonCall()
	w.Poll()
}

// Poll makes a call unless one is in flight, and follows the list from then on. The owner must call it again after each
// failure, except after FollowPushed.
func (w *Watcher) Poll() {
	if !w.call.inFlight() && !w.stopped {
		w.sendCall()
	}
}

// FollowPushed follows the list and retries after each failure, within limits.Discovery.MaxRetryInterval, without
// further calls of Poll. seed seeds the jitter of the delays.
func (w *Watcher) FollowPushed(seed uint64) {
	w.retry = &retryBackoff{
		maxInterval: w.limits.Discovery.MaxRetryInterval,
		rng:         rand.New(rand.NewPCG(seed, retryRandomStream)),
	}
	w.Poll()
}

// Stop ends the watch for good.
func (w *Watcher) Stop() {
	w.stopped = true
	w.stopPrevious()
	w.abandonCall()
}
