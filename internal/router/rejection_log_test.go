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

// Guards against a rejection without its reason in the log.
func TestRejectionIsLoggedWithItsReason(t *testing.T) {
	loop := eventloop.New()
	router, _ := newTestRouterOnLoop(t, loop, false)
	var logged bytes.Buffer
	router.log = slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
	client := &fakeClient{loop: loop}
	runFor(router, loop, 700*time.Millisecond, func() {
		request := Request{
			Class: writeClass, Group: 9, ClientTimeout: 400 * time.Millisecond, ReceivedAt: loop.Now(), Job: client,
		}
		accept(t, router, request, client)
	})
	if client.rejected != 1 || !strings.Contains(logged.String(), "request rejected") {
		t.Fatalf("got %+v, want one logged rejection; the log is\n%s", client, &logged)
	}
	if !strings.Contains(logged.String(), balance.RejectNoGroup.String()) {
		t.Errorf("the reason of the rejection is missing in the log:\n%s", &logged)
	}
}
