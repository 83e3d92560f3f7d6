package sitefailover

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// oneGroupInput returns the input for one group: a primary and replicas with the given capacity each, and demands for
// reads with a low and a high weight and for writes, with rates in requests per second.
func oneGroupInput(capacity float64, endpoints int, lowRate, highRate, writeRate float64) PlanInput {
	input := PlanInput{}
	for i := range endpoints {
		input.Endpoints = append(input.Endpoints, PlanEndpoint{
			ID: fmt.Sprint("m", i), Site: "n", Group: 1, Primary: i == 0, Available: true, Capacity: capacity,
		})
	}
	input.Demands = []Demand{
		{Class: "low", Group: 1, Rate: lowRate, Work: 0.1, PriorityWeight: 1},
		{Class: "high", Group: 1, Rate: highRate, Work: 0.1, PriorityWeight: 3},
		{Class: "write", Group: 1, Rate: writeRate, Work: 0.1, PriorityWeight: 6, NeedsPrimary: true},
	}
	return input
}

// runUpdates calls Update once per interval for the given length of time.
func runUpdates(
	controller *AdmissionController, now *time.Duration, siteLost bool, input PlanInput, length time.Duration,
) {
	for end := *now + length; *now < end; *now += admissionInterval {
		controller.Update(*now, siteLost, func() PlanInput { return input })
	}
}

func sharesByClass(controller *AdmissionController) map[string]float64 {
	shares := map[string]float64{}
	for _, rejected := range controller.RejectedShares() {
		shares[rejected.Class] = rejected.Share
	}
	return shares
}

// The controller rejects the work with the least weight first, and only as much as certainly exceeds the capacity. The
// shares rise and fall step by step, no class bears all rejections, and all of them end once no site is lost.
func TestAdmissionRejectsLeastWeightFirst(t *testing.T) {
	controller := NewAdmissionController(AdmissionConfig{RetrySpread: 2 * time.Second}, 1)
	now := time.Second
	// A demand of 6 seconds of work per second at a capacity of 3.8: an excess of 2.2, minus the uncertainty of 15%.
	input := oneGroupInput(2, 2, 20, 20, 10)
	input.Demands[2].Rate = 20
	controller.Update(now, true, func() PlanInput { return input })
	if shares := sharesByClass(controller); shares["low"] > maxShareIncrease+1e-9 {
		t.Errorf("shares are %v after one update, want at most maxShareIncrease", shares)
	}
	now += admissionInterval
	runUpdates(controller, &now, true, input, 10*time.Second)
	shares := sharesByClass(controller)
	if shares["low"] < 0.6 || shares["high"] > shares["low"] || shares["write"] > 0.1 {
		t.Errorf("shares are %v, want low at least 0.6, high no more than low, write at most 0.1", shares)
	}
	rejectedWork := 0.1 * (20*shares["low"] + 20*shares["high"] + 20*shares["write"])
	if rejectedWork > 2.2 || rejectedWork < 1 {
		t.Errorf("%.2f seconds of work per second are rejected, want 1 to 2.2", rejectedWork)
	}
	before := shares["low"]
	runUpdates(controller, &now, true, oneGroupInput(20, 2, 20, 20, 10), admissionInterval)
	after := sharesByClass(controller)["low"]
	if after < before-maxShareDecrease-1e-9 || after >= before {
		t.Errorf("share went from %.2f to %.2f in an interval, want a decrease of at most maxShareDecrease", before, after)
	}
	runUpdates(controller, &now, false, PlanInput{}, 20*time.Second)
	if !controller.AdmitsAll() || len(controller.RejectedShares()) > 0 || controller.NextUpdate() != 0 {
		t.Errorf("rejections are %v after the loss has ended, want none, everything admitted and no update due",
			controller.RejectedShares())
	}
	if rejected, _ := controller.ShouldReject(DemandKey{Class: "low", Group: 1}); rejected {
		t.Error("ShouldReject returned true while the controller admits everything, want false")
	}
}

// Many routers that don't communicate reject the right share together, even if each of them gets only a few requests,
// and the retry times that they ask for are spread out.
func TestIndependentControllersRejectTheirShare(t *testing.T) {
	const routers, requestsEach = 300, 3
	rejectedTotal := 0
	want := 0.0
	retries := map[time.Duration]int{}
	for seed := range uint64(routers) {
		controller := NewAdmissionController(AdmissionConfig{RetrySpread: 2 * time.Second}, seed)
		now := time.Second
		runUpdates(controller, &now, true, oneGroupInput(2, 2, 20, 20, 10), 10*time.Second)
		want = sharesByClass(controller)["low"]
		for range requestsEach {
			rejected, retryAfter := controller.ShouldReject(DemandKey{Class: "low", Group: 1})
			if !rejected {
				continue
			}
			rejectedTotal++
			retries[retryAfter.Round(100*time.Millisecond)]++
			if retryAfter < time.Second || retryAfter > 2*time.Second {
				t.Fatalf("retry after %v, want 1s to 2s", retryAfter)
			}
		}
	}
	got := float64(rejectedTotal) / (routers * requestsEach)
	if want < 0.2 || math.Abs(got-want) > 0.04 {
		t.Errorf("%.3f of all requests are rejected, want %.3f and at least 0.2", got, want)
	}
	for retryAfter, count := range retries {
		if count > rejectedTotal/4 {
			t.Errorf("%d of %d rejected requests retry after %v, want at most a quarter", count, rejectedTotal, retryAfter)
		}
	}
}

