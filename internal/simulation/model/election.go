package model

import "time"

// electionRetry is how long a group without an endpoint that can lead waits before it looks again.
const electionRetry = 100 * time.Millisecond

// primaryLost begins a change of primary if the endpoint, which went down or hangs, is the primary.
func (g *ReplicaGroup) primaryLost(endpoint *Endpoint) {
	if g.Primary != endpoint {
		return
	}
	if g.frozenAt == 0 {
		g.frozenAt = max(1, g.world.Clock.Now()-g.Replication.ShipDelay)
	}
	if g.electing {
		return
	}
	g.electing = true
	detectionDelay := drawBetween(g.world.rng, g.Replication.DetectionDelay)
	electionDelay := drawBetween(g.world.rng, g.Replication.ElectionDelay)
	g.world.Clock.After(detectionDelay, func() {
		if endpoint.state == Up && g.Primary == endpoint { // it is back before anyone has noticed
			g.electing = false
			g.frozenAt = 0
			g.world.changed(endpoint)
			return
		}
		g.world.Clock.After(electionDelay, func() { g.elect(endpoint) })
	})
}

// primaryDraining begins a handover if the endpoint, which drains, is the primary.
func (g *ReplicaGroup) primaryDraining(endpoint *Endpoint) {
	if g.Primary != endpoint || g.electing {
		return
	}
	g.electing = true
	g.world.Clock.After(drawBetween(g.world.rng, g.Replication.SwitchoverDelay), func() { g.elect(endpoint) })
}

// NameSuccessor says which endpoint is to be the primary after the next change.
func (g *ReplicaGroup) NameSuccessor(endpoint *Endpoint) { g.successor = endpoint }

// elect makes an endpoint the primary in place of old, and tries again later if none can be.
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
	g.frozenAt = 0
	g.primaryChanges++
	g.followPrimary(old)
	g.world.changed(elected)
	if old != elected {
		g.world.changed(old)
	}
}

// candidate returns the named successor or else the endpoint that has applied most; nil if none can be the primary.
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

// canLead reports whether the endpoint can be elected primary.
func (e *Endpoint) electable() bool { return e.state == Up && !e.draining && !e.removed }

// followPrimary lets the other endpoints follow a new primary, among them the old one, which has the whole log.
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
