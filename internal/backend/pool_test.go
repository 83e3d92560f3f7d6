package backend

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
	"limeladder/internal/transport"
)

type testJob string

func (j testJob) Messages(left time.Duration) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=job,d=%d,cluster=1 */ INSERT", string(j), left.Milliseconds()))
}
func (testJob) StartsResponse(response *Response) bool { return string(response.Types) == "T" }
func (testJob) Complete(response *Response) bool {
	return string(response.Types) == "TDC" && response.Shape.Columns == 1
}

type testPool struct {
	t    *testing.T
	loop *eventloop.Loop
	pool *Pool
}

func newTestPool(t *testing.T, lim limits.Limits, addr string) *testPool {
	l := eventloop.New()
	e, err := transport.New(l, 256, lim.Transport.InboxBytes)
	if err != nil {
		t.Fatal(err)
	}
	r := &testPool{t, l, New(l, e, lim, slog.New(slog.NewTextHandler(io.Discard, nil)))}
	r.pool.UpdateEndpoints(config.List{Full: true, Servers: []config.Entry{{ID: "n", Addr: addr, State: "ready"}}})
	go l.Run(func() {})
	t.Cleanup(func() { l.Stop(); e.Stop() })
	return r
}

func testLimits() limits.Limits {
	return limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
}

// try makes one attempt and waits for its end.
func (r *testPool) attempt(id string, by time.Duration) router.Result {
	r.t.Helper()
	done := make(chan router.Result, 9)
	r.loop.Post(func() {
		now := r.loop.Now()
		requested := router.Attempt{Endpoint: "n", Job: testJob(id), Deadline: now + 10*time.Second}
		if by != 0 {
			requested.NotAfter = now + by
		}
		r.pool.Start(requested, func(result router.Result) { done <- result })
	})
	return r.await(done)
}

func (r *testPool) await(done chan router.Result) router.Result {
	r.t.Helper()
	select {
	case result := <-done:
		return result
	case <-time.After(20 * time.Second):
		r.t.Fatal("no end")
		panic("")
	}
}

func TestIdleConnectionIsReusedUntilItExpires(t *testing.T) {
	for idle, want := range map[time.Duration]int32{time.Minute: 1, -1: 3} {
		var dials atomic.Int32
		db := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
			if typ == 0 {
				dials.Add(1)
			}
			return testserver.Act{}
		})
		l := testLimits()
		l.Backend.IdleTimeout = idle
		r := newTestPool(t, l, db.Addr)
		for i := range 3 {
			time.Sleep(3 * l.Backend.ReuseDelay)
			result := r.attempt(fmt.Sprint(i), 0)
			if result.Status != balance.StatusDone || result.Role != balance.RolePrimary || result.Position <= 0 || db.Runs(fmt.Sprint(i)) != 1 {
				t.Fatalf("%+v", result)
			}
		}
		if dials.Load() != want {
			t.Errorf("idle %v: %d connections, %d expected", idle, dials.Load(), want)
		}
	}
}

func TestErrorCodesBecomeStatuses(t *testing.T) {
	for code, want := range map[string]balance.Status{
		"53300": balance.StatusBusy, "25006": balance.StatusMiss, "72000": balance.StatusMiss,
		"XX000": balance.StatusError, "08P01": balance.StatusError, "23505": balance.StatusDone,
	} {
		for _, fatal := range []bool{false, true} {
			db := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
				if typ == 0 {
					return testserver.Act{}
				}
				return testserver.Act{Code: code, Fatal: fatal}
			})
			r := newTestPool(t, testLimits(), db.Addr)
			if result := r.attempt("a", 0); result.Status != want || db.Runs("a") != 0 || code == "23505" && result.Response.(*Response).Code != code {
				t.Errorf("%s, fatal %v: %+v", code, fatal, result)
			}
		}
	}
}

