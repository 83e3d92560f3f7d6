package main

import (
	"bytes"
	"encoding/json"
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
	"limeladder/internal/testserver"
	"limeladder/internal/testserver/check"
	"limeladder/internal/testserver/collector"
)

// routerProcess is a router in its own process, with a discovery server and two fake servers, s1 and s2.
type routerProcess struct {
	test         testing.TB
	dir          string
	address      string
	adminAddress string
	cmd          *exec.Cmd
	socket       *os.File // listening socket that processes inherit, nil = none
	log          *bytes.Buffer
	watchEvents  chan bool      // each value lets one watch return the endpoint list
	primary      *testserver.DB // s1, the primary at the start
	replica      *testserver.DB // s2
	discovery    *httptest.Server

	mu           sync.Mutex
	endpointList string
}

func newRouterProcess(tb testing.TB, act func(typ byte, id string) testserver.Act) *routerProcess {
	tb.Helper()
	router := &routerProcess{
		test:        tb,
		dir:         tb.TempDir(),
		watchEvents: make(chan bool, 9),
		primary:     testserver.NewDB(tb, true, act),
		replica:     testserver.NewDB(tb, false, act),
	}
	router.endpointList = fmt.Sprintf(`{"version":3,"full":true,"servers":[
		{"id":"s1","addr":%q,"zone":"a","cell":7,"state":"ready","mode":"read-write"},
		{"id":"s2","addr":%q,"zone":"a","cell":7,"state":"ready"}]}`, router.primary.Addr, router.replica.Addr)
	router.discovery = httptest.NewServer(http.HandlerFunc(router.serveDiscovery))
	tb.Cleanup(router.discovery.CloseClientConnections)
	router.writeFile("config.json", configText(router.discovery.Listener.Addr().String()))
	router.writeFile("keys.toml", fmt.Sprintf("current = \"one\"\n[keys]\none = \"%064x\"\n", 1))
	return router
}

func (r *routerProcess) serveDiscovery(w http.ResponseWriter, request *http.Request) {
	if request.URL.RawQuery != "" {
		select {
		case <-request.Context().Done():
			return
		case <-r.watchEvents:
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprint(w, r.endpointList)
}

func (r *routerProcess) writeFile(name, text string) {
	r.test.Helper()
	writeFile(r.test, r.dir+"/"+name, text)
}

// writeDeployFile writes a deploy file with the given collectors, a spool and chained records, and with
// more as its last lines.
func (r *routerProcess) writeDeployFile(more string, collectors ...*collector.Collector) {
	r.test.Helper()
	var urls []string
	for _, c := range collectors {
		urls = append(urls, fmt.Sprintf("%q", c.URL()))
	}
	r.writeFile("deploy.toml", fmt.Sprintf(
		"[syslog]\ncollectors = [%s]\nca = %q\n[syslog.spool]\nfolder = %q\n[audit]\nkeys = %q\nheads = 20\n%s",
		strings.Join(urls, ", "), r.dir+"/ca.pem", r.dir+"/spool", r.dir+"/keys.toml", more))
}

func (r *routerProcess) readFile(name string) string {
	r.test.Helper()
	text, err := os.ReadFile(r.dir + "/" + name)
	if err != nil {
		r.test.Fatal(err)
	}
	return string(text)
}

// readDir returns the names of the files in a folder, or none if the folder doesn't exist.
func (r *routerProcess) readDir(name string) []string {
	var names []string
	entries, _ := os.ReadDir(r.dir + "/" + name)
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names
}

// command returns a command that runs the program with the files of this router and a new address for operators.
func (r *routerProcess) command() *exec.Cmd {
	r.test.Helper()
	if err := os.MkdirAll(r.dir+"/tmp", 0o700); err != nil {
		r.test.Fatal(err)
	}
	r.adminAddress = freeAddress(r.test)
	cmd := programCommand(r.dir + "/config.json")
	cmd.Env = append(cmd.Env, "LIMELADDER_DEPLOY="+r.dir+"/deploy.toml", "EDGE_LISTEN="+r.address,
		"EDGE_OPERATOR="+r.adminAddress, "TMPDIR="+r.dir+"/tmp")
	return cmd
}

// start starts the program and waits until it is ready.
func (r *routerProcess) start() {
	r.test.Helper()
	r.address = freeAddress(r.test)
	r.log = &bytes.Buffer{}
	r.cmd = r.command()
	r.cmd.Stderr = r.log
	startProgram(r.test, r.cmd)
	r.waitFor("ready", r.isReady)
}

// useInheritedSocket opens a listening socket that stays open across processes. start runs a process of the program on
// it and waits until it is ready.
func (r *routerProcess) useInheritedSocket() (start func() *exec.Cmd) {
	r.test.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.test.Fatal(err)
	}
	r.test.Cleanup(func() { listener.Close() })
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		r.test.Fatal(err)
	}
	r.socket = socket
	r.address = listener.Addr().String()
	r.log = &bytes.Buffer{}
	return func() *exec.Cmd {
		r.test.Helper()
		cmd := r.command()
		cmd.ExtraFiles = []*os.File{socket}
		cmd.Env = append(cmd.Env, "EDGE_INHERITED_FD=3")
		startProgram(r.test, cmd)
		r.waitFor("ready", r.isReady)
		return cmd
	}
}

