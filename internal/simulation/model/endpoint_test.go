package model

import (
	"testing"
	"time"

	"limeladder/internal/simulation/event"
)

const startTime = 1000 * time.Second

// newReplicaGroup returns the clock and the world of a new replica group, and its primary.
func newReplicaGroup(spec EndpointSpec, endpoints int) (*event.Clock, *World, *Endpoint) {
	clock := event.New(startTime)
	world := New(clock, 1)
	group := world.AddReplicaGroup(1, Replication{
		ShipDelay:      8 * time.Millisecond,
		ApplyTime:      time.Millisecond,
		DetectionDelay: [2]time.Duration{time.Second, time.Second},
		ResyncDelay:    100 * time.Millisecond,
	})
	for i := range endpoints {
		world.AddEndpoint(string(rune('a'+i)), "z", spec, group)
	}
	return clock, world, world.Endpoints[0]
}

func endpointSpec() EndpointSpec {
	return EndpointSpec{
		Cores: 1, Speed: 1, Slots: 1, QueueCapacity: 2, SlowStartShare: 0.16, SlowStartWindow: 18 * time.Second,
	}
}

// outcomes holds the outcomes of statements by name. Each statement must end exactly once.
type outcomes map[string][]Outcome

// statement returns a statement whose outcome is recorded under name.
func (ended outcomes) statement(name string, work time.Duration) *Statement {
	return &Statement{Work: work, Done: func(outcome Outcome, _ time.Duration, _ bool) {
		ended[name] = append(ended[name], outcome)
	}}
}

// check reports an error unless exactly the statements in want have ended, each once and with the given outcome.
func (ended outcomes) check(t *testing.T, want map[string]Outcome) {
	t.Helper()
	for name, outcome := range want {
		if len(ended[name]) != 1 || ended[name][0] != outcome {
			t.Errorf("%s has the outcomes %v, want %v once", name, ended[name], outcome)
		}
	}
	for name := range ended {
		if _, ok := want[name]; !ok {
			t.Errorf("%s has the outcomes %v, want none yet", name, ended[name])
		}
	}
}

// A queued statement can be cancelled on any endpoint, a running one only on an endpoint with CancelsRunning.
// Cancelling a statement that has ended does nothing.
func TestCancelQueuedAndRunning(t *testing.T) {
	for _, cancelsRunning := range []bool{false, true} {
		spec := endpointSpec()
		spec.CancelsRunning = cancelsRunning
		clock, _, endpoint := newReplicaGroup(spec, 1)
		ended := outcomes{}
		running := ended.statement("runs", 100*time.Millisecond)
		queued := ended.statement("waits", time.Second)
		next := ended.statement("next", 100*time.Millisecond)
		endpoint.Submit(running)
		endpoint.Submit(queued)
		endpoint.Submit(next)
		clock.Run(startTime + 50*time.Millisecond)
		endpoint.Cancel(queued)
		endpoint.Cancel(running)
		clock.Run(startTime + 160*time.Millisecond)
		if cancelsRunning {
			ended.check(t, map[string]Outcome{"runs": Cancelled, "waits": Cancelled, "next": Served})
		} else {
			ended.check(t, map[string]Outcome{"runs": Served, "waits": Cancelled})
		}
		clock.Run(startTime + time.Second)
		endpoint.Cancel(running) // has ended already
		endpoint.Cancel(next)
		endpoint.Cancel(&Statement{})
		ended.check(t, map[string]Outcome{"runs": outcomeOfRunning(cancelsRunning), "waits": Cancelled, "next": Served})
	}
}

func outcomeOfRunning(cancelsRunning bool) Outcome {
	if cancelsRunning {
		return Cancelled
	}
	return Served
}

// An endpoint that goes down disconnects each of its statements once, and those submitted while it is down. It restarts
// with cold caches and a new connection epoch.
func TestKillAndRestart(t *testing.T) {
	clock, _, endpoint := newReplicaGroup(endpointSpec(), 1)
	ended := outcomes{}
	endpoint.Connect(func(ok, _ bool, epoch int) {
		if !ok || epoch != 0 {
			t.Error(ok, epoch)
		}
	})
	endpoint.Submit(ended.statement("runs", time.Second))
	endpoint.Submit(ended.statement("waits", time.Second))
	clock.Run(startTime + 10*time.Millisecond)
	endpoint.Kill("test", time.Second)
	endpoint.Kill("test", time.Millisecond)
	endpoint.Submit(ended.statement("later", time.Second))
	endpoint.Connect(func(ok, full bool, _ int) {
		if ok || full {
			t.Error("Connect to an endpoint that is down reports ok or full, want neither")
		}
	})
	ended.check(t, map[string]Outcome{"runs": Disconnected, "waits": Disconnected, "later": Disconnected})
	if endpoint.Connections() != 0 || endpoint.Epoch() != 1 || endpoint.Capacity() != 0 || endpoint.Cause() != "test" {
		t.Errorf("want no connections, epoch 1, capacity 0 and cause test after Kill: %+v", endpoint)
	}
	clock.Run(startTime + 1100*time.Millisecond)
	if endpoint.State() != Up || !endpoint.WarmingUp() {
		t.Errorf("after the restart the state is %v, warming up: %v", endpoint.State(), endpoint.WarmingUp())
	}
	if factor := endpoint.SlowStartFactor(); factor < 0.16 || factor > 0.17 {
		t.Errorf("after the restart the slow-start factor is %.2f, want 0.16 to 0.17", factor)
	}
	endpoint.Disconnect(0) // a connection of the previous epoch
	if endpoint.Connections() != 0 {
		t.Error("closing a connection of the previous epoch changes the number of connections")
	}
	clock.Run(startTime + 30*time.Second)
	if endpoint.WarmingUp() {
		t.Error("endpoint is still warming up 29 s after its restart")
	}
	endpoint.Remove()
	clock.Run(startTime + 100*time.Second)
	if endpoint.State() != Down || !endpoint.Removed() {
		t.Error("after Remove the endpoint is not down or not reported as removed")
	}
}

