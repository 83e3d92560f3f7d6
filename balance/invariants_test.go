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

// playEvents plays odd but legal events and checks what must hold whatever comes. It models no endpoint: outcomes are
// drawn.
func playEvents(t *testing.T, seed uint64) []Action {
	t.Helper()
	return playEventsWith(t, seed, testConfig())
}

const (
	playSteps        = 600
	lastRequestStep  = 400 // no new requests after this step
	lastStreamedStep = 500 // streaming responses end after this step
	lastOpenStep     = 590 // attempts end after this step
)

func playEventsWith(t *testing.T, seed uint64, c Config) []Action {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	c.FreshnessCheck = FreshnessCheck(rng.IntN(3))
	c.ClientSessionTokens = rng.IntN(2) == 0
	b, err := New(c, seed)
	if err != nil {
		t.Fatal(err)
	}
	p := &eventPlayer{
		t:              t,
		seed:           seed,
		config:         c,
		rng:            rng,
		balancer:       b,
		now:            50 * time.Second,
		requests:       map[string]*playedRequest{},
		notReady:       map[string]bool{},
		suspended:      map[string]bool{},
		suspendedSince: map[string]int{},
	}
	p.events = []Event{threeEndpoints(ListCached)}
	var all []Action
	for p.step = range playSteps {
		all = append(all, p.play()...)
	}
	for id, q := range p.requests {
		if !q.answered {
			t.Fatalf("seed %d: %s has no final answer", seed, id)
		}
	}
	return all
}

// eventPlayer draws the events of each step and checks the actions that come back.
type eventPlayer struct {
	t        *testing.T
	seed     uint64
	config   Config
	rng      *rand.Rand
	balancer *Balancer
	now      Time
	step     int
	events   []Event // of the next step

	requestCount   int
	requests       map[string]*playedRequest
	open           []playedAttempt
	notReady       map[string]bool // endpoints that drain or are removed
	suspended      map[string]bool
	suspendedSince map[string]int // the step
}

// playedRequest is what the caller knows of a request.
type playedRequest struct {
	class      string
	deadline   Time
	answered   bool
	mayHaveRun bool
	streaming  bool
	inFlight   int
	attempts   int
}

// playedAttempt is an attempt that has not ended.
type playedAttempt struct {
	requestID string
	endpoint  string
	number    int
	sentAt    Time
}

