// Package fleet runs many routers in one process and in virtual time: the real router core and decision module, with
// simulated endpoints, discovery and clients, and an observer that checks the rules from all sides.
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
	Share float64 // relative frequency; the shares of all classes need not add up to 1
	Work  model.WorkDistribution
	Long  bool // a replica applies nothing of the replication log while it executes one
}

// Config describes a fleet, its load and its faults.
type Config struct {
	Routers int
	Zones   []string
	Banks   int                // replica groups
	Members int                // of each replica group
	Spares  int                // further endpoints of each replica group that join with the fault add
	Kind    model.EndpointSpec // of every endpoint
	Follow  model.Replication  // of every replica group
	Classes []Class

	Use    float64 // mean load, as a share of the capacity of all endpoints
	Shape  []Step  // of the load over time; empty means steady
	Length time.Duration
	Bursts float64 // relative standard deviation of the rate per half second; 0 means Poisson arrivals

	Same, Cross, Client time.Duration // one-way network delays: within a zone, between zones, and from a client
	Jitter              float64       // mean of the exponential jitter, as a share of the delay

	Notice     [2]time.Duration // until discovery reports a change; from, to
	Silent     [2]time.Duration // until it reports an endpoint that hangs or died without deregistering
	RoleLag    [2]time.Duration // until it reports another primary; 0 means it keeps listing the initial primary
	Pushed     bool             // lists are pushed to an agent of each router, otherwise routers poll discovery
	Grace      time.Duration    // how long a notified router may send to an endpoint that leaves
	Call       time.Duration    // processing time of a call at discovery
	CallWithin time.Duration    // how long a router waits for a call

	Retries  int     // of a client whose request was rejected or failed
	Honour   float64 // share of clients that wait for the Retry-After time
	Backoff  time.Duration
	Leave    float64 // share of clients that disconnect before they have an answer
	Sessions int
	Roam     float64       // share of sessions that use any router; the others use one router while it runs
	Comeback time.Duration // the longest Retry-After time of a router

	ConnectWithin, ConnIdle time.Duration
	MemoryMB, Sockets       int
	MostTries               int     // attempts of a router for one request
	ProbePrice, HeldBack    float64 // HealthCheckCost and LateRejectCost of balance.Config
	Cancel                  bool
	Checks                  balance.FreshnessCheck // what an endpoint does with a read that it is too far behind for
	Hold                    []string               // classes whose requests are queued during a change of primary
	Sites                   string                 // site failover: SitesOff, SitesWatch or SitesAct
	HarmColdBudget          bool                   // a deliberate defect: the routers ignore slow start
	Salt                    uint64                 // changes only the routers' random numbers, to show the effect of chance

	Faults []Fault
}

// Rate returns the mean number of requests per second.
func (c *Config) Rate() float64 {
	work, share := 0.0, 0.0
	for _, k := range c.Classes {
		work += k.Share * k.Work.Mean.Seconds()
		share += k.Share
	}
	return c.Use * float64(c.Banks*c.Members*c.Kind.Cores) * c.Kind.Speed * share / work
}

// What routers do about site failover: nothing, monitor and plan, or also reject requests and ramp up recovered sites.
const (
	SitesOff   = ""
	SitesWatch = "watch"
	SitesAct   = "act"
)

// Update reports whether the requests of a class are writes.
func Update(k *Class) bool { return k.Consistency == balance.ConsistencyWrite }

// Step changes the load at a time to Part times the configured load, in a linear ramp of length Ramp.
type Step struct {
	At, Ramp time.Duration
	Part     float64
}

// Fault is a fault that is injected into the fleet.
type Fault struct {
	At   time.Duration // from the start, or from On
	On   string        // trigger, when it first occurs: lost:GROUP, led:GROUP, down:ENDPOINT, up:ENDPOINT; "" for none
	What string
	Who  []string // endpoints, for cut links; primaries, replicas, groups and zones are resolved when the fault starts
	For  time.Duration
	Part float64 // for slow the speed factor, for sick the share of errors, for routers the share of routers

	Delay, Jitter time.Duration // of a link
	Rate          int           // of a link, in bytes per second
}

// The kinds of faults. MultiprocessFaults affect processes or sockets, which only a multi-process test has.
var (
	Faults = []string{
		"kill", "hang", "drain", "slow", "sick", "remove", "add", "cut", "discovery", "routers",
		"suspend",
	}
	MultiprocessFaults = []string{"crash", "freeze", "term", "delay", "trickle", "reset", "lose"}
)

// Default returns the figures of the deployment brisbane-signing: three routers and replica groups of three.
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

// Check returns an error of one line that names the invalid field, or nil.
func (c *Config) Check() error {
	bad := func(field, why string) error { return fmt.Errorf("%s: %s", field, why) }
	switch {
	case c.Routers < 1 || c.Routers > 2000:
		return bad("routers", "must be from 1 to 2000")
	case len(c.Zones) == 0:
		return bad("zones", "must not be empty")
	case c.Banks < 1 || c.Members < 1 || c.Spares < 0 || c.Banks*(c.Members+c.Spares) > 20_000:
		return bad("banks", "1 to 20,000 machines are possible")
	case c.Length <= 0 || c.Length > 24*time.Hour:
		return bad("length", "must be positive and at most 24 hours")
	case c.Use <= 0 || c.Use > 20:
		return bad("use", "must be a share of the capacity above 0 and at most 20")
	case len(c.Classes) == 0:
		return bad("classes", "must not be empty")
	case c.Sites != SitesOff && c.Sites != SitesWatch && c.Sites != SitesAct:
		return bad("sites", c.Sites+" is neither watch nor act")
	case c.Checks == balance.FreshnessCheckHold:
		return bad("checks", "hold is not simulated")
	case c.Kind.Cores < 1 || c.Kind.Slots < 1 || c.Kind.Speed <= 0:
		return bad("machine", "cores, slots and speed must be positive")
	}
	sum := 0.0
	for _, k := range c.Classes {
		if k.Share < 0 || k.Work.Mean <= 0 || k.ClientTimeout <= 0 {
			return bad("classes",
				k.Name+" must have a share of at least 0, positive work and a positive client timeout")
		}
		sum += k.Share
	}
	if sum <= 0 {
		return bad("classes", "the shares must not all be 0")
	}
	for _, f := range c.Faults {
		known := false
		for _, w := range append(MultiprocessFaults, Faults...) {
			known = known || w == f.What
		}
		if !known {
			return bad("faults", "unknown fault "+f.What)
		}
	}
	return nil
}

// balanceConfig returns the decision module's configuration of the routers in a zone.
func (c *Config) balanceConfig(zone string) balance.Config {
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
