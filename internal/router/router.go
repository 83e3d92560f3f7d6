package router

import (
	"log/slog"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
)

// Audit stores audit events.
type Audit interface {
	// Record stores one event. It never blocks and makes no system call.
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
	siteMonitor   *siteMonitor   // nil = sites are not followed
	siteAdmission *siteAdmission // nil = the state of sites changes nothing for requests

	classes             map[string]balance.Class
	healthChecksEnabled bool
	instances           int // routers that share the work

	balancerEvents    []balance.Event // what the balancer has yet to hear
	balancerTimer     *eventloop.Timer
	inFlight          map[string]*request // by the router's own id
	openLabels        map[string]bool     // the labels of requests that are owed an answer
	lastRequestNumber uint64
	shutdownDeadline  time.Duration // requests accepted from now on are answered by then, 0 = no such limit
	counts            Counts
}

// New returns a Router that knows no endpoint yet. With a nil Audit no audit records are written.
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
		loop:                loop,
		limits:              lim,
		log:                 log,
		audit:               auditLog{sink: sink},
		balancer:            balancer,
		classes:             classes,
		healthChecksEnabled: cfg.HealthChecks,
		instances:           cfg.Instances,
		inFlight:            map[string]*request{},
		openLabels:          map[string]bool{},
	}, nil
}

// Connect names the peers; it is called once, before anything else.
func (r *Router) Connect(backends Backends, discovery DiscoveryPoller) {
	r.backends = backends
	r.discovery = discovery
}

// SetShutdownDeadline bounds the requests that are accepted from now on: they are answered by then, although their
// clients may wait longer, because the process may be ended after that.
func (r *Router) SetShutdownDeadline(at time.Duration) { r.shutdownDeadline = at }

// InFlight is the number of requests that are owed an answer or have an attempt in flight.
func (r *Router) InFlight() int { return len(r.inFlight) }

// IsWrite says whether the requests of a class may change data, so that they must not run twice.
func (r *Router) IsWrite(class string) bool { return isWrite(r.classes[class]) }

func isWrite(class balance.Class) bool {
	return class.Idempotency != balance.Idempotent || class.Consistency == balance.ConsistencyWrite
}

// isIdempotent says whether the request may be repeated and rejected freely.
func (r *Router) isIdempotent(req *request) bool {
	return r.classes[req.Class].Idempotency == balance.Idempotent
}

// OrderingOf tells the ordering of a class's requests.
func (r *Router) OrderingOf(class string) Ordering {
	consistency := r.classes[class].Consistency
	return Ordering{
		Writes:         r.IsWrite(class),
		ReadsOwnWrites: consistency == balance.ConsistencySession,
		ReadsAllWrites: consistency == balance.ConsistencyLatest,
	}
}
