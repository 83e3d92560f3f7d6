package balance

import (
	"testing"
	"time"
)

// Each reason why an endpoint may not get a request has its own eligibility value.
func TestEligibility(t *testing.T) {
	for _, c := range []struct {
		name  string
		class string
		set   func(b *Balancer, request *request, endpoint *endpoint)
		want  eligibility
	}{
		{"a replica for a read", "any", func(*Balancer, *request, *endpoint) {}, eligible},
		{"another group", "any", func(_ *Balancer, q *request, _ *endpoint) { q.group = &replicaGroup{} }, inOtherGroup},
		{"answered", "any", func(_ *Balancer, q *request, _ *endpoint) { q.answered = true }, alreadyAnswered},
		{"in flight", "any", func(_ *Balancer, q *request, _ *endpoint) { q.inFlight = 1 }, attemptInFlight},
		{"suspended", "any", func(_ *Balancer, _ *request, e *endpoint) {
			e.discovery.suspended = true
		}, endpointSuspended},
		{"draining", "any", func(_ *Balancer, _ *request, e *endpoint) {
			e.discovery.state = EndpointDraining
		}, endpointNotReady},
		{"a write that may have run", "write", func(_ *Balancer, q *request, _ *endpoint) {
			q.mayHaveRun = true
		}, repeatUnsafe},
		{"a key after its window", "keyed", func(b *Balancer, q *request, _ *endpoint) {
			q.mayHaveRun = true
			q.firstRunAt = b.now - time.Second
		}, idempotencyExpired},
		{"a key in its window", "keyed", func(b *Balancer, q *request, _ *endpoint) {
			q.mayHaveRun = true
			q.firstRunAt = b.now
		}, eligible},
		{"old data", "bounded", func(b *Balancer, _ *request, e *endpoint) {
			e.replication.position = b.now - time.Second
		}, dataTooOld},
		{"suspect", "any", func(b *Balancer, _ *request, e *endpoint) {
			e.health.suspect = true
			e.health.recoveryAt = b.now + ms
		}, recoveryNotDue},
		{"suspect, no load report", "any", func(_ *Balancer, _ *request, e *endpoint) {
			e.health.suspect = true
			e.health.reportedSinceAttempt = false
		}, recoveryNotDue},
		{"suspect, reported", "any", func(_ *Balancer, _ *request, e *endpoint) {
			e.health.suspect = true
			e.health.reportedSinceAttempt = true
		}, eligible},
		{"a write for a suspect endpoint", "write", func(b *Balancer, _ *request, e *endpoint) {
			e.health.suspect = true
			e.health.suspectSince = b.now
			e.health.reportedSinceAttempt = true
		}, writeTooRisky},
		{"at its concurrency limit", "any", func(_ *Balancer, _ *request, e *endpoint) {
			e.limit.attempts = 1
			e.inFlight = []*attempt{{}}
		}, concurrencyExhausted},
		{"backing off", "any", func(b *Balancer, _ *request, e *endpoint) {
			e.limit.rejectingUntil = b.now + ms
		}, backingOff},
		{"zone closed", "any", func(b *Balancer, _ *request, e *endpoint) { b.zoneCapacities[e.zone] = 0 }, zoneClosed},
		{"no credit", "any", func(b *Balancer, _ *request, e *endpoint) {
			e.limit.attempts = 0.5
			e.credit.start(0, b.now)
		}, creditExhausted},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t, testConfig())
			b := h.balancer
			request := &request{class: b.classes[c.class], group: b.groups[1]}
			endpoint := b.endpoints["b"]
			c.set(b, request, endpoint)
			if got := b.eligibility(request, endpoint); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestEligibilityTexts(t *testing.T) {
	seen := map[string]bool{}
	for reason := eligible; reason <= creditExhausted; reason++ {
		text := reason.String()
		if text == "" || seen[text] {
			t.Errorf("reason %d: text %q is empty or used before", reason, text)
		}
		seen[text] = true
	}
}
