package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func config() Config {
	return Config{Instances: 1, Classes: map[string]Class{"job": {PriorityWeight: 1, Work: 10 * ms}, "small": {PriorityWeight: 0.1, Work: 10 * ms}}, MaxPending: 20, MaxPendingBytes: 2000, DeadlineMargin: 10 * ms}
}

func listed(tracker *Tracker, banks int) {
	var in []Endpoint
	for b := range banks {
		for i := range 3 {
			in = append(in, Endpoint{ID: fmt.Sprintf("n%d-%d", b, i), Group: int64(b)})
		}
	}
	tracker.UpdateEndpoints(0, in, true)
	for b := range banks {
		tracker.ObservePrimary(0, int64(b), fmt.Sprintf("n%d-0", b))
	}
	tracker.Actions()
}

// world plays the core around a model and checks what it asks.
type world struct {
	t     *rapid.T
	m     *Tracker
	now   time.Duration
	state map[string]string // of requests: held, out, over
	due   map[string]time.Duration
	bank  map[string]int64
	terms map[int64]uint64
	whose map[string]string // the primary that a request was let out to
}

func (w *world) carry() {
	for w.m.HasActions() {
		for _, a := range w.m.Actions() {
			switch a.Kind {
			case ActionRelease:
				if w.state[a.ID] != "held" {
					w.t.Fatalf("%s is let out, it is %s", a.ID, w.state[a.ID])
				}
				phase, _, primary, _ := w.m.Group(a.Group)
				if phase != PhaseSuccessorSeen || primary == "" {
					w.t.Fatalf("%s is let out while %v, to %q", a.ID, phase, primary)
				}
				w.state[a.ID], w.whose[a.ID] = "out", primary
			case ActionReject:
				if w.state[a.ID] != "held" && w.state[a.ID] != "new" {
					w.t.Fatalf("%s is given up, it is %s", a.ID, w.state[a.ID])
				}
				if a.RetryAfter <= 0 {
					w.t.Fatalf("%s is given up without a time to come back", a.ID)
				}
				w.state[a.ID] = "over"
			case ActionHealthCheck:
				endpoint := w.m.endpoints[a.Endpoint]
				if endpoint == nil || endpoint.draining || endpoint.suspended {
					w.t.Fatalf("%s is asked though it is out", a.Endpoint)
				}
			}
		}
	}
	held := 0
	for id, s := range w.state {
		if s == "held" {
			held++
			if !w.m.IsPending(id) {
				w.t.Fatalf("%s is lost", id)
			}
		}
	}
	bytes, inBanks := 0, 0
	for _, group := range w.m.orderedGroups {
		for _, pending := range group.pending {
			bytes += pending.Size
		}
		inBanks += len(group.pending)
		if group.term < w.terms[group.id] {
			w.t.Fatalf("the term of %d went back from %d to %d", group.id, w.terms[group.id], group.term)
		}
		w.terms[group.id] = group.term
	}
	if held != len(w.m.pending) || held != inBanks || held > w.m.cfg.MaxPending || bytes != w.m.pendingBytes || bytes > w.m.cfg.MaxPendingBytes {
		w.t.Fatalf("%d held, %d known, %d in banks, %d bytes", held, len(w.m.pending), inBanks, bytes)
	}
	names := 0
	for _, k := range w.m.clientQueues {
		names += len(k.pending)
	}
	if names != held {
		w.t.Fatalf("%d held, %d of clients", held, names)
	}
}

