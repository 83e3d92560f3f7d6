package emulator

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/pgwire"
	"limeladder/internal/simulation/fleet"
	"limeladder/internal/testserver"
)

// smallConfig returns a fleet of one replica group with short delays of discovery and failover.
func smallConfig(change func(*fleet.Config)) fleet.Config {
	c := fleet.Default()
	c.Banks, c.Kind.ErrorShare, c.Kind.HandshakeWork = 1, 0, 0
	c.Notice, c.Silent = [2]time.Duration{20 * time.Millisecond, 30 * time.Millisecond}, [2]time.Duration{40 * time.Millisecond, 50 * time.Millisecond}
	c.Follow.DetectionDelay, c.Follow.ElectionDelay = [2]time.Duration{200 * time.Millisecond, 300 * time.Millisecond}, [2]time.Duration{}
	if change != nil {
		change(&c)
	}
	return c
}

func newHost(t *testing.T, change func(*fleet.Config)) (*Host, map[string]string) {
	t.Helper()
	h, err := New(smallConfig(change), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Stop)
	return h, h.Addresses()
}

// query returns a Query message of a request of the given class, amount of work and minimum position.
func query(class string, need time.Duration, after time.Duration) []byte {
	return pgwire.AppendQuery(nil, Statement("1", class, time.Second, 1, after, false, "s", need))
}

// waitFor waits until condition is true. It fails the test with message if that takes more than 10 s.
func waitFor(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}

// A statement takes as long as its work. Writes at a replica, reads of missing data and statements without a request
// comment are rejected, and health checks and extended queries are answered.
func TestStatements(t *testing.T) {
	h, at := newHost(t, nil)
	a, b := testserver.Dial(t, at["db1a"]), testserver.Dial(t, at["db1b"])
	begin := time.Now()
	a.Send(query("submit-job", 30*time.Millisecond, 0))
	if x := a.Until('Z'); x.Code != "" || x.Types != "TDCZ" || !strings.HasPrefix(x.Value, "db1a ") || time.Since(begin) < 30*time.Millisecond {
		t.Fatalf("got %+v after %v, expected a row from db1a after at least 30 ms", x, time.Since(begin))
	}
	b.Send(query("submit-job", time.Millisecond, 0))
	if x := b.Until('Z'); x.Code != pgwire.ReadOnly {
		t.Fatalf("write at a replica: got %+v, expected read-only", x)
	}
	b.Send(query("own-jobs", time.Millisecond, time.Duration(time.Now().Add(time.Minute).UnixNano())))
	if x := b.Until('Z'); x.Code != pgwire.SnapshotTooOld {
		t.Fatalf("read of a later position: got %+v, expected snapshot too old", x)
	}
	b.Send(pgwire.AppendQuery(nil, "SELECT 1"))
	if x := b.Until('Z'); x.Code != pgwire.ProtocolViolation {
		t.Fatalf("statement without a request comment: got %+v, expected protocol violation", x)
	}
	b.Send(pgwire.AppendQuery(nil, "SHOW stats"))
	if x := b.Until('Z'); !strings.Contains(x.Value, ",x1=0,util=") || !strings.HasPrefix(x.Value, "x0=") {
		t.Fatalf("health check: got %+v, expected position, role of a replica and utilization", x)
	}
	p := pgwire.AppendParse(nil, pgwire.ParseMessage{Query: Statement("2", "queue-view", time.Second, 1, 0, true, "s", time.Millisecond)})
	p = pgwire.AppendBind(p, pgwire.BindMessage{Rest: []byte{0, 0, 0, 0, 0, 0}})
	p = pgwire.AppendTarget(p, 'D', 'P', "")
	b.Send(pgwire.Append(pgwire.AppendExecute(p, "", 0), 'S'))
	if x := b.Until('Z'); x.Types != "12TDCZ" {
		t.Fatalf("extended query: got %+v, expected message types 12TDCZ", x)
	}
	if _, served := h.PrimaryChangesAndServed(); served != 2 {
		t.Errorf("got %d statements served, expected 2", served)
	}
}

