package clients

import (
	"errors"
	"time"

	"limeladder/internal/pgwire"
)

const (
	healthCheckInterval = 50 * time.Millisecond
	healthCheckTimeout  = 500 * time.Millisecond // for connecting, and again for the answer
)

// errNotReady reports that a router answered a health check with anything but the answer to an empty query.
var errNotReady = errors.New("router is not ready")

// Target is a router and the address at which the clients of one site reach it.
type Target struct {
	Router      string
	Address     string
	Incarnation func() int // returns the incarnation that runs now; called from any goroutine
}

// target is a Target with its state, which the mutex of Clients guards.
type target struct {
	Target
	healthy         bool
	idleConnections []*connection // the one used last is at the end
}

// loadBalancer selects a router for each request of the clients of one site.
type loadBalancer struct {
	local  []*target // of the same site
	remote []*target
}

func newLoadBalancer(localTargets, remoteTargets []Target) *loadBalancer {
	return &loadBalancer{local: newTargets(localTargets), remote: newTargets(remoteTargets)}
}

func newTargets(addresses []Target) []*target {
	targets := make([]*target, 0, len(addresses))
	for _, address := range addresses {
		targets = append(targets, &target{Target: address})
	}
	return targets
}

// all returns the local targets, then the remote ones.
func (balancer *loadBalancer) all() []*target {
	all := make([]*target, 0, len(balancer.local)+len(balancer.remote))
	all = append(all, balancer.local...)
	return append(all, balancer.remote...)
}

// candidates returns the healthy local targets, or the healthy remote ones if there are none. The caller holds the
// mutex of Clients.
func (balancer *loadBalancer) candidates() []*target {
	if local := healthyTargets(balancer.local); len(local) > 0 {
		return local
	}
	return healthyTargets(balancer.remote)
}

func healthyTargets(targets []*target) []*target {
	var healthy []*target
	for _, target := range targets {
		if target.healthy {
			healthy = append(healthy, target)
		}
	}
	return healthy
}

// pickTarget returns a random one of the targets that a site's load balancer uses. It reports false if there are none.
// The caller holds the mutex.
func (clients *Clients) pickTarget(site string) (*target, bool) {
	candidates := clients.loadBalancers[site].candidates()
	if len(candidates) == 0 {
		return nil, false
	}
	return candidates[clients.rng.IntN(len(candidates))], true
}

// checkHealth checks a target's health until the run has ended. A target becomes healthy with its first answer, and
// unhealthy once it has failed for longer than the failure detection delay.
func (clients *Clients) checkHealth(target *target) {
	var failingSince time.Time
	for {
		err := probe(target.Address)
		clients.mutex.Lock()
		switch {
		case err == nil:
			target.healthy = true
			failingSince = time.Time{}
		case failingSince.IsZero():
			failingSince = time.Now()
		case time.Since(failingSince) > clients.options.FailureDetectionDelay:
			target.healthy = false
		}
		clients.mutex.Unlock()
		select {
		case <-clients.stopped:
			return
		case <-time.After(healthCheckInterval):
		}
	}
}

// probe connects to a router and sends an empty query.
func probe(address string) error {
	connection, err := dial(address, healthCheckTimeout)
	if err != nil {
		return err
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(healthCheckTimeout))
	answer, err := connection.exchange(pgwire.AppendQuery(nil, ""))
	if err != nil {
		return err
	}
	if answer.sqlState != "" || !answer.isEmptyQuery {
		return errNotReady
	}
	return nil
}
