package balance

import (
	"testing"
	"time"
)

func TestResumedEndpointStartsAnew(t *testing.T) {
	const now = 100 * time.Second
	tested := newEndpoint(EndpointEntry{Endpoint: "a"}, &replicaGroup{}, 16)
	tested.inFlight = []*attempt{{endpoint: tested}}
	tested.health.markSuspect(now)
	tested.outlier.recordFailure()
	tested.limit.recordRejection(now, never, 1)
	tested.resume(now, 16)
	if tested.health.suspect || tested.outlier.failureRate != 0 || tested.limit.attempts != 16 {
		t.Errorf("%+v, %+v, %+v: want nothing held against it", tested.health, tested.outlier, tested.limit)
	}
	if tested.slowStart.recoveredAt != now || !tested.discovery.resumed {
		t.Error("it does not warm up as a resumed endpoint")
	}
	if tested.hasLiveAttempt() {
		t.Error("what was in flight before still counts")
	}
}

func TestInService(t *testing.T) {
	for _, c := range []struct {
		name  string
		state discoveryState
		want  bool
	}{
		{"ready", discoveryState{state: EndpointReady}, true},
		{"draining", discoveryState{state: EndpointDraining}, false},
		{"suspended", discoveryState{state: EndpointReady, suspended: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := (&endpoint{discovery: c.state}).inService(); got != c.want {
				t.Errorf("in service: %v", got)
			}
		})
	}
}