// An endpoint that fails under overload and has no restart delay stays down, even if it is still offered work.
func TestOverloadedEndpointStaysDown(t *testing.T) {
	spec := endpointSpec()
	spec.OverloadMultiple = 2.5
	spec.OverloadWindow = 200 * time.Millisecond
	spec.QueueCapacity = 1 << 20
	clock, world, primary := newReplicaGroup(spec, 3)
	var feed func()
	feed = func() {
		primary.Submit(&Statement{Work: 50 * time.Millisecond, Done: func(Outcome, time.Duration, bool) {}})
		clock.After(10*time.Millisecond, feed)
	}
	feed()
	clock.Run(startTime + 60*time.Second)
	if primary.State() != Down || world.Groups[0].PrimaryChanges() != 1 || primary.IsPrimary() {
		t.Errorf("state %v, %d primary changes; want down and 1", primary.State(), world.Groups[0].PrimaryChanges())
	}
}

// An endpoint that hangs answers nothing, including handshakes. When it resumes it runs the statements submitted during
// the hang, and rejects writes among them if it is no longer the primary.
func TestHangAnswersNothing(t *testing.T) {
	clock, world, primary := newReplicaGroup(endpointSpec(), 2)
	ended := outcomes{}
	primary.Hang(5 * time.Second)
	primary.Hang(time.Millisecond)
	primary.Submit(ended.statement("read", 10*time.Millisecond))
	write := ended.statement("write", 10*time.Millisecond)
	write.Write = true
	primary.Submit(write)
	primary.Connect(func(bool, bool, int) { t.Error("endpoint that hangs answers a connection attempt") })
	primary.RequestReport(func(LoadReport, bool) { t.Error("endpoint that hangs answers a health check") })
	clock.Run(startTime + 4*time.Second)
	ended.check(t, map[string]Outcome{})
	if world.Groups[0].Primary == primary || !world.Groups[0].AcceptsWrites() {
		t.Fatal("no successor was elected while the primary hung")
	}
	clock.Run(startTime + 6*time.Second)
	ended.check(t, map[string]Outcome{"read": Served, "write": ReadOnly})
	// A primary whose hang is shorter than the detection delay stays the primary.
	successor := world.Groups[0].Primary
	successor.Hang(500 * time.Millisecond)
	clock.Run(startTime + 20*time.Second)
	if world.Groups[0].Primary != successor || !world.Groups[0].AcceptsWrites() || world.Groups[0].PrimaryChanges() != 1 {
		t.Errorf("%d changes of primary after an undetected hang, want 1", world.Groups[0].PrimaryChanges())
	}
}

// Connections beyond MaxConnections and statements beyond the slots and the queue are rejected. A queued statement
// whose deadline has passed isn't run.
func TestRejectsBeyondCapacity(t *testing.T) {
	spec := endpointSpec()
	spec.MaxConnections = 1
	spec.HandshakeWork = 5 * time.Millisecond
	spec.DropsExpired = true
	clock, _, endpoint := newReplicaGroup(spec, 1)
	ended := outcomes{}
	var got []bool
	for range 2 {
		endpoint.Connect(func(ok, full bool, _ int) { got = append(got, ok, full) })
	}
	late := ended.statement("late", time.Millisecond)
	late.Deadline = startTime + 50*time.Millisecond
	endpoint.Submit(ended.statement("runs", 100*time.Millisecond))
	endpoint.Submit(late)
	endpoint.Submit(ended.statement("waits", time.Millisecond))
	endpoint.Submit(ended.statement("excess", time.Millisecond))
	clock.Run(startTime + time.Second)
	ended.check(t, map[string]Outcome{"runs": Served, "late": Expired, "waits": Served, "excess": QueueFull})
	if len(got) != 4 || got[0] || !got[1] || !got[2] || got[3] {
		t.Errorf("ok and full of two connections: %v, want false true true false", got)
	}
	endpoint.Disconnect(endpoint.Epoch())
	if endpoint.Connections() != 0 {
		t.Error(endpoint.Connections())
	}
}

