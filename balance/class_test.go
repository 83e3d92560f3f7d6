package balance

import (
	"testing"
	"time"
)

func TestClassLatencyFollowsAnswers(t *testing.T) {
	class := newClassState(Class{Name: "read", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second})
	if class.latency != 0.2 || class.serviceTime != 0.2 {
		t.Fatalf("initial latency %v s, service time %v s; want 0.2 s each", class.latency, class.serviceTime)
	}
	for range 500 {
		class.observeLatency(50*ms, 1)
		class.observeServiceTime()
	}
	if class.latency < 0.045 || class.latency > 0.06 || class.serviceTime > class.latency {
		t.Errorf("latency %v s, service time %v s; want about 0.05 s each", class.latency, class.serviceTime)
	}
	class.observeLatency(time.Second, 1)
	class.observeServiceTime()
	if class.serviceTime >= class.latency {
		t.Errorf("service time %v s, want less than the latency, %v s", class.serviceTime, class.latency)
	}
}

func TestAnswersHaveMoreWeightWithManyInstances(t *testing.T) {
	few := newClassState(Class{LatencyObjective: time.Second})
	many := newClassState(Class{LatencyObjective: time.Second})
	few.observeLatency(time.Second, 3)
	many.observeLatency(time.Second, 300)
	if many.latency <= few.latency {
		t.Errorf("latency %v s with 300 instances, want more than with 3, %v s", many.latency, few.latency)
	}
}

func TestClassWithoutObjectiveUsesTheClientTimeout(t *testing.T) {
	if class := newClassState(Class{ClientTimeout: 3 * time.Second}); class.LatencyObjective != 3*time.Second {
		t.Errorf("latency objective %v, want the client timeout, 3s", class.LatencyObjective)
	}
}

func TestOverloadLatencyDecays(t *testing.T) {
	for fractional, forgotten := range map[bool]bool{false: false, true: true} {
		class := newClassState(Class{LatencyObjective: time.Second})
		class.latency = 5
		for range 60 {
			class.expire(fractional)
		}
		if got := class.latency < 0.3; got != forgotten {
			t.Errorf("fractional share %v: latency %v s after a minute without answers, want under 0.3 s only with such a share",
				fractional, class.latency)
		}
	}
}
