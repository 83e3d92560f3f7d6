package main

import (
	"slices"
	"testing"

	"limeladder/internal/testserver"
)

// SIGTERM comes while one request is in flight and another is pipelined behind it, with more time than the process
// has: both are answered, then the connection ends. An idle connection is closed, and a request that crosses the
// close is not accepted. The process ends when its clients have closed their side.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	act, arrived, release := blockRequest(t, "slow")
	servers, list, agent := newReplicaGroup(t, act)
	d := runDaemon(t, pushedConfig(t, agent, list...))
	waitUntilReady(t, d)
	slow := testserver.Dial(t, d.platformAddress())
	idle := testserver.Dial(t, d.platformAddress())
	idle.Send(queryMessage(statement("r", "look")))
	idle.Until('Z')
	slow.Send(queryMessage(statement("slow", "job")))
	<-arrived
	runInLoop(d, d.startShutdown)
	requireClosed(t, idle)
	_ = idle.Write(queryMessage(statement("crossing", "job"))) // whether the system still takes it does not matter
	eventually(t, "the router accepts no more connections", func() bool {
		closed := false
		runInLoop(d, func() { closed = d.shutdown.listenersClosed })
		return closed
	})
	slow.Send(queryMessage(statement("late", "look")))
	release()
	for _, id := range []string{"slow", "late"} {
		if answer := slow.Until('Z'); answer.Types != "TDCZ" {
			t.Fatalf("%s: %+v", id, answer)
		}
	}
	requireClosed(t, slow)
	slow.Close()
	idle.Close()
	if countRuns("crossing", servers...) != 0 {
		t.Error("a request that crossed the close was forwarded")
	}
}

// The watch moves, and then the process is told to end, while of one connection's pipelined requests the first is in
// flight, one is concurrent with it, one is queued and one has come in part. Each is answered in its place, none runs
// twice, and then the connection ends.
func TestReloadAndShutdownWithPipelinedRequests(t *testing.T) {
	act, arrived, release := blockRequest(t, "head")
	servers, list, agent := newReplicaGroup(t, act)
	newAgent, err := testserver.NewAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(newAgent.Stop)
	cfg := pushedConfig(t, agent, list...)
	d := runDaemon(t, cfg)
	waitUntilReady(t, d)
	client := testserver.Dial(t, d.platformAddress())
	late := queryMessage(statement("late", "look"))
	client.Send(slices.Concat(
		queryMessage(statement("head", "job")),
		queryMessage(statement("r1", "look")),
		queryMessage(statement("w", "job")),
		late[:20]))
	<-arrived
	eventually(t, "the read runs", func() bool { return countRuns("r1", servers[1:]...) > 0 })
	moved := *cfg
	moved.Discovery = newAgent.Addr
	runInLoop(d, func() { d.applyConfig(&moved) })
	eventually(t, "the watch moves", func() bool { return newAgent.Calls() > 0 })
	runInLoop(d, d.startShutdown)
	client.Send(late[20:])
	release()
	for _, id := range []string{"head", "r1", "w", "late"} {
		if answer := client.Until('Z'); answer.Types != "TDCZ" {
			t.Fatalf("%s: %+v", id, answer)
		}
	}
	requireClosed(t, client)
	for _, id := range []string{"head", "r1", "w", "late"} {
		if runs := countRuns(id, servers...); runs != 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
	}
}

// requireClosed fails the test unless the router closes a connection between responses.
func requireClosed(t *testing.T, client *testserver.Client) {
	t.Helper()
	if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
		t.Fatalf("not closed: %+v", answer)
	}
}

// countRuns returns how often a request ran on fake servers.
func countRuns(id string, servers ...*testserver.DB) int {
	runs := 0
	for _, server := range servers {
		runs += server.Runs(id)
	}
	return runs
}
