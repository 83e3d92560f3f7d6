package balance

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkStep measures two steps per request: one that sends the request and one that records its response.
func BenchmarkStep(b *testing.B) {
	for _, instances := range []int{1, 3, 300} {
		b.Run(strconv.Itoa(instances), func(b *testing.B) { benchmarkStep(b, instances) })
	}
}

func benchmarkStep(b *testing.B, instances int) {
	b.Helper()
	config := testConfig()
	config.Instances = instances
	balancer, err := New(config, 7)
	if err != nil {
		b.Fatal(err)
	}
	list := threeEndpoints(ListCached)
	list.Entries[0].Primary = true
	now := 100 * time.Second
	balancer.Step(now, []Event{list})
	classes := []string{"write", "any", "bounded", "session", "latest"}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		request := Request{ID: strconv.Itoa(i), Class: classes[i%len(classes)], Group: 1, TimeLeft: time.Second}
		now += ms
		actions := balancer.Step(now, []Event{request})
		now += ms
		for _, action := range actions {
			if answer := benchmarkAnswer(action, now); answer != nil {
				balancer.Step(now, []Event{answer})
			}
		}
	}
}

// benchmarkRole returns the role of an endpoint: a is the primary, all others are replicas.
func benchmarkRole(id string) Role {
	if id == "a" {
		return RolePrimary
	}
	return RoleReplica
}

// benchmarkAnswer returns the result of an attempt or a health check, or nil for other actions.
func benchmarkAnswer(action Action, now Time) Event {
	switch action := action.(type) {
	case Send:
		return AttemptResult{
			ID: action.ID, Endpoint: action.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true,
			Role: benchmarkRole(action.Endpoint), Position: now,
		}
	case HealthCheck:
		return HealthCheckResult{
			Endpoint: action.Endpoint, Status: StatusDone, Role: benchmarkRole(action.Endpoint), Position: now,
		}
	}
	return nil
}
