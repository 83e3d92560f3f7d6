package config

import (
	"errors"
	"fmt"
	"time"

	"limeladder/balance"
)

// Settings is the object that an instance is given at its start, on the simulator's wire and in EDGE_CONFIG.
type Settings struct {
	Instances      int
	Locality       string
	Discovery      string
	ResolutionNs   int64
	OverShareWorth float64
	Lanes          []struct {
		Name                      string
		AimNs, GiveUpNs, WindowNs int64
		AimStretch                float64
		Importance, LateShare     float64
		Effect, Group             string
	}
	Tenants []struct {
		Name          string
		AllowancePerS float64
	}
	Extra struct {
		Guards, TokenMode string
		LagAllowedNs      []int64
		NeedsByClass      []string
		OriginTimeNs      *int64
	}
	Limits struct {
		Cancelling, Probes, RetryAfter bool
		MaxRetryAfterNs                int64
		ConnIdleNs, ConnectTimeoutNs   int64
		MaxOpen                        int
		MostTries                      int
	}
	Prices   struct{ Probe float64 }
	Contract struct {
		AskWithinNs            int64
		DrainGraceNs           int64
		ColdNs, FallNs         int64
		ColdFrom, FallMultiple float64
		SoftRemoval            bool
	}
}

var (
	needs = map[string]balance.Consistency{"loose": balance.ConsistencyAny, "recent": balance.ConsistencyBounded,
		"own_writes": balance.ConsistencySession, "latest": balance.ConsistencyLatest, "update": balance.ConsistencyWrite}
	effects = map[string]balance.Idempotency{"safe": balance.Idempotent, "keyed": balance.IdempotentWithKey, "unsafe": balance.NonIdempotent}
	scopes  = map[string]balance.IdempotencyScope{"": balance.ScopeAll, "cell": balance.ScopeGroup, "zone": balance.ScopeZone, "all": balance.ScopeAll}
	checks  = map[string]balance.FreshnessCheck{"": 0, "silent": balance.FreshnessCheckNone, "reject": balance.FreshnessCheckReject, "hold": balance.FreshnessCheckHold}
)

// Balance turns the settings into those of the decision module. Simulator and real router share it.
func (p *Settings) Balance() (balance.Config, error) {
	c := balance.Config{
		Instances: p.Instances, Zone: p.Locality, OverQuotaWeight: p.OverShareWorth,
		TimerResolution: time.Duration(p.ResolutionNs), PollDiscovery: p.Discovery == "ask",
		PollWithin:          time.Duration(p.Contract.AskWithinNs),
		DrainGrace:          time.Duration(p.Contract.DrainGraceNs),
		ClientSessionTokens: p.Extra.TokenMode == "client",
		HealthChecks:        p.Limits.Probes, HealthCheckCost: p.Prices.Probe, Cancellation: p.Limits.Cancelling,
		RetryAfter: p.Limits.RetryAfter, MaxRetryAfter: time.Duration(p.Limits.MaxRetryAfterNs),
		MaxAttempts: p.Limits.MostTries, SlowStartFrom: p.Contract.ColdFrom,
		SlowStartWindow: time.Duration(p.Contract.ColdNs), OverloadMultiple: p.Contract.FallMultiple,
		OverloadWindow: time.Duration(p.Contract.FallNs), SoftRemoval: p.Contract.SoftRemoval,
	}
	// Guards against a router that nobody tells of a drain: by a word it does not know it would neither ask nor follow.
	if p.Discovery != "ask" && p.Discovery != "push" {
		return c, fmt.Errorf("Discovery: unknown word %q", p.Discovery)
	}
	var ok bool
	if c.FreshnessCheck, ok = checks[p.Extra.Guards]; !ok {
		return c, fmt.Errorf("Extra.Guards: unknown word %q", p.Extra.Guards)
	}
	if p.Extra.OriginTimeNs == nil {
		return c, errors.New("Extra.OriginTimeNs: missing")
	}
	if len(p.Extra.NeedsByClass) != len(p.Lanes) {
		return c, fmt.Errorf("Extra.NeedsByClass: %d values for %d classes", len(p.Extra.NeedsByClass), len(p.Lanes))
	}
	if n := len(p.Extra.LagAllowedNs); n != len(p.Lanes) && n != 0 {
		return c, fmt.Errorf("Extra.LagAllowedNs: %d values for %d classes", n, len(p.Lanes))
	}
	for i, l := range p.Lanes {
		k := balance.Class{Name: l.Name, LatencyObjective: time.Duration(l.AimNs), ObjectiveStretch: l.AimStretch,
			ClientTimeout: time.Duration(l.GiveUpNs), PriorityWeight: l.Importance, LateWeightShare: l.LateShare,
			IdempotencyWindow: time.Duration(l.WindowNs)}
		if k.Consistency, ok = needs[p.Extra.NeedsByClass[i]]; !ok {
			return c, fmt.Errorf("Extra.NeedsByClass: unknown word %q", p.Extra.NeedsByClass[i])
		}
		if k.Idempotency, ok = effects[l.Effect]; !ok {
			return c, fmt.Errorf("Lanes.Effect: unknown word %q", l.Effect)
		}
		if k.IdempotencyScope, ok = scopes[l.Group]; !ok {
			return c, fmt.Errorf("Lanes.Group: unknown word %q", l.Group)
		}
		if len(p.Extra.LagAllowedNs) > 0 {
			k.MaxStaleness = time.Duration(p.Extra.LagAllowedNs[i])
		}
		c.Classes = append(c.Classes, k)
	}
	for _, t := range p.Tenants {
		c.Tenants = append(c.Tenants, balance.Tenant{Name: t.Name, Quota: t.AllowancePerS})
	}
	return c, nil
}
