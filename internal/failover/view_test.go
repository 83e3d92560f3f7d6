package failover

import (
	"reflect"
	"testing"
	"time"
)

func TestViews(t *testing.T) {
	tracker := newTestTracker(testConfig(), 1, 2)
	tracker.SuspectPrimary(time.Second, 1, "n1-0")
	tracker.Enqueue(time.Second, Request{ID: "late", Group: 1, Class: "job", Deadline: time.Second})
	tracker.Enqueue(2*time.Second, Request{ID: "a", Group: 1, Class: "job", Deadline: time.Minute})
	tracker.Enqueue(3*time.Second, Request{ID: "b", Group: 1, Class: "job", Deadline: time.Minute})

	views := tracker.Views(5 * time.Second)
	if len(views) != 2 || views[0].Group != 0 || views[0].Phase != PhaseSteady || views[0].OldestPending != 0 {
		t.Fatalf("views are %+v, want two, with group 0 steady and nothing pending", views)
	}
	want := GroupView{
		Group:         1,
		Phase:         PhasePrimaryLost,
		Term:          1,
		Primary:       "n1-0",
		Since:         4 * time.Second,
		Pending:       2,
		OldestPending: 3 * time.Second,
		Rejected:      map[string]uint64{"too late": 1, "no room": 0, "too long": 0},
		History: []Transition{{
			OccurredAt: time.Second, From: PhaseSteady, To: PhasePrimaryLost,
			Evidence: EvidencePrimarySuspect, Endpoint: "n1-0", Term: 1,
		}},
	}
	if !reflect.DeepEqual(views[1], want) {
		t.Fatalf("view is %+v, want %+v", views[1], want)
	}
	tracker.ObservePrimary(6*time.Second, 1, "n1-1")
	view := tracker.Views(6 * time.Second)[1]
	if view.ReleasedInFlight != 2 || view.Released != 2 || view.Pending != 0 {
		t.Fatalf("view is %+v after the release, want 2 released, 2 in flight and 0 pending", view)
	}
}
