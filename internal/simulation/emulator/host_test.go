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

func small(change func(*fleet.Config)) fleet.Config {
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
	h, err := New(small(change), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Stop)
	return h, h.Members()
}

func text(class string, need time.Duration, after time.Duration) []byte {
	return pgwire.AppendQuery(nil, Statement("1", class, time.Second, 1, after, false, "s", need))
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// Statements take their time, and are answered by what the machine is.
func TestStatements(t *testing.T) {
	h, at := newHost(t, nil)
	a, b := testserver.Dial(t, at["db1a"]), testserver.Dial(t, at["db1b"])
	begin := time.Now()
	a.Send(text("submit-job", 30*time.Millisecond, 0))
	if x := a.Until('Z'); x.Code != "" || x.Types != "TDCZ" || !strings.HasPrefix(x.Value, "db1a ") || time.Since(begin) < 30*time.Millisecond {
		t.Fatalf("%+v after %v", x, time.Since(begin))
	}
	b.Send(text("submit-job", time.Millisecond, 0))
	if x := b.Until('Z'); x.Code != pgwire.ReadOnly {
		t.Fatalf("a write at a replica: %+v", x)
	}
	b.Send(text("own-jobs", time.Millisecond, time.Duration(time.Now().Add(time.Minute).UnixNano())))
	if x := b.Until('Z'); x.Code != pgwire.SnapshotTooOld {
		t.Fatalf("a read of what is not there yet: %+v", x)
	}
	b.Send(pgwire.AppendQuery(nil, "SELECT 1"))
	if x := b.Until('Z'); x.Code != pgwire.ProtocolViolation {
		t.Fatalf("%+v", x)
	}
	b.Send(pgwire.AppendQuery(nil, "SHOW stats"))
	if x := b.Until('Z'); !strings.Contains(x.Value, ",x1=0,util=") || !strings.HasPrefix(x.Value, "x0=") {
		t.Fatalf("%+v", x)
	}
	p := pgwire.AppendParse(nil, pgwire.ParseMessage{Query: Statement("2", "queue-view", time.Second, 1, 0, true, "s", time.Millisecond)})
	p = pgwire.AppendBind(p, pgwire.BindMessage{Rest: []byte{0, 0, 0, 0, 0, 0}})
	p = pgwire.AppendTarget(p, 'D', 'P', "")
	b.Send(pgwire.Append(pgwire.AppendExecute(p, "", 0), 'S'))
	if x := b.Until('Z'); x.Types != "12TDCZ" {
		t.Fatalf("%+v", x)
	}
	if _, did := h.Changes(); did != 2 {
		t.Errorf("%d served", did)
	}
}

// A machine that is killed takes nobody, and comes back at its address; a primary's successor stands; one that hangs says
// nothing until it goes on; a place too many is turned away.
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
		t.Errorf("a place too many: %q", p)
	}
	a.Send(text("queue-view", 10*time.Second, 0))
	h.Befall(fleet.Fault{What: "kill", Who: []string{"primary:1"}, For: 500 * time.Millisecond})
	if x := a.Until('Z'); !x.Ended {
		t.Errorf("%+v", x)
	}
	if c, err := net.Dial("tcp", at["db1a"]); err == nil {
		c.Close()
		t.Error("it takes connections")
	}
	until(t, "no successor", func() bool { n, _ := h.Changes(); return n == 1 })
	until(t, "it does not come back", func() bool {
		c, err := net.Dial("tcp", at["db1a"])
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	b := testserver.Dial(t, at["db1b"])
	h.Befall(fleet.Fault{What: "hang", Who: []string{"db1b"}, For: 300 * time.Millisecond})
	begin := time.Now()
	b.Send(text("queue-view", time.Millisecond, 0))
	if x := b.Until('Z'); x.Code != "" || time.Since(begin) < 200*time.Millisecond {
		t.Errorf("%+v after %v", x, time.Since(begin))
	}
	if m := h.Marks(); len(m) != 2 || m[0].Text != "kill primary:1" {
		t.Errorf("%+v", m)
	}
}

// Discovery gives whole lists, and what has changed to those who watch; while it is down it says nothing.
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
		t.Fatalf("%+v", l)
	}
	if same, _ := get("?index=1&wait=50"); same.Version != 1 || len(same.Endpoints) != 0 {
		t.Fatalf("%+v", same)
	}
	go h.Befall(fleet.Fault{What: "drain", Who: []string{"db1c"}})
	if l, _ = get("?index=1&wait=5000"); l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].State != "draining" {
		t.Fatalf("%+v", l)
	}
	for _, q := range []string{"?index=x&wait=1", "?index=1&wait=-1", "?index=1"} {
		if _, code := get(q); code != http.StatusBadRequest {
			t.Errorf("%s: %d", q, code)
		}
	}
	h.Befall(fleet.Fault{What: "discovery", For: 200 * time.Millisecond})
	begin := time.Now()
	if l, _ := get(""); time.Since(begin) < 180*time.Millisecond || len(l.Endpoints) != 3 {
		t.Errorf("%+v after %v", l, time.Since(begin))
	}
	p, err := h.Settings("n", "127.0.0.1:0", "", 3)
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(p, func(string) string { return "" })
	if err != nil || len(c.Balance.Classes) != 5 || c.Balance.SlowStartWindow != 18*time.Second || c.KnownEndpoints == nil || len(c.KnownEndpoints.Endpoints) != 3 {
		t.Fatalf("%v %+v", err, c)
	}
	if _, err := New(small(func(c *fleet.Config) { c.Faults = []fleet.Fault{{What: "cut"}} }), 1); err == nil || !strings.Contains(err.Error(), "cut needs more than one process") {
		t.Error(err)
	}
}
