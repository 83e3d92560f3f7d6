package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/testserver/check"
)

// failoverCase is a test case: a sequence of faults in replica groups while clients send requests.
type failoverCase struct {
	name              string
	groups            int           // 0 = 1
	clientsDisconnect bool          // some clients disconnect before they are answered
	statementBytes    int           // padding of each statement, in bytes
	responseBytes     int           // length of each response, 0 = a short one
	requestsPerSecond int           // 0 = 50
	loadTime          time.Duration // 0 = 1.6 s
	withPrimaryReads  bool          // clients also send reads that only the primary may answer
	allowsRejections  bool          // many rejections are expected in this case
	act               func(scenario *failoverScenario, rng *rand.Rand)
}

// failoverCases returns all cases. The index of a case is the seed of its random numbers.
func failoverCases() []failoverCase {
	return slices.Concat(
		primaryLossCases(),
		successorCases(),
		requestCases(),
		repeatedFailoverCases(),
		shortLossCases())
}

// primaryLossCases returns cases for all ways to lose a primary, with different times until the promotion.
func primaryLossCases() []failoverCase {
	var cases []failoverCase
	for _, loss := range []primaryLoss{
		primaryDies, primaryHangs, primaryDrains, primaryReportsReplica, failoverAnnounced, primaryIsSuspended,
	} {
		for _, outage := range []time.Duration{
			100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
		} {
			cases = append(cases, failoverCase{
				name: fmt.Sprintf("%s, successor after %v", loss, outage),
				act: func(scenario *failoverScenario, rng *rand.Rand) {
					scenario.failOver(0, 0, 1+rng.IntN(2), loss, outage)
				},
			})
		}
		cases = append(cases, failoverCase{
			name:              fmt.Sprintf("%s, clients disconnect", loss),
			clientsDisconnect: true,
			act: func(scenario *failoverScenario, _ *rand.Rand) {
				scenario.failOver(0, 0, 1, loss, 300*time.Millisecond)
			},
		})
	}
	return cases
}

// successorCases returns cases in which the successor is missing or fails too, or the old primary returns.
func successorCases() []failoverCase {
	return []failoverCase{
		{
			name:             "two groups, one never gets a successor",
			groups:           2,
			allowsRejections: true,
			act: func(scenario *failoverScenario, _ *rand.Rand) {
				scenario.groups[1][0].SetPrimary(false)
				scenario.groups[1][0].Stop()
				scenario.failOver(0, 0, 2, primaryDies, 400*time.Millisecond)
			},
		},
		{
			name: "the old primary returns and believes it is primary",
			act: func(scenario *failoverScenario, _ *rand.Rand) {
				scenario.failOver(0, 0, 1, primaryDies, 300*time.Millisecond)
				scenario.groups[0][0].SetLag(time.Minute) // it no longer receives updates
				scenario.restart(scenario.groups[0][0])
			},
		},
		{
			name:             "the successor dies while queued requests are released",
			allowsRejections: true,
			act: func(scenario *failoverScenario, _ *rand.Rand) {
				scenario.failOver(0, 0, 1, primaryDies, 300*time.Millisecond)
				time.Sleep(30 * time.Millisecond)
				scenario.failOver(0, 1, 2, primaryDies, 300*time.Millisecond)
			},
		},
	}
}

// requestCases returns cases with reads, long statements and long responses.
func requestCases() []failoverCase {
	const (
		longStatement = 100_000
		longResponse  = 300_000
	)
	loseFirstPrimary := func(to int, loss primaryLoss, outage time.Duration) func(*failoverScenario, *rand.Rand) {
		return func(scenario *failoverScenario, _ *rand.Rand) { scenario.failOver(0, 0, to, loss, outage) }
	}
	return []failoverCase{
		{
			name:             "latest reads and session reads",
			withPrimaryReads: true,
			act:              loseFirstPrimary(1, primaryDies, 500*time.Millisecond),
		},
		{
			name:             "latest reads and session reads, during a drain",
			withPrimaryReads: true,
			act:              loseFirstPrimary(2, primaryDrains, 300*time.Millisecond),
		},
		{
			name:           "long statements",
			statementBytes: longStatement,
			act:            loseFirstPrimary(1, primaryDies, 500*time.Millisecond),
		},
		{
			name:             "long responses",
			responseBytes:    longResponse,
			allowsRejections: true,
			act:              loseFirstPrimary(1, primaryDies, 500*time.Millisecond),
		},
		{
			name:             "long responses, and a hang",
			responseBytes:    longResponse,
			allowsRejections: true,
			act:              loseFirstPrimary(1, primaryHangs, 500*time.Millisecond),
		},
		{
			name:             "long responses during a drain",
			responseBytes:    longResponse,
			allowsRejections: true,
			act:              loseFirstPrimary(2, primaryDrains, 300*time.Millisecond),
		},
	}
}