// A replica rejects a read whose MinPosition it hasn't reached. After a restart it lags until it has caught up.
func TestReplicaCatchesUp(t *testing.T) {
	clock, world, primary := newReplicaGroup(endpointSpec(), 2)
	replica := world.Endpoints[1]
	ended := outcomes{}
	write := ended.statement("write", time.Millisecond)
	write.Write = true
	primary.Submit(write)
	clock.Run(startTime + 2*time.Millisecond)
	read := ended.statement("early", time.Millisecond)
	read.MinPosition = clock.Now()
	replica.Submit(read)
	clock.Run(startTime + 100*time.Millisecond)
	read = ended.statement("there", time.Millisecond)
	read.MinPosition = startTime + 2*time.Millisecond
	replica.Submit(read)
	clock.Run(startTime + 200*time.Millisecond)
	ended.check(t, map[string]Outcome{"write": Served, "early": TooStale, "there": Served})
	replica.Kill("test", 5*time.Second)
	clock.Run(startTime + 5210*time.Millisecond)
	if lag := clock.Now() - replica.Position(); lag < 4*time.Second {
		t.Errorf("lag is %v right after the restart, want at least 4s", lag)
	}
	clock.Run(startTime + 6*time.Second)
	if lag := clock.Now() - replica.Position(); lag > 20*time.Millisecond {
		t.Errorf("lag is %v once the replica had time to catch up, want at most 20ms", lag)
	}
	primary.Drain()
	clock.Run(startTime + 7*time.Second)
	if !replica.IsPrimary() || primary.IsPrimary() {
		t.Error("a draining primary has not handed over to the replica")
	}
}

// A load report is reused until it is as old as the report interval.
func TestLoadReportIsCached(t *testing.T) {
	spec := endpointSpec()
	spec.ReportInterval = 100 * time.Millisecond
	spec.HealthCheckWork = time.Millisecond
	clock, world, _ := newReplicaGroup(spec, 2)
	replica := world.Endpoints[1]
	var got []LoadReport
	ask := func() { replica.RequestReport(func(report LoadReport, _ bool) { got = append(got, report) }) }
	ask()
	clock.Run(startTime + 90*time.Millisecond)
	ask()
	clock.Run(startTime + 150*time.Millisecond)
	ask()
	clock.Run(startTime + 160*time.Millisecond)
	if len(got) != 3 {
		t.Fatalf("got %d reports, want 3", len(got))
	}
	if got[0].Position != got[1].Position || got[2].Position != startTime+142*time.Millisecond || got[0].Primary {
		t.Fatalf("want the second report reused and the third made anew: %+v", got)
	}
}

// A spare is neither listed nor elected, and Start doesn't start it. Once it has joined it is listed as ready, follows
// the primary and can be elected.
func TestSpareJoins(t *testing.T) {
	clock := event.New(1000 * time.Second)
	world := New(clock, 1)
	group := world.AddReplicaGroup(1, Replication{
		ShipDelay:      time.Millisecond,
		ApplyTime:      time.Millisecond,
		DetectionDelay: [2]time.Duration{time.Second, time.Second},
		ResyncDelay:    time.Millisecond,
	})
	spec := EndpointSpec{Cores: 1, Speed: 1, Slots: 4, QueueCapacity: 4, SlowStartShare: 0.5, SlowStartWindow: time.Second}
	first := world.AddEndpoint("first", "a", spec, group)
	spare := world.AddEndpoint("spare", "b", spec, group)
	spare.Reserve()
	registry := NewRegistry(world, NoticeDelays{}, func([2]time.Duration) time.Duration { return 0 }, func(int) {})
	listed := func() (out string) {
		registry.Since(0, func(listing Listing) { out += listing.Endpoint.ID + " " + listing.State.String() + ";" })
		return out
	}
	spare.Start()
	clock.Run(1001 * time.Second)
	if got := listed(); got != "first ready;" || spare.State() != Down {
		t.Fatalf("before the spare joins: listed %q, spare state %v", got, spare.State())
	}
	for range 300 { // enough for the log to be trimmed
		group.appendCommit(clock.Now())
	}
	spare.Join()
	spare.Join()
	clock.Run(1003 * time.Second)
	if got := listed(); got != "first ready;spare ready;" || spare.State() != Up || spare.Position() < 1001*time.Second {
		t.Fatalf("after the spare joined: listed %q, spare state %v, position %v", got, spare.State(), spare.Position())
	}
	first.Kill("killed", 0)
	clock.Run(1010 * time.Second)
	if !spare.IsPrimary() {
		t.Error("spare that joined was not elected primary")
	}
}
