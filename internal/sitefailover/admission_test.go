package sitefailover

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// left is a bank of a primary and replicas that can each do carry, asked for reads of two worths and writes.
func left(carry float64, up int, cheap, dear, writes float64) PlanInput {
	in := PlanInput{}
	for i := range up {
		in.Endpoints = append(in.Endpoints, PlanEndpoint{ID: fmt.Sprint("m", i), Site: "n", Group: 1, Primary: i == 0, Available: true, Capacity: carry})
	}
	in.Demands = []Demand{{"cheap", 1, cheap, 0.1, 1, false}, {"dear", 1, dear, 0.1, 3, false}, {"write", 1, writes, 0.1, 6, true}}
	return in
}

// steady lets a door look for so long.
func steady(d *AdmissionController, at *time.Duration, troubled bool, in PlanInput, length time.Duration) {
	for end := *at + length; *at < end; *at += admissionInterval {
		d.Update(*at, troubled, func() PlanInput { return in })
	}
}

func parts(d *AdmissionController) map[string]float64 {
	out := map[string]float64{}
	for _, s := range d.RejectedShares() {
		out[s.Class] = s.Share
	}
	return out
}

// What is refused is the cheapest, as much as has surely no place, by rising shares; no class bears all, and all of it ends, one step after
// the other, once the site is well.
func TestDoorRefusesTheCheapestFirst(t *testing.T) {
	d, at := NewAdmissionController(AdmissionConfig{RetrySpread: 2 * sec}, 1), sec
	// 6 seconds of work a second where 3.8 can be done: 2.2 too much, less 15 percent that the plan may be off by.
	in := left(2, 2, 20, 20, 10)
	in.Demands[2].Rate = 20
	d.Update(at, true, func() PlanInput { return in })
	if got := parts(d); got["cheap"] > maxShareIncrease+1e-9 {
		t.Errorf("at once: %v", got)
	}
	at += admissionInterval
	steady(d, &at, true, in, 10*sec)
	got := parts(d)
	refused := 0.1 * (20*got["cheap"] + 20*got["dear"] + 20*got["write"])
	if got["cheap"] < 0.6 || got["dear"] > got["cheap"] || got["write"] > 0.1 || refused > 2.2 || refused < 1 {
		t.Errorf("%v, %.2f of work", got, refused)
	}
	before := got["cheap"]
	steady(d, &at, true, left(20, 2, 20, 20, 10), admissionInterval)
	if now := parts(d)["cheap"]; now < before-maxShareDecrease-1e-9 || now >= before {
		t.Errorf("from %.2f to %.2f in a tick", before, now)
	}
	steady(d, &at, false, PlanInput{}, 20*sec)
	if !d.AdmitsAll() || len(d.RejectedShares()) > 0 || d.NextUpdate() != 0 {
		t.Errorf("still shut: %v", d.RejectedShares())
	}
	if refused, _ := d.ShouldReject(DemandKey{"cheap", 1}); refused {
		t.Error("refused at an open door")
	}
}

// Routers that know nothing of each other refuse together what each share says, however few requests each of them sees, and tell times to
// come back that are apart.
func TestDoorsTogetherRefuseTheirShare(t *testing.T) {
	const routers, each = 300, 3
	refused, want := 0, 0.0
	after := map[time.Duration]int{}
	for seed := range uint64(routers) {
		d, at := NewAdmissionController(AdmissionConfig{RetrySpread: 2 * sec}, seed), sec
		steady(d, &at, true, left(2, 2, 20, 20, 10), 10*sec)
		want = parts(d)["cheap"]
		for range each {
			if is, wait := d.ShouldReject(DemandKey{"cheap", 1}); is {
				refused++
				after[wait.Round(100*time.Millisecond)]++
				if wait < sec || wait > 2*sec {
					t.Fatalf("come again after %v", wait)
				}
			}
		}
	}
	if got := float64(refused) / (routers * each); want < 0.2 || math.Abs(got-want) > 0.04 {
		t.Errorf("%.3f of all is refused, %.3f wanted", got, want)
	}
	for at, n := range after {
		if n > refused/4 {
			t.Errorf("%d of %d come back after %v", n, refused, at)
		}
	}
}

// Whatever is there and asked for: never more is refused than has no place, in the order of worth for work with no class over its bound,
// always something of each is let in, a bank without anyone is left to the module, and every refusal ends.
func TestDoorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, at := NewAdmissionController(AdmissionConfig{}, rapid.Uint64().Draw(t, "seed")), sec
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			in := PlanInput{}
			for b := range rapid.IntRange(1, 3).Draw(t, "banks") {
				for i := range rapid.IntRange(0, 4).Draw(t, "members") {
					in.Endpoints = append(in.Endpoints, PlanEndpoint{ID: fmt.Sprint(b, i), Site: "n", Group: int64(b), Primary: i == 0, Available: rapid.Bool().Draw(t, "up"), Capacity: rapid.Float64Range(0, 5).Draw(t, "carry")})
				}
				for i := range rapid.IntRange(0, 4).Draw(t, "classes") {
					in.Demands = append(in.Demands, Demand{fmt.Sprint("c", i), int64(b), rapid.Float64Range(0, 100).Draw(t, "rate"), rapid.Float64Range(0.001, 2).Draw(t, "work"), rapid.Float64Range(0, 10).Draw(t, "worth"), i == 0})
				}
			}
			troubled := rapid.Bool().Draw(t, "troubled")
			steady(d, &at, troubled, in, 15*sec)
			share := map[DemandKey]float64{}
			for _, s := range d.RejectedShares() {
				share[DemandKey{s.Class, s.Group}] = s.Share
				if s.Share > maxRejectedShare+1e-9 || s.Share <= 0 {
					t.Fatalf("%+v", s)
				}
			}
			if !troubled && !d.AdmitsAll() && len(share) > 0 && d.NextUpdate() == 0 {
				t.Fatal("shut for ever")
			}
			for _, b := range collectGroups(in) {
				c := b.allocate("")
				var over, refused [2]float64
				for i, x := range b.demands {
					w := x.resource()
					over[w] += (1 - c.served[i]) * x.Rate * x.Work
					refused[w] += share[DemandKey{x.Class, b.id}] * x.Rate * x.Work
				}
				for w := range over {
					if troubled && (c.primary == nil && refused[w] > 0 || refused[w] > over[w]+1e-6) {
						t.Fatalf("bank %d: %.3f refused, %.3f too much", b.id, refused[w], over[w])
					}
				}
			}
		}
		steady(d, &at, false, PlanInput{}, 15*sec)
		if !d.AdmitsAll() {
			t.Fatalf("does not end: %v", d.RejectedShares())
		}
	})
}

