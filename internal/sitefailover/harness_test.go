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

// monitorHarness drives a Monitor with the outcomes of simulated endpoints. The endpoints in failing fail, the others
// answer.
type monitorHarness struct {
	t       *testing.T
	monitor *Monitor
	now     time.Duration
	ids     []string
	site    map[string]string
	failing map[string]Failure
	changes []StateChanged
}

// newMonitorHarness returns a harness whose groups have one endpoint in each site. The primaries are spread over the
// sites in turn.
func newMonitorHarness(t *testing.T, ownSite string, groups int, sites ...string) *monitorHarness {
	t.Helper()
	w := &monitorHarness{
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

func (w *monitorHarness) step(length time.Duration, events ...Event) {
	w.t.Helper()
	w.now += length
	for _, action := range w.monitor.Step(w.now, events) {
		switch action := action.(type) {
		case StateChanged:
			w.changes = append(w.changes, action)
		case Wake:
			if action.Deadline <= w.now {
				w.t.Fatalf("wake deadline is %v, want it after now, %v", action.Deadline, w.now)
			}
		}
	}
}

// list reports an entry of an endpoint list to the Monitor.
func (w *monitorHarness) list(id, site string, group int, state EndpointState) {
	w.t.Helper()
	w.step(ms, EndpointListed{Endpoint: id, Site: site, Group: int64(group), State: state})
}

// run simulates the given length of time, with an outcome of each endpoint every 50 ms.
func (w *monitorHarness) run(length time.Duration) {
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

// failSite makes all endpoints of a site fail.
func (w *monitorHarness) failSite(site string, failure Failure) {
	for _, id := range w.ids {
		if w.site[id] == site {
			w.failing[id] = failure
		}
	}
}

// restoreSite makes all endpoints of a site answer.
func (w *monitorHarness) restoreSite(site string) {
	for _, id := range w.ids {
		if w.site[id] == site {
			delete(w.failing, id)
		}
	}
}

// view returns the view of a site.
func (w *monitorHarness) view(site string) SiteView {
	w.t.Helper()
	for _, view := range w.monitor.Views() {
		if view.Site == site {
			return view
		}
	}
	w.t.Fatalf("site %s is not known to the Monitor", site)
	return SiteView{}
}

func (w *monitorHarness) expect(site string, state SiteState, fault FaultKind) {
	w.t.Helper()
	view := w.view(site)
	if view.State != state || view.Fault != fault {
		w.t.Fatalf("site %s is %v (%v), want %v (%v): %s", site, view.State, view.Fault, state, fault, view.Evidence)
	}
}
