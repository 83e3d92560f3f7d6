package failover

import (
	"testing"
	"time"
)

const primary, replica, otherReplica = "n0-0", "n0-1", "n0-2" // of group 0 at the start

// phaseTests is a table of tests by name. Each one applies events to a group in the steady phase, and checks the phase
// that the group is in afterwards and the evidence of the last transition.
type phaseTests map[string]struct {
	events       func(tracker *Tracker)
	wantPhase    Phase
	wantEvidence Evidence
}

func (tests phaseTests) run(t *testing.T) {
	t.Helper()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := newTestTracker(testConfig(), 1, 1)
			test.events(tracker)
			phase, _, _, last := tracker.Group(0)
			if phase != test.wantPhase || last.Evidence != test.wantEvidence {
				t.Errorf("phase %v by evidence %v, want %v by %v", phase, last.Evidence, test.wantPhase, test.wantEvidence)
			}
		})
	}
}

func primaryUnreachable(tracker *Tracker, request string) {
	tracker.AttemptEnded(1, primary, request, EndUnreachable, RoleUnknown, 0, "", 0)
}

func primarySilent(tracker *Tracker) {
	tracker.AttemptSent(0, primary, "a")
	tracker.Tick(minSilenceTimeout)
}

func successorObserved(tracker *Tracker) {
	tracker.SuspectPrimary(1, 0, primary)
	tracker.ObservePrimary(2, 0, replica)
}

// A group leaves the steady phase on evidence against its primary, but not on evidence against a replica.
func TestFirstEvidenceAgainstPrimary(t *testing.T) {
	phaseTests{
		"one refused connection": {func(tracker *Tracker) {
			primaryUnreachable(tracker, "a")
		}, PhaseSuspected, EvidenceConnectionRefused},
		"refused connection of a replica": {func(tracker *Tracker) {
			tracker.AttemptEnded(1, replica, "a", EndUnreachable, RoleUnknown, 0, "", 0)
		}, PhaseSteady, EvidenceNone},
		"silence": {primarySilent, PhaseSuspected, EvidenceSilence},
		"silence shorter than the timeout": {func(tracker *Tracker) {
			tracker.AttemptSent(0, primary, "a")
			tracker.Tick(minSilenceTimeout - 1)
		}, PhaseSteady, EvidenceNone},
		"write rejected with 25006": {func(tracker *Tracker) {
			tracker.AttemptEnded(1, primary, "a", EndNotPrimary, RoleReplica, 0, "job", 0)
		}, PhaseSwitchover, EvidenceNotPrimary},
		"load report with the role replica": {func(tracker *Tracker) {
			tracker.HealthCheckEnded(1, primary, true, RoleReplica, 0)
		}, PhaseSwitchover, EvidenceNotPrimary},
		"failed health check in the steady phase": {func(tracker *Tracker) {
			tracker.HealthCheckEnded(1, primary, false, RoleUnknown, 0)
		}, PhaseSteady, EvidenceNone},
		"draining primary": {func(tracker *Tracker) {
			tracker.UpdateEndpoints(1, []Endpoint{{ID: primary, Draining: true}}, false)
		}, PhaseSwitchover, EvidenceDraining},
		"draining replica": {func(tracker *Tracker) {
			tracker.UpdateEndpoints(1, []Endpoint{{ID: replica, Draining: true}}, false)
		}, PhaseSteady, EvidenceNone},
		"primary not in a complete list": {func(tracker *Tracker) {
			tracker.UpdateEndpoints(1, []Endpoint{{ID: replica}, {ID: otherReplica}}, true)
		}, PhaseSwitchover, EvidenceDraining},
		"primary suspended by an operator": {func(tracker *Tracker) {
			tracker.SetSuspended(1, primary, true)
		}, PhaseSwitchover, EvidenceSuspended},
		"announced failover": {func(tracker *Tracker) {
			tracker.Announce(1, 0, time.Second)
		}, PhaseSwitchover, EvidenceAnnounced},
		"primary suspected by the decision module": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, primary)
		}, PhasePrimaryLost, EvidencePrimarySuspect},
		"another endpoint suspected by the decision module": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, otherReplica)
		}, PhaseSteady, EvidenceNone},
	}.run(t)
}

