package sitefailover

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// twoGroups returns a group that spans two sites, with its primary in n, and a group that is entirely in s.
func twoGroups() PlanInput {
	return PlanInput{
		Endpoints: []PlanEndpoint{
			{ID: "a", Site: "n", Group: 1, Primary: true, Available: true, Capacity: 3},
			{ID: "b", Site: "s", Group: 1, Available: true, Capacity: 3},
			{ID: "c", Site: "s", Group: 1, Available: true, Capacity: 3},
			{ID: "d", Site: "s", Group: 2, Primary: true, Available: true, Capacity: 3},
		},
		Demands: []Demand{
			{Class: "write", Group: 1, Rate: 20, Work: 0.1, PriorityWeight: 6, NeedsPrimary: true},
			{Class: "view", Group: 1, Rate: 40, Work: 0.1, PriorityWeight: 3},
			{Class: "history", Group: 1, Rate: 10, Work: 0.1, PriorityWeight: 1},
			{Class: "write", Group: 2, Rate: 1, Work: 0.1, PriorityWeight: 6, NeedsPrimary: true},
		},
	}
}

func expectNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// expectRejections checks the classes and groups of a plan's rejections, in order.
func expectRejections(t *testing.T, plan SiteLossPlan, want ...string) {
	t.Helper()
	var got []string
	for _, rejection := range plan.Rejections {
		got = append(got, fmt.Sprint(rejection.Class, " of ", rejection.Group))
	}
	if !slices.Equal(got, want) {
		t.Fatalf("rejections at the loss of %s are %q, want %q", plan.Site, got, want)
	}
}

// The plans match a manual calculation.
func TestPlanMatchesManualCalculation(t *testing.T) {
	plans := PlanLosses(twoGroups())
	if len(plans) != 2 || plans[0].Site != "n" || plans[1].Site != "s" {
		t.Fatalf("plans are %+v, want one for n and one for s", plans)
	}
	t.Run("loss of a site with replicas and a whole group", func(t *testing.T) { expectLossOfS(t, plans[1]) })
	t.Run("loss of a site with a primary", func(t *testing.T) { expectLossOfN(t, plans[0]) })
	t.Run("table", func(t *testing.T) {
		var out strings.Builder
		if err := WriteTable(&out, plans); err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{
			"none: wholly inside",
			"b (successor)",
			"refused 1.: bank 1 history at the primary, 98%, 9.8 a second",
		} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%q is missing in the table\n%s", want, out.String())
			}
		}
	})
}

// expectLossOfS checks the plan for the loss of s. Group 1 then has a capacity of 2.85 seconds of work per second for a
// demand of 7. Writes need 2 of it, and the reads with the highest weight get the rest.
func expectLossOfS(t *testing.T, plan SiteLossPlan) {
	t.Helper()
	if len(plan.Groups) != 2 {
		t.Fatalf("groups are %+v, want two", plan.Groups)
	}
	if group := plan.Groups[0]; group.LosesPrimary || group.NoEndpointLeft || group.Successor != "a" {
		t.Fatalf("group 1 is %+v, want it to keep the primary a", group)
	}
	if group := plan.Groups[1]; !group.NoEndpointLeft || group.Successor != "" {
		t.Fatalf("group 2 is %+v, want it without endpoints", group)
	}
	expectNear(t, "the primary's utilization", plan.Groups[0].PrimaryUtilization, 0.95)
	// 2% of the history requests (0.02) are served regardless of their weight. That leaves 2.85 - 2 - 0.02 = 0.83 for
	// views, which need 4.
	expectRejections(t, plan, "history of 1", "view of 1", "write of 2")
	if saturated := plan.Rejections[0].Saturated; saturated != "primary" {
		t.Fatalf("saturated resource is %q, want primary", saturated)
	}
	expectNear(t, "rejected history", plan.Rejections[0].Share, 0.98)
	expectNear(t, "rejected views", plan.Rejections[1].Share, 1-0.83/4)
	expectNear(t, "rejected writes of group 2", plan.Rejections[2].Share, 1)
	expectNear(t, "weight without the site", plan.RemainingWeightShare, (20*6+40*3*0.83/4+10*0.02)/(20*6+40*3+10+6))
	expectNear(t, "weight with all sites", plan.CurrentWeightShare, 1)
}

// expectLossOfN checks the plan for the loss of n. A replica of group 1 then succeeds its primary. For reads, with a
// demand of 5 seconds of work per second, the other replica has a capacity of 2.85, and the new primary has 0.85 left
// after the writes.
func expectLossOfN(t *testing.T, plan SiteLossPlan) {
	t.Helper()
	if len(plan.Groups) != 1 || !plan.Groups[0].LosesPrimary || plan.Groups[0].Successor != "b" {
		t.Fatalf("groups are %+v, want group 1 with the successor b", plan.Groups)
	}
	expectRejections(t, plan, "history of 1", "view of 1")
	expectNear(t, "rejected views", plan.Rejections[1].Share, 1-(2.85+0.85-0.02)/4)
	shifted := 0.0
	for _, shift := range plan.LoadShifts {
		if shift.FromEndpoint != "a" || shift.Group != 1 {
			t.Errorf("shift is %+v, want one from a in group 1", shift)
		}
		shifted += shift.Work
	}
	// Endpoint a did 2 seconds of work per second for writes. Endpoints b and c did 5 for reads with a capacity of 5.7,
	// and take over as much as fits.
	if shifted <= 0 || shifted > 2+1e-6 {
		t.Errorf("%v seconds of work per second shift, want more than 0 and at most 2", shifted)
	}
}

