package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/testserver"
)

// A process is replaced while it serves: the socket stays open, the new process takes over the suspensions and the
// known endpoint ids, requests in flight are answered, idle connections are closed, and the new process opens the
// extended-query listener and the store. The old process then exits with code 0.
func TestHotRestartKeepsSocketSuspensionsAndRequests(t *testing.T) {
	act, arrived, release := blockRequest(t, "slow")
	router := newRouterProcess(t, act)
	extendedQueryAddress := freeAddress(t)
	storeAddress := freeAddress(t)
	router.writeFile("deploy.toml", fmt.Sprintf(
		"[extended]\nlisten = %q\n[store]\nname = \"n1\"\nfolder = %q\n[store.peers]\nn1 = %q\n",
		extendedQueryAddress, t.TempDir(), storeAddress))
	start := router.useInheritedSocket()
	oldProcess := start()
	router.callAdminAPI("db-machines/s3/suspend", http.StatusNotFound)
	router.callAdminAPI("db-machines/s2/suspend", http.StatusOK)
	slow := testserver.Dial(t, router.address)
	idle := testserver.Dial(t, router.address)
	slow.Send(queryMessage(statement("slow", "job")))
	<-arrived
	start()
	signalProcess(t, oldProcess, syscall.SIGTERM)
	if answer := idle.Until('Z'); !answer.Ended {
		t.Fatalf("idle connection: got answer %+v, want it closed", answer)
	}
	release()
	if answer := slow.Until('Z'); answer.Types != "TDCZ" || router.primary.Runs("slow") != 1 {
		t.Fatalf("request in flight: got answer %+v, want it served and run once", answer)
	}
	if err := oldProcess.Wait(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the store is open in the new process", func() bool { return acceptsConnections(storeAddress) })
	for _, address := range []string{router.address, extendedQueryAddress} {
		for i := range 20 {
			// The new process opens the extended-query listener a moment later.
			eventually(t, "the new process listens", func() bool { return acceptsConnections(address) })
			client := testserver.Dial(t, address)
			client.Send(queryMessage(statement(fmt.Sprint(address, i), "look")))
			if answer := client.Until('Z'); answer.Value != router.primary.Addr {
				t.Fatalf("read from %s: got answer %+v, want one of the primary", address, answer)
			}
			client.Close()
		}
	}
	router.callAdminAPI("db-machines/s2/resume", http.StatusOK)
}

// An inherited descriptor that is not a socket listening at the right address ends the program with one line that names
// the variable.
func TestInvalidInheritedSocketNamesTheVariable(t *testing.T) {
	path := t.TempDir() + "/config.json"
	writeFile(t, path, configText("127.0.0.1:1"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	for descriptor, inherited := range map[string]*os.File{
		"x":  file,
		"1":  file,
		"3":  file,
		"99": file,
		"03": socket, // listens at another address
	} {
		t.Run(descriptor, func(t *testing.T) {
			cmd := programCommand(path)
			cmd.ExtraFiles = []*os.File{inherited}
			cmd.Env = append(cmd.Env,
				"EDGE_INHERITED_FD="+descriptor, "EDGE_LISTEN=127.0.0.9:0", "TMPDIR="+t.TempDir())
			requireOneLineNaming(t, cmd, "EDGE_INHERITED_FD:")
		})
	}
}

// A new process whose agent doesn't answer uses the list that the process it replaces received, not the outdated list
// of its own configuration: the drain was pushed to the agent, so the router counts as notified and must honor it.
func TestNewProcessUsesTheEndpointListOfTheOldOne(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	servers, list, agent := newReplicaGroup(t, nil)
	cfg := pushedConfig(t, agent, list...)
	oldProcess := runDaemon(t, cfg)
	stop := make(chan bool)
	readers := []*sync.WaitGroup{startReaders(t, oldProcess, "old", 2, stop)}
	agent.Push(draining(list[1]))
	time.Sleep(drainGrace)
	agent.Silent(true)
	newProcess := runDaemon(t, cfg)
	waitUntilReady(t, newProcess)
	readers = append(readers, startReaders(t, newProcess, "new", 4, stop))
	time.Sleep(drainGrace)
	close(stop)
	for _, group := range readers {
		group.Wait()
	}
	requireNothingSentAfterDrain(t, servers[1], agent.SentAt("a", config.StateDraining))
	sentByNewProcess := 0
	for _, request := range servers[2].Log().Received {
		if strings.HasPrefix(request.ID, "new") {
			sentByNewProcess++
		}
	}
	if sentByNewProcess == 0 {
		t.Error("the new process sent no requests to the endpoint that is not draining")
	}
}

// A session that wrote through the old process must see its write through the new one, where the router remembers the
// writes of sessions: the new process knows none of them, and reads at replicas might miss them.
func TestSessionReadsOfNewProcessSeeWritesOfTheOldOne(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	servers, list, agent := newReplicaGroup(t, nil)
	for _, replica := range servers[1:] {
		replica.SetLag(time.Minute)
	}
	cfg := pushedConfig(t, agent, list...)
	for i := range cfg.Balance.Classes {
		if cfg.Balance.Classes[i].Name == "look" {
			cfg.Balance.Classes[i].Consistency = balance.ConsistencySession
		}
	}
	waitUntilReady(t, runDaemon(t, cfg))
	newProcess := runDaemon(t, cfg)
	waitUntilReady(t, newProcess)
	client := testserver.Dial(t, newProcess.platformAddress())
	for i := range 30 {
		id := fmt.Sprint("own", i)
		client.Send(queryMessage(statement(id, "look") + " WHERE code = 'session'"))
		if answer := client.Until('Z'); answer.Value != servers[0].Addr {
			t.Fatalf("read %s: got answer %+v, want one of the primary: the replicas lag", id, answer)
		}
	}
}

// On a socket that both processes share, the new one accepts no clients while it has only the list of its
// configuration, and accepts them once it is ready.
func TestNewProcessAcceptsNothingBeforeItIsReady(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	_, list, agent := newReplicaGroup(t, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	start := func() *daemon {
		cfg := pushedConfig(t, agent, list...)
		cfg.InheritedFD = duplicateDescriptor(t, listener)
		cfg.Listen = listener.Addr().String()
		return runDaemon(t, cfg)
	}
	waitUntilReady(t, start())
	agent.Silent(true)
	newProcess := start()
	const maxRequests = 20_000
	for n := 0; ; n++ {
		client := testserver.Dial(t, listener.Addr().String())
		client.Send(queryMessage(statement(fmt.Sprint("r", n), "look")))
		if answer := client.Until('Z'); answer.Value == "" {
			t.Fatalf("read: got answer %+v, want a value", answer)
		}
		client.Close()
		var accepted uint64
		ready := false
		runInLoop(newProcess, func() {
			accepted = newProcess.core.Counts().Accepted
			ready = newProcess.listeners.ready
		})
		if accepted > 0 && !ready {
			t.Fatalf("the new process accepted request %d before it was ready", n)
		}
		if accepted > 0 {
			return
		}
		if n > maxRequests {
			t.Fatal("the new process accepted no requests")
		}
		time.Sleep(time.Millisecond)
	}
}

// duplicateDescriptor returns a duplicate of a listening socket's descriptor.
func duplicateDescriptor(t *testing.T, listener net.Listener) int {
	t.Helper()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	descriptor, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return descriptor
}

// A client sends a write to the old process and leaves while it runs. It comes again under the same id at the new
// process: the write must not run a second time there.
func TestDepartedWriteIsNotRunByTheOtherProcess(t *testing.T) {
	begun := make(chan bool, 9)
	router := newRouterProcess(t, func(_ byte, id string) testserver.Act {
		if id != "same" {
			return testserver.Act{}
		}
		begun <- true
		return testserver.Act{Delay: 1500 * time.Millisecond}
	})
	router.writeFile("deploy.toml", "")
	start := router.useInheritedSocket()
	old := start()
	client := testserver.Dial(t, router.address)
	client.Send(queryMessage(statement("same", "job")))
	<-begun
	start()
	signalProcess(t, old, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond) // its socket is inherited, so it accepts no more clients
	client.Close()
	again := testserver.Dial(t, router.address)
	again.Send(queryMessage(statement("same", "job")))
	again.Until('Z')
	if runs := router.primary.Runs("same"); runs > 1 {
		t.Errorf("the write ran %d times, want once", runs)
	}
}

// As TestDepartedWriteIsNotRunByTheOtherProcess, but the client comes again once the old process has ended: in order,
// or killed while the write runs.
func TestDepartedWriteIsNotRunOnceTheOtherProcessHasEnded(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			begun := make(chan bool, 9)
			router := newRouterProcess(t, func(_ byte, id string) testserver.Act {
				if id != "same" {
					return testserver.Act{}
				}
				begun <- true
				return testserver.Act{Delay: 300 * time.Millisecond}
			})
			router.writeFile("deploy.toml", "")
			start := router.useInheritedSocket()
			old := start()
			client := testserver.Dial(t, router.address)
			client.Send(queryMessage(statement("same", "job")))
			<-begun
			start()
			client.Close()
			signalProcess(t, old, signal)
			_ = old.Wait() // how a killed process ended does not matter
			again := testserver.Dial(t, router.address)
			again.Send(queryMessage(statement("same", "job")))
			if answer := again.Until('Z'); answer.Value != "" {
				t.Errorf("got answer %+v, want an error", answer)
			}
			again.Send(queryMessage(statement("other", "job")))
			if answer := again.Until('Z'); answer.Value == "" {
				t.Errorf("another write: got answer %+v, want a value", answer)
			}
			if runs := router.primary.Runs("same"); runs > 1 {
				t.Errorf("the write ran %d times, want once", runs)
			}
		})
	}
}
