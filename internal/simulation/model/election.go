package model

import "time"

// electionRetry is how long a group without an electable endpoint waits before its next attempt.
const electionRetry = 100 * time.Millisecond

// failOverIfPrimary starts a failover if the endpoint, which went down or hangs, is the primary.
func (g *ReplicaGroup) failOverIfPrimary(endpoint *Endpoint) {
	if g.Primary != endpoint {
		return
	}
	if g.knownLimit == 0 {
		g.knownLimit = max(1, g.world.Clock.Now()-g.Replication.ShipDelay)
	}
	if g.electing {
		return
	}
	g.electing = true
	detectionDelay := drawBetween(g.world.rng, g.Replication.DetectionDelay)
	electionDelay := drawBetween(g.world.rng, g.Replication.ElectionDelay)
	g.world.Clock.After(detectionDelay, func() {
		if endpoint.state == Up && g.Primary == endpoint { // it recovered before its loss was detected
			g.electing = false
			g.knownLimit = 0
			g.world.notifyWatchers(endpoint)
			return
		}
		g.world.Clock.After(electionDelay, func() { g.elect(endpoint) })
	})
}

// switchOverIfPrimary starts a switchover if the endpoint, which is draining, is the primary.
func (g *ReplicaGroup) switchOverIfPrimary(endpoint *Endpoint) {
	if g.Primary != endpoint || g.electing {
		return
	}
	g.electing = true
	g.world.Clock.After(drawBetween(g.world.rng, g.Replication.SwitchoverDelay), func() { g.elect(endpoint) })
}

// NameSuccessor sets the endpoint that the next election prefers as primary.
func (g *ReplicaGroup) NameSuccessor(endpoint *Endpoint) { g.successor = endpoint }

// elect promotes an endpoint to primary in place of old, and tries again later if there is no candidate.
func (g *ReplicaGroup) elect(old *Endpoint) {
	elected := g.candidate()
	if elected == nil {
		g.world.Clock.After(electionRetry, func() { g.elect(old) })
		return
	}
	g.successor = nil
	elected.replica.promote(g)
	elected.wasPrimary = true
	g.Primary = elected
	g.electing = false
	g.knownLimit = 0
	g.primaryChanges++
	g.followPrimary(old)
	g.world.notifyWatchers(elected)
	if old != elected {
		g.world.notifyWatchers(old)
	}
}

// candidate returns the named successor if it is electable, else the electable endpoint that has applied the most
// commits; nil if no endpoint is electable.
func (g *ReplicaGroup) candidate() *Endpoint {
	if g.successor != nil && g.successor.electable() {
		return g.successor
	}
	var best *Endpoint
	for _, endpoint := range g.Endpoints {
		if endpoint.electable() && (best == nil || endpoint.replica.next > best.replica.next) {
			best = endpoint
		}
	}
	return best
}

// electable reports whether the endpoint can be elected primary.
func (e *Endpoint) electable() bool { return e.state == Up && !e.draining && !e.removed }

// followPrimary makes the other endpoints replicas of the new primary. Among them is the old primary, which has the
// whole log.
func (g *ReplicaGroup) followPrimary(old *Endpoint) {
	now := g.world.Clock.Now()
	for _, endpoint := range g.Endpoints {
		if endpoint == g.Primary {
			continue
		}
		if endpoint == old && endpoint.state != Down {
			endpoint.replica.copyLog(g)
			endpoint.replica.knownPosition = now
		}
		endpoint.replica.received = max(endpoint.replica.received, g.committed())
		endpoint.replica.apply(endpoint)
	}
}