// Under any order of events terms never go back, the queue stays within its bounds, nothing is let out but to a believed
// primary, members that are out are never asked, and every hold ends in time.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		if rapid.Bool().Draw(t, "timed") {
			cfg.MaxPendingTime = 300 * ms
		}
		w := &world{t: t, m: New(cfg, rapid.Uint64().Draw(t, "seed")), now: time.Second, state: map[string]string{}, due: map[string]time.Duration{}, bank: map[string]int64{},
			terms: map[int64]uint64{}, whose: map[string]string{}}
		listed(w.m, 2)
		node := func() string {
			return fmt.Sprintf("n%d-%d", rapid.IntRange(0, 1).Draw(t, "bank"), rapid.IntRange(0, 2).Draw(t, "node"))
		}
		n := 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * ms
			bank := int64(rapid.IntRange(0, 1).Draw(t, "of"))
			switch rapid.IntRange(0, 13).Draw(t, "event") {
			case 0, 1, 2, 3:
				n++
				q := Request{ID: fmt.Sprint("q", n), Group: bank, Class: []string{"job", "small"}[rapid.IntRange(0, 1).Draw(t, "class")], Client: []string{"", "a", "b"}[rapid.IntRange(0, 2).Draw(t, "client")],
					Deadline: w.now + time.Duration(rapid.IntRange(0, 500).Draw(t, "wait"))*ms, Size: rapid.IntRange(0, 400).Draw(t, "size")}
				if w.m.ShouldQueue(bank, q.Class) {
					w.state[q.ID], w.due[q.ID], w.bank[q.ID] = "new", q.Deadline, bank
					w.m.Enqueue(w.now, q)
					if w.m.IsPending(q.ID) {
						w.state[q.ID] = "held"
					} else if w.state[q.ID] == "new" {
						for _, a := range w.m.actions { // let out or given up at once
							if a.ID == q.ID && a.Kind == ActionRelease {
								w.state[q.ID] = "held"
							}
						}
					}
					// Others that made room are in the actions.
				}
			case 4:
				w.m.AttemptEnded(w.now, node(), "x", EndUnreachable, RoleUnknown, 0, "", 0)
			case 5:
				w.m.AttemptEnded(w.now, node(), "x", EndNotPrimary, RoleReplica, 0, "", 0)
			case 6:
				w.m.HealthCheckEnded(w.now, node(), rapid.Bool().Draw(t, "answered"), Role(rapid.IntRange(0, 2).Draw(t, "role")), w.now)
			case 7:
				w.m.ObservePrimary(w.now, bank, fmt.Sprintf("n%d-%d", bank, rapid.IntRange(0, 2).Draw(t, "leader")))
			case 8:
				_, _, p, _ := w.m.Group(bank)
				w.m.SuspectPrimary(w.now, bank, p)
			case 9:
				w.m.Announce(w.now, bank, 200*ms)
			case 10:
				w.m.Suspend(w.now, node(), rapid.Bool().Draw(t, "barred"))
			case 11:
				id := node()
				w.m.UpdateEndpoints(w.now, []Endpoint{{ID: id, Group: int64(id[1] - '0'), Draining: rapid.Bool().Draw(t, "drains"), Removed: rapid.IntRange(0, 9).Draw(t, "gone") == 0}}, false)
			case 12:
				for id, s := range w.state {
					if s == "held" || s == "out" {
						w.m.RequestDone(w.now, w.bank[id], id)
						w.state[id] = "over"
						break
					}
				}
			case 13:
				w.m.AttemptSent(w.now, node(), "x")
			}
			w.m.Tick(w.now)
			w.carry()
		}
		for range 200 { // and then nothing happens any more
			w.now += 5 * ms
			w.m.Tick(w.now)
			w.carry()
		}
		for id, s := range w.state {
			if s == "held" && w.now > w.due[id] {
				t.Fatalf("%s is still held %v after its deadline", id, w.now-w.due[id])
			}
		}
	})
}

func kinds(tracker *Tracker) (out []ActionKind) {
	for _, a := range tracker.Actions() {
		out = append(out, a.Kind)
	}
	return out
}

