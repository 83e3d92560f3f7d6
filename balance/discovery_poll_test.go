package balance

import (
	"fmt"
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
		{"within the time between polls", Config{Instances: 300, PollWithin: 10 * time.Second}, 4 * time.Second},
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
	for _, c := range []struct {
		instances             int
		leastMoments          int // at which the first poll goes out
		mostMoments           int
		leastDelay, mostDelay time.Duration // after a failure
	}{
		{instances: 3, leastMoments: 1, mostMoments: 1, mostDelay: 3*time.Second + 100*ms},
		{instances: 36, leastMoments: 30, mostMoments: 40, leastDelay: 2 * time.Second, mostDelay: never},
	} {
		t.Run(fmt.Sprint(c.instances, " instances"), func(t *testing.T) {
			moments := map[time.Duration]bool{}
			for seed := range uint64(40) {
				b := newPollingBalancer(t, seed, Config{Instances: c.instances})
				now := nextPoll(b, 100*time.Second, 10*ms, threeEndpoints(ListCached))
				moments[now] = true
				for round := range 6 { // and each failure makes them wait for longer, but not for ever
					failed := now
					now = nextPoll(b, now, 10*ms, EndpointList{Kind: ListFailed})
					// What changed counts as notified 6 s after discovery had it, however the poll ended: the next one,
					// and the 2 s that it may be queued, come within that.
					delay := now - failed
					if delay+2*time.Second > 5600*ms || delay < c.leastDelay || delay > c.mostDelay {
						t.Errorf("failure %d: polled again after %v", round, delay)
					}
				}
			}
			if len(moments) < c.leastMoments || len(moments) > c.mostMoments {
				t.Fatalf("%d different moments, want %d to %d", len(moments), c.leastMoments, c.mostMoments)
			}
		})
	}
}

// newPollingBalancer returns a balancer of the test deployment that polls, with the given numbers of the configuration.
func newPollingBalancer(t *testing.T, seed uint64, numbers Config) *Balancer {
	t.Helper()
	c := testConfig()
	c.PollDiscovery = true
	c.Instances = numbers.Instances
	c.PollWithin = numbers.PollWithin
	c.DrainGrace = numbers.DrainGrace
	b, err := New(c, seed)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// polls says whether the balancer polls when it takes the events.
func polls(b *Balancer, now Time, events ...Event) bool {
	return len(actionsOf[PollEndpointList](b.Step(now, events))) > 0
}

// nextPoll steps the balancer with the events, then at each interval until it polls, and returns the time of the step
// behind that; after a hundred seconds it gives up.
func nextPoll(b *Balancer, now Time, interval time.Duration, events ...Event) Time {
	end := now + 100*time.Second
	polled := polls(b, now, events...)
	for ; !polled && now < end; now += interval {
		polled = polls(b, now)
	}
	return now
}

// Eighty instances start at once from a cached list that has changed since. Discovery serves 14 polls a second, one
// after the other, and drops one that has been queued for two seconds, at full cost. All have the new list while what
// they do not know still counts as not told.
func TestFleetThatStartsAtOnceGetsTheListInTime(t *testing.T) {
	const instances = 80
	for _, seed := range []uint64{1, 2, 3} {
		numbers := Config{Instances: instances, PollWithin: 10 * time.Second}
		start := 100 * time.Second
		discovery := &queuedDiscovery{freeAt: start}
		fleet := make([]*pollingInstance, instances)
		for i := range fleet {
			fleet[i] = &pollingInstance{balancer: newPollingBalancer(t, seed*1000+uint64(i), numbers)}
			discovery.step(fleet[i], start, threeEndpoints(ListCached))
		}
		for now := start; now < start+30*time.Second; now += 5 * ms {
			for _, instance := range fleet {
				discovery.answer(instance, now)
			}
		}
		last := Time(0)
		for i, instance := range fleet {
			most := numbers.PollWithin * 4 / 5
			if instance.droppedOnce {
				most = numbers.PollWithin * 2 // a poll that failed buys time
			}
			if instance.toldAt == 0 || instance.toldAt-start > most {
				t.Errorf("seed %d, instance %d: told at %v, start at %v", seed, i, instance.toldAt, start)
			}
			last = max(last, instance.toldAt-start)
		}
		t.Logf("seed %d: %d polls, the last told after %v", seed, discovery.polls, last)
		if discovery.polls > 2*instances {
			t.Errorf("seed %d: %d polls", seed, discovery.polls)
		}
	}
}

// queuedDiscovery serves polls one after the other, 14 a second. One that was queued for longer than its patience is
// dropped, at full cost.
type queuedDiscovery struct {
	freeAt Time
	polls  int
}

// pollingInstance is an instance before a queuedDiscovery.
type pollingInstance struct {
	balancer    *Balancer
	answerAt    Time // when the poll in flight ends; 0 = none is in flight
	dropped     bool // the poll in flight ends without an answer
	droppedOnce bool
	toldAt      Time
}

// step passes the events to the instance, and queues its poll.
func (d *queuedDiscovery) step(instance *pollingInstance, now Time, events ...Event) {
	const service, patience = time.Second / 14, 2 * time.Second
	if !polls(instance.balancer, now, events...) {
		return
	}
	d.polls++
	begin := max(d.freeAt, now)
	d.freeAt = begin + service
	instance.answerAt = begin + service
	instance.dropped = begin-now > patience
	if instance.dropped {
		instance.answerAt = now + patience
	}
}

// answer ends the poll of an instance whose time has come, and else wakes the instance.
func (d *queuedDiscovery) answer(instance *pollingInstance, now Time) {
	switch {
	case instance.answerAt == 0 || now < instance.answerAt:
		d.step(instance, now)
	case instance.dropped:
		instance.answerAt = 0
		instance.droppedOnce = true
		d.step(instance, now, EndpointList{Kind: ListFailed})
	case instance.toldAt == 0:
		instance.toldAt = now
		d.step(instance, now, EndpointList{Kind: ListDelta})
	}
}

// A poll that was rejected only after it had been queued has spent that time: the next poll, and the 2 s that it may
// be queued, still come within the 6 s at which a change counts as notified that came right behind the poll before.
// After one that is rejected at once the next is not sent sooner than before.
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
	numbers := Config{Instances: fleet, PollWithin: 10 * time.Second, DrainGrace: 2 * time.Second}
	for _, seed := range []uint64{1, 2, 3} {
		firstPolls := map[time.Duration]int{} // by tenth of a second after the silence
		for i := range fleet {
			b := newPollingBalancer(t, seed*1000+uint64(i), numbers)
			now := 100 * time.Second
			b.Step(now, []Event{threeEndpoints(ListCached)})
			for !polls(b, now) {
				now += 10 * ms
			}
			// Its subscription ends in silence now, and so does each connection it opens.
			now += 5*time.Second + slack
			for silence := range 20 {
				from := now
				now = nextPoll(b, now, 10*ms, EndpointList{Kind: ListSilent})
				if silence == 0 {
					firstPolls[(now-from)/(100*ms)]++
				}
				// 1 s of slack and this must leave time for an answer within 2 s and the grace.
				if now-from > numbers.DrainGrace {
					t.Fatalf("seed %d, instance %d: polls %v after silence %d", seed, i, now-from, silence)
				}
				now += connect
			}
		}
		for at, n := range firstPolls {
			if n > fleet/5 {
				t.Errorf("seed %d: %d polls in the tenth of a second %v after the silence", seed, n, at*100*ms)
			}
		}
	}
}
