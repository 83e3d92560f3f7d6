package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/store"
	"limeladder/internal/testserver"
)

// listArrival is a way in which a router learns that server a is draining. learn starts the router, and returns with
// discovery down and the list that a later configuration may contain, which is older.
type listArrival struct {
	name  string
	learn func(r *followingRouter, start func() *exec.Cmd) (outdated config.EndpointList)
}

func listArrivals() []listArrival {
	return []listArrival{
		{"complete list", learnFromCompleteList},
		{"change", learnFromChange},
		{"configuration", learnFromConfiguration},
		{"store", learnFromStore},
		{"other process", learnFromOtherProcess},
		{"discovery with new numbering", learnFromNewNumbering},
	}
}

func learnFromCompleteList(r *followingRouter, start func() *exec.Cmd) config.EndpointList {
	outdated := r.agent.List()
	r.agent.Push(draining(r.list[1]))
	r.configure(config.EndpointList{})
	r.cmd = start()
	r.waitUntilUnused(1, notifiedWithin)
	r.agent.FailWith(http.StatusServiceUnavailable)
	return outdated
}

func learnFromChange(r *followingRouter, start func() *exec.Cmd) config.EndpointList {
	outdated := r.agent.List()
	r.configure(outdated)
	r.cmd = start()
	r.agent.Push(draining(r.list[1]))
	r.waitUntilUnused(1, notifiedWithin)
	r.agent.FailWith(http.StatusServiceUnavailable)
	return outdated
}

func learnFromConfiguration(r *followingRouter, start func() *exec.Cmd) config.EndpointList {
	outdated := r.agent.List()
	r.agent.FailWith(http.StatusServiceUnavailable)
	r.agent.Push(draining(r.list[1]))
	r.configure(r.agent.List())
	r.cmd = start()
	r.waitUntilUnused(1, 0)
	return outdated
}

// learnFromStore has another member of the store know the list, which ends before the router restarts: the router has
// no majority then.
func learnFromStore(r *followingRouter, start func() *exec.Cmd) config.EndpointList {
	r.test.Helper()
	outdated := r.agent.List()
	r.agent.FailWith(http.StatusServiceUnavailable)
	r.agent.Push(draining(r.list[1]))
	addresses := map[string]string{"n1": freeAddress(r.test), "n2": freeAddress(r.test)}
	deploy := fmt.Sprintf("[store]\nname = \"n1\"\nfolder = %q\n[store.peers]\n", r.dir+"/store")
	for name, address := range addresses {
		deploy += fmt.Sprintf("%s = %q\n", name, address)
	}
	r.writeFile("deploy.toml", deploy)
	peer, err := store.Open(store.Config{
		Name: "n2", Folder: r.test.TempDir(), Peers: addresses, LogEntries: 100, QueuedWrites: 10,
	}, discardLog())
	if err != nil {
		r.test.Fatal(err)
	}
	encoded, err := json.Marshal(r.agent.List())
	if err != nil || !peer.Put(endpointListKey, encoded) {
		r.test.Fatalf("the list was not queued: %v", err)
	}
	r.configure(outdated)
	r.cmd = start()
	r.waitUntilUnused(1, outageTime)
	if err := peer.Close(); err != nil {
		r.test.Error(err)
	}
	return outdated
}

func learnFromOtherProcess(r *followingRouter, start func() *exec.Cmd) config.EndpointList {
	outdated := learnFromChange(r, start)
	r.replaceProcess(start)
	return outdated
}

// learnFromNewNumbering moves the router to another discovery with SIGHUP, whose versions are lower.
func learnFromNewNumbering(r *followingRouter, start func() *exec.Cmd) config.EndpointList {
	r.test.Helper()
	for range 4 {
		r.agent.Push(r.list[0])
	}
	outdated := r.agent.List()
	r.configure(outdated)
	r.cmd = start()
	r.sendReads(drainGrace)
	r.moveToNewNumbering(outdated)
	r.waitUntilUnused(1, notifiedWithin)
	r.agent.FailWith(http.StatusServiceUnavailable)
	return outdated
}

