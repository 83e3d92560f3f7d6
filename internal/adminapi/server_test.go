package adminapi

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/transport"
)

// fakeRouter is a Router with the endpoint s-1, the replica group 7 and the sites n and s. Calls on a site succeed for
// n only.
type fakeRouter struct {
	drained bool
	off     bool // neither failover nor site failover is configured
}

func (r *fakeRouter) AcceptsClients() bool { return !r.drained }

func (r *fakeRouter) SetSuspended(endpoint string, _ bool, done func(bool)) { done(endpoint == "s-1") }

func (r *fakeRouter) SetDrained(on bool, done func()) {
	r.drained = on
	done()
}

func (r *fakeRouter) FailoverState() ([]byte, bool) { return []byte("[]"), r.off }

func (r *fakeRouter) SiteReport(table bool) (string, bool) {
	if table {
		return "site", r.off
	}
	return "{}", r.off
}

func (r *fakeRouter) DeclareSiteLost(site string, _ time.Duration) (ok bool, known []string, off bool) {
	return site == "n", []string{"n", "s"}, r.off
}

func (r *fakeRouter) LimitSiteRamp(
	site string, share float64, length time.Duration,
) (ok bool, known []string, off bool) {
	limited := length > 0
	ok = site == "n" && share <= 1 && (limited || share == 1)
	return ok, []string{"n", "s"}, r.off
}

func (r *fakeRouter) AnnounceFailover(group int64, limit time.Duration) (known, off bool) {
	return group == 7 && limit > 0, r.off
}

// startServer starts a server on a free port, which runs until the test ends.
func startServer(t *testing.T, router Router) (loop *eventloop.Loop, address string) {
	t.Helper()
	loop = eventloop.New()
	engine, err := transport.New(loop, 256, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	lim := limits.New(64, 256, time.Second, time.Second, time.Second)
	accept := New(loop, lim, log, router).Accept
	serving := engine.Serve(listener, lim.AdminAPI.Connections, loop.PostUrgent, log, accept)
	go loop.Run(func() {})
	t.Cleanup(func() {
		serving.Close()
		loop.Stop()
		engine.Stop()
	})
	return loop, listener.Addr().String()
}

// dialAndSend opens a connection and sends text, which may be part of a request.
func dialAndSend(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// call sends a request and returns the status code of the response.
func call(t *testing.T, address, methodAndTarget string) (status int) {
	t.Helper()
	conn := dialAndSend(t, address, methodAndTarget+" HTTP/1.1\r\n\r\n")
	defer conn.Close() // frees the server's slot before the next call
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Sscanf(string(answer), "HTTP/1.1 %d", &status); err != nil {
		t.Fatalf("%v: %q", err, answer)
	}
	return status
}

// statusCase is a request, as method and target, and the expected status code.
type statusCase struct {
	call string
	want int
}

func expectStatuses(t *testing.T, address string, cases []statusCase) {
	t.Helper()
	for _, test := range cases {
		if got := call(t, address, test.call); got != test.want {
			t.Errorf("%s: got status %d, want %d", test.call, got, test.want)
		}
	}
}

func TestCalls(t *testing.T) {
	_, address := startServer(t, &fakeRouter{})
	t.Run("paths", func(t *testing.T) {
		expectStatuses(t, address, []statusCase{
			{"GET /v1/readyz", 200},
			{"POST /v1/readyz", 405},
			{"GET /v1/nothing", 404},
			{"GET /", 404},
			{"junk", 400},
		})
	})
	t.Run("replica groups", func(t *testing.T) {
		expectStatuses(t, address, []statusCase{
			{"GET /v1/cells", 200},
			{"POST /v1/cells", 405},
			{"POST /v1/cells/7/changeover", 200},
			{"POST /v1/cells/7/changeover?limit=2s", 200},
			{"POST /v1/cells/7/changeover?limit=2", 400},
			{"POST /v1/cells/7/changeover?limit=2h", 400},
			{"POST /v1/cells/8/changeover", 404},
			{"POST /v1/cells/x/changeover", 404},
			{"GET /v1/cells/7/changeover", 405},
			{"POST /v1/cells/7/changeover?%zz", 400},
		})
	})
	t.Run("sites", func(t *testing.T) {
		expectStatuses(t, address, []statusCase{
			{"GET /v1/sites", 200},
			{"GET /v1/sites?as=table", 200},
			{"POST /v1/sites", 405},
			{"POST /v1/sites/n/lost", 200},
			{"POST /v1/sites/n/lost?limit=30s", 200},
			{"POST /v1/sites/n/pace?part=0.5", 200},
			{"POST /v1/sites/n/pace?part=0&limit=30s", 200},
			{"POST /v1/sites/n/free", 200},
			{"POST /v1/sites/x/pace?part=1", 404},
			{"POST /v1/sites/n/pace", 400},
			{"POST /v1/sites/n/pace?part=2", 400},
			{"POST /v1/sites/n/pace?part=NaN", 400},
			{"POST /v1/sites/n/pace?part=-1", 400},
			{"POST /v1/sites/n/pace?part=1&limit=25h", 400},
			{"GET /v1/sites/n/pace?part=1", 405},
			{"POST /v1/sites/n/found", 200},
			{"POST /v1/sites/x/lost", 404},
			{"POST /v1/sites/n/lost?limit=0s", 400},
			{"POST /v1/sites/n/lost?limit=25h", 400},
			{"GET /v1/sites/n/lost", 405},
		})
	})
	t.Run("endpoints", func(t *testing.T) {
		expectStatuses(t, address, []statusCase{
			{"POST /v1/db-machines/s-1/suspend", 200},
			{"POST /v1/db-machines/s-1/resume", 200},
			{"POST /v1/db-machines/s-1/stop", 404},
			{"POST /v1/db-machines/s-2/suspend", 404},
			{"POST /v1/db-machines//suspend", 404},
			{"GET /v1/db-machines/s-1/suspend", 405},
		})
	})
	t.Run("router", func(t *testing.T) {
		expectStatuses(t, address, []statusCase{
			{"POST /v1/router/drain", 200},
			{"GET /v1/readyz", 503},
			{"POST /v1/router/activate", 200},
			{"GET /v1/readyz", 200},
			{"POST /v1/router/stop", 404},
		})
	})
}

// Requests for features that are not configured get the status 404.
func TestCallsWithFeaturesOff(t *testing.T) {
	_, address := startServer(t, &fakeRouter{off: true})
	expectStatuses(t, address, []statusCase{
		{"GET /v1/readyz", 200},
		{"GET /v1/cells", 404},
		{"POST /v1/cells/7/changeover", 404},
		{"GET /v1/sites", 404},
		{"POST /v1/sites/n/lost", 404},
		{"POST /v1/sites/n/pace?part=1", 404},
	})
}

// Guards against a router that does not respond to an operator while other callers stall in the middle of their
// requests and the event loop has a long backlog.
func TestStalledCallersAndBusyLoopDoNotDelayCalls(t *testing.T) {
	loop, address := startServer(t, &fakeRouter{})
	for range 40 {
		dialAndSend(t, address, "POST /v1/rou")
	}
	stop := make(chan bool)
	defer close(stop)
	for range 2000 { // would take 40 s if the call had to wait for this backlog
		loop.Post(func() {
			select {
			case <-stop:
			case <-time.After(20 * time.Millisecond):
			}
		})
	}
	if got := call(t, address, "GET /v1/readyz"); got != 200 {
		t.Fatalf("got status %d, want 200", got)
	}
}
