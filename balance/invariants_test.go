package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// runRandomEvents runs a balancer with random valid events, checks the invariants and returns all actions. It does not
// simulate endpoints: the outcomes of attempts are random.
func runRandomEvents(t *testing.T, seed uint64) []Action {
	t.Helper()
	return runRandomEventsWith(t, seed, testConfig())
}

const (
	totalSteps       = 600
	lastRequestStep  = 400 // from this step on, no new requests
	lastStreamedStep = 500 // from this step on, streaming responses end as soon as other attempts
	lastOpenStep     = 590 // from this step on, all open attempts end
)

// runRandomEventsWith is like runRandomEvents, but with the given configuration.
func runRandomEventsWith(t *testing.T, seed uint64, c Config) []Action {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	c.FreshnessCheck = FreshnessCheck(rng.IntN(3))
	c.ClientSessionTokens = rng.IntN(2) == 0
	b, err := New(c, seed)
	if err != nil {
		t.Fatal(err)
	}
	p := &eventGenerator{
		t:              t,
		seed:           seed,
		config:         c,
		rng:            rng,
		balancer:       b,
		now:            50 * time.Second,
		requests:       map[string]*trackedRequest{},
		notReady:       map[string]bool{},
		suspended:      map[string]bool{},
		suspendedSince: map[string]int{},
	}
	p.events = []Event{threeEndpoints(ListCached)}
	var all []Action
	for p.step = range totalSteps {
		all = append(all, p.runStep()...)
	}
	for id, q := range p.requests {
		if !q.answered {
			t.Fatalf("seed %d: %s has no final answer at the end", seed, id)
		}
	}
	return all
}

// eventGenerator generates random events for each step and checks the actions that the balancer returns.
type eventGenerator struct {
	t        *testing.T
	seed     uint64
	config   Config
	rng      *rand.Rand
	balancer *Balancer
	now      Time
	step     int
	events   []Event // for the next step

	requestCount   int
	requests       map[string]*trackedRequest
	open           []trackedAttempt
	notReady       map[string]bool // whether the endpoint is draining or removed
	suspended      map[string]bool // whether the endpoint is suspended
	suspendedSince map[string]int  // the step in which suspended last changed
}

// trackedRequest is the state of a request as the caller knows it.
type trackedRequest struct {
	class      string
	deadline   Time
	answered   bool
	mayHaveRun bool
	streaming  bool
	inFlight   int
	attempts   int
}

// trackedAttempt is an attempt that has not ended.
type trackedAttempt struct {
	requestID string
	endpoint  string
	number    int
	sentAt    Time
}

// runStep generates the events of one step, runs it and checks its actions.
func (p *eventGenerator) runStep() []Action {
	p.t.Helper()
	if p.step < lastRequestStep && p.rng.IntN(2) == 0 {
		p.drawRequest()
	}
	p.drawOutcomes()
	p.drawOtherEvent()
	actions := p.balancer.Step(p.now, p.events)
	p.events = nil
	for _, action := range actions {
		p.check(action)
	}
	p.now += time.Duration(1+p.rng.IntN(12)) * ms
	return actions
}

// drawRequest adds a new request.
func (p *eventGenerator) drawRequest() {
	p.requestCount++
	class := p.config.Classes[p.rng.IntN(len(p.config.Classes))].Name
	request := Request{
		ID:                fmt.Sprint("q", p.requestCount),
		Class:             class,
		Group:             1,
		SessionID:         int64(p.rng.IntN(3)),
		TimeLeft:          time.Duration(50+p.rng.IntN(900)) * ms,
		SinceSessionWrite: time.Duration(p.rng.IntN(500)) * ms,
	}
	p.requests[request.ID] = &trackedRequest{class: class, deadline: p.now + request.TimeLeft}
	p.events = append(p.events, request)
}

// drawOutcomes ends some of the open attempts, and starts streaming some responses.
func (p *eventGenerator) drawOutcomes() {
	var stillOpen []trackedAttempt
	for _, attempt := range p.open {
		request := p.requests[attempt.requestID]
		due := p.now >= request.deadline && !request.streaming
		if !due && !request.answered && p.rng.IntN(8) == 0 {
			request.streaming = true
			p.events = append(p.events, FirstByte{ID: attempt.requestID, Attempt: attempt.number})
		}
		if !due && p.staysOpen(request) {
			stillOpen = append(stillOpen, attempt)
			continue
		}
		p.drawOutcome(attempt, due)
	}
	p.open = stillOpen
}

// staysOpen decides whether an attempt that is not due stays open.
func (p *eventGenerator) staysOpen(request *trackedRequest) bool {
	if p.rng.IntN(4) != 0 && p.step < lastOpenStep {
		return true
	}
	return request.streaming && p.rng.IntN(20) != 0 && p.step < lastStreamedStep
}

