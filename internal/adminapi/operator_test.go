package adminapi

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/transport"
)

var valid = []string{
	"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /v1/db-machines/s%2D1/suspend HTTP/1.1\r\nContent-Length: 3\r\n\r\n{ }",
	"\r\nPOST http://r:9600/v1/router/drain?x=1 HTTP/1.0\r\n\r\n",
}

// Only the last byte makes a call whole, wherever it is cut; garbage neither crashes it nor is kept beyond the limit.
func TestCutsAndGarbage(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, text := range valid {
		for n := range len(text) {
			if _, whole, err := parse([]byte(text[:n]), 4096); whole || err != nil {
				t.Fatalf("%q: whole %v, %v", text[:n], whole, err)
			}
		}
		if _, whole, err := parse([]byte(text), 4096); !whole || err != nil {
			t.Fatalf("%q: whole %v, %v", text, whole, err)
		}
		for range 2000 {
			p := []byte(text)
			p[rng.IntN(len(p))] = byte(rng.IntN(256))
			_, _, _ = parse(p, 4096) // garbage may be taken or not; it must not panic
		}
	}
	for text, want := range map[string]error{
		"nonsense\r\n": errForm, "GET / HTTP/2.0\r\n": errVersion, "GET /%zz HTTP/1.1\r\n": errForm,
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                       errForm,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":   errForm,
		"POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n":                    errLong,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n":               errLength,
		"GET / HTTP/1.1\r\n" + strings.Repeat("x: y\r\n", 1000):               errLong,
		"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\nx": errForm,
	} {
		if _, _, err := parse([]byte(text), 4096); !errors.Is(err, want) {
			t.Errorf("%.60q: %v", text, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range valid {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, p []byte) {
		if c, whole, err := parse(p, 1024); whole && (err != nil || c.method == "" || len(c.path) == 0) {
			t.Fatalf("%+v %v", c, err)
		}
	})
}

type router struct{ drained, off bool }

func (r *router) Takes() bool { return !r.drained }
func (r *router) Suspend(id string, _ bool, done func(bool)) {
	done(id == "s-1")
}
func (r *router) Drain(on bool, done func()) { r.drained = on; done() }
func (r *router) Cells() ([]byte, bool)      { return []byte("[]"), r.off }
func (r *router) Sites(table bool) (string, bool) {
	return map[bool]string{true: "site", false: "{}"}[table], r.off
}

func (r *router) Declare(site string, _ time.Duration) (ok bool, known []string, off bool) {
	return site == "n", []string{"n", "s"}, r.off
}

func (r *router) Pace(site string, part float64, length time.Duration) (ok bool, known []string, off bool) {
	return site == "n" && part <= 1 && (length > 0 || part == 1), []string{"n", "s"}, r.off
}

func (r *router) Changeover(cell int64, limit time.Duration) (known, off bool) {
	return cell == 7 && limit > 0, r.off
}

func serve(t *testing.T) (l *eventloop.Loop, addr string) {
	t.Helper()
	l = eventloop.New()
	e, err := transport.New(l, 256, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	lim := limits.New(64, 256, time.Second, time.Second, time.Second)
	s := e.Serve(ln, lim.AdminAPI.Connections, l.PostUrgent, log, New(l, lim, log, &router{}).Accept)
	go l.Run(func() {})
	t.Cleanup(func() { s.Close(); l.Stop(); e.Stop() })
	return l, ln.Addr().String()
}

func ask(t *testing.T, addr, call string) (status int) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, call+" HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	p, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Sscanf(string(p), "HTTP/1.1 %d", &status); err != nil {
		t.Fatalf("%q: %v", p, err)
	}
	return status
}

func TestCalls(t *testing.T) {
	_, addr := serve(t)
	for _, c := range []struct {
		call string
		want int
	}{
		{"GET /v1/readyz", 200},
		{"POST /v1/readyz", 405},
		{"GET /v1/nothing", 404},
		{"GET /", 404},
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
		{"POST /v1/db-machines/s-1/suspend", 200},
		{"POST /v1/db-machines/s-1/resume", 200},
		{"POST /v1/db-machines/s-1/stop", 404},
		{"POST /v1/db-machines/s-2/suspend", 404},
		{"POST /v1/db-machines//suspend", 404},
		{"GET /v1/db-machines/s-1/suspend", 405},
		{"POST /v1/router/drain", 200},
		{"GET /v1/readyz", 503},
		{"POST /v1/router/activate", 200},
		{"GET /v1/readyz", 200},
		{"POST /v1/router/stop", 404},
		{"junk", 400},
	} {
		if got := ask(t, addr, c.call); got != c.want {
			t.Errorf("%s: %d, not %d", c.call, got, c.want)
		}
	}
}

// Neither callers that finish no call nor a loop with much to do keep an operator from an answer.
func TestNothingHoldsACallUp(t *testing.T) {
	l, addr := serve(t)
	for range 40 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "POST /v1/rou"); err != nil {
			t.Fatal(err)
		}
	}
	stop := make(chan bool)
	defer close(stop)
	for range 2000 { // a backlog that takes far longer than the test may, were it waited for
		l.Post(func() {
			select {
			case <-stop:
			case <-time.After(20 * time.Millisecond):
			}
		})
	}
	if got := ask(t, addr, "GET /v1/readyz"); got != 200 {
		t.Fatal(got)
	}
}
