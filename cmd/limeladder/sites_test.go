package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/testserver"
)

// sitesRouter is a router before two banks over two sites, with the watch of sites on.
func sitesRouter(t *testing.T) (d *daemon, dbs map[string]*testserver.DB, op string) {
	t.Helper()
	dbs = map[string]*testserver.DB{}
	var list []config.Entry
	for _, x := range []struct {
		id, site string
		bank     int64
		primary  bool
	}{{"a1", "n", 7, true}, {"a2", "s", 7, false}, {"b1", "s", 8, true}, {"b2", "n", 8, false}} {
		db := testserver.NewDB(t, x.primary, nil)
		dbs[x.id] = db
		mode := "read-only"
		if x.primary {
			mode = "read-write"
		}
		list = append(list, config.Entry{ID: x.id, Addr: db.Addr, Zone: x.site, Cell: x.bank, State: "ready", Mode: mode})
	}
	agent, err := testserver.NewAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Stop)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	op = ln.Addr().String()
	ln.Close()
	cfg := pushed(t, agent, list...)
	cfg.Operator, cfg.Balance.Zone = op, "n"
	var dep config.Deploy
	dep.Sites.Watch, dep.Sites.Act = true, true
	d, err = newDaemon(cfg, dep, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() { d.run(); close(ended) }()
	t.Cleanup(func() { d.loop.Stop(); <-ended })
	ready(t, d)
	return d, dbs, op
}

// states asks for the sites as operators do.
func states(t *testing.T, op string) (state map[string]siteView, plans []struct {
	Site  string
	Banks []struct {
		Bank         int64
		LosesPrimary bool `json:"loses_primary"`
		Successor    string
	}
	Kept float64 `json:"worth_kept"`
}) {
	t.Helper()
	r, err := http.Get("http://" + op + "/v1/sites")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var got struct {
		Sites []siteView
		Plans json.RawMessage
	}
	if err := json.NewDecoder(r.Body).Decode(&got); err != nil || json.Unmarshal(got.Plans, &plans) != nil {
		t.Fatal(err)
	}
	state = map[string]siteView{}
	for _, v := range got.Sites {
		state[v.Site] = v
	}
	return state, plans
}

// From the machines to the operators: a site whose machines go is lost, its plan was there before, it comes back; and what operators declare
// binds until they take it back.
func TestSitesEndToEnd(t *testing.T) {
	d, dbs, op := sitesRouter(t)
	stop := make(chan bool)
	// Reads of both banks, and writes.
	both := func(name string) {
		c := testserver.Dial(t, d.fronts[0].listener.Addr().String())
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(3 * time.Millisecond):
				}
				class := "look"
				if n%3 == 0 {
					class = "job"
				}
				text := strings.Replace(sql(fmt.Sprintf("%s-%d", name, n), class), "cluster=7", fmt.Sprintf("cluster=%d", 7+n%2), 1)
				text = strings.Replace(text, "d=2500", "d=400", 1)
				if c.Write(query(text)) != nil || c.Until('Z').Ended {
					return
				}
			}
		}()
	}
	for i := range 4 {
		both(fmt.Sprint("c", i))
	}
	defer close(stop)
	until := func(what string, is func(map[string]siteView) bool) map[string]siteView {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			s, _ := states(t, op)
			if is(s) {
				return s
			}
			if time.Now().After(end) {
				t.Fatalf("%s: %+v", what, s)
			}
		}
	}
	until("all well", func(s map[string]siteView) bool {
		return len(s) == 2 && s["n"].State == "well" && s["s"].State == "well" && s["s"].Machines == 2
	})
	time.Sleep(500 * time.Millisecond)
	_, plans := states(t, op)
	if len(plans) != 2 || plans[1].Site != "s" || len(plans[1].Banks) != 2 || plans[1].Banks[0].LosesPrimary || !plans[1].Banks[1].LosesPrimary || plans[1].Banks[1].Successor != "b2" || plans[1].Kept <= 0 {
		t.Fatalf("%+v", plans)
	}
	var out, fault strings.Builder
	if _, code := command([]string{"sites", "plan", op}, nil, &out, &fault); code != 0 || !strings.Contains(out.String(), "loss of s: worth kept") || !strings.Contains(out.String(), "b2 (successor)") {
		t.Fatalf("%d %s %s", code, out.String(), fault.String())
	}
	dbs["a2"].Stop()
	dbs["b1"].Stop()
	lost := until("s is lost", func(s map[string]siteView) bool { return s["s"].State == "lost" })
	if lost["n"].State != "well" || lost["s"].Down != 2 || !strings.Contains(lost["s"].Evidence, "2 of 2 known machines down") {
		t.Errorf("%+v", lost)
	}
	for _, id := range []string{"a2", "b1"} {
		if err := dbs[id].Start(); err != nil {
			t.Fatal(err)
		}
	}
	until("s is well again", func(s map[string]siteView) bool { return s["s"].State == "well" && s["s"].Down == 0 })
	post := func(path string, want int) {
		t.Helper()
		r, err := http.Post("http://"+op+path, "", nil)
		if err != nil || r.StatusCode != want {
			t.Fatalf("%s: %v %v", path, r, err)
		}
	}
	post("/v1/sites/s/lost?limit=1m", 200)
	until("s is declared lost", func(s map[string]siteView) bool {
		return s["s"].State == "lost" && strings.HasPrefix(s["s"].Evidence, "declared")
	})
	post("/v1/sites/s/found", 200)
	until("s is well by the evidence", func(s map[string]siteView) bool { return s["s"].State == "well" })
	post("/v1/sites/x/lost", 404)
	paced := func() (out []pacedView) {
		t.Helper()
		r, err := http.Get("http://" + op + "/v1/sites")
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		var got struct{ Paced []pacedView }
		if err := json.NewDecoder(r.Body).Decode(&got); err != nil {
			t.Fatal(err)
		}
		return got.Paced
	}
	post("/v1/sites/s/pace?part=0.25&limit=1m", 200)
	if got := paced(); len(got) != 1 || got[0].Site != "s" || got[0].Part != 0.25 || got[0].BoundMs < 50_000 {
		t.Errorf("%+v", got)
	}
	out.Reset()
	if _, code := command([]string{"sites", "plan", op}, nil, &out, &fault); code != 0 || !strings.Contains(out.String(), "s is used for 25% of what it can do, bound by operators for") {
		t.Errorf("%d %s", code, out.String())
	}
	post("/v1/sites/s/free", 200)
	if got := paced(); len(got) != 0 {
		t.Errorf("%+v", got)
	}
	post("/v1/sites/x/pace?part=0.5", 404)
}

// Where the watch is off there is nothing to ask for, and a command that reaches no router says so in one line.
func TestSitesOff(t *testing.T) {
	_, list, agent := bank(t, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	op := ln.Addr().String()
	ln.Close()
	cfg := pushed(t, agent, list...)
	cfg.Operator = op
	ready(t, serve(t, cfg))
	var out, fault strings.Builder
	if _, code := command([]string{"sites", "plan", op}, nil, &out, &fault); code != exitUsage || !strings.Contains(fault.String(), "[sites] watch is off") || strings.Count(fault.String(), "\n") != 1 {
		t.Errorf("%d %q", code, fault.String())
	}
	fault.Reset()
	if _, code := command([]string{"sites", "plan", "127.0.0.1:1"}, nil, &out, &fault); code != exitUsage || strings.Count(fault.String(), "\n") != 1 {
		t.Errorf("%d %q", code, fault.String())
	}
}
