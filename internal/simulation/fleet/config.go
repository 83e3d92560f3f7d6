// Package fleet is the laboratory's skin in process: the real core and decision module of many routers, in virtual time,
// before the machines of the model, with clients and an observer that sees all sides.
package fleet

import (
	"fmt"
	"time"

	"limeladder/balance"
	"limeladder/internal/simulation/model"
)

// Class is one kind of request.
type Class struct {
	balance.Class
	Share float64
	Work  model.WorkDistribution
	Long  bool // a replica applies nothing while it runs
}

// Config describes a fleet, its load and what befalls it.
type Config struct {
	Routers int
	Zones   []string
	Banks   int
	Members int // of each bank
	Spares  int // machines of each bank beside them that are not there until the fault add
	Kind    model.EndpointSpec
	Follow  model.Replication
	Classes []Class

	Use    float64 // part of all machines' capacity that is asked for in the mean
	Shape  []Step  // of the load over time, empty = steady
	Length time.Duration
	Bursts float64 // how uneven arrivals are: 0 = Poisson, otherwise the spread of the rate from one half second to the next

	Same, Cross, Client time.Duration // one way, within a zone, between zones, and from a client
	Jitter              float64

	Notice     [2]time.Duration // until discovery tells a change
	Silent     [2]time.Duration // and that a machine has gone without a word
	RoleLag    [2]time.Duration // and that another machine leads, 0 = it says who led at the start
	Pushed     bool             // lists are pushed to an agent of each router, otherwise routers ask discovery
	Grace      time.Duration    // sends to a machine must have ended so long after a router was told that it leaves
	Call       time.Duration    // what a call of discovery costs it
	CallWithin time.Duration    // the longest that a router waits for it

	Retries  int     // of a client that was refused or failed
	Honour   float64 // share of clients that wait as long as they are told
	Backoff  time.Duration
	Leave    float64 // share that leaves before it has an answer
	Sessions int
	Roam     float64       // share of sessions that any router may get, the others keep to one while it lives
	Comeback time.Duration // the longest that a router may tell a client to stay away

	ConnectWithin, ConnIdle time.Duration
	MemoryMB, Sockets       int
	MostTries               int
	ProbePrice, HeldBack    float64
	Cancel                  bool
	Checks                  balance.FreshnessCheck // what a machine does with a read that it is too far behind for
	Hold                    []string               // classes whose requests are held through a change of primary
	Sites                   string                 // what routers do about whole sites: one of SitesOff and so on
	HarmColdBudget          bool                   // the routers know nothing of cold machines: a change that does harm
	Salt                    uint64                 // the routers draw otherwise, the world does not: what chance alone does

	Faults []Fault
}

// Rate is how many requests a second come in the mean.
func (c *Config) Rate() float64 {
	work, share := 0.0, 0.0
	for _, k := range c.Classes {
		work += k.Share * k.Work.Mean.Seconds()
		share += k.Share
	}
	return c.Use * float64(c.Banks*c.Members*c.Kind.Cores) * c.Kind.Speed * share / work
}

// What routers do about whole sites: nothing, judge and plan, or refuse and pace returns too.
const (
	SitesOff   = ""
	SitesWatch = "watch"
	SitesAct   = "act"
)

// Update says whether a class is one of writes.
func Update(k *Class) bool { return k.Consistency == balance.ConsistencyWrite }

// Step is the load from a moment on, as a part of the usual; Ramp is how long it takes to get there.
type Step struct {
	At, Ramp time.Duration
	Part     float64
}

// Fault is something that befalls the fleet.
type Fault struct {
	At   time.Duration // from the start, or from On
	On   string        // what it follows on, "" = nothing: lost:BANK, led:BANK, down:MACHINE or up:MACHINE, the first time
	What string
	Who  []string // machines; what names a bank's primary or all of a zone is resolved when it is due
	For  time.Duration
	Part float64

	Delay, Jitter time.Duration // of a way
	Rate          int           // bytes a second of a way
}

// The kinds of faults; those of processes and of ways on sockets can be played by a rig only.
var (
	Faults             = []string{"kill", "hang", "drain", "slow", "sick", "remove", "add", "cut", "discovery", "routers", "suspend"}
	MultiprocessFaults = []string{"crash", "freeze", "term", "delay", "trickle", "reset", "lose"}
)

