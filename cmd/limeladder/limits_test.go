package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// The default Retry-After of a rejection does not exceed the maximum that clients honor.
func TestDefaultRetryAfterIsWithinClientMaximum(t *testing.T) {
	_, list, agent := newReplicaGroup(t, nil)
	for clientMaximum, want := range map[time.Duration]time.Duration{
		0:                      time.Second,
		300 * time.Millisecond: 300 * time.Millisecond,
		2 * time.Second:        time.Second,
	} {
		t.Run(fmt.Sprintf("client maximum %v", clientMaximum), func(t *testing.T) {
			cfg := pushedConfig(t, agent, list...)
			cfg.Balance.MaxRetryAfter = clientMaximum
			if got := runDaemon(t, cfg).limits.Router.DefaultRetryAfter; got != want {
				t.Errorf("got default Retry-After %v, want %v", got, want)
			}
		})
	}
}

// Idle clients use up all client connections of a process with few descriptors while discovery is down. Descriptors for
// servers, operators and discovery are reserved, so the router serves requests once discovery is back.
func TestIdleClientsLeaveDescriptorsForOthers(t *testing.T) {
	const sockets = 128
	server := testserver.NewDB(t, true, nil)
	agent, err := testserver.NewAgent(listEntry("p", server.Addr, "a", 7, true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Stop)
	agent.Stop() // discovery is down from the start
	path := t.TempDir() + "/config.json"
	address := freeAddress(t)
	adminAddress := freeAddress(t)
	writeFile(t, path, strings.Replace(
		configText(agent.Addr), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1))
	cmd := programCommand(path)
	limitDescriptors(cmd, sockets)
	cmd.Env = append(cmd.Env, "EDGE_LISTEN="+address, "EDGE_OPERATOR="+adminAddress, "TMPDIR="+t.TempDir())
	startProgram(t, cmd)
	isReady := func() bool { return readyzStatus(adminAddress) == "HTTP/1.1 200 OK" }
	eventually(t, "ready without an endpoint list", isReady)

	processLimits := limits.New(192, sockets, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	connectIdleClients(t, address, 2*sockets, processLimits.Frontend.Connections)
	eventually(t, "ready although all client connections are in use", isReady)
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil || len(open) < processLimits.Frontend.Connections || len(open) > sockets {
		t.Fatalf("got %d open descriptors, %v, want at least the client connections and at most the limit", len(open), err)
	}
	if err := agent.Start(); err != nil {
		t.Fatal(err)
	}
	client := testserver.Dial(t, address) // an idle connection is closed to make room for it
	eventually(t, "a request is served", func() bool {
		client.Send(queryMessage(statement(fmt.Sprint("r", time.Now().UnixNano()), "job")))
		return client.Until('Z').Types == "TDCZ"
	})
}

// readyzStatus returns the status line of an operator's readyz call, which reports whether a router accepts clients.
// The connection is closed after the call, so that it doesn't keep a descriptor in use.
func readyzStatus(adminAddress string) string {
	connection, err := net.Dial("tcp", adminAddress)
	if err != nil {
		return err.Error()
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err.Error()
	}
	fmt.Fprint(connection, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
	response := make([]byte, 64)
	length, _ := connection.Read(response)
	statusLine, _, _ := strings.Cut(string(response[:length]), "\r\n")
	return statusLine
}

// connectIdleClients connects clients that send nothing after their startup message. The first wantAccepted clients
// must receive a response to it.
func connectIdleClients(t *testing.T, address string, count, wantAccepted int) {
	t.Helper()
	startup := pgwire.AppendStartup(nil, "user", "portal", "database", "crm")
	for i := range count {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { connection.Close() })
		_, writeErr := connection.Write(startup)
		if i >= wantAccepted {
			continue // the router need not read the startup message
		}
		if writeErr != nil {
			t.Fatalf("client %d: %v", i, writeErr)
		}
		if err := connection.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := connection.Read(make([]byte, 1)); err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
	}
}

// The smallest limits that the settings allow, and the largest fleet, in which a router has the smallest share.
const (
	smallestMemoryMB = 32
	smallestSockets  = 160
	largestFleet     = 350
)

// A router with the smallest limits has a known list of 1,024 endpoints and receives it again from discovery, indented
// and in pieces. It answers all pipelined requests of many clients, which are far more than its share of the fleet's
// load, and stays within its memory and descriptor limits.
func TestSmallestRouterServesAThousandEndpoints(t *testing.T) {
	const (
		clients   = 30
		rounds    = 2
		pipelined = 20
	)
	list := newLargeEndpointList(t, 1024)
	discovery := newDiscoveryInPieces(t, list)
	path := t.TempDir() + "/config.json"
	writeFile(t, path, strings.NewReplacer(
		`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, smallestSockets),
		`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, smallestMemoryMB),
		`"Instances":1`, fmt.Sprintf(`"Instances":%d`, largestFleet),
		`"settings":`, `"known":`+list+`,"settings":`,
	).Replace(configText(discovery)))
	address := freeAddress(t)
	cmd := programCommand(path)
	limitDescriptors(cmd, smallestSockets)
	cmd.Env = append(cmd.Env, "EDGE_LISTEN="+address, "EDGE_OPERATOR="+freeAddress(t),
		"EDGE_DISCOVERY="+discovery, "TMPDIR="+t.TempDir())
	startProgram(t, cmd)
	eventually(t, "the router accepts connections", func() bool { return acceptsConnections(address) })

	results := make([]pipelineResult, clients)
	var running sync.WaitGroup
	for i := range clients {
		client := testserver.Dial(t, address)
		running.Go(func() {
			defer client.Close()
			for round := range rounds {
				results[i].add(runPipeline(client, fmt.Sprintf("c%d-%d", i, round), pipelined))
			}
		})
	}
	running.Wait()
	served := 0
	for i, result := range results {
		served += result.served
		if result.answered != rounds*pipelined {
			t.Errorf("client %d: got %d answers, want %d", i, result.answered, rounds*pipelined)
		}
	}
	if served == 0 {
		t.Error("no request was served")
	}
	peak, err := peakProgramMemoryKiB(cmd)
	if err != nil || peak > smallestMemoryMB<<10 {
		t.Errorf("got peak memory of %d KiB, %v, want at most 32 MiB", peak, err)
	}
	t.Logf("peak memory %d KiB, %d requests served", peak, served)
}

// newLargeEndpointList returns a list of endpoints as indented JSON. The first three are fake servers; nothing listens
// at the address of the others.
func newLargeEndpointList(t *testing.T, endpoints int) string {
	t.Helper()
	const entryFormat = `
                {
                        "id": %q,
                        "addr": %q,
                        "zone": "a",
                        "cell": %d,
                        "state": "ready",
                        "mode": %q
                }`
	var entries []string
	for i, id := range []string{"p", "a", "b"} {
		isPrimary := i == 0
		server := testserver.NewDB(t, isPrimary, nil)
		entry := listEntry(id, server.Addr, "a", 7, isPrimary)
		entries = append(entries, fmt.Sprintf(entryFormat, entry.ID, entry.Addr, entry.Group, entry.Mode))
	}
	for i := len(entries); i < endpoints; i++ {
		entries = append(entries, fmt.Sprintf(entryFormat, fmt.Sprint("s-", i), "127.0.0.1:1", 8+i%60, "read-only"))
	}
	return "{\n        \"version\": 1,\n        \"full\": true,\n        \"servers\": [" +
		strings.Join(entries, ",") + "\n        ]\n}\n"
}

// newDiscoveryInPieces starts a discovery server that sends its list in pieces of 5,000 bytes.
func newDiscoveryInPieces(t *testing.T, list string) (address string) {
	t.Helper()
	const pieceBytes = 5000
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") == "1" {
			<-r.Context().Done()
			return
		}
		for unsent := list; len(unsent) > 0; unsent = unsent[min(len(unsent), pieceBytes):] {
			fmt.Fprint(w, unsent[:min(len(unsent), pieceBytes)])
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// pipelineResult counts a client's served and answered pipelined requests. Served requests count as answered too.
type pipelineResult struct {
	served   int
	answered int
}

func (r *pipelineResult) add(other pipelineResult) {
	r.served += other.served
	r.answered += other.answered
}

// runPipeline sends pipelined requests and reads their answers until the connection ends.
func runPipeline(client *testserver.Client, prefix string, count int) (result pipelineResult) {
	var messages []byte
	for i := range count {
		messages = append(messages, queryMessage(statement(fmt.Sprintf("%s-%d", prefix, i), "look"))...)
	}
	if client.Write(messages) != nil {
		return result
	}
	for range count {
		answer := client.Until('Z')
		switch {
		case answer.Ended:
			return result
		case answer.Types == "TDCZ":
			result.served++
			result.answered++
		case answer.Types == "EZ" && answer.Code == pgwire.TooManyConnections:
			result.answered++
		}
	}
	return result
}

// peakProgramMemoryKiB returns the peak resident memory of a process, in KiB.
func peakProgramMemoryKiB(cmd *exec.Cmd) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	return strconv.Atoi(strings.Fields(peak)[0])
}
