package clients

import (
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/multiprocess/history"
)

// fakeRouter speaks enough of the protocol for the clients: it accepts every startup, answers empty queries, and
// passes other queries to respond.
type fakeRouter struct {
	listener net.Listener
	respond  func(number int, sql string) (response []byte, keepOpen bool)
	queries  atomic.Int64 // number of queries that were not empty

	mutex       sync.Mutex // guards connections
	connections []net.Conn
}

func startFakeRouter(t *testing.T, respond func(number int, sql string) (response []byte, keepOpen bool)) *fakeRouter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	router := &fakeRouter{listener: listener, respond: respond}
	t.Cleanup(router.stop)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			router.mutex.Lock()
			router.connections = append(router.connections, conn)
			router.mutex.Unlock()
			go router.serve(conn)
		}
	}()
	return router
}

// stop makes the router unreachable.
func (router *fakeRouter) stop() {
	router.listener.Close()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for _, conn := range router.connections {
		conn.Close()
	}
}

func (router *fakeRouter) serve(conn net.Conn) {
	defer conn.Close()
	reader := pgwire.NewReader(1<<20, 1<<20)
	buffer := make([]byte, 4096)
	started := false
	for {
		message, complete, err := reader.Next()
		if err != nil {
			return
		}
		if !complete {
			count, err := conn.Read(buffer)
			if err != nil {
				return
			}
			reader.Feed(buffer[:count])
			continue
		}
		response, keepOpen := router.answer(&started, reader, message)
		if _, err := conn.Write(response); err != nil || !keepOpen {
			return
		}
	}
}

// answer returns the answer to the startup message and to each query after it.
func (router *fakeRouter) answer(started *bool, reader *pgwire.Reader, message pgwire.Message) ([]byte, bool) {
	if !*started {
		*started = true
		reader.StartupDone()
		return pgwire.AppendStartupResponse(nil), true
	}
	sql, err := pgwire.Query(message.Body)
	switch {
	case err != nil:
		return nil, false
	case sql == "":
		return pgwire.AppendReady(pgwire.Append(nil, 'I')), true
	default:
		return router.respond(int(router.queries.Add(1)), sql)
	}
}

// rowResponse is an answer with one column.
func rowResponse(value string) []byte {
	body := []byte{0, 1, 0, 0, 0, byte(len(value))}
	return pgwire.AppendReady(pgwire.Append(nil, 'D', body, []byte(value)))
}

func errorResponse(sqlState string, retryAfter time.Duration) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error{Code: sqlState, Message: "m", RetryAfter: retryAfter}))
}

func (router *fakeRouter) target(name string) Target {
	return Target{
		Router:      name,
		Address:     router.listener.Addr().String(),
		Incarnation: func() int { return 1 },
	}
}

// testOptions returns the options of one site with one router and a low rate.
func testOptions(router *fakeRouter) Options {
	return Options{
		LocalTargets:  map[string][]Target{"n": {router.target("r1")}},
		Rate:          40,
		ReplicaGroups: 2,
		Sessions:      3,
		Backoff:       5 * time.Millisecond,
		Classes: []fleet.Class{{
			Share: 1,
			Class: balance.Class{
				Name: "entry", LatencyObjective: time.Second, ClientTimeout: 2 * time.Second, PriorityWeight: 2,
				Consistency: balance.ConsistencyWrite, Idempotency: balance.NonIdempotent,
			},
		}},
		FailureDetectionDelay: 100 * time.Millisecond,
	}
}

