package failover

import "time"

// Phase is the stage of a replica group's failover.
type Phase uint8

// The phases.
const (
	PhaseSteady        Phase = iota // no failover
	PhaseSuspected                  // the primary is silent or refuses connections
	PhasePrimaryLost                // the primary is considered lost
	PhaseSwitchover                 // the primary is giving up its role, or is about to
	PhaseSuccessorSeen              // a primary is known; queued requests are released to it
	PhaseSettled                    // the queue is empty; the group becomes steady next
)

// String returns the phase as operators see it.
func (p Phase) String() string {
	return []string{"steady", "suspected", "lost", "handing over", "successor seen", "settled"}[p]
}

// queuesWrites reports whether new writes are queued in the phase because no usable primary is known.
func (p Phase) queuesWrites() bool {
	switch p {
	case PhaseSuspected, PhasePrimaryLost, PhaseSwitchover:
		return true
	default:
		return false
	}
}

// Evidence is the reason for a replica group's transition from one phase to another.
type Evidence uint8

// The kinds of evidence.
const (
	EvidenceNone                Evidence = iota
	EvidenceConnectionRefused            // a connection to the primary was refused or broke
	EvidenceSilence                      // the primary was silent for longer than its responses usually take
	EvidenceHealthCheckFailed            // the suspected primary didn't answer a health check either
	EvidenceNotPrimary                   // the primary rejected a write (SQLSTATE 25006), or reported that it is a replica
	EvidencePrimarySuspect               // the decision module suspects the primary
	EvidenceDraining                     // the primary is draining according to the endpoint list, or no longer listed
	EvidenceSuspended                    // an operator suspended the primary
	EvidenceAnnounced                    // an operator announced a failover
	EvidenceAnswered                     // the suspected primary responded after all
	EvidencePrimaryObserved              // the decision module confirmed a primary
	EvidenceQueueReleased                // the queue is empty again
	EvidenceQuiet                        // no evidence against the primary for settleTime
	EvidenceAnnouncementExpired          // an announced failover has expired
)

// String returns the evidence as operators see it.
func (e Evidence) String() string {
	return []string{
		"none", "connection refused", "silence", "probe failed", "says replica", "doubted", "draining", "barred",
		"announced", "answers again", "believed", "all released", "quiet", "time limit",
	}[e]
}

// Transition is a replica group's transition from one phase to another.
type Transition struct {
	OccurredAt time.Duration
	From       Phase
	To         Phase
	Evidence   Evidence
	Endpoint   string // the endpoint that the evidence is about, "" = none
	Term       uint64 // the term of the group at the time of the transition
}

// maxTransitionHistory is the number of transitions of each group that are kept for operators.
const maxTransitionHistory = 16

// transition moves a group to another phase. It does nothing if the group is in that phase already.
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

// startQueueing prepares a group for a phase in which its writes are queued. The group's phase is still the old one.
func (t *Tracker) startQueueing(group *replicaGroup, now time.Duration) {
	if group.phase == PhaseSteady || group.phase == PhaseSettled {
		group.failoverSince = now // otherwise the release of the last failover has not finished, and that failover continues
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
