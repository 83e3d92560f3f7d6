package main

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// The shutdown starts while one request is in flight and another is pipelined after it, with deadlines longer than the
// shutdown may take: both are answered, then the connection is closed. An idle connection is closed at once, and a
// request sent on it at the same time is not accepted. The process ends when its clients have closed their side.
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
	_ = idle.Write(queryMessage(statement("crossing", "job"))) // the write may fail if the connection is already closed
	eventually(t, "the router accepts no more connections", func() bool {
		closed := false
		runInLoop(d, func() { closed = d.shutdown.listenersClosed })
		return closed
	})
	slow.Send(queryMessage(statement("late", "look")))
	release()
	for _, id := range []string{"slow", "late"} {
		if answer := slow.Until('Z'); answer.Types != "TDCZ" {
			t.Fatalf("%s: got answer %+v, want it served", id, answer)
		}
	}
	requireClosed(t, slow)
	slow.Close()
	idle.Close()
	if countRuns("crossing", servers...) != 0 {
		t.Error("a request on a connection that the router was closing was forwarded")
	}
}

// The discovery watch moves and then the shutdown starts while a connection has pipelined requests: the first is in
// flight, one runs concurrently with it, one is queued and one has arrived in part. All are answered in order, none
// runs twice, and then the connection is closed.
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
			t.Fatalf("%s: got answer %+v, want it served", id, answer)
		}
	}
	requireClosed(t, client)
	for _, id := range []string{"head", "r1", "w", "late"} {
		if runs := countRuns(id, servers...); runs != 1 {
			t.Errorf("%s ran %d times, want once", id, runs)
		}
	}
}

// The process exited at the end of the longest client timeout although an endpoint was still writing a long response,
// or a client was still reading one, and the response was cut off. It exits when both are complete.
func TestShutdownDeliversLongResponses(t *testing.T) {
	t.Parallel()
	const valueBytes = 2 << 20
	router := newRouterProcess(t, func(_ byte, id string) testserver.Act {
		switch id {
		case "slow-server":
			return testserver.Act{ValueBytes: valueBytes, WritePause: 150 * time.Millisecond} // 4.8 s in all
		case "slow-client":
			return testserver.Act{ValueBytes: valueBytes}
		}
		return testserver.Act{}
	})
	router.writeFile("deploy.toml", "")
	router.start()
	received := make(chan int, 2)
	for _, id := range []string{"slow-server", "slow-client"} {
		conn, err := net.Dial("tcp", router.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10) // as small as the system permits
		conn.SetDeadline(time.Now().Add(30 * time.Second))
		startup := pgwire.AppendStartup(nil, "user", "x")
		if _, err := conn.Write(pgwire.AppendQuery(startup, statement(id, "look"))); err != nil {
			t.Fatal(err)
		}
		go func() {
			pause := time.Duration(0)
			if id == "slow-client" {
				pause = 35 * time.Millisecond // 4.5 s for 128 pieces
			}
			received <- readInPieces(conn, valueBytes/128, pause)
		}()
	}
	time.Sleep(300 * time.Millisecond) // both responses have begun
	router.stop()
	for range 2 {
		if bytes := <-received; bytes < valueBytes {
			t.Errorf("got %d bytes of a value of %d, want all", bytes, valueBytes)
		}
	}
}

// readInPieces reads to the end of a connection, with a pause after each piece, and returns how many bytes it has read.
func readInPieces(conn net.Conn, pieceBytes int, pause time.Duration) (total int) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := io.ReadFull(conn, piece)
		total += n
		if err != nil {
			return total
		}
		time.Sleep(pause)
	}
}

// requireClosed fails the test unless the router closes a connection without truncating a response.
func requireClosed(t *testing.T, client *testserver.Client) {
	t.Helper()
	if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
		t.Fatalf("got answer %+v, want the connection closed between responses", answer)
	}
}

// countRuns returns how often a request ran on the given fake servers in total.
func countRuns(id string, servers ...*testserver.DB) int {
	runs := 0
	for _, server := range servers {
		runs += server.Runs(id)
	}
	return runs
}