// drawOutcome ends an attempt with a random outcome, or with a timeout if it is due.
func (p *eventGenerator) drawOutcome(attempt trackedAttempt, due bool) {
	request := p.requests[attempt.requestID]
	outcome := AttemptResult{
		ID:       attempt.requestID,
		Attempt:  attempt.number,
		Endpoint: attempt.endpoint,
		Status:   Status(p.rng.IntN(9)),
		Elapsed:  p.now - attempt.sentAt,
		Role:     Role(p.rng.IntN(3)),
	}
	if due {
		outcome.Status = StatusTimedOut
	}
	if outcome.Role != RoleUnknown && p.rng.IntN(2) == 0 {
		outcome.Position = p.now - time.Duration(p.rng.IntN(800))*ms
	}
	request.inFlight--
	if outcome.Status == StatusDone || request.streaming {
		request.answered = true
	}
	outcome.Finished = request.answered
	switch outcome.Status {
	case StatusError, StatusTimedOut, StatusReset, StatusCancelled, StatusDone:
		request.mayHaveRun = true
	}
	p.events = append(p.events, outcome)
}

// drawOtherEvent adds other events: changes of endpoints, health checks, unknown ids, disconnects; often none.
func (p *eventGenerator) drawOtherEvent() {
	switch p.rng.IntN(12) {
	case 0:
		p.drawEndpointState()
	case 1:
		p.events = append(p.events, HealthCheckResult{
			Endpoint: []string{"a", "b", "x"}[p.rng.IntN(3)],
			Status:   Status(p.rng.IntN(9)),
			Role:     Role(p.rng.IntN(3)),
			Position: p.now - time.Duration(p.rng.IntN(300))*ms,
		})
	case 2:
		p.events = append(p.events,
			AttemptResult{ID: "nobody", Attempt: 3},
			ClientDisconnected{ID: "nobody"},
			Wake{},
			FirstByte{ID: "nobody"},
			FirstByte{ID: p.drawID(), Attempt: -1},
		)
	case 3:
		id := p.drawID()
		if request := p.requests[id]; request != nil && !request.answered {
			request.answered = true
			p.events = append(p.events, ClientDisconnected{ID: id})
		}
	case 4:
		p.drawSuspension()
	}
}

// drawID returns the id of a random request, or one that is not used yet.
func (p *eventGenerator) drawID() string { return fmt.Sprint("q", 1+p.rng.IntN(p.requestCount+1)) }

// drawEndpointState changes the state of a random endpoint.
func (p *eventGenerator) drawEndpointState() {
	id := []string{"a", "b", "c"}[p.rng.IntN(3)]
	state := EndpointState(p.rng.IntN(3))
	p.notReady[id] = state != EndpointReady
	p.events = append(p.events, EndpointList{Entries: []EndpointEntry{
		{Endpoint: id, Zone: "a", Group: 1, State: state, StartedAt: p.now},
	}})
}

// drawSuspension suspends or resumes a random endpoint, possibly an unknown one.
func (p *eventGenerator) drawSuspension() {
	id := []string{"a", "b", "c", "x"}[p.rng.IntN(4)]
	if suspended := p.rng.IntN(2) == 0; suspended != p.suspended[id] {
		p.suspended[id] = suspended
		p.suspendedSince[id] = p.step
	}
	p.events = append(p.events, Suspend{Endpoint: id, Suspended: p.suspended[id]})
}

// check checks the invariants for an action, and records the changes it makes.
func (p *eventGenerator) check(action Action) {
	p.t.Helper()
	switch action := action.(type) {
	case Send:
		p.checkSend(action)
	case PollEndpointList:
		p.require(p.config.PollDiscovery, "the endpoint list is polled though PollDiscovery is off")
	case HealthCheck:
		p.require(p.config.HealthChecks, "a health check is sent though HealthChecks is off")
		// In the step of the suspension, an event before it may have caused a health check.
		suspendedBefore := p.suspended[action.Endpoint] && p.suspendedSince[action.Endpoint] < p.step
		p.require(!suspendedBefore, "health check of %s, which was suspended in an earlier step", action.Endpoint)
	case Cancel:
		p.require(p.config.Cancellation, "an attempt is cancelled though Cancellation is off")
		request := p.requests[action.ID]
		cutsOff := request.streaming && action.Attempt == request.attempts-1
		p.require(!cutsOff, "the attempt of %s whose response is streaming is cancelled", action.ID)
	case Reject:
		request := p.checkAnswer(action.ID)
		repeatable := request.class != "write" && request.class != "keyed"
		p.require(repeatable || !request.mayHaveRun, "rejection of %s, a write that may have run", action.ID)
	case Fail:
		p.checkAnswer(action.ID)
	}
}

