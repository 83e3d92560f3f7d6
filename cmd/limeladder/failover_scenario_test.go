package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
	"limeladder/internal/testserver/check"
)

// firstGroup is the number of the first replica group of a scenario. The other groups have the numbers after it.
const firstGroup = 7

// failoverScenario is a router in this process with replica groups of three fake servers each, whose primaries change
// while clients send requests.
type failoverScenario struct {
	test     testing.TB
	daemon   *daemon
	stopped  chan bool
	groups   [][]*testserver.DB
	clients  sync.WaitGroup
	deadline time.Duration // of each request

	statementPadding string // added to each statement
	responseBytes    int    // least length of each response, 0 = not checked
	withPrimaryReads bool   // each client also reads before and after its write, which only the primary may answer

	watchEvents chan bool // each value lets one watch return the endpoint list

	mu           sync.Mutex
	listedStates map[string]string // by address, of endpoints that are not ready
	version      int64
	requests     []check.Job
	drains       []check.Drain
	promotions   []promotion
}

// promotion is the time from which a server accepts writes.
type promotion struct {
	address string
	at      time.Time
}

func newFailoverScenario(tb testing.TB, groups int, queued bool, deadline time.Duration) *failoverScenario {
	tb.Helper()
	scenario := &failoverScenario{
		test:         tb,
		stopped:      make(chan bool),
		deadline:     deadline,
		watchEvents:  make(chan bool, 99),
		listedStates: map[string]string{},
		version:      1,
	}
	for range groups {
		scenario.groups = append(scenario.groups, []*testserver.DB{
			testserver.NewDB(tb, true, nil),
			testserver.NewDB(tb, false, nil),
			testserver.NewDB(tb, false, nil),
		})
	}
	discovery := httptest.NewServer(http.HandlerFunc(scenario.serveDiscovery))
	tb.Cleanup(discovery.CloseClientConnections)
	cfg := parseConfig(tb, scenarioConfigText(discovery.Listener.Addr().String()))
	deployText := "[extended]\nlisten = \"127.0.0.1:0\"\n"
	if queued {
		deployText += "[changeover]\nclasses = [\"job\", \"fresh\"]\n"
	}
	log := slog.New(slog.NewTextHandler(scenarioLog(), nil))
	var err error
	scenario.daemon, err = newDaemon(cfg, parseDeploy(tb, deployText), log)
	if err != nil {
		tb.Fatal(err)
	}
	go func() {
		scenario.daemon.run()
		close(scenario.stopped)
	}()
	eventually(tb, "an empty query is answered", func() bool {
		client := testserver.Dial(tb, scenario.daemon.platformAddress())
		defer client.Close()
		client.Send(queryMessage(""))
		return client.Until('Z').Types == "IZ"
	})
	return scenario
}

// scenarioConfigText returns a configuration with two more classes of reads. All scenarios share the descriptors of
// this process, and a router closes descriptors above its limit, so the limit is high.
func scenarioConfigText(discovery string) string {
	return strings.NewReplacer(
		`"Effect":"unsafe"}]`, `"Effect":"unsafe"},
 {"Name":"fresh","AimNs":1000000000,"GiveUpNs":3000000000,"Importance":1,"Effect":"safe"},
 {"Name":"own","AimNs":1000000000,"GiveUpNs":3000000000,"Importance":1,"Effect":"safe"}]`,
		`["loose","update"]`, `["loose","update","latest","own_writes"]`,
		`"sockets":1024`, `"sockets":65536`,
	).Replace(configText(discovery))
}

// scenarioLog returns the log output for routers of scenarios: standard error if SCENE_LOG is set, otherwise none.
func scenarioLog() io.Writer {
	if os.Getenv("SCENE_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

func (s *failoverScenario) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	if r.URL.RawQuery != "" {
		select {
		case <-r.Context().Done():
			return
		case <-s.watchEvents:
		}
	}
	_ = json.NewEncoder(w).Encode(s.endpointList()) // fails only if the router has closed the connection
}

// endpointList returns the endpoint list of discovery. It always names the first server of a group as its primary, even
// after a failover.
func (s *failoverScenario) endpointList() config.EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := config.EndpointList{Version: s.version, Full: true}
	for group, servers := range s.groups {
		for i, server := range servers {
			entry := config.EndpointEntry{ID: server.Addr, Addr: server.Addr, Zone: "a", Group: int64(firstGroup + group)}
			if i == 0 {
				entry.Mode = "read-write"
			}
			entry.State = config.StateReady
			if state, ok := s.listedStates[server.Addr]; ok {
				entry.State = state
			}
			list.Endpoints = append(list.Endpoints, entry)
		}
	}
	return list
}

