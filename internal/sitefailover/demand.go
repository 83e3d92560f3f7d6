package sitefailover

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time over which demand is averaged: long enough for a router that sees few requests,
	// short enough for a burst of seconds.
	demandTimeConstant = 10 * time.Second
	// maxDemandKeys bounds the keys that are counted, because a client may name any group.
	maxDemandKeys = 4096
	// negligibleCount is the count below which a demand is forgotten.
	negligibleCount = 0.01
	// minBuiltUpShare bounds the extrapolation from a demand that has only just begun.
	minBuiltUpShare = 0.05
)

// DemandKey names what is counted: the requests of a class to a replica group.
type DemandKey struct {
	Class string
	Group int64
}

// DemandMeter measures demand as a moving average. The zero DemandMeter is ready for use. It is not safe for concurrent
// use.
type DemandMeter struct {
	demands map[DemandKey]*decayingCount
}

// decayingCount counts requests and forgets them exponentially.
type decayingCount struct {
	level     float64 // requests, as of updatedAt
	updatedAt time.Duration
	firstAt   time.Duration // the first request: a count that began lately has not built up yet
}

// Record counts one request.
func (m *DemandMeter) Record(now time.Duration, key DemandKey) {
	count := m.demands[key]
	if count == nil {
		if len(m.demands) >= maxDemandKeys {
			m.forget(now)
		}
		if len(m.demands) >= maxDemandKeys {
			return
		}
		if m.demands == nil {
			m.demands = map[DemandKey]*decayingCount{}
		}
		count = &decayingCount{updatedAt: now, firstAt: now}
		m.demands[key] = count
	}
	count.decay(now)
	count.level++
}

func (c *decayingCount) decay(now time.Duration) {
	c.level *= math.Exp(-float64(now-c.updatedAt) / float64(demandTimeConstant))
	c.updatedAt = now
}

// perSecond is the rate of requests.
func (c *decayingCount) perSecond(now time.Duration) float64 {
	// Of the level that a steady demand reaches, only this share has had time to build up.
	builtUp := max(minBuiltUpShare, 1-math.Exp(-float64(now-c.firstAt)/float64(demandTimeConstant)))
	return c.level / (builtUp * demandTimeConstant.Seconds())
}

// forget drops the keys for which there was no request for a long time.
func (m *DemandMeter) forget(now time.Duration) {
	for key, count := range m.demands {
		count.decay(now)
		if count.level < negligibleCount {
			delete(m.demands, key)
		}
	}
}

// Rates returns the requests a second by key.
func (m *DemandMeter) Rates(now time.Duration) map[DemandKey]float64 {
	rates := map[DemandKey]float64{}
	m.forget(now)
	for key, count := range m.demands {
		rates[key] = count.perSecond(now)
	}
	return rates
}

// RatesByClass returns the requests a second by class.
func (m *DemandMeter) RatesByClass(now time.Duration) map[string]float64 {
	rates := map[string]float64{}
	for key, rate := range m.Rates(now) {
		rates[key.Class] += rate
	}
	return rates
}
