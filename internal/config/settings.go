package config

import (
	"time"

	"limeladder/balance"
)

// Settings is the settings object of EDGE_CONFIG and of the simulator's start event. Its keys are those of the
// simulator's protocol; Balance translates the settings for the decision module. A field whose Go name differs from its
// key has a json tag with the key. Fields that end in Ns are in nanoseconds.
type Settings struct {
	Instances         int     // number of routers
	Locality          string  // zone of this router
	Discovery         string  // how the endpoint list is obtained: polled ("ask") or pushed ("push")
	TimerResolutionNs int64   `json:"ResolutionNs"`
	OverQuotaWeight   float64 `json:"OverShareWorth"`
	Classes           []Class `json:"Lanes"`
	Tenants           []Tenant
	Extra             ExtraSettings
	Limits            AttemptLimits
	Prices            Prices
	Contract          Contract
}

// Class is a class of requests. balance.Class describes the fields.
type Class struct {
	Name                string
	LatencyObjectiveNs  int64   `json:"AimNs"`
	ClientTimeoutNs     int64   `json:"GiveUpNs"`
	IdempotencyWindowNs int64   `json:"WindowNs"`
	ObjectiveStretch    float64 `json:"AimStretch"`
	PriorityWeight      float64 `json:"Importance"`
	LateWeightShare     float64 `json:"LateShare"`
	Idempotency         string  `json:"Effect"` // a key of idempotencies
	IdempotencyScope    string  `json:"Group"`  // a key of idempotencyScopes
}

// Tenant is a customer and its quota.
type Tenant struct {
	Name          string
	AllowancePerS float64 // quota in requests per second, over all routers
}

// ExtraSettings are the settings for the freshness of responses.
type ExtraSettings struct {
	FreshnessCheck string   `json:"Guards"` // a key of freshnessChecks
	TokenMode      string   // clientTokenMode if clients send session tokens
	LagAllowedNs   []int64  // maximum staleness by class; empty if no class has a bound
	Consistencies  []string `json:"NeedsByClass"` // by class, each a key of consistencies
	OriginTimeNs   *int64   // time that replication positions in the simulator's protocol are relative to
}

// AttemptLimits are the settings for the attempts of a request and for backend connections.
type AttemptLimits struct {
	Cancelling       bool // attempts can be cancelled
	Probes           bool // endpoints respond to health checks
	RetryAfter       bool // clients receive a Retry-After
	MaxRetryAfterNs  int64
	ConnIdleNs       int64 // endpoints close a connection that is idle for this long
	ConnectTimeoutNs int64
	MaxOpen          int // not used by the router
	MaxAttempts      int `json:"MostTries"` // per request; 0 = no limit
}

// Prices are the costs of calls that the router makes in addition to client requests.
type Prices struct {
	Probe float64 // cost of a health check, as a fraction of the weight of a request
}

// Contract describes the behavior that endpoints and discovery guarantee. balance.Config describes the fields.
type Contract struct {
	PollWithinNs      int64 `json:"AskWithinNs"`
	DrainGraceNs      int64
	SlowStartWindowNs int64   `json:"ColdNs"`
	OverloadWindowNs  int64   `json:"FallNs"`
	SlowStartFrom     float64 `json:"ColdFrom"`
	OverloadMultiple  float64 `json:"FallMultiple"`
	SoftRemoval       bool
}

// The keywords of the settings and their values in the decision module.
var (
	consistencies = map[string]balance.Consistency{
		"loose":      balance.ConsistencyAny,
		"recent":     balance.ConsistencyBounded,
		"own_writes": balance.ConsistencySession,
		"latest":     balance.ConsistencyLatest,
		"update":     balance.ConsistencyWrite,
	}
	idempotencies = map[string]balance.Idempotency{
		"safe":   balance.Idempotent,
		"keyed":  balance.IdempotentWithKey,
		"unsafe": balance.NonIdempotent,
	}
	idempotencyScopes = map[string]balance.IdempotencyScope{
		"":     balance.ScopeAll,
		"cell": balance.ScopeGroup,
		"zone": balance.ScopeZone,
		"all":  balance.ScopeAll,
	}
	freshnessChecks = map[string]balance.FreshnessCheck{
		"":       balance.FreshnessCheckNone,
		"silent": balance.FreshnessCheckNone,
		"reject": balance.FreshnessCheckReject,
		"hold":   balance.FreshnessCheckHold,
	}
	// pollsByDiscoveryMode reports for each value of Settings.Discovery whether the router polls for the endpoint list.
	pollsByDiscoveryMode = map[string]bool{
		"ask":  true,
		"push": false,
	}
)

// clientTokenMode is the value of TokenMode with which clients send session tokens.
const clientTokenMode = "client"

// translate returns the value of a keyword, or a *FieldError if the keyword is unknown.
func translate[T any](words map[string]T, field, word string) (T, error) {
	meaning, ok := words[word]
	if !ok {
		return meaning, fieldErrorf(field, "unknown word %q", word)
	}
	return meaning, nil
}

