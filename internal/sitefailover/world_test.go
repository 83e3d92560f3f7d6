package sitefailover

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

func testConfig(ownSite string) MonitorConfig {
	return MonitorConfig{
		OwnSite:        ownSite,
		EvidenceWindow: 2 * time.Second,
		SuspicionTime:  500 * ms,
		SettleTime:     4 * time.Second,
		MaxEndpoints:   500,
	}
}

// world drives a Monitor: in each step every endpoint that can answers, the others fail.
type world struct {
	t       *testing.T
	monitor *Monitor
	now     time.Duration
	ids     []string
	site    map[string]string
	failing map[string]Failure
	changes []StateChanged
}

// newWorld has groups of one endpoint in each site, the primary of group n in site n.
func newWorld(t *testing.T, ownSite string, groups int, sites ...string) *world {
	t.Helper()
	w := &world{
		t:       t,
		monitor: NewMonitor(testConfig(ownSite)),
		now:     100 * time.Second,
		site:    map[string]string{},
		failing: map[string]Failure{},
	}
	var events []Event
	for group := range groups {
		for _, site := range sites {
			id := fmt.Sprintf("%s%d", site, group)
			w.ids = append(w.ids, id)
			w.site[id] = site
			events = append(events, EndpointListed{Endpoint: id, Site: site, Group: int64(group)})
		}
		primary := fmt.Sprintf("%s%d", sites[group%len(sites)], group)
		events = append(events, PrimaryObserved{Group: int64(group), Endpoint: primary})
	}
	w.step(0, events...)
	return w
}

func (w *world) step(length time.Duration, events ...Event) {
	w.t.Helper()
	w.now += length
	for _, action := range w.monitor.Step(w.now, events) {
		switch action := action.(type) {
		case StateChanged:
			w.changes = append(w.changes, action)
		case Wake:
			if action.Deadline <= w.now {
				w.t.Fatalf("it wants to be woken at %v, now is %v", action.Deadline, w.now)
			}
		}
	}
}

// list steps with one entry of an endpoint list.
func (w *world) list(id, site string, group int, state EndpointState) {
	w.t.Helper()
	w.step(ms, EndpointListed{Endpoint: id, Site: site, Group: int64(group), State: state})
}

// run lets time pass, with an outcome of each endpoint every 50 ms.
func (w *world) run(length time.Duration) {
	w.t.Helper()
	for end := w.now + length; w.now < end; {
		var events []Event
		for _, id := range w.ids {
			if failure, failing := w.failing[id]; failing {
				events = append(events, AttemptFailed{Endpoint: id, Failure: failure})
			} else {
				events = append(events, EndpointAnswered{Endpoint: id})
			}
		}
		w.step(50*ms, events...)
	}
}

// lose lets all of a site fail.
func (w *world) lose(site string, failure Failure) {
	for _, id := range w.ids {
		if w.site[id] == site {
			w.failing[id] = failure
		}
	}
}

// restore lets all of a site answer.
func (w *world) restore(site string) {
	for _, id := range w.ids {
		if w.site[id] == site {
			delete(w.failing, id)
		}
	}
}

// view returns a site as operators see it.
func (w *world) view(site string) SiteView {
	w.t.Helper()
	for _, view := range w.monitor.Views() {
		if view.Site == site {
			return view
		}
	}
	w.t.Fatalf("no site %s", site)
	return SiteView{}
}

func (w *world) expect(site string, state SiteState, fault FaultKind) {
	w.t.Helper()
	view := w.view(site)
	if view.State != state || view.Fault != fault {
		w.t.Fatalf("%s is %v (%v), want %v (%v): %s", site, view.State, view.Fault, state, fault, view.Evidence)
	}
}
