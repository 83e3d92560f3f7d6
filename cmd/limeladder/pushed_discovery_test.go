package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/testserver"
)

const (
	drainGrace = 500 * time.Millisecond // the shortest grace of the existing deployments
	drainSlack = 50 * time.Millisecond  // the tolerance that the platform's bench adds to it
)

// pushedConfig returns the configuration of a router that gets endpoint lists pushed through an agent.
func pushedConfig(t *testing.T, agent *testserver.Agent, known ...config.EndpointEntry) *config.Config {
	t.Helper()
	text := strings.Replace(configText(agent.Addr), `"Discovery":"ask"`,
		fmt.Sprintf(`"Discovery":"push","Contract":{"DrainGraceNs":%d}`, drainGrace), 1)
	text = strings.Replace(text, `"ConnectTimeoutNs":250000000`, `"ConnectTimeoutNs":1500000000`, 1)
	cfg := parseConfig(t, text)
	if len(known) > 0 {
		cfg.KnownEndpoints = &config.EndpointList{Version: 1, Full: true, Endpoints: known}
	}
	return cfg
}

// draining returns an endpoint's entry with the state draining.
func draining(entry config.EndpointEntry) config.EndpointEntry {
	entry.State = config.StateDraining
	return entry
}

// requireNothingSentAfterDrain fails the test if a server received a request after the drain grace, which starts when
// the agent was notified that the server is draining.
func requireNothingSentAfterDrain(t *testing.T, server *testserver.DB, notifiedAt time.Time) {
	t.Helper()
	for _, request := range server.Log().Received {
		if late := request.At.Sub(notifiedAt); late > drainGrace+drainSlack {
			t.Errorf("%s was sent %v after the notification of the drain", request.ID, late)
			return
		}
	}
}

// Successive pushed drains are honored within the grace, including one that is pushed while the agent is down.
func TestPushedDrainsAreHonoredWithinTheGrace(t *testing.T) {
	servers, list, agent := newReplicaGroup(t, nil)
	d := runDaemon(t, pushedConfig(t, agent, list...))
	stop := make(chan bool)
	readers := startReaders(t, d, "r", 4, stop)
	time.Sleep(200 * time.Millisecond)
	agent.Push(draining(list[1]))
	time.Sleep(drainGrace + 300*time.Millisecond)
	agent.Stop()
	agent.Push(list[1], draining(list[2]))
	time.Sleep(200 * time.Millisecond)
	agentBack := time.Now()
	if err := agent.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(drainGrace + 400*time.Millisecond)
	close(stop)
	readers.Wait()
	before := 0
	after := 0
	notifiedAt := agent.SentAt("a", config.StateDraining)
	for _, request := range servers[1].Log().Received {
		switch {
		case request.At.Before(notifiedAt):
			before++
		case request.At.After(agentBack): // the same list reports it as ready again
			after++
		case request.At.Sub(notifiedAt) > drainGrace+drainSlack:
			t.Fatalf("%s was sent %v after the notification of the drain", request.ID, request.At.Sub(notifiedAt))
		}
	}
	if before == 0 || after == 0 {
		t.Errorf("got %d reads before the drain and %d once the server is ready again, want some of both", before, after)
	}
	requireNothingSentAfterDrain(t, servers[2], agentBack)
}

// A drain is pushed while forty requests wait for connections: none of them is sent once the connections are
// established, neither by the old process of a hot restart nor by the new one, whose outdated list has the endpoint as
// ready.
func TestPushedDrainReachesRequestsWaitingForAConnection(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	const connectTime = 900 * time.Millisecond // longer than the grace
	servers, list, agent := newReplicaGroup(t, func(typ byte, _ string) testserver.Act {
		if typ == 0 {
			return testserver.Act{Delay: connectTime}
		}
		return testserver.Act{}
	})
	stop := make(chan bool)
	cfg := pushedConfig(t, agent, list...)
	oldProcess := runDaemon(t, cfg)
	readers := []*sync.WaitGroup{startReaders(t, oldProcess, "old", 40, stop)}
	time.Sleep(100 * time.Millisecond)
	agent.Push(draining(list[1]), draining(list[2]))
	newProcess := runDaemon(t, cfg)
	readers = append(readers, startReaders(t, newProcess, "new", 40, stop))
	time.Sleep(100 * time.Millisecond)
	oldProcess.loop.Post(oldProcess.startShutdown)
	time.Sleep(connectTime + drainGrace)
	close(stop)
	for _, group := range readers {
		group.Wait()
	}
	for i, id := range []string{"a", "b"} {
		requireNothingSentAfterDrain(t, servers[1+i], agent.SentAt(id, config.StateDraining))
	}
}
