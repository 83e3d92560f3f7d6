package sitefailover

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// A site that is lost is suspected at once, lost once it lasts, and comes back by way of recovering and settled.
func TestSiteIsLostAndRecovers(t *testing.T) {
	for _, failure := range []Failure{FailureRefused, FailureReset, FailureTimeout} {
		t.Run(failure.String(), func(t *testing.T) {
			w := newWorld(t, "n", 4, "n", "s", "w")
			w.run(3 * time.Second)
			w.lose("s", failure)
			w.run(200 * ms)
			w.expect("s", SiteSuspected, FaultSiteLost)
			w.run(600 * ms)
			w.expect("s", SiteLost, FaultSiteLost)
			w.expect("w", SiteHealthy, FaultUnclear)
			evidence := w.changes[len(w.changes)-1].Evidence
			for _, want := range []string{"4 of 4 known machines down (4 ", "0 of 8 elsewhere"} {
				if !strings.Contains(evidence, want) {
					t.Errorf("%q is missing in %q", want, evidence)
				}
			}
			w.run(20 * time.Second)
			w.restore("s")
			w.run(200 * ms)
			w.expect("s", SiteRecovering, FaultSiteLost)
			w.run(5 * time.Second)
			w.expect("s", SiteSettled, FaultSiteLost)
			w.run(5 * time.Second)
			w.expect("s", SiteHealthy, FaultUnclear)
			if len(w.changes) != 5 {
				t.Errorf("%v", w.changes)
			}
		})
	}
}

// failOneGroup lets the endpoints of group 0 fail in all sites.
func failOneGroup(w *world) {
	for _, id := range w.ids {
		if strings.HasSuffix(id, "0") {
			w.failing[id] = FailureTimeout
		}
	}
}

// failGroupThatFillsSite lets one group fail that has most of a site's endpoints.
func failGroupThatFillsSite(w *world) {
	for i := range 4 {
		id := fmt.Sprint("s-more-", i, "-0")
		w.ids = append(w.ids, id)
		w.site[id] = "s"
		w.list(id, "s", 0, EndpointReady)
	}
	w.run(3 * time.Second)
	failOneGroup(w)
}

// failAllOfOneSiteAndHalfElsewhere lets a fault that all sites share hit one of them hardest.
func failAllOfOneSiteAndHalfElsewhere(w *world) {
	w.lose("s", FailureTimeout)
	for _, id := range []string{"n0", "n1", "w2", "w3"} {
		w.failing[id] = FailureTimeout
	}
}

// failEverySecond lets every second endpoint fail, wherever it stands.
func failEverySecond(w *world) {
	for i, id := range w.ids {
		if i%2 == 0 {
			w.failing[id] = FailureTimeout
		}
	}
}

// deployMostOfSite drains most of a site, as a deploy does.
func deployMostOfSite(w *world) {
	for _, id := range []string{"s0", "s1", "s2"} {
		w.list(id, "s", 0, EndpointDraining)
		w.failing[id] = FailureRefused
	}
	w.list("s0", "s", 0, EndpointRemoved)
}

// resetEachOnce breaks one connection to each endpoint of a site.
func resetEachOnce(w *world) {
	for _, id := range w.ids {
		if w.site[id] == "s" {
			w.step(ms, AttemptFailed{Endpoint: id, Failure: FailureReset})
		}
	}
}

func failTwoOfFour(w *world) {
	w.failing["s1"] = FailureRefused
	w.failing["s2"] = FailureTimeout
}

// What is no loss of a site is not taken for one.
func TestWhatIsNoLoss(t *testing.T) {
	for name, happen := range map[string]func(w *world){
		"a fault of one group":                 failOneGroup,
		"a fault of the group that fills it":   failGroupThatFillsSite,
		"a slowdown that all sites share":      failEverySecond,
		"a shared fault that hits it hardest":  failAllOfOneSiteAndHalfElsewhere,
		"a deploy that takes out half a site":  deployMostOfSite,
		"two of four endpoints":                failTwoOfFour,
		"one reset of each connection":         resetEachOnce,
		"a list and endpoints that are silent": func(w *world) { w.ids = nil },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "n", 4, "n", "s", "w")
			w.run(3 * time.Second)
			happen(w)
			w.run(10 * time.Second)
			for _, change := range w.changes {
				if change.NewState == SiteLost {
					t.Fatalf("%+v", change)
				}
			}
			for _, view := range w.monitor.Views() {
				if view.State != SiteHealthy {
					t.Errorf("%s stays %v", view.Site, view.State)
				}
			}
		})
	}
}

