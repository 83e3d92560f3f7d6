package router

import (
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/sitefailover"
)

// lossy is a router with a site that operators have declared lost, asked for far more than is left can do; act says whether that binds.
func lossy(t *testing.T, act bool) (r *Router, p *peer, all []*owed) {
	t.Helper()
	r, p, l := start(t)
	r.EnableSiteMonitor(sitefailover.DefaultMonitorConfig("a", time.Second, 100))
	r.sites.costs["look"] = 99 // as a plan of long ago had it
	if act {
		r.EnableSiteAdmission(sitefailover.AdmissionConfig{RetrySpread: time.Second}, sitefailover.RecoveryRampConfig{InitialShare: 0.2, Duration: time.Second}, 3)
	}
	r.UpdateEndpoints(balance.EndpointList{Kind: balance.ListFull, Entries: []balance.EndpointEntry{
		{Endpoint: "n1", Zone: "a", State: balance.EndpointReady, Primary: true}, {Endpoint: "n2", Zone: "b", State: balance.EndpointReady}}})
	play(r, l, 1500*time.Millisecond, func() {
		answered, sent := 0, []int{}
		ask := func() {
			sent = append(sent, len(p.calls))
			for ; answered < sent[max(0, len(sent)-11)]; answered++ { // what was sent 20 ms ago
				if c := p.calls[answered]; !c.over {
					c.end(balance.StatusDone)
				}
			}
			for range 8 {
				o := &owed{l: l}
				all = append(all, o)
				if _, err := r.Accept(Request{Class: "look", Deadline: 400 * time.Millisecond, ReceivedAt: l.Now(), Job: o}, o); err != nil {
					t.Error(err)
				}
			}
		}
		for i := range 400 {
			l.AfterFunc(time.Duration(i)*2*time.Millisecond, ask)
		}
		l.AfterFunc(400*time.Millisecond, func() { // what is asked for is known by then
			if !r.DeclareSiteLost("b", time.Minute) || r.DeclareSiteLost("c", time.Minute) {
				t.Error("sites are not known by name")
			}
		})
	})
	return r, p, all
}

// While a site is lost what has surely no place is turned away before the module hears of it: answered once, with a time to come back that
// clients heed, counted, and with the reason in the record.
func TestTurnedAwayWhileASiteIsLost(t *testing.T) {
	r, p, all := lossy(t, true)
	turned := r.Counts().RejectedForSiteLoss
	if turned < 50 || turned > uint64(len(all))*99/100 {
		t.Fatalf("%d of %d turned away", turned, len(all))
	}
	if cost := r.sites.costs["look"]; cost > 1 {
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
		if o.total() != 1 {
			t.Fatalf("%+v", o)
		}
	}
	if got := r.SiteRejectedShares(); len(got) != 1 || got[0].Class != "look" || got[0].Share <= 0 {
		t.Errorf("%+v", got)
	}
	if known, off := r.LimitSiteRamp("b", 0.5, time.Minute); !known || off || len(r.SiteRamps()) != 1 {
		t.Errorf("%v %v %v", known, off, r.SiteRamps())
	}
}

// Where nothing binds nothing is turned away, whatever is known.
func TestWatchingSitesTurnsNobodyAway(t *testing.T) {
	r, _, _ := lossy(t, false)
	if n := r.Counts().RejectedForSiteLoss; n != 0 || r.SiteRejectedShares() != nil {
		t.Errorf("%d turned away", n)
	}
	if _, off := r.LimitSiteRamp("b", 0.5, time.Minute); !off {
		t.Error("a pace is taken though none binds")
	}
}
