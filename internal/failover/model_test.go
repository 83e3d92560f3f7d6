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
	return Config{Instances: 1, Classes: map[string]Class{"job": {Worth: 1, Work: 10 * ms}, "small": {Worth: 0.1, Work: 10 * ms}}, Count: 20, Bytes: 2000, Margin: 10 * ms}
}

func listed(m *Model, banks int) {
	var in []Member
	for b := range banks {
		for i := range 3 {
			in = append(in, Member{Node: fmt.Sprintf("n%d-%d", b, i), Bank: int64(b)})
		}
	}
	m.Listed(0, in, true)
	for b := range banks {
		m.Believe(0, int64(b), fmt.Sprintf("n%d-0", b))
	}
	m.Actions()
}

// world plays the core around a model and checks what it asks.
type world struct {
	t     *rapid.T
	m     *Model
	now   time.Duration
	state map[string]string // of requests: held, out, over
	due   map[string]time.Duration
	bank  map[string]int64
	terms map[int64]uint64
	whose map[string]string // the primary that a request was let out to
}

func (w *world) carry() {
	for w.m.Pending() {
		for _, a := range w.m.Actions() {
			switch a.Kind {
			case Release:
				if w.state[a.ID] != "held" {
					w.t.Fatalf("%s is let out, it is %s", a.ID, w.state[a.ID])
				}
				phase, _, primary, _ := w.m.Bank(a.Bank)
				if phase != SuccessorSeen || primary == "" {
					w.t.Fatalf("%s is let out while %v, to %q", a.ID, phase, primary)
				}
				w.state[a.ID], w.whose[a.ID] = "out", primary
			case GiveUp:
				if w.state[a.ID] != "held" && w.state[a.ID] != "new" {
					w.t.Fatalf("%s is given up, it is %s", a.ID, w.state[a.ID])
				}
				if a.After <= 0 {
					w.t.Fatalf("%s is given up without a time to come back", a.ID)
				}
				w.state[a.ID] = "over"
			case Probe:
				n := w.m.nodes[a.Node]
				if n == nil || n.out || n.barred {
					w.t.Fatalf("%s is asked though it is out", a.Node)
				}
			}
		}
	}
	held := 0
	for id, s := range w.state {
		if s == "held" {
			held++
			if !w.m.Held(id) {
				w.t.Fatalf("%s is lost", id)
			}
		}
	}
	bytes, inBanks := 0, 0
	for _, b := range w.m.order {
		for _, h := range b.queue {
			bytes += h.Size
		}
		inBanks += len(b.queue)
		if b.term < w.terms[b.id] {
			w.t.Fatalf("the term of %d went back from %d to %d", b.id, w.terms[b.id], b.term)
		}
		w.terms[b.id] = b.term
	}
	if held != len(w.m.held) || held != inBanks || held > w.m.cfg.Count || bytes != w.m.bytes || bytes > w.m.cfg.Bytes {
		w.t.Fatalf("%d held, %d known, %d in banks, %d bytes", held, len(w.m.held), inBanks, bytes)
	}
	names := 0
	for _, k := range w.m.clients {
		names += len(k.held)
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
			cfg.Time = 300 * ms
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
				q := Request{ID: fmt.Sprint("q", n), Bank: bank, Class: []string{"job", "small"}[rapid.IntRange(0, 1).Draw(t, "class")], Client: []string{"", "a", "b"}[rapid.IntRange(0, 2).Draw(t, "client")],
					Deadline: w.now + time.Duration(rapid.IntRange(0, 500).Draw(t, "wait"))*ms, Size: rapid.IntRange(0, 400).Draw(t, "size")}
				if w.m.Holds(bank, q.Class) {
					w.state[q.ID], w.due[q.ID], w.bank[q.ID] = "new", q.Deadline, bank
					w.m.Hold(w.now, q)
					if w.m.Held(q.ID) {
						w.state[q.ID] = "held"
					} else if w.state[q.ID] == "new" {
						for _, a := range w.m.acts { // let out or given up at once
							if a.ID == q.ID && a.Kind == Release {
								w.state[q.ID] = "held"
							}
						}
					}
					// Others that made room are in the actions.
				}
			case 4:
				w.m.Ended(w.now, node(), "x", Unreached, RoleUnknown, 0, "", 0)
			case 5:
				w.m.Ended(w.now, node(), "x", Replica, RoleReplica, 0, "", 0)
			case 6:
				w.m.Reported(w.now, node(), rapid.Bool().Draw(t, "answered"), Role(rapid.IntRange(0, 2).Draw(t, "role")), w.now)
			case 7:
				w.m.Believe(w.now, bank, fmt.Sprintf("n%d-%d", bank, rapid.IntRange(0, 2).Draw(t, "leader")))
			case 8:
				_, _, p, _ := w.m.Bank(bank)
				w.m.Doubt(w.now, bank, p)
			case 9:
				w.m.Announce(w.now, bank, 200*ms)
			case 10:
				w.m.Suspend(w.now, node(), rapid.Bool().Draw(t, "barred"))
			case 11:
				id := node()
				w.m.Listed(w.now, []Member{{Node: id, Bank: int64(id[1] - '0'), Out: rapid.Bool().Draw(t, "drains"), Gone: rapid.IntRange(0, 9).Draw(t, "gone") == 0}}, false)
			case 12:
				for id, s := range w.state {
					if s == "held" || s == "out" {
						w.m.Done(w.now, w.bank[id], id)
						w.state[id] = "over"
						break
					}
				}
			case 13:
				w.m.Sent(w.now, node(), "x")
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

func kinds(m *Model) (out []ActionKind) {
	for _, a := range m.Actions() {
		out = append(out, a.Kind)
	}
	return out
}

// Each phase is reached by its evidence, and by no other's claim.
func TestPhases(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(m *Model)
		want Phase
		why  Evidence
	}{
		"one refused connection": {func(m *Model) { m.Ended(1, "n0-0", "a", Unreached, 0, 0, "", 0) }, Suspected, Refused},
		"two": {func(m *Model) {
			m.Ended(1, "n0-0", "a", Unreached, 0, 0, "", 0)
			m.Ended(2, "n0-0", "b", Unreached, 0, 0, "", 0)
		}, Lost, Refused},
		"of a replica": {func(m *Model) { m.Ended(1, "n0-1", "a", Unreached, 0, 0, "", 0) }, Steady, NoEvidence},
		"silence": {func(m *Model) {
			m.Sent(0, "n0-0", "a")
			m.Tick(patienceLeast)
		}, Suspected, Silence},
		"none yet": {func(m *Model) {
			m.Sent(0, "n0-0", "a")
			m.Tick(patienceLeast - 1)
		}, Steady, NoEvidence},
		"long silence": {func(m *Model) {
			m.Sent(0, "n0-0", "a")
			m.Tick(patienceLeast)
			m.Tick(patienceLeast + suspectFor)
		}, Lost, Silence},
		"it answers after all": {func(m *Model) {
			m.Sent(0, "n0-0", "a")
			m.Tick(patienceLeast)
			m.Ended(100*ms, "n0-0", "a", Fine, RolePrimary, 0, "job", 100*ms)
		}, SuccessorSeen, Answered},
		"25006":                  {func(m *Model) { m.Ended(1, "n0-0", "a", Replica, RoleReplica, 0, "job", 0) }, HandingOver, NoPrimary},
		"a report":               {func(m *Model) { m.Reported(1, "n0-0", true, RoleReplica, 0) }, HandingOver, NoPrimary},
		"a probe fails unasked":  {func(m *Model) { m.Reported(1, "n0-0", false, 0, 0) }, Steady, NoEvidence},
		"a drain":                {func(m *Model) { m.Listed(1, []Member{{Node: "n0-0", Out: true}}, false) }, HandingOver, Draining},
		"a replica's drain":      {func(m *Model) { m.Listed(1, []Member{{Node: "n0-1", Out: true}}, false) }, Steady, NoEvidence},
		"not listed":             {func(m *Model) { m.Listed(1, []Member{{Node: "n0-1"}, {Node: "n0-2"}}, true) }, HandingOver, Draining},
		"a suspend":              {func(m *Model) { m.Suspend(1, "n0-0", true) }, HandingOver, Barred},
		"an announcement":        {func(m *Model) { m.Announce(1, 0, time.Second) }, HandingOver, Announced},
		"the module's doubt":     {func(m *Model) { m.Doubt(1, 0, "n0-0") }, Lost, Doubted},
		"of one that was":        {func(m *Model) { m.Doubt(1, 0, "n0-2") }, Steady, NoEvidence},
		"nothing came of it":     {func(m *Model) { m.Announce(1, 0, time.Second); m.Tick(time.Second + 1) }, SuccessorSeen, LimitReached},
		"a successor":            {func(m *Model) { m.Doubt(1, 0, "n0-0"); m.Believe(2, 0, "n0-1") }, SuccessorSeen, Believed},
		"announced, still leads": {func(m *Model) { m.Announce(1, 0, time.Second); m.Believe(2, 0, "n0-0") }, HandingOver, Announced},
		"doubted, answers alone": {func(m *Model) { m.Doubt(1, 0, "n0-0"); m.Reported(2, "n0-0", true, RolePrimary, 1) }, Lost, Doubted},
		"settled":                {func(m *Model) { m.Doubt(1, 0, "n0-0"); m.Believe(2, 0, "n0-1"); m.Tick(3) }, Settled, ReleasedAll},
		"steady again":           {func(m *Model) { m.Doubt(1, 0, "n0-0"); m.Believe(2, 0, "n0-1"); m.Tick(3); m.Tick(3 + settleFor) }, Steady, Quiet},
	} {
		m := New(config(), 1)
		listed(m, 1)
		c.do(m)
		if phase, _, _, last := m.Bank(0); phase != c.want || last.Evidence != c.why {
			t.Errorf("%s: %v by %v, %v by %v wanted", name, phase, last.Evidence, c.want, c.why)
		}
	}
}

// What is held goes out earliest deadline first, few at once, more with answers, fewer when turned away.
func TestReleaseIsASlowStart(t *testing.T) {
	cfg := config()
	cfg.Count, cfg.Bytes, cfg.Instances = 1000, 1<<20, 4
	m := New(cfg, 1)
	listed(m, 1)
	m.Doubt(1, 0, "n0-0")
	if !slices.Contains(kinds(m), Withdraw) {
		t.Fatal("the module keeps what it holds")
	}
	for i := range 100 {
		m.Hold(2, Request{ID: fmt.Sprint(i), Class: "job", Client: fmt.Sprint(i % 9), Deadline: time.Second + time.Duration((i*37)%100)*ms})
	}
	if k := kinds(m); len(k) != 0 {
		t.Fatalf("%v", k)
	}
	m.Believe(3, 0, "n0-1")
	var out []string
	take := func() (n int) {
		for _, a := range m.Actions() {
			if a.Kind == Release {
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
		m.Ended(4, "n0-1", out[i], Fine, RolePrimary, 0, "job", 10*ms)
		if n := take(); n > 2 {
			t.Fatalf("%d for one answer", n)
		}
	}
	before := len(m.banks[0].out)
	m.Ended(5, "n0-1", out[len(out)-1], Full, RolePrimary, 0, "", 0)
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
	m := New(config(), 1)
	listed(m, 1)
	m.Doubt(0, 0, "n0-0")
	m.Actions()
	m.Hold(1, Request{ID: "late", Class: "job", Client: "a", Deadline: 20 * ms})
	if a := m.Actions(); len(a) != 1 || a[0].Kind != GiveUp || a[0].Why != TooLate || a[0].After < changeUsual || a[0].After > changeUsual*5/4 {
		t.Fatalf("%+v", a)
	}
	for i := range 19 {
		m.Hold(2, Request{ID: fmt.Sprint("a", i), Class: "job", Client: "a", Deadline: time.Minute})
	}
	m.Hold(2, Request{ID: "b0", Class: "small", Client: "b", Deadline: time.Minute})
	m.Hold(3, Request{ID: "b1", Class: "small", Client: "b", Deadline: time.Minute})
	m.Hold(4, Request{ID: "a-small", Class: "small", Client: "a", Deadline: time.Minute})
	var gone []string
	for _, a := range m.Actions() {
		if a.Kind != GiveUp || a.Why != NoRoom {
			t.Fatalf("%+v", a)
		}
		gone = append(gone, a.ID)
	}
	if !slices.Equal(gone, []string{"a18", "a-small"}) {
		t.Fatalf("%v", gone)
	}
	// A longer change than usual is told of as such.
	m.Hold(10*time.Second, Request{ID: "now", Class: "job", Deadline: 10*time.Second + ms})
	for _, a := range m.Actions() {
		if a.ID == "now" && a.After < 4*time.Second {
			t.Fatalf("%+v", a)
		}
	}
}

// Many routers draw their own moments; the member with the most log is asked first; a budget holds.
func TestProbes(t *testing.T) {
	var firsts []time.Duration
	for seed := range uint64(20) {
		m := New(config(), seed)
		listed(m, 1)
		m.Reported(0, "n0-2", true, RoleReplica, 500)
		m.Reported(0, "n0-1", true, RoleReplica, 400)
		m.Doubt(time.Second, 0, "n0-0")
		m.Hold(time.Second, Request{ID: "q", Class: "job", Deadline: time.Hour})
		m.Actions()
		var asked []string
		rounds := map[time.Duration]bool{}
		for now := time.Second; now < 21*time.Second; now += ms {
			m.Tick(now)
			for _, a := range m.Actions() {
				if a.Kind == Probe {
					asked = append(asked, a.Node)
					rounds[now] = true
					m.Reported(now, a.Node, a.Node != "n0-0", RoleReplica, 0)
				}
			}
			if len(rounds) == 2 && len(firsts) <= int(seed) {
				firsts = append(firsts, now)
			}
		}
		if asked[0] != "n0-2" || asked[1] != "n0-1" {
			t.Fatalf("%v are asked first", asked[:2])
		}
		if n := len(asked); n > 3*probePaid+3*20*6 || n < 3*probePaid {
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
			m := New(cfg, seed)
			listed(m, 1)
			m.Doubt(time.Second, 0, "n0-0")
			for now := time.Second; now < time.Second+length; now += ms {
				if i := int((now - time.Second) / (250 * ms)); (now-time.Second)%(250*ms) == 0 && i < held {
					m.Hold(now, Request{ID: fmt.Sprint(i), Class: "job", Deadline: time.Hour})
				}
				m.Tick(now)
				for _, a := range m.Actions() {
					if a.Kind == Probe {
						all++
						second[now.Truncate(100*ms)]++
						m.Reported(now, a.Node, a.Node != "n0-0", RoleReplica, 0)
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
	if most := routers * members * int(1+length/(probeShare*routers*3/4)); idle > most {
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
	m := New(config(), 1)
	m.Listed(0, []Member{{Node: "a", Bank: 1}, {Node: "b", Bank: 1}}, true)
	m.Hint(1, 41, "b")
	if _, term, primary, _ := m.Bank(1); term != 41 || primary != "" {
		t.Fatalf("%d %q", term, primary)
	}
	if got := m.likely(m.banks[1]); got[0].id != "b" {
		t.Fatalf("%s goes first", got[0].id)
	}
	m.Believe(1, 1, "a")
	m.Hint(1, 7, "b")
	m.Hint(1, 42, "a")
	if _, term, primary, _ := m.Bank(1); term != 42 || primary != "a" {
		t.Fatalf("%d %q", term, primary)
	}
}

func BenchmarkHoldAndRelease(b *testing.B) {
	const n = 10_000
	for b.Loop() {
		cfg := config()
		cfg.Count, cfg.Bytes = n, 1<<30
		m := New(cfg, 1)
		listed(m, 1)
		m.Doubt(1, 0, "n0-0")
		for i := range n {
			m.Hold(2, Request{ID: fmt.Sprint(i), Class: "job", Client: fmt.Sprint(i % 100), Deadline: time.Second + time.Duration(i*7919%n)*ms})
		}
		m.Actions()
		m.Believe(3, 0, "n0-1")
		out := 0
		for m.Pending() {
			for _, a := range m.Actions() {
				if a.Kind == Release {
					out++
					m.Ended(4, "n0-1", a.ID, Fine, RolePrimary, 0, "job", ms)
				}
			}
		}
		if out != n {
			b.Fatal(out)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/hold+release")
}