// A suspicion that nothing more speaks for ends by itself.
func TestSuspicionEnds(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.lose("s", FailureTimeout)
	w.run(150 * ms)
	w.expect("s", SiteSuspected, FaultSiteLost)
	w.restore("s")
	w.run(100 * ms)
	w.expect("s", SiteHealthy, FaultUnclear)
}

// A partition and an isolated router are told from a lost site where the evidence allows it.
func TestPartitionAndIsolation(t *testing.T) {
	t.Run("commits just behind the failure prove that the site is alive", func(t *testing.T) {
		w := newWorld(t, "n", 4, "n", "s", "w")
		w.run(3 * time.Second)
		w.lose("s", FailureTimeout)
		w.run(2 * time.Second)
		w.expect("s", SiteLost, FaultSiteLost)
		w.step(ms, ReplicaApplied{Endpoint: "n1", Position: w.now})
		w.expect("s", SiteLost, FaultPartitioned)
	})
	t.Run("commits much later may be a successor's", func(t *testing.T) {
		w := newWorld(t, "n", 4, "n", "s", "w")
		w.run(3 * time.Second)
		w.lose("s", FailureRefused)
		w.run(4 * time.Second)
		w.step(ms, ReplicaApplied{Endpoint: "n1", Position: w.now})
		w.expect("s", SiteLost, FaultSiteLost)
	})
	t.Run("a router that reaches no other site is isolated", func(t *testing.T) {
		w := newWorld(t, "n", 4, "n", "s", "w")
		w.run(3 * time.Second)
		w.lose("s", FailureTimeout)
		w.lose("w", FailureTimeout)
		w.run(2 * time.Second)
		w.expect("s", SiteLost, FaultIsolated)
		w.expect("w", SiteLost, FaultIsolated)
		w.expect("n", SiteHealthy, FaultUnclear)
	})
	t.Run("with two sites only the list tells on which side the fault is", func(t *testing.T) {
		w := newWorld(t, "n", 4, "n", "s")
		w.run(3 * time.Second)
		w.lose("s", FailureTimeout)
		w.run(2 * time.Second)
		w.expect("s", SiteLost, FaultUnclear)
		for group := range 3 {
			w.list(fmt.Sprint("s", group), "s", group, EndpointRemoved)
		}
		w.expect("s", SiteLost, FaultDelisted)
	})
}

// A second site is lost while the first one recovers.
func TestSecondSiteIsLostWhileTheFirstRecovers(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.lose("s", FailureRefused)
	w.run(2 * time.Second)
	w.restore("s")
	w.run(500 * ms)
	w.expect("s", SiteRecovering, FaultSiteLost)
	w.lose("w", FailureTimeout)
	w.run(2 * time.Second)
	w.expect("w", SiteLost, FaultSiteLost)
	w.expect("s", SiteRecovering, FaultSiteLost)
	w.run(5 * time.Second)
	w.expect("s", SiteSettled, FaultSiteLost)
}

// A site that flaps has to answer for longer each time before it recovers, up to a bound.
func TestFlappingSiteWaitsLonger(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	var waits []time.Duration
	for range 9 {
		w.lose("s", FailureRefused)
		w.run(1500 * ms)
		restoredAt := w.now
		w.restore("s")
		w.run(50 * ms)
		for w.view("s").State != SiteRecovering {
			if w.now-restoredAt > time.Minute {
				t.Fatal("it never recovers")
			}
			w.run(50 * ms)
		}
		waits = append(waits, w.now-restoredAt)
		w.run(1500 * ms)
	}
	if waits[0] > 200*ms || waits[5] < 5*time.Second || waits[8] > waits[7]+200*ms {
		t.Errorf("%v", waits)
	}
	if flaps := w.view("s").Flaps; flaps != 8 {
		t.Errorf("%d flaps, want 8", flaps)
	}
	w.run(10 * time.Minute)
	w.expect("s", SiteHealthy, FaultUnclear)
	if flaps := w.view("s").Flaps; flaps != 7 {
		t.Errorf("%d flaps once it is healthy, want 7: one is forgiven", flaps)
	}
}