// moveToNewNumbering moves the router with SIGHUP to another discovery, whose versions are lower and whose list has
// server a draining. The new configuration contains the list known.
func (r *followingRouter) moveToNewNumbering(known config.EndpointList) {
	r.test.Helper()
	next, err := testserver.NewAgent(r.list[0], draining(r.list[1]), r.list[2])
	if err != nil {
		r.test.Fatal(err)
	}
	r.test.Cleanup(next.Stop)
	r.agent = next
	r.configure(known)
	signalProcess(r.test, r.cmd, syscall.SIGHUP)
}

// replaceProcess starts another process with start and ends the old one as in a hot restart.
func (r *followingRouter) replaceProcess(start func() *exec.Cmd) {
	r.test.Helper()
	old := r.cmd
	r.cmd = start()
	signalProcess(r.test, old, syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		r.test.Fatalf("the old process ended with %v", err)
	}
}

// processRestart is a way in which a router's process begins again.
type processRestart struct {
	name    string
	restart func(r *followingRouter, start func() *exec.Cmd)
}

func processRestarts() []processRestart {
	return []processRestart{
		{"SIGTERM", func(r *followingRouter, start func() *exec.Cmd) {
			r.end(syscall.SIGTERM)
			r.cmd = start()
		}},
		{"SIGKILL", func(r *followingRouter, start func() *exec.Cmd) {
			r.end(syscall.SIGKILL)
			r.cmd = start()
		}},
		{"SIGKILL twice", func(r *followingRouter, start func() *exec.Cmd) {
			for range 2 {
				r.end(syscall.SIGKILL)
				r.cmd = start()
			}
		}},
		{"hot restart", (*followingRouter).replaceProcess},
	}
}

// Guards against a hot restart in which the new process takes clients before the old one has told it the list that the
// router goes by, and in which the old one ends without telling it. No store keeps the list here.
func TestNewProcessKnowsTheListOfTheOldOneBeforeItTakesClients(t *testing.T) {
	for _, f := range fleets() {
		for _, arrival := range listArrivals() {
			if arrival.name == "store" {
				continue
			}
			t.Run(f.name+"/"+arrival.name, func(t *testing.T) {
				t.Parallel()
				router := newFollowingRouter(t, f)
				router.writeFile("deploy.toml", "")
				start := router.useInheritedSocket()
				outdated := arrival.learn(router, start)
				router.configure(outdated)
				router.replaceProcess(start)
				router.requireUnused(1, notifiedWithin/4)
				router.requireFollows(router.agent.List().Version)
			})
		}
	}
}

// Guards against a router that forgets a drain when its process begins again while discovery is down and its
// configuration has an older list: in whatever way the drain was learned, the process goes by the newest list from its
// start on, and its watch resumes from that list once discovery is back.
func TestRestartedProcessKnowsTheNewestList(t *testing.T) {
	for _, f := range fleets() {
		for _, arrival := range listArrivals() {
			for _, restart := range processRestarts() {
				t.Run(f.name+"/"+arrival.name+"/"+restart.name, func(t *testing.T) {
					t.Parallel()
					router := newFollowingRouter(t, f)
					start := router.useInheritedSocket()
					outdated := arrival.learn(router, start)
					router.configure(outdated)
					restart.restart(router, start)
					router.requireUnused(1, notifiedWithin/4)
					router.requireFollows(router.agent.List().Version)
				})
			}
		}
	}
}

// Guards against a router of a large fleet that learns too late what a new configuration's discovery says, because the
// versions there are lower: such a discovery responds to the watch only when its wait is over, and the router discarded
// two lists before it used one. After SIGHUP, changes count as notified 4 s later.
func TestMoveToDiscoveryWithLowerVersionsIsNotifiedInTime(t *testing.T) {
	const notifiedAfterReload = 4 * time.Second
	for _, instances := range []int{3, 6, 12, 300} {
		t.Run(fmt.Sprint(instances, " routers"), func(t *testing.T) {
			t.Parallel()
			router := newFollowingRouter(t, fleet{"", instances, false})
			router.writeFile("deploy.toml", "")
			for range 4 {
				router.agent.Push(router.list[0])
			}
			known := router.agent.List()
			router.configure(known)
			router.start()
			router.sendReads(drainGrace)
			router.moveToNewNumbering(known)
			router.sendReads(notifiedAfterReload)
			router.requireUnused(1, time.Second)
		})
	}
}
