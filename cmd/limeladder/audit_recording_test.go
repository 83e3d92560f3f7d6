package main

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
	"limeladder/internal/testserver/collector"
)

// clientDeadline is how long the clients of these tests wait for an answer.
const clientDeadline = 2500 * time.Millisecond

// uniqueViolation is an error of the server's own, which is passed on to the client.
const uniqueViolation = "23505"

// Each final answer is one record, through a collector that restarts: the counts at the collector are the router's,
// each record tells what happened, and the collected file is verified as complete.
func TestEachFinalAnswerIsRecordedOnce(t *testing.T) {
	arrived := make(chan bool, 9)
	router := newRouterProcess(t, func(typ byte, id string) testserver.Act {
		return actByPrefix(typ, id, arrived)
	})
	c := startCollector(t, collector.Options{Network: "tcp"})
	router.writeDeployFile("", c)
	router.start()
	router.sendRequests("look", "look", 150, clientDeadline)
	c.Stop()
	router.sendRequests("job", "job", 150, clientDeadline)
	if codes := router.sendRequests("lost", "job", 3, clientDeadline); codes[0] != pgwire.UnknownOutcome {
		t.Fatalf("%v", codes)
	}
	if codes := router.sendRequests("busy", "job", 2, 100*time.Millisecond); codes[0] != pgwire.TooManyConnections {
		t.Fatalf("%v", codes)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	router.sendRequests("own", "look", 3, clientDeadline)
	disconnecting := testserver.Dial(t, router.address)
	disconnecting.Send(queryMessage(statement("left", "look")))
	<-arrived
	disconnecting.Close()
	router.waitFor("the record of the client that has disconnected", func() bool {
		return len(answersByRequest(t, c.Messages())["left"]) > 0
	})
	router.drainReplica()
	router.callAdminAPI("db-machines/s2/suspend", http.StatusOK)
	router.waitFor("the records of the drain and the suspension", func() bool {
		states := endpointStates(t, c.Messages(), "s2")
		return states["list draining"] && states["operator suspended"]
	})
	router.stop()
	router.waitForEnds(1, c)

	requireOneRecordEach(t, router, c.Messages(), 309)
	requireRecordedAnswers(t, answersByRequest(t, c.Messages()))
	if report := router.verifyRecords(exitVerified, c); !strings.Contains(report, "whole:") {
		t.Fatal(report)
	}
}

// actByPrefix is the behavior of fake servers by the prefix of a request's id. It tells on a channel of requests whose
// client will disconnect.
func actByPrefix(typ byte, id string, arrived chan<- bool) (act testserver.Act) {
	if typ != 'Q' {
		return act
	}
	switch {
	case strings.HasPrefix(id, "own"):
		act.Code = uniqueViolation
	case strings.HasPrefix(id, "busy"):
		act.Code = pgwire.TooManyConnections
	case strings.HasPrefix(id, "lost"):
		act.Break = true
	case strings.HasPrefix(id, "left"):
		arrived <- true
		act.Delay = 100 * time.Millisecond
	}
	return act
}

// drainReplica makes discovery notify the router that s2 drains.
func (r *routerProcess) drainReplica() {
	r.mu.Lock()
	r.endpointList = strings.NewReplacer(
		`"version":3`, `"version":4`,
		`"cell":7,"state":"ready"}`, `"cell":7,"state":"draining"}`,
	).Replace(r.endpointList)
	r.mu.Unlock()
	r.watchEvents <- true
}

// endpointStates returns which states of an endpoint are recorded, each behind who has changed it.
func endpointStates(t *testing.T, messages [][]byte, id string) map[string]bool {
	t.Helper()
	states := map[string]bool{}
	for _, message := range recordsOfKind(t, messages, "DRAIN") {
		if recordValue(t, message, "event", "node") == id {
			states[recordValue(t, message, "event", "by")+" "+recordValue(t, message, "event", "state")] = true
		}
	}
	return states
}

// requireOneRecordEach fails the test unless each request has one record, and the counts of the END record are those of
// the records.
func requireOneRecordEach(t *testing.T, router *routerProcess, messages [][]byte, wantRequests int) {
	t.Helper()
	byID := answersByRequest(t, messages)
	for id, records := range byID {
		if len(records) != 1 {
			t.Errorf("%s has %d records", id, len(records))
		}
	}
	kinds := map[string]int{}
	outcomes := map[string]int{}
	for _, message := range messages {
		kind := recordKind(t, message)
		kinds[kind]++
		if kind == "ANSWER" {
			outcomes[recordValue(t, message, "answer", "outcome")]++
		}
	}
	if kinds["START"] != 1 || kinds["END"] != 1 {
		t.Fatalf("%v\n%s", kinds, router.log)
	}
	end := recordsOfKind(t, messages, "END")[0]
	for _, outcome := range []string{"served", "refused", "failed", "left"} {
		if counted := recordValue(t, end, "event", outcome); fmt.Sprint(outcomes[outcome]) != counted {
			t.Errorf("%s: %d records, the router counts %s", outcome, outcomes[outcome], counted)
		}
	}
	accepted := recordValue(t, end, "event", "taken")
	if len(byID) != wantRequests || accepted != fmt.Sprint(wantRequests) {
		t.Errorf("%d requests, the router counts %s\n%s", len(byID), accepted, router.log)
	}
	if kinds["PRIMARY"] == 0 || kinds["LIST"] != 2 || kinds["CHAIN"] < 10 {
		t.Errorf("%v\n%s", kinds, router.log)
	}
}

// requireRecordedAnswers fails the test unless the records tell what happened to the requests of each prefix.
func requireRecordedAnswers(t *testing.T, byID map[string][][]byte) {
	t.Helper()
	for id, want := range map[string]map[string]string{
		"look-0": {"outcome": "served", "sqlstate": "00000", "writes": "0", "may-have-run": "0", "attempts": "1"},
		"job-0":  {"outcome": "served", "sqlstate": "00000", "writes": "1", "may-have-run": "1", "node": "s1"},
		"lost-0": {"outcome": "failed", "sqlstate": "08007", "may-have-run": "1"},
		"busy-0": {"outcome": "refused", "sqlstate": "53300", "may-have-run": "0"},
		"own-0":  {"outcome": "served", "sqlstate": uniqueViolation},
		"left":   {"outcome": "left", "sqlstate": ""},
	} {
		record := byID[id][0]
		for name, wantValue := range want {
			if got := recordValue(t, record, "answer", name); got != wantValue {
				t.Errorf("%s: %s is %q, %q wanted: %s", id, name, got, wantValue, record)
			}
		}
	}
	rejected := byID["busy-0"][0]
	if recordValue(t, rejected, "answer", "retry-ms") == "" {
		t.Errorf("no time to retry: %s", rejected)
	}
	if recordValue(t, rejected, "request", "tenant") != "portal" {
		t.Errorf("not the tenant: %s", rejected)
	}
	if !strings.HasPrefix(recordValue(t, rejected, "request", "client"), "127.0.0.1:") {
		t.Errorf("not the client: %s", rejected)
	}
}

// A process that is killed leaves its spool to the next one: nothing that went there is missing, and the collected file
// shows one start without an end and no fault.
func TestRecordsOfAKilledProcessAreShippedByTheNext(t *testing.T) {
	router := newRouterProcess(t, nil)
	c := startCollector(t, collector.Options{Network: "tcp"})
	router.writeDeployFile("", c)
	c.Stop()
	router.writeFile("deploy.toml", strings.Replace(router.readFile("deploy.toml"),
		"[syslog.spool]", "[syslog.queue]\nbytes = 65536\n[syslog.spool]", 1))
	router.start()
	for i := range 8 {
		router.sendRequests(fmt.Sprint("many", i), "look", 250, clientDeadline)
	}
	router.cmd.Process.Kill()
	_ = router.cmd.Wait() // how a killed process ended does not matter
	segments := 0
	for _, spool := range router.readDir("spool") {
		segments += len(router.readDir("spool/" + spool))
	}
	if segments == 0 {
		t.Fatal("nothing is in the spool")
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	router.start()
	router.sendRequests("next", "look", 10, clientDeadline)
	router.waitFor("the spool is empty", func() bool { return len(router.readDir("spool")) <= 1 })
	router.stop()
	router.waitForEnds(1, c)
	report := router.verifyRecords(exitNotYetProved, c)
	if strings.Count(report, "its end is not here") != 1 || strings.Count(report, "start ") < 2 {
		t.Fatal(report)
	}
	if byID := answersByRequest(t, c.Messages()); len(byID["next-9"]) != 1 || len(byID) < 1500 {
		t.Fatalf("%d answers", len(byID))
	}
}

// With a collector that is dead, hangs, or never ends its handshake, every client is answered, and SIGTERM ends the
// program in order and in time.
func TestNoAnswerWaitsForACollector(t *testing.T) {
	for _, test := range []struct {
		name    string
		options collector.Options
		prepare func(t *testing.T, c *collector.Collector)
	}{
		{
			name:    "hangs",
			options: collector.Options{Network: "tcp"},
			prepare: func(t *testing.T, c *collector.Collector) {
				t.Helper()
				t.Cleanup(c.Hang())
			},
		},
		{
			name:    "never shakes hands",
			options: collector.Options{Network: "tls", Silent: true},
			prepare: func(*testing.T, *collector.Collector) {},
		},
		{
			name:    "dead",
			options: collector.Options{Network: "tcp"},
			prepare: func(_ *testing.T, c *collector.Collector) { c.Stop() },
		},
		{
			name:    "nobody receives packets",
			options: collector.Options{Network: "udp"},
			prepare: func(_ *testing.T, c *collector.Collector) { c.Stop() },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouterProcess(t, nil)
			c := startCollector(t, test.options)
			test.prepare(t, c)
			// No spool, and a queue that is full at once.
			router.writeFile("deploy.toml", fmt.Sprintf(
				"[syslog]\ncollectors = [%q]\n[syslog.queue]\nrecords = 50\nflush = \"200ms\"\n", c.URL()))
			router.start()
			for i := range 10 {
				for j, code := range router.sendRequests(fmt.Sprint("r", i), "look", 100, clientDeadline) {
					if code != "" {
						t.Fatalf("%d: %s", j, code)
					}
				}
			}
			begin := time.Now()
			router.stop()
			if took := time.Since(begin); took > 10*time.Second {
				t.Fatalf("it took %v", took)
			}
			if !strings.Contains(router.log.String(), "audit recording ended") {
				t.Fatal(router.log)
			}
		})
	}
}

// SIGHUP brings another collector and another key; the chain goes on over both. What can't be taken over changes
// nothing.
func TestReloadChangesCollectorAndChainKey(t *testing.T) {
	router := newRouterProcess(t, nil)
	authority, err := collector.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	certificate, _, _, err := authority.Issue("collector.example", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	router.writeFile("ca.pem", string(authority.PEM))
	first := startCollector(t, collector.Options{Network: "tcp"})
	second := startCollector(t, collector.Options{
		Network: "tls",
		TLS:     &tls.Config{Certificates: []tls.Certificate{certificate}},
	})
	router.writeDeployFile("", first)
	router.start()
	router.sendRequests("one", "look", 30, clientDeadline)
	for _, invalid := range []string{"reads = 7.0", "kinds = [\"x\"]", "nothing = 1"} {
		router.writeDeployFile(invalid, first)
		router.reloadDeployFile("0", first)
	}
	router.writeFile("keys.toml",
		fmt.Sprintf("current = \"two\"\n[keys]\none = \"%064x\"\ntwo = \"%064x\"\n", 1, 2))
	router.writeDeployFile("outcomes = [\"refused\"]", second)
	router.reloadDeployFile("1", second)
	router.sendRequests("two", "look", 30, clientDeadline)
	router.stop()
	router.waitForEnds(1, second)
	byID := answersByRequest(t, append(first.Messages(), second.Messages()...))
	if len(byID) != 30 || len(byID["one-0"]) != 1 {
		t.Fatalf("%d answers", len(byID))
	}
	router.verifyRecords(exitVerified, first, second)
	// The old key alone does not prove what the new one has chained.
	router.writeFile("keys.toml", fmt.Sprintf("current = \"one\"\n[keys]\none = \"%064x\"\n", 1))
	router.verifyRecords(exitFaultsFound, first, second)
}

// reloadDeployFile sends SIGHUP and waits until a collector has the record of the reload of the operators' file, which
// says whether it was taken over.
func (r *routerProcess) reloadDeployFile(wantTaken string, c *collector.Collector) {
	r.test.Helper()
	countReloads := func() int {
		reloads := 0
		for _, message := range recordsOfKind(r.test, c.Messages(), "RELOAD") {
			ofDeploy := recordValue(r.test, message, "event", "what") == reloadedDeploy
			if ofDeploy && recordValue(r.test, message, "event", "taken") == wantTaken {
				reloads++
			}
		}
		return reloads
	}
	before := countReloads()
	signalProcess(r.test, r.cmd, syscall.SIGHUP)
	r.waitFor("the record of the reload", func() bool { return countReloads() > before })
}

// Each process of a hot restart records its own start, in a spool of its own; both are verified as complete.
func TestBothProcessesRecordDuringHotRestart(t *testing.T) {
	router := newRouterProcess(t, nil)
	c := startCollector(t, collector.Options{Network: "tcp"})
	router.writeDeployFile("", c)
	start := router.useInheritedSocket()
	oldProcess := start()
	router.sendRequests("old", "look", 20, clientDeadline)
	newProcess := start()
	if spools := len(router.readDir("spool")); spools != 2 {
		t.Fatalf("%d spools", spools)
	}
	signalProcess(t, oldProcess, syscall.SIGTERM)
	if err := oldProcess.Wait(); err != nil {
		t.Fatal(err)
	}
	router.sendRequests("new", "look", 20, clientDeadline)
	signalProcess(t, newProcess, syscall.SIGTERM)
	if err := newProcess.Wait(); err != nil {
		t.Fatal(err)
	}
	router.waitForEnds(2, c)
	if byID := answersByRequest(t, c.Messages()); len(byID) != 40 {
		t.Errorf("%d answers", len(byID))
	}
	if report := router.verifyRecords(exitVerified, c); strings.Count(report, "start ") != 2 {
		t.Fatal(report)
	}
}
