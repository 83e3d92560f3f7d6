package sitefailover

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// A failing site is suspected immediately, lost after the suspicion time, and healthy again by way of recovering and
// settled.
func TestSiteIsLostAndRecovers(t *testing.T) {
	for _, failure := range []Failure{FailureRefused, FailureReset, FailureTimeout} {
		t.Run(failure.String(), func(t *testing.T) {
			w := newMonitorHarness(t, "n", 4, "n", "s", "w")
			w.run(3 * time.Second)
			w.failSite("s", failure)
			w.run(200 * ms)
			w.expect("s", SiteSuspected, FaultSiteLost)
			w.run(600 * ms)
			w.expect("s", SiteLost, FaultSiteLost)
			w.expect("w", SiteHealthy, FaultUnclear)
			evidence := w.changes[len(w.changes)-1].Evidence
			for _, want := range []string{"4 of 4 known machines down (4 ", "0 of 8 elsewhere"} {
				if !strings.Contains(evidence, want) {
					t.Errorf("evidence is %[2]q, want it to contain %[1]q", want, evidence)
				}
			}
			w.run(20 * time.Second)
			w.restoreSite("s")
			w.run(200 * ms)
			w.expect("s", SiteRecovering, FaultSiteLost)
			w.run(5 * time.Second)
			w.expect("s", SiteSettled, FaultSiteLost)
			w.run(5 * time.Second)
			w.expect("s", SiteHealthy, FaultUnclear)
			if len(w.changes) != 5 {
				t.Errorf("changes are %v, want 5", w.changes)
			}
		})
	}
}

// failOneGroup makes the endpoints of group 0 fail in all sites.
func failOneGroup(w *monitorHarness) {
	for _, id := range w.ids {
		if strings.HasSuffix(id, "0") {
			w.failing[id] = FailureTimeout
		}
	}
}

// failGroupThatFillsSite makes a group fail that has most of a site's endpoints.
func failGroupThatFillsSite(w *monitorHarness) {
	for i := range 4 {
		id := fmt.Sprint("s-more-", i, "-0")
		w.ids = append(w.ids, id)
		w.site[id] = "s"
		w.list(id, "s", 0, EndpointReady)
	}
	w.run(3 * time.Second)
	failOneGroup(w)
}

// failAllOfOneSiteAndHalfElsewhere simulates a fault that affects all sites, but one of them more than the others.
func failAllOfOneSiteAndHalfElsewhere(w *monitorHarness) {
	w.failSite("s", FailureTimeout)
	for _, id := range []string{"n0", "n1", "w2", "w3"} {
		w.failing[id] = FailureTimeout
	}
}

// failEverySecond makes every second endpoint fail, in all sites.
func failEverySecond(w *monitorHarness) {
	for i, id := range w.ids {
		if i%2 == 0 {
			w.failing[id] = FailureTimeout
		}
	}
}

// deployMostOfSite drains most of a site, as a deploy does.
func deployMostOfSite(w *monitorHarness) {
	for _, id := range []string{"s0", "s1", "s2"} {
		w.list(id, "s", 0, EndpointDraining)
		w.failing[id] = FailureRefused
	}
	w.list("s0", "s", 0, EndpointRemoved)
}

// resetEachOnce breaks one connection to each endpoint of a site.
func resetEachOnce(w *monitorHarness) {
	for _, id := range w.ids {
		if w.site[id] == "s" {
			w.step(ms, AttemptFailed{Endpoint: id, Failure: FailureReset})
		}
	}
}

func failTwoOfFour(w *monitorHarness) {
	w.failing["s1"] = FailureRefused
	w.failing["s2"] = FailureTimeout
}

// Faults other than the loss of a site don't lead to the state lost, and all sites end up healthy.
func TestOtherFaultsAreNoSiteLoss(t *testing.T) {
	for name, inject := range map[string]func(w *monitorHarness){
		"fault of one group":                        failOneGroup,
		"fault of the group with most endpoints":    failGroupThatFillsSite,
		"failures of half the endpoints everywhere": failEverySecond,
		"shared fault that affects one site most":   failAllOfOneSiteAndHalfElsewhere,
		"deploy that drains most of a site":         deployMostOfSite,
		"two of four endpoints":                     failTwoOfFour,
		"one reset of each connection":              resetEachOnce,
		"no events after the list":                  func(w *monitorHarness) { w.ids = nil },
	} {
		t.Run(name, func(t *testing.T) {
			w := newMonitorHarness(t, "n", 4, "n", "s", "w")
			w.run(3 * time.Second)
			inject(w)
			w.run(10 * time.Second)
			for _, change := range w.changes {
				if change.NewState == SiteLost {
					t.Fatalf("change is %+v, want no loss", change)
				}
			}
			for _, view := range w.monitor.Views() {
				if view.State != SiteHealthy {
					t.Errorf("site %s is still %v, want it healthy", view.Site, view.State)
				}
			}
		})
	}
}

