package backend

import (
	"bytes"
	"net"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// streamClient takes a response that is streamed, and pauses it for a while once a megabyte has come. Its methods
// belong to the loop's goroutine.
type streamClient struct {
	t       *testing.T
	pool    *testPool
	pause   time.Duration
	flow    router.Flow
	started bool
	paused  bool
	got     []byte
}

func (c *streamClient) responseStarted(response router.Response, flow router.Flow) {
	c.started = true
	c.flow = flow
	c.got = append(c.got, response.(*Response).Messages...)
}

func (c *streamClient) responsePart(p []byte) {
	c.got = append(c.got, p...)
	if c.paused || len(c.got) <= 1<<20 {
		return
	}
	c.paused = true
	c.flow.SetPaused(true)
	c.pool.loop.AfterFunc(c.pause, func() {
		if len(c.got) > 1<<20+256<<10 {
			c.t.Errorf("%d bytes came while it was paused", len(c.got))
		}
		c.flow.SetPaused(false)
	})
}

// A response of megabytes is forwarded as it comes, to the byte, and stops while its client pauses it; one that is
// cut or invalid has failed, and the connection goes; one that is invalid at its start, or too long, is not forwarded
// at all.
func TestLongResponsesAreStreamed(t *testing.T) {
	const n = 3 << 20
	for _, test := range []struct {
		name     string
		response []byte
		cut      int // the server leaves after so many bytes, 0 = it does not
		want     balance.Status
		streamed bool
	}{
		{"complete", longResponse(n, 0), 0, balance.StatusDone, true},
		{"cut", longResponse(n, 0), n / 2, balance.StatusReset, true},
		{"invalid", append(longResponse(n, 0)[:n], 0xff), 0, balance.StatusError, true},
		{"too short", longResponse(n, 5), 0, balance.StatusError, false},
		{"too long", longResponse(5<<20, 0), 0, balance.StatusError, false},
		{"buffered", longResponse(50_000, 0), 0, balance.StatusDone, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := testserver.Act{Corrupt: func([]byte) []byte { return test.response }}
			if test.cut > 0 {
				response.Corrupt = func([]byte) []byte { return test.response[:test.cut] }
				response.CloseAfter = true
			}
			server := testserver.NewDB(t, true, func(typ byte, id string) testserver.Act {
				if typ == 'Q' && id == "a" {
					return response
				}
				return testserver.Act{}
			})
			lim := testLimits()
			lim.Backend.StreamStallTimeout = 300 * time.Millisecond
			p := newTestPool(t, lim, server.Addr)
			// The pause is longer than the stall timeout: a response that is paused does not stall.
			client := &streamClient{t: t, pool: p, pause: 2 * lim.Backend.StreamStallTimeout}
			result := p.stream(client)
			if result.Status != test.want || client.started != test.streamed {
				t.Errorf("%v, streamed %v", result.Status, client.started)
			}
			if result.Status == balance.StatusDone {
				got := append(client.got, result.Response.(*Response).Messages...)
				want := test.response[:len(test.response)-len(pgwire.AppendReady(nil))]
				if !bytes.Equal(got, want) {
					t.Errorf("%d bytes, not %d", len(got), len(want))
				}
			}
			next := p.attempt("b", 0)
			if test.streamed && test.want == balance.StatusDone && next.Status != balance.StatusDone {
				t.Errorf("then %+v", next.Status)
			}
		})
	}
}

// stream makes an attempt whose response is streamed to a client, and waits for its end.
func (p *testPool) stream(client *streamClient) router.Result {
	p.t.Helper()
	done := make(chan router.Result, 9)
	p.loop.Post(func() {
		requested := router.Attempt{
			Endpoint:          "n",
			Job:               testJob("a"),
			Deadline:          p.loop.Now() + 10*time.Second,
			OnResponseStarted: client.responseStarted,
			OnResponsePart:    client.responsePart,
		}
		p.pool.Start(requested, func(result router.Result) { done <- result })
	})
	return p.await(done)
}

// startEndlessServer starts a server that answers with a long row and goes on with more of something for as long as
// it is read.
func startEndlessServer(t *testing.T, more []byte) (addr string) {
	t.Helper()
	response := longResponse(1<<20, 0)
	end := pgwire.AppendReady(pgwire.Append(nil, 'C', []byte("INSERT 0 1\x00")))
	row := response[:len(response)-len(end)]
	return serveConnections(t, func(c net.Conn) {
		buf := make([]byte, 4096)
		for _, p := range [][]byte{pgwire.AppendWelcome(nil), row} {
			if _, err := c.Read(buf); err != nil {
				return
			}
			if _, err := c.Write(p); err != nil {
				return // the router has given up, which the test sees
			}
		}
		var err error
		for err == nil {
			_, err = c.Write(more)
		}
	})
}

// A response of which a part has been forwarded, and which does not end, is ended: no deadline does that any more.
func TestEndlessResponseIsEnded(t *testing.T) {
	for name, more := range map[string][]byte{
		"rows":    pgwire.Append(nil, 'D', []byte{0, 1, 0, 0, 0, 1, 'x'}),
		"notices": pgwire.Append(nil, 'N', make([]byte, 100)),
		"values":  pgwire.Append(nil, 'S', []byte("wal_time\x001\x00")),
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool(t, testLimits(), startEndlessServer(t, more))
			done := make(chan router.Result, 9)
			started := make(chan bool, 9)
			p.loop.Post(func() {
				requested := router.Attempt{
					Endpoint:          "n",
					Job:               testJob("a"),
					Deadline:          p.loop.Now() + time.Second,
					OnResponseStarted: func(router.Response, router.Flow) { started <- true },
					OnResponsePart:    func([]byte) {},
				}
				p.pool.Start(requested, func(result router.Result) { done <- result })
			})
			if result := p.await(done); result.Status != balance.StatusError || len(started) != 1 {
				t.Fatalf("%+v, started %d times", result, len(started))
			}
		})
	}
}
