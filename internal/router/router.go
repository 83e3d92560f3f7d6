// Package router is the core: requests, attempts and outcomes, and no wire. A request passes the stages take in,
// admit, route, send, relay and book, each in a file of its own. All of it runs in the loop's goroutine.
package router

import (
	"log/slog"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
)

// Job is what a front wants done. Only the front and the servers look inside.
type Job any

// Answer is what a db machine said to a job. Only the front and the servers look inside.
type Response any

// Client is the front's side of one request; exactly one of Served, Refused, Failed and Cut is called, once.
type Client interface {
	// Begun says that a long answer is passed on as it comes: this is what stands before its long row. Part brings the
	// row, piece by piece, and Served what stands behind it.
	ResponseStarted(a Response, f Flow)
	ResponsePart(p []byte)
	ResponseTruncated() // what was passed on is not whole, and the client has to see that

	Served(Response)
	Rejected(after time.Duration) // a repeat does no harm: come again after this
	Failed(why string)            // nothing is promised

	// Gone says that the client has left, though Leave was not called yet. look asks the system too, which knows first.
	Disconnected(look bool) bool
}

// Committer is a Client that is told, right before its answer, what position its write has.
type Committer interface {
	Committed(position time.Duration)
}

// Flow is the source of an answer that is passed on as it comes.
type Flow interface {
	// Hold stops it, or lets it go on.
	SetPaused(on bool)
}

// Request is what a front has taken.
type Request struct {
	Label       string // the client's own name for it, for the log
	Class       string
	Group       int64
	Session     string
	Deadline    time.Duration // the client gives up this long after its send
	ReceivedAt  time.Duration // when its last byte had come, on the loop's clock
	MinPosition time.Duration // a position that it has to see, 0 = none
	Retry       bool
	Job         Job
	Tenant      string // whose request it is, for the record; "" = not known
	Client      string // and from where
}

// Attempt is one try at one db machine.
type Attempt struct {
	Endpoint string
	Job      Job
	Deadline time.Duration // the router stops waiting then
	NotAfter time.Duration // not to be written later than this, 0 = no such limit

	OnResponseStarted func(Response, Flow) // a long answer begins to come: what stands before its long row
	OnResponsePart    func(p []byte)       // the next piece of it
	Abandoned         func() bool          // nobody waits for it any more: it is not to be written, nil = somebody does
}

// Result ends an attempt or a probe.
type Result struct {
	Status            balance.Status
	Role              balance.Role
	Position          time.Duration
	Response          Response
	Code              string        // the error that the answer passes on, "" = none
	ResponseStartedAt time.Duration // when its answer began to come, 0 = none did
	Utilization       float64       // of a probe: the part of what the machine can do that all its work takes, 0 = not told
}

// Call is an attempt under way.
type AttemptHandle interface {
	// Cancel gives it up and says whether it may have reached the db machine. Its end is not reported any more.
	Cancel() (written bool)
	// Waiting says that nothing of it was written yet.
	NotWritten() bool
}

// Servers reaches the db machines.
type Backends interface {
	Start(a Attempt, done func(Result)) AttemptHandle
	HealthCheck(node string, done func(Result))
	Suspend(node string, out bool)
}

// Watcher follows the list of db machines.
type DiscoveryPoller interface{ Poll() }

// Audit takes what is recorded. Record never blocks and makes no system call.
type Audit interface {
	Record(e audit.Event)
}

// Router owns the decision module and all requests in hand.
type Router struct {
	loop                *eventloop.Loop
	limits              limits.Limits
	log                 *slog.Logger
	balancer            *balance.Balancer
	backends            Backends
	discovery           DiscoveryPoller
	audit               Audit          // nil = nothing is recorded
	failoverQueue       *failoverQueue // nil = nothing is held through a change of primary
	siteMonitor         *siteMonitor   // nil = whole sites are not watched
	classes             map[string]balance.Class
	healthChecksEnabled bool // machines may be asked for reports
	instances           int

	balancerEvents    []balance.Event
	inFlight          map[string]*request
	openRequestIDs    map[string]bool // the labels of those that are owed an answer
	lastRequestNumber uint64          // the number of the newest request
	balancerTimer     *eventloop.Timer
	shutdownDeadline  time.Duration // what is taken from now on is answered by then, 0 = in its own time
	counts            Counts
}

// request is one that is owed an answer, or whose attempt is still out.
type request struct {
	Request
	id              string
	client          Client
	answerBy        time.Duration
	timer           *eventloop.Timer
	attemptCount    int
	mayHaveRun      bool          // an attempt was written that is not proved to have had no effect
	attempt         AttemptHandle // the attempt that is out
	endpoint        string
	sentAt          time.Duration
	responseStarted bool // its answer is passed on as it comes
	finished        bool // answered, or its client has left
	queueable       bool // its class is one that may be held
	queued          bool // held through a change of primary: the module does not know of it

	endedAttempts []audit.Attempt // those that have ended, where there is a record
	firstSentAt   time.Duration   // when the first one began
	priorAttempts int             // attempts before it was handed to the module again, none of which ran
	attemptTime   time.Duration
}

// New returns a Router that has yet to hear of any db machine. With a nil Audit nothing is recorded.
func New(l *eventloop.Loop, lim limits.Limits, log *slog.Logger, cfg balance.Config, seed uint64, a Audit) (*Router, error) {
	m, err := balance.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	router := &Router{
		loop: l, limits: lim, log: log, balancer: m, audit: a, classes: map[string]balance.Class{}, healthChecksEnabled: cfg.HealthChecks, instances: cfg.Instances,
		inFlight: map[string]*request{}, openRequestIDs: map[string]bool{},
	}
	for _, c := range cfg.Classes {
		router.classes[c.Name] = c
	}
	return router, nil
}

// Connect names the peers; it is called once, before anything else.
func (router *Router) Connect(s Backends, w DiscoveryPoller) {
	router.backends, router.discovery = s, w
}

// EndBy lets what is taken from now on be answered by then, though its client may wait longer: the process may be ended after that.
func (router *Router) SetShutdownDeadline(at time.Duration) { router.shutdownDeadline = at }

// InHand is the number of requests that are owed an answer or have an attempt out.
func (router *Router) InFlight() int { return len(router.inFlight) }

// Writes says whether the requests of a class may change data, so that they must not run twice.
func (router *Router) IsWrite(class string) bool {
	c := router.classes[class]
	return c.Idempotency != balance.Idempotent || c.Consistency == balance.ConsistencyWrite
}

// Order is what a request waits for of those that were sent before it on the same connection.
type Ordering struct {
	Writes         bool // it may change data: it waits for all of them, so that none sees what came later
	ReadsOwnWrites bool // it has to see what its session has written before: it waits for those writes,
	ReadsAllWrites bool // or what anybody has
}

// Order tells the order of a class's requests.
func (router *Router) OrderingOf(class string) Ordering {
	n := router.classes[class].Consistency
	return Ordering{Writes: router.IsWrite(class), ReadsOwnWrites: n == balance.ConsistencySession, ReadsAllWrites: n == balance.ConsistencyLatest}
}