// Further evidence moves a failover from phase to phase until it ends.
func TestPhasesDuringFailover(t *testing.T) {
	phaseTests{
		"two refused connections": {func(tracker *Tracker) {
			primaryUnreachable(tracker, "a")
			primaryUnreachable(tracker, "b")
		}, PhasePrimaryLost, EvidenceConnectionRefused},
		"long silence": {func(tracker *Tracker) {
			primarySilent(tracker)
			tracker.Tick(minSilenceTimeout + suspicionTime)
		}, PhasePrimaryLost, EvidenceSilence},
		"suspected primary responds": {func(tracker *Tracker) {
			primarySilent(tracker)
			tracker.AttemptEnded(100*ms, primary, "a", EndAnswered, RolePrimary, 0, "job", 100*ms)
		}, PhaseSuccessorSeen, EvidenceAnswered},
		"failed health check of a suspected primary": {func(tracker *Tracker) {
			primaryUnreachable(tracker, "a")
			tracker.HealthCheckEnded(1, primary, false, RoleUnknown, 0)
		}, PhasePrimaryLost, EvidenceHealthCheckFailed},
		"announcement expires": {func(tracker *Tracker) {
			tracker.Announce(1, 0, time.Second)
			tracker.Tick(time.Second + 1)
		}, PhaseSuccessorSeen, EvidenceAnnouncementExpired},
		"announcement expires with the primary suspended": {func(tracker *Tracker) {
			tracker.Announce(1, 0, time.Second)
			tracker.SetSuspended(2, primary, true)
			tracker.Tick(time.Second + 1)
		}, PhasePrimaryLost, EvidenceAnnouncementExpired},
		"successor observed": {successorObserved, PhaseSuccessorSeen, EvidencePrimaryObserved},
		"old primary observed in an announced failover": {func(tracker *Tracker) {
			tracker.Announce(1, 0, time.Second)
			tracker.ObservePrimary(2, 0, primary)
		}, PhaseSwitchover, EvidenceAnnounced},
		"response of a primary that the decision module suspects": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, primary)
			tracker.HealthCheckEnded(2, primary, true, RolePrimary, 1)
		}, PhasePrimaryLost, EvidencePrimarySuspect},
		"empty queue released": {func(tracker *Tracker) {
			successorObserved(tracker)
			tracker.Tick(3)
		}, PhaseSettled, EvidenceQueueReleased},
		"quiet after a failover": {func(tracker *Tracker) {
			successorObserved(tracker)
			tracker.Tick(3)
			tracker.Tick(3 + settleTime)
		}, PhaseSteady, EvidenceQuiet},
	}.run(t)
}

// The admin API and the audit record show these texts to operators.
func TestTextsOfPhasesEvidenceAndReasons(t *testing.T) {
	for got, want := range map[string]string{
		PhaseSteady.String():                 "steady",
		PhaseSuspected.String():              "suspected",
		PhasePrimaryLost.String():            "lost",
		PhaseSwitchover.String():             "handing over",
		PhaseSuccessorSeen.String():          "successor seen",
		PhaseSettled.String():                "settled",
		EvidenceNone.String():                "none",
		EvidenceConnectionRefused.String():   "connection refused",
		EvidenceSilence.String():             "silence",
		EvidenceHealthCheckFailed.String():   "probe failed",
		EvidenceNotPrimary.String():          "says replica",
		EvidencePrimarySuspect.String():      "doubted",
		EvidenceDraining.String():            "draining",
		EvidenceSuspended.String():           "barred",
		EvidenceAnnounced.String():           "announced",
		EvidenceAnswered.String():            "answers again",
		EvidencePrimaryObserved.String():     "believed",
		EvidenceQueueReleased.String():       "all released",
		EvidenceQuiet.String():               "quiet",
		EvidenceAnnouncementExpired.String(): "time limit",
		ReasonDeadline.String():              "too late",
		ReasonQueueFull.String():             "no room",
		ReasonQueueTimeout.String():          "too long",
	} {
		if got != want {
			t.Errorf("text is %q, want %q", got, want)
		}
	}
}

func TestTransitionHistoryIsBounded(t *testing.T) {
	tracker := newTestTracker(testConfig(), 1, 1)
	for i := range maxTransitionHistory {
		now := time.Duration(i+1) * time.Second
		tracker.SuspectPrimary(now, 0, "n0-0")
		tracker.ObservePrimary(now+1, 0, "n0-0")
	}
	history := tracker.Views(time.Minute)[0].History
	if len(history) != maxTransitionHistory {
		t.Fatalf("%d transitions are kept, want maxTransitionHistory", len(history))
	}
	newest, _, _, last := tracker.Group(0)
	if history[len(history)-1] != last || last.To != newest || last.OccurredAt != maxTransitionHistory*time.Second+1 {
		t.Fatalf("the newest transition is %+v, want the last one to the phase successor seen", last)
	}
}
