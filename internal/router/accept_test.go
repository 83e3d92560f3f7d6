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
			ErrUnknownClass: {Class: "none", Deadline: time.Second},
			ErrNoTimeLeft:   {Class: readClass},
		} {
			if _, err := router.Accept(req, invalid); !errors.Is(err, want) {
				t.Errorf("%v, not %v", err, want)
			}
		}
		now := loop.Now()
		labelled := Request{ClientRequestID: "b", Class: readClass, Deadline: time.Second, ReceivedAt: now, Job: 2}
		accept(t, router, labelled, first)
		// With the same label the second client would get what the first one has asked for.
		labelled.Job = 4
		if _, err := router.Accept(labelled, invalid); !errors.Is(err, ErrDuplicateRequest) {
			t.Error(err)
		}
		accept(t, router, Request{Class: readClass, Deadline: time.Second, ReceivedAt: now, Job: 3}, excess)
	})
	if n := invalid.answers(); n != 0 {
		t.Errorf("%d answers to requests that were not accepted", n)
	}
	if n := first.answers(); n != 0 {
		t.Errorf("%d answers to the request in flight", n)
	}
	if excess.rejected != 1 || excess.retryAfter <= 0 {
		t.Errorf("the request beyond the limit: %+v", excess)
	}
}
