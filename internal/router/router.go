package router

import (
	"log/slog"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
)

// Audit is a sink for audit events.
type Audit interface {
	// Record stores one event. It must not block or make a system call.
	Record(event audit.Event)
}

// Router owns the balancer and all requests in flight.
type Router struct {
	loop      *eventloop.Loop
	limits    limits.Limits
	log       *slog.Logger
	audit     auditLog
	balancer  *balance.Balancer
	backends  Backends
	discovery DiscoveryPoller

	failoverQueue *failoverQueue // nil = writes are not queued during a failover
	siteMonitor   *siteMonitor   // nil = the state of sites is not tracked
	siteAdmission *siteAdmission // nil = the state of sites does not affect requests

	classes             map[string]balance.Class
	healthChecksEnabled bool
	instances           int // number of routers that share the load

	balancerEvents       []balance.Event // events for the balancer's next step
	balancerTimer        *eventloop.Timer
	inFlight             map[string]*request // by request.id
	openClientRequestIDs map[string]bool     // of unanswered requests
	departedWrites       departedWrites
	sharedIDs            SharedRequestIDs // nil = no ids are shared with another process
	streamed             streamedResponses
	lastRequestNumber    uint64
	shutdownDeadline     time.Duration // latest answer time of newly accepted requests, 0 = no limit
	counts               Counts
}

// New returns a Router without endpoints. If sink is nil, no audit records are written.
func New(
	loop *eventloop.Loop, lim limits.Limits, log *slog.Logger, cfg balance.Config, seed uint64, sink Audit,
) (*Router, error) {
	balancer, err := balance.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	classes := map[string]balance.Class{}
	for _, class := range cfg.Classes {
		classes[class.Name] = class
	}
	return &Router{
		loop:                 loop,
		limits:               lim,
		log:                  log,
		audit:                auditLog{sink: sink},
		balancer:             balancer,
		classes:              classes,
		healthChecksEnabled:  cfg.HealthChecks,
		instances:            cfg.Instances,
		inFlight:             map[string]*request{},
		openClientRequestIDs: map[string]bool{},
		departedWrites:       newDepartedWrites(),
		streamed:             streamedResponses{byEndpoint: map[string]int{}},
	}, nil
}

// Connect sets the backends and the discovery poller. It must be called once, before any other method.
func (r *Router) Connect(backends Backends, discovery DiscoveryPoller) {
	r.backends = backends
	r.discovery = discovery
}

// SetShutdownDeadline sets the time by which all requests accepted from now on are answered, even if their clients
// would wait longer: the platform may end the process after that.
func (r *Router) SetShutdownDeadline(at time.Duration) { r.shutdownDeadline = at }

// InFlight returns the number of requests that are unanswered or have an attempt in flight.
func (r *Router) InFlight() int { return len(r.inFlight) }

// IsWrite reports whether the requests of a class may change data, so that they must not be executed twice.
func (r *Router) IsWrite(class string) bool { return isWrite(r.classes[class]) }

func isWrite(class balance.Class) bool {
	return class.Idempotency != balance.Idempotent || class.Consistency == balance.ConsistencyWrite
}

// mustRunOnce reports whether a request of the class must not run again, not even if its client sends it again.
func (r *Router) mustRunOnce(class string) bool {
	return r.classes[class].Idempotency == balance.NonIdempotent
}

// isIdempotent reports whether the request may safely be repeated, and rejected even if it may have been executed.
func (r *Router) isIdempotent(req *request) bool {
	return r.classes[req.Class].Idempotency == balance.Idempotent
}

// OrderingOf returns the ordering that the requests of a class need relative to earlier ones on their connection.
func (r *Router) OrderingOf(class string) Ordering {
	consistency := r.classes[class].Consistency
	return Ordering{
		Writes:         r.IsWrite(class),
		ReadsOwnWrites: consistency == balance.ConsistencySession,
		ReadsAllWrites: consistency == balance.ConsistencyLatest,
	}
}
