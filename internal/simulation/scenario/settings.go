package scenario

import (
	"errors"
	"time"

	"limeladder/internal/simulation/fleet"
)

func (r *scriptReader) about(c call) error {
	text, err := c.singleArgument("takes one string")
	if err != nil {
		return err
	}
	return stringField(&r.scenario.About)(text)
}

func (r *scriptReader) fleet(c call) error {
	config := &r.scenario.Config
	return c.set(map[string]field{
		"routers":          intField(&config.Routers, 1, 2000),
		"banks":            intField(&config.Banks, 1, 5000),
		"members":          intField(&config.Members, 1, 50),
		"spares":           intField(&config.Spares, 0, 50),
		"zones":            stringsField(&config.Zones),
		"memory_mb":        intField(&config.MemoryMB, 16, 1<<16),
		"sockets":          intField(&config.Sockets, 128, 1<<20),
		"tries":            intField(&config.MostTries, 0, 1000),
		"grace_ms":         durationField(&config.Grace, time.Millisecond),
		"sites":            stringField(&config.Sites),
		"come_back_s":      durationField(&config.Comeback, time.Second),
		"checks":           freshnessCheckField(&config.Checks),
		"probe_price":      floatField(&config.ProbePrice, 0, 1),
		"held_back":        floatField(&config.HeldBack, 0, 1),
		"cancel":           boolField(&config.Cancel),
		"harm_cold_budget": boolField(&config.HarmColdBudget),
		"connect_ms":       durationField(&config.ConnectWithin, time.Millisecond),
		"idle_s":           durationField(&config.ConnIdle, time.Second),
	})
}

func (r *scriptReader) endpoint(c call) error {
	spec := &r.scenario.Config.Kind
	return c.set(map[string]field{
		"cores":         intField(&spec.Cores, 1, 1024),
		"speed":         floatField(&spec.Speed, 0.001, 1000),
		"slots":         intField(&spec.Slots, 1, 1<<16),
		"room":          intField(&spec.QueueCapacity, 0, 1<<20),
		"thrash":        floatField(&spec.ContentionLoss, 0, 10),
		"thrash_at":     floatField(&spec.ContentionThreshold, 0, 1000),
		"cold_from":     floatField(&spec.SlowStartShare, 0.01, 1),
		"cold_s":        durationField(&spec.SlowStartWindow, time.Second),
		"warm_by_work":  boolField(&spec.SlowStartByWork),
		"fall_multiple": floatField(&spec.OverloadMultiple, 0.1, 1000),
		"fall_s":        durationField(&spec.OverloadWindow, time.Second),
		"fall_back_s":   durationField(&spec.RestartDelay, time.Second),
		"connections":   intField(&spec.MaxConnections, 0, 1<<20),
		"full_tax":      floatField(&spec.ConnectionCost, 0, 0.95),
		"handshake_ms":  durationField(&spec.HandshakeWork, time.Millisecond),
		"probe_ms":      durationField(&spec.HealthCheckWork, time.Millisecond),
		"refresh_ms":    durationField(&spec.ReportInterval, time.Millisecond),
		"noise":         floatField(&spec.ReportNoise, 0, 10),
		"errors":        floatField(&spec.ErrorShare, 0, 1),
		"cancel_stops":  boolField(&spec.CancelsRunning),
		"drops_late":    boolField(&spec.DropsExpired),
	})
}

func (r *scriptReader) replication(c call) error {
	replication := &r.scenario.Config.Follow
	return c.set(map[string]field{
		"ship_ms":     durationField(&replication.ShipDelay, time.Millisecond),
		"apply_ms":    durationField(&replication.ApplyTime, time.Millisecond),
		"detect_s":    durationsField(&replication.DetectionDelay, time.Second),
		"stand_s":     durationsField(&replication.ElectionDelay, time.Second),
		"hand_over_s": durationsField(&replication.SwitchoverDelay, time.Second),
		"resync_s":    durationField(&replication.ResyncDelay, time.Second),
	})
}

func (r *scriptReader) network(c call) error {
	config := &r.scenario.Config
	return c.set(map[string]field{
		"same_ms":       durationField(&config.Same, time.Millisecond),
		"cross_ms":      durationField(&config.Cross, time.Millisecond),
		"client_ms":     durationField(&config.Client, time.Millisecond),
		"jitter":        floatField(&config.Jitter, 0, 10),
		"notice_s":      durationsField(&config.Notice, time.Second),
		"silent_s":      durationsField(&config.Silent, time.Second),
		"call_ms":       durationField(&config.Call, time.Millisecond),
		"call_within_s": durationField(&config.CallWithin, time.Second),
		"pushed":        boolField(&config.Pushed),
		"role_lag_s":    durationsField(&config.RoleLag, time.Second),
	})
}

func (r *scriptReader) clients(c call) error {
	config := &r.scenario.Config
	return c.set(map[string]field{
		"retries":    intField(&config.Retries, 0, 1000),
		"honour":     floatField(&config.Honour, 0, 1),
		"backoff_ms": durationField(&config.Backoff, time.Millisecond),
		"leave":      floatField(&config.Leave, 0, 1),
		"sessions":   intField(&config.Sessions, 1, 1<<20),
		"roam":       floatField(&config.Roam, 0, 1),
	})
}

func (r *scriptReader) traffic(c call) error {
	config := &r.scenario.Config
	return c.set(map[string]field{
		"use":      floatField(&config.Use, 0.001, 20),
		"length_s": durationField(&config.Length, time.Second),
		"bursts":   floatField(&config.Bursts, 0, 5),
	})
}

// loadChange adds a change of the load. Changes must be given in order of time.
func (r *scriptReader) loadChange(c call) error {
	change := fleet.Step{Part: 1}
	err := c.set(map[string]field{
		"at_s":   durationField(&change.At, time.Second),
		"ramp_s": durationField(&change.Ramp, time.Second),
		"to":     floatField(&change.Part, 0, 100),
	})
	shape := r.scenario.Config.Shape
	switch {
	case len(shape) > maxItems:
		return errors.New("too many load changes")
	case err != nil:
		return err
	case len(shape) > 0 && change.At < shape[len(shape)-1].At:
		return errors.New("at_s: earlier than the previous jump")
	}
	r.scenario.Config.Shape = append(shape, change)
	return nil
}
