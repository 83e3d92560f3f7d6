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

// A rejection for which nothing else says when to retry names no longer time than clients heed.
func TestDefaultRetryAfterIsWithinWhatClientsHeed(t *testing.T) {
	_, list, agent := newReplicaGroup(t, nil)
	for clientMaximum, want := range map[time.Duration]time.Duration{
		0:                      time.Second,
		300 * time.Millisecond: 300 * time.Millisecond,
		2 * time.Second:        time.Second,
	} {
		t.Run(fmt.Sprintf("clients heed %v", clientMaximum), func(t *testing.T) {
			cfg := pushedConfig(t, agent, list...)
			cfg.Balance.MaxRetryAfter = clientMaximum
			if got := runDaemon(t, cfg).limits.Router.DefaultRetryAfter; got != want {
				t.Errorf("the router says %v, not %v", got, want)
			}
		})
	}
}

// Idle clients take all their places while discovery is away, in a process that may have few descriptors: those for
// servers, operators and discovery are reserved, and when discovery is back the router serves by itself.
func TestIdleClientsLeaveDescriptorsForOthers(t *testing.T) {
	const sockets = 128
	server := testserver.NewDB(t, true, nil)
	agent, err := testserver.NewAgent(listEntry("p", server.Addr, "a", 7, true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Stop)
	agent.Stop() // away from the start
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
	eventually(t, "ready without a list", isReady)

	processLimits := limits.New(192, sockets, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	connectIdleClients(t, address, 2*sockets, processLimits.Frontend.Connections)
	eventually(t, "ready though all places of clients are taken", isReady)
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil || len(open) < processLimits.Frontend.Connections || len(open) > sockets {
		t.Fatalf("%d descriptors are open, %v", len(open), err)
	}
	if err := agent.Start(); err != nil {
		t.Fatal(err)
	}
	client := testserver.Dial(t, address) // idle clients make room for it
	eventually(t, "a request is served", func() bool {
		client.Send(queryMessage(statement(fmt.Sprint("r", time.Now().UnixNano()), "job")))
		return client.Until('Z').Types == "TDCZ"
	})
}

// readyzStatus returns the status line of an operator's call that asks whether a router takes clients. Its connection
// takes a descriptor only for the call.
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

// connectIdleClients connects clients that send nothing after their startup. The first ones have to be welcomed.
func connectIdleClients(t *testing.T, address string, count, welcomed int) {
	t.Helper()
	startup := pgwire.AppendStartup(nil, "user", "portal", "database", "crm")
	for i := range count {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { connection.Close() })
		_, writeErr := connection.Write(startup)
		if i >= welcomed {
			continue // whether the router reads it does not matter
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

// The smallest router that the settings may give, and the least share of a fleet.
const (
	smallestMemoryMB = 32
	smallestSockets  = 160
	largestFleet     = 350
)

// The smallest router knows a list of 1,024 endpoints and gets it again, indented and in pieces: it serves, answers
// each of the pipelined requests of many clients, far more than its share, and stays inside its memory and its
// descriptors.
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
	eventually(t, "it accepts connections", func() bool { return acceptsConnections(address) })

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
			t.Errorf("client %d: %d answered of %d", i, result.answered, rounds*pipelined)
		}
	}
	if served == 0 {
		t.Error("none is served")
	}
	peak, err := peakMemoryKB(cmd)
	if err != nil || peak > smallestMemoryMB<<10 {
		t.Errorf("%d KB at its peak, %v", peak, err)
	}
	t.Logf("%d KB at its peak, %d served", peak, served)
}

// newLargeEndpointList returns the indented JSON of a list of so many endpoints. The first three are fake servers, the
// others are not reached.
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
		entries = append(entries, fmt.Sprintf(entryFormat, entry.ID, entry.Addr, entry.Cell, entry.Mode))
	}
	for i := len(entries); i < endpoints; i++ {
		entries = append(entries, fmt.Sprintf(entryFormat, fmt.Sprint("s-", i), "127.0.0.1:1", 8+i%60, "read-only"))
	}
	return "{\n        \"version\": 1,\n        \"full\": true,\n        \"servers\": [" +
		strings.Join(entries, ",") + "\n        ]\n}\n"
}

// newDiscoveryInPieces starts a discovery that sends its list in pieces.
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

// pipelineResult is what became of a client's pipelined requests. Those that were served are answered, too.
type pipelineResult struct {
	served   int
	answered int
}

func (r *pipelineResult) add(other pipelineResult) {
	r.served += other.served
	r.answered += other.answered
}

// runPipeline sends requests one behind the other and reads the answers, as far as there are any.
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

// peakMemoryKB returns the most memory that a process has had resident.
func peakMemoryKB(cmd *exec.Cmd) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	return strconv.Atoi(strings.Fields(peak)[0])
}
