package router

import (
	"errors"
	"testing"
	"time"
)

func TestInvalidAndExcessRequestsAreRejected(t *testing.T) {
	router, _, loop := newTestRouter(t)
	router.limits.Router.InFlightRequests = 1
	invalid := &fakeClient{loop: loop}
	first := &fakeClient{loop: loop}
	excess := &fakeClient{loop: loop}
	runFor(router, loop, 50*time.Millisecond, func() {
		for want, req := range map[error]Request{
			ErrUnknownClass: {Class: "none", ClientTimeout: time.Second},
			ErrNoTimeLeft:   {Class: readClass},
		} {
			if _, err := router.Accept(req, invalid); !errors.Is(err, want) {
				t.Errorf("Accept returned %v, want %v", err, want)
			}
		}
		now := loop.Now()
		withRequestID := Request{ClientRequestID: "b", Class: readClass, ClientTimeout: time.Second, ReceivedAt: now, Job: 2}
		accept(t, router, withRequestID, first)
		// A second client with the same request id would get the first client's answer.
		withRequestID.Job = 4
		if _, err := router.Accept(withRequestID, invalid); !errors.Is(err, ErrDuplicateRequest) {
			t.Error(err)
		}
		accept(t, router, Request{Class: readClass, ClientTimeout: time.Second, ReceivedAt: now, Job: 3}, excess)
	})
	if n := invalid.answers(); n != 0 {
		t.Errorf("got %d answers to requests that were not accepted, want 0", n)
	}
	if n := first.answers(); n != 0 {
		t.Errorf("got %d answers to the request in flight, want 0", n)
	}
	if excess.rejected != 1 || excess.retryAfter <= 0 {
		t.Errorf("request above the limit: got %+v, want one rejection with a Retry-After", excess)
	}
}