// drawGroups draws up to three groups with their demands.
func drawGroups(t *rapid.T) PlanInput {
	input := PlanInput{}
	for group := range rapid.Int64Range(1, 3).Draw(t, "groups") {
		for i := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
			input.Endpoints = append(input.Endpoints, PlanEndpoint{
				ID:        fmt.Sprint(group, i),
				Site:      "n",
				Group:     group,
				Primary:   i == 0,
				Available: rapid.Bool().Draw(t, "available"),
				Capacity:  rapid.Float64Range(0, 5).Draw(t, "capacity"),
			})
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "classes") {
			input.Demands = append(input.Demands, Demand{
				Class:          fmt.Sprint("c", i),
				Group:          group,
				Rate:           rapid.Float64Range(0, 100).Draw(t, "rate"),
				Work:           rapid.Float64Range(0.001, 2).Draw(t, "work"),
				PriorityWeight: rapid.Float64Range(0, 10).Draw(t, "weight"),
				NeedsPrimary:   i == 0,
			})
		}
	}
	return input
}

// expectNoExcessiveRejection checks that no more work is rejected than exceeds the capacity in the plan.
func expectNoExcessiveRejection(t *rapid.T, input PlanInput, shares map[DemandKey]float64) {
	for _, group := range collectGroups(input) {
		plan := group.allocate(noSiteLost)
		var unplaced, rejected [resourceCount]float64
		for i, demand := range group.demands {
			needed := demand.resource()
			unplaced[needed] += (1 - plan.served[i]) * demand.Rate * demand.Work
			share := shares[DemandKey{Class: demand.Class, Group: group.id}]
			rejected[needed] += share * demand.Rate * demand.Work
		}
		for saturated := range resourceCount {
			if plan.primary == nil && rejected[saturated] > 0 {
				t.Fatalf("group %d without endpoints: %.3f rejected, want 0", group.id, rejected[saturated])
			}
			if rejected[saturated] > unplaced[saturated]+1e-6 {
				t.Fatalf("group %d: %.3f rejected, want at most the %.3f without capacity",
					group.id, rejected[saturated], unplaced[saturated])
			}
		}
	}
}

// For any endpoints and demands, no more work is rejected than exceeds the capacity, part of each class is always
// admitted, requests to a group without endpoints are left to the balancer, and every rejection ends.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := NewAdmissionController(AdmissionConfig{}, rapid.Uint64().Draw(t, "seed"))
		now := time.Second
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			input := drawGroups(t)
			siteLost := rapid.Bool().Draw(t, "site lost")
			runUpdates(controller, &now, siteLost, input, 15*time.Second)
			shares := map[DemandKey]float64{}
			for _, rejected := range controller.RejectedShares() {
				shares[DemandKey{Class: rejected.Class, Group: rejected.Group}] = rejected.Share
				if rejected.Share > maxRejectedShare+1e-9 || rejected.Share <= 0 {
					t.Fatalf("rejection is %+v, want a share above 0 and at most maxRejectedShare", rejected)
				}
			}
			rejectsForever := !controller.AdmitsAll() && len(shares) > 0 && controller.NextUpdate() == 0
			if !siteLost && rejectsForever {
				t.Fatal("requests are rejected but no update is due, so the rejection never ends")
			}
			if siteLost {
				expectNoExcessiveRejection(t, input, shares)
			}
		}
		runUpdates(controller, &now, false, PlanInput{}, 15*time.Second)
		if !controller.AdmitsAll() {
			t.Fatalf("rejections are %v long after the loss has ended, want none", controller.RejectedShares())
		}
	})
}

// With the same seed and input, the same requests are rejected.
func TestAdmissionIsDeterministic(t *testing.T) {
	run := func() []time.Duration {
		controller := NewAdmissionController(AdmissionConfig{RetrySpread: time.Second}, 9)
		now := time.Second
		runUpdates(controller, &now, true, oneGroupInput(1, 2, 20, 20, 10), 5*time.Second)
		var retries []time.Duration
		for range 50 {
			for _, class := range []string{"low", "high", "write"} {
				_, retryAfter := controller.ShouldReject(DemandKey{Class: class, Group: 1})
				retries = append(retries, retryAfter)
			}
		}
		return retries
	}
	first := fmt.Sprint(run())
	second := fmt.Sprint(run())
	if first != second {
		t.Error(first, second)
	}
}

// A controller rejects exactly its share of many requests, even if that is more than half.
func TestAdmissionRejectsExactShare(t *testing.T) {
	controller := NewAdmissionController(AdmissionConfig{RetrySpread: time.Second}, 3)
	now := time.Second
	runUpdates(controller, &now, true, oneGroupInput(1, 2, 40, 20, 5), 10*time.Second)
	share := sharesByClass(controller)["low"]
	if share < 0.55 {
		t.Fatalf("share is %.2f, want at least 0.55", share)
	}
	const requests = 1000
	rejections := 0
	for range requests {
		if rejected, _ := controller.ShouldReject(DemandKey{Class: "low", Group: 1}); rejected {
			rejections++
		}
	}
	if math.Abs(float64(rejections)-requests*share) > 1 {
		t.Errorf("%d of %d requests are rejected, want %.1f", rejections, requests, requests*share)
	}
}