// play draws the events of one step, plays it and checks its actions.
func (p *eventPlayer) play() []Action {
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

func (p *eventPlayer) drawRequest() {
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
	p.requests[request.ID] = &playedRequest{class: class, deadline: p.now + request.TimeLeft}
	p.events = append(p.events, request)
}

// drawOutcomes ends some of the open attempts, and lets some responses begin to stream.
func (p *eventPlayer) drawOutcomes() {
	var stillOpen []playedAttempt
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

func (p *eventPlayer) staysOpen(request *playedRequest) bool {
	if p.rng.IntN(4) != 0 && p.step < lastOpenStep {
		return true
	}
	return request.streaming && p.rng.IntN(20) != 0 && p.step < lastStreamedStep
}

func (p *eventPlayer) drawOutcome(attempt playedAttempt, due bool) {
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

// drawOtherEvent draws an event that is none of an attempt, or none at all.
func (p *eventPlayer) drawOtherEvent() {
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

// drawID draws the id of a request, or of none.
func (p *eventPlayer) drawID() string { return fmt.Sprint("q", 1+p.rng.IntN(p.requestCount+1)) }

func (p *eventPlayer) drawEndpointState() {
	id := []string{"a", "b", "c"}[p.rng.IntN(3)]
	state := EndpointState(p.rng.IntN(3))
	p.notReady[id] = state != EndpointReady
	p.events = append(p.events, EndpointList{Entries: []EndpointEntry{
		{Endpoint: id, Zone: "a", Group: 1, State: state, StartedAt: p.now},
	}})
}

func (p *eventPlayer) drawSuspension() {
	id := []string{"a", "b", "c", "x"}[p.rng.IntN(4)]
	if suspended := p.rng.IntN(2) == 0; suspended != p.suspended[id] {
		p.suspended[id] = suspended
		p.suspendedSince[id] = p.step
	}
	p.events = append(p.events, Suspend{Endpoint: id, Suspended: p.suspended[id]})
}

// check says what must hold for an action, and notes what it changes.
func (p *eventPlayer) check(action Action) {
	p.t.Helper()
	switch action := action.(type) {
	case Send:
		p.checkSend(action)
	case PollEndpointList:
		p.require(p.config.PollDiscovery, "the list is polled where it is pushed")
	case HealthCheck:
		p.require(p.config.HealthChecks, "a health check where there are none")
		// One may be asked for by an event before the suspension, in the same step.
		suspendedBefore := p.suspended[action.Endpoint] && p.suspendedSince[action.Endpoint] < p.step
		p.require(!suspendedBefore, "health check of %s, which is suspended", action.Endpoint)
	case Cancel:
		p.require(p.config.Cancellation, "a cancellation where there are none")
		request := p.requests[action.ID]
		cutsOff := request.streaming && action.Attempt == request.attempts-1
		p.require(!cutsOff, "the answer to %s is cut off", action.ID)
	case Reject:
		request := p.checkAnswer(action.ID)
		repeatable := request.class != "write" && request.class != "keyed"
		p.require(repeatable || !request.mayHaveRun, "rejection of %s, which may have run", action.ID)
	case Fail:
		p.checkAnswer(action.ID)
	}
}

func (p *eventPlayer) checkSend(send Send) {
	p.t.Helper()
	request := p.requests[send.ID]
	p.require(request != nil && !request.answered, "send of %q, which is unknown or answered", send.ID)
	p.require(request.inFlight == 0, "send of %q, which is in flight", send.ID)
	p.require(!request.mayHaveRun || request.class != "write", "second run of the write %s", send.ID)
	p.require(!p.suspended[send.Endpoint], "send to %s, which is suspended", send.Endpoint)
	p.require(!p.notReady[send.Endpoint], "send to %s, which drains or is gone", send.Endpoint)
	p.open = append(p.open, playedAttempt{send.ID, send.Endpoint, request.attempts, p.now})
	request.inFlight++
	request.attempts++
	withinLimit := p.config.MaxAttempts == 0 || request.attempts <= p.config.MaxAttempts
	p.require(withinLimit, "attempt %d of %s", request.attempts, send.ID)
}

// checkAnswer checks a final answer: one to each request, and none into a response that streams.
func (p *eventPlayer) checkAnswer(id string) *playedRequest {
	p.t.Helper()
	request := p.requests[id]
	p.require(request != nil && !request.answered, "second answer to %s", id)
	p.require(!request.streaming, "answer to %s, whose response streams", id)
	request.answered = true
	return request
}

// require fails the test, with the seed, if something does not hold.
func (p *eventPlayer) require(holds bool, format string, args ...any) {
	p.t.Helper()
	if !holds {
		p.t.Fatalf("seed %d: %s", p.seed, fmt.Sprintf(format, args...))
	}
}

func FuzzInvariants(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { playEvents(t, seed) })
}

// Settings at their extremes, alone and together, keep what must hold whatever comes.
func TestExtremeSettings(t *testing.T) {
	extremes := map[string]func(c *Config){
		"one attempt":           func(c *Config) { c.MaxAttempts = 1 },
		"any number":            func(c *Config) { c.MaxAttempts = 0 },
		"no probes":             func(c *Config) { c.HealthChecks = false },
		"dear probes":           func(c *Config) { c.HealthCheckCost = 10 },
		"no cancelling":         func(c *Config) { c.Cancellation = false },
		"no time to come again": func(c *Config) { c.RetryAfter, c.MaxRetryAfter = false, 0 },
		"no grace":              func(c *Config) { c.DrainGrace = 0 },
		"asked, no grace":       func(c *Config) { c.PollDiscovery, c.DrainGrace, c.PollWithin = true, 0, time.Second },
		"never cold":            func(c *Config) { c.SlowStartFrom, c.SlowStartWindow, c.OverloadMultiple = 1, 0, 0 },
		"cold from nothing":     func(c *Config) { c.SlowStartFrom = 0 },
		"no zone":               func(c *Config) { c.Zone = "" },
		"300 routers":           func(c *Config) { c.Instances = 300 },
		"soft removal":          func(c *Config) { c.SoftRemoval = true },
		"no resolution":         func(c *Config) { c.TimerResolution = 0 },
		"nothing when late": func(c *Config) {
			for i := range c.Classes {
				c.Classes[i].LateWeightShare = 0
			}
		},
		"no worth": func(c *Config) {
			for i := range c.Classes {
				c.Classes[i].PriorityWeight = 0
			}
		},
		"no aim": func(c *Config) {
			for i := range c.Classes {
				c.Classes[i].LatencyObjective = 0
			}
		},
	}
	all := func(c *Config, rng *rand.Rand) {
		for _, name := range slices.Sorted(maps.Keys(extremes)) {
			if rng.IntN(3) == 0 && name != "soft removal" { // where removal is soft other sends are allowed
				extremes[name](c)
			}
		}
	}
	for name, set := range extremes {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				c := testConfig()
				if set(&c); !c.SoftRemoval {
					playEventsWith(t, seed, c)
				} else if _, err := New(c, seed); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
	for seed := range uint64(100) {
		c := testConfig()
		all(&c, rand.New(rand.NewPCG(seed, 9)))
		playEventsWith(t, seed, c)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(10) {
		if !reflect.DeepEqual(playEvents(t, seed), playEvents(t, seed)) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}