// Endpoints that come back under new identifiers are the site's recovery.
func TestRecoveryUnderNewIdentifiers(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.lose("s", FailureTimeout)
	w.run(2 * time.Second)
	var ids []string
	for _, id := range w.ids {
		if w.site[id] != "s" {
			ids = append(ids, id)
		}
	}
	for group := range 4 {
		id := fmt.Sprint("new", group)
		ids = append(ids, id)
		w.site[id] = "s"
		w.list(id, "s", group, EndpointReady)
	}
	w.ids = ids
	w.step(ms, EndpointListComplete{Endpoints: ids})
	w.run(time.Second)
	for group := range 4 { // the old ones are off the list for good
		w.list(fmt.Sprint("s", group), "s", group, EndpointDraining)
	}
	w.run(20 * time.Second)
	w.expect("s", SiteHealthy, FaultUnclear)
}

// What operators declare holds until its time; a declaration on a site that nobody knows is ignored.
func TestDeclaredLoss(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.step(ms,
		DeclareLost{Site: "s", Until: w.now + 5*time.Second},
		DeclareLost{Site: "nowhere", Until: w.now + time.Hour})
	change := w.changes[len(w.changes)-1]
	if change.NewState != SiteLost || !strings.HasPrefix(change.Evidence, "declared by an operator") {
		t.Fatalf("%+v", change)
	}
	w.run(4 * time.Second)
	if views := w.monitor.Views(); views[1].State != SiteLost || len(views) != 3 {
		t.Fatalf("%+v", views)
	}
	w.run(20 * time.Second)
	w.expect("s", SiteHealthy, FaultUnclear)
}

// replaceEndpoints lists new endpoints for all of site s, and removes the old ones before or after that.
func replaceEndpoints(w *world, newFirst bool) {
	w.t.Helper()
	listNew := func() {
		for group := range 4 {
			id := fmt.Sprint("new", group)
			w.site[id] = "s"
			w.list(id, "s", group, EndpointReady)
		}
	}
	if newFirst {
		listNew()
	}
	for group := range 4 {
		w.list(fmt.Sprint("s", group), "s", group, EndpointRemoved)
	}
	if !newFirst {
		listNew()
	}
	w.ids = w.ids[:0]
	for id, site := range w.site {
		if site != "s" || strings.HasPrefix(id, "new") {
			w.ids = append(w.ids, id)
		}
	}
	slices.Sort(w.ids)
}

// A site that comes back with other endpoints recovers, in whichever order the list tells of old and new ones, and
// stays recovered: those that are gone for good don't speak against it.
func TestNewEndpointsTakeThePlaceOfOldOnes(t *testing.T) {
	for name, newFirst := range map[string]bool{"new ones first": true, "old ones first": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "n", 4, "n", "s", "w")
			w.run(3 * time.Second)
			w.lose("s", FailureRefused)
			w.run(2 * time.Second)
			w.expect("s", SiteLost, FaultSiteLost)
			replaceEndpoints(w, newFirst)
			w.run(20 * time.Second)
			for _, change := range w.changes {
				if change.Site == "s" && change.OldState == SiteRecovering && change.NewState == SiteLost {
					t.Errorf("lost again: %s", change.Evidence)
				}
			}
			w.expect("s", SiteHealthy, FaultUnclear)
			if view := w.view("s"); view.Endpoints != 4 || view.Down != 0 {
				t.Errorf("%+v", view)
			}
		})
	}
}

// A new endpoint takes the place of a single old one.
func TestNewEndpointReplacesOnlyOne(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.lose("s", FailureRefused)
	w.run(2 * time.Second)
	w.list("new0", "s", 0, EndpointReady)
	for group := range 2 {
		w.list(fmt.Sprint("s", group), "s", group, EndpointRemoved)
	}
	if view := w.view("s"); view.Endpoints != 4 || view.Down != 3 {
		t.Errorf("%d of %d endpoints are down, want 3 of 4: %+v", view.Down, view.Endpoints, view)
	}
}

// Endpoints that a deploy has drained before it removed them are no sign that the list has dropped a lost site.
func TestDrainedEndpointsAreNotDelisted(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	for group := range 2 {
		id := fmt.Sprint("s", group)
		w.list(id, "s", group, EndpointDraining)
		w.list(id, "s", group, EndpointRemoved)
	}
	w.lose("s", FailureTimeout)
	w.run(2 * time.Second)
	w.expect("s", SiteLost, FaultSiteLost)
}
