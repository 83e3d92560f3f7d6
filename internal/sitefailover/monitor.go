package sitefailover

import (
	"maps"
	"slices"
	"time"
)

// MonitorConfig bounds a Monitor. Zero durations and a zero MaxEndpoints are not allowed.
type MonitorConfig struct {
	OwnSite        string        // OwnSite is the router's own site, "" = not known.
	EvidenceWindow time.Duration // EvidenceWindow is how long an answer proves that an endpoint is up.
	SuspicionTime  time.Duration // SuspicionTime is how long a suspicion has to last for the site to be lost.
	SettleTime     time.Duration // SettleTime is how long a recovering site is watched; endpoints warm up meanwhile.
	MaxEndpoints   int           // MaxEndpoints is the number of endpoints that are followed at most.
}

const (
	// defaultEvidenceWindow lets a router with little traffic hear of most endpoints within it.
	defaultEvidenceWindow = 2 * time.Second
	// defaultSuspicionTime is longer than a momentary silence of a network.
	defaultSuspicionTime = 500 * time.Millisecond
	// evaluationsPerSuspicion is how often a site that is not healthy is judged within the suspicion time, events or not.
	evaluationsPerSuspicion = 4
)

// DefaultMonitorConfig is the configuration of a router in a site of its own whose endpoints take warmUp to get warm.
func DefaultMonitorConfig(ownSite string, warmUp time.Duration, maxEndpoints int) MonitorConfig {
	return MonitorConfig{
		OwnSite:        ownSite,
		EvidenceWindow: defaultEvidenceWindow,
		SuspicionTime:  defaultSuspicionTime,
		SettleTime:     max(defaultEvidenceWindow, warmUp),
		MaxEndpoints:   maxEndpoints,
	}
}

// Monitor judges all sites by the events that it is given. It is not safe for concurrent use.
type Monitor struct {
	cfg       MonitorConfig
	now       time.Duration
	endpoints map[string]*endpointEvidence
	sites     map[string]*siteStatus
	primaries map[int64]string // the endpoint that is believed to be each group's primary
}

// NewMonitor returns a Monitor that knows nothing yet.
func NewMonitor(cfg MonitorConfig) *Monitor {
	return &Monitor{
		cfg:       cfg,
		endpoints: map[string]*endpointEvidence{},
		sites:     map[string]*siteStatus{},
		primaries: map[int64]string{},
	}
}

// Step takes what has happened by now and returns what has changed, in the order of the sites' names. Times must not
// fall from one call to the next.
func (m *Monitor) Step(now time.Duration, events []Event) []Action {
	m.now = now
	for _, event := range events {
		m.apply(event)
	}
	m.forgetExpired()
	actions := m.evaluateSites()
	if at, ok := m.nextWake(); ok {
		actions = append(actions, Wake{Deadline: at})
	}
	return actions
}

// apply takes in one event. Events on endpoints or sites that are not known are ignored.
func (m *Monitor) apply(event Event) {
	switch event := event.(type) {
	case EndpointListed:
		m.recordListing(event)
	case EndpointListComplete:
		m.retainListed(event)
	case EndpointAnswered:
		if endpoint := m.endpoints[event.Endpoint]; endpoint != nil {
			endpoint.recordAnswer(m.now)
		}
	case AttemptFailed:
		if endpoint := m.endpoints[event.Endpoint]; endpoint != nil {
			endpoint.recordFailure(event.Failure, m.now)
		}
	case PrimaryObserved:
		m.primaries[event.Group] = event.Endpoint
	case ReplicaApplied:
		if replica := m.endpoints[event.Endpoint]; replica != nil {
			m.recordAppliedPosition(replica.group, event.Position)
		}
	case DeclareLost:
		if site := m.sites[event.Site]; site != nil {
			site.declaredLostUntil = event.Until
		}
	}
}

// evaluateSites moves each site to the state that the evidence gives it.
func (m *Monitor) evaluateSites() []Action {
	names := slices.Sorted(maps.Keys(m.sites))
	counts := map[string]evidenceCounts{}
	for _, name := range names {
		counts[name] = m.countEvidence(m.sites[name])
	}
	var actions []Action
	for _, name := range names {
		site := m.sites[name]
		if change, changed := m.advance(site, m.assess(site, counts)); changed {
			actions = append(actions, change)
		}
	}
	return actions
}

// nextWake is when time alone may change a judgement. ok is false if it cannot.
func (m *Monitor) nextWake() (at time.Duration, ok bool) {
	consider := func(candidate time.Duration) {
		if !ok || candidate < at {
			at = candidate
			ok = true
		}
	}
	for _, site := range m.sites {
		if site.state != SiteHealthy {
			consider(m.now + m.cfg.SuspicionTime/evaluationsPerSuspicion)
		}
		for _, endpoint := range site.endpoints {
			if endpoint.failingSince > 0 && !m.isDown(endpoint) {
				consider(endpoint.downAt(m.cfg.EvidenceWindow))
			}
		}
	}
	return at, ok
}
