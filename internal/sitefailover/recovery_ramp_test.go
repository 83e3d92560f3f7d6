package sitefailover

import (
	"testing"
	"time"
)

// newFlappedRamp returns a RecoveryRamp whose site s recovers after so many flaps.
func newFlappedRamp(now time.Duration, flaps int) *RecoveryRamp {
	ramp := NewRecoveryRamp(RecoveryRampConfig{InitialShare: 0.2, Duration: 8 * time.Second})
	ramp.SiteStateChanged(now, "s", SiteLost, flaps)
	ramp.SiteStateChanged(now, "s", SiteRecovering, flaps)
	return ramp
}

// maxTestSteps is the number of steps after which playRamp gives up.
const maxTestSteps = 400

// playRamp takes site s through its ramp, and returns the number of steps and the least share on the way.
func playRamp(t *testing.T, flaps int, fails func(step int) bool) (steps int, leastShare float64) {
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
			t.Fatalf("the next update is due at %v, now is %v", due, now)
		}
		now = due
	}
	return maxTestSteps, leastShare
}

// A first recovery is not paced; one that has flapped is, the slower the more often, is taken back at a relapse, and
// reaches all of the site in the end. An operator's limit holds beside that, and ends by itself.
func TestRecoveryRamp(t *testing.T) {
	now := time.Second
	ramp := newFlappedRamp(now, 0)
	if changes, due := ramp.Update(now); len(changes) > 0 || due > 0 {
		t.Fatalf("a first recovery is paced: %v, due %v", changes, due)
	}
	never := func(int) bool { return false }
	always := func(int) bool { return true }
	onceSteps, onceShare := playRamp(t, 1, never)
	twiceSteps, twiceShare := playRamp(t, 2, never)
	relapseSteps, relapseShare := playRamp(t, 1, func(step int) bool { return step == 4 })
	if onceSteps < 6 {
		t.Errorf("after one flap the ramp took %d steps, want at least 6", onceSteps)
	}
	if twiceSteps < onceSteps || twiceShare >= onceShare {
		t.Errorf("after two flaps %d steps from %.2f, after one %d steps from %.2f",
			twiceSteps, twiceShare, onceSteps, onceShare)
	}
	if relapseSteps <= onceSteps || relapseShare > onceShare {
		t.Errorf("with a relapse %d steps from %.2f, without %d steps from %.2f",
			relapseSteps, relapseShare, onceSteps, onceShare)
	}
	if steps, _ := playRamp(t, 1, always); steps < maxTestSteps {
		t.Errorf("the site is back after %d steps though all fails", steps)
	}
	expectLimitThatEnds(t, ramp, now)
}

// expectLimitThatEnds sets an operator's limit on a site that is not paced otherwise.
func expectLimitThatEnds(t *testing.T, ramp *RecoveryRamp, now time.Duration) {
	t.Helper()
	until := now + 3*time.Second
	ramp.SetLimit(RampLimit{Site: "s", Share: 0, Until: until})
	changes, due := ramp.Update(now)
	if len(changes) != 1 || changes[0].Share != 0 || due != until || len(ramp.Ramps()) != 1 {
		t.Errorf("with a limit: %v, due %v, %v", changes, due, ramp.Ramps())
	}
	changes, due = ramp.Update(due)
	if len(changes) != 1 || changes[0].Share != 1 || due != 0 || len(ramp.Ramps()) != 0 {
		t.Errorf("behind the limit: %v, due %v, %v", changes, due, ramp.Ramps())
	}
}

// A step in which too much fails halves the share and pauses the ramp.
func TestRelapseHalvesTheShare(t *testing.T) {
	now := time.Second
	ramp := newFlappedRamp(now, 1)
	changes, due := ramp.Update(now)
	if len(changes) != 1 {
		t.Fatalf("the ramp begins with %v", changes)
	}
	before := changes[0].Share
	stepInterval := due - now
	for range relapseMinOutcomes {
		ramp.RecordOutcome("s", true)
	}
	now = due
	changes, due = ramp.Update(now)
	if len(changes) != 1 || changes[0].Share != before/2 || changes[0].Reason != reasonRelapse {
		t.Errorf("from %v to %v at a relapse", before, changes)
	}
	if due != now+relapsePauseSteps*stepInterval {
		t.Errorf("the next step is due after %v, want %v", due-now, relapsePauseSteps*stepInterval)
	}
}
