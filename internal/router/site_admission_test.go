package router

import (
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/sitefailover"
)

// While a site is lost, demand that exceeds the remaining capacity is rejected before it reaches the balancer: answered
// once, with a Retry-After, counted, and with the reason in the audit record.
func TestExcessDemandIsRejectedWhileASiteIsLost(t *testing.T) {
	run := runWithLostSite(t, true)
	router := run.router
	rejected := router.Counts().RejectedForSiteLoss
	if rejected < 50 || rejected > uint64(len(run.clients))*99/100 {
		t.Fatalf("got %d of %d requests rejected, want at least 50 and at most 99 %%", rejected, len(run.clients))
	}
	if cost := router.siteMonitor.classCosts[readClass]; cost > 1 {
		t.Errorf("class cost is %.0f s of work, want it to be measured anew at the loss", cost)
	}
	recorded := uint64(0)
	for _, answer := range run.peers.answers() {
		if answer.Outcome != audit.Rejected || answer.Reason == "" {
			continue
		}
		recorded++
		if len(answer.Attempts) > 0 || answer.Retry < 500*time.Millisecond || answer.Retry > time.Second {
			t.Fatalf("got audit record %+v, want no attempts and a Retry-After of 500 ms to 1 s", answer)
		}
	}
	if recorded != rejected {
		t.Errorf("got %d requests rejected for site loss, %d with a reason in the audit record", rejected, recorded)
	}
	for _, client := range run.clients {
		if client.answers() != 1 {
			t.Fatalf("got %+v, want one answer", client)
		}
	}
	shares := router.SiteRejectedShares()
	if len(shares) != 1 || shares[0].Class != readClass || shares[0].Share <= 0 {
		t.Errorf("got rejected shares %+v, want one of the read class", shares)
	}
	known, off := router.LimitSiteRamp("b", 0.5, time.Minute)
	if !known || off || len(router.SiteRamps()) != 1 {
		t.Errorf("LimitSiteRamp returned known %v, off %v; ramps %v, want true, false, one ramp",
			known, off, router.SiteRamps())
	}
}

// With the site monitor but without site admission, no request is rejected for the loss of a site.
func TestSiteMonitorAloneRejectsNothing(t *testing.T) {
	router := runWithLostSite(t, false).router
	if n := router.Counts().RejectedForSiteLoss; n != 0 || router.SiteRejectedShares() != nil {
		t.Errorf("got %d requests rejected for site loss, want 0 and no rejected shares", n)
	}
	if _, off := router.LimitSiteRamp("b", 0.5, time.Minute); !off {
		t.Error("LimitSiteRamp did not report that site admission is disabled")
	}
}

// lostSiteRun is a run of a router whose demand far exceeds the capacity of the endpoints outside a lost site.
type lostSiteRun struct {
	router         *Router
	peers          *fakePeers
	loop           *eventloop.Loop
	clients        []*fakeClient
	endedAttempts  int   // number of attempts that the test has ended
	attemptsAtTick []int // number of attempts that had been started at each tick
}

// runWithLostSite runs a router for 1.5 s. After 0.4 s an operator declares site b lost. withAdmission enables site
// admission.
func runWithLostSite(t *testing.T, withAdmission bool) *lostSiteRun {
	t.Helper()
	run := &lostSiteRun{}
	run.router, run.peers, run.loop = newTestRouter(t)
	router := run.router
	router.EnableSiteMonitor(sitefailover.DefaultMonitorConfig("a", time.Second, 100))
	router.siteMonitor.classCosts[readClass] = 99 // outdated value from an earlier plan
	if withAdmission {
		ramp := sitefailover.RecoveryRampConfig{InitialShare: 0.2, Duration: time.Second}
		router.EnableSiteAdmission(sitefailover.AdmissionConfig{RetrySpread: time.Second}, ramp, 3)
	}
	router.UpdateEndpoints(balance.EndpointList{Kind: balance.ListFull, Entries: []balance.EndpointEntry{
		{Endpoint: "n1", Zone: "a", State: balance.EndpointReady, Primary: true},
		{Endpoint: "n2", Zone: "b", State: balance.EndpointReady},
	}})
	runFor(router, run.loop, 1500*time.Millisecond, func() {
		for i := range 400 {
			run.loop.AfterFunc(time.Duration(i)*2*time.Millisecond, func() { run.tick(t) })
		}
		run.loop.AfterFunc(400*time.Millisecond, func() { // the demand has been measured by then
			if !router.DeclareSiteLost("b", time.Minute) || router.DeclareSiteLost("c", time.Minute) {
				t.Error("DeclareSiteLost: want site b known and site c unknown")
			}
		})
	})
	return run
}

