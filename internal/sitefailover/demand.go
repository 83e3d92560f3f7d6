package sitefailover

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the moving average: long enough for a router with few requests, short
	// enough to show a burst of a few seconds.
	demandTimeConstant = 10 * time.Second
	// maxDemandKeys bounds the number of keys, because a client may name any group.
	maxDemandKeys = 4096
	// negligibleCount is the count below which a key is deleted.
	negligibleCount = 0.01
	// minBuiltUpShare limits the extrapolation from a demand that has only just started.
	minBuiltUpShare = 0.05
)

// DemandKey identifies the requests of a class to a replica group.
type DemandKey struct {
	Class string
	Group int64
}

// DemandMeter measures demand as a moving average. The zero DemandMeter is ready for use. It is not safe for concurrent
// use.
type DemandMeter struct {
	demands map[DemandKey]*decayingCount
}

// decayingCount is a count of requests that decays exponentially.
type decayingCount struct {
	level     float64 // requests, as of updatedAt
	updatedAt time.Duration
	firstAt   time.Duration // time of the first request; a recent one means that level has not built up yet
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

// perSecond returns the rate in requests per second.
func (c *decayingCount) perSecond(now time.Duration) float64 {
	// builtUp is the share of its final level that a constant demand has reached since the first request.
	builtUp := max(minBuiltUpShare, 1-math.Exp(-float64(now-c.firstAt)/float64(demandTimeConstant)))
	return c.level / (builtUp * demandTimeConstant.Seconds())
}

// forget deletes the keys without a request for a long time.
func (m *DemandMeter) forget(now time.Duration) {
	for key, count := range m.demands {
		count.decay(now)
		if count.level < negligibleCount {
			delete(m.demands, key)
		}
	}
}

// Rates returns the requests per second by key.
func (m *DemandMeter) Rates(now time.Duration) map[DemandKey]float64 {
	rates := map[DemandKey]float64{}
	m.forget(now)
	for key, count := range m.demands {
		rates[key] = count.perSecond(now)
	}
	return rates
}

// RatesByClass returns the requests per second by class.
func (m *DemandMeter) RatesByClass(now time.Duration) map[string]float64 {
	rates := map[string]float64{}
	for key, rate := range m.Rates(now) {
		rates[key.Class] += rate
	}
	return rates
}