// checkSend checks the invariants for a send.
func (p *eventGenerator) checkSend(send Send) {
	p.t.Helper()
	request := p.requests[send.ID]
	p.require(request != nil && !request.answered, "send of %q, which is unknown or already answered", send.ID)
	p.require(request.inFlight == 0, "send of %q, which already has an attempt in flight", send.ID)
	p.require(!request.mayHaveRun || request.class != "write", "send of the write %s, which may have run", send.ID)
	p.require(!p.suspended[send.Endpoint], "send to %s, which is suspended", send.Endpoint)
	p.require(!p.notReady[send.Endpoint], "send to %s, which is draining or removed", send.Endpoint)
	p.open = append(p.open, trackedAttempt{send.ID, send.Endpoint, request.attempts, p.now})
	request.inFlight++
	request.attempts++
	withinLimit := p.config.MaxAttempts == 0 || request.attempts <= p.config.MaxAttempts
	p.require(withinLimit, "attempt %d of %s, more than MaxAttempts", request.attempts, send.ID)
}

// checkAnswer checks a final answer: each request gets one, and none during a streaming response.
func (p *eventGenerator) checkAnswer(id string) *trackedRequest {
	p.t.Helper()
	request := p.requests[id]
	p.require(request != nil && !request.answered, "final answer to %s, which is unknown or already answered", id)
	p.require(!request.streaming, "final answer to %s, whose response is streaming", id)
	request.answered = true
	return request
}

// require fails the test with the seed and the message if the condition does not hold.
func (p *eventGenerator) require(holds bool, format string, args ...any) {
	p.t.Helper()
	if !holds {
		p.t.Fatalf("seed %d: %s", p.seed, fmt.Sprintf(format, args...))
	}
}

func FuzzInvariants(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runRandomEvents(t, seed) })
}

// The invariants hold with extreme settings, alone and in combination. The combinations are drawn in the order of the
// names, so a name that sorts differently changes them.
func TestExtremeSettings(t *testing.T) {
	extremes := map[string]func(c *Config){
		"one attempt":               func(c *Config) { c.MaxAttempts = 1 },
		"any number of attempts":    func(c *Config) { c.MaxAttempts = 0 },
		"no health checks":          func(c *Config) { c.HealthChecks = false },
		"expensive health checks":   func(c *Config) { c.HealthCheckCost = 10 },
		"no cancellation":           func(c *Config) { c.Cancellation = false },
		"no retry-after":            func(c *Config) { c.RetryAfter, c.MaxRetryAfter = false, 0 },
		"no drain grace":            func(c *Config) { c.DrainGrace = 0 },
		"discovery polls, no grace": func(c *Config) { c.PollDiscovery, c.DrainGrace, c.PollWithin = true, 0, time.Second },
		"full capacity at start":    func(c *Config) { c.SlowStartFrom, c.SlowStartWindow, c.OverloadMultiple = 1, 0, 0 },
		"empty slow start":          func(c *Config) { c.SlowStartFrom = 0 },
		"no zone":                   func(c *Config) { c.Zone = "" },
		"300 instances":             func(c *Config) { c.Instances = 300 },
		"soft removal":              func(c *Config) { c.SoftRemoval = true },
		"no minimum timer delay":    func(c *Config) { c.TimerResolution = 0 },
		"nothing for late answers": func(c *Config) {
			for i := range c.Classes {
				c.Classes[i].LateWeightShare = 0
			}
		},
		"no weight": func(c *Config) {
			for i := range c.Classes {
				c.Classes[i].PriorityWeight = 0
			}
		},
		"no LatencyObjective": func(c *Config) {
			for i := range c.Classes {
				c.Classes[i].LatencyObjective = 0
			}
		},
	}
	all := func(c *Config, rng *rand.Rand) {
		for _, name := range slices.Sorted(maps.Keys(extremes)) {
			if rng.IntN(3) == 0 && name != "soft removal" { // with soft removal, sends to removed endpoints are allowed
				extremes[name](c)
			}
		}
	}
	for name, set := range extremes {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				c := testConfig()
				if set(&c); !c.SoftRemoval {
					runRandomEventsWith(t, seed, c)
				} else if _, err := New(c, seed); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
	for seed := range uint64(100) {
		c := testConfig()
		all(&c, rand.New(rand.NewPCG(seed, 9)))
		runRandomEventsWith(t, seed, c)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(10) {
		if !reflect.DeepEqual(runRandomEvents(t, seed), runRandomEvents(t, seed)) {
			t.Fatalf("seed %d: two runs with the same events returned different actions", seed)
		}
	}
}
