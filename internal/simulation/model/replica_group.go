package model

import "time"

// logTrimInterval is the log length, in commits, at whose multiples trimLog is called.
const logTrimInterval = 256

// ReplicaGroup is a primary and its replicas.
type ReplicaGroup struct {
	ID          int64
	Endpoints   []*Endpoint
	Primary     *Endpoint // in any state; nil while the group is empty
	Replication Replication

	world          *World
	log            []commit      // commits not yet applied by all replicas, and applied ones that aren't trimmed yet
	firstCommit    int           // the number of log[0]
	knownLimit     time.Duration // time after which replicas know of no commit while the primary is lost; else 0
	electing       bool
	primaryChanges int
	successor      *Endpoint // preferred by the next election; nil = none
}

// commit is an entry of the log.
type commit struct {
	committedAt time.Duration
	applyTime   time.Duration
}

// AddReplicaGroup adds a replica group without endpoints.
func (world *World) AddReplicaGroup(id int64, replication Replication) *ReplicaGroup {
	g := &ReplicaGroup{ID: id, Replication: replication, world: world}
	world.Groups = append(world.Groups, g)
	return g
}

// PrimaryChanges returns how many elections have been completed.
func (g *ReplicaGroup) PrimaryChanges() int { return g.primaryChanges }

// AcceptsWrites reports whether the group has a primary that currently accepts writes.
func (g *ReplicaGroup) AcceptsWrites() bool {
	return g.Primary != nil && g.Primary.state == Up && !g.electing
}

// committed returns the number of the next commit.
func (g *ReplicaGroup) committed() int { return g.firstCommit + len(g.log) }

// appendCommit adds a commit to the log and ships it to the replicas.
func (g *ReplicaGroup) appendCommit(now time.Duration) {
	applyTime := time.Duration(0)
	if g.Replication.ApplyTime > 0 {
		applyTime = time.Duration(g.world.rng.ExpFloat64() * float64(g.Replication.ApplyTime))
	}
	g.log = append(g.log, commit{now, applyTime})
	committed := g.committed()
	g.world.Clock.After(g.Replication.ShipDelay, func() {
		for _, endpoint := range g.Endpoints {
			if endpoint != g.Primary && endpoint.state != Down {
				endpoint.replica.receive(endpoint, committed)
			}
		}
	})
	if len(g.log)%logTrimInterval == 0 {
		g.trimLog()
	}
}

// trimLog drops the commits that all replicas have applied.
func (g *ReplicaGroup) trimLog() {
	least := g.committed()
	for _, endpoint := range g.Endpoints {
		if endpoint != g.Primary && !endpoint.removed {
			least = min(least, endpoint.replica.next)
		}
	}
	if applied := least - g.firstCommit; applied > 0 {
		g.log = append(g.log[:0:0], g.log[applied:]...)
		g.firstCommit = least
	}
}
