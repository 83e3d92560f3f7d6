package router

import (
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
)

// Once a response is being forwarded, neither the request's deadline nor the balancer ends it. If it is truncated, the
// client is notified once, by ResponseTruncated, and the request is not retried.
func TestStreamedResponse(t *testing.T) {
	for _, test := range []struct {
		name      string
		end       balance.Status
		served    int
		truncated int
		outcome   audit.Outcome
	}{
		{"complete", balance.StatusDone, 1, 0, audit.Served},
		{"connection reset", balance.StatusReset, 0, 1, audit.Truncated},
		{"endpoint failed", balance.StatusError, 0, 1, audit.Truncated},
	} {
		t.Run(test.name, func(t *testing.T) {
			router, peers, loop := newTestRouter(t)
			client := &fakeClient{loop: loop}
			runFor(router, loop, 400*time.Millisecond, func() {
				req := Request{Class: readClass, ClientTimeout: 120 * time.Millisecond, ReceivedAt: loop.Now(), Job: 1}
				id := accept(t, router, req, client)
				loop.AfterFunc(20*time.Millisecond, func() {
					peers.attempts[0].OnResponseStarted(nil, nil)
					peers.attempts[0].OnResponsePart(make([]byte, 7))
					router.perform(balance.Cancel{ID: id, Attempt: 0})
				})
				loop.AfterFunc(300*time.Millisecond, func() {
					peers.attempts[0].OnResponsePart(make([]byte, 7))
					peers.attempts[0].end(test.end)
				})
			})
			if client.responsesStarted != 1 || client.responseBytes != 14 {
				t.Errorf("got %+v, want one started response of 14 bytes", client)
			}
			if client.served != test.served || client.truncated != test.truncated || client.answers() != test.served {
				t.Errorf("got %+v, want the response served if it is complete, truncated otherwise", client)
			}
			if len(peers.attempts) != 1 || router.InFlight() != 0 {
				t.Errorf("got %d attempts, %d in flight, want 1 and 0", len(peers.attempts), router.InFlight())
			}
			recorded := peers.answers()
			if len(recorded) != 1 || len(recorded[0].Attempts) != 1 {
				t.Fatalf("got audit records %+v, want one with one attempt", recorded)
			}
			if recorded[0].Outcome != test.outcome || recorded[0].Attempts[0].End != test.end {
				t.Errorf("got audit record %+v with a wrong outcome or end of the attempt", recorded[0])
			}
		})
	}
}

// A response that its client withholds is ended at the request's deadline, since the client has seen nothing of it. A
// server that writes a long response slowly would otherwise have it answered seconds after its time.
func TestWithheldResponseEndsAtDeadline(t *testing.T) {
	router, peers, loop := newTestRouter(t)
	client := &fakeClient{loop: loop, withholds: true}
	runFor(router, loop, 400*time.Millisecond, func() {
		req := Request{Class: readClass, ClientTimeout: 120 * time.Millisecond, ReceivedAt: loop.Now(), Job: 1}
		accept(t, router, req, client)
		loop.AfterFunc(20*time.Millisecond, func() { peers.attempts[0].OnResponseStarted(nil, nil) })
	})
	if client.truncated != 1 || client.answers() != 0 {
		t.Errorf("got %+v, want one truncated response and no other answer", client)
	}
	if len(peers.attempts) != 1 || router.InFlight() != 0 {
		t.Errorf("got %d attempts, %d in flight, want 1 and 0", len(peers.attempts), router.InFlight())
	}
}