// repeatedFailoverCases returns cases with several failovers of the same group.
func repeatedFailoverCases() []failoverCase {
	return []failoverCase{
		{
			name:              "a flapping group, five failovers in 30 s",
			requestsPerSecond: 20,
			loadTime:          31 * time.Second,
			act:               flap,
		},
		{
			name: "the successor hangs right after its promotion",
			act: func(scenario *failoverScenario, _ *rand.Rand) {
				scenario.failOver(0, 0, 1, primaryDies, 100*time.Millisecond)
				time.Sleep(200 * time.Millisecond) // the failover is complete, and the next health check is due in a second
				scenario.failOver(0, 1, 2, primaryHangs, 300*time.Millisecond)
			},
		},
		{
			name: "five failovers",
			act: func(scenario *failoverScenario, _ *rand.Rand) {
				for i := range 5 {
					scenario.failOver(0, i%3, (i+1)%3, primaryReportsReplica, 100*time.Millisecond)
					time.Sleep(100 * time.Millisecond)
				}
			},
		},
	}
}

// flap makes a group fail over five times. A primary that died returns as a replica.
func flap(scenario *failoverScenario, rng *rand.Rand) {
	losses := []primaryLoss{primaryReportsReplica, primaryHangs, primaryDies, primaryReportsReplica, primaryDies}
	for i, loss := range losses {
		old := scenario.groups[0][i%3]
		outage := 300*time.Millisecond + time.Duration(rng.IntN(500))*time.Millisecond
		scenario.failOver(0, i%3, (i+1)%3, loss, outage)
		time.Sleep(time.Second)
		old.Hang(false)
		if loss == primaryDies {
			scenario.restart(old)
		}
		time.Sleep(4 * time.Second)
	}
}

// shortLossCases returns cases in which the primary is lost only for a short time or only for this router, and one with
// a lagging successor.
func shortLossCases() []failoverCase {
	return []failoverCase{
		{
			name: "the hang ends just before the promotion",
			act: func(scenario *failoverScenario, _ *rand.Rand) {
				old := scenario.groups[0][0]
				old.Hang(true)
				time.Sleep(300 * time.Millisecond)
				old.SetPrimary(false)
				old.Hang(false)
				time.Sleep(10 * time.Millisecond)
				scenario.promote(scenario.groups[0][1])
			},
		},
		{
			name: "a short hang of a primary that stays primary",
			act: func(scenario *failoverScenario, _ *rand.Rand) {
				scenario.groups[0][0].Hang(true)
				time.Sleep(300 * time.Millisecond)
				scenario.groups[0][0].Hang(false)
			},
		},
		{
			name: "only this router can't reach the primary",
			act: func(scenario *failoverScenario, _ *rand.Rand) {
				scenario.groups[0][0].Stop()
				time.Sleep(400 * time.Millisecond)
				scenario.restart(scenario.groups[0][0])
			},
		},
		{
			name: "the successor lags the most",
			act: func(scenario *failoverScenario, _ *rand.Rand) {
				scenario.groups[0][2].SetLag(10 * time.Second)
				scenario.failOver(0, 0, 2, primaryDies, 300*time.Millisecond)
			},
		},
	}
}

// In every failover case each request is answered once and in time, none runs twice, none is lost silently, and none is
// sent to a server that is draining or suspended.
func TestFailovers(t *testing.T) {
	var mu sync.Mutex
	var firstWrites []time.Duration
	t.Run("all", func(t *testing.T) {
		for i, failover := range failoverCases() {
			t.Run(failover.name, func(t *testing.T) {
				t.Parallel()
				measured := failover.run(t, uint64(i))
				mu.Lock()
				defer mu.Unlock()
				firstWrites = append(firstWrites, measured...)
			})
		}
	})
	if len(firstWrites) == 0 {
		t.Fatal("no write ran on a successor")
	}
	slices.Sort(firstWrites)
	t.Logf("first write after a promotion: median %v, worst %v of %d",
		firstWrites[len(firstWrites)/2], firstWrites[len(firstWrites)-1], len(firstWrites))
}

// run runs the case and returns the times from promotions to the first writes after them.
func (c *failoverCase) run(t *testing.T, seed uint64) []time.Duration {
	t.Helper()
	scenario := newFailoverScenario(t, max(1, c.groups), true, 1500*time.Millisecond)
	scenario.withPrimaryReads = c.withPrimaryReads
	scenario.statementPadding = strings.Repeat("x", c.statementBytes)
	scenario.responseBytes = c.responseBytes
	for _, server := range scenario.groups[0] {
		if c.withPrimaryReads {
			server.SetLag(10 * time.Second)
		}
		if c.responseBytes > 0 {
			server.SetResponseSize(c.responseBytes)
		}
	}
	go func() {
		time.Sleep(300 * time.Millisecond)
		c.act(scenario, rand.New(rand.NewPCG(seed, 10)))
	}()
	scenario.runLoad(cmp.Or(c.requestsPerSecond, 50), cmp.Or(c.loadTime, 1600*time.Millisecond), c.clientsDisconnect)
	for _, fault := range scenario.finish() {
		t.Error(fault)
	}
	served, rejected, failed, disconnected := check.Count(scenario.requests)
	t.Logf("%d served, %d rejected, %d failed, %d disconnected", served, rejected, failed, disconnected)
	// On a busy machine a few requests may miss their deadline; without a failover queue a fifth or more are rejected.
	if !c.allowsRejections && rejected > len(scenario.requests)/20 {
		t.Errorf("%d requests rejected, want at most a twentieth", rejected)
	}
	firstWrites := scenario.firstWritesAfterPromotions()
	t.Logf("first writes %v after promotions", firstWrites)
	return firstWrites
}