// Never ran needs proof: refused, or ended before the request was written. What breaks behind that may have run.
// A db machine that has no place left says so at the welcome. Each attempt ends there, and nobody dials again for it.
func TestFullEndpointIsNotDialedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var dials atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			go func() {
				io.ReadFull(c, make([]byte, 8)) // the startup's beginning
				c.Write(pgwire.AppendError(nil, pgwire.Error{Fatal: true, Code: "53300", Message: "no place"}))
				time.Sleep(5 * time.Millisecond)
				c.Close()
			}()
		}
	}()
	lim := testLimits()
	r := newTestPool(t, lim, l.Addr().String())
	const attempts = 5
	done := make(chan router.Result, attempts)
	r.loop.Post(func() {
		for i := range attempts {
			r.pool.Start(router.Attempt{Endpoint: "n", Job: testJob(fmt.Sprint(i)), Deadline: r.loop.Now() + 10*time.Second},
				func(result router.Result) { done <- result })
		}
	})
	for range attempts {
		if result := r.await(done); result.Status != balance.StatusBusy {
			t.Errorf("%+v", result)
		}
	}
	time.Sleep(2 * lim.Backend.RedialAfter)
	if n := dials.Load(); n > attempts {
		t.Errorf("%d connections for %d attempts", n, attempts)
	}
}

func TestBrokenConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if result := newTestPool(t, testLimits(), ln.Addr().String()).attempt("a", 0); result.Status != balance.StatusConnectFailed {
		t.Errorf("refused: %+v", result)
	}
	for name, c := range map[string]struct {
		at   byte
		act  testserver.Act
		want balance.Status
	}{
		"at the welcome":     {0, testserver.Act{Break: true}, balance.StatusConnectFailed},
		"silent welcome":     {0, testserver.Act{Silent: true}, balance.StatusConnectFailed},
		"before the answer":  {'Q', testserver.Act{Break: true}, balance.StatusReset},
		"within the answer":  {'Q', testserver.Act{Cut: 30}, balance.StatusReset},
		"before ready":       {'Q', testserver.Act{Cut: 75}, balance.StatusReset},
		"behind the answer":  {'Q', testserver.Act{Cut: 1000}, balance.StatusDone},
		"behind the welcome": {0, testserver.Act{Cut: 1000}, balance.StatusReset},
	} {
		db := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
			if typ == c.at {
				return c.act
			}
			return testserver.Act{}
		})
		result := newTestPool(t, testLimits(), db.Addr).attempt("a", 0)
		if result.Status != c.want && !(name == "behind the welcome" && result.Status == balance.StatusConnectFailed) {
			t.Errorf("%s: %+v", name, result)
		}
	}
}

// long is an answer with a value of n bytes; its declared length is off by some.
func longResponse(n, off int) []byte {
	p := pgwire.Append(nil, 'T', []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"))
	v := make([]byte, n)
	for i := range v {
		v[i] = byte(i % 251)
	}
	p = pgwire.Append(p, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(n+off)), v)
	return pgwire.AppendReady(pgwire.Append(p, 'C', []byte("INSERT 0 1\x00")))
}