// Each phase is reached by its evidence, and by no other's claim.
func TestPhases(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(tracker *Tracker)
		want Phase
		why  Evidence
	}{
		"one refused connection": {func(tracker *Tracker) { tracker.AttemptEnded(1, "n0-0", "a", EndUnreachable, 0, 0, "", 0) }, PhaseSuspected, EvidenceConnectionRefused},
		"two": {func(tracker *Tracker) {
			tracker.AttemptEnded(1, "n0-0", "a", EndUnreachable, 0, 0, "", 0)
			tracker.AttemptEnded(2, "n0-0", "b", EndUnreachable, 0, 0, "", 0)
		}, PhasePrimaryLost, EvidenceConnectionRefused},
		"of a replica": {func(tracker *Tracker) { tracker.AttemptEnded(1, "n0-1", "a", EndUnreachable, 0, 0, "", 0) }, PhaseSteady, EvidenceNone},
		"silence": {func(tracker *Tracker) {
			tracker.AttemptSent(0, "n0-0", "a")
			tracker.Tick(minSilenceTimeout)
		}, PhaseSuspected, EvidenceSilence},
		"none yet": {func(tracker *Tracker) {
			tracker.AttemptSent(0, "n0-0", "a")
			tracker.Tick(minSilenceTimeout - 1)
		}, PhaseSteady, EvidenceNone},
		"long silence": {func(tracker *Tracker) {
			tracker.AttemptSent(0, "n0-0", "a")
			tracker.Tick(minSilenceTimeout)
			tracker.Tick(minSilenceTimeout + suspicionTime)
		}, PhasePrimaryLost, EvidenceSilence},
		"it answers after all": {func(tracker *Tracker) {
			tracker.AttemptSent(0, "n0-0", "a")
			tracker.Tick(minSilenceTimeout)
			tracker.AttemptEnded(100*ms, "n0-0", "a", EndAnswered, RolePrimary, 0, "job", 100*ms)
		}, PhaseSuccessorSeen, EvidenceAnswered},
		"25006":                  {func(tracker *Tracker) { tracker.AttemptEnded(1, "n0-0", "a", EndNotPrimary, RoleReplica, 0, "job", 0) }, PhaseSwitchover, EvidenceNotPrimary},
		"a report":               {func(tracker *Tracker) { tracker.HealthCheckEnded(1, "n0-0", true, RoleReplica, 0) }, PhaseSwitchover, EvidenceNotPrimary},
		"a probe fails unasked":  {func(tracker *Tracker) { tracker.HealthCheckEnded(1, "n0-0", false, 0, 0) }, PhaseSteady, EvidenceNone},
		"a drain":                {func(tracker *Tracker) { tracker.UpdateEndpoints(1, []Endpoint{{ID: "n0-0", Draining: true}}, false) }, PhaseSwitchover, EvidenceDraining},
		"a replica's drain":      {func(tracker *Tracker) { tracker.UpdateEndpoints(1, []Endpoint{{ID: "n0-1", Draining: true}}, false) }, PhaseSteady, EvidenceNone},
		"not listed":             {func(tracker *Tracker) { tracker.UpdateEndpoints(1, []Endpoint{{ID: "n0-1"}, {ID: "n0-2"}}, true) }, PhaseSwitchover, EvidenceDraining},
		"a suspend":              {func(tracker *Tracker) { tracker.Suspend(1, "n0-0", true) }, PhaseSwitchover, EvidenceSuspended},
		"an announcement":        {func(tracker *Tracker) { tracker.Announce(1, 0, time.Second) }, PhaseSwitchover, EvidenceAnnounced},
		"the module's doubt":     {func(tracker *Tracker) { tracker.SuspectPrimary(1, 0, "n0-0") }, PhasePrimaryLost, EvidencePrimarySuspect},
		"of one that was":        {func(tracker *Tracker) { tracker.SuspectPrimary(1, 0, "n0-2") }, PhaseSteady, EvidenceNone},
		"nothing came of it":     {func(tracker *Tracker) { tracker.Announce(1, 0, time.Second); tracker.Tick(time.Second + 1) }, PhaseSuccessorSeen, EvidenceAnnouncementExpired},
		"a successor":            {func(tracker *Tracker) { tracker.SuspectPrimary(1, 0, "n0-0"); tracker.ObservePrimary(2, 0, "n0-1") }, PhaseSuccessorSeen, EvidencePrimaryObserved},
		"announced, still leads": {func(tracker *Tracker) { tracker.Announce(1, 0, time.Second); tracker.ObservePrimary(2, 0, "n0-0") }, PhaseSwitchover, EvidenceAnnounced},
		"doubted, answers alone": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, "n0-0")
			tracker.HealthCheckEnded(2, "n0-0", true, RolePrimary, 1)
		}, PhasePrimaryLost, EvidencePrimarySuspect},
		"settled": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, "n0-0")
			tracker.ObservePrimary(2, 0, "n0-1")
			tracker.Tick(3)
		}, PhaseSettled, EvidenceQueueReleased},
		"steady again": {func(tracker *Tracker) {
			tracker.SuspectPrimary(1, 0, "n0-0")
			tracker.ObservePrimary(2, 0, "n0-1")
			tracker.Tick(3)
			tracker.Tick(3 + settleTime)
		}, PhaseSteady, EvidenceQuiet},
	} {
		tracker := New(config(), 1)
		listed(tracker, 1)
		c.do(tracker)
		if phase, _, _, last := tracker.Group(0); phase != c.want || last.Evidence != c.why {
			t.Errorf("%s: %v by %v, %v by %v wanted", name, phase, last.Evidence, c.want, c.why)
		}
	}
}