func (r *routerProcess) isReady() bool {
	response, err := http.Get("http://" + r.adminAddress + "/v1/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// callAdminAPI makes an operator's call to the router.
func (r *routerProcess) callAdminAPI(path string, wantStatus int) {
	r.test.Helper()
	callAdminAPI(r.test, r.adminAddress, path, wantStatus)
}

// callAdminAPI makes an operator's POST call and fails the test unless the response has the wanted status.
func callAdminAPI(tb testing.TB, adminAddress, path string, wantStatus int) {
	tb.Helper()
	response, err := http.Post("http://"+adminAddress+"/v1/"+path, "", nil)
	if err != nil || response.StatusCode != wantStatus {
		tb.Fatalf("POST /v1/%s: got response %v, error %v, want no error and the status that the test expects",
			path, response, err)
	}
	response.Body.Close()
}

func (r *routerProcess) waitFor(what string, condition func() bool) {
	r.test.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.test.Fatalf("condition not met within 20 s: %s\n%s", what, r.log)
		}
	}
}

// stop sends SIGTERM to the program and waits until it has exited with code 0.
func (r *routerProcess) stop() {
	r.test.Helper()
	signalProcess(r.test, r.cmd, syscall.SIGTERM)
	if err := r.cmd.Wait(); err != nil {
		r.test.Fatalf("want exit code 0 after SIGTERM, got %v\n%s", err, r.log)
	}
}

// sendRequests sends requests of a class one after the other and returns the SQLSTATEs of their answers, "" for a
// served request.
func (r *routerProcess) sendRequests(prefix, class string, count int, deadline time.Duration) []string {
	r.test.Helper()
	client := testserver.Dial(r.test, r.address)
	defer client.Close()
	var codes []string
	for i := range count {
		text := statementWithin(fmt.Sprintf("%s-%d", prefix, i), class, deadline, 7)
		client.Send(pgwire.AppendQuery(nil, text))
		codes = append(codes, client.Until('Z').Code)
	}
	return codes
}

// groupStatuses returns the failover state from the operators' API, or nil if the router can't be reached.
func (r *routerProcess) groupStatuses() (statuses []groupStatus) {
	r.test.Helper()
	response, err := http.Get("http://" + r.adminAddress + "/v1/cells")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || response.Header.Get("Content-Type") != "application/json" {
		r.test.Fatalf("GET /v1/cells: got %+v, want status 200 and JSON", response)
	}
	if err := json.NewDecoder(response.Body).Decode(&statuses); err != nil {
		r.test.Fatal(err)
	}
	return statuses
}

// onlyGroupStatus returns the failover state of the only replica group. ok is false while that state is not available.
func (r *routerProcess) onlyGroupStatus() (status groupStatus, ok bool) {
	r.test.Helper()
	statuses := r.groupStatuses()
	if len(statuses) != 1 {
		return groupStatus{}, false
	}
	return statuses[0], true
}

// hasPending reports whether exactly count requests are queued.
func (r *routerProcess) hasPending(count int) bool {
	r.test.Helper()
	status, ok := r.onlyGroupStatus()
	return ok && status.Pending == count
}

// serverLogs returns the logs of both fake servers.
func (r *routerProcess) serverLogs() []check.Log {
	return []check.Log{r.primary.Log(), r.replica.Log()}
}
