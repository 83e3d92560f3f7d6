package failover

import "time"

// Phase is the stage of a replica group's failover.
type Phase uint8

// The phases.
const (
	PhaseSteady        Phase = iota // no failover
	PhaseSuspected                  // the primary is silent or refuses connections
	PhasePrimaryLost                // the primary is taken for lost
	PhaseSwitchover                 // the primary gives up its role, or is about to
	PhaseSuccessorSeen              // a primary is known, queued requests are released to it
	PhaseSettled                    // the queue is empty
)

// String returns the phase as operators see it.
func (p Phase) String() string {
	return []string{"steady", "suspected", "lost", "handing over", "successor seen", "settled"}[p]
}

// queuesWrites says whether new writes are queued in the phase: no usable primary is known.
func (p Phase) queuesWrites() bool {
	switch p {
	case PhaseSuspected, PhasePrimaryLost, PhaseSwitchover:
		return true
	default:
		return false
	}
}

// Evidence is what takes a replica group from one phase to another.
type Evidence uint8

// The kinds of evidence.
const (
	EvidenceNone                Evidence = iota
	EvidenceConnectionRefused            // a connection to the primary was refused or broke
	EvidenceSilence                      // the primary was silent for longer than its usual answers take
	EvidenceHealthCheckFailed            // the suspected primary didn't answer a health check either
	EvidenceNotPrimary                   // the primary rejected a write (SQLSTATE 25006), or reported to be a replica
	EvidencePrimarySuspect               // the decision module suspects the primary
	EvidenceDraining                     // the endpoint list says that the primary drains, or names it no more
	EvidenceSuspended                    // an operator suspended the primary
	EvidenceAnnounced                    // an operator announced a failover
	EvidenceAnswered                     // the suspected primary answered after all
	EvidencePrimaryObserved              // the decision module confirmed a primary
	EvidenceQueueReleased                // the queue is empty again
	EvidenceQuiet                        // no evidence against the primary for a while
	EvidenceAnnouncementExpired          // the time of an announced failover has passed
)

// String returns the evidence as operators see it.
func (e Evidence) String() string {
	return []string{
		"none", "connection refused", "silence", "probe failed", "says replica", "doubted", "draining", "barred",
		"announced", "answers again", "believed", "all released", "quiet", "time limit",
	}[e]
}

// Transition is a step in the history of a replica group.
type Transition struct {
	OccurredAt time.Duration
	From       Phase
	To         Phase
	Evidence   Evidence
	Endpoint   string // that the evidence is about, "" = none
	Term       uint64
}

// maxTransitionHistory is the number of transitions that are kept of each group for operators.
const maxTransitionHistory = 16

// transition takes a group to another phase.
func (t *Tracker) transition(group *replicaGroup, to Phase, evidence Evidence, endpoint string, now time.Duration) {
	from := group.phase
	if from == to {
		return
	}
	if to.queuesWrites() && !from.queuesWrites() {
		t.startQueueing(group, now)
	}
	group.phase = to
	group.phaseSince = now
	group.recordTransition(Transition{
		OccurredAt: now, From: from, To: to, Evidence: evidence, Endpoint: endpoint, Term: group.term,
	})
	t.emit(Action{Kind: ActionPhaseChanged, Group: group.id})
}

// startQueueing prepares a group whose writes are queued from now on.
func (t *Tracker) startQueueing(group *replicaGroup, now time.Duration) {
	if group.phase == PhaseSteady || group.phase == PhaseSettled {
		group.failoverSince = now // otherwise the failover before is still being finished, and goes on
	}
	group.healthChecks.start(now + t.firstRoundDelay())
	t.emit(Action{Kind: ActionWithdraw, Group: group.id})
}

func (g *replicaGroup) recordTransition(step Transition) {
	if len(g.history) == maxTransitionHistory {
		g.history = append(g.history[:0], g.history[1:]...)
	}
	g.history = append(g.history, step)
}
