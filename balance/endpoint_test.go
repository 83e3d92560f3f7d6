package balance

import (
	"testing"
	"time"
)

func TestResumeResetsEndpoint(t *testing.T) {
	const now = 100 * time.Second
	tested := newEndpoint(EndpointEntry{Endpoint: "a"}, &replicaGroup{}, 16)
	tested.inFlight = []*attempt{{endpoint: tested}}
	tested.health.markSuspect(now)
	tested.outlier.recordFailure()
	tested.limit.recordRejection(now, never, 1)
	tested.resume(now, 16)
	if tested.health.suspect || tested.outlier.failureRate != 0 || tested.limit.attempts != 16 {
		t.Errorf("health %+v, outlier %+v, limit %+v, want them reset", tested.health, tested.outlier, tested.limit)
	}
	if tested.slowStart.recoveredAt != now || !tested.discovery.resumed {
		t.Error("resumed endpoint does not warm up or is not marked as resumed")
	}
	if tested.hasLiveAttempt() {
		t.Error("an attempt from before the resumption still counts as live")
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
				t.Errorf("inService() = %v, want the opposite", got)
			}
		})
	}
}
