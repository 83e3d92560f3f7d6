package sitefailover

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func config(own string) Config {
	return Config{OwnSite: own, EvidenceWindow: 2 * time.Second, SuspicionTime: 500 * ms, SettleTime: 4 * time.Second, MaxEndpoints: 500}
}

// world drives a Model: in each step every machine that can answers, the others fail.
type world struct {
	t     *testing.T
	m     *Monitor
	now   time.Duration
	ids   []string
	site  map[string]string
	bad   map[string]Failure
	seen  []StateChanged
	extra []Event
}

// newWorld has banks of one machine in each site, the primary of bank n in site n.
func newWorld(t *testing.T, own string, banks int, names ...string) *world {
	w := &world{t: t, m: New(config(own)), now: 100 * time.Second, site: map[string]string{}, bad: map[string]Failure{}}
	var events []Event
	for b := range banks {
		for _, s := range names {
			id := fmt.Sprintf("%s%d", s, b)
			w.ids, w.site[id] = append(w.ids, id), s
			events = append(events, EndpointListed{Endpoint: id, Site: s, Group: int64(b)})
		}
		events = append(events, PrimaryObserved{Group: int64(b), Endpoint: fmt.Sprintf("%s%d", names[b%len(names)], b)})
	}
	w.step(0, events...)
	return w
}

func (w *world) step(d time.Duration, events ...Event) {
	w.now += d
	for _, a := range w.m.Step(w.now, events) {
		switch a := a.(type) {
		case StateChanged:
			w.seen = append(w.seen, a)
		case Wake:
			if a.At <= w.now {
				w.t.Fatalf("it wants to be woken at %v, now is %v", a.At, w.now)
			}
		}
	}
}

// run lets time pass, with a word of each machine every 50 ms.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		var events []Event
		for _, id := range w.ids {
			if why, bad := w.bad[id]; bad {
				events = append(events, AttemptFailed{id, why})
			} else {
				events = append(events, EndpointAnswered{id})
			}
		}
		w.step(50*ms, append(events, w.extra...)...)
	}
}

// lose lets all of a site fail, back lets it answer.
func (w *world) lose(site string, why Failure) {
	for _, id := range w.ids {
		if w.site[id] == site {
			w.bad[id] = why
		}
	}
}

func (w *world) back(site string) {
	for _, id := range w.ids {
		if w.site[id] == site {
			delete(w.bad, id)
		}
	}
}

func (w *world) is(site string, want SiteState, kind FaultKind) {
	w.t.Helper()
	for _, v := range w.m.Views() {
		if v.Site == site {
			if v.State != want || v.Kind != kind {
				w.t.Fatalf("%s is %v (%v), not %v (%v): %s", site, v.State, v.Kind, want, kind, v.Evidence)
			}
			return
		}
	}
	w.t.Fatalf("no site %s", site)
}

// A site that is lost is suspected at once, lost once it lasts, and comes back by way of returning and settled.
func TestSiteIsLostAndReturns(t *testing.T) {
	for _, why := range []Failure{FailureRefused, FailureReset, FailureTimeout} {
		w := newWorld(t, "n", 4, "n", "s", "w")
		w.run(3 * time.Second)
		w.lose("s", why)
		w.run(200 * ms)
		w.is("s", SiteSuspected, FaultSiteLost)
		w.run(600 * ms)
		w.is("s", SiteLost, FaultSiteLost)
		w.is("w", SiteHealthy, FaultUnclear)
		if e := w.seen[len(w.seen)-1].Evidence; !strings.Contains(e, "4 of 4 known machines down (4 ") || !strings.Contains(e, "0 of 8 elsewhere") {
			t.Errorf("%q", e)
		}
		w.run(20 * time.Second)
		w.back("s")
		w.run(200 * ms)
		w.is("s", SiteRecovering, FaultSiteLost)
		w.run(5 * time.Second)
		w.is("s", SiteSettled, FaultSiteLost)
		w.run(5 * time.Second)
		w.is("s", SiteHealthy, FaultUnclear)
		if len(w.seen) != 5 {
			t.Errorf("%v", w.seen)
		}
	}
}