// A killed endpoint refuses connections and restarts at the same address, and a replica is promoted in its place. An
// endpoint that hangs answers when it continues. A connection above the limit is rejected.
func TestFaults(t *testing.T) {
	h, at := newHost(t, func(c *fleet.Config) { c.Kind.MaxConnections = 2 })
	a := testserver.Dial(t, at["db1a"])
	testserver.Dial(t, at["db1a"])
	c, err := net.Dial("tcp", at["db1a"])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(pgwire.AppendStartup(nil, "user", "u", "database", "d")); err != nil {
		t.Fatal(err)
	}
	if p, _ := io.ReadAll(c); !strings.Contains(string(p), pgwire.TooManyConnections) {
		t.Errorf("connection above the limit: got %q, expected too many connections", p)
	}
	a.Send(query("queue-view", 10*time.Second, 0))
	h.InjectFault(fleet.Fault{What: "kill", Who: []string{"primary:1"}, For: 500 * time.Millisecond})
	if x := a.Until('Z'); !x.Ended {
		t.Errorf("statement at the killed primary: got %+v, expected the connection to end", x)
	}
	if c, err := net.Dial("tcp", at["db1a"]); err == nil {
		c.Close()
		t.Error("the killed endpoint accepted a connection, expected it to be refused")
	}
	waitFor(t, "no replica was promoted within 10 s", func() bool { n, _ := h.PrimaryChangesAndServed(); return n == 1 })
	waitFor(t, "the killed endpoint did not restart within 10 s", func() bool {
		c, err := net.Dial("tcp", at["db1a"])
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	b := testserver.Dial(t, at["db1b"])
	h.InjectFault(fleet.Fault{What: "hang", Who: []string{"db1b"}, For: 300 * time.Millisecond})
	begin := time.Now()
	b.Send(query("queue-view", time.Millisecond, 0))
	if x := b.Until('Z'); x.Code != "" || time.Since(begin) < 200*time.Millisecond {
		t.Errorf("statement at the hanging endpoint: got %+v after %v, expected no error and at least 200 ms",
			x, time.Since(begin))
	}
	if m := h.InjectedFaults(); len(m) != 2 || m[0].Text != "kill primary:1" {
		t.Errorf("got faults %+v, expected two, the first being kill primary:1", m)
	}
}

// Discovery answers polls with full lists and watches with changes, and does not answer while it is down. The settings
// of a router hold the full list.
func TestDiscovery(t *testing.T) {
	h, _ := newHost(t, nil)
	get := func(query string) (l config.EndpointList, code int) {
		t.Helper()
		a, err := http.Get("http://" + h.Discovery() + "/v1/endpoints" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		if err := json.NewDecoder(a.Body).Decode(&l); err != nil && a.StatusCode == http.StatusOK {
			t.Fatal(err)
		}
		return l, a.StatusCode
	}
	l, _ := get("")
	if !l.Full || len(l.Endpoints) != 3 || l.Endpoints[0].Mode != "read-write" || l.Endpoints[1].Mode != "read-only" {
		t.Fatalf("got %+v, expected a full list of a primary and two replicas", l)
	}
	if same, _ := get("?index=1&wait=50"); same.Version != 1 || len(same.Endpoints) != 0 {
		t.Fatalf("watch without a change: got %+v, expected version 1 without endpoints", same)
	}
	go h.InjectFault(fleet.Fault{What: "drain", Who: []string{"db1c"}})
	if l, _ = get("?index=1&wait=5000"); l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].State != "draining" {
		t.Fatalf("watch of a drain: got %+v, expected one draining endpoint", l)
	}
	for _, q := range []string{"?index=x&wait=1", "?index=1&wait=-1", "?index=1"} {
		if _, code := get(q); code != http.StatusBadRequest {
			t.Errorf("%s: got status %d, expected 400", q, code)
		}
	}
	h.InjectFault(fleet.Fault{What: "discovery", For: 200 * time.Millisecond})
	begin := time.Now()
	if l, _ := get(""); time.Since(begin) < 180*time.Millisecond || len(l.Endpoints) != 3 {
		t.Errorf("poll while discovery is down: got %+v after %v, expected 3 endpoints after at least 180 ms",
			l, time.Since(begin))
	}
	p, err := h.Settings("n", "127.0.0.1:0", "", 3)
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(p, func(string) string { return "" })
	if err != nil || len(c.Balance.Classes) != 5 || c.Balance.SlowStartWindow != 18*time.Second ||
		c.KnownEndpoints == nil || len(c.KnownEndpoints.Endpoints) != 3 {
		t.Fatalf("settings: got error %v and %+v, expected 5 classes, slow start of 18 s and 3 known endpoints", err, c)
	}
	if _, err := New(smallConfig(func(c *fleet.Config) { c.Faults = []fleet.Fault{{What: "cut"}} }), 1); err == nil ||
		!strings.Contains(err.Error(), "cut needs more than one process") {
		t.Error(err)
	}
}