// drain makes discovery notify the router that a server is draining.
func (s *failoverScenario) drain(server *testserver.DB) {
	s.mu.Lock()
	s.listedStates[server.Addr] = config.StateDraining
	s.version++
	s.drains = append(s.drains, check.Drain{Member: server.Addr, From: time.Now()})
	s.mu.Unlock()
	s.watchEvents <- true
}

// suspend suspends a server, as an operator's call does.
func (s *failoverScenario) suspend(server *testserver.DB) {
	suspended := make(chan bool)
	s.daemon.loop.PostUrgent(func() { s.daemon.SetSuspended(server.Addr, true, func(bool) { close(suspended) }) })
	<-suspended
}

// announceFailover announces a failover of a group, as an operator's call does.
func (s *failoverScenario) announceFailover(group int) {
	announced := make(chan bool)
	s.daemon.loop.PostUrgent(func() {
		s.daemon.AnnounceFailover(int64(firstGroup+group), 3*time.Second)
		close(announced)
	})
	<-announced
}

// promote makes a server the primary.
func (s *failoverScenario) promote(server *testserver.DB) {
	server.SetPrimary(true)
	s.mu.Lock()
	s.promotions = append(s.promotions, promotion{server.Addr, time.Now()})
	s.mu.Unlock()
}

// restart starts a stopped server again.
func (s *failoverScenario) restart(server *testserver.DB) {
	if err := server.Start(); err != nil {
		s.test.Error(err)
	}
}

// primaryLoss is a way in which a group loses its primary.
type primaryLoss string

const (
	primaryDies           primaryLoss = "dies"
	primaryHangs          primaryLoss = "hangs"
	primaryDrains         primaryLoss = "drains"
	primaryReportsReplica primaryLoss = "reports replica" // it answers that it is a replica
	failoverAnnounced     primaryLoss = "is announced"
	primaryIsSuspended    primaryLoss = "is suspended"
)

// failOver makes a group lose its primary, and promotes another server after outage, which is the time without a
// primary.
func (s *failoverScenario) failOver(group, from, to int, loss primaryLoss, outage time.Duration) {
	old := s.groups[group][from]
	switch loss {
	case primaryDies:
		old.SetPrimary(false)
		old.Stop()
	case primaryHangs:
		old.Hang(true)
		old.SetPrimary(false)
	case primaryDrains:
		s.drain(old)
		time.Sleep(outage / 3)
		old.SetPrimary(false)
	case primaryReportsReplica:
		old.SetPrimary(false)
	case failoverAnnounced:
		s.announceFailover(group)
		time.Sleep(outage / 3)
		old.SetPrimary(false)
	case primaryIsSuspended:
		s.suspend(old)
		old.SetPrimary(false)
		s.mu.Lock()
		s.drains = append(s.drains, check.Drain{Member: old.Addr, From: time.Now()})
		s.mu.Unlock()
	}
	time.Sleep(outage)
	s.promote(s.groups[group][to])
}

// sendWrite sends one write as a new client, which disconnects after disconnectAfter if that is not 0. In a scenario
// with withPrimaryReads it calls sendWriteAndReads instead, which ignores extendedQuery and disconnectAfter.
func (s *failoverScenario) sendWrite(id string, group int, extendedQuery bool, disconnectAfter time.Duration) {
	s.clients.Add(1)
	go func() {
		defer s.clients.Done()
		if s.withPrimaryReads {
			s.sendWriteAndReads(id, group)
			return
		}
		text := s.statement(id, "job", group, s.statementPadding)
		address := s.daemon.platformAddress()
		messages := queryMessage(text)
		if extendedQuery {
			address = s.daemon.extendedQueryAddress()
			messages = extendedQueryMessages(text)
		}
		client := testserver.Dial(s.test, address)
		defer client.Close()
		request := check.Job{ID: id, Sent: time.Now(), Deadline: s.deadline}
		client.Send(messages)
		if disconnectAfter > 0 {
			time.Sleep(disconnectAfter)
			request.Disconnected = true
			client.Close()
		} else {
			answer := client.Until('Z')
			recordAnswer(&request, answer)
			request.Truncated = answer.Truncated
			if len(answer.Value) > 0 && len(answer.Value) < s.responseBytes {
				s.test.Errorf("response to %s was shortened to %d bytes", id, len(answer.Value))
			}
		}
		s.addRequest(request)
	}()
}

