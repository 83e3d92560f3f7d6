package main

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/syslog/parser"
	"limeladder/internal/testserver"
	"limeladder/internal/testserver/collector"
)

// rig is a router in a process of its own, with discovery, two db machines and collectors around it.
type rig struct {
	t      testing.TB
	dir    string
	addr   string
	op     string
	cmd    *exec.Cmd
	log    *bytes.Buffer
	mu     sync.Mutex
	list   string
	news   chan bool
	server *httptest.Server
	a, b   *testserver.DB
}

func freeAddr(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newRig(t testing.TB, act func(typ byte, id string) testserver.Act) *rig {
	r := &rig{t: t, dir: t.TempDir(), news: make(chan bool, 9), a: testserver.NewDB(t, true, act), b: testserver.NewDB(t, false, act)}
	r.list = fmt.Sprintf(`{"version":3,"full":true,"servers":[{"id":"s1","addr":%q,"zone":"a","cell":7,"state":"ready","mode":"read-write"},
		{"id":"s2","addr":%q,"zone":"a","cell":7,"state":"ready"}]}`, r.a.Addr, r.b.Addr)
	r.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.RawQuery != "" {
			select {
			case <-q.Context().Done():
				return
			case <-r.news:
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		fmt.Fprint(w, r.list)
	}))
	t.Cleanup(r.server.CloseClientConnections)
	r.file("config.json", configText(r.server.Listener.Addr().String()))
	r.file("keys.toml", fmt.Sprintf("current = \"one\"\n[keys]\none = \"%064x\"\n", 1))
	return r
}

func (r *rig) file(name, text string) {
	r.t.Helper()
	if err := os.WriteFile(r.dir+"/"+name+".new", []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	if err := os.Rename(r.dir+"/"+name+".new", r.dir+"/"+name); err != nil {
		r.t.Fatal(err)
	}
}

// deploy writes the operators' file: these collectors, a spool, the chain.
func (r *rig) deploy(more string, cs ...*collector.Collector) {
	var urls []string
	for _, c := range cs {
		urls = append(urls, fmt.Sprintf("%q", c.URL()))
	}
	r.file("deploy.toml", fmt.Sprintf("[syslog]\ncollectors = [%s]\nca = %q\n[syslog.spool]\nfolder = %q\n[audit]\nkeys = %q\nheads = 20\n%s",
		strings.Join(urls, ", "), r.dir+"/ca.pem", r.dir+"/spool", r.dir+"/keys.toml", more))
}

// start runs the program until it is ready.
func (r *rig) start() {
	r.t.Helper()
	r.addr, r.op, r.log = freeAddr(r.t), freeAddr(r.t), &bytes.Buffer{}
	r.cmd = program(r.dir + "/config.json")
	r.cmd.Env = append(r.cmd.Env, "LIMELADDER_DEPLOY="+r.dir+"/deploy.toml", "EDGE_LISTEN="+r.addr, "EDGE_OPERATOR="+r.op, "TMPDIR="+r.dir+"/tmp")
	os.MkdirAll(r.dir+"/tmp", 0o700)
	r.cmd.Stderr = r.log
	if err := r.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	cmd := r.cmd
	r.t.Cleanup(func() { cmd.Process.Kill() })
	r.until("ready", r.ready)
}

// inherited is how to run the program on a socket that stays while one process follows the other.
func (r *rig) inherited() (run func() *exec.Cmd) {
	r.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { ln.Close() })
	held, err := ln.(*net.TCPListener).File()
	if err != nil {
		r.t.Fatal(err)
	}
	r.addr, r.log = ln.Addr().String(), &bytes.Buffer{}
	os.MkdirAll(r.dir+"/tmp", 0o700)
	return func() *exec.Cmd {
		r.t.Helper()
		cmd := program(r.dir + "/config.json")
		r.op = freeAddr(r.t)
		cmd.ExtraFiles = []*os.File{held}
		cmd.Env = append(cmd.Env, "EDGE_INHERITED_FD=3", "TMPDIR="+r.dir+"/tmp", "EDGE_OPERATOR="+r.op, "LIMELADDER_DEPLOY="+r.dir+"/deploy.toml", "EDGE_LISTEN="+r.addr)
		if err := cmd.Start(); err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(func() { cmd.Process.Kill() })
		r.until("ready", r.ready)
		return cmd
	}
}

