package config

import (
	"time"

	"limeladder/balance"
)

// Settings is the settings object of EDGE_CONFIG and of the simulator's start event. Its keys are those of the
// simulator's protocol; Balance translates the settings for the decision module.
type Settings struct {
	Instances      int
	Locality       string
	Discovery      string // how the endpoint list is obtained: polled ("ask") or pushed ("push")
	ResolutionNs   int64
	OverShareWorth float64
	Lanes          []Lane
	Tenants        []Tenant
	Extra          ExtraSettings
	Limits         AttemptLimits
	Prices         Prices
	Contract       Contract
}

// Lane is a class of requests. Its times are in nanoseconds.
type Lane struct {
	Name       string
	AimNs      int64
	GiveUpNs   int64
	WindowNs   int64
	AimStretch float64
	Importance float64
	LateShare  float64
	Effect     string // a key of idempotencies
	Group      string // a key of idempotencyScopes
}

// Tenant is a customer and its quota.
type Tenant struct {
	Name          string
	AllowancePerS float64 // requests per second
}

// ExtraSettings are the settings for the freshness of responses.
type ExtraSettings struct {
	Guards       string   // a key of freshnessChecks
	TokenMode    string   // clientTokenMode if clients send session tokens
	LagAllowedNs []int64  // maximum staleness in ns, by class; empty if no class has a bound
	NeedsByClass []string // by class, each a key of consistencies
	OriginTimeNs *int64   // start of the replication positions
}

// AttemptLimits are the settings for the attempts of a request and for backend connections.
type AttemptLimits struct {
	Cancelling       bool
	Probes           bool
	RetryAfter       bool
	MaxRetryAfterNs  int64
	ConnIdleNs       int64
	ConnectTimeoutNs int64
	MaxOpen          int
	MostTries        int
}

// Prices are the costs of calls that the router makes on its own account.
type Prices struct {
	Probe float64 // cost of a health check, as a fraction of the weight of a request
}

// Contract describes the behavior that endpoints and discovery guarantee.
type Contract struct {
	AskWithinNs  int64
	DrainGraceNs int64
	ColdNs       int64
	FallNs       int64
	ColdFrom     float64
	FallMultiple float64
	SoftRemoval  bool
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
	c.FreshnessCheck, err = translate(freshnessChecks, "Extra.Guards", s.Extra.Guards)
	if err != nil {
		return c, err
	}
	if err := s.checkExtra(); err != nil {
		return c, err
	}
	for i := range s.Lanes {
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
		OverQuotaWeight: s.OverShareWorth,
		TimerResolution: time.Duration(s.ResolutionNs),

		PollWithin:  time.Duration(s.Contract.AskWithinNs),
		DrainGrace:  time.Duration(s.Contract.DrainGraceNs),
		SoftRemoval: s.Contract.SoftRemoval,

		ClientSessionTokens: s.Extra.TokenMode == clientTokenMode,

		HealthChecks:    s.Limits.Probes,
		HealthCheckCost: s.Prices.Probe,

		Cancellation:  s.Limits.Cancelling,
		RetryAfter:    s.Limits.RetryAfter,
		MaxRetryAfter: time.Duration(s.Limits.MaxRetryAfterNs),
		MaxAttempts:   s.Limits.MostTries,

		SlowStartFrom:    s.Contract.ColdFrom,
		SlowStartWindow:  time.Duration(s.Contract.ColdNs),
		OverloadMultiple: s.Contract.FallMultiple,
		OverloadWindow:   time.Duration(s.Contract.FallNs),
	}
}

// checkExtra checks that OriginTimeNs is set and that the lists by class have a value for each class.
func (s *Settings) checkExtra() error {
	if s.Extra.OriginTimeNs == nil {
		return &FieldError{Field: "Extra.OriginTimeNs", Reason: errMissing}
	}
	if n := len(s.Extra.NeedsByClass); n != len(s.Lanes) {
		return fieldErrorf("Extra.NeedsByClass", "%d values for %d classes", n, len(s.Lanes))
	}
	if n := len(s.Extra.LagAllowedNs); n != len(s.Lanes) && n != 0 {
		return fieldErrorf("Extra.LagAllowedNs", "%d values for %d classes", n, len(s.Lanes))
	}
	return nil
}

// class converts the class at index i. It requires that checkExtra has passed.
func (s *Settings) class(i int) (balance.Class, error) {
	lane := s.Lanes[i]
	class := balance.Class{
		Name:              lane.Name,
		LatencyObjective:  time.Duration(lane.AimNs),
		ObjectiveStretch:  lane.AimStretch,
		ClientTimeout:     time.Duration(lane.GiveUpNs),
		PriorityWeight:    lane.Importance,
		LateWeightShare:   lane.LateShare,
		IdempotencyWindow: time.Duration(lane.WindowNs),
	}
	var err error
	class.Consistency, err = translate(consistencies, "Extra.NeedsByClass", s.Extra.NeedsByClass[i])
	if err != nil {
		return class, err
	}
	class.Idempotency, err = translate(idempotencies, "Lanes.Effect", lane.Effect)
	if err != nil {
		return class, err
	}
	class.IdempotencyScope, err = translate(idempotencyScopes, "Lanes.Group", lane.Group)
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
