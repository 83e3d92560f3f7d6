package router

import (
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/sitefailover"
)

// While a site is lost, what has surely no place is rejected before the balancer hears of it: answered once, with a
// time to retry that clients heed, counted, and with the reason in the audit record.
func TestExcessDemandIsRejectedWhileASiteIsLost(t *testing.T) {
	run := runWithLostSite(t, true)
	router := run.router
	rejected := router.Counts().RejectedForSiteLoss
	if rejected < 50 || rejected > uint64(len(run.clients))*99/100 {
		t.Fatalf("%d of %d rejected", rejected, len(run.clients))
	}
	if cost := router.siteMonitor.classCosts[readClass]; cost > 1 {
		t.Errorf("a request is taken for %.0f s of work, as it was long before the loss", cost)
	}
	recorded := uint64(0)
	for _, answer := range run.peers.answers() {
		if answer.Outcome != audit.Refused || answer.Reason == "" {
			continue
		}
		recorded++
		if len(answer.Attempts) > 0 || answer.Retry < 500*time.Millisecond || answer.Retry > time.Second {
			t.Fatalf("%+v", answer)
		}
	}
	if recorded != rejected {
		t.Errorf("%d rejected, %d in the audit record", rejected, recorded)
	}
	for _, client := range run.clients {
		if client.answers() != 1 {
			t.Fatalf("%+v", client)
		}
	}
	shares := router.SiteRejectedShares()
	if len(shares) != 1 || shares[0].Class != readClass || shares[0].Share <= 0 {
		t.Errorf("%+v", shares)
	}
	known, off := router.LimitSiteRamp("b", 0.5, time.Minute)
	if !known || off || len(router.SiteRamps()) != 1 {
		t.Errorf("%v %v %v", known, off, router.SiteRamps())
	}
}

// Where nothing binds nothing is rejected, whatever is known.
func TestSiteMonitorAloneRejectsNothing(t *testing.T) {
	router := runWithLostSite(t, false).router
	if n := router.Counts().RejectedForSiteLoss; n != 0 || router.SiteRejectedShares() != nil {
		t.Errorf("%d rejected", n)
	}
	if _, off := router.LimitSiteRamp("b", 0.5, time.Minute); !off {
		t.Error("a bound on a ramp is taken though none is in force")
	}
}

// lostSiteRun is a router that is asked for far more than the endpoints outside a lost site can do.
type lostSiteRun struct {
	router   *Router
	peers    *fakePeers
	loop     *eventloop.Loop
	clients  []*fakeClient
	answered int   // attempts that the test has ended
	sent     []int // attempts that were started by each tick
}

// runWithLostSite runs a router for 1.5 s; after 0.4 s operators declare a site lost. withAdmission says whether that
// binds.
func runWithLostSite(t *testing.T, withAdmission bool) *lostSiteRun {
	t.Helper()
	run := &lostSiteRun{}
	run.router, run.peers, run.loop = newTestRouter(t)
	router := run.router
	router.EnableSiteMonitor(sitefailover.DefaultMonitorConfig("a", time.Second, 100))
	router.siteMonitor.classCosts[readClass] = 99 // as a plan of long ago had it
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
		run.loop.AfterFunc(400*time.Millisecond, func() { // the demand is known by then
			if !router.DeclareSiteLost("b", time.Minute) || router.DeclareSiteLost("c", time.Minute) {
				t.Error("sites are not known by name")
			}
		})
	})
	return run
}

// tick ends what was sent 20 ms ago and sends eight requests.
func (run *lostSiteRun) tick(t *testing.T) {
	t.Helper()
	run.sent = append(run.sent, len(run.peers.attempts))
	due := run.sent[max(0, len(run.sent)-11)]
	for ; run.answered < due; run.answered++ {
		attempt := run.peers.attempts[run.answered]
		if !attempt.ended {
			attempt.end(balance.StatusDone)
		}
	}
	for range 8 {
		client := &fakeClient{loop: run.loop}
		run.clients = append(run.clients, client)
		req := Request{Class: readClass, Deadline: 400 * time.Millisecond, ReceivedAt: run.loop.Now(), Job: client}
		accept(t, run.router, req, client)
	}
}

// A site that was lost again while it recovered gets a part of its capacity first, and the balancer is told of each
// change.
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
		log: discardLog(),
	}
	now := time.Hour
	admission.siteStateChanged(now, "b", sitefailover.SiteLost)
	admission.siteStateChanged(now, "b", sitefailover.SiteRecovering)
	next := admission.update(now)
	if len(limiter.shares) != 1 || limiter.shares[0] != 0.1 {
		t.Fatalf("the balancer was told of %v", limiter.shares)
	}
	if next <= now {
		t.Errorf("the next look is at %v", next-now)
	}
}

// While the site parts are off their methods do nothing.
func TestNilSitePartsDoNothing(t *testing.T) {
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
		t.Error("a request is rejected")
	}
}

// fakeZoneLimiter stands for the Router and keeps the shares that it was told.
type fakeZoneLimiter struct{ shares []float64 }

func (l *fakeZoneLimiter) limitZone(_ string, share float64) { l.shares = append(l.shares, share) }

// fakeSiteStates stands for the site monitor: site b has flapped once.
type fakeSiteStates struct{}

func (fakeSiteStates) SiteOf(string) string { return "b" }
func (fakeSiteStates) AnyLost() bool        { return false }
func (fakeSiteStates) Flaps(string) int     { return 1 }