// Plans are also valid without endpoints, without zones, and for a site whose endpoints are all down.
func TestPlanWithoutEndpointsOrZones(t *testing.T) {
	t.Run("no endpoints", func(t *testing.T) {
		if plans := PlanLosses(PlanInput{}); len(plans) != 0 {
			t.Errorf("plans are %+v, want none", plans)
		}
		var out strings.Builder
		if err := WriteTable(&out, nil); err != nil || !strings.Contains(out.String(), "no sites") {
			t.Error(err, out.String())
		}
	})
	t.Run("without zones all endpoints are in one site", func(t *testing.T) {
		plans := PlanLosses(PlanInput{
			Endpoints: []PlanEndpoint{
				{ID: "a", Group: 1, Available: true, Capacity: 1},
				{ID: "b", Group: 1, Available: true, Capacity: 1},
			},
			Demands: []Demand{{Class: "x", Group: 1, Rate: 1, Work: 0.1, PriorityWeight: 1}},
		})
		if len(plans) != 1 || plans[0].Site != "" ||
			!plans[0].Groups[0].NoEndpointLeft || plans[0].RemainingWeightShare != 0 {
			t.Errorf("plans are %+v, want one for the site \"\" that leaves nothing", plans)
		}
	})
	t.Run("the loss of a site whose endpoints are down has no effect", func(t *testing.T) {
		plans := PlanLosses(PlanInput{Endpoints: []PlanEndpoint{
			{ID: "a", Site: "n", Group: 1, Available: true, Capacity: 1},
			{ID: "b", Site: "s", Group: 1, Capacity: 1},
		}})
		if len(plans) != 2 || plans[0].RemainingWeightShare != 1 || len(plans[1].Groups) != 0 {
			t.Errorf("plans are %+v, want two, with no groups for the loss of s", plans)
		}
	})
}

// drawPlanInput draws endpoints of up to three groups in up to three sites, with the demands for the groups.
func drawPlanInput(t *rapid.T) PlanInput {
	sites := []string{"n", "s", "w"}[:rapid.IntRange(1, 3).Draw(t, "sites")]
	var input PlanInput
	for group := range rapid.Int64Range(1, 3).Draw(t, "groups") {
		// All endpoints of a group have the same capacity. With a larger successor, more might be served after a loss.
		capacity := rapid.Float64Range(0, 8).Draw(t, "capacity")
		for i := range rapid.IntRange(1, 4).Draw(t, "endpoints") {
			input.Endpoints = append(input.Endpoints, PlanEndpoint{
				ID:        fmt.Sprint("m", group, i),
				Group:     group,
				Primary:   i == 0,
				Site:      rapid.SampledFrom(sites).Draw(t, "site"),
				Available: rapid.IntRange(0, 4).Draw(t, "available") > 0,
				Capacity:  capacity,
			})
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "classes") {
			input.Demands = append(input.Demands, Demand{
				Class:          fmt.Sprint("k", i),
				Group:          group,
				Rate:           rapid.Float64Range(0.1, 80).Draw(t, "rate"),
				Work:           rapid.Float64Range(0.01, 0.3).Draw(t, "work"),
				PriorityWeight: rapid.Float64Range(0, 6).Draw(t, "weight"),
				NeedsPrimary:   rapid.Bool().Draw(t, "needs primary"),
			})
		}
	}
	return input
}

// remainingCapacity computes the usable capacity of a group without a site, independently of the code under test. ok is
// false if no endpoint is left.
func remainingCapacity(input PlanInput, group int64, lostSite string) (primary, replicas float64, ok bool) {
	primaryID := ""
	for _, endpoint := range input.Endpoints {
		remains := endpoint.Group == group && endpoint.Available && endpoint.Site != lostSite
		if remains && (primaryID == "" || endpoint.Primary) {
			primaryID = endpoint.ID
		}
	}
	for _, endpoint := range input.Endpoints {
		switch {
		case endpoint.Group != group || !endpoint.Available || endpoint.Site == lostSite:
		case endpoint.ID == primaryID:
			primary = endpoint.Capacity * usableCapacity
		default:
			replicas += endpoint.Capacity * usableCapacity
		}
	}
	return primary, replicas, primaryID != ""
}

// rejectedShare returns the share of a demand that a plan rejects.
func rejectedShare(plan SiteLossPlan, demand Demand) float64 {
	for _, rejection := range plan.Rejections {
		if rejection.Group == demand.Group && rejection.Class == demand.Class {
			return rejection.Share
		}
	}
	return 0
}

