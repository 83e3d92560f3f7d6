package failover

import (
	"slices"
	"testing"
)

func endpointIDs(tracker *Tracker, group int64) (ids []string) {
	for _, endpoint := range tracker.groups[group].endpoints {
		ids = append(ids, endpoint.id)
	}
	return ids
}

func TestUpdateEndpoints(t *testing.T) {
	for name, test := range map[string]struct {
		entries  []Endpoint
		complete bool
		want     []string // in group 0
	}{
		"an endpoint is added":           {[]Endpoint{{ID: "n0-3"}}, false, []string{"n0-0", "n0-1", "n0-2", "n0-3"}},
		"a replica is removed":           {[]Endpoint{{ID: "n0-1", Removed: true}}, false, []string{"n0-0", "n0-2"}},
		"a replica is no longer listed":  {[]Endpoint{{ID: "n0-0"}, {ID: "n0-2"}}, true, []string{"n0-0", "n0-2"}},
		"an incomplete list":             {[]Endpoint{{ID: "n0-0"}}, false, []string{"n0-0", "n0-1", "n0-2"}},
		"a replica changes its group":    {[]Endpoint{{ID: "n0-1", Group: 1}}, false, []string{"n0-0", "n0-2"}},
		"the primary is removed":         {[]Endpoint{{ID: "n0-0", Removed: true}}, false, []string{"n0-0", "n0-1", "n0-2"}},
		"an unknown endpoint is removed": {[]Endpoint{{ID: "x", Removed: true}}, false, []string{"n0-0", "n0-1", "n0-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTestTracker(testConfig(), 1, 1)
			tracker.UpdateEndpoints(1, test.entries, test.complete)
			if got := endpointIDs(tracker, 0); !slices.Equal(got, test.want) {
				t.Errorf("endpoints are %v, want %v", got, test.want)
			}
		})
	}
}

// A primary that is no longer listed is kept until another one is observed. The next list after that removes it.
func TestRemovedPrimaryIsForgottenAfterItsSuccessor(t *testing.T) {
	tracker := newTestTracker(testConfig(), 1, 1)
	rest := []Endpoint{{ID: "n0-1"}, {ID: "n0-2"}}
	tracker.UpdateEndpoints(1, rest, true)
	if phase, _, primary, _ := tracker.Group(0); phase != PhaseSwitchover || primary != "n0-0" {
		t.Fatalf("phase is %v with primary %q, want the switchover phase with n0-0", phase, primary)
	}
	tracker.ObservePrimary(2, 0, "n0-1")
	tracker.UpdateEndpoints(3, rest, true)
	if got := endpointIDs(tracker, 0); !slices.Equal(got, []string{"n0-1", "n0-2"}) {
		t.Fatalf("endpoints are %v, want n0-1 and n0-2", got)
	}
}