// sendWriteAndReads sends, as one client, a read with consistency latest, a write, and a read of that write. The
// replicas lag too much to answer either read.
func (s *failoverScenario) sendWriteAndReads(id string, group int) {
	client := testserver.Dial(s.test, s.daemon.platformAddress())
	defer client.Close()
	for _, class := range []string{"fresh", "job", "own"} {
		request := check.Job{ID: id + "-" + class, Sent: time.Now(), Deadline: s.deadline, Fresh: class != "job"}
		client.Send(queryMessage(s.statement(request.ID, class, group, id)))
		answer := client.Until('Z')
		recordAnswer(&request, answer)
		request.Value = answer.Value
		s.addRequest(request)
	}
}

func (s *failoverScenario) statement(id, class string, group int, text string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ SELECT '%s'",
		id, class, s.deadline.Milliseconds(), firstGroup+group, text)
}

// extendedQueryMessages returns the messages that run a statement in the extended-query protocol.
func extendedQueryMessages(text string) []byte {
	messages := pgwire.AppendParse(nil, pgwire.ParseMessage{Query: text})
	messages = pgwire.AppendBind(messages, pgwire.BindMessage{Rest: []byte{0, 0, 0, 0, 0, 0}})
	return pgwire.Append(pgwire.AppendExecute(messages, "", 0), 'S')
}

// recordAnswer stores the answer to a request.
func recordAnswer(request *check.Job, answer testserver.Answer) {
	request.Answered = time.Now()
	request.Code = answer.Code
	request.After = answer.Detail
	if !answer.Ended {
		request.Answers = 1
	}
}

func (s *failoverScenario) addRequest(request check.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
}

// runLoad sends requestsPerSecond writes per second to each group for the given length. If clientsDisconnect is set,
// every seventh client disconnects before its answer.
func (s *failoverScenario) runLoad(requestsPerSecond int, length time.Duration, clientsDisconnect bool) {
	ticker := time.NewTicker(time.Second / time.Duration(requestsPerSecond))
	defer ticker.Stop()
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		for group := range s.groups {
			disconnectAfter := time.Duration(0)
			if clientsDisconnect && i%7 == 3 {
				disconnectAfter = 200 * time.Millisecond
			}
			s.sendWrite(fmt.Sprintf("job-%d-%d", group, i), group, i%3 == 1, disconnectAfter)
		}
	}
}

// finish waits for all answers, stops the router and returns the rule violations that check.Jobs finds.
func (s *failoverScenario) finish() (faults []string) {
	s.clients.Wait()
	s.daemon.loop.Post(s.daemon.startShutdown)
	<-s.stopped
	servers := slices.Concat(s.groups...)
	for _, server := range servers {
		server.Hang(false)
	}
	time.Sleep(20 * time.Millisecond) // a server that hung now runs the requests that it had received
	var logs []check.Log
	for _, server := range servers {
		logs = append(logs, server.Log())
	}
	return check.Jobs(s.requests, logs, s.drains)
}

// firstWriteAfter returns the time from a promotion to the first write on the new primary. ok is false if no write ran
// there.
func (s *failoverScenario) firstWriteAfter(promoted promotion) (after time.Duration, ok bool) {
	for _, server := range slices.Concat(s.groups...) {
		if server.Addr != promoted.address {
			continue
		}
		for _, run := range server.Log().Runs {
			if run.Write && run.At.After(promoted.at) {
				return run.At.Sub(promoted.at), true
			}
		}
	}
	return 0, false
}

// firstWritesAfterPromotions returns firstWriteAfter for all promotions that were followed by a write.
func (s *failoverScenario) firstWritesAfterPromotions() []time.Duration {
	s.mu.Lock()
	promotions := slices.Clone(s.promotions)
	s.mu.Unlock()
	var all []time.Duration
	for _, promoted := range promotions {
		if after, ok := s.firstWriteAfter(promoted); ok {
			all = append(all, after)
		}
	}
	return all
}
