package config

import (
	"time"

	"limeladder/balance"
)

// Settings is the object that a router is given at its start, by the protocol of the simulator and in EDGE_CONFIG. Its
// names are those of that protocol; Balance translates them.
type Settings struct {
	Instances      int
	Locality       string
	Discovery      string // how the endpoint list comes: "ask" or "push"
	ResolutionNs   int64
	OverShareWorth float64
	Lanes          []Lane
	Tenants        []Tenant
	Extra          ExtraSettings
	Limits         AttemptLimits
	Prices         Prices
	Contract       Contract
}

// Lane is a class of requests.
type Lane struct {
	Name       string
	AimNs      int64
	GiveUpNs   int64
	WindowNs   int64
	AimStretch float64
	Importance float64
	LateShare  float64
	Effect     string // one of idempotencies
	Group      string // one of idempotencyScopes
}

// Tenant is a client that has a share of the capacity.
type Tenant struct {
	Name          string
	AllowancePerS float64
}

// ExtraSettings are about the freshness of responses.
type ExtraSettings struct {
	Guards       string // one of freshnessChecks
	TokenMode    string
	LagAllowedNs []int64  // by lane; empty if no lane has a bound
	NeedsByClass []string // by lane, each one of consistencies
	OriginTimeNs *int64
}

// AttemptLimits bound the attempts of a request and the connections for them.
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

// Prices are what the router pays for its own calls.
type Prices struct {
	Probe float64
}

// Contract is what endpoints and discovery promise.
type Contract struct {
	AskWithinNs  int64
	DrainGraceNs int64
	ColdNs       int64
	FallNs       int64
	ColdFrom     float64
	FallMultiple float64
	SoftRemoval  bool
}

// The words of the settings, in the terms of the decision module.
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
	// discoveryPolls says for each kind of discovery whether the router polls it.
	discoveryPolls = map[string]bool{
		"ask":  true,
		"push": false,
	}
)

const clientTokens = "client"

// translate returns what a word means, or an error that names the field.
func translate[T any](words map[string]T, field, word string) (T, error) {
	meaning, ok := words[word]
	if !ok {
		return meaning, fieldErrorf(field, "unknown word %q", word)
	}
	return meaning, nil
}

// Balance returns the settings in the terms of the decision module. Simulator and real router share it.
func (s *Settings) Balance() (balance.Config, error) {
	c := s.withoutWords()
	var err error
	// A kind of discovery that is not known must not pass: the router would neither poll nor follow the list.
	c.PollDiscovery, err = translate(discoveryPolls, "Discovery", s.Discovery)
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

// withoutWords returns all that needs no translation of words and no check.
func (s *Settings) withoutWords() balance.Config {
	return balance.Config{
		Instances:       s.Instances,
		Zone:            s.Locality,
		OverQuotaWeight: s.OverShareWorth,
		TimerResolution: time.Duration(s.ResolutionNs),

		PollWithin:  time.Duration(s.Contract.AskWithinNs),
		DrainGrace:  time.Duration(s.Contract.DrainGraceNs),
		SoftRemoval: s.Contract.SoftRemoval,

		ClientSessionTokens: s.Extra.TokenMode == clientTokens,

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

// checkExtra checks that what is given by lane is given for each of them.
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

// class translates a lane. The slices that are given by lane have been checked.
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

// checkTimeouts checks what a router on sockets needs; the simulator goes without.
func (s *Settings) checkTimeouts() error {
	if s.Limits.ConnectTimeoutNs <= 0 {
		return &FieldError{Field: "settings.Limits.ConnectTimeoutNs", Reason: errMissing}
	}
	if s.Limits.ConnIdleNs <= 0 {
		return &FieldError{Field: "settings.Limits.ConnIdleNs", Reason: errMissing}
	}
	return nil
}