// waitHealthy waits until the wanted number of routers is healthy.
func waitHealthy(t *testing.T, clients *Clients, want int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for clients.HealthyLocalTargets() != want {
		if time.Now().After(deadline) {
			t.Fatalf("got %d healthy routers, want %d", clients.HealthyLocalTargets(), want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// runFor runs clients for half a second and returns their statistics and the ending of each attempt.
func runFor(t *testing.T, options Options) (*fleet.Tally, []history.RequestEnded) {
	t.Helper()
	log := history.New()
	clients := New(options, log)
	waitHealthy(t, clients, 1)
	tally := clients.Run(500 * time.Millisecond).Tally["entry"]
	if tally.Came == 0 {
		t.Fatal("got no request, want at least one")
	}
	var ended []history.RequestEnded
	for _, entry := range log.Entries() {
		if fact, ok := entry.Fact.(history.RequestEnded); ok {
			ended = append(ended, fact)
		}
	}
	return tally, ended
}

func TestServedRequestsAreCounted(t *testing.T) {
	router := startFakeRouter(t, func(int, string) ([]byte, bool) { return rowResponse("db1a 1000000"), true })
	tally, ended := runFor(t, testOptions(router))
	if tally.Ends[served] != tally.Came || tally.Worth != 2*float64(tally.Came) || tally.Could != tally.Worth {
		t.Errorf("tally %+v, want every request served at its full weight", tally)
	}
	for _, fact := range ended {
		if fact.Outcome != history.Served || fact.Value != "db1a 1000000" || fact.ExtraBytes != 0 {
			t.Errorf("got %+v, want a served request", fact)
		}
	}
}

// TestRejectedRequestIsRetried rejects each first attempt; a rejected request may be repeated whatever its class.
func TestRejectedRequestIsRetried(t *testing.T) {
	router := startFakeRouter(t, func(_ int, sql string) ([]byte, bool) {
		if strings.Contains(sql, ",r=1") {
			return rowResponse("db1a"), true
		}
		return errorResponse(pgwire.TooManyConnections, time.Millisecond), true
	})
	options := testOptions(router)
	options.Retries = 1
	tally, ended := runFor(t, options)
	if tally.Ends[served] != tally.Came {
		t.Errorf("tally %+v, want every request served", tally)
	}
	if len(ended) != 2*tally.Came {
		t.Errorf("%d attempts of %d requests, want two each", len(ended), tally.Came)
	}
}

// TestFailedWriteIsNotRetried answers with an error that leaves open whether the write was executed.
func TestFailedWriteIsNotRetried(t *testing.T) {
	router := startFakeRouter(t, func(int, string) ([]byte, bool) { return errorResponse(pgwire.UnknownOutcome, 0), true })
	options := testOptions(router)
	options.Retries = 3
	tally, ended := runFor(t, options)
	if tally.Ends[failed] != tally.Came || len(ended) != tally.Came {
		t.Errorf("tally %+v after %d attempts, want every request failed after one", tally, len(ended))
	}
}

// TestConnectionClosedBeforeAnswer closes each connection at the second request that it carries, before any answer:
// the request is sent again on another connection, and no retry is counted.
func TestConnectionClosedBeforeAnswer(t *testing.T) {
	router := startFakeRouter(t, func(number int, _ string) ([]byte, bool) {
		if number%2 == 0 {
			return nil, false
		}
		return rowResponse("db1a"), true
	})
	tally, ended := runFor(t, testOptions(router))
	closed := 0
	for _, fact := range ended {
		if fact.Outcome == history.ClosedByPeer {
			closed++
		}
	}
	if tally.Ends[served]+tally.Ends[failed] != tally.Came || closed == 0 {
		t.Errorf("got tally %+v, %d closed attempts; want all served or failed, 1 or more closed", tally, closed)
	}
}

func TestDeadRouterLeavesTheLoadBalancer(t *testing.T) {
	router := startFakeRouter(t, func(int, string) ([]byte, bool) { return rowResponse("db1a"), true })
	clients := New(testOptions(router), history.New())
	defer close(clients.stopped)
	waitHealthy(t, clients, 1)
	router.stop()
	waitHealthy(t, clients, 0)
}

// TestRemoteTargetsAreUsedWithoutLocalOnes checks that a load balancer prefers healthy local routers.
func TestRemoteTargetsAreUsedWithoutLocalOnes(t *testing.T) {
	balancer := newLoadBalancer([]Target{{Router: "r1"}, {Router: "r3"}}, []Target{{Router: "r2"}})
	names := func() string {
		var all []string
		for _, target := range balancer.candidates() {
			all = append(all, target.Router)
		}
		return strings.Join(all, " ")
	}
	if got := names(); got != "" {
		t.Errorf("none healthy: got %q, want no router", got)
	}
	balancer.remote[0].healthy = true
	if got := names(); got != "r2" {
		t.Errorf("no local one healthy: got %q, want r2", got)
	}
	balancer.local[1].healthy = true
	if got := names(); got != "r3" {
		t.Errorf("a local one healthy: got %q, want r3", got)
	}
}

func TestClassify(t *testing.T) {
	timeout := &net.OpError{Op: "read", Err: timeoutError{}}
	for _, test := range []struct {
		name           string
		answer         reply
		err            error
		answeredBefore bool
		wantEnding     ending
		wantOutcome    history.Outcome
	}{
		{"result", reply{anyReceived: true}, nil, false, served, history.Served},
		{"too many connections", reply{sqlState: "53300"}, nil, false, rejected, history.Rejected},
		{"rejected during shutdown", reply{sqlState: "57P03"}, errConnectionEnded, true, rejected, history.Rejected},
		{"error", reply{sqlState: "08007"}, nil, false, failed, history.Failed},
		{"no answer in time", reply{}, timeout, true, failed, history.Unanswered},
		{"new connection closed", reply{}, errConnectionEnded, false, failed, history.Disconnected},
		{"used connection closed", reply{}, errConnectionEnded, true, closedByPeer, history.ClosedByPeer},
		{"closed within an answer", reply{anyReceived: true}, errConnectionEnded, true, failed, history.Disconnected},
		{"request not sent", reply{}, errors.New("broken pipe"), true, failed, history.Disconnected},
	} {
		t.Run(test.name, func(t *testing.T) {
			how, outcome := classify(test.answer, test.err, test.answeredBefore)
			if how != test.wantEnding || outcome != test.wantOutcome {
				t.Errorf("got %v, %v, want %v, %v", how, outcome, test.wantEnding, test.wantOutcome)
			}
		})
	}
}

// timeoutError is a net.Error as a read returns it after its deadline.
type timeoutError struct{}

func (timeoutError) Error() string   { return "i/o timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }
