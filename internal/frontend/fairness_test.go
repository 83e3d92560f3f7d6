package frontend

import (
	"bytes"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// A client that had sent thousands of small messages filled the event loop with them, and the requests of other clients
// were answered late or expired. They wait for a few of its messages only.
func TestFloodDoesNotDelayOtherClients(t *testing.T) {
	lim := defaultLimits()
	for name, message := range map[string][]byte{
		"unknown class": pgwire.AppendQuery(nil, statement("unknown")),
		"short body":    pgwire.AppendQuery(nil, "/**/"),
		"empty":         pgwire.AppendQuery(nil, ""),
	} {
		t.Run(name, func(t *testing.T) {
			frontend, fake, loop, addr := startWith(t, lim)
			flooding := testserver.Dial(t, addr)
			conn := onlyConnection(t, frontend, loop)
			other := testserver.Dial(t, addr)
			const count = 2000
			resume := make(chan bool)
			loop.Post(func() { <-resume }) // both clients send while the loop is held up
			flooding.Send(bytes.Repeat(message, count))
			time.Sleep(50 * time.Millisecond) // the poller has read the messages
			other.Send(queryWithID("other", "any"))
			time.Sleep(50 * time.Millisecond)
			close(resume)
			waitUntil(t, "the request of the other client is accepted", func() (accepted bool) {
				runInLoop(loop, func() {
					accepted = len(fake.requests) > 0
					if handled := conn.input.turnMessages; handled > lim.Frontend.TurnMessages {
						t.Errorf("%d messages were handled in one turn, want at most %d", handled, lim.Frontend.TurnMessages)
					}
				})
				return accepted
			})
			runInLoop(loop, func() {
				if left := conn.input.reader.Buffered() / len(message); left < count/2 {
					t.Errorf("%d of %d messages are left when the other client has its turn, want most of them", left, count)
				}
			})
			fake.serve("other")
			expectResponses(t, other, "other")
			for range count {
				if answer := flooding.Until('Z'); answer.Ended {
					t.Fatalf("response %+v, want an answer to each message", answer)
				}
			}
		})
	}
}