// Balance converts the settings to the configuration of the decision module. The simulator and the router both use it.
func (s *Settings) Balance() (balance.Config, error) {
	c := s.baseBalanceConfig()
	var err error
	// An unknown discovery mode must be rejected: the router would neither poll nor receive the list.
	c.PollDiscovery, err = translate(pollsByDiscoveryMode, "Discovery", s.Discovery)
	if err != nil {
		return c, err
	}
	c.FreshnessCheck, err = translate(freshnessChecks, "Extra.Guards", s.Extra.FreshnessCheck)
	if err != nil {
		return c, err
	}
	if err := s.checkExtra(); err != nil {
		return c, err
	}
	for i := range s.Classes {
		class, err := s.class(i)
		if err != nil {
			return c, err
		}
		c.Classes = append(c.Classes, class)
	}
	for _, tenant := range s.Tenants {
		c.Tenants = append(c.Tenants, balance.Tenant{Name: tenant.Name, Quota: tenant.AllowancePerS})
	}
	return c, nil
}

// baseBalanceConfig returns the part of the configuration that needs no keyword translation and no check.
func (s *Settings) baseBalanceConfig() balance.Config {
	return balance.Config{
		Instances:       s.Instances,
		Zone:            s.Locality,
		OverQuotaWeight: s.OverQuotaWeight,
		TimerResolution: time.Duration(s.TimerResolutionNs),

		PollWithin:  time.Duration(s.Contract.PollWithinNs),
		DrainGrace:  time.Duration(s.Contract.DrainGraceNs),
		SoftRemoval: s.Contract.SoftRemoval,

		ClientSessionTokens: s.Extra.TokenMode == clientTokenMode,

		HealthChecks:    s.Limits.Probes,
		HealthCheckCost: s.Prices.Probe,

		Cancellation:  s.Limits.Cancelling,
		RetryAfter:    s.Limits.RetryAfter,
		MaxRetryAfter: time.Duration(s.Limits.MaxRetryAfterNs),
		MaxAttempts:   s.Limits.MaxAttempts,

		SlowStartFrom:    s.Contract.SlowStartFrom,
		SlowStartWindow:  time.Duration(s.Contract.SlowStartWindowNs),
		OverloadMultiple: s.Contract.OverloadMultiple,
		OverloadWindow:   time.Duration(s.Contract.OverloadWindowNs),
	}
}

// checkExtra checks that OriginTimeNs is set and that the lists by class have a value for each class.
func (s *Settings) checkExtra() error {
	if s.Extra.OriginTimeNs == nil {
		return &FieldError{Field: "Extra.OriginTimeNs", Reason: errMissing}
	}
	if n := len(s.Extra.Consistencies); n != len(s.Classes) {
		return fieldErrorf("Extra.NeedsByClass", "%d values for %d classes", n, len(s.Classes))
	}
	if n := len(s.Extra.LagAllowedNs); n != len(s.Classes) && n != 0 {
		return fieldErrorf("Extra.LagAllowedNs", "%d values for %d classes", n, len(s.Classes))
	}
	return nil
}

// class converts the class at index i. It requires that checkExtra has passed.
func (s *Settings) class(i int) (balance.Class, error) {
	settings := s.Classes[i]
	class := balance.Class{
		Name:              settings.Name,
		LatencyObjective:  time.Duration(settings.LatencyObjectiveNs),
		ObjectiveStretch:  settings.ObjectiveStretch,
		ClientTimeout:     time.Duration(settings.ClientTimeoutNs),
		PriorityWeight:    settings.PriorityWeight,
		LateWeightShare:   settings.LateWeightShare,
		IdempotencyWindow: time.Duration(settings.IdempotencyWindowNs),
	}
	var err error
	class.Consistency, err = translate(consistencies, "Extra.NeedsByClass", s.Extra.Consistencies[i])
	if err != nil {
		return class, err
	}
	class.Idempotency, err = translate(idempotencies, "Lanes.Effect", settings.Idempotency)
	if err != nil {
		return class, err
	}
	class.IdempotencyScope, err = translate(idempotencyScopes, "Lanes.Group", settings.IdempotencyScope)
	if err != nil {
		return class, err
	}
	if len(s.Extra.LagAllowedNs) > 0 {
		class.MaxStaleness = time.Duration(s.Extra.LagAllowedNs[i])
	}
	return class, nil
}

// checkTimeouts checks the timeouts that a router with real connections needs. The simulator does not set them.
func (s *Settings) checkTimeouts() error {
	if s.Limits.ConnectTimeoutNs <= 0 {
		return &FieldError{Field: "settings.Limits.ConnectTimeoutNs", Reason: errMissing}
	}
	if s.Limits.ConnIdleNs <= 0 {
		return &FieldError{Field: "settings.Limits.ConnIdleNs", Reason: errMissing}
	}
	return nil
}
