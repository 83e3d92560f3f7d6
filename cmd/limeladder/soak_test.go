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

// soakSeedsVariable names the seeds of a long soak, as FIRST-LAST. Without it a short one is played.
const soakSeedsVariable = "LIMELADDER_SOAK_SEEDS"

const (
	soakFirstSeed    = 1
	soakLastSeed     = 60
	soakAtOnce       = 4 // runs side by side: the machine must not be what fails
	soakClients      = 8
	soakDeadline     = 2500 * time.Millisecond
	soakCrowd        = 300 // connections that ask for nothing
	soakRunBefore    = 1500 * time.Millisecond
	soakMostHeldUp   = 150 * time.Millisecond // a router may be held up for so long
	soakFileLimitKiB = 24                     // of each file of a router whose disk is full
)

// soakKillAfter is when the platform kills a process that was told to end, at the earliest: the longest deadline of the
// settings, which counts as 3 s at most, and 0.7 s.
const soakKillAfter = 3*time.Second + 700*time.Millisecond

// soakPlan is what a seed plays.
type soakPlan struct {
	logOutput   string // "read", "hangs", "ended" or "full"
	logLevel    string
	inherited   bool // on a socket that the platform holds; a newcomer is possible
	newcomer    bool // a second process starts before the end, and is ended at once
	store       bool
	diskIsFull  bool // files can't grow: those of the store and the shared folder
	crowd       bool
	heldUp      bool // the process stands still now and then
	reloads     int  // SIGHUP while it drains
	drainFirst  bool // an operator's call before the signal
	secondTerm  time.Duration
	serverDelay time.Duration // longest
}

func newSoakPlan(random *rand.Rand) soakPlan {
	chance := func(percent int) bool { return random.IntN(100) < percent }
	plan := soakPlan{
		logOutput:   []string{"read", "hangs", "ended", "full"}[random.IntN(4)],
		logLevel:    []string{"info", "debug"}[random.IntN(2)],
		inherited:   chance(50),
		store:       chance(50),
		crowd:       chance(30),
		heldUp:      chance(40),
		reloads:     random.IntN(4),
		drainFirst:  chance(30),
		secondTerm:  time.Duration(random.IntN(600)) * time.Millisecond,
		serverDelay: time.Duration(1+random.IntN(300)) * time.Millisecond,
	}
	plan.newcomer = plan.inherited && chance(60)
	plan.diskIsFull = plan.store && chance(50)
	return plan
}

// soakRequest is one request as its client saw it.
type soakRequest struct {
	check.Job
	isWrite bool
	ended   bool // the connection ended in place of an answer
}

// soakRun is a router, its clients and what they saw.
type soakRun struct {
	test   *testing.T
	router *routerProcess
	plan   soakPlan
	random *rand.Rand
	wait   sync.WaitGroup

	mutex    sync.Mutex
	requests []soakRequest
	ending   bool // the process was told to end: clients open no further connections
}

