package balance

import (
	"math"
	"testing"
)

func TestWorkRate(t *testing.T) {
	var rate workRate
	for range 100 {
		rate.sinceMeasured += 0.5
		rate.measure(1, smoothing)
	}
	if math.Abs(rate.perSecond-0.5) > 0.001 || rate.sinceMeasured != 0 {
		t.Errorf("work rate %v s per second with %v s unmeasured, want 0.5 and 0", rate.perSecond, rate.sinceMeasured)
	}
}

func TestEndpointViews(t *testing.T) {
	h := newReadyHarness(t, testConfig())
	h.step(ms, Suspend{Endpoint: "c", Suspended: true})
	h.balancer.endpoints["b"].health.suspect = true
	views := map[string]EndpointView{}
	h.balancer.EndpointViews(func(view EndpointView) { views[view.Endpoint] = view })
	wanted := map[string][3]bool{"a": {true, true, true}, "b": {false, false, true}, "c": {false, false, false}}
	for id, want := range wanted {
		view := views[id]
		if got := [3]bool{view.Primary, view.Available, view.InService}; got != want {
			t.Errorf("%s: primary, available, in service %v, want %v", id, got, want)
		}
		if view.ConcurrencyLimit != initialLimit || view.CapacityShare != 1 {
			t.Errorf("%s: limit %v, capacity share %v, want the initial limit and 1",
				id, view.ConcurrencyLimit, view.CapacityShare)
		}
	}
	if rate, warm := h.balancer.EndpointWorkRate("a"); rate != 0 || !warm {
		t.Errorf("work rate %v s per second, warm %v, want 0 and true", rate, warm)
	}
}
