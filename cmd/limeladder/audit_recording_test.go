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

// uniqueViolation is the SQLSTATE of an error that the server reports and the router forwards to the client.
const uniqueViolation = "23505"

// Each final answer is recorded once, even if the collector restarts: the collector has as many records as the router
// counts, each record describes its request, and the collected file is verified as complete.
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
		t.Fatalf("requests whose connection broke got SQLSTATEs %v, want 08007", codes)
	}
	if codes := router.sendRequests("busy", "job", 2, 100*time.Millisecond); codes[0] != pgwire.TooManyConnections {
		t.Fatalf("requests to busy servers got SQLSTATEs %v, want 53300", codes)
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

// actByPrefix is the behavior of fake servers, which depends on the prefix of a request's id. It sends to arrived when
// a request whose client will disconnect has arrived.
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
		act.CloseConnection = true
	case strings.HasPrefix(id, "left"):
		arrived <- true
		act.Delay = 100 * time.Millisecond
	}
	return act
}

// drainReplica makes discovery notify the router that s2 is draining.
func (r *routerProcess) drainReplica() {
	r.mu.Lock()
	r.endpointList = strings.NewReplacer(
		`"version":3`, `"version":4`,
		`"cell":7,"state":"ready"}`, `"cell":7,"state":"draining"}`,
	).Replace(r.endpointList)
	r.mu.Unlock()
	r.watchEvents <- true
}

// endpointStates returns the recorded states of an endpoint, each after the source of the change and a space.
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

// requireOneRecordEach fails the test unless each request has exactly one record, and the END record has the same
// counts as the records.
func requireOneRecordEach(t *testing.T, router *routerProcess, messages [][]byte, wantRequests int) {
	t.Helper()
	byID := answersByRequest(t, messages)
	for id, records := range byID {
		if len(records) != 1 {
			t.Errorf("request %s has %d records, want 1", id, len(records))
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
		t.Fatalf("got records %v, want one START and one END\n%s", kinds, router.log)
	}
	end := recordsOfKind(t, messages, "END")[0]
	for _, outcome := range []string{"served", "refused", "failed", "left"} {
		if counted := recordValue(t, end, "event", outcome); fmt.Sprint(outcomes[outcome]) != counted {
			t.Errorf("outcome %s: got %d records, the router counts %s", outcome, outcomes[outcome], counted)
		}
	}
	accepted := recordValue(t, end, "event", "taken")
	if len(byID) != wantRequests || accepted != fmt.Sprint(wantRequests) {
		t.Errorf("got records of %d requests, the router counts %s, want as many as were sent\n%s",
			len(byID), accepted, router.log)
	}
	if kinds["PRIMARY"] == 0 || kinds["LIST"] != 2 || kinds["CHAIN"] < 10 {
		t.Errorf("got records %v, want PRIMARY, 2 LIST and at least 10 CHAIN\n%s", kinds, router.log)
	}
}

// requireRecordedAnswers fails the test unless the records describe the requests of each prefix correctly.
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
				t.Errorf("%s: %s is %q, want %q: %s", id, name, got, wantValue, record)
			}
		}
	}
	rejected := byID["busy-0"][0]
	if recordValue(t, rejected, "answer", "retry-ms") == "" {
		t.Errorf("the record has no retry-ms: %s", rejected)
	}
	if recordValue(t, rejected, "request", "tenant") != "portal" {
		t.Errorf("the record does not name the tenant portal: %s", rejected)
	}
	if !strings.HasPrefix(recordValue(t, rejected, "request", "client"), "127.0.0.1:") {
		t.Errorf("the record does not name the client's address: %s", rejected)
	}
}

// The next process ships the spool of a process that was killed: no spooled record is missing, and the collected file
// shows one start without an end and no faults.
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
		t.Fatal("the spool has no segments")
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	router.start()
	router.sendRequests("next", "look", 10, clientDeadline)
	router.waitFor("only the running process has a spool", func() bool { return len(router.readDir("spool")) <= 1 })
	router.stop()
	router.waitForEnds(1, c)
	report := router.verifyRecords(exitNotYetProved, c)
	if strings.Count(report, "its end is not here") != 1 || strings.Count(report, "start ") < 2 {
		t.Fatal(report)
	}
	if byID := answersByRequest(t, c.Messages()); len(byID["next-9"]) != 1 || len(byID) < 1500 {
		t.Fatalf("got records of %d requests, want at least 1500 and one for next-9", len(byID))
	}
}

// If the collector is stopped, hangs or never completes its TLS handshake, every client still gets its answer, and
// SIGTERM still ends the program gracefully and in time.
func TestResponsesDoNotWaitForCollector(t *testing.T) {
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
			name:    "never completes its handshake",
			options: collector.Options{Network: "tls", Silent: true},
			prepare: func(*testing.T, *collector.Collector) {},
		},
		{
			name:    "stopped",
			options: collector.Options{Network: "tcp"},
			prepare: func(_ *testing.T, c *collector.Collector) { c.Stop() },
		},
		{
			name:    "no receiver of packets",
			options: collector.Options{Network: "udp"},
			prepare: func(_ *testing.T, c *collector.Collector) { c.Stop() },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newRouterProcess(t, nil)
			c := startCollector(t, test.options)
			test.prepare(t, c)
			// There is no spool, and the queue is full at once.
			router.writeFile("deploy.toml", fmt.Sprintf(
				"[syslog]\ncollectors = [%q]\n[syslog.queue]\nrecords = 50\nflush = \"200ms\"\n", c.URL()))
			router.start()
			for i := range 10 {
				for j, code := range router.sendRequests(fmt.Sprint("r", i), "look", 100, clientDeadline) {
					if code != "" {
						t.Fatalf("request %d got SQLSTATE %s, want none", j, code)
					}
				}
			}
			begin := time.Now()
			router.stop()
			if took := time.Since(begin); took > 10*time.Second {
				t.Fatalf("shutdown took %v, want at most 10 s", took)
			}
			if !strings.Contains(router.log.String(), "audit recording ended") {
				t.Fatal(router.log)
			}
		})
	}
}

// SIGHUP switches to another collector and another chain key, and the chain continues across the switch. A deploy file
// that can't be applied changes nothing.
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
		t.Fatalf("got records of %d requests, want 30 with one for one-0", len(byID))
	}
	router.verifyRecords(exitVerified, first, second)
	// The old key alone does not prove the records that were chained with the new one.
	router.writeFile("keys.toml", fmt.Sprintf("current = \"one\"\n[keys]\none = \"%064x\"\n", 1))
	router.verifyRecords(exitFaultsFound, first, second)
}

// reloadDeployFile sends SIGHUP and waits until a collector has another record of a reload of the deploy file whose
// value "taken", which is 1 if the file was applied, is wantTaken.
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

// Each process of a hot restart has its own start record and its own spool, and both starts are verified as complete.
func TestBothProcessesRecordDuringHotRestart(t *testing.T) {
	router := newRouterProcess(t, nil)
	c := startCollector(t, collector.Options{Network: "tcp"})
	router.writeDeployFile("", c)
	start := router.useInheritedSocket()
	oldProcess := start()
	router.sendRequests("old", "look", 20, clientDeadline)
	newProcess := start()
	if spools := len(router.readDir("spool")); spools != 2 {
		t.Fatalf("got %d spools, want 2", spools)
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
		t.Errorf("got records of %d requests, want 40", len(byID))
	}
	if report := router.verifyRecords(exitVerified, c); strings.Count(report, "start ") != 2 {
		t.Fatal(report)
	}
}
