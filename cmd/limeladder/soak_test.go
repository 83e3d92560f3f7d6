package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/testserver"
	"limeladder/internal/testserver/check"
)

// soakSeedsVariable is the environment variable with the seeds of a long soak test, as FIRST-LAST. If it is not set,
// the seeds of a short one are used.
const soakSeedsVariable = "LIMELADDER_SOAK_SEEDS"

const (
	soakFirstSeed       = 1
	soakLastSeed        = 60
	soakParallelRuns    = 4 // few enough parallel runs that the machine is not overloaded
	soakClients         = 8
	soakDeadline        = 2500 * time.Millisecond
	soakIdleConnections = 300 // connections that send no requests
	soakLoadTime        = 1500 * time.Millisecond
	soakMaxPause        = 150 * time.Millisecond // longest pause of a router process
	soakFileLimitKiB    = 24                     // maximum size of a file of a router with a full disk
)

// soakKillAfter is the shortest time after SIGTERM at which the platform kills a process: the longest client timeout of
// the settings, which counts as 3 s at most, plus 0.7 s.
const soakKillAfter = 3*time.Second + 700*time.Millisecond

// soakPlan is the set of conditions and faults that a seed selects.
type soakPlan struct {
	logOutput          string // "read", "hangs", "ended" or "full"
	logLevel           string
	inherited          bool // the platform holds the listening socket; required for a second process
	secondProcess      bool // a second process starts before the shutdown and is ended shortly after
	store              bool
	diskIsFull         bool // files of the store and the shared folder can't grow
	idleConnections    bool
	pauses             bool // the process is stopped and continued at random times
	reloads            int  // number of SIGHUPs during the shutdown
	drainFirst         bool // an operator drains the router before SIGTERM
	secondSIGTERMDelay time.Duration
	maxServerDelay     time.Duration // longest delay of a fake server's answer
}

func newSoakPlan(random *rand.Rand) soakPlan {
	chance := func(percent int) bool { return random.IntN(100) < percent }
	plan := soakPlan{
		logOutput:          []string{"read", "hangs", "ended", "full"}[random.IntN(4)],
		logLevel:           []string{"info", "debug"}[random.IntN(2)],
		inherited:          chance(50),
		store:              chance(50),
		idleConnections:    chance(30),
		pauses:             chance(40),
		reloads:            random.IntN(4),
		drainFirst:         chance(30),
		secondSIGTERMDelay: time.Duration(random.IntN(600)) * time.Millisecond,
		maxServerDelay:     time.Duration(1+random.IntN(300)) * time.Millisecond,
	}
	plan.secondProcess = plan.inherited && chance(60)
	plan.diskIsFull = plan.store && chance(50)
	return plan
}

// soakRequest is one request with its result for the client.
type soakRequest struct {
	check.Job
	isWrite bool
	ended   bool // the connection ended instead of an answer
}

// soakRun is one run of the soak test: a router, its clients and the results of their requests.
type soakRun struct {
	test    *testing.T
	router  *routerProcess
	plan    soakPlan
	random  *rand.Rand
	running sync.WaitGroup

	mutex    sync.Mutex
	requests []soakRequest
	ending   bool // SIGTERM is about to be sent: clients open no more connections
}

// Guards against lost requests, requests that run twice, and processes that hang or fail during a shutdown under load,
// while the log blocks or fails, the disk is full, the process is paused, or a second process starts and ends.
func TestSoak(t *testing.T) {
	first, last := soakSeeds(t)
	slots := make(chan bool, soakParallelRuns)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- true
			defer func() { <-slots }()
			runSoakSeed(t, seed)
		})
	}
}

func soakSeeds(t *testing.T) (first, last uint64) {
	t.Helper()
	text := os.Getenv(soakSeedsVariable)
	if text == "" {
		return soakFirstSeed, soakLastSeed
	}
	firstText, lastText, _ := strings.Cut(text, "-")
	first, firstErr := strconv.ParseUint(firstText, 10, 64)
	last, lastErr := strconv.ParseUint(lastText, 10, 64)
	if firstErr != nil || lastErr != nil {
		t.Fatalf("%s: %q is not of the form FIRST-LAST", soakSeedsVariable, text)
	}
	return first, last
}

