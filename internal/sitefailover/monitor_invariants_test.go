package sitefailover

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomHistory feeds a Monitor with random events, and checks the invariants after each step.
type randomHistory struct {
	t       *rapid.T
	monitor *Monitor
	now     time.Duration
	states  map[string]SiteState // according to the actions
}

func (h *randomHistory) step(events ...Event) {
	for _, action := range h.monitor.Step(h.now, events) {
		change, ok := action.(StateChanged)
		if !ok {
			continue
		}
		if h.states[change.Site] != change.OldState || change.OldState == change.NewState {
			h.t.Fatalf("change is %+v, want one from the last state %v to another state", change, h.states[change.Site])
		}
		h.states[change.Site] = change.NewState
	}
	for site := range h.states {
		if h.monitor.sites[site] == nil {
			delete(h.states, site)
		}
	}
	if len(h.monitor.endpoints) > h.monitor.cfg.MaxEndpoints {
		h.t.Fatalf("%d endpoints are tracked, want at most MaxEndpoints", len(h.monitor.endpoints))
	}
}

// drawEvent draws an event of any kind; failures and list entries are more frequent than others.
func (h *randomHistory) drawEvent() Event {
	t := h.t
	sites := rapid.SampledFrom([]string{"n", "s", "w"})
	ids := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("m", rapid.IntRange(0, 11).Draw(t, "number")) })
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1:
		return EndpointListed{
			Endpoint: ids.Draw(t, "id"),
			Site:     sites.Draw(t, "site"),
			Group:    rapid.Int64Range(0, 3).Draw(t, "group"),
			State:    EndpointState(rapid.IntRange(0, 2).Draw(t, "state")),
		}
	case 2:
		return EndpointAnswered{Endpoint: ids.Draw(t, "id")}
	case 3, 4:
		return AttemptFailed{Endpoint: ids.Draw(t, "id"), Failure: Failure(rapid.IntRange(0, 2).Draw(t, "failure"))}
	case 5:
		return ReplicaApplied{Endpoint: ids.Draw(t, "id"), Position: h.now}
	case 6:
		seconds := rapid.IntRange(0, 5).Draw(t, "until")
		return DeclareLost{Site: sites.Draw(t, "site"), Until: h.now + time.Duration(seconds)*time.Second}
	default:
		return EndpointListComplete{Endpoints: rapid.SliceOfN(ids, 0, 6).Draw(t, "list")}
	}
}

// answerAll makes all endpoints answer for the given length of time, and lists delisted endpoints again.
func (h *randomHistory) answerAll(length time.Duration) {
	for end := h.now + length; h.now < end; h.now += 500 * ms {
		var events []Event
		for id, endpoint := range h.monitor.endpoints {
			if endpoint.delisted {
				events = append(events, EndpointListed{Endpoint: id, Site: endpoint.site, Group: endpoint.group})
			}
			events = append(events, EndpointAnswered{Endpoint: id})
		}
		h.step(events...)
	}
}

// After any events, a site becomes healthy again once all of its endpoints have answered for long enough. The number of
// tracked endpoints is bounded, and an empty endpoint list removes all endpoints and sites.
func TestMonitorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig(rapid.SampledFrom([]string{"", "n", "s"}).Draw(t, "own site"))
		cfg.MaxEndpoints = 9
		history := &randomHistory{t: t, monitor: NewMonitor(cfg), now: 50 * time.Second, states: map[string]SiteState{}}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			event := history.drawEvent()
			history.now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * ms
			history.step(event)
		}
		history.answerAll(10 * time.Minute) // longer than the longest wait of a flapping site
		for _, view := range history.monitor.Views() {
			if view.State != SiteHealthy {
				t.Fatalf("site %s is still %v, want it healthy", view.Site, view.State)
			}
		}
		history.step(EndpointListComplete{})
		if len(history.monitor.endpoints) > 0 || len(history.monitor.sites) > 0 {
			t.Fatal("endpoints or sites are left after an empty list, want none")
		}
	})
}
