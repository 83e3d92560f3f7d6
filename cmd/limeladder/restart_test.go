package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/testserver"
	"limeladder/internal/testserver/check"
)

// fleet is a kind of deployment: it decides how the router follows discovery.
type fleet struct {
	name      string
	instances int
	pushed    bool
}

// fleets are the kinds of deployments that follow discovery in different ways: small fleets request the complete list
// at the start, large ones only the changes since the list that they have, and pushed lists come from an agent.
func fleets() []fleet {
	return []fleet{{"small", 3, false}, {"large", 6, false}, {"pushed", 3, true}}
}

// notifiedWithin is the time within which a router that can reach discovery again is notified of each change.
const notifiedWithin = 6 * time.Second

// outageTime is how long a restarted router is watched while discovery is down. By its end the store has had a leader
// while calls to discovery failed.
const outageTime = 8 * time.Second

// followingRouter is a router in its own process, with a store of one member, that follows an agent. Replica group 7
// has the servers p, a and b.
type followingRouter struct {
	*routerProcess
	fleet   fleet
	servers []*testserver.DB
	list    []config.EndpointEntry
	agent   *testserver.Agent
	sent    int // requests of sendReads
}

func newFollowingRouter(t *testing.T, f fleet) *followingRouter {
	t.Helper()
	servers, list, agent := newReplicaGroup(t, nil)
	r := &followingRouter{
		routerProcess: &routerProcess{test: t, dir: t.TempDir()},
		fleet:         f,
		servers:       servers,
		list:          list,
		agent:         agent,
	}
	r.writeFile("deploy.toml", storeDeploy(r.dir+"/store", freeAddress(t)))
	return r
}

// configure writes the configuration for the next start or reload. known is the list that it contains.
func (r *followingRouter) configure(known config.EndpointList) {
	r.test.Helper()
	text := strings.Replace(configText(r.agent.Addr), `"Instances":1`, fmt.Sprintf(`"Instances":%d`, r.fleet.instances), 1)
	discovery := "ask"
	if r.fleet.pushed {
		discovery = "push"
	}
	text = strings.Replace(text, `"Discovery":"ask"`,
		fmt.Sprintf(`"Discovery":%q,"Contract":{"DrainGraceNs":%d}`, discovery, drainGrace), 1)
	encoded, err := json.Marshal(known)
	if err != nil {
		r.test.Fatal(err)
	}
	if len(known.Endpoints) > 0 {
		text = strings.Replace(text, `"settings":`, fmt.Sprintf(`"known":%s,"settings":`, encoded), 1)
	}
	r.writeFile("config.json", text)
}

// end ends the process with a signal and waits until it has exited.
func (r *followingRouter) end(signal syscall.Signal) {
	r.test.Helper()
	if signal == syscall.SIGTERM {
		r.stop()
		return
	}
	signalProcess(r.test, r.cmd, signal)
	_ = r.cmd.Wait() // how a killed process ended does not matter
}

// sendReads sends reads for the given time and returns how many each server received.
func (r *followingRouter) sendReads(duration time.Duration) (received []int) {
	r.test.Helper()
	before := r.received()
	client := testserver.Dial(r.test, r.address)
	defer client.Close()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		r.sent++
		client.Send(queryMessage(statement(fmt.Sprint("read-", r.sent), "look")))
		if answer := client.Until('Z'); answer.Value == "" {
			r.test.Fatalf("read %d: got answer %+v, want a value", r.sent, answer)
		}
	}
	received = r.received()
	for i := range received {
		received[i] -= before[i]
	}
	return received
}

// received returns the number of requests that each server has received.
func (r *followingRouter) received() (counts []int) {
	for _, server := range r.servers {
		counts = append(counts, len(server.Log().Received))
	}
	return counts
}

// waitUntilUnused waits until a server receives no reads, for at most the given time and the grace of a drain.
func (r *followingRouter) waitUntilUnused(server int, within time.Duration) {
	r.test.Helper()
	end := time.Now().Add(within + drainGrace)
	for r.sendReads(200 * time.Millisecond)[server] > 0 {
		if time.Now().After(end) {
			r.test.Fatalf("server %d is still used after %v", server, within+drainGrace)
		}
	}
}

// requireUnused sends reads for the given time, and fails the test if a server received one of them. The router has had
// the grace of a drain before.
func (r *followingRouter) requireUnused(server int, duration time.Duration) {
	r.test.Helper()
	time.Sleep(drainGrace)
	if received := r.sendReads(duration); received[server] > 0 {
		r.test.Errorf("the servers received %v reads, want none at server %d, which is draining", received, server)
	}
}

// requireFollows lets discovery answer again, with a further change, and fails the test if the router is not notified
// of it, or forgets the first drain. After a restart in a large fleet, the watch must resume from the given version.
func (r *followingRouter) requireFollows(version int64) {
	r.test.Helper()
	r.agent.LastIndex()
	r.agent.Push(draining(r.list[2]))
	r.agent.FailWith(0)
	r.waitUntilUnused(2, notifiedWithin)
	if index := r.agent.LastIndex(); r.fleet.instances > 4 && index < version {
		r.test.Errorf("the watch resumed from version %d, want %d", index, version)
	}
	if received := r.sendReads(time.Second); received[1]+received[2] > 0 {
		r.test.Errorf("the servers received %v reads, want them only at the first one", received)
	}
}

// waitUntilStored waits until the disk of the store's member contains a text.
func (r *followingRouter) waitUntilStored(text string) {
	r.test.Helper()
	r.waitFor("the list is stored", func() bool { return check.HoldsText([]byte(r.readFile("store/log")), text, 2) })
}

// Guards against a router that goes by an older list after a restart while discovery is down, so that it sends requests
// to an endpoint that it knew to be draining: an older stored list replaced the newer one of the configuration.
func TestRestartKeepsConfiguredListThatIsNewerThanTheStoredOne(t *testing.T) {
	for _, f := range fleets() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			router := newFollowingRouter(t, f)
			router.configure(config.EndpointList{})
			router.start()
			router.waitUntilStored(`"version":1,"full":true`)
			router.agent.FailWith(http.StatusServiceUnavailable)
			router.end(syscall.SIGTERM)
			router.agent.Push(draining(router.list[1]))
			router.configure(router.agent.List())
			router.start()
			router.requireUnused(1, outageTime)
			router.requireFollows(2)
		})
	}
}

// Guards against a store that never learns of changes: only complete lists were stored, and a restarted router whose
// configuration has an old list went by the list before the changes.
func TestRestartUsesStoredListThatIsNewerThanTheConfiguredOne(t *testing.T) {
	for _, f := range fleets() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			router := newFollowingRouter(t, f)
			configured := router.agent.List()
			router.configure(configured)
			router.start()
			router.agent.Push(draining(router.list[1]))
			router.waitUntilStored(`"version":2,"full":true`)
			router.agent.FailWith(http.StatusServiceUnavailable)
			router.end(syscall.SIGTERM)
			router.configure(configured)
			router.start()
			router.waitUntilUnused(1, notifiedWithin)
			router.requireUnused(1, time.Second)
			router.requireFollows(2)
		})
	}
}