func runSoakSeed(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	run := &soakRun{test: t, random: random, plan: newSoakPlan(random)}
	t.Logf("%+v", run.plan)
	run.start()
	for i := range soakClients {
		clientRandom := rand.New(rand.NewPCG(seed, uint64(i+1)))
		run.running.Go(func() { run.client(i, clientRandom) })
	}
	stopPausing := run.pauseProcess()
	time.Sleep(soakLoadTime)
	if run.plan.idleConnections {
		run.openIdleConnections()
	}
	if run.plan.secondProcess {
		run.runSecondProcess()
	}
	if run.plan.drainFirst {
		run.router.callAdminAPI("router/drain", 200)
	}
	run.shutDown()
	stopPausing()
	run.running.Wait()
	run.checkRequests()
}

// start starts the router with the conditions of the plan, on its own listening socket or an inherited one.
func (run *soakRun) start() {
	run.test.Helper()
	delays := rand.New(rand.NewPCG(run.random.Uint64(), 0))
	var mutex sync.Mutex
	act := func(byte, string) testserver.Act {
		mutex.Lock()
		defer mutex.Unlock()
		return testserver.Act{Delay: time.Duration(delays.Int64N(int64(run.plan.maxServerDelay)))}
	}
	router := newRouterProcess(run.test, act)
	run.router = router
	deploy := ""
	if run.plan.store {
		deploy = storeDeploy(router.dir+"/store", freeAddress(run.test))
	}
	router.writeFile("deploy.toml", deploy)
	if run.plan.inherited {
		router.useInheritedSocket()
	} else {
		router.address = freeAddress(run.test)
	}
	router.cmd = run.command()
	startProgram(run.test, router.cmd)
	router.waitFor("ready", router.isReady)
}

// command returns a command that runs a process of the router with the conditions of the plan.
func (run *soakRun) command() *exec.Cmd {
	run.test.Helper()
	cmd := run.router.command()
	cmd.Env = append(cmd.Env, "LIMELADDER_LOG="+run.plan.logLevel)
	cmd.Stderr = run.openLog()
	if run.plan.inherited {
		cmd.ExtraFiles = []*os.File{run.router.socket}
		cmd.Env = append(cmd.Env, "EDGE_INHERITED_FD=3")
	}
	if run.plan.diskIsFull {
		limitFileSizes(cmd, soakFileLimitKiB)
	}
	return cmd
}

// limitFileSizes makes a command from programCommand run with a limit on the size of the files that it writes, which
// has the effect of a full disk.
func limitFileSizes(cmd *exec.Cmd, kib int) {
	cmd.Args = []string{"/bin/bash", "-c", fmt.Sprintf(`ulimit -f %d && exec "$0" "$@"`, kib), cmd.Path}
	cmd.Path = "/bin/bash"
}

func (run *soakRun) openLog() *os.File {
	run.test.Helper()
	switch run.plan.logOutput {
	case "hangs":
		return fullPipe(run.test)
	case "ended":
		reader, writer := newPipe(run.test)
		closeFile(run.test, reader)
		return writer
	case "full":
		file, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
		if err != nil {
			run.test.Fatal(err)
		}
		run.test.Cleanup(func() { closeFile(run.test, file) })
		return file
	}
	file, err := os.Create(fmt.Sprintf("%s/log.%d", run.router.dir, time.Now().UnixNano()))
	if err != nil {
		run.test.Fatal(err)
	}
	run.test.Cleanup(func() { closeFile(run.test, file) })
	return file
}

