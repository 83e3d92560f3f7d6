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

// Clients that read long responses slowly occupied all connections to the endpoints, and short requests of others were
// rejected. Only so many responses are streamed, in all and from one endpoint; a further one is rejected when it begins
// to arrive, a write is not.
func TestStreamedResponsesAreLimited(t *testing.T) {
	router, peers, loop := newTestRouter(t)
	router.limits.Router.StreamedResponses = 3
	router.limits.Router.StreamedPerEndpoint = 2
	var clients []*fakeClient
	runFor(router, loop, 200*time.Millisecond, func() {
		for i, class := range []string{readClass, readClass, readClass, writeClass} {
			client := &fakeClient{loop: loop}
			clients = append(clients, client)
			accept(t, router, Request{Class: class, ClientTimeout: time.Second, ReceivedAt: loop.Now(), Job: i}, client)
		}
		loop.AfterFunc(20*time.Millisecond, func() {
			for _, attempt := range peers.attempts {
				router.streamed.started(attempt.Endpoint) // as if a client were reading another one
				router.streamed.started(attempt.Endpoint)
				attempt.OnResponseStarted(nil, nil)
				router.streamed.ended(attempt.Endpoint)
				router.streamed.ended(attempt.Endpoint)
			}
		})
	})
	if len(peers.attempts) != len(clients) {
		t.Fatalf("got %d attempts, want one for each of %d requests", len(peers.attempts), len(clients))
	}
	for i, client := range clients[:3] {
		if client.rejected != 1 || client.responsesStarted != 0 || !peers.attempts[i].ended {
			t.Errorf("read %d: got %+v, attempt ended %t, want it rejected and given up", i, client, peers.attempts[i].ended)
		}
	}
	if write := clients[3]; write.responsesStarted != 1 || write.answers() != 0 {
		t.Errorf("write: got %+v, want its response started", write)
	}
	peers.attempts[3].end(balance.StatusDone)
	router.Step()
	if clients[3].served != 1 || router.streamed.total != 0 || len(router.streamed.byEndpoint) != 0 {
		t.Errorf("got %+v and %+v, want the write served and no response streamed", clients[3], router.streamed)
	}
}

// The responses to hundreds of clients that do not read exceeded the memory, one for each. If there is no room to keep
// a response, a read is rejected, which does no harm; a write is answered in any case.
func TestResponseWithoutRoomIsRejected(t *testing.T) {
	for class, want := range map[string]audit.Outcome{readClass: audit.Rejected, writeClass: audit.Served} {
		router, peers, loop := newTestRouter(t)
		client := &fakeClient{loop: loop, hasNoRoom: true}
		runFor(router, loop, 100*time.Millisecond, func() {
			accept(t, router, Request{Class: class, ClientTimeout: time.Second, ReceivedAt: loop.Now(), Job: 1}, client)
			loop.AfterFunc(20*time.Millisecond, func() { peers.attempts[0].end(balance.StatusDone) })
		})
		recorded := peers.answers()
		if len(recorded) != 1 || recorded[0].Outcome != want || client.answers() != 1 || router.InFlight() != 0 {
			t.Errorf("%s: got %+v and audit records %+v, want one answer and the outcome %v", class, client, recorded, want)
		}
	}
}