// expectJustified checks that a rejection follows from the group's remaining capacity and the order of the weights.
func expectJustified(t *rapid.T, input PlanInput, plan SiteLossPlan, rejection Rejection) {
	index := slices.IndexFunc(input.Demands, func(demand Demand) bool {
		return demand.Group == rejection.Group && demand.Class == rejection.Class
	})
	rejected := input.Demands[index]
	if rejection.Share < 0 || rejection.Share > 1+1e-9 {
		t.Fatalf("rejection is %+v, want a share from 0 to 1", rejection)
	}
	if math.Abs(rejection.Rate-rejection.Share*rejected.Rate) > 1e-6 {
		t.Fatalf("rejection is %+v, want its rate to match its share", rejection)
	}
	primaryCapacity, replicaCapacity, ok := remainingCapacity(input, rejection.Group, plan.Site)
	if !ok {
		return
	}
	capacity := primaryCapacity + replicaCapacity
	used := 0.0
	usedByPrimaryDemands := 0.0
	for _, other := range input.Demands {
		if other.Group != rejection.Group {
			continue
		}
		servedShare := 1 - rejectedShare(plan, other)
		work := servedShare * other.Rate * other.Work
		used += work
		if other.NeedsPrimary {
			usedByPrimaryDemands += work
		}
		sameResource := other.NeedsPrimary == rejected.NeedsPrimary
		lessWeight := other.PriorityWeight/other.Work < rejected.PriorityWeight/rejected.Work
		if sameResource && lessWeight && servedShare > minServedShare+1e-6 {
			t.Fatalf("%s has less weight per second of work but a served share of %v while %s is rejected: %+v",
				other.Class, servedShare, rejected.Class, plan.Rejections)
		}
	}
	full := used >= capacity-1e-6
	primaryFull := usedByPrimaryDemands >= primaryCapacity-1e-6
	if rejected.NeedsPrimary {
		full = full || primaryFull
	}
	if !full {
		t.Fatalf("rejection is %+v though only %v of a capacity of %v is used", rejection, used, capacity)
	}
}

// For any endpoints and demands, nothing is rejected while there is capacity, no work is served beyond minServedShare
// while work with more weight is rejected at the same resource, and no more is served after a loss than before.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawPlanInput(t)
		for _, plan := range PlanLosses(input) {
			remaining, current := plan.RemainingWeightShare, plan.CurrentWeightShare
			if remaining < -1e-9 || remaining > current+1e-9 || current > 1+1e-9 {
				t.Fatalf("loss of %s: remaining share %v, current share %v; want 0 <= remaining <= current <= 1",
					plan.Site, plan.RemainingWeightShare, plan.CurrentWeightShare)
			}
			for _, rejection := range plan.Rejections {
				expectJustified(t, input, plan, rejection)
			}
		}
	})
}

// BenchmarkPlan plans for what one of 300 routers sees of 120 endpoints: 30 groups in 3 sites with 5 classes. That
// should take less than a millisecond.
func BenchmarkPlan(b *testing.B) {
	input := largePlanInput()
	b.ReportAllocs()
	for b.Loop() {
		PlanLosses(input)
	}
}

// BenchmarkAdmission measures an update of the admission controller with the same input, and the decision on one
// request.
func BenchmarkAdmission(b *testing.B) {
	input := largePlanInput()
	b.Run("update", func(b *testing.B) {
		controller := NewAdmissionController(AdmissionConfig{}, 1)
		now := time.Second
		b.ReportAllocs()
		for b.Loop() {
			controller.Update(now, true, func() PlanInput { return input })
			now += admissionInterval
		}
	})
	b.Run("request", func(b *testing.B) {
		controller := NewAdmissionController(AdmissionConfig{}, 1)
		now := time.Second
		for i := range input.Endpoints {
			input.Endpoints[i].Capacity /= 4
		}
		runUpdates(controller, &now, true, input, 10*time.Second)
		if len(controller.RejectedShares()) == 0 {
			b.Fatal("nothing is rejected, want some rejected shares")
		}
		b.ReportAllocs()
		for b.Loop() {
			controller.ShouldReject(DemandKey{Class: "k1", Group: 7})
		}
	})
}

// largePlanInput returns what one of 300 routers sees of 120 endpoints.
func largePlanInput() PlanInput {
	var input PlanInput
	sites := []string{"n", "s", "w"}
	for group := range 30 {
		for i := range 4 {
			input.Endpoints = append(input.Endpoints, PlanEndpoint{
				ID:        fmt.Sprint("m", group, i),
				Group:     int64(group),
				Primary:   i == 0,
				Site:      sites[(group+i)%3],
				Available: true,
				Capacity:  0.01,
			})
		}
		for i := range 5 {
			input.Demands = append(input.Demands, Demand{
				Class:          fmt.Sprint("k", i),
				Group:          int64(group),
				Rate:           0.05,
				Work:           0.1,
				PriorityWeight: float64(i),
				NeedsPrimary:   i == 0,
			})
		}
	}
	return input
}
