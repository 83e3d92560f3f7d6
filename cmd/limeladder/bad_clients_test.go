package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/testserver"
)

// badClientSecondsVariable is the environment variable that makes TestBadClients play all kinds of bad clients, with
// the least and the most memory of the platform, for so many seconds each.
const badClientSecondsVariable = "LIMELADDER_BAD_CLIENT_SECONDS"

const (
	manyBadClients = 300 // under a third of the descriptors
	fewBadClients  = 6

	leastMemoryMiB = 32
	mostMemoryMiB  = 192

	shortPlayTime     = 2 * time.Second
	usualClientsAhead = 300 * time.Millisecond // usual clients alone, before the bad ones come
	memoryCheck       = 5 * time.Millisecond

	longValueBytes   = 1 << 20
	mediumValueBytes = 60_000
	serverDelay      = 10 * time.Millisecond // of a fake server's answers
)

// The prefixes of the ids of requests that are answered with values of these sizes.
const (
	longValuePrefix   = "long"
	mediumValuePrefix = "medium"
)

// badClientKind is one kind of bad clients.
type badClientKind struct {
	name     string
	count    int
	extended bool // they connect to the extended-query listener
	always   bool // played in each run of the tests, not only in long ones
	play     func(b *badClient)
}

// Clients that write or read slowly, stop half way, or send at full speed took a router over its memory, or had the
// requests of others answered late, rejected or lost. Beside them it keeps within its memory, and the short requests of
// usual clients are answered in time, most of them served.
func TestBadClients(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv(badClientSecondsVariable))
	for _, kind := range badClientKinds() {
		if !kind.always && seconds == 0 {
			continue
		}
		t.Run(kind.name, func(t *testing.T) {
			if seconds == 0 {
				playBadClients(t, kind, leastMemoryMiB, shortPlayTime)
				return
			}
			for _, memory := range []int{leastMemoryMiB, mostMemoryMiB} {
				playBadClients(t, kind, memory, time.Duration(seconds)*time.Second)
			}
		})
	}
}

func playBadClients(t *testing.T, kind badClientKind, memoryMiB int, playTime time.Duration) {
	t.Helper()
	router, extendedAddress := startBadClientRouter(t, memoryMiB)
	address := router.address
	if kind.extended {
		address = extendedAddress
	}
	stop := make(chan struct{})
	var playing sync.WaitGroup
	results := playUsualClients(router.address, stop, &playing)
	time.Sleep(usualClientsAhead)
	for number := range kind.count {
		playing.Go(func() {
			for !isClosed(stop) {
				playBadClient(kind, address, number, stop)
			}
		})
	}
	peakKiB := peakMemory(router.cmd.Process.Pid, playTime)
	close(stop)
	playing.Wait()
	t.Logf("%d MiB: peak %d KiB, %s", memoryMiB, peakKiB, results)
	if peakKiB == 0 || peakKiB > memoryMiB<<10 {
		t.Errorf("the router took %d KiB (0 = it has ended), want at most its %d MiB", peakKiB, memoryMiB)
	}
	results.check(t)
	router.stop()
}

// startBadClientRouter starts a router with six endpoints and both listeners.
func startBadClientRouter(t *testing.T, memoryMiB int) (router *routerProcess, extendedAddress string) {
	t.Helper()
	router = newRouterProcess(t, answerBySize)
	entries := []string{
		fmt.Sprintf(`{"id":"s1","addr":%q,"zone":"a","cell":7,"state":"ready","mode":"read-write"}`, router.primary.Addr),
	}
	for i, server := range []*testserver.DB{
		router.replica, testserver.NewDB(t, false, answerBySize), testserver.NewDB(t, false, answerBySize),
		testserver.NewDB(t, false, answerBySize), testserver.NewDB(t, false, answerBySize),
	} {
		entries = append(entries, fmt.Sprintf(`{"id":"s%d","addr":%q,"zone":"a","cell":7,"state":"ready"}`, i+2, server.Addr))
	}
	router.endpointList = `{"version":3,"full":true,"servers":[` + strings.Join(entries, ",") + `]}`
	config := configText(router.discovery.Listener.Addr().String())
	memory := fmt.Sprintf(`"memory_mb":%d`, memoryMiB)
	router.writeFile("config.json", strings.Replace(config, `"memory_mb":192`, memory, 1))
	extendedAddress = freeAddress(t)
	router.writeFile("deploy.toml", fmt.Sprintf("[extended]\nlisten = %q\n", extendedAddress))
	router.start()
	return router, extendedAddress
}

// answerBySize makes a fake server answer a statement with a value of the size that its id asks for.
func answerBySize(messageType byte, id string) testserver.Act {
	if messageType != 'Q' && messageType != 'E' || id == "" {
		return testserver.Act{}
	}
	act := testserver.Act{Delay: serverDelay}
	switch {
	case strings.HasPrefix(id, longValuePrefix):
		act.ValueBytes = longValueBytes
	case strings.HasPrefix(id, mediumValuePrefix):
		act.ValueBytes = mediumValueBytes
	}
	return act
}

// peakMemory watches the memory of a process for some time and returns the most that it took, in KiB, or 0 if it has
// ended.
func peakMemory(pid int, watchTime time.Duration) (peakKiB int) {
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(memoryCheck) {
		used := anonymousKiB(pid)
		if used == 0 {
			return 0
		}
		peakKiB = max(peakKiB, used)
	}
	return peakKiB
}

// anonymousKiB returns the memory of a process without its program file, in KiB, or 0 if it has ended.
func anonymousKiB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "RssAnon:" {
			kib, _ := strconv.Atoi(fields[1]) // the kernel writes a number
			return kib
		}
	}
	return 0
}

func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// playBadClient plays one connection of a bad client.
func playBadClient(kind badClientKind, address string, number int, stop <-chan struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(usualPause)
		return
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-stop:
		case <-ended:
		}
		conn.Close()
	}()
	kind.play(&badClient{conn: conn, number: number, stop: stop})
}