// pauseProcess repeatedly stops the process for a short time, until the returned function is called.
func (run *soakRun) pauseProcess() (stop func()) {
	if !run.plan.pauses {
		return func() {}
	}
	random := rand.New(rand.NewPCG(run.random.Uint64(), 1))
	quit := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-quit:
				return
			case <-time.After(time.Duration(100+random.IntN(900)) * time.Millisecond):
			}
			// A process that has ended can't receive signals and need not be paused.
			if run.router.cmd.Process.Signal(syscall.SIGSTOP) != nil {
				return
			}
			time.Sleep(time.Duration(random.Int64N(int64(soakMaxPause))))
			if run.router.cmd.Process.Signal(syscall.SIGCONT) != nil {
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

// openIdleConnections opens connections that send no requests. The router decides when to close them.
func (run *soakRun) openIdleConnections() {
	for range soakIdleConnections {
		conn, err := net.DialTimeout("tcp", run.router.address, time.Second)
		if err != nil {
			return // the router accepts no more connections
		}
		run.test.Cleanup(func() { conn.Close() })
	}
}

// runSecondProcess starts a second process of the router and ends it shortly after, whether or not it is ready by then.
func (run *soakRun) runSecondProcess() {
	run.test.Helper()
	admin := run.router.adminAddress
	cmd := run.command()
	run.router.adminAddress = admin // operators still call the first process
	startProgram(run.test, cmd)
	time.Sleep(time.Duration(run.random.IntN(300)) * time.Millisecond)
	sig := []os.Signal{syscall.SIGTERM, syscall.SIGKILL}[run.random.IntN(2)]
	signalProcess(run.test, cmd, sig)
}

// shutDown sends SIGTERM to the process, followed by more signals, and kills the process after soakKillAfter if it has
// not exited by then.
func (run *soakRun) shutDown() {
	run.test.Helper()
	run.mutex.Lock()
	run.ending = true
	run.mutex.Unlock()
	cmd := run.router.cmd
	killAt := time.Now().Add(soakKillAfter)
	signalProcess(run.test, cmd, syscall.SIGTERM)
	signals := []func(){func() {
		time.Sleep(run.plan.secondSIGTERMDelay)
		_ = cmd.Process.Signal(syscall.SIGTERM) // the process may have ended
	}}
	for range run.plan.reloads {
		pause := time.Duration(run.random.IntN(1500)) * time.Millisecond
		signals = append(signals, func() {
			time.Sleep(pause)
			_ = cmd.Process.Signal(syscall.SIGHUP) // the process may have ended
		})
	}
	for _, send := range signals {
		run.running.Go(send)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if code := exitCode(err); err != nil || code != 0 {
			run.test.Errorf("the process exited with code %d: %v, want 0", code, err)
		}
	case <-time.After(time.Until(killAt)):
		run.test.Logf("killed %v after SIGTERM", soakKillAfter)
		_ = cmd.Process.Kill() // the process may have ended
		<-ended
	}
}

func (run *soakRun) isEnding() bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	return run.ending
}

// client sends requests on one connection for as long as it stays open, and opens a new one afterwards unless the
// shutdown has started.
func (run *soakRun) client(number int, random *rand.Rand) {
	for connection := 0; !run.isEnding(); connection++ {
		client, err := testserver.TryDial(run.test, run.router.address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for sent := 0; run.request(client, fmt.Sprintf("c%d-%d-%d", number, connection, sent), random); sent++ {
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		}
		client.Close()
	}
}

// request sends one request and reports whether its connection can be used for another one.
func (run *soakRun) request(client *testserver.Client, id string, random *rand.Rand) bool {
	isWrite := random.IntN(3) > 0
	class := "look"
	if isWrite {
		class = "job"
	}
	sent := time.Now()
	if client.Write(queryMessage(statementWithin(id, class, soakDeadline, 7))) != nil {
		return false // the request was not sent completely
	}
	answer := client.Until('Z')
	request := soakRequest{isWrite: isWrite, ended: answer.Ended}
	request.Job = check.Job{
		ID:           id,
		Sent:         sent,
		Deadline:     soakDeadline,
		Answered:     time.Now(),
		Code:         answer.Code,
		After:        answer.Detail,
		Disconnected: answer.Ended && !answer.Truncated,
		Truncated:    answer.Truncated,
	}
	if !answer.Ended {
		request.Answers = 1
	}
	run.mutex.Lock()
	run.requests = append(run.requests, request)
	run.mutex.Unlock()
	return !answer.Ended
}

// checkRequests fails the test if a request violates a rule. A request whose connection ended without an answer was not
// accepted, so it must not have reached a server.
func (run *soakRun) checkRequests() {
	run.test.Helper()
	logs := run.router.serverLogs()
	received := map[string]bool{}
	for _, log := range logs {
		for _, one := range log.Received {
			received[one.ID] = true
		}
	}
	var writes []check.Job
	for _, request := range run.requests {
		if request.ended && received[request.ID] {
			run.test.Errorf("%s reached a server, but its connection ended without an answer after %v",
				request.ID, request.Answered.Sub(request.Sent))
		}
		if request.isWrite {
			writes = append(writes, request.Job)
			continue
		}
		if took := request.Answered.Sub(request.Sent); !request.ended && took > soakDeadline+500*time.Millisecond {
			run.test.Errorf("%s was answered after %v, want within its deadline plus 500 ms", request.ID, took)
		}
	}
	for _, fault := range check.Jobs(writes, logs, nil) {
		run.test.Error(fault)
	}
	run.test.Logf("%d requests, %d of them writes", len(run.requests), len(writes))
	if len(run.requests) < soakClients {
		run.test.Error("the clients sent fewer requests than there are clients")
	}
}
