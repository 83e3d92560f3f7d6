package model

import "time"

// LoadReport is the load that an endpoint reports about itself, with its replication position and role.
type LoadReport struct {
	Position    time.Duration
	Primary     bool
	Utilization float64 // share of the capacity used since the previous report
}

// loadMeter holds the last load report, and the measurements for the next one.
type loadMeter struct {
	report LoadReport
	madeAt time.Duration // 0 = no report was made yet
	work   float64       // done since madeAt, in core-seconds
}

// RequestReport requests the load report. done is called with ok false if the endpoint is down, and not at all if it
// hangs or breaks its connections before it answers.
func (e *Endpoint) RequestReport(done func(report LoadReport, ok bool)) {
	switch e.state {
	case Down:
		done(LoadReport{}, false)
		return
	case Hung:
		return
	}
	now := e.now()
	if e.load.madeAt == 0 || now-e.load.madeAt >= e.Spec.ReportInterval {
		e.makeReport(now)
	}
	e.countOffered(e.Spec.HealthCheckWork)
	e.workDone += e.Spec.HealthCheckWork.Seconds()
	report := e.load.report
	epoch := e.epoch
	e.world.Clock.After(e.timeOnCore(e.Spec.HealthCheckWork), func() {
		if e.epoch == epoch && e.state == Up {
			done(report, true)
		}
	})
}

// makeReport replaces the load report by one that covers the time since the last report.
func (e *Endpoint) makeReport(now time.Duration) {
	e.advance()
	utilization := 0.0
	elapsed := (now - e.load.madeAt).Seconds()
	if e.load.madeAt > 0 && elapsed > 0 {
		utilization = e.load.work / elapsed / max(1e-9, e.Capacity())
	}
	utilization *= 1 + e.Spec.ReportNoise*e.world.rng.NormFloat64()
	e.load.report = LoadReport{Position: e.Position(), Primary: e.IsPrimary(), Utilization: max(0, utilization)}
	e.load.madeAt = now
	e.load.work = 0
}
