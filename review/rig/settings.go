package main

import "time"

// class is a class of requests in the settings.
type class struct {
	name     string
	aim      time.Duration
	limit    time.Duration // after which clients give up
	worth    float64
	effect   string // safe or unsafe
	needs    string // loose, recent, own_writes or update
	lagBound time.Duration
}

// classes of a small deployment: a view, a long report and a job that must never run twice.
var (
	viewClass   = class{"queue-view", 300 * time.Millisecond, 1200 * time.Millisecond, 2, "safe", "loose", 0}
	reportClass = class{"audit-report", 5 * time.Second, 10 * time.Second, 6, "safe", "loose", 0}
	jobClass    = class{"submit-job", time.Second, 3 * time.Second, 3, "unsafe", "update", 0}
)

// settings returns the settings of a small deployment, as the platform gives them.
func settings(tokenMode string, classes ...class) map[string]any {
	var lanes []map[string]any
	var needs []string
	var lags []int64
	for _, c := range classes {
		lanes = append(lanes, map[string]any{
			"AimNs": c.aim.Nanoseconds(), "Effect": c.effect, "GiveUpNs": c.limit.Nanoseconds(), "Group": "all",
			"Importance": c.worth, "LateShare": 0.2, "Name": c.name, "Stream": false, "WindowNs": int64(5e9),
		})
		needs = append(needs, c.needs)
		lags = append(lags, c.lagBound.Nanoseconds())
	}
	return map[string]any{
		"ClientHabits": map[string]any{"MarksRetry": false},
		"Contract": map[string]any{
			"AnswerSlackNs": int64(20e6), "AskWithinNs": int64(10e9), "ColdFrom": 0.16, "ColdNs": int64(18e9),
			"DrainGraceNs": int64(2e9), "FallMultiple": 2.5, "FallNs": int64(2e9),
		},
		"Discovery": "ask",
		"Extra": map[string]any{
			"Guards": "silent", "HoldsForNs": 0, "LagAllowedNs": lags, "NeedsByClass": needs, "OriginTimeNs": 0,
			"ProgressTold": true, "ReportX0": "position in seconds after zero", "ReportX1": "1 from a primary",
			"RoleListed": "initial", "Sync": false, "TokenMode": tokenMode,
			"Notes": "position in ms after zero x 4, plus 1 from a primary or 2 from a replica",
		},
		"Instances": 1, "KindOfService": "replicas", "Lanes": lanes, "Layers": []string{"queue-db"},
		"Limits": map[string]any{
			"Cancelling": true, "ConnIdleNs": int64(15e9), "ConnectTimeoutNs": int64(250e6), "CpuUsPerRequest": 0.0,
			"CpuUsPerS": 400000, "MaxOpen": 20000, "MaxRetryAfterNs": int64(2e9), "MostTries": 10, "Multiplex": 1,
			"PeerMessages": false, "Probes": true, "RetryAfter": false, "SecondCopies": false,
		},
		"Locality": "eagle-farm", "MachineTypes": []string{"std-3core"}, "OverShareWorth": 0.1, "Position": 0,
		"Prices": map[string]any{
			"Connection": 0.0, "CrossZone": 0.014, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.061, "Moves": 0.0,
			"Origin": 0.0, "Peer": 0.0, "Probe": 0.017, "Waste": 0.022,
		},
		"Reporting":    map[string]any{"Fields": []string{"x0", "x1", "util"}, "How": "pull"},
		"ResolutionNs": int64(5e6),
		"ScoreParts":   map[string]any{"Whole": 0.5, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.3},
		"Tenants":      []any{}, "Tier": 0, "Weights": "rough", "WorthBy": "request",
		"Zones": []string{"eagle-farm", "springwood", "north-lakes"},
	}
}

// listed returns the entry of a ready machine.
func listed(m *machine, startedMs int64) entry {
	e := entry{
		ID: m.id, Addr: m.addr, Zone: m.zone, Kind: "std-3core", Cell: m.cell, State: "ready", Weight: 1,
		StartedMs: startedMs, Mode: "read-only",
	}
	if m.primary() {
		e.Mode = "read-write"
	}
	return e
}