// Default is brisbane-signing: three routers before banks of three, in its figures.
func Default() Config {
	ms := time.Millisecond
	return Config{
		Routers: 3, Zones: []string{"a", "b", "c"}, Banks: 4, Members: 3, Length: 40 * time.Second, Use: 0.4,
		Kind: model.EndpointSpec{
			Cores: 3, Speed: 1, Slots: 24, QueueCapacity: 60, ContentionLoss: 0.12, ContentionThreshold: 5, SlowStartShare: 0.16, SlowStartWindow: 18 * time.Second,
			OverloadMultiple: 2.5, OverloadWindow: 2 * time.Second, RestartDelay: 6 * time.Second, MaxConnections: 480, ConnectionCost: 0.06, HandshakeWork: 4 * ms,
			HealthCheckWork: 300 * time.Microsecond, ReportInterval: 120 * ms, ReportNoise: 0.08, ErrorShare: 0.0005, DropsExpired: true,
		},
		Follow: model.Replication{
			ShipDelay: 8 * ms, ApplyTime: 12 * ms, DetectionDelay: [2]time.Duration{time.Second, 3 * time.Second},
			ElectionDelay: [2]time.Duration{0, 500 * ms}, SwitchoverDelay: [2]time.Duration{470 * ms, 940 * ms}, ResyncDelay: 500 * ms,
		},
		Classes: []Class{
			{
				Class: balance.Class{Name: "queue-view", LatencyObjective: 300 * ms, ClientTimeout: 1200 * ms, PriorityWeight: 2, LateWeightShare: 0.2, Consistency: balance.ConsistencyBounded, MaxStaleness: 500 * ms},
				Share: 0.42, Work: model.WorkDistribution{Mean: 65 * ms, Variation: 1.1},
			},
			{
				Class: balance.Class{Name: "own-jobs", LatencyObjective: 400 * ms, ClientTimeout: 1500 * ms, PriorityWeight: 2, LateWeightShare: 0.3, Consistency: balance.ConsistencySession},
				Share: 0.3, Work: model.WorkDistribution{Mean: 50 * ms, Exponential: true},
			},
			{
				Class: balance.Class{Name: "audit-report", LatencyObjective: 5 * time.Second, ClientTimeout: 10 * time.Second, PriorityWeight: 6, LateWeightShare: 0.2, Consistency: balance.ConsistencyAny},
				Share: 0.02, Work: model.WorkDistribution{Mean: 1100 * ms, Variation: 1}, Long: true,
			},
			{
				Class: balance.Class{Name: "key-check", LatencyObjective: 300 * ms, ClientTimeout: 1200 * ms, PriorityWeight: 3, LateWeightShare: 0.3, Consistency: balance.ConsistencyLatest},
				Share: 0.18, Work: model.WorkDistribution{Mean: 30 * ms, Exponential: true},
			},
			{
				Class: balance.Class{Name: "submit-job", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, PriorityWeight: 3, LateWeightShare: 0.5, Consistency: balance.ConsistencyWrite, Idempotency: balance.NonIdempotent},
				Share: 0.08, Work: model.WorkDistribution{Mean: 100 * ms, Exponential: true},
			},
		},
		Same: 200 * time.Microsecond, Cross: ms, Client: 700 * time.Microsecond, Jitter: 0.2,
		Notice: [2]time.Duration{870 * ms, 4300 * ms}, Silent: [2]time.Duration{6600 * ms, 12 * time.Second},
		Call: 5 * ms, CallWithin: 2 * time.Second,
		Retries: 2, Honour: 0.6, Backoff: 60 * ms, Leave: 0.005, Sessions: 400, Roam: 1, Comeback: 2 * time.Second, Grace: 2 * time.Second, Checks: balance.FreshnessCheckReject,
		ConnectWithin: 250 * ms, ConnIdle: 15 * time.Second, MemoryMB: 64, Sockets: 2048, MostTries: 10, ProbePrice: 0.017, HeldBack: 0.3, Cancel: true,
	}
}

// Check says in one line what is wrong with it.
func (c *Config) Check() error {
	bad := func(field, why string) error { return fmt.Errorf("%s: %s", field, why) }
	switch {
	case c.Routers < 1 || c.Routers > 2000:
		return bad("routers", "1 to 2000 are possible")
	case len(c.Zones) == 0:
		return bad("zones", "at least one is needed")
	case c.Banks < 1 || c.Members < 1 || c.Spares < 0 || c.Banks*(c.Members+c.Spares) > 20_000:
		return bad("banks", "1 to 20,000 machines are possible")
	case c.Length <= 0 || c.Length > 24*time.Hour:
		return bad("length", "up to a day is possible")
	case c.Use <= 0 || c.Use > 20:
		return bad("use", "a part of all capacity is needed")
	case len(c.Classes) == 0:
		return bad("classes", "at least one is needed")
	case c.Sites != SitesOff && c.Sites != SitesWatch && c.Sites != SitesAct:
		return bad("sites", c.Sites+" is neither watch nor act")
	case c.Checks == balance.FreshnessCheckHold:
		return bad("checks", "machines that wait are not emulated")
	case c.Kind.Cores < 1 || c.Kind.Slots < 1 || c.Kind.Speed <= 0:
		return bad("machine", "cores, slots and speed are needed")
	}
	sum := 0.0
	for _, k := range c.Classes {
		if k.Share < 0 || k.Work.Mean <= 0 || k.ClientTimeout <= 0 {
			return bad("classes", k.Name+" needs a share, its work and a deadline")
		}
		sum += k.Share
	}
	if sum <= 0 {
		return bad("classes", "no share at all")
	}
	for _, f := range c.Faults {
		known := false
		for _, w := range append(MultiprocessFaults, Faults...) {
			known = known || w == f.What
		}
		if !known {
			return bad("faults", "no fault is called "+f.What)
		}
	}
	return nil
}

// balance is what each router is told.
func (c *Config) balance(zone string) balance.Config {
	b := balance.Config{
		Instances: c.Routers, Zone: zone, PollDiscovery: !c.Pushed, PollWithin: 5 * time.Second, DrainGrace: c.Grace, TimerResolution: 5 * time.Millisecond, FreshnessCheck: c.Checks, ClientSessionTokens: true,
		HealthChecks: true, HealthCheckCost: c.ProbePrice, LateRejectCost: c.HeldBack, Cancellation: c.Cancel, RetryAfter: true, MaxRetryAfter: c.Comeback, MaxAttempts: c.MostTries,
		SlowStartFrom: c.Kind.SlowStartShare, SlowStartWindow: c.Kind.SlowStartWindow, OverloadMultiple: c.Kind.OverloadMultiple, OverloadWindow: c.Kind.OverloadWindow,
	}
	if c.HarmColdBudget {
		b.SlowStartFrom, b.SlowStartWindow = 1, 0
	}
	for _, k := range c.Classes {
		b.Classes = append(b.Classes, k.Class)
	}
	return b
}