// What is held goes out earliest deadline first, few at once, more with answers, fewer when turned away.
func TestReleaseIsASlowStart(t *testing.T) {
	cfg := config()
	cfg.MaxPending, cfg.MaxPendingBytes, cfg.Instances = 1000, 1<<20, 4
	tracker := New(cfg, 1)
	listed(tracker, 1)
	tracker.SuspectPrimary(1, 0, "n0-0")
	if !slices.Contains(kinds(tracker), ActionWithdraw) {
		t.Fatal("the module keeps what it holds")
	}
	for i := range 100 {
		tracker.Enqueue(2, Request{ID: fmt.Sprint(i), Class: "job", Client: fmt.Sprint(i % 9), Deadline: time.Second + time.Duration((i*37)%100)*ms})
	}
	if k := kinds(tracker); len(k) != 0 {
		t.Fatalf("%v", k)
	}
	tracker.ObservePrimary(3, 0, "n0-1")
	var out []string
	take := func() (n int) {
		for _, a := range tracker.Actions() {
			if a.Kind == ActionRelease {
				out = append(out, a.ID)
				n++
			}
		}
		return n
	}
	if n := take(); n != 2 { // a quarter of windowFirst
		t.Fatalf("%d at first", n)
	}
	for i := 0; len(out) < 60; i++ {
		tracker.AttemptEnded(4, "n0-1", out[i], EndAnswered, RolePrimary, 0, "job", 10*ms)
		if n := take(); n > 2 {
			t.Fatalf("%d for one answer", n)
		}
	}
	before := len(tracker.groups[0].released)
	tracker.AttemptEnded(5, "n0-1", out[len(out)-1], EndRejected, RolePrimary, 0, "", 0)
	if n := take(); n != 0 || before < 10 {
		t.Fatalf("%d go out behind a refusal, %d were", n, before)
	}
	for i := 1; i < len(out); i++ {
		a, b := 0, 0
		fmt.Sscan(out[i-1], &a)
		fmt.Sscan(out[i], &b)
		if a*37%100 > b*37%100 {
			t.Fatalf("%s before %s", out[i-1], out[i])
		}
	}
}

// Over the bound the least valuable of the client that has the most goes; what can't make it goes at once, each with a time
// to come back that follows the change.
func TestWhoGoesFirst(t *testing.T) {
	tracker := New(config(), 1)
	listed(tracker, 1)
	tracker.SuspectPrimary(0, 0, "n0-0")
	tracker.Actions()
	tracker.Enqueue(1, Request{ID: "late", Class: "job", Client: "a", Deadline: 20 * ms})
	if a := tracker.Actions(); len(a) != 1 || a[0].Kind != ActionReject || a[0].Reason != ReasonDeadline || a[0].RetryAfter < defaultFailoverDuration || a[0].RetryAfter > defaultFailoverDuration*5/4 {
		t.Fatalf("%+v", a)
	}
	for i := range 19 {
		tracker.Enqueue(2, Request{ID: fmt.Sprint("a", i), Class: "job", Client: "a", Deadline: time.Minute})
	}
	tracker.Enqueue(2, Request{ID: "b0", Class: "small", Client: "b", Deadline: time.Minute})
	tracker.Enqueue(3, Request{ID: "b1", Class: "small", Client: "b", Deadline: time.Minute})
	tracker.Enqueue(4, Request{ID: "a-small", Class: "small", Client: "a", Deadline: time.Minute})
	var gone []string
	for _, a := range tracker.Actions() {
		if a.Kind != ActionReject || a.Reason != ReasonQueueFull {
			t.Fatalf("%+v", a)
		}
		gone = append(gone, a.ID)
	}
	if !slices.Equal(gone, []string{"a18", "a-small"}) {
		t.Fatalf("%v", gone)
	}
	// A longer change than usual is told of as such.
	tracker.Enqueue(10*time.Second, Request{ID: "now", Class: "job", Deadline: 10*time.Second + ms})
	for _, a := range tracker.Actions() {
		if a.ID == "now" && a.RetryAfter < 4*time.Second {
			t.Fatalf("%+v", a)
		}
	}
}

// Many routers draw their own moments; the member with the most log is asked first; a budget holds.
func TestProbes(t *testing.T) {
	var firsts []time.Duration
	for seed := range uint64(20) {
		tracker := New(config(), seed)
		listed(tracker, 1)
		tracker.HealthCheckEnded(0, "n0-2", true, RoleReplica, 500)
		tracker.HealthCheckEnded(0, "n0-1", true, RoleReplica, 400)
		tracker.SuspectPrimary(time.Second, 0, "n0-0")
		tracker.Enqueue(time.Second, Request{ID: "q", Class: "job", Deadline: time.Hour})
		tracker.Actions()
		var asked []string
		rounds := map[time.Duration]bool{}
		for now := time.Second; now < 21*time.Second; now += ms {
			tracker.Tick(now)
			for _, a := range tracker.Actions() {
				if a.Kind == ActionHealthCheck {
					asked = append(asked, a.Endpoint)
					rounds[now] = true
					tracker.HealthCheckEnded(now, a.Endpoint, a.Endpoint != "n0-0", RoleReplica, 0)
				}
			}
			if len(rounds) == 2 && len(firsts) <= int(seed) {
				firsts = append(firsts, now)
			}
		}
		if asked[0] != "n0-2" || asked[1] != "n0-1" {
			t.Fatalf("%v are asked first", asked[:2])
		}
		if n := len(asked); n > 3*healthCheckRoundsPerRequest+3*20*6 || n < 3*healthCheckRoundsPerRequest {
			t.Fatalf("%d probes in 20 s", n)
		}
	}
	slices.Sort(firsts)
	if len(slices.Compact(firsts)) < 5 {
		t.Fatalf("all ask at once: %v", firsts)
	}
}

