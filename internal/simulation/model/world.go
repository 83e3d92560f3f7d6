package model

import (
	"math/rand/v2"
	"time"

	"limeladder/internal/simulation/event"
)

// World holds all endpoints and replica groups.
type World struct {
	Clock     *event.Clock
	Endpoints []*Endpoint
	Groups    []*ReplicaGroup

	rng      *rand.Rand
	watchers []func(*Endpoint)
}

// New returns a World without endpoints.
func New(clock *event.Clock, seed uint64) *World {
	return &World{Clock: clock, rng: rand.New(rand.NewPCG(seed, 0x1ab))}
}

// Watch registers watcher, which is called whenever the state or the role of an endpoint has changed.
func (world *World) Watch(watcher func(*Endpoint)) { world.watchers = append(world.watchers, watcher) }

// notifyWatchers notifies the watchers of a change of an endpoint.
func (world *World) notifyWatchers(endpoint *Endpoint) {
	for _, watcher := range world.watchers {
		watcher(endpoint)
	}
}

// drawBetween draws a duration that is uniformly distributed between two bounds.
func drawBetween(rng *rand.Rand, bounds [2]time.Duration) time.Duration {
	return bounds[0] + time.Duration(rng.Float64()*float64(bounds[1]-bounds[0]))
}