// The same seed and input refuse the same.
func TestDoorIsDetermined(t *testing.T) {
	play := func() (out []time.Duration) {
		d, at := NewAdmissionController(AdmissionConfig{RetrySpread: sec}, 9), sec
		steady(d, &at, true, left(1, 2, 20, 20, 10), 5*sec)
		for range 50 {
			for _, c := range []string{"cheap", "dear", "write"} {
				_, after := d.ShouldReject(DemandKey{c, 1})
				out = append(out, after)
			}
		}
		return out
	}
	if a, b := fmt.Sprint(play()), fmt.Sprint(play()); a != b {
		t.Error(a, b)
	}
}

// A first return is not paced; one that goes again as it comes back is, the slower the more often, is taken back at a relapse, and reaches
// all of it in the end. What operators say binds beside that, and ends by itself.
func TestRamp(t *testing.T) {
	r, at := NewRecoveryRamp(RecoveryRampConfig{InitialShare: 0.2, Duration: 8 * sec}), sec
	r.SiteStateChanged(at, "s", SiteLost, 0)
	r.SiteStateChanged(at, "s", SiteRecovering, 0)
	if got, due := r.Update(at); len(got) > 0 || due > 0 {
		t.Fatalf("a first return is paced: %v %v", got, due)
	}
	length := func(flaps int, bad func(step int) bool) (steps int, least float64) {
		r := NewRecoveryRamp(RecoveryRampConfig{InitialShare: 0.2, Duration: 8 * sec})
		r.SiteStateChanged(at, "s", SiteLost, flaps)
		r.SiteStateChanged(at, "s", SiteRecovering, flaps)
		least = 1
		now := at
		for steps = 0; steps < 400; steps++ {
			for range 10 {
				r.RecordOutcome("s", bad(steps))
				r.RecordOutcome("elsewhere", true)
			}
			paced, due := r.Update(now)
			for _, p := range paced {
				least = min(least, p.Share)
				if p.Share == 1 {
					return steps, least
				}
			}
			if due <= now {
				t.Fatalf("due at %v, now %v", due, now)
			}
			now = due
		}
		return steps, least
	}
	never := func(int) bool { return false }
	once, first := length(1, never)
	twice, second := length(2, never)
	back, third := length(1, func(s int) bool { return s == 4 })
	if once < 6 || twice < once || second >= first || back <= once || third > first {
		t.Errorf("%d steps from %.2f, %d from %.2f, %d from %.2f with a relapse", once, first, twice, second, back, third)
	}
	if always, _ := length(1, func(int) bool { return true }); always < 400 {
		t.Errorf("back after %d steps though all fails", always)
	}
	r.SetLimit(RampLimit{"s", 0, at + 3*sec})
	got, due := r.Update(at)
	if len(got) != 1 || got[0].Share != 0 || due != at+3*sec || len(r.Ramps()) != 1 {
		t.Errorf("%v %v", got, due)
	}
	if got, due = r.Update(due); len(got) != 1 || got[0].Share != 1 || due != 0 || len(r.Ramps()) != 0 {
		t.Errorf("%v %v", got, due)
	}
}

// Machines' power shows in what they do for this router beside how busy they are with all of them, however noisy single reports are, and
// though the router sends to some of them only.
func TestUses(t *testing.T) {
	var u UtilizationTracker
	if _, told := u.FairCapacity(); told {
		t.Error("known before any report")
	}
	for i := range 60 {
		// Two routers alike: each sends to one machine only. A machine can do 1, half of it for each router.
		u.Record("near", 0.3, 0.3+0.25*math.Sin(float64(i)))
		u.Record("far", 0, 0.3+0.25*math.Cos(float64(i)))
	}
	if got, told := u.FairCapacity(); !told || math.Abs(got-0.5) > 0.06 {
		t.Errorf("%.2f %v", got, told)
	}
	u.Retain(func(id string) bool { return id == "near" })
	if len(u.endpoints) != 1 {
		t.Errorf("%d kept", len(u.endpoints))
	}
	for i := range 2 * maxTrackedEndpoints {
		u.Record(fmt.Sprint(i), 1, 1)
	}
	if len(u.endpoints) > maxTrackedEndpoints {
		t.Errorf("%d kept", len(u.endpoints))
	}
	var idle UtilizationTracker
	for range 60 {
		idle.Record("m", 0.001, 0.001)
	}
	if _, told := idle.FairCapacity(); told {
		t.Error("idle machines tell nothing of their power")
	}
}
