package balance

import (
	"testing"
	"time"
)

func TestPollSpread(t *testing.T) {
	for _, c := range []struct {
		name   string
		config Config
		want   time.Duration
	}{
		{"a few instances poll at once", Config{Instances: 3}, 0},
		{"each further instance takes its time", Config{Instances: 13}, 10 * pollSpacing},
		{"within the time an instance may go unpolled", Config{Instances: 300, PollWithin: 10 * time.Second}, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := pollSpread(&c.config); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestPollBackoff(t *testing.T) {
	c := testConfig()
	c.PollDiscovery = true
	h := newHarness(t, c, EndpointList{Kind: ListFailed})
	asks := 0
	for range 500 {
		acts := h.step(10 * ms)
		if len(actionsOf[PollEndpointList](acts)) > 0 {
			asks++
			h.step(0, EndpointList{Kind: ListFailed})
		}
	}
	if asks < 2 || asks > 8 {
		t.Fatalf("%d calls in 5 s of failures", asks)
	}
}

// Many instances that start, or lose their subscriptions, at one moment spread their polls; a few poll at once.
func TestManyInstancesSpreadTheirPolls(t *testing.T) {
	spread := map[int]map[time.Duration]bool{}
	for _, n := range []int{3, 36} {
		spread[n] = map[time.Duration]bool{}
		for seed := range uint64(40) {
			c := testConfig()
			c.Instances = n
			c.PollDiscovery = true
			r, err := New(c, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := 100 * time.Second
			asked := len(actionsOf[PollEndpointList](r.Step(now, []Event{threeEndpoints(ListCached)}))) > 0
			for ; !asked && now < 200*time.Second; now += 10 * ms {
				asked = len(actionsOf[PollEndpointList](r.Step(now, nil))) > 0
			}
			spread[n][now] = true
			for round := range 6 { // and each failure makes them wait for longer, but not for ever
				at := now
				asked = len(actionsOf[PollEndpointList](r.Step(now, []Event{EndpointList{Kind: ListFailed}}))) > 0
				for ; !asked; now += 10 * ms {
					asked = len(actionsOf[PollEndpointList](r.Step(now, nil))) > 0
				}
				// What changed counts as told 6 s after discovery had it, however the call ended: the next one, and
				// the 2 s that it may wait for its turn, come within that.
				if wait := now - at; wait+2*time.Second > 5600*ms || n == 3 && wait > 3*time.Second+100*ms ||
					n == 36 && wait < 2*time.Second {
					t.Errorf("%d instances, failure %d: %v", n, round, wait)
				}
			}
		}
	}
	if len(spread[3]) != 1 || len(spread[36]) < 30 {
		t.Fatalf("%d and %d different moments", len(spread[3]), len(spread[36]))
	}
}

// Eighty instances start at once from a cached list that has changed since. Discovery serves 14 polls a second, one
// after the other, and drops one that has been queued for two seconds, at full cost. All have the new list while what
// they do not know still counts as not told.
func TestFleetThatStartsAtOnceGetsTheListInTime(t *testing.T) {
	const fleet, turn, patience = 80, time.Second / 14, 2 * time.Second
	for _, seed := range []uint64{1, 2, 3} {
		c := testConfig()
		c.Instances = fleet
		c.PollDiscovery = true
		c.PollWithin = 10 * time.Second
		routers, answer := make([]*Balancer, fleet), make([]Time, fleet) // when the call that is out ends, 0 = none is
		fails, late, told := make([]bool, fleet), make([]bool, fleet), make([]Time, fleet)
		start := 100 * time.Second
		free, calls := start, 0
		act := func(i int, now Time, events ...Event) {
			for range actionsOf[PollEndpointList](routers[i].Step(now, events)) {
				calls++
				begin := max(free, now)
				answer[i], fails[i] = begin+turn, begin-now > patience
				if free = begin + turn; fails[i] {
					answer[i] = now + patience
				}
			}
		}
		for i := range routers {
			var err error
			if routers[i], err = New(c, seed*1000+uint64(i)); err != nil {
				t.Fatal(err)
			}
			act(i, start, threeEndpoints(ListCached))
		}
		last := Time(0)
		for now := start; now < start+30*time.Second; now += 5 * ms {
			for i := range routers {
				switch {
				case answer[i] == 0 || now < answer[i]:
					act(i, now)
				case fails[i]:
					answer[i], late[i] = 0, true
					act(i, now, EndpointList{Kind: ListFailed})
				case told[i] == 0:
					told[i] = now - start
					last = max(last, told[i])
					act(i, now, EndpointList{Kind: ListDelta})
				}
			}
		}
		for i, at := range told {
			most := c.PollWithin * 4 / 5
			if late[i] {
				most = c.PollWithin * 2 // a call that failed buys time
			}
			if at == 0 || at > most {
				t.Errorf("seed %d, instance %d: told after %v", seed, i, at)
			}
		}
		if t.Logf("seed %d: %d calls, the last told after %v", seed, calls, last); calls > 2*fleet {
			t.Errorf("seed %d: %d calls", seed, calls)
		}
	}
}

// A poll that was rejected only after it had been queued has spent that time: the next poll, and the 2 s that it may
// be queued, still come within the 6 s at which a change counts as told that came right behind the poll before. After
// one that is rejected at once the next is not sent sooner than before.
func TestPollDelayRunsFromThePoll(t *testing.T) {
	const patience, way = 2 * time.Second, 250 * ms
	for seed := range uint64(100) {
		for _, took := range []time.Duration{5 * ms, 700 * ms, patience} {
			c := testConfig()
			c.Instances = 300
			c.PollDiscovery = true
			c.PollWithin = 10 * time.Second
			c.DrainGrace = 1200 * ms
			r, err := New(c, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := 100 * time.Second
			r.Step(now, []Event{threeEndpoints(ListFull)}) // the next watch goes out at once
			for round := range 6 {
				called := now
				now += took
				failed := now
				asked := len(actionsOf[PollEndpointList](r.Step(now, []Event{EndpointList{Kind: ListFailed}}))) > 0
				for ; !asked; now += 5 * ms {
					asked = len(actionsOf[PollEndpointList](r.Step(now, nil))) > 0
				}
				if again := now - called; again+patience+way > 6*time.Second {
					t.Errorf("seed %d, turned away after %v, round %d: called again %v after the call", seed, took, round, again)
				}
				if wait := now - failed; took < patience && now-called < 1900*ms || wait < 400*ms {
					t.Errorf("seed %d, turned away after %v, round %d: called again %v later", seed, took, round, wait)
				}
			}
		}
	}
}

// The links between routers and discovery are cut while subscriptions stand. What discovery had to tell counts as
// told 2 s after a subscription's timeout, and sends must end within the grace from then on. Each of 300 instances
// polls again before that is used up, whenever the link is back, and never all at once.
func TestSilentDiscoveryIsPolledAgainWithinTheGrace(t *testing.T) {
	const fleet, slack, connect = 300, time.Second, 250 * ms
	for _, seed := range []uint64{1, 2, 3} {
		c := testConfig()
		c.Instances = fleet
		c.PollDiscovery = true
		c.PollWithin = 10 * time.Second
		c.DrainGrace = 2 * time.Second
		in := map[time.Duration]int{} // calls by tenth of a second
		for i := range fleet {
			r, err := New(c, seed*1000+uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			now := 100 * time.Second
			r.Step(now, []Event{threeEndpoints(ListCached)})
			for len(actionsOf[PollEndpointList](r.Step(now, nil))) == 0 {
				now += 10 * ms
			}
			// Its watch ends in silence now, and so does each connection it opens.
			now += 5*time.Second + slack
			for silent := range 20 {
				from := now
				asked := len(actionsOf[PollEndpointList](r.Step(now, []Event{EndpointList{Kind: ListSilent}}))) > 0
				for ; !asked; now += 10 * ms {
					asked = len(actionsOf[PollEndpointList](r.Step(now, nil))) > 0
				}
				if silent == 0 {
					in[(now-from)/(100*ms)]++
				}
				// 1 s of slack and this must leave time for an answer within 2 s and the grace.
				if now-from > c.DrainGrace {
					t.Fatalf("seed %d, instance %d: asks %v after silence %d", seed, i, now-from, silent)
				}
				now += connect
			}
		}
		for at, n := range in {
			if n > fleet/5 {
				t.Errorf("seed %d: %d calls in the tenth of a second %v after the silence", seed, n, at*100*ms)
			}
		}
	}
}
