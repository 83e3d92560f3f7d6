package main

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/testserver"
)

// discardLog returns a logger that discards its output.
func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startDaemon runs a router in this process and stops it at the end of the test. The channel is closed once the router
// has stopped.
func startDaemon(t *testing.T, cfg *config.Config, deploy config.Deploy) (*daemon, <-chan bool) {
	t.Helper()
	d, err := newDaemon(cfg, deploy, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() {
		d.run()
		close(ended)
	}()
	t.Cleanup(func() {
		d.loop.Stop()
		<-ended
	})
	return d, ended
}

// runDaemon runs a router without a deploy file and stops it at the end of the test.
func runDaemon(t *testing.T, cfg *config.Config) *daemon {
	t.Helper()
	d, _ := startDaemon(t, cfg, config.Deploy{})
	return d
}

// platformAddress returns the address of the platform's listener.
func (d *daemon) platformAddress() string { return d.listeners.platform().socket.Addr().String() }

// extendedQueryAddress returns the address of the extended-query listener.
func (d *daemon) extendedQueryAddress() string { return d.listeners.open[1].socket.Addr().String() }

// waitUntilReady waits until the router accepts clients.
func waitUntilReady(t *testing.T, d *daemon) {
	t.Helper()
	eventually(t, "ready", func() bool {
		ready := false
		runInLoop(d, func() { ready = d.listeners.platform().AcceptsClients() })
		return ready
	})
}

// runInLoop runs a function on the daemon's event loop and waits until it returns.
func runInLoop(d *daemon, function func()) {
	done := make(chan bool)
	d.loop.Post(func() {
		function()
		close(done)
	})
	<-done
}

// newReplicaGroup starts the fake servers of replica group 7, the first of which is the primary, and an agent that
// returns their list.
func newReplicaGroup(
	t *testing.T, act func(typ byte, id string) testserver.Act,
) (servers []*testserver.DB, list []config.EndpointEntry, agent *testserver.Agent) {
	t.Helper()
	for i, id := range []string{"p", "a", "b"} {
		isPrimary := i == 0
		server := testserver.NewDB(t, isPrimary, act)
		servers = append(servers, server)
		list = append(list, listEntry(id, server.Addr, "a", 7, isPrimary))
	}
	agent, err := testserver.NewAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Stop)
	return servers, list, agent
}

// listEntry returns the endpoint list entry of a ready endpoint.
func listEntry(id, address, zone string, group int64, isPrimary bool) config.EndpointEntry {
	mode := "read-only"
	if isPrimary {
		mode = "read-write"
	}
	return config.EndpointEntry{ID: id, Addr: address, Zone: zone, Group: group, State: config.StateReady, Mode: mode}
}

// blockRequest returns a behavior for fake servers that blocks the request with blockedID: they send to arrived once
// they have received it, and answer it only after release was called. The end of the test calls release too.
func blockRequest(t *testing.T, blockedID string) (
	act func(typ byte, id string) testserver.Act, arrived <-chan bool, release func(),
) {
	t.Helper()
	arrivals := make(chan bool, 9)
	released := make(chan bool)
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	act = func(_ byte, id string) testserver.Act {
		if id == blockedID {
			arrivals <- true
			<-released
		}
		return testserver.Act{}
	}
	return act, arrivals, release
}

// startReaders starts clients that send reads until stop is closed. Each client sends its next read once the previous
// one is answered.
func startReaders(t *testing.T, d *daemon, name string, clients int, stop chan bool) *sync.WaitGroup {
	t.Helper()
	var readers sync.WaitGroup
	for i := range clients {
		client := testserver.Dial(t, d.platformAddress())
		readers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
				message := queryMessage(statement(fmt.Sprintf("%s-%d-%d", name, i, n), "look"))
				// A router that shuts down closes connections between requests.
				if client.Write(message) != nil || client.Until('Z').Ended {
					return
				}
			}
		})
	}
	return &readers
}

// From the first endpoint list to the shutdown: both listeners serve, records are shipped, the endpoint list is stored,
// and the graceful shutdown answers every accepted request.
func TestServesFromFirstEndpointListUntilShutdown(t *testing.T) {
	act, arrived, release := blockRequest(t, "slow")
	server := testserver.NewDB(t, true, act)
	discovery := newDiscovery(t, func() string {
		return fmt.Sprintf(`{"version":3,"full":true,"servers":[
			{"id":"s1","addr":%q,"zone":"a","cell":7,"state":"ready","mode":"read-write"}]}`, server.Addr)
	})
	records, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer records.Close()
	deploy := parseDeploy(t, fmt.Sprintf("[syslog]\naddress = %q", records.LocalAddr().String()))
	deploy.ExtendedQuery.Listen = "127.0.0.1:0"
	deploy.Store.Name = "n1"
	deploy.Store.Folder = t.TempDir()
	deploy.Store.Peers = map[string]string{"n1": freeAddress(t)}
	d, ended := startDaemon(t, parseConfig(t, configText(discovery)), deploy)

	eventually(t, "an empty query is answered", func() bool {
		client := testserver.Dial(t, d.platformAddress())
		defer client.Close()
		client.Send(queryMessage(""))
		return client.Until('Z').Types == "IZ"
	})
	for i, address := range []string{d.platformAddress(), d.extendedQueryAddress()} {
		id := fmt.Sprint("r", i)
		client := testserver.Dial(t, address)
		client.Send(queryMessage(statement(id, "job")))
		if answer := client.Until('Z'); answer.Types != "TDCZ" || server.Runs(id) != 1 {
			t.Fatalf("write to %s: got answer %+v, want it served and run once", address, answer)
		}
	}
	eventually(t, "the endpoint list is stored", func() bool {
		var list config.EndpointList
		return d.loadValue("list", &list) && list.Version == 3
	})

	slow := testserver.Dial(t, d.platformAddress())
	slow.Send(queryMessage(statement("slow", "job")))
	<-arrived
	d.loop.Post(d.startShutdown)
	late := testserver.Dial(t, d.platformAddress()) // the platform still sends connections for a while
	late.Send(queryMessage(statement("late", "job")))
	release()
	for id, client := range map[string]*testserver.Client{"slow": slow, "late": late} {
		if answer := client.Until('Z'); answer.Types != "TDCZ" || server.Runs(id) != 1 {
			t.Fatalf("write %s: got answer %+v, want it served and run once", id, answer)
		}
		if answer := client.Until('Z'); !answer.Ended {
			t.Fatalf("connection of %s: got answer %+v, want the connection closed", id, answer)
		}
	}
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the router did not stop within 20 s")
	}
	requireEndRecord(t, records)
}

// requireEndRecord reads the packets sent to a collector until it finds an END record.
func requireEndRecord(t *testing.T, records net.PacketConn) {
	t.Helper()
	packet := make([]byte, 4096)
	if err := records.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for {
		length, _, err := records.ReadFrom(packet)
		if err != nil {
			t.Fatal("no END record was received")
		}
		if strings.Contains(string(packet[:length]), ` END [audit@32473 start="`) {
			return
		}
	}
}