// A suspicion ends when the endpoints answer again.
func TestSuspicionEnds(t *testing.T) {
	w := newMonitorHarness(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.failSite("s", FailureTimeout)
	w.run(150 * ms)
	w.expect("s", SiteSuspected, FaultSiteLost)
	w.restoreSite("s")
	w.run(100 * ms)
	w.expect("s", SiteHealthy, FaultUnclear)
}

// Partitions and isolated routers are distinguished from lost sites if the evidence allows it.
func TestPartitionAndIsolation(t *testing.T) {
	t.Run("commits shortly after the failure prove that the site is alive", func(t *testing.T) {
		w := newMonitorHarness(t, "n", 4, "n", "s", "w")
		w.run(3 * time.Second)
		w.failSite("s", FailureTimeout)
		w.run(2 * time.Second)
		w.expect("s", SiteLost, FaultSiteLost)
		w.step(ms, ReplicaApplied{Endpoint: "n1", Position: w.now})
		w.expect("s", SiteLost, FaultPartitioned)
	})
	t.Run("later commits may come from a successor", func(t *testing.T) {
		w := newMonitorHarness(t, "n", 4, "n", "s", "w")
		w.run(3 * time.Second)
		w.failSite("s", FailureRefused)
		w.run(4 * time.Second)
		w.step(ms, ReplicaApplied{Endpoint: "n1", Position: w.now})
		w.expect("s", SiteLost, FaultSiteLost)
	})
	t.Run("a router that reaches no other site is isolated", func(t *testing.T) {
		w := newMonitorHarness(t, "n", 4, "n", "s", "w")
		w.run(3 * time.Second)
		w.failSite("s", FailureTimeout)
		w.failSite("w", FailureTimeout)
		w.run(2 * time.Second)
		w.expect("s", SiteLost, FaultIsolated)
		w.expect("w", SiteLost, FaultIsolated)
		w.expect("n", SiteHealthy, FaultUnclear)
	})
	t.Run("with two sites only the endpoint list shows which side the fault is on", func(t *testing.T) {
		w := newMonitorHarness(t, "n", 4, "n", "s")
		w.run(3 * time.Second)
		w.failSite("s", FailureTimeout)
		w.run(2 * time.Second)
		w.expect("s", SiteLost, FaultUnclear)
		for group := range 3 {
			w.list(fmt.Sprint("s", group), "s", group, EndpointRemoved)
		}
		w.expect("s", SiteLost, FaultDelisted)
	})
}

// The loss of a second site doesn't affect the recovery of the first one.
func TestSecondSiteIsLostWhileTheFirstRecovers(t *testing.T) {
	w := newMonitorHarness(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.failSite("s", FailureRefused)
	w.run(2 * time.Second)
	w.restoreSite("s")
	w.run(500 * ms)
	w.expect("s", SiteRecovering, FaultSiteLost)
	w.failSite("w", FailureTimeout)
	w.run(2 * time.Second)
	w.expect("w", SiteLost, FaultSiteLost)
	w.expect("s", SiteRecovering, FaultSiteLost)
	w.run(5 * time.Second)
	w.expect("s", SiteSettled, FaultSiteLost)
}

// A flapping site stays lost for longer each time before it recovers, up to a bound.
func TestFlappingSiteStaysLostLonger(t *testing.T) {
	w := newMonitorHarness(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	var waits []time.Duration
	for range 9 {
		w.failSite("s", FailureRefused)
		w.run(1500 * ms)
		restoredAt := w.now
		w.restoreSite("s")
		w.run(50 * ms)
		for w.view("s").State != SiteRecovering {
			if w.now-restoredAt > time.Minute {
				t.Fatal("site s has not recovered after a minute")
			}
			w.run(50 * ms)
		}
		waits = append(waits, w.now-restoredAt)
		w.run(1500 * ms)
	}
	if waits[0] > 200*ms || waits[5] < 5*time.Second || waits[8] > waits[7]+200*ms {
		t.Errorf("times until recovery are %v, want them to grow from at most 200ms to a bound above 5s", waits)
	}
	if flaps := w.view("s").Flaps; flaps != 8 {
		t.Errorf("%d flaps, want 8", flaps)
	}
	w.run(10 * time.Minute)
	w.expect("s", SiteHealthy, FaultUnclear)
	if flaps := w.view("s").Flaps; flaps != 7 {
		t.Errorf("%d flaps once the site is healthy, want 7, one fewer", flaps)
	}
}

// A site also recovers if its endpoints come back with new IDs.
func TestRecoveryWithNewEndpointIDs(t *testing.T) {
	w := newMonitorHarness(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.failSite("s", FailureTimeout)
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
	for group := range 4 { // the old ones are out of service for good
		w.list(fmt.Sprint("s", group), "s", group, EndpointDraining)
	}
	w.run(20 * time.Second)
	w.expect("s", SiteHealthy, FaultUnclear)
}

// An operator's declaration is in effect until its end. A declaration for an unknown site is ignored.
func TestDeclaredLoss(t *testing.T) {
	w := newMonitorHarness(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.step(ms,
		DeclareLost{Site: "s", Until: w.now + 5*time.Second},
		DeclareLost{Site: "nowhere", Until: w.now + time.Hour})
	change := w.changes[len(w.changes)-1]
	if change.NewState != SiteLost || !strings.HasPrefix(change.Evidence, "declared by an operator") {
		t.Fatalf("change is %+v, want a declared loss", change)
	}
	w.run(4 * time.Second)
	if views := w.monitor.Views(); views[1].State != SiteLost || len(views) != 3 {
		t.Fatalf("views are %+v, want three sites with s lost", views)
	}
	w.run(20 * time.Second)
	w.expect("s", SiteHealthy, FaultUnclear)
}

// replaceEndpoints lists a new endpoint for each one of site s, and removes the old ones before or after that.
func replaceEndpoints(w *monitorHarness, newFirst bool) {
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

// A site that comes back with new endpoints recovers, whether the new endpoints are listed before or after the old ones
// are removed. It is not lost again because of the removed endpoints.
func TestNewEndpointsReplaceOldOnes(t *testing.T) {
	for name, newFirst := range map[string]bool{"new ones first": true, "old ones first": false} {
		t.Run(name, func(t *testing.T) {
			w := newMonitorHarness(t, "n", 4, "n", "s", "w")
			w.run(3 * time.Second)
			w.failSite("s", FailureRefused)
			w.run(2 * time.Second)
			w.expect("s", SiteLost, FaultSiteLost)
			replaceEndpoints(w, newFirst)
			w.run(20 * time.Second)
			for _, change := range w.changes {
				if change.Site == "s" && change.OldState == SiteRecovering && change.NewState == SiteLost {
					t.Errorf("site s is lost again: %s", change.Evidence)
				}
			}
			w.expect("s", SiteHealthy, FaultUnclear)
			if view := w.view("s"); view.Endpoints != 4 || view.Down != 0 {
				t.Errorf("view is %+v, want 4 endpoints with none down", view)
			}
		})
	}
}

// A new endpoint replaces only one old endpoint.
func TestNewEndpointReplacesOnlyOne(t *testing.T) {
	w := newMonitorHarness(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.failSite("s", FailureRefused)
	w.run(2 * time.Second)
	w.list("new0", "s", 0, EndpointReady)
	for group := range 2 {
		w.list(fmt.Sprint("s", group), "s", group, EndpointRemoved)
	}
	if view := w.view("s"); view.Endpoints != 4 || view.Down != 3 {
		t.Errorf("%d of %d endpoints are down, want 3 of 4: %+v", view.Down, view.Endpoints, view)
	}
}

// Endpoints that were drained before they were removed don't count as delisted.
func TestDrainedEndpointsAreNotDelisted(t *testing.T) {
	w := newMonitorHarness(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	for group := range 2 {
		id := fmt.Sprint("s", group)
		w.list(id, "s", group, EndpointDraining)
		w.list(id, "s", group, EndpointRemoved)
	}
	w.failSite("s", FailureTimeout)
	w.run(2 * time.Second)
	w.expect("s", SiteLost, FaultSiteLost)
}
