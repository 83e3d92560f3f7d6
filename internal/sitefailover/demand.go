package sitefailover

import (
	"math"
	"time"
)

// Key names what is counted.
type DemandKey struct {
	Class string
	Group int64
}

// meterSpan is over how long demand is averaged: long enough for a router that sees little, short enough for a burst of seconds.
const demandTimeConstant = 10 * time.Second

// meterMost is how many keys are counted: classes and banks come from settings and lists, but a client may name any bank.
const maxDemandKeys = 4096

// Meter measures demand: a rate that forgets with meterSpan. The zero Meter is empty.
type DemandMeter struct {
	demands map[DemandKey]*decayingCount
}

type decayingCount struct {
	level     float64 // requests, forgotten exponentially
	updatedAt time.Duration
	firstAt   time.Duration // its first request: the mean of a short while is not that of a long one
}

// Asked counts one request.
func (m *DemandMeter) Record(now time.Duration, k DemandKey) {
	r := m.demands[k]
	if r == nil {
		if len(m.demands) >= maxDemandKeys {
			m.forget(now)
		}
		if len(m.demands) >= maxDemandKeys {
			return
		}
		if m.demands == nil {
			m.demands = map[DemandKey]*decayingCount{}
		}
		r = &decayingCount{updatedAt: now, firstAt: now}
		m.demands[k] = r
	}
	r.decay(now)
	r.level++
}

func (r *decayingCount) decay(now time.Duration) {
	r.level *= math.Exp(-float64(now-r.updatedAt) / float64(demandTimeConstant))
	r.updatedAt = now
}

// forget drops what has not been asked for long.
func (m *DemandMeter) forget(now time.Duration) {
	for k, r := range m.demands {
		if r.decay(now); r.level < 0.01 {
			delete(m.demands, k)
		}
	}
}

// Rates are requests a second by key.
func (m *DemandMeter) Rates(now time.Duration) map[DemandKey]float64 {
	out := map[DemandKey]float64{}
	m.forget(now)
	for k, r := range m.demands {
		// Of a level that began so long ago only this part has had time to build up.
		built := max(0.05, 1-math.Exp(-float64(now-r.firstAt)/float64(demandTimeConstant)))
		out[k] = r.level / (built * demandTimeConstant.Seconds())
	}
	return out
}

// Classes are requests a second by class.
func (m *DemandMeter) RatesByClass(now time.Duration) map[string]float64 {
	out := map[string]float64{}
	for k, v := range m.Rates(now) {
		out[k.Class] += v
	}
	return out
}