// What is no loss of a site is not taken for one: one bank's trouble, a fault that all sites share, a deploy that takes half a site out,
// a few bad machines, one break on each connection, a list that falls silent.
func TestWhatIsNoLoss(t *testing.T) {
	for name, befall := range map[string]func(w *world){
		"one bank": func(w *world) {
			for _, id := range w.ids {
				if strings.HasSuffix(id, "0") {
					w.bad[id] = FailureTimeout
				}
			}
		},
		"a shared slowdown": func(w *world) {
			for i, id := range w.ids {
				if i%2 == 0 {
					w.bad[id] = FailureTimeout
				}
			}
		},
		"a deploy": func(w *world) {
			for _, id := range []string{"s0", "s1", "s2"} {
				w.step(ms, EndpointListed{Endpoint: id, Site: "s", Group: 0, State: EndpointDraining})
				w.bad[id] = FailureRefused
			}
			w.step(ms, EndpointListed{Endpoint: "s0", Site: "s", State: EndpointRemoved})
		},
		"two of four": func(w *world) { w.bad["s1"], w.bad["s2"] = FailureRefused, FailureTimeout },
		"one break each": func(w *world) {
			for _, id := range w.ids {
				if w.site[id] == "s" {
					w.step(ms, AttemptFailed{id, FailureReset})
				}
			}
		},
		"nothing is heard": func(w *world) { w.ids = nil },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "n", 4, "n", "s", "w")
			w.run(3 * time.Second)
			befall(w)
			w.run(10 * time.Second)
			for _, c := range w.seen {
				if c.To == SiteLost {
					t.Fatalf("%+v", c)
				}
			}
			for _, v := range w.m.Views() {
				if v.State != SiteHealthy {
					t.Errorf("%s stays %v", v.Site, v.State)
				}
			}
		})
	}
}

// A suspicion that nothing more speaks for ends by itself.
func TestSuspicionEnds(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.lose("s", FailureTimeout)
	w.run(150 * ms)
	w.is("s", SiteSuspected, FaultSiteLost)
	w.back("s")
	w.run(100 * ms)
	w.is("s", SiteHealthy, FaultUnclear)
}

// A router that is cut off from a site that lives can tell: the site's banks go on committing. One that reaches no other site is alone.
func TestCutOffAndAlone(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.lose("s", FailureTimeout)
	w.run(2 * time.Second)
	w.is("s", SiteLost, FaultSiteLost)
	w.step(ms, ReplicaApplied{Endpoint: "n1", Position: w.now})
	w.is("s", SiteLost, FaultPartitioned)

	// What is committed much later may be a successor's: it says nothing of the old primary.
	w = newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.lose("s", FailureRefused)
	w.run(4 * time.Second)
	w.step(ms, ReplicaApplied{Endpoint: "n1", Position: w.now})
	w.is("s", SiteLost, FaultSiteLost)

	w = newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.lose("s", FailureTimeout)
	w.lose("w", FailureTimeout)
	w.run(2 * time.Second)
	w.is("s", SiteLost, FaultIsolated)
	w.is("w", SiteLost, FaultIsolated)
	w.is("n", SiteHealthy, FaultUnclear)

	// Of two sites one can't tell whose side the fault is on; the list can.
	w = newWorld(t, "n", 4, "n", "s")
	w.run(3 * time.Second)
	w.lose("s", FailureTimeout)
	w.run(2 * time.Second)
	w.is("s", SiteLost, FaultUnclear)
	for i := range 3 {
		w.step(ms, EndpointListed{Endpoint: fmt.Sprint("s", i), Site: "s", Group: int64(i), State: EndpointRemoved})
	}
	w.is("s", SiteLost, FaultDelisted)
}

