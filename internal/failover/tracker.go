package failover

import (
	"math/rand/v2"
	"time"
)

// randomStream separates the random numbers of this package from those of other packages that use the same seed.
const randomStream = 0xc4a

// Tracker holds the failover state of all replica groups. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	rng     *rand.Rand
	actions []Action

	groups        map[int64]*replicaGroup
	orderedGroups []*replicaGroup // sorted by ID
	endpoints     map[string]*trackedEndpoint

	pending                 pendingQueue
	releasedInFlight        int // requests that are released and not answered, over all groups
	work                    workEstimates
	averageFailoverDuration time.Duration // moving average
}

// New returns a Tracker without any replica groups.
func New(cfg Config, seed uint64) *Tracker {
	return &Tracker{
		cfg:                     cfg,
		rng:                     rand.New(rand.NewPCG(seed, randomStream)),
		groups:                  map[int64]*replicaGroup{},
		endpoints:               map[string]*trackedEndpoint{},
		pending:                 newPendingQueue(),
		work:                    newWorkEstimates(cfg.Classes),
		averageFailoverDuration: defaultFailoverDuration,
	}
}

// minTickInterval is the least time between two calls of Tick. It prevents a busy loop when the time of the next call
// has passed already.
const minTickInterval = time.Millisecond

// wakeTime determines the earliest time at which Tick has to be called again.
type wakeTime struct {
	now  time.Duration
	next time.Duration // 0 = not needed so far
}

// noLaterThan requests a call of Tick at a time, or after minTickInterval if that is later.
func (w *wakeTime) noLaterThan(at time.Duration) {
	if w.next == 0 || at < w.next {
		w.next = max(at, w.now+minTickInterval)
	}
}

// Tick does everything that is due: it suspects silent primaries, ends phases that have lasted long enough, requests
// health checks and rejects expired requests. It returns the time at which it has to be called again, 0 = not before
// another event.
func (t *Tracker) Tick(now time.Duration) (next time.Duration) {
	wake := wakeTime{now: now}
	for _, group := range t.orderedGroups {
		t.checkSilence(group, &wake)
		t.advancePhase(group, &wake)
		if group.phase.queuesWrites() {
			t.runHealthCheckRound(group, now)
			wake.noLaterThan(group.healthChecks.nextRound)
		}
		t.rejectExpired(group, now)
		if len(group.pending) > 0 {
			wake.noLaterThan(group.pending[0].latestRelease)
			if t.cfg.MaxPendingTime > 0 {
				wake.noLaterThan(group.oldestEnqueuedAt + t.cfg.MaxPendingTime)
			}
		}
	}
	return wake.next
}

// checkSilence suspects the primary of a group if it has not responded to its attempts for too long.
func (t *Tracker) checkSilence(group *replicaGroup, wake *wakeTime) {
	primary := group.primary
	if primary == nil || group.phase.queuesWrites() {
		return
	}
	deadline, waiting := primary.silence.deadline()
	switch {
	case !waiting:
	case wake.now < deadline:
		wake.noLaterThan(deadline)
	default:
		t.transition(group, PhaseSuspected, EvidenceSilence, primary.id, wake.now)
		t.sendHealthCheck(primary, wake.now)
	}
}

// advancePhase moves a group to the next phase if the current one has lasted long enough.
func (t *Tracker) advancePhase(group *replicaGroup, wake *wakeTime) {
	switch group.phase {
	case PhaseSuspected:
		t.confirmSuspicion(group, wake)
	case PhaseSwitchover:
		t.expireAnnouncement(group, wake)
	case PhaseSuccessorSeen:
		t.finishRelease(group, wake)
	case PhaseSettled:
		t.endFailover(group, wake)
	case PhaseSteady, PhasePrimaryLost: // these end only with an event
	}
}

// suspicionTime is how long a primary is suspected before it is considered lost, if nothing refutes the suspicion.
const suspicionTime = 120 * time.Millisecond

func (t *Tracker) confirmSuspicion(group *replicaGroup, wake *wakeTime) {
	if wake.now-group.phaseSince < suspicionTime {
		wake.noLaterThan(group.phaseSince + suspicionTime)
		return
	}
	t.transition(group, PhasePrimaryLost, EvidenceSilence, group.primaryID(), wake.now)
}

// expireAnnouncement ends an announced failover that did not take place in time.
func (t *Tracker) expireAnnouncement(group *replicaGroup, wake *wakeTime) {
	if !group.isAnnounced() {
		return
	}
	if wake.now < group.announcedUntil {
		wake.noLaterThan(group.announcedUntil)
		return
	}
	group.announcedUntil = 0
	if group.primary != nil && group.primary.isUsable() {
		t.startRelease(group, EvidenceAnnouncementExpired, wake.now)
		return
	}
	t.transition(group, PhasePrimaryLost, EvidenceAnnouncementExpired, group.primaryID(), wake.now)
}

// settleTime is how long a settled group has to be without evidence to become steady. It is also the time between two
// reviews of the released requests; see finishRelease.
const settleTime = time.Second

// finishRelease moves a group with an empty queue to the phase settled once no released request is in flight or a
// review is due. A review, every settleTime, stops waiting for the released requests whose end has not been reported.
func (t *Tracker) finishRelease(group *replicaGroup, wake *wakeTime) {
	reviewDue := wake.now >= group.releaseReviewAt
	queueEmpty := len(group.pending) == 0
	if queueEmpty && (reviewDue || len(group.release.inFlight) == 0) {
		t.transition(group, PhaseSettled, EvidenceQueueReleased, group.primaryID(), wake.now)
		wake.noLaterThan(wake.now + settleTime)
	} else {
		wake.noLaterThan(min(group.releaseReviewAt, wake.now+settleTime/4))
	}
	if !reviewDue {
		return
	}
	// Requests whose end is never reported would occupy the release window indefinitely.
	t.releasedInFlight -= len(group.release.inFlight)
	clear(group.release.inFlight)
	group.releaseReviewAt = wake.now + settleTime
	t.releasePending(group, wake.now)
}

func (t *Tracker) endFailover(group *replicaGroup, wake *wakeTime) {
	if wake.now-group.phaseSince < settleTime {
		wake.noLaterThan(group.phaseSince + settleTime)
		return
	}
	t.transition(group, PhaseSteady, EvidenceQuiet, group.primaryID(), wake.now)
}