// An answer of megabytes is passed on as it comes, to the byte, and stops while its taker holds it; one that is cut or
// spoilt has failed, and the connection goes; one that is spoilt at its start, or too long, is not passed on at all.
func TestLongResponsesAreStreamed(t *testing.T) {
	const n = 3 << 20
	for name, c := range map[string]struct {
		answer []byte
		cut    int
		want   balance.Status
		begun  bool
	}{
		"whole":     {longResponse(n, 0), 0, balance.StatusDone, true},
		"cut":       {longResponse(n, 0), n / 2, balance.StatusReset, true},
		"spoilt":    {append(longResponse(n, 0)[:n], 0xff), 0, balance.StatusError, true},
		"too short": {longResponse(n, 5), 0, balance.StatusError, false},
		"too long":  {longResponse(5<<20, 0), 0, balance.StatusError, false},
		"kept":      {longResponse(50_000, 0), 0, balance.StatusDone, false},
	} {
		db := testserver.NewDB(t, true, func(typ byte, id string) (a testserver.Act) {
			if typ == 'Q' && id == "a" {
				a.Spoil = func([]byte) []byte { return c.answer }
				if c.cut > 0 {
					a.Spoil = func([]byte) []byte { return c.answer[:c.cut] }
					a.Leave = true
				}
			}
			return a
		})
		l := testLimits()
		l.Backend.StreamStallTimeout = 300 * time.Millisecond
		r := newTestPool(t, l, db.Addr)
		var got []byte
		begun, held := false, false
		done := make(chan router.Result, 9)
		r.loop.Post(func() {
			var flow router.Flow
			requested := router.Attempt{Endpoint: "n", Job: testJob("a"), Deadline: r.loop.Now() + 10*time.Second, OnResponseStarted: func(a router.Response, f router.Flow) {
				begun, flow = true, f
				got = append(got, a.(*Response).Messages...)
			}}
			requested.OnResponsePart = func(p []byte) {
				got = append(got, p...)
				if !held && len(got) > 1<<20 {
					held = true
					flow.SetPaused(true)
					r.loop.AfterFunc(2*l.Backend.StreamStallTimeout, func() { // being held is no stall
						if len(got) > 1<<20+256<<10 {
							t.Errorf("%s: %d bytes came while it was held", name, len(got))
						}
						flow.SetPaused(false)
					})
				}
			}
			r.pool.Start(requested, func(result router.Result) { done <- result })
		})
		result := r.await(done)
		if result.Status != c.want || begun != c.begun {
			t.Errorf("%s: %v, begun %v", name, result.Status, begun)
		}
		if result.Status == balance.StatusDone {
			got = append(got, result.Response.(*Response).Messages...)
			if want := c.answer[:len(c.answer)-6]; !bytes.Equal(got, want) {
				t.Errorf("%s: %d bytes, not %d", name, len(got), len(want))
			}
		}
		if result = r.attempt("b", 0); c.begun && c.want == balance.StatusDone && result.Status != balance.StatusDone {
			t.Errorf("%s: then %+v", name, result.Status)
		}
	}
}

// When an answer began to come is told apart from its end.
func TestResponseStartIsReported(t *testing.T) {
	db := testserver.NewDB(t, true, func(typ byte, _ string) (a testserver.Act) {
		if typ == 'Q' {
			a.Spoil = func(p []byte) []byte { return p[:20] }
			a.Behind = longResponse(4, 0)[20:]
			a.Pause = 100 * time.Millisecond
		}
		return a
	})
	r := newTestPool(t, testLimits(), db.Addr)
	var end time.Duration
	done := make(chan router.Result, 9)
	r.loop.Post(func() {
		r.pool.Start(router.Attempt{Endpoint: "n", Job: testJob("a"), Deadline: r.loop.Now() + 10*time.Second}, func(result router.Result) {
			end = r.loop.Now()
			done <- result
		})
	})
	if result := r.await(done); result.Status != balance.StatusDone || end-result.ResponseStartedAt < 90*time.Millisecond {
		t.Fatalf("%v: began %v before its end", result.Status, end-result.ResponseStartedAt)
	}
}

// A send that a slow connection has held up past the age its data may have is not made.
func TestLateAttemptIsNotSent(t *testing.T) {
	db := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
		if typ == 0 {
			return testserver.Act{Delay: 60 * time.Millisecond}
		}
		return testserver.Act{}
	})
	r := newTestPool(t, testLimits(), db.Addr)
	if result := r.attempt("a", 20*time.Millisecond); result.Status != balance.StatusNotSent || db.Runs("a") != 0 {
		t.Fatalf("%+v", result)
	}
	// Nor is a connection waited for beyond that.
	silent := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act { return testserver.Act{Silent: true} })
	l := testLimits()
	l.Backend.ConnectTimeout = 20 * time.Second
	if result := newTestPool(t, l, silent.Addr).attempt("a", 20*time.Millisecond); result.Status != balance.StatusNotSent {
		t.Fatalf("%+v", result)
	}
	if result := r.attempt("b", -time.Millisecond); result.Status != balance.StatusNotSent || db.Runs("b") != 0 {
		t.Fatalf("%+v", result)
	}
	if result := r.attempt("c", time.Minute); result.Status != balance.StatusDone {
		t.Fatalf("%+v", result)
	}
}

