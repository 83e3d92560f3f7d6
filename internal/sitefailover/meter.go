package sitefailover

import (
	"math"
	"time"
)

// Key names what is counted.
type Key struct {
	Class string
	Bank  int64
}

// meterSpan is over how long demand is averaged: long enough for a router that sees little, short enough for a burst of seconds.
const meterSpan = 10 * time.Second

// meterMost is how many keys are counted: classes and banks come from settings and lists, but a client may name any bank.
const meterMost = 4096

// Meter measures demand: a rate that forgets with meterSpan. The zero Meter is empty.
type Meter struct {
	rates map[Key]*rate
}

type rate struct {
	level float64 // requests, forgotten exponentially
	at    time.Duration
	since time.Duration // its first request: the mean of a short while is not that of a long one
}

// Asked counts one request.
func (m *Meter) Asked(now time.Duration, k Key) {
	r := m.rates[k]
	if r == nil {
		if len(m.rates) >= meterMost {
			m.forget(now)
		}
		if len(m.rates) >= meterMost {
			return
		}
		if m.rates == nil {
			m.rates = map[Key]*rate{}
		}
		r = &rate{at: now, since: now}
		m.rates[k] = r
	}
	r.fade(now)
	r.level++
}

func (r *rate) fade(now time.Duration) {
	r.level *= math.Exp(-float64(now-r.at) / float64(meterSpan))
	r.at = now
}

// forget drops what has not been asked for long.
func (m *Meter) forget(now time.Duration) {
	for k, r := range m.rates {
		if r.fade(now); r.level < 0.01 {
			delete(m.rates, k)
		}
	}
}

// Rates are requests a second by key.
func (m *Meter) Rates(now time.Duration) map[Key]float64 {
	out := map[Key]float64{}
	m.forget(now)
	for k, r := range m.rates {
		// Of a level that began so long ago only this part has had time to build up.
		built := max(0.05, 1-math.Exp(-float64(now-r.since)/float64(meterSpan)))
		out[k] = r.level / (built * meterSpan.Seconds())
	}
	return out
}

// Classes are requests a second by class.
func (m *Meter) Classes(now time.Duration) map[string]float64 {
	out := map[string]float64{}
	for k, v := range m.Rates(now) {
		out[k.Class] += v
	}
	return out
}
