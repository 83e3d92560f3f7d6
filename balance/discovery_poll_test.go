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
		{"each further instance adds to the spread", Config{Instances: 13}, 10 * pollSpacing},
		{"bounded by PollWithin", Config{Instances: 300, PollWithin: 10 * time.Second}, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := pollSpread(&c.config); got != c.want {
				t.Errorf("spread %v, want %v", got, c.want)
			}
		})
	}
}

func TestPollBackoff(t *testing.T) {
	c := testConfig()
	c.PollDiscovery = true
	h := newHarness(t, c, EndpointList{Kind: ListFailed})
	pollCount := 0
	for range 500 {
		acts := h.step(10 * ms)
		if len(actionsOf[PollEndpointList](acts)) > 0 {
			pollCount++
			h.step(0, EndpointList{Kind: ListFailed})
		}
	}
	if pollCount < 2 || pollCount > 8 {
		t.Fatalf("%d polls in 5 s of failures, want 2 to 8", pollCount)
	}
}

// Many instances that start or lose their subscriptions at the same time spread their polls. A few poll at once.
func TestManyInstancesSpreadTheirPolls(t *testing.T) {
	for _, c := range []struct {
		instances          int
		minPollTimes       int // distinct times of the first poll
		maxPollTimes       int
		minDelay, maxDelay time.Duration // of the poll after a failure
	}{
		{instances: 3, minPollTimes: 1, maxPollTimes: 1, maxDelay: 3*time.Second + 100*ms},
		{instances: 36, minPollTimes: 30, maxPollTimes: 40, minDelay: 2 * time.Second, maxDelay: never},
	} {
		t.Run(fmt.Sprint(c.instances, " instances"), func(t *testing.T) {
			pollTimes := map[time.Duration]bool{}
			for seed := range uint64(40) {
				b := newPollingBalancer(t, seed, Config{Instances: c.instances})
				now := nextPoll(b, 100*time.Second, 10*ms, threeEndpoints(ListCached))
				pollTimes[now] = true
				for round := range 6 { // the delay grows with each failure, up to a maximum
					failed := now
					now = nextPoll(b, now, 10*ms, EndpointList{Kind: ListFailed})
					// A change counts as notified 6 s after discovery had it, even if the poll failed. The delay of the
					// next poll and the 2 s that it may be queued must fit.
					delay := now - failed
					if delay+2*time.Second > 5600*ms || delay < c.minDelay || delay > c.maxDelay {
						t.Errorf("failure %d: next poll after %v, want at most 3.6 s and a delay within the bounds of the case",
							round, delay)
					}
				}
			}
			if len(pollTimes) < c.minPollTimes || len(pollTimes) > c.maxPollTimes {
				t.Fatalf("first polls at %d different times, want %d to %d", len(pollTimes), c.minPollTimes, c.maxPollTimes)
			}
		})
	}
}