// The answer to a cancelled attempt must not be taken for that of the next.
func TestLateResponseIsDiscarded(t *testing.T) {
	asked := make(chan bool, 9)
	db := testserver.NewDB(t, true, func(typ byte, id string) testserver.Act {
		if typ == 'Q' && id == "slow" {
			asked <- true
			return testserver.Act{Delay: 30 * time.Millisecond}
		}
		return testserver.Act{}
	})
	r := newTestPool(t, testLimits(), db.Addr)
	r.attempt("first", 0)
	call, written := make(chan router.AttemptHandle, 1), make(chan bool, 1)
	r.loop.Post(func() {
		call <- r.pool.Start(router.Attempt{Endpoint: "n", Job: testJob("slow"), Deadline: r.loop.Now() + time.Minute}, func(result router.Result) {
			t.Errorf("a cancelled attempt ended: %+v", result)
		})
	})
	c := <-call
	<-asked
	r.loop.Post(func() { written <- c.Cancel() })
	if !<-written {
		t.Error("it was written")
	}
	for i := range 5 {
		if result := r.attempt(fmt.Sprint(i), 0); result.Status != balance.StatusDone || db.Runs(fmt.Sprint(i)) != 1 {
			t.Fatalf("%+v", result)
		}
	}
	r.loop.Post(func() { written <- c.Cancel() })
	if <-written {
		t.Error("cancelled twice")
	}
}

func TestHealthCheck(t *testing.T) {
	db := testserver.NewDB(t, false, nil)
	r := newTestPool(t, testLimits(), db.Addr)
	done := make(chan router.Result, 9)
	ask := func() { r.loop.Post(func() { r.pool.HealthCheck("n", func(result router.Result) { done <- result }) }) }
	ask()
	now := time.Duration(time.Now().UnixNano())
	if result := r.await(done); result.Status != balance.StatusDone || result.Role != balance.RoleReplica || result.Position > now+time.Minute || result.Position < now-time.Minute {
		t.Fatalf("%+v", result)
	}
	silent := testserver.NewDB(t, false, func(typ byte, _ string) testserver.Act { return testserver.Act{Silent: typ == 'Q'} })
	r = newTestPool(t, testLimits(), silent.Addr)
	ask()
	if result := r.await(done); result.Status != balance.StatusTimedOut {
		t.Fatalf("%+v", result)
	}
	for text, want := range map[string]time.Duration{
		"x0=1767225600.123,x1=1,util=0.6": 1767225600123 * time.Millisecond,
		`{"x0": 1767225600.5, "x1": 1}`:   1767225600500 * time.Millisecond, "x0=nan,x1=1": 0, "x1=1,x0=-5": 0, "x0=1767225600,x1=7": 0,
	} {
		p := pgwire.Append(nil, 'D', []byte{0, 1, 0, 0, 0, byte(len(text))}, []byte(text))
		if role, pos, _ := parseLoadReport(&Response{Messages: p}); pos != want || (pos == 0) != (role == balance.RoleUnknown) {
			t.Errorf("%s: %v %v", text, role, pos)
		}
	}
}