// Eighty routers whose bank has lost its primary: with nothing held they ask now and then, with a write or two each as much
// as those pay for, and one that holds many asks as densely as one alone does.
func TestProbesOfManyRouters(t *testing.T) {
	const routers, members, length = 80, 3, 4 * time.Second
	count := func(held int) (all, worst int) {
		cfg := config()
		cfg.Instances = routers
		second := map[time.Duration]int{}
		for seed := range uint64(routers) {
			tracker := New(cfg, seed)
			listed(tracker, 1)
			tracker.SuspectPrimary(time.Second, 0, "n0-0")
			for now := time.Second; now < time.Second+length; now += ms {
				if i := int((now - time.Second) / (250 * ms)); (now-time.Second)%(250*ms) == 0 && i < held {
					tracker.Enqueue(now, Request{ID: fmt.Sprint(i), Class: "job", Deadline: time.Hour})
				}
				tracker.Tick(now)
				for _, a := range tracker.Actions() {
					if a.Kind == ActionHealthCheck {
						all++
						second[now.Truncate(100*ms)]++
						tracker.HealthCheckEnded(now, a.Endpoint, a.Endpoint != "n0-0", RoleReplica, 0)
					}
				}
			}
		}
		for _, n := range second {
			worst = max(worst, n)
		}
		return all, worst
	}
	idle, _ := count(0)
	if most := routers * members * int(1+length/(unpaidHealthCheckIntervalPerRouter*routers*3/4)); idle > most {
		t.Errorf("%d probes with nothing held, more than %d", idle, most)
	}
	one, worst := count(1)
	if most := idle + routers*members; one > most || worst > routers*members {
		t.Errorf("%d probes with a write each, more than %d; %d in a tenth of a second", one, most, worst)
	}
	if many, _ := count(16); many < one+routers*members*2 {
		t.Errorf("%d probes with sixteen writes each, %d with one: nobody pays for them", many, one)
	}
	t.Logf("nothing held: %d, a write each: %d (%d in the worst tenth of a second)", idle, one, worst)
}

// A hint is where terms go on from, and no belief.
func TestHint(t *testing.T) {
	tracker := New(config(), 1)
	tracker.UpdateEndpoints(0, []Endpoint{{ID: "a", Group: 1}, {ID: "b", Group: 1}}, true)
	tracker.RestoreTerm(1, 41, "b")
	if _, term, primary, _ := tracker.Group(1); term != 41 || primary != "" {
		t.Fatalf("%d %q", term, primary)
	}
	if got := tracker.healthCheckCandidates(tracker.groups[1]); got[0].id != "b" {
		t.Fatalf("%s goes first", got[0].id)
	}
	tracker.ObservePrimary(1, 1, "a")
	tracker.RestoreTerm(1, 7, "b")
	tracker.RestoreTerm(1, 42, "a")
	if _, term, primary, _ := tracker.Group(1); term != 42 || primary != "a" {
		t.Fatalf("%d %q", term, primary)
	}
}

func BenchmarkHoldAndRelease(b *testing.B) {
	const n = 10_000
	for b.Loop() {
		cfg := config()
		cfg.MaxPending, cfg.MaxPendingBytes = n, 1<<30
		tracker := New(cfg, 1)
		listed(tracker, 1)
		tracker.SuspectPrimary(1, 0, "n0-0")
		for i := range n {
			tracker.Enqueue(2, Request{ID: fmt.Sprint(i), Class: "job", Client: fmt.Sprint(i % 100), Deadline: time.Second + time.Duration(i*7919%n)*ms})
		}
		tracker.Actions()
		tracker.ObservePrimary(3, 0, "n0-1")
		out := 0
		for tracker.HasActions() {
			for _, a := range tracker.Actions() {
				if a.Kind == ActionRelease {
					out++
					tracker.AttemptEnded(4, "n0-1", a.ID, EndAnswered, RolePrimary, 0, "job", ms)
				}
			}
		}
		if out != n {
			b.Fatal(out)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/hold+release")
}