// The second site is lost while the first one returns, and half of it.
func TestSecondSiteWhileTheFirstReturns(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.lose("s", FailureRefused)
	w.run(2 * time.Second)
	w.back("s")
	w.run(500 * ms)
	w.is("s", SiteRecovering, FaultSiteLost)
	w.lose("w", FailureTimeout)
	w.run(2 * time.Second)
	w.is("w", SiteLost, FaultSiteLost)
	w.is("s", SiteRecovering, FaultSiteLost)
	w.run(5 * time.Second)
	w.is("s", SiteSettled, FaultSiteLost)
}

// A site that flaps has to answer for longer each time before it is taken back, up to a bound.
func TestFlappingWaitsLonger(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	var lost []time.Duration
	for range 9 {
		w.lose("s", FailureRefused)
		w.run(1500 * ms)
		at := w.now
		w.back("s")
		for w.run(50 * ms); ; w.run(50 * ms) {
			if v := w.m.Views()[1]; v.State == SiteRecovering {
				break
			}
			if w.now-at > time.Minute {
				t.Fatal("it never returns")
			}
		}
		lost = append(lost, w.now-at)
		w.run(1500 * ms)
	}
	if lost[0] > 200*ms || lost[5] < 5*time.Second || lost[8] > lost[7]+200*ms {
		t.Errorf("%v", lost)
	}
	w.run(10 * time.Minute)
	w.is("s", SiteHealthy, FaultUnclear)
}

// Machines that come back under new ids are the site's return.
func TestReturnUnderNewIDs(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.lose("s", FailureTimeout)
	w.run(2 * time.Second)
	var ids []string
	for _, id := range w.ids {
		if w.site[id] != "s" {
			ids = append(ids, id)
		}
	}
	for i := range 4 {
		id := fmt.Sprint("new", i)
		ids, w.site[id] = append(ids, id), "s"
		w.step(ms, EndpointListed{Endpoint: id, Site: "s", Group: int64(i)})
	}
	w.ids = ids
	w.step(ms, EndpointListComplete{Endpoints: ids})
	w.run(time.Second)
	for i := range 4 { // the old ones are off the list for good
		w.step(ms, EndpointListed{Endpoint: fmt.Sprint("s", i), Site: "s", Group: int64(i), State: EndpointDraining})
	}
	w.run(20 * time.Second)
	w.is("s", SiteHealthy, FaultUnclear)
}

// What operators declare holds until its time; a site that nobody knows is nothing.
func TestDeclared(t *testing.T) {
	w := newWorld(t, "n", 4, "n", "s", "w")
	w.run(3 * time.Second)
	w.step(ms, DeclareLost{Site: "s", Until: w.now + 5*time.Second}, DeclareLost{Site: "nowhere", Until: w.now + time.Hour})
	if c := w.seen[len(w.seen)-1]; c.To != SiteLost || !strings.HasPrefix(c.Evidence, "declared by an operator") {
		t.Fatalf("%+v", c)
	}
	w.run(4 * time.Second)
	if v := w.m.Views(); v[1].State != SiteLost || len(v) != 3 {
		t.Fatalf("%+v", v)
	}
	w.run(20 * time.Second)
	w.is("s", SiteHealthy, FaultUnclear)
}