// A spoilt answer is an attempt that may have run. Its connection is closed and nothing that it claims is believed.
func TestInvalidResponsesAreRejected(t *testing.T) {
	column := pgwire.Append(nil, 'T', []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"))
	value := pgwire.Append(nil, 'D', []byte("\x00\x01\x00\x00\x00\x01v"))
	tag := pgwire.Append(nil, 'C', []byte("SELECT 1\x00"))
	status := pgwire.AppendPair(nil, "mode", "read-write")
	join := func(parts ...[]byte) []byte { return bytes.Join(append(parts, pgwire.AppendReady(nil)), nil) }
	for name, p := range map[string][]byte{
		"noise":           []byte("\x8f\xff\x13\x37 noise"),
		"3 GB":            append(status, 'D', 0xC0, 0, 0, 0, 0, 1),
		"never ends":      append(join(status, column), 'D', 0, 0, 1, 0, 0, 1),
		"two columns":     join(status, column, pgwire.Append(nil, 'D', []byte("\x00\x02\x00\x00\x00\x01v\x00\x00\x00\x01w")), tag),
		"value too long":  join(status, column, pgwire.Append(nil, 'D', []byte("\x00\x01\x00\x00\x00\x09v")), tag),
		"value too short": join(status, column, pgwire.Append(nil, 'D', []byte("\x00\x01\x00\x00\x00\x01vw")), tag),
		"negative value":  join(status, column, pgwire.Append(nil, 'D', []byte("\x00\x01\xff\xff\xff\x00v")), tag),
		"format":          join(status, append(column[:len(column)-1:len(column)-1], 7), value, tag),
		"column":          join(status, pgwire.Append(nil, 'T', []byte("\x00\x01data")), value, tag),
		"tag":             join(status, column, value, pgwire.Append(nil, 'C', []byte("SELECT 1"))),
		"tag's words":     join(status, column, value, pgwire.Append(nil, 'C', []byte("\x01\x02\x00"))),
		"tag's count":     join(status, column, value, pgwire.Append(nil, 'C', []byte("SELECT 2\x00"))),
		"no tag":          join(status, column, value),
		"no ready":        bytes.Join([][]byte{status, column, value, tag}, nil),
		"error's form":    join(status, pgwire.Append(nil, 'E', []byte("C53300\x00"))),
		"error's code":    join(status, pgwire.Append(nil, 'E', []byte("C53\x00\x00"))),
		"error too late":  join(status, column, value, tag, pgwire.AppendError(nil, pgwire.Error{Code: "53300"})),
	} {
		var dials atomic.Int32
		db := testserver.NewDB(t, true, func(typ byte, id string) (a testserver.Act) {
			if typ == 0 {
				dials.Add(1)
			}
			if id == "spoilt" {
				a.Spoil = func([]byte) []byte { return p }
			}
			return a
		})
		l := testLimits()
		l.Backend.StallTimeout = 30 * time.Millisecond
		r := newTestPool(t, l, db.Addr)
		if result := r.attempt("spoilt", 0); result != (router.Result{Status: balance.StatusError}) {
			t.Errorf("%s: %+v", name, result)
		}
		if result := r.attempt("next", 0); result.Status != balance.StatusDone || dials.Load() != 2 {
			t.Errorf("behind %s: %+v, %d connections", name, result, dials.Load())
		}
	}
}

// A value of several hundred KB is an answer like any other; one beyond the limit is not read to its end.
func TestLargeResponses(t *testing.T) {
	l := testLimits()
	for size, want := range map[int]balance.Status{400_000: balance.StatusDone, l.Backend.ResponseBytes: balance.StatusError} {
		value := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(size))
		value = append(value, make([]byte, size)...)
		db := testserver.NewDB(t, true, func(typ byte, _ string) (a testserver.Act) {
			if typ == 'Q' {
				a.Spoil = func(p []byte) []byte {
					end := bytes.IndexByte(p, 'D')
					return append(pgwire.Append(p[:end:end], 'D', value), p[bytes.IndexByte(p, 'C'):]...)
				}
			}
			return a
		})
		if result := newTestPool(t, l, db.Addr).attempt("a", 0); result.Status != want {
			t.Errorf("%d bytes: %+v", size, result.Status)
		}
	}
}

// What comes behind an answer, in whatever segment, must not be taken for the answer to the next request.
func TestBytesBehindAResponseAreDiscarded(t *testing.T) {
	copied := bytes.Join([][]byte{
		pgwire.Append(nil, 'T', []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")),
		pgwire.Append(nil, 'D', []byte("\x00\x01\x00\x00\x00\x05stray")), pgwire.Append(nil, 'C', []byte("SELECT 1\x00")), pgwire.AppendReady(nil),
	}, nil)
	for name, act := range map[string]testserver.Act{
		"later":   {Behind: copied},
		"at once": {Spoil: func(p []byte) []byte { return append(p, copied...) }}, "a part": {Behind: copied[:7]},
	} {
		db := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
			if typ == 0 {
				return testserver.Act{}
			}
			return act
		})
		l := testLimits()
		l.Backend.ReuseDelay = 100 * time.Millisecond
		r := newTestPool(t, l, db.Addr)
		for i := range 4 {
			result := r.attempt(fmt.Sprint(i), 0)
			if result.Status != balance.StatusDone || result.Role != balance.RolePrimary || bytes.Contains(result.Response.(*Response).Messages, []byte("stray")) {
				t.Fatalf("%s: %+v", name, result)
			}
		}
	}
}
