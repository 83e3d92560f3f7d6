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

	"limeladder/internal/testserver"
)

// A process is replaced while it serves: the socket stays, a suspension and the known ids pass on, requests in flight
// are finished, idle clients are closed, the extended-query listener and the store move over. The old process then
// ends in order.
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
		t.Fatalf("%+v", answer)
	}
	release()
	if answer := slow.Until('Z'); answer.Types != "TDCZ" || router.primary.Runs("slow") != 1 {
		t.Fatalf("%+v", answer)
	}
	if err := oldProcess.Wait(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the store is open in the new process", func() bool { return acceptsConnections(storeAddress) })
	for _, address := range []string{router.address, extendedQueryAddress} {
		for i := range 20 {
			// The extended-query listener moves over in a moment.
			eventually(t, "the new process listens", func() bool { return acceptsConnections(address) })
			client := testserver.Dial(t, address)
			client.Send(queryMessage(statement(fmt.Sprint(address, i), "look")))
			if answer := client.Until('Z'); answer.Value != router.primary.Addr {
				t.Fatalf("%s: %+v", address, answer)
			}
			client.Close()
		}
	}
	router.callAdminAPI("db-machines/s2/resume", http.StatusOK)
}

// A descriptor that is no listening socket at the right address is one line that names the variable.
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
		"03": socket, // one at another address
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

// A new process whose agent says nothing goes by what the process that it replaces was notified of, not by the old list
// of its own start: the agent had the drain, so it counts as notified.
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
	requireNothingSentAfterDrain(t, servers[1], agent.SentAt("a", endpointDraining))
	sentByNewProcess := 0
	for _, request := range servers[2].Log().Received {
		if strings.HasPrefix(request.ID, "new") {
			sentByNewProcess++
		}
	}
	if sentByNewProcess == 0 {
		t.Error("the new process has sent nothing")
	}
}

// On a socket that both processes share, the new one accepts no client while it has no list but the one of its start,
// and does once it is ready.
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
			t.Fatalf("%+v", answer)
		}
		client.Close()
		var accepted uint64
		ready := false
		runInLoop(newProcess, func() {
			accepted = newProcess.core.Counts().Accepted
			ready = newProcess.listeners.ready
		})
		if accepted > 0 && !ready {
			t.Fatalf("the new process has accepted request %d", n)
		}
		if accepted > 0 {
			return
		}
		if n > maxRequests {
			t.Fatal("the new process accepts nothing")
		}
		time.Sleep(time.Millisecond)
	}
}

// duplicateDescriptor returns a descriptor of its own for a listening socket.
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
