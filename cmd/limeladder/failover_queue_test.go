package main

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/testserver"
	"limeladder/internal/testserver/check"
)

// writeClients are clients that send one write each, every one on its own connection.
type writeClients struct {
	sync.WaitGroup
	mu       sync.Mutex
	requests []check.Job
}

// start connects count clients, each of which sends its write on its own goroutine.
func (w *writeClients) start(router *routerProcess, prefix string, count int) {
	for i := range count {
		client := testserver.Dial(router.test, router.address)
		w.Go(func() { w.sendOn(client, fmt.Sprint(prefix, i)) })
	}
}

// send connects one client, sends its write and waits for the answer.
func (w *writeClients) send(router *routerProcess, id string) {
	w.sendOn(testserver.Dial(router.test, router.address), id)
}

func (w *writeClients) sendOn(client *testserver.Client, id string) {
	defer client.Close()
	const deadline = 3 * time.Second
	request := check.Job{ID: id, Sent: time.Now(), Deadline: deadline}
	client.Send(queryMessage(statementWithin(id, "job", deadline, firstGroup)))
	recordAnswer(&request, client.Until('Z'))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, request)
}

// A process with queued writes reloads its configuration, is replaced in a hot restart, and shuts down: the writes sent
// to both processes are each answered once and run once, and the operators' API shows the failover.
func TestPendingWritesSurviveReloadHotRestartAndShutdown(t *testing.T) {
	router := newRouterProcess(t, nil)
	router.writeFile("deploy.toml", "[changeover]\nclasses = [\"job\"]\n")
	start := router.useInheritedSocket()
	oldProcess := start()
	var writers writeClients
	writers.start(router, "warm", 3)
	writers.Wait()
	router.primary.SetPrimary(false)
	router.primary.Stop()
	writers.start(router, "old", 20)
	router.waitFor("20 writes are queued", func() bool { return router.hasPending(20) })
	requirePrimaryLost(t, router)

	signalProcess(t, oldProcess, syscall.SIGHUP)
	newProcess := start()
	signalProcess(t, oldProcess, syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond) // the old process accepts no more connections
	writers.start(router, "new", 20)
	router.waitFor("20 writes are queued in the new process", func() bool { return router.hasPending(20) })
	router.replica.SetPrimary(true)
	writers.Wait()
	if err := oldProcess.Wait(); err != nil {
		t.Fatal(err)
	}
	status, ok := router.onlyGroupStatus()
	if !ok || status.Primary != "s2" || status.Pending != 0 || status.Released != 20 {
		t.Fatalf("got %+v, want primary s2, no pending and 20 released writes", status)
	}
	// An announced failover: writes are queued and reads are served. Its time limit ends it if the primary doesn't change.
	router.callAdminAPI("cells/7/changeover?limit=700ms", http.StatusOK)
	writers.start(router, "announced", 5)
	router.waitFor("5 writes are queued", func() bool { return router.hasPending(5) })
	if codes := router.sendRequests("read", "look", 5, time.Second); strings.Join(codes, "") != "" {
		t.Fatalf("reads during the announced failover got SQLSTATEs %v, want none", codes)
	}
	writers.Wait()
	signalProcess(t, newProcess, syscall.SIGTERM)
	if err := newProcess.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, fault := range check.Jobs(writers.requests, router.serverLogs(), nil) {
		t.Error(fault)
	}
	if served, _, _, _ := check.Count(writers.requests); served != 48 {
		t.Errorf("%d writes served, want 48", served)
	}
}

// requirePrimaryLost fails the test unless the operators' API reports s1, the first primary of the group, as lost or
// suspected.
func requirePrimaryLost(t *testing.T, router *routerProcess) {
	t.Helper()
	status, ok := router.onlyGroupStatus()
	lost := status.Phase == "lost" || status.Phase == "suspected"
	firstPrimary := status.Group == firstGroup && status.Primary == "s1" && status.Term == 1
	if !ok || !lost || !firstPrimary || len(status.History) == 0 {
		t.Fatalf("got %+v, want primary s1 lost or suspected in term 1, with a history", status)
	}
}

