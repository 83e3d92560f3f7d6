package failover

import (
	"math/rand/v2"
	"time"
)

// randomStream keeps the draws of this package apart from those of others with the same seed.
const randomStream = 0xc4a

// Tracker is the failover state of all replica groups. Only one goroutine may use it.
type Tracker struct {
	cfg     Config
	rng     *rand.Rand
	actions []Action

	groups        map[int64]*replicaGroup
	orderedGroups []*replicaGroup // by their numbers
	endpoints     map[string]*trackedEndpoint

	pending               pendingQueue
	releasedInFlight      int // released and not answered, over all groups
	work                  workEstimates
	usualFailoverDuration time.Duration
}

// New returns a Tracker that knows no group.
func New(cfg Config, seed uint64) *Tracker {
	return &Tracker{
		cfg:                   cfg,
		rng:                   rand.New(rand.NewPCG(seed, randomStream)),
		groups:                map[int64]*replicaGroup{},
		endpoints:             map[string]*trackedEndpoint{},
		pending:               newPendingQueue(),
		work:                  newWorkEstimates(cfg.Classes),
		usualFailoverDuration: defaultFailoverDuration,
	}
}

// minTickInterval keeps a moment that has passed already from calling for the next Tick at once.
const minTickInterval = time.Millisecond

// wakeTime collects the earliest moment at which Tick has something to do.
type wakeTime struct {
	now  time.Duration
	next time.Duration // 0 = none yet
}

// by asks for a Tick at a moment, or soon where that has passed.
func (w *wakeTime) by(at time.Duration) {
	if w.next == 0 || at < w.next {
		w.next = max(at, w.now+minTickInterval)
	}
}

// Tick does what is due: it judges the primaries' silence, moves phases on, requests health checks and rejects
// expired requests. It returns when it wants to be called next, 0 = not before another event.
func (t *Tracker) Tick(now time.Duration) (next time.Duration) {
	wake := wakeTime{now: now}
	for _, group := range t.orderedGroups {
		t.checkSilence(group, &wake)
		t.advancePhase(group, &wake)
		if group.phase.queuesWrites() {
			t.runHealthCheckRound(group, now)
			wake.by(group.healthChecks.nextRound)
		}
		t.rejectExpired(group, now)
		if len(group.pending) > 0 {
			wake.by(group.pending[0].latestRelease)
			if t.cfg.MaxPendingTime > 0 {
				wake.by(group.oldestPending + t.cfg.MaxPendingTime)
			}
		}
	}
	return wake.next
}

// checkSilence suspects a primary that has not answered its attempts for too long.
func (t *Tracker) checkSilence(group *replicaGroup, wake *wakeTime) {
	primary := group.primary
	if primary == nil || group.phase.queuesWrites() {
		return
	}
	deadline, waiting := primary.silence.deadline()
	switch {
	case !waiting:
	case wake.now < deadline:
		wake.by(deadline)
	default:
		t.transition(group, PhaseSuspected, EvidenceSilence, primary.id, wake.now)
		t.sendHealthCheck(primary, wake.now)
	}
}

// advancePhase moves a group on whose phase has lasted long enough.
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
	case PhaseSteady, PhasePrimaryLost: // left by events only
	}
}

// suspicionTime is how long a primary may be suspected: a suspicion that nothing refutes by then becomes a loss.
const suspicionTime = 120 * time.Millisecond

func (t *Tracker) confirmSuspicion(group *replicaGroup, wake *wakeTime) {
	if wake.now-group.phaseSince < suspicionTime {
		wake.by(group.phaseSince + suspicionTime)
		return
	}
	t.transition(group, PhasePrimaryLost, EvidenceSilence, group.primaryID(), wake.now)
}

// expireAnnouncement ends an announced failover that has not come by its time.
func (t *Tracker) expireAnnouncement(group *replicaGroup, wake *wakeTime) {
	if !group.isAnnounced() {
		return
	}
	if wake.now < group.announcedUntil {
		wake.by(group.announcedUntil)
		return
	}
	group.announcedUntil = 0
	if group.primary != nil && group.primary.isUsable() {
		t.startRelease(group, EvidenceAnnouncementExpired, wake.now)
		return
	}
	t.transition(group, PhasePrimaryLost, EvidenceAnnouncementExpired, group.primaryID(), wake.now)
}

// settleTime is how long a settled group has to be quiet to be steady, and how long released requests are waited for.
const settleTime = time.Second

// finishRelease settles a group whose queue is empty, and keeps lost answers from stopping a release.
func (t *Tracker) finishRelease(group *replicaGroup, wake *wakeTime) {
	reviewDue := wake.now >= group.releaseReviewAt
	queueEmpty := len(group.pending) == 0
	if queueEmpty && (reviewDue || len(group.release.inFlight) == 0) {
		t.transition(group, PhaseSettled, EvidenceQueueReleased, group.primaryID(), wake.now)
		wake.by(wake.now + settleTime)
	} else {
		wake.by(min(group.releaseReviewAt, wake.now+settleTime/4))
	}
	if !reviewDue {
		return
	}
	// Requests whose end was never reported would fill the release window for ever.
	t.releasedInFlight -= len(group.release.inFlight)
	clear(group.release.inFlight)
	group.releaseReviewAt = wake.now + settleTime
	t.releasePending(group, wake.now)
}

func (t *Tracker) endFailover(group *replicaGroup, wake *wakeTime) {
	if wake.now-group.phaseSince < settleTime {
		wake.by(group.phaseSince + settleTime)
		return
	}
	t.transition(group, PhaseSteady, EvidenceQuiet, group.primaryID(), wake.now)
}
