package router

import (
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/sitefailover"
)

// lossy is a router with a site that operators have declared lost, asked for far more than is left can do; act says whether that binds.
func runWithLostSite(t *testing.T, act bool) (router *Router, p *testPeers, all []*testClient) {
	t.Helper()
	router, p, l := newTestRouter(t)
	router.EnableSiteMonitor(sitefailover.DefaultConfig("a", time.Second, 100))
	router.siteMonitor.classCosts["look"] = 99 // as a plan of long ago had it
	if act {
		router.EnableSiteAdmission(sitefailover.AdmissionConfig{RetrySpread: time.Second}, sitefailover.RecoveryRampConfig{InitialShare: 0.2, Duration: time.Second}, 3)
	}
	router.UpdateEndpoints(balance.EndpointList{Kind: balance.ListFull, Entries: []balance.EndpointEntry{
		{Endpoint: "n1", Zone: "a", State: balance.EndpointReady, Primary: true}, {Endpoint: "n2", Zone: "b", State: balance.EndpointReady},
	}})
	runFor(router, l, 1500*time.Millisecond, func() {
		answered, sent := 0, []int{}
		ask := func() {
			sent = append(sent, len(p.calls))
			for ; answered < sent[max(0, len(sent)-11)]; answered++ { // what was sent 20 ms ago
				if c := p.calls[answered]; !c.ended {
					c.end(balance.StatusDone)
				}
			}
			for range 8 {
				o := &testClient{loop: l}
				all = append(all, o)
				if _, err := router.Accept(Request{Class: "look", Deadline: 400 * time.Millisecond, ReceivedAt: l.Now(), Job: o}, o); err != nil {
					t.Error(err)
				}
			}
		}
		for i := range 400 {
			l.AfterFunc(time.Duration(i)*2*time.Millisecond, ask)
		}
		l.AfterFunc(400*time.Millisecond, func() { // what is asked for is known by then
			if !router.DeclareSiteLost("b", time.Minute) || router.DeclareSiteLost("c", time.Minute) {
				t.Error("sites are not known by name")
			}
		})
	})
	return router, p, all
}

// While a site is lost what has surely no place is turned away before the module hears of it: answered once, with a time to come back that
// clients heed, counted, and with the reason in the record.
func TestExcessDemandIsRejectedWhileASiteIsLost(t *testing.T) {
	router, p, all := runWithLostSite(t, true)
	turned := router.Counts().RejectedForSiteLoss
	if turned < 50 || turned > uint64(len(all))*99/100 {
		t.Fatalf("%d of %d turned away", turned, len(all))
	}
	if cost := router.siteMonitor.classCosts["look"]; cost > 1 {
		t.Errorf("a request is taken for %.0f s of work, as it was long before the loss", cost)
	}
	said := uint64(0)
	for _, e := range p.events {
		if a, ok := e.(*audit.Answer); ok && a.Outcome == audit.Refused && a.Why != "" {
			said++
			if len(a.Attempts) > 0 || a.Retry < 500*time.Millisecond || a.Retry > time.Second {
				t.Fatalf("%+v", a)
			}
		}
	}
	if said != turned {
		t.Errorf("%d turned away, %d in the record", turned, said)
	}
	for _, o := range all {
		if o.answers() != 1 {
			t.Fatalf("%+v", o)
		}
	}
	if got := router.SiteRejectedShares(); len(got) != 1 || got[0].Class != "look" || got[0].Share <= 0 {
		t.Errorf("%+v", got)
	}
	if known, off := router.LimitSiteRamp("b", 0.5, time.Minute); !known || off || len(router.SiteRamps()) != 1 {
		t.Errorf("%v %v %v", known, off, router.SiteRamps())
	}
}

// Where nothing binds nothing is turned away, whatever is known.
func TestSiteMonitorAloneRejectsNothing(t *testing.T) {
	router, _, _ := runWithLostSite(t, false)
	if n := router.Counts().RejectedForSiteLoss; n != 0 || router.SiteRejectedShares() != nil {
		t.Errorf("%d turned away", n)
	}
	if _, off := router.LimitSiteRamp("b", 0.5, time.Minute); !off {
		t.Error("a pace is taken though none binds")
	}
}