// newPollingBalancer returns a balancer that polls discovery, with the test configuration except for the values in
// overrides.
func newPollingBalancer(t *testing.T, seed uint64, overrides Config) *Balancer {
	t.Helper()
	c := testConfig()
	c.PollDiscovery = true
	c.Instances = overrides.Instances
	c.PollWithin = overrides.PollWithin
	c.DrainGrace = overrides.DrainGrace
	b, err := New(c, seed)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// stepPolls steps the balancer with the events and reports whether it polls.
func stepPolls(b *Balancer, now Time, events ...Event) bool {
	return len(actionsOf[PollEndpointList](b.Step(now, events))) > 0
}

// nextPoll steps the balancer with the events, then at each interval until it polls. It returns the time of the poll
// plus one interval, or now if the first step polls. It gives up after 100 s.
func nextPoll(b *Balancer, now Time, interval time.Duration, events ...Event) Time {
	end := now + 100*time.Second
	polled := stepPolls(b, now, events...)
	for ; !polled && now < end; now += interval {
		polled = stepPolls(b, now)
	}
	return now
}

// 80 instances start at the same time from a cached list that has changed since. Discovery serves one poll after the
// other, 14 per second, and drops polls that were queued for 2 s, which still take their service time. All instances
// must receive the new list before the changes count as notified.
func TestSimultaneousStartReceivesListInTime(t *testing.T) {
	const instances = 80
	for _, seed := range []uint64{1, 2, 3} {
		overrides := Config{Instances: instances, PollWithin: 10 * time.Second}
		start := 100 * time.Second
		discovery := &queuedDiscovery{freeAt: start}
		fleet := make([]*pollingInstance, instances)
		for i := range fleet {
			fleet[i] = &pollingInstance{balancer: newPollingBalancer(t, seed*1000+uint64(i), overrides)}
			discovery.step(fleet[i], start, threeEndpoints(ListCached))
		}
		for now := start; now < start+30*time.Second; now += 5 * ms {
			for _, instance := range fleet {
				discovery.answer(instance, now)
			}
		}
		last := Time(0)
		for i, instance := range fleet {
			most := overrides.PollWithin * 4 / 5
			if instance.droppedOnce {
				most = overrides.PollWithin * 2 // a failed poll extends the time
			}
			if instance.listReceivedAt == 0 || instance.listReceivedAt-start > most {
				t.Errorf("seed %d, instance %d: list received at %v, start at %v; want it within 8 s, 20 s after a dropped poll",
					seed, i, instance.listReceivedAt, start)
			}
			last = max(last, instance.listReceivedAt-start)
		}
		t.Logf("seed %d: %d polls, the last list received after %v", seed, discovery.polls, last)
		if discovery.polls > 2*instances {
			t.Errorf("seed %d: %d polls, want at most two per instance", seed, discovery.polls)
		}
	}
}

// queuedDiscovery models a discovery service that serves one poll after the other, 14 per second. A poll that was
// queued for longer than 2 s is dropped, but still takes its service time.
type queuedDiscovery struct {
	freeAt Time
	polls  int
}

// pollingInstance is an instance that polls a queuedDiscovery.
type pollingInstance struct {
	balancer       *Balancer
	pollEndsAt     Time // when the poll in flight ends; 0 = none is in flight
	dropped        bool // the poll in flight ends without an answer
	droppedOnce    bool
	listReceivedAt Time
}

// step passes the events to the instance and queues its poll, if it sends one.
func (d *queuedDiscovery) step(instance *pollingInstance, now Time, events ...Event) {
	const serviceTime, maxQueueTime = time.Second / 14, 2 * time.Second
	if !stepPolls(instance.balancer, now, events...) {
		return
	}
	d.polls++
	begin := max(d.freeAt, now)
	d.freeAt = begin + serviceTime
	instance.pollEndsAt = begin + serviceTime
	instance.dropped = begin-now > maxQueueTime
	if instance.dropped {
		instance.pollEndsAt = now + maxQueueTime
	}
}

// answer ends the instance's poll if it is due, and otherwise wakes the instance.
func (d *queuedDiscovery) answer(instance *pollingInstance, now Time) {
	switch {
	case instance.pollEndsAt == 0 || now < instance.pollEndsAt:
		d.step(instance, now)
	case instance.dropped:
		instance.pollEndsAt = 0
		instance.droppedOnce = true
		d.step(instance, now, EndpointList{Kind: ListFailed})
	case instance.listReceivedAt == 0:
		instance.listReceivedAt = now
		d.step(instance, now, EndpointList{Kind: ListDelta})
	}
}

// A change that follows a poll immediately counts as notified 6 s later. If that poll is queued before it is rejected,
// the next poll and the 2 s that it may be queued must still fit into the 6 s, so the delay counts from the poll. A
// poll that is rejected earlier must not bring the next one forward: there are at least 1.9 s between the two.
func TestPollDelayCountsFromThePoll(t *testing.T) {
	const maxQueueTime, networkDelay = 2 * time.Second, 250 * ms
	for seed := range uint64(100) {
		for _, took := range []time.Duration{5 * ms, 700 * ms, maxQueueTime} {
			c := testConfig()
			c.Instances = 300
			c.PollDiscovery = true
			c.PollWithin = 10 * time.Second
			c.DrainGrace = 1200 * ms
			b, err := New(c, seed)
			if err != nil {
				t.Fatal(err)
			}
			now := 100 * time.Second
			b.Step(now, []Event{threeEndpoints(ListFull)}) // the next poll is sent at once
			for round := range 6 {
				previousPoll := now
				now += took
				failed := now
				polled := len(actionsOf[PollEndpointList](b.Step(now, []Event{EndpointList{Kind: ListFailed}}))) > 0
				for ; !polled; now += 5 * ms {
					polled = len(actionsOf[PollEndpointList](b.Step(now, nil))) > 0
				}
				if sincePreviousPoll := now - previousPoll; sincePreviousPoll+maxQueueTime+networkDelay > 6*time.Second {
					t.Errorf("seed %d, rejected after %v, round %d: next poll %v after the previous one, want at most 3.75 s",
						seed, took, round, sincePreviousPoll)
				}
				if wait := now - failed; took < maxQueueTime && now-previousPoll < 1900*ms || wait < 400*ms {
					t.Errorf("seed %d, rejected after %v, round %d: next poll %v after that, want 400 ms, and 1.9 s between polls",
						seed, took, round, wait)
				}
			}
		}
	}
}

// The network between routers and discovery fails while subscriptions are active. Changes count as notified 2 s after a
// subscription's timeout, and sends must end within the drain grace from then on. Each of 300 instances must poll again
// within the grace, whenever the network is back, and not all at the same time.
func TestSilentDiscoveryIsPolledAgainWithinDrainGrace(t *testing.T) {
	const instances, slack, connect = 300, time.Second, 250 * ms
	overrides := Config{Instances: instances, PollWithin: 10 * time.Second, DrainGrace: 2 * time.Second}
	for _, seed := range []uint64{1, 2, 3} {
		firstPolls := map[time.Duration]int{} // count by tenths of a second after the silence
		for i := range instances {
			b := newPollingBalancer(t, seed*1000+uint64(i), overrides)
			now := 100 * time.Second
			b.Step(now, []Event{threeEndpoints(ListCached)})
			for !stepPolls(b, now) {
				now += 10 * ms
			}
			// The subscription times out in silence, and so does each new connection.
			now += 5*time.Second + slack
			for silence := range 20 {
				from := now
				now = nextPoll(b, now, 10*ms, EndpointList{Kind: ListSilent})
				if silence == 0 {
					firstPolls[(now-from)/(100*ms)]++
				}
				// The delay, with 1 s of slack, must leave time for a response within 2 s and the grace.
				if now-from > overrides.DrainGrace {
					t.Fatalf("seed %d, instance %d: polls %v after silence %d, want within the grace", seed, i, now-from, silence)
				}
				now += connect
			}
		}
		for at, n := range firstPolls {
			if n > instances/5 {
				t.Errorf("seed %d: %d polls within 100 ms, %v after the silence, want at most a fifth of the instances",
					seed, n, at*100*ms)
			}
		}
	}
}