// Guards against requests that are lost or run twice, and processes that hang, where a process is told to end while its
// clients go on, its log hangs or is gone, its disk is full, it stands still, or another process comes and goes.
func TestSoak(t *testing.T) {
	first, last := soakSeeds(t)
	places := make(chan bool, soakAtOnce)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			places <- true
			defer func() { <-places }()
			playSoak(t, seed)
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

func playSoak(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	run := &soakRun{test: t, random: random, plan: newSoakPlan(random)}
	t.Logf("%+v", run.plan)
	run.start()
	for i := range soakClients {
		clientRandom := rand.New(rand.NewPCG(seed, uint64(i+1)))
		run.wait.Go(func() { run.client(i, clientRandom) })
	}
	stopHolding := run.holdUp()
	time.Sleep(soakRunBefore)
	if run.plan.crowd {
		run.crowd()
	}
	if run.plan.newcomer {
		run.newcomer()
	}
	if run.plan.drainFirst {
		run.router.callAdminAPI("router/drain", 200)
	}
	run.end()
	stopHolding()
	run.wait.Wait()
	run.judge()
}

// start runs the router as the plan says, on its own socket or an inherited one.
func (run *soakRun) start() {
	run.test.Helper()
	delays := rand.New(rand.NewPCG(run.random.Uint64(), 0))
	var mutex sync.Mutex
	act := func(byte, string) testserver.Act {
		mutex.Lock()
		defer mutex.Unlock()
		return testserver.Act{Delay: time.Duration(delays.Int64N(int64(run.plan.serverDelay)))}
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

// command returns the command of a process of the router.
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

// limitFileSizes makes a command of programCommand fail to write files beyond a size, as on a disk that is full.
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

// holdUp stops the process for moments until the returned function is called.
func (run *soakRun) holdUp() (stop func()) {
	if !run.plan.heldUp {
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
			// A process that has ended takes no signals: nothing is held up then.
			if run.router.cmd.Process.Signal(syscall.SIGSTOP) != nil {
				return
			}
			time.Sleep(time.Duration(random.Int64N(int64(soakMostHeldUp))))
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

// crowd opens connections that ask for nothing, and leaves them to the router.
func (run *soakRun) crowd() {
	for range soakCrowd {
		conn, err := net.DialTimeout("tcp", run.router.address, time.Second)
		if err != nil {
			return // the router takes no more
		}
		run.test.Cleanup(func() { conn.Close() })
	}
}

// newcomer starts a second process of the router and ends it at once, before it is ready or a moment later.
func (run *soakRun) newcomer() {
	run.test.Helper()
	admin := run.router.adminAddress
	cmd := run.command()
	run.router.adminAddress = admin // operators call the first one
	startProgram(run.test, cmd)
	time.Sleep(time.Duration(run.random.IntN(300)) * time.Millisecond)
	sig := []os.Signal{syscall.SIGTERM, syscall.SIGKILL}[run.random.IntN(2)]
	signalProcess(run.test, cmd, sig)
}

// end tells the process to end, with more signals behind it, and kills it when the platform would at the earliest.
func (run *soakRun) end() {
	run.test.Helper()
	run.mutex.Lock()
	run.ending = true
	run.mutex.Unlock()
	cmd := run.router.cmd
	killAt := time.Now().Add(soakKillAfter)
	signalProcess(run.test, cmd, syscall.SIGTERM)
	signals := []func(){func() {
		time.Sleep(run.plan.secondTerm)
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
		run.wait.Go(send)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if code := exitCode(err); err != nil || code != 0 {
			run.test.Errorf("the process ended with code %d: %v", code, err)
		}
	case <-time.After(time.Until(killAt)):
		run.test.Logf("killed %v after SIGTERM", soakKillAfter)
		_ = cmd.Process.Kill() // a process that has ended needs none
		<-ended
	}
}

func (run *soakRun) isEnding() bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	return run.ending
}

// client sends requests on one connection for as long as that stays open, and on another one until the process is told
// to end.
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

// request sends one request and says whether its connection goes on.
func (run *soakRun) request(client *testserver.Client, id string, random *rand.Rand) bool {
	isWrite := random.IntN(3) > 0
	class := "look"
	if isWrite {
		class = "job"
	}
	sent := time.Now()
	if client.Write(queryMessage(statementWithin(id, class, soakDeadline, 7))) != nil {
		return false // it was never sent whole
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

// judge applies the rules to each request. One that crosses the end of its connection was not taken, so it must not
// have come to a server.
func (run *soakRun) judge() {
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
			run.test.Errorf("%s was taken, and its connection ended with no answer after %v",
				request.ID, request.Answered.Sub(request.Sent))
		}
		if request.isWrite {
			writes = append(writes, request.Job)
			continue
		}
		if took := request.Answered.Sub(request.Sent); !request.ended && took > soakDeadline+500*time.Millisecond {
			run.test.Errorf("%s was answered after %v", request.ID, took)
		}
	}
	for _, fault := range check.Jobs(writes, logs, nil) {
		run.test.Error(fault)
	}
	run.test.Logf("%d requests, %d of them writes", len(run.requests), len(writes))
	if len(run.requests) < soakClients {
		run.test.Error("hardly a request was made")
	}
}
