package sitefailover

import (
	"maps"
	"slices"
	"time"
)

// MonitorConfig configures a Monitor. Durations and MaxEndpoints must not be zero.
type MonitorConfig struct {
	OwnSite        string        // OwnSite is the site of the router, "" = not known.
	EvidenceWindow time.Duration // EvidenceWindow is how long an answer proves that an endpoint is up.
	SuspicionTime  time.Duration // SuspicionTime is how long a site is suspected before it is lost.
	SettleTime     time.Duration // SettleTime is how long a site recovers at least; its endpoints warm up in that time.
	MaxEndpoints   int           // MaxEndpoints is the maximum number of tracked endpoints.
}

const (
	// defaultEvidenceWindow is long enough for a router with little traffic to get a response from most endpoints.
	defaultEvidenceWindow = 2 * time.Second
	// defaultSuspicionTime is longer than a brief network outage.
	defaultSuspicionTime = 500 * time.Millisecond
	// evaluationsPerSuspicion is how often a site that is not healthy is evaluated per SuspicionTime, even without
	// events.
	evaluationsPerSuspicion = 4
)

// DefaultMonitorConfig returns the configuration for a router in ownSite. warmUp is how long cold endpoints take to
// warm up.
func DefaultMonitorConfig(ownSite string, warmUp time.Duration, maxEndpoints int) MonitorConfig {
	return MonitorConfig{
		OwnSite:        ownSite,
		EvidenceWindow: defaultEvidenceWindow,
		SuspicionTime:  defaultSuspicionTime,
		SettleTime:     max(defaultEvidenceWindow, warmUp),
		MaxEndpoints:   maxEndpoints,
	}
}

// Monitor determines the state of all sites from events. It is not safe for concurrent use.
type Monitor struct {
	cfg       MonitorConfig
	now       time.Duration
	endpoints map[string]*endpointEvidence
	sites     map[string]*siteStatus
	primaries map[int64]string // the endpoint that is considered the primary of each group
}

// NewMonitor returns a Monitor without any sites and endpoints.
func NewMonitor(cfg MonitorConfig) *Monitor {
	return &Monitor{
		cfg:       cfg,
		endpoints: map[string]*endpointEvidence{},
		sites:     map[string]*siteStatus{},
		primaries: map[int64]string{},
	}
}

// Step processes the events since the last call and returns the changes of state, sorted by site name, and possibly a
// Wake. now must not decrease from one call to the next.
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

// apply processes an event. It ignores events for unknown endpoints or sites, except for observed primaries and entries
// of an endpoint list.
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

// evaluateSites updates the state of each site according to the evidence.
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

// nextWake returns the earliest time at which a state may change without an event. ok is false if there is none.
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
