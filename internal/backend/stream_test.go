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

// streamClient receives a streamed response, and pauses it once for a while after the first MiB. Its methods must be
// called on the loop's goroutine.
type streamClient struct {
	t       *testing.T
	pool    *testPool
	pause   time.Duration
	flow    router.FlowController
	started bool
	paused  bool
	got     []byte
}

func (c *streamClient) responseStarted(response router.Response, flow router.FlowController) {
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
			c.t.Errorf("%d bytes received by the end of the pause, want at most 1 MiB and 256 KiB", len(c.got))
		}
		c.flow.SetPaused(false)
	})
}

// A response of several MiB is forwarded unchanged while it is being received, and stops while its client pauses it. A
// response that is cut off or turns out to be invalid fails the attempt and closes the connection. One that is invalid
// at its start, or too long, is not forwarded at all.
func TestLongResponsesAreStreamed(t *testing.T) {
	const n = 3 << 20
	for _, test := range []struct {
		name     string
		response []byte
		cut      int // the server closes the connection after this many bytes, 0 = it does not
		want     balance.Status
		streamed bool
	}{
		{"complete", longResponse(n, 0), 0, balance.StatusDone, true},
		{"cut", longResponse(n, 0), n / 2, balance.StatusReset, true},
		{"invalid", append(longResponse(n, 0)[:n], 0xff), 0, balance.StatusError, true},
		{"value too short", longResponse(n, 5), 0, balance.StatusError, false},
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
				t.Errorf("unexpected status %v, or streamed %v", result.Status, client.started)
			}
			if result.Status == balance.StatusDone {
				got := append(client.got, result.Response.(*Response).Messages...)
				want := test.response[:len(test.response)-len(pgwire.AppendReady(nil))]
				if !bytes.Equal(got, want) {
					t.Errorf("got %d bytes, want the %d bytes of the response unchanged", len(got), len(want))
				}
			}
			next := p.attempt("b", 0)
			if test.streamed && test.want == balance.StatusDone && next.Status != balance.StatusDone {
				t.Errorf("next attempt: got status %+v, want StatusDone", next.Status)
			}
		})
	}
}

// stream makes an attempt whose response is streamed to the client, and returns its result.
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

// startEndlessServer starts a server that responds with a long row and then repeats the message more until a write
// fails.
func startEndlessServer(t *testing.T, more []byte) (addr string) {
	t.Helper()
	response := longResponse(1<<20, 0)
	end := pgwire.AppendReady(pgwire.Append(nil, 'C', []byte("INSERT 0 1\x00")))
	row := response[:len(response)-len(end)]
	return serveConnections(t, func(c net.Conn) {
		buf := make([]byte, 4096)
		for _, p := range [][]byte{pgwire.AppendStartupResponse(nil), row} {
			if _, err := c.Read(buf); err != nil {
				return
			}
			if _, err := c.Write(p); err != nil {
				return // the router has closed the connection; the result of the attempt shows it
			}
		}
		var err error
		for err == nil {
			_, err = c.Write(more)
		}
	})
}

// Guards against a response that has been forwarded in part and never ends: no deadline applies to it any more, so the
// limits on rows and on asynchronous messages must abort it.
func TestEndlessResponseIsAborted(t *testing.T) {
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
					OnResponseStarted: func(router.Response, router.FlowController) { started <- true },
					OnResponsePart:    func([]byte) {},
				}
				p.pool.Start(requested, func(result router.Result) { done <- result })
			})
			if result := p.await(done); result.Status != balance.StatusError || len(started) != 1 {
				t.Fatalf("got %+v, started %d times; want StatusError, started once", result, len(started))
			}
		})
	}
}

// A router that was held up took a response that had come meanwhile for one that had stopped, and a long one that was
// being streamed was cut off.
func TestHeldUpRouterDoesNotCutResponses(t *testing.T) {
	lim := testLimits()
	lim.Backend.StallTimeout = 100 * time.Millisecond
	lim.Backend.StreamStallTimeout = 100 * time.Millisecond
	for name, length := range map[string]int{"kept": 20_000, "streamed": 300_000} {
		t.Run(name, func(t *testing.T) {
			response := longResponse(length, 0)
			begun := make(chan bool)
			proceed := make(chan bool)
			addr := serveConnections(t, func(c net.Conn) {
				buffer := make([]byte, 4096)
				_, _ = c.Read(buffer)
				_, _ = c.Write([]byte("R\x00\x00\x00\x08\x00\x00\x00\x00Z\x00\x00\x00\x05I"))
				_, _ = c.Read(buffer)
				_, _ = c.Write(response[:length/2])
				begun <- true
				<-proceed
				_, _ = c.Write(response[length/2:])
			})
			p := newTestPool(t, lim, addr)
			client := &streamClient{t: t, pool: p, paused: true} // it never pauses
			done := make(chan router.Result, 9)
			p.loop.Post(func() {
				p.pool.Start(router.Attempt{
					Endpoint: "n", Job: testJob("r"), Deadline: p.loop.Now() + 10*time.Second,
					OnResponseStarted: client.responseStarted, OnResponsePart: client.responsePart,
				}, func(result router.Result) { done <- result })
			})
			<-begun
			time.Sleep(30 * time.Millisecond) // the first half is processed
			p.loop.Post(func() {
				proceed <- true
				time.Sleep(3 * lim.Backend.StallTimeout)
			})
			if result := p.await(done); result.Status != balance.StatusDone {
				t.Errorf("status %v, want the response complete", result.Status)
			}
		})
	}
}
