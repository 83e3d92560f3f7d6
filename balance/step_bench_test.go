package balance

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkStep measures one request on its way: a step that sends it and a step that records its response.
func BenchmarkStep(b *testing.B) {
	for _, instances := range []int{1, 3, 300} {
		b.Run(strconv.Itoa(instances), func(b *testing.B) {
			config := testConfig()
			config.Instances = instances
			router, err := New(config, 7)
			if err != nil {
				b.Fatal(err)
			}
			list := threeEndpoints(ListCached)
			list.Entries[0].Primary = true
			now := 100 * time.Second
			router.Step(now, []Event{list})
			classes := []string{"write", "any", "bounded", "session", "latest"}
			b.ReportAllocs()
			for i := range b.N {
				id := strconv.Itoa(i)
				now += ms
				request := Request{ID: id, Class: classes[i%len(classes)], Group: 1, TimeLeft: time.Second}
				actions := router.Step(now, []Event{request})
				now += ms
				for _, action := range actions {
					switch action := action.(type) {
					case Send:
						role := RoleReplica
						if action.Endpoint == "a" {
							role = RolePrimary
						}
						router.Step(now, []Event{AttemptResult{
							ID: id, Endpoint: action.Endpoint, Status: StatusDone, Elapsed: ms, Finished: true, Role: role, Position: now,
						}})
					case HealthCheck:
						role := RoleReplica
						if action.Endpoint == "a" {
							role = RolePrimary
						}
						router.Step(now, []Event{HealthCheckResult{
							Endpoint: action.Endpoint, Status: StatusDone, Role: role, Position: now,
						}})
					}
				}
			}
		})
	}
}
