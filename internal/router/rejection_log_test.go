package router

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
)

// Guards against a rejection whose reason nobody can see.
func TestRejectionIsLoggedWithItsReason(t *testing.T) {
	loop := eventloop.New()
	router, _ := newTestRouterOn(t, loop, false)
	var logged bytes.Buffer
	router.log = slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
	client := &fakeClient{loop: loop}
	runFor(router, loop, 700*time.Millisecond, func() {
		request := Request{Class: writeClass, Group: 9, Deadline: 400 * time.Millisecond, ReceivedAt: loop.Now(), Job: client}
		accept(t, router, request, client)
	})
	if client.rejected != 1 || !strings.Contains(logged.String(), "request rejected") {
		t.Fatalf("%+v\n%s", client, &logged)
	}
	if !strings.Contains(logged.String(), balance.RejectNoGroup.String()) {
		t.Errorf("no reason in\n%s", &logged)
	}
}