// tick ends the attempts that were sent 20 ms ago and sends eight requests.
func (run *lostSiteRun) tick(t *testing.T) {
	t.Helper()
	run.attemptsAtTick = append(run.attemptsAtTick, len(run.peers.attempts))
	due := run.attemptsAtTick[max(0, len(run.attemptsAtTick)-11)]
	for ; run.endedAttempts < due; run.endedAttempts++ {
		attempt := run.peers.attempts[run.endedAttempts]
		if !attempt.ended {
			attempt.end(balance.StatusDone)
		}
	}
	for range 8 {
		client := &fakeClient{loop: run.loop}
		run.clients = append(run.clients, client)
		req := Request{Class: readClass, ClientTimeout: 400 * time.Millisecond, ReceivedAt: run.loop.Now(), Job: client}
		accept(t, run.router, req, client)
	}
}

// A site that was lost again while it recovered is used only for part of its capacity at first, and the balancer is
// notified of each change.
func TestRecoveryOfAFlappingSiteIsPaced(t *testing.T) {
	limiter := &fakeZoneLimiter{}
	admission := &siteAdmission{
		limiter:    limiter,
		states:     fakeSiteStates{},
		planInput:  func() sitefailover.PlanInput { return sitefailover.PlanInput{} },
		controller: sitefailover.NewAdmissionController(sitefailover.AdmissionConfig{}, 1),
		ramp: sitefailover.NewRecoveryRamp(sitefailover.RecoveryRampConfig{
			InitialShare: 0.2,
			Duration:     time.Second,
		}),
		log: discardLogger(),
	}
	now := time.Hour
	admission.siteStateChanged(now, "b", sitefailover.SiteLost)
	admission.siteStateChanged(now, "b", sitefailover.SiteRecovering)
	next := admission.update(now)
	if len(limiter.shares) != 1 || limiter.shares[0] != 0.1 {
		t.Fatalf("got zone limits %v, want one of 0.1", limiter.shares)
	}
	if next <= now {
		t.Errorf("next update is due in %v, want a positive time", next-now)
	}
}

// The methods of a nil site monitor and of nil site admission, which means that they are disabled, do nothing.
func TestNilSiteComponentsDoNothing(t *testing.T) {
	var monitor *siteMonitor
	req := newQueuedRequest("1", 7)
	monitor.recordDemand(req)
	monitor.recordResult("n1", &Result{})
	monitor.primaryUpdated(balance.PrimaryUpdate{Confirmed: true})
	monitor.endpointsUpdated(testEndpoints(true))
	monitor.step()
	var admission *siteAdmission
	admission.recordResult("n1", balance.StatusDone)
	if _, rejected := admission.shouldReject(req); rejected {
		t.Error("nil site admission rejects a request")
	}
}

// fakeZoneLimiter implements zoneLimiter and records the shares.
type fakeZoneLimiter struct{ shares []float64 }

func (l *fakeZoneLimiter) limitZone(_ string, share float64) { l.shares = append(l.shares, share) }

// fakeSiteStates implements siteStates: all endpoints are in site b, which has flapped once.
type fakeSiteStates struct{}

func (fakeSiteStates) SiteOf(string) string { return "b" }
func (fakeSiteStates) AnyLost() bool        { return false }
func (fakeSiteStates) Flaps(string) int     { return 1 }