// If the failover queue is off, operators' calls about it return 404. A class that can't be queued ends the program
// with one line that names the setting.
func TestFailoverQueueOffAndInvalid(t *testing.T) {
	router := newRouterProcess(t, nil)
	router.writeFile("deploy.toml", "")
	router.start()
	response, err := http.Get("http://" + router.adminAddress + "/v1/cells")
	if err != nil || response.StatusCode != http.StatusNotFound {
		t.Errorf("GET /v1/cells: got %v, %v, want status 404", response, err)
	}
	router.callAdminAPI("cells/7/changeover", http.StatusNotFound)
	router.stop()
	for _, class := range []string{"look", "none"} {
		t.Run(class, func(t *testing.T) {
			router.writeFile("deploy.toml", fmt.Sprintf("[changeover]\nclasses = [%q]\n", class))
			cmd := programCommand(router.dir + "/config.json")
			cmd.Env = append(cmd.Env, "LIMELADDER_DEPLOY="+router.dir+"/deploy.toml", "TMPDIR="+router.dir+"/tmp")
			requireOneLineNaming(t, cmd, "changeover.classes[0]:")
		})
	}
}

// With the store on, a restarted router continues from the stored term, and checks the stored primary before it relies
// on it.
func TestFailoverTermsSurviveARestart(t *testing.T) {
	router := newRouterProcess(t, nil)
	router.writeFile("deploy.toml", fmt.Sprintf(
		"[changeover]\nclasses = [\"job\"]\n[store]\nname = \"n1\"\nfolder = %q\n[store.peers]\nn1 = %q\n",
		router.dir+"/store", freeAddress(t)))
	router.start()
	router.sendRequests("one", "job", 1, 2500*time.Millisecond)
	failOverTo := func(id string, old, successor *testserver.DB, wantTerm uint64) {
		t.Helper()
		old.SetPrimary(false)
		successor.SetPrimary(true)
		router.requireServed(id)
		router.waitFor("the next failover term", func() bool {
			status, ok := router.onlyGroupStatus()
			return ok && status.Term == wantTerm
		})
	}
	failOverTo("change0", router.primary, router.replica, 2)
	failOverTo("change1", router.replica, router.primary, 3)
	router.waitFor("the term is in the store's log", func() bool {
		return logHasValue(router.dir+"/store/log", `{"term":3,"primary":"s1"}`)
	})
	router.stop()
	router.primary.SetPrimary(false)
	router.replica.SetPrimary(true)
	router.start() // the endpoint list still names s1 as the primary
	router.requireServed("later")
	router.waitFor("term 4 with primary s2", func() bool {
		status, ok := router.onlyGroupStatus()
		return ok && status.Term == 4 && status.Primary == "s2"
	})
	router.stop()
}

// requireServed sends one write and fails the test unless it is served.
func (r *routerProcess) requireServed(prefix string) {
	r.test.Helper()
	if codes := r.sendRequests(prefix, "job", 1, 2500*time.Millisecond); codes[0] != "" {
		r.test.Fatalf("write %s-0: got SQLSTATE %v, want none", prefix, codes)
	}
}

// logEntryData matches the data field of an entry in a store's log.
var logEntryData = regexp.MustCompile(`"Data":"([^"]*)"`)

// logHasValue reports whether a value is in a store's log on disk.
func logHasValue(path, value string) bool {
	encodedValue := []byte(base64.StdEncoding.EncodeToString([]byte(value)))
	text, _ := os.ReadFile(path)
	for _, match := range logEntryData.FindAllSubmatch(text, -1) {
		data, err := base64.StdEncoding.DecodeString(string(match[1]))
		if err == nil && bytes.Contains(data, encodedValue) {
			return true
		}
	}
	return false
}
