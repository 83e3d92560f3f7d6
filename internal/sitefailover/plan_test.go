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

// two is a bank over two sites with its primary in n, and one wholly inside s.
func two() PlanInput {
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

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s is %v, not %v", what, got, want)
	}
}

// By hand: with s lost, 2.85 s of work a second are left in bank 1 for 7; writes need 2 of it, reads of most worth the rest.
func TestPlanByHand(t *testing.T) {
	plans := PlanLosses(two())
	if len(plans) != 2 || plans[0].Site != "n" || plans[1].Site != "s" {
		t.Fatalf("%+v", plans)
	}
	s := plans[1]
	if len(s.Groups) != 2 || s.Groups[0].LosesPrimary || s.Groups[0].NoneLeft || s.Groups[0].Successor != "a" || !s.Groups[1].NoneLeft || s.Groups[1].Successor != "" {
		t.Fatalf("%+v", s.Groups)
	}
	near(t, "the primary's use", s.Groups[0].PrimaryUtilization, 0.95)
	// 2 % of history (0.02) go through whatever they are worth; views have 2.85 - 2 - 0.02 = 0.83 of 4.
	if len(s.Rejections) != 3 || s.Rejections[0].Class != "history" || s.Rejections[1].Class != "view" || s.Rejections[2].Group != 2 || s.Rejections[0].Saturated != "primary" {
		t.Fatalf("%+v", s.Rejections)
	}
	near(t, "history refused", s.Rejections[0].Share, 0.98)
	near(t, "views refused", s.Rejections[1].Share, 1-0.83/4)
	near(t, "writes of bank 2 refused", s.Rejections[2].Share, 1)
	near(t, "worth kept", s.WeightKept, (20*6+40*3*0.83/4+10*0.02)/(20*6+40*3+10+6))
	near(t, "worth now", s.WeightServed, 1)

	n := plans[0] // its loss takes the primary: a replica leads, the other one has 2.85 for 5 of reads, the new primary 0.85 beside its writes
	if b := n.Groups[0]; len(n.Groups) != 1 || !b.LosesPrimary || b.Successor != "b" {
		t.Fatalf("%+v", n.Groups)
	}
	if len(n.Rejections) != 2 || n.Rejections[0].Class != "history" || n.Rejections[1].Class != "view" {
		t.Fatalf("%+v", n.Rejections)
	}
	near(t, "views refused", n.Rejections[1].Share, 1-(2.85+0.85-0.02)/4)
	moved := 0.0
	for _, m := range n.LoadShifts {
		if m.From != "a" || m.Group != 1 {
			t.Errorf("%+v", m)
		}
		moved += m.Work
	}
	// What a did, 2 of writes: b and c were busy with 5 of reads at 5.7, and take what fits.
	if moved <= 0 || moved > 2+1e-6 {
		t.Errorf("%v of work moves", moved)
	}
	var out strings.Builder
	if err := WriteTable(&out, plans); err != nil || !strings.Contains(out.String(), "none: wholly inside") || !strings.Contains(out.String(), "b (successor)") || !strings.Contains(out.String(), "refused 1.: bank 1 history at the primary, 98%, 9.8 a second") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// Without sites, machines or demand there is a plan too: of nothing.
func TestPlansOfNothing(t *testing.T) {
	if p := PlanLosses(PlanInput{}); len(p) != 0 {
		t.Errorf("%+v", p)
	}
	var out strings.Builder
	if WriteTable(&out, nil); !strings.Contains(out.String(), "no sites") {
		t.Error(out.String())
	}
	p := PlanLosses(PlanInput{Endpoints: []PlanEndpoint{{ID: "a", Group: 1, Available: true, Capacity: 1}, {ID: "b", Group: 1, Available: true, Capacity: 1}}, Demands: []Demand{{Class: "x", Group: 1, Rate: 1, Work: 0.1, PriorityWeight: 1}}})
	if len(p) != 1 || p[0].Site != "" || !p[0].Groups[0].NoneLeft || p[0].WeightKept != 0 {
		t.Errorf("without zones all stand in one site: %+v", p)
	}
	p = PlanLosses(PlanInput{Endpoints: []PlanEndpoint{{ID: "a", Site: "n", Group: 1, Available: true, Capacity: 1}, {ID: "b", Site: "s", Group: 1, Capacity: 1}}})
	if len(p) != 2 || p[0].WeightKept != 1 || len(p[1].Groups) != 0 {
		t.Errorf("a site whose machines are down already has nothing to lose: %+v", p)
	}
}

// Whatever is asked of whatever fleet: nothing is refused where there is room, nothing of less worth for its work is carried while more is
// refused at the same place, none but what can't be carried at all is wholly starved, and a loss keeps no more than there was.
func TestPlansRefuseNoMoreThanNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"n", "s", "w"}[:rapid.IntRange(1, 3).Draw(t, "sites")]
		var in PlanInput
		banks := rapid.IntRange(1, 3).Draw(t, "banks")
		for b := range banks {
			carry := rapid.Float64Range(0, 8).Draw(t, "carry") // of each member: where a stronger one follows a loss may keep more
			for i := range rapid.IntRange(1, 4).Draw(t, "members") {
				in.Endpoints = append(in.Endpoints, PlanEndpoint{
					ID: fmt.Sprint("m", b, i), Group: int64(b), Primary: i == 0, Site: rapid.SampledFrom(names).Draw(t, "site"),
					Available: rapid.IntRange(0, 4).Draw(t, "up") > 0, Capacity: carry,
				})
			}
			for k := range rapid.IntRange(0, 4).Draw(t, "classes") {
				in.Demands = append(in.Demands, Demand{
					Class: fmt.Sprint("k", k), Group: int64(b), Rate: rapid.Float64Range(0.1, 80).Draw(t, "rate"), Work: rapid.Float64Range(0.01, 0.3).Draw(t, "work"),
					PriorityWeight: rapid.Float64Range(0, 6).Draw(t, "worth"), NeedsPrimary: rapid.Bool().Draw(t, "strong"),
				})
			}
		}
		for _, l := range PlanLosses(in) {
			if l.WeightKept < -1e-9 || l.WeightKept > l.WeightServed+1e-9 || l.WeightServed > 1+1e-9 {
				t.Fatalf("%s keeps %v of %v", l.Site, l.WeightKept, l.WeightServed)
			}
			for _, r := range l.Rejections {
				i := slices.IndexFunc(in.Demands, func(d Demand) bool { return d.Group == r.Group && d.Class == r.Class })
				d := in.Demands[i]
				lead, capR, used := "", 0.0, 0.0
				for _, x := range in.Endpoints {
					if x.Group == r.Group && x.Available && x.Site != l.Site && (lead == "" || x.Primary) {
						lead = x.ID
					}
				}
				capP := 0.0
				for _, x := range in.Endpoints {
					switch {
					case x.Group != r.Group || !x.Available || x.Site == l.Site:
					case x.ID == lead:
						capP = x.Capacity * usableCapacity
					default:
						capR += x.Capacity * usableCapacity
					}
				}
				if r.Share < 0 || r.Share > 1+1e-9 || math.Abs(r.Rate-r.Share*d.Rate) > 1e-6 {
					t.Fatalf("%+v", r)
				}
				if lead == "" {
					continue
				}
				strong := 0.0
				for _, o := range in.Demands {
					if o.Group != r.Group {
						continue
					}
					share := 0.0
					for _, q := range l.Rejections {
						if q.Group == o.Group && q.Class == o.Class {
							share = q.Share
						}
					}
					done := (1 - share) * o.Rate * o.Work
					if used += done; o.NeedsPrimary {
						strong += done
					}
					if o.NeedsPrimary == d.NeedsPrimary && o.PriorityWeight/o.Work < d.PriorityWeight/d.Work && 1-share > probeShare+1e-6 {
						t.Fatalf("%s is carried to %v while %s is refused: %+v", o.Class, 1-share, d.Class, l.Rejections)
					}
				}
				// Where something is refused the place is full.
				if d.NeedsPrimary && strong < capP-1e-6 && used < capP+capR-1e-6 || !d.NeedsPrimary && used < capP+capR-1e-6 {
					t.Fatalf("%+v is refused at %v of %v", r, used, capP+capR)
				}
			}
		}
	})
}