func (r *rig) ready() bool {
	a, err := http.Get("http://" + r.op + "/v1/readyz")
	return err == nil && a.StatusCode == 200
}

func (r *rig) until(what string, is func() bool) {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("never: %s\n%s", what, r.log)
		}
	}
}

// stop ends the program by SIGTERM.
func (r *rig) stop() {
	r.t.Helper()
	r.cmd.Process.Signal(syscall.SIGTERM)
	if err := r.cmd.Wait(); err != nil {
		r.t.Fatalf("%v\n%s", err, r.log)
	}
}

// ask sends n requests of a class one after the other and returns the codes of their answers.
func (r *rig) ask(prefix, class string, n, wait int) (codes []string) {
	r.t.Helper()
	c := testserver.Dial(r.t, r.addr)
	defer c.Close()
	for i := range n {
		c.Send(pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s-%d,c=%s,d=%d,cluster=7 */ SELECT 1", prefix, i, class, wait)))
		codes = append(codes, c.Until('Z').Code)
	}
	return codes
}

// value is one of a message's.
func value(t testing.TB, p []byte, elem, name string) string {
	t.Helper()
	var m parser.Message
	if err := m.Read(p); err != nil {
		t.Fatalf("%v: %q", err, p)
	}
	if elem == "" {
		return string(m.ID)
	}
	v, _ := m.Find(elem + "@32473").Find(name)
	return string(v)
}

// answers are the records of final answers, by the request's id.
func answers(t testing.TB, msgs [][]byte) (byID map[string][][]byte, outcomes map[string]int) {
	byID, outcomes = map[string][][]byte{}, map[string]int{}
	for _, p := range msgs {
		if value(t, p, "", "") == "ANSWER" {
			id := value(t, p, "request", "id")
			byID[id] = append(byID[id], p)
			outcomes[value(t, p, "answer", "outcome")]++
		}
	}
	return byID, outcomes
}

// verified runs the command over what collectors have.
func (r *rig) verified(want int, cs ...*collector.Collector) string {
	r.t.Helper()
	args := []string{"audit", "verify", "--keys", r.dir + "/keys.toml"}
	for i, c := range cs {
		f, err := os.Create(fmt.Sprint(r.dir, "/collected", i))
		if err != nil {
			r.t.Fatal(err)
		}
		if err := c.Write(f); err != nil {
			r.t.Fatal(err)
		}
		f.Close()
		args = append(args, f.Name())
	}
	var out, fault bytes.Buffer
	if daemon, code := command(args, nil, &out, &fault); daemon || code != want {
		r.t.Fatalf("exit %d, %d wanted: %s%s", code, want, &out, &fault)
	}
	return out.String()
}

// collectorFor starts one that ends with the test.
// ends waits until a collector has read so many ends and the heads behind them: what a router has sent is not read at once.
func (r *rig) ends(n int, c *collector.Collector) {
	r.t.Helper()
	r.until("the end", func() bool {
		ended, heads := map[string]bool{}, map[string]bool{}
		for _, p := range c.Messages() {
			start := value(r.t, p, "audit", "start")
			switch value(r.t, p, "", "") {
			case "END":
				ended[start] = true
			case "CHAIN":
				heads[start] = ended[start]
			}
		}
		got := 0
		for start := range ended {
			if heads[start] {
				got++
			}
		}
		return got == n
	})
}

// collectorFor starts one that ends with the test.
func collectorFor(t testing.TB, opt collector.Options) *collector.Collector {
	t.Helper()
	c, err := collector.New(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c
}

// Each final answer is one record, through a collector that restarts: the counts at the collector are the router's, each
// record tells what happened, and the file is proved whole.
func TestRecordOfEachAnswer(t *testing.T) {
	asked := make(chan bool, 9)
	r := newRig(t, func(typ byte, id string) (a testserver.Act) {
		switch {
		case typ != 'Q':
		case strings.HasPrefix(id, "own"):
			a.Code = "23505"
		case strings.HasPrefix(id, "busy"):
			a.Code = pgwire.TooManyConnections
		case strings.HasPrefix(id, "lost"):
			a.Break = true
		case strings.HasPrefix(id, "left"):
			asked <- true
			a.Delay = 100 * time.Millisecond
		}
		return a
	})
	c := collectorFor(t, collector.Options{Network: "tcp"})
	r.deploy("", c)
	r.start()
	r.ask("look", "look", 150, 2500)
	c.Stop()
	r.ask("job", "job", 150, 2500)
	if codes := r.ask("lost", "job", 3, 2500); codes[0] != pgwire.UnknownOutcome {
		t.Fatalf("%v", codes)
	}
	if codes := r.ask("busy", "job", 2, 100); codes[0] != pgwire.TooManyConnections {
		t.Fatalf("%v", codes)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	r.ask("own", "look", 3, 2500)
	leaver := testserver.Dial(t, r.addr)
	leaver.Send(pgwire.AppendQuery(nil, sql("left", "look")))
	<-asked
	leaver.Close()
	r.until("the record of who left", func() bool {
		byID, _ := answers(t, c.Messages())
		return len(byID["left"]) > 0
	})
	r.mu.Lock()
	r.list = strings.NewReplacer(`"version":3`, `"version":4`, `"cell":7,"state":"ready"}`, `"cell":7,"state":"draining"}`).Replace(r.list)
	r.mu.Unlock()
	r.news <- true
	if a, err := http.Post("http://"+r.op+"/v1/db-machines/s2/suspend", "", nil); err != nil || a.StatusCode != 200 {
		t.Fatal(a, err)
	}
	r.until("the records of both drains", func() bool {
		said := map[string]bool{}
		for _, p := range c.Messages() {
			if value(t, p, "", "") == "DRAIN" && value(t, p, "event", "node") == "s2" {
				said[value(t, p, "event", "by")+" "+value(t, p, "event", "state")] = true
			}
		}
		return said["list draining"] && said["operator suspended"]
	})
	r.stop()
	r.ends(1, c)

	byID, outcomes := answers(t, c.Messages())
	for id, ps := range byID {
		if len(ps) != 1 {
			t.Errorf("%s has %d records", id, len(ps))
		}
	}
	end, kinds := map[string]string{}, map[string]int{}
	for _, p := range c.Messages() {
		kind := value(t, p, "", "")
		if kinds[kind]++; kind == "END" {
			for _, name := range []string{"served", "refused", "failed", "left", "taken"} {
				end[name] = value(t, p, "event", name)
			}
		}
	}
	for name, n := range end {
		if name != "taken" && fmt.Sprint(outcomes[name]) != n {
			t.Errorf("%s: %d records, the router counts %s", name, outcomes[name], n)
		}
	}
	if len(byID) != 309 || end["taken"] != "309" || kinds["START"] != 1 || kinds["END"] != 1 || kinds["PRIMARY"] == 0 || kinds["LIST"] != 2 || kinds["CHAIN"] < 10 {
		t.Fatalf("%d requests, %v, %v\n%s", len(byID), end, kinds, r.log)
	}
	for id, want := range map[string]map[string]string{
		"look-0": {"outcome": "served", "sqlstate": "00000", "writes": "0", "may-have-run": "0", "attempts": "1"},
		"job-0":  {"outcome": "served", "sqlstate": "00000", "writes": "1", "may-have-run": "1", "node": "s1"},
		"lost-0": {"outcome": "failed", "sqlstate": "08007", "may-have-run": "1"},
		"busy-0": {"outcome": "refused", "sqlstate": "53300", "may-have-run": "0"},
		"own-0":  {"outcome": "served", "sqlstate": "23505"}, "left": {"outcome": "left", "sqlstate": ""},
	} {
		for name, v := range want {
			if got := value(t, byID[id][0], "answer", name); got != v {
				t.Errorf("%s: %s is %q, %q wanted: %s", id, name, got, v, byID[id][0])
			}
		}
	}
	if p := byID["busy-0"][0]; value(t, p, "answer", "retry-ms") == "" || value(t, p, "request", "tenant") != "portal" || !strings.HasPrefix(value(t, p, "request", "client"), "127.0.0.1:") {
		t.Errorf("%s", p)
	}
	if out := r.verified(exitWhole, c); !strings.Contains(out, "whole:") {
		t.Fatal(out)
	}
}

// A process that is killed leaves its spool to the next one: nothing that went there is missing, and the file shows one
// start without an end and no fault.
func TestRecordsOfAKilledProcess(t *testing.T) {
	r := newRig(t, nil)
	c := collectorFor(t, collector.Options{Network: "tcp"})
	r.deploy("", c)
	c.Stop()
	r.file("deploy.toml", strings.Replace(r.text("deploy.toml"), "[syslog.spool]", "[syslog.queue]\nbytes = 65536\n[syslog.spool]", 1))
	r.start()
	for i := range 8 {
		r.ask(fmt.Sprint("many", i), "look", 250, 2500)
	}
	r.cmd.Process.Kill()
	r.cmd.Wait()
	left := 0
	for _, e := range r.entries("spool") {
		left += len(r.entries("spool/" + e))
	}
	if left == 0 {
		t.Fatal("nothing is in the spool")
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	r.start()
	r.ask("next", "look", 10, 2500)
	r.until("the spool is empty", func() bool { return len(r.entries("spool")) <= 1 })
	r.stop()
	r.ends(1, c)
	out := r.verified(exitOpen, c)
	if strings.Count(out, "its end is not here") != 1 || strings.Count(out, "start ") < 2 {
		t.Fatal(out)
	}
	if byID, _ := answers(t, c.Messages()); len(byID["next-9"]) != 1 || len(byID) < 1500 {
		t.Fatalf("%d answers", len(byID))
	}
}

func (r *rig) text(name string) string {
	p, err := os.ReadFile(r.dir + "/" + name)
	if err != nil {
		r.t.Fatal(err)
	}
	return string(p)
}

func (r *rig) entries(name string) (names []string) {
	es, _ := os.ReadDir(r.dir + "/" + name)
	for _, e := range es {
		names = append(names, e.Name())
	}
	return names
}

// With a collector that is dead, hangs, or never ends its handshake, every client is answered, and SIGTERM ends the
// program in order and in time.
func TestNoAnswerWaitsForACollector(t *testing.T) {
	for name, opt := range map[string]collector.Options{"hangs": {Network: "tcp"}, "never shakes hands": {Network: "tls", Silent: true}, "dead": {Network: "tcp"}, "nobody": {Network: "udp"}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			c := collectorFor(t, opt)
			switch name {
			case "hangs":
				defer c.Hang()()
			case "dead", "nobody":
				c.Stop()
			}
			// No spool, and a queue that is full at once.
			r.file("deploy.toml", fmt.Sprintf("[syslog]\ncollectors = [%q]\n[syslog.queue]\nrecords = 50\nflush = \"200ms\"\n", c.URL()))
			r.start()
			for i := range 10 {
				for j, code := range r.ask(fmt.Sprint("r", i), "look", 100, 2500) {
					if code != "" {
						t.Fatalf("%d: %s", j, code)
					}
				}
			}
			begin := time.Now()
			r.stop()
			if took := time.Since(begin); took > 10*time.Second {
				t.Fatalf("it took %v", took)
			}
			if !strings.Contains(r.log.String(), "recording ended") {
				t.Fatal(r.log)
			}
		})
	}
}

// SIGHUP brings another collector and another key; the chain goes on over both. What can't be taken changes nothing.
func TestReloadOfTheRecord(t *testing.T) {
	r := newRig(t, nil)
	ca, err := collector.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	cert, _, _, err := ca.Issue("collector.example", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	r.file("ca.pem", string(ca.PEM))
	first := collectorFor(t, collector.Options{Network: "tcp"})
	second := collectorFor(t, collector.Options{Network: "tls", TLS: &tls.Config{Certificates: []tls.Certificate{cert}}})
	r.deploy("", first)
	r.start()
	r.ask("one", "look", 30, 2500)
	hup := func(taken string, at *collector.Collector) {
		t.Helper()
		before := 0
		count := func() (n int) {
			for _, p := range at.Messages() {
				if value(t, p, "", "") == "RELOAD" && value(t, p, "event", "what") == "deploy" && value(t, p, "event", "taken") == taken {
					n++
				}
			}
			return n
		}
		before = count()
		r.cmd.Process.Signal(syscall.SIGHUP)
		r.until("the reload's record", func() bool { return count() > before })
	}
	for _, bad := range []string{"reads = 7.0", "kinds = [\"x\"]", "nothing = 1"} {
		r.deploy(bad, first)
		hup("0", first)
	}
	r.file("keys.toml", fmt.Sprintf("current = \"two\"\n[keys]\none = \"%064x\"\ntwo = \"%064x\"\n", 1, 2))
	r.deploy("outcomes = [\"refused\"]", second)
	hup("1", second)
	r.ask("two", "look", 30, 2500)
	r.stop()
	r.ends(1, second)
	byID, _ := answers(t, append(first.Messages(), second.Messages()...))
	if len(byID) != 30 || len(byID["one-0"]) != 1 {
		t.Fatalf("%d answers", len(byID))
	}
	r.verified(exitWhole, first, second)
	// The old key alone does not prove what the new one has chained.
	r.file("keys.toml", fmt.Sprintf("current = \"one\"\n[keys]\none = \"%064x\"\n", 1))
	r.verified(exitFaults, first, second)
}

// Two processes during an upgrade in place record each its own start, in a spool of its own; both are proved whole.
func TestRecordsInAnUpgrade(t *testing.T) {
	r := newRig(t, nil)
	c := collectorFor(t, collector.Options{Network: "tcp"})
	r.deploy("", c)
	run := r.inherited()
	old := run()
	r.ask("old", "look", 20, 2500)
	fresh := run()
	if n := len(r.entries("spool")); n != 2 {
		t.Fatalf("%d spools", n)
	}
	old.Process.Signal(syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Fatal(err)
	}
	r.ask("new", "look", 20, 2500)
	fresh.Process.Signal(syscall.SIGTERM)
	if err := fresh.Wait(); err != nil {
		t.Fatal(err)
	}
	r.ends(2, c)
	if byID, _ := answers(t, c.Messages()); len(byID) != 40 {
		t.Errorf("%d answers", len(byID))
	}
	if out := r.verified(exitWhole, c); strings.Count(out, "start ") != 2 {
		t.Fatal(out)
	}
}

// The command line: what is wrong is one line and exit 2; without arguments, and with run, it is the daemon.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	os.WriteFile(dir+"/empty", nil, 0o600)
	os.WriteFile(dir+"/bad", []byte("<7>1 x\n"), 0o600)
	for args, want := range map[string]int{"nonsense": 2, "audit": 2, "audit verify": 2, "audit verify /none": 2, "audit verify --keys /none " + dir + "/empty": 2,
		"audit verify --keys " + dir + "/bad " + dir + "/empty": 2, "audit verify --what x": 2, "--help": 0, "audit verify " + dir + "/empty": 3, "audit verify -q " + dir + "/bad": 1, "audit verify -": 3} {
		var out, fault bytes.Buffer
		daemon, code := command(strings.Fields(args), strings.NewReader(""), &out, &fault)
		if daemon || code != want || want == 2 && (strings.Count(fault.String(), "\n") != 1 || out.Len() > 0) {
			t.Errorf("%s: %v %d %q %q", args, daemon, code, &out, &fault)
		}
	}
	if daemon, _ := command([]string{"run"}, nil, nil, nil); !daemon {
		t.Error("run is no daemon")
	}
}
