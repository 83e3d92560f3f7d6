package failover

import (
	"testing"
	"time"
)

// A restored term is continued. The restored primary gets the first health check, but doesn't count as the primary
// before it is observed.
func TestRestoreTerm(t *testing.T) {
	tracker := New(testConfig(), 1)
	tracker.UpdateEndpoints(0, []Endpoint{{ID: "a", Group: 1}, {ID: "b", Group: 1}}, true)
	tracker.RestoreTerm(1, 41, "b")
	if _, term, primary, _ := tracker.Group(1); term != 41 || primary != "" {
		t.Fatalf("term %d with primary %q after the restore, want 41 without a primary", term, primary)
	}
	if candidates := tracker.groups[1].healthCheckCandidates(); candidates[0].id != "b" {
		t.Fatalf("%s is checked first, want b", candidates[0].id)
	}
	tracker.ObservePrimary(1, 1, "a")
	tracker.RestoreTerm(1, 7, "b")
	tracker.RestoreTerm(1, 42, "a")
	if _, term, primary, _ := tracker.Group(1); term != 42 || primary != "a" {
		t.Fatalf("term %d with primary %q after a late restore, want 42 with a", term, primary)
	}
}

func TestTermCountsPrimaries(t *testing.T) {
	tracker := newTestTracker(testConfig(), 1, 1)
	for _, step := range []struct {
		primary string
		want    uint64
	}{{"n0-0", 1}, {"n0-1", 2}, {"n0-1", 2}, {"n0-0", 3}} {
		tracker.ObservePrimary(1, 0, step.primary)
		if _, term, primary, _ := tracker.Group(0); term != step.want || primary != step.primary {
			t.Errorf("term %d with primary %s, want %d with %s", term, primary, step.want, step.primary)
		}
	}
}

func TestAnnounceUnknownGroup(t *testing.T) {
	tracker := New(testConfig(), 1)
	if tracker.Announce(0, 7, time.Second) {
		t.Error("Announce of an unknown group returned true, want false")
	}
	if phase, term, primary, _ := tracker.Group(7); phase != PhaseSteady || term != 0 || primary != "" {
		t.Errorf("unknown group has phase %v, term %d, primary %q, want a steady one without a primary", phase, term, primary)
	}
}