// The view that one of 300 routers has of 120 machines, 30 banks in 3 sites with 5 classes, is planned in under a millisecond.
func BenchmarkPlan(b *testing.B) {
	in := large()
	b.ReportAllocs()
	for b.Loop() {
		PlanLosses(in)
	}
}

// A look of the door at the same, and one request at it.
func BenchmarkDoor(b *testing.B) {
	in := large()
	b.Run("look", func(b *testing.B) {
		d, at := NewAdmissionController(AdmissionConfig{}, 1), time.Second
		b.ReportAllocs()
		for b.Loop() {
			d.Update(at, true, func() PlanInput { return in })
			at += admissionInterval
		}
	})
	b.Run("ask", func(b *testing.B) {
		d, at := NewAdmissionController(AdmissionConfig{}, 1), time.Second
		for i := range in.Endpoints {
			in.Endpoints[i].Capacity /= 4
		}
		steady(d, &at, true, in, 10*time.Second)
		if len(d.RejectedShares()) == 0 {
			b.Fatal("nothing is refused")
		}
		b.ReportAllocs()
		for b.Loop() {
			d.ShouldReject(DemandKey{Class: "k1", Group: 7})
		}
	})
}

// large is the view that one of 300 routers has of 120 machines.
func large() (in PlanInput) {
	for bank := range 30 {
		for i := range 4 {
			in.Endpoints = append(in.Endpoints, PlanEndpoint{ID: fmt.Sprint("m", bank, i), Group: int64(bank), Primary: i == 0, Site: []string{"n", "s", "w"}[(bank+i)%3], Available: true, Capacity: 0.01})
		}
		for k := range 5 {
			in.Demands = append(in.Demands, Demand{Class: fmt.Sprint("k", k), Group: int64(bank), Rate: 0.05, Work: 0.1, PriorityWeight: float64(k), NeedsPrimary: k == 0})
		}
	}
	return in
}
