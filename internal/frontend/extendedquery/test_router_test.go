package extendedquery

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/backend"
	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/frontend"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
	"limeladder/internal/transport"
)

// noDiscovery is a discovery whose polls do nothing.
type noDiscovery struct{}

// Poll implements the discovery of router.Router.
func (noDiscovery) Poll() {}

// testRouter is the complete path from a client to endpoints.
type testRouter struct {
	addr      string
	eventLoop *eventloop.Loop
	router    *router.Router
	pool      *backend.Pool
	frontend  *frontend.Frontend
}

func defaultLimits() limits.Limits {
	return limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
}

func class(name string, consistency balance.Consistency) balance.Class {
	return balance.Class{
		Name:             name,
		LatencyObjective: time.Second,
		ClientTimeout:    3 * time.Second,
		PriorityWeight:   1,
		Consistency:      consistency,
	}
}

func start(t *testing.T, endpoints ...*testserver.DB) *testRouter {
	t.Helper()
	return startWith(t, defaultLimits(), endpoints...)
}

func startWith(t *testing.T, lim limits.Limits, endpoints ...*testserver.DB) *testRouter {
	t.Helper()
	loop := eventloop.New()
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	engine, err := transport.New(loop, 1024, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	writeClass := class("write", balance.ConsistencyWrite)
	writeClass.Idempotency = balance.NonIdempotent
	core, err := router.New(loop, lim, logger, balance.Config{
		Instances:           1,
		Zone:                "a",
		HealthChecks:        true,
		Cancellation:        true,
		MaxAttempts:         10,
		SlowStartFrom:       0.2,
		ClientSessionTokens: true,
		Classes: []balance.Class{
			class("session", balance.ConsistencySession),
			class("read", balance.ConsistencyAny),
			writeClass,
		},
	}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	server := &testRouter{eventLoop: loop, router: core, pool: backend.New(loop, engine, lim, logger)}
	core.Connect(server.pool, noDiscovery{})
	server.frontend = frontend.New(loop, lim, logger, core, NewHandler(core))
	server.frontend.SetReady()
	listener, err := engine.Listen("127.0.0.1:0", lim.Frontend.Connections, logger, server.frontend.Accept)
	if err != nil {
		t.Fatal(err)
	}
	server.addr = listener.Addr().String()
	server.updateEndpoints(true, "ready", endpoints...)
	go loop.Run(core.Step)
	t.Cleanup(func() {
		listener.Close()
		loop.Stop()
		engine.Stop()
	})
	return server
}

// updateEndpoints gives endpoints, identified by their addresses, to the router. The first one of a full list is the
// primary.
func (server *testRouter) updateEndpoints(full bool, state string, endpoints ...*testserver.DB) {
	list := config.EndpointList{Full: full}
	decisions := balance.EndpointList{Kind: balance.ListDelta}
	for i, endpoint := range endpoints {
		listed := config.EndpointEntry{ID: endpoint.Addr, Addr: endpoint.Addr, Zone: "a", Group: 7, State: state}
		if full && i == 0 {
			listed.Mode = "read-write"
		}
		entry, _ := listed.Balance()
		list.Endpoints = append(list.Endpoints, listed)
		decisions.Entries = append(decisions.Entries, entry)
	}
	done := make(chan bool)
	server.eventLoop.Post(func() {
		server.pool.UpdateEndpoints(list)
		server.router.UpdateEndpoints(decisions)
		close(done)
	})
	if !full {
		<-done
	}
}

func statementText(id, class string, ms int) string {
	verb := "SELECT data FROM facts WHERE code = $1"
	if class == "write" {
		verb = "INSERT INTO facts (code, data) VALUES ($1, '\\x00') RETURNING data"
	}
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=7 */ %s", id, class, ms, verb)
}

func prepare(name, text string) []byte {
	return pgwire.AppendParse(nil, pgwire.ParseMessage{Name: name, Query: text})
}

// bindValues is the body of a Bind after the names: one parameter in text format, and results in binary format.
var bindValues = []byte("\x00\x00\x00\x01\x00\x00\x00\x01x\x00\x01\x00\x01")

// runStatement returns Bind, Describe, Execute and Sync of a prepared statement.
func runStatement(name string) []byte {
	messages := pgwire.AppendBind(nil, pgwire.BindMessage{Statement: name, Rest: bindValues})
	messages = pgwire.AppendTarget(messages, 'D', 'P', "")
	return pgwire.Append(pgwire.AppendExecute(messages, "", 0), 'S')
}

// parseAndRun returns Parse, Bind, Describe, Execute and Sync of a statement.
func parseAndRun(id, class string, ms int) []byte {
	return append(prepare("", statementText(id, class, ms)), runStatement("")...)
}