// Whatever happens, a site is in a state with an exit: once all answer for long it is well, whatever came before; what is followed is
// bounded; and a list of nothing leaves nothing.
func TestEveryStateHasAnExit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config(rapid.SampledFrom([]string{"", "n", "s"}).Draw(t, "own"))
		cfg.MaxEndpoints = 9
		m := New(cfg)
		now := 50 * time.Second
		names := []string{"n", "s", "w"}
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("m", rapid.IntRange(0, 11).Draw(t, "m")) })
		last := map[string]SiteState{}
		step := func(events ...Event) {
			for _, a := range m.Step(now, events) {
				if c, ok := a.(StateChanged); ok {
					if last[c.Site] != c.From || c.From == c.To {
						t.Fatalf("%+v, it was %v", c, last[c.Site])
					}
					last[c.Site] = c.To
				}
			}
			for s := range last {
				if m.sites[s] == nil {
					delete(last, s)
				}
			}
			if len(m.endpoints) > cfg.MaxEndpoints {
				t.Fatalf("%d machines", len(m.endpoints))
			}
		}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			var e Event
			switch rapid.IntRange(0, 7).Draw(t, "kind") {
			case 0, 1:
				e = EndpointListed{Endpoint: id.Draw(t, "id"), Site: rapid.SampledFrom(names).Draw(t, "site"), Group: rapid.Int64Range(0, 3).Draw(t, "bank"), State: EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))}
			case 2:
				e = EndpointAnswered{id.Draw(t, "id")}
			case 3, 4:
				e = AttemptFailed{id.Draw(t, "id"), Failure(rapid.IntRange(0, 2).Draw(t, "why"))}
			case 5:
				e = ReplicaApplied{Endpoint: id.Draw(t, "id"), Position: now}
			case 6:
				e = DeclareLost{Site: rapid.SampledFrom(names).Draw(t, "site"), Until: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "until"))*time.Second}
			default:
				e = EndpointListComplete{Endpoints: rapid.SliceOfN(id, 0, 6).Draw(t, "whole")}
			}
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * ms
			step(e)
		}
		for range 2 { // all answer, for longer than the longest wait
			for end := now + 5*time.Minute; now < end; now += 500 * ms {
				var events []Event
				for id, x := range m.endpoints {
					if x.delisted {
						events = append(events, EndpointListed{Endpoint: id, Site: x.site, Group: x.group})
					}
					events = append(events, EndpointAnswered{id})
				}
				step(events...)
			}
		}
		for _, v := range m.Views() {
			if v.State != SiteHealthy {
				t.Fatalf("%s stays %v", v.Site, v.State)
			}
		}
		step(EndpointListComplete{})
		if len(m.endpoints) > 0 || len(m.sites) > 0 {
			t.Fatal("something is left of an empty list")
		}
	})
}

// A site that comes back with other machines is returning, whichever way round the list tells of old and new ones, and stays so: those that
// are gone for good don't speak against it.
func TestNewIDsTakeThePlaceOfOldOnes(t *testing.T) {
	for name, newFirst := range map[string]bool{"new ones first": true, "old ones first": false} {
		w := newWorld(t, "n", 4, "n", "s", "w")
		w.run(3 * time.Second)
		w.lose("s", FailureRefused)
		w.run(2 * time.Second)
		w.is("s", SiteLost, FaultSiteLost)
		appear := func() {
			for b := range 4 {
				id := fmt.Sprint("new", b)
				w.ids, w.site[id] = append(w.ids, id), "s"
				w.step(ms, EndpointListed{Endpoint: id, Site: "s", Group: int64(b)})
			}
		}
		if newFirst {
			appear()
		}
		for b := range 4 {
			w.step(ms, EndpointListed{Endpoint: fmt.Sprint("s", b), Site: "s", Group: int64(b), State: EndpointRemoved})
		}
		if !newFirst {
			appear()
		}
		w.ids = w.ids[:0]
		for id, site := range w.site {
			if site != "s" || strings.HasPrefix(id, "new") {
				w.ids = append(w.ids, id)
			}
		}
		slices.Sort(w.ids)
		w.run(20 * time.Second)
		for _, c := range w.seen {
			if c.Site == "s" && c.From == SiteRecovering && c.To == SiteLost {
				t.Errorf("%s: lost again: %s", name, c.Evidence)
			}
		}
		w.is("s", SiteHealthy, FaultUnclear)
		for _, v := range w.m.Views() {
			if v.Site == "s" && (v.Endpoints != 4 || v.Down != 0) {
				t.Errorf("%s: %+v", name, v)
			}
		}
	}
}
