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

// writeClients are clients that send one write each, on connections of their own.
type writeClients struct {
	sync.WaitGroup
	mu       sync.Mutex
	requests []check.Job
}

// start connects so many clients and lets them send their writes.
func (w *writeClients) start(router *routerProcess, prefix string, count int) {
	for i := range count {
		client := testserver.Dial(router.test, router.address)
		w.Go(func() { w.sendOn(client, fmt.Sprint(prefix, i)) })
	}
}

// send connects a client, sends its write and waits for the answer.
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

// A process with queued writes reloads its configuration, is replaced by the next one, and ends: each write is still
// answered once and runs once, those of the old process and those of the new one, and operators see all of it.
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
	router.waitFor("20 are queued", func() bool { return router.hasPending(20) })
	requirePrimaryLost(t, router)

	signalProcess(t, oldProcess, syscall.SIGHUP)
	newProcess := start()
	signalProcess(t, oldProcess, syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond) // the old process accepts no more connections
	writers.start(router, "new", 20)
	router.waitFor("the new process has queued 20 too", func() bool { return router.hasPending(20) })
	router.replica.SetPrimary(true)
	writers.Wait()
	if err := oldProcess.Wait(); err != nil {
		t.Fatal(err)
	}
	status, ok := router.onlyGroupStatus()
	if !ok || status.Primary != "s2" || status.Pending != 0 || status.Released != 20 {
		t.Fatalf("%+v", status)
	}
	// An announced failover: writes are queued, reads go on, and the time limit ends it where nothing comes of it.
	router.callAdminAPI("cells/7/changeover?limit=700ms", http.StatusOK)
	writers.start(router, "announced", 5)
	router.waitFor("5 are queued", func() bool { return router.hasPending(5) })
	if codes := router.sendRequests("read", "look", 5, time.Second); strings.Join(codes, "") != "" {
		t.Fatalf("%v", codes)
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
		t.Errorf("%d of 48 served", served)
	}
}

// requirePrimaryLost fails the test unless operators see that s1, the first primary of the group, is lost or suspected.
func requirePrimaryLost(t *testing.T, router *routerProcess) {
	t.Helper()
	status, ok := router.onlyGroupStatus()
	lost := status.Phase == "lost" || status.Phase == "suspected"
	firstPrimary := status.Group == firstGroup && status.Primary == "s1" && status.Term == 1
	if !ok || !lost || !firstPrimary || len(status.History) == 0 {
		t.Fatalf("%+v", status)
	}
}

// Where the failover queue is off the operators' calls say so; a class that can't be queued is one line that names the
// field.
func TestFailoverQueueOffAndInvalid(t *testing.T) {
	router := newRouterProcess(t, nil)
	router.writeFile("deploy.toml", "")
	router.start()
	response, err := http.Get("http://" + router.adminAddress + "/v1/cells")
	if err != nil || response.StatusCode != http.StatusNotFound {
		t.Errorf("cells: %v %v", response, err)
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

// With the store on, a restarted router goes on from the term that it knew, and checks the primary before it relies
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
		router.waitFor("the next term", func() bool {
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
	router.start() // the endpoint list still calls s1 the primary
	router.requireServed("later")
	router.waitFor("a later term", func() bool {
		status, ok := router.onlyGroupStatus()
		return ok && status.Term == 4 && status.Primary == "s2"
	})
	router.stop()
}

// requireServed sends one write and fails the test unless it is served.
func (r *routerProcess) requireServed(prefix string) {
	r.test.Helper()
	if codes := r.sendRequests(prefix, "job", 1, 2500*time.Millisecond); codes[0] != "" {
		r.test.Fatalf("%s: %v", prefix, codes)
	}
}

// logEntryData finds the data of the entries of a store's log.
var logEntryData = regexp.MustCompile(`"Data":"([^"]*)"`)

// logHasValue says whether a value is in a store's log on disk.
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
