package sitefailover

import (
	"testing"
	"time"
)

// newFlappedRamp returns a RecoveryRamp in which site s recovers after the given number of flaps.
func newFlappedRamp(now time.Duration, flaps int) *RecoveryRamp {
	ramp := NewRecoveryRamp(RecoveryRampConfig{InitialShare: 0.2, Duration: 8 * time.Second})
	ramp.SiteStateChanged(now, "s", SiteLost, flaps)
	ramp.SiteStateChanged(now, "s", SiteRecovering, flaps)
	return ramp
}

// maxTestSteps is the number of steps after which runRamp gives up.
const maxTestSteps = 400

// runRamp takes site s through its ramp, and returns the number of steps and the smallest share.
func runRamp(t *testing.T, flaps int, fails func(step int) bool) (steps int, leastShare float64) {
	t.Helper()
	now := time.Second
	ramp := newFlappedRamp(now, flaps)
	leastShare = 1
	for steps = range maxTestSteps {
		for range 10 {
			ramp.RecordOutcome("s", fails(steps))
			ramp.RecordOutcome("elsewhere", true)
		}
		changes, due := ramp.Update(now)
		for _, change := range changes {
			leastShare = min(leastShare, change.Share)
			if change.Share == 1 {
				return steps, leastShare
			}
		}
		if due <= now {
			t.Fatalf("the next update is due at %v, want it after now, %v", due, now)
		}
		now = due
	}
	return maxTestSteps, leastShare
}

// There is no ramp for a site that has not flapped. After a flap there is one, which is slower with more flaps and
// after a relapse, and ends with a share of 1. An operator's limit applies independently of the ramp until it expires.
func TestRecoveryRamp(t *testing.T) {
	now := time.Second
	ramp := newFlappedRamp(now, 0)
	if changes, due := ramp.Update(now); len(changes) > 0 || due > 0 {
		t.Fatalf("changes are %v, due is %v without a flap, want none", changes, due)
	}
	never := func(int) bool { return false }
	always := func(int) bool { return true }
	onceSteps, onceShare := runRamp(t, 1, never)
	twiceSteps, twiceShare := runRamp(t, 2, never)
	relapseSteps, relapseShare := runRamp(t, 1, func(step int) bool { return step == 4 })
	if onceSteps < 6 {
		t.Errorf("after one flap the ramp took %d steps, want at least 6", onceSteps)
	}
	if twiceSteps < onceSteps || twiceShare >= onceShare {
		t.Errorf("%d steps from a share of %.2f after two flaps, want at least the %d after one, from less than %.2f",
			twiceSteps, twiceShare, onceSteps, onceShare)
	}
	if relapseSteps <= onceSteps || relapseShare > onceShare {
		t.Errorf("%d steps from a share of %.2f with a relapse, want more than the %d without, from at most %.2f",
			relapseSteps, relapseShare, onceSteps, onceShare)
	}
	if steps, _ := runRamp(t, 1, always); steps < maxTestSteps {
		t.Errorf("the ramp ended after %d steps though all outcomes are failures", steps)
	}
	expectLimitExpires(t, ramp, now)
}

// expectLimitExpires sets an operator's limit on a site without a ramp, and checks that it takes effect and expires.
func expectLimitExpires(t *testing.T, ramp *RecoveryRamp, now time.Duration) {
	t.Helper()
	until := now + 3*time.Second
	ramp.SetLimit(RampLimit{Site: "s", Share: 0, Until: until})
	changes, due := ramp.Update(now)
	if len(changes) != 1 || changes[0].Share != 0 || due != until || len(ramp.Ramps()) != 1 {
		t.Errorf("with a limit of 0: changes %v, due %v, ramps %v; want a share of 0, due at the end of the limit",
			changes, due, ramp.Ramps())
	}
	changes, due = ramp.Update(due)
	if len(changes) != 1 || changes[0].Share != 1 || due != 0 || len(ramp.Ramps()) != 0 {
		t.Errorf("after the limit: changes %v, due %v, ramps %v; want a share of 1, nothing due and no ramps",
			changes, due, ramp.Ramps())
	}
}

// A step with too many failures halves the share and pauses the ramp.
func TestRelapseHalvesTheShare(t *testing.T) {
	now := time.Second
	ramp := newFlappedRamp(now, 1)
	changes, due := ramp.Update(now)
	if len(changes) != 1 {
		t.Fatalf("changes are %v at the start of the ramp, want one", changes)
	}
	before := changes[0].Share
	stepInterval := due - now
	for range relapseMinOutcomes {
		ramp.RecordOutcome("s", true)
	}
	now = due
	changes, due = ramp.Update(now)
	if len(changes) != 1 || changes[0].Share != before/2 || changes[0].Reason != reasonRelapse {
		t.Errorf("share was %v, changes at the relapse are %v, want one to half of it", before, changes)
	}
	if due != now+relapsePauseSteps*stepInterval {
		t.Errorf("the next step is due after %v, want %v", due-now, relapsePauseSteps*stepInterval)
	}
}
