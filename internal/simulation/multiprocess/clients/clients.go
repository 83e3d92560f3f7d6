package clients

import (
	"math/rand/v2"
	"sync"
	"time"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/multiprocess/history"
)

const (
	// drawStream is the second word of the seed, which makes the clients' random numbers independent of those
	// of other packages.
	drawStream = 23

	// minRate limits the pause between two arrivals when a load shape drops to zero, in requests per second.
	minRate = 0.1
)

// Options define what the clients send, and to which routers.
type Options struct {
	LocalTargets  map[string][]Target // by site: its own routers, which its clients use while one of them is healthy
	RemoteTargets map[string][]Target // by site: the routers of other sites, used when no local one is healthy

	Rate            float64      // requests per second, all sites together
	RateShape       []fleet.Step // the factor of Rate over time
	Classes         []fleet.Class
	ReplicaGroups   int
	Sessions        int
	Retries         int
	RetryAfterShare float64 // the share of requests whose client waits for as long as a rejection asks for
	Backoff         time.Duration

	FailureDetectionDelay time.Duration // until a load balancer stops using a router that has died
	Seed                  uint64
}

// Result holds the statistics of a run.
type Result struct {
	Seconds []fleet.Second          // by the second in which a request was due
	Tally   map[string]*fleet.Tally // by class
}

// Clients are the clients of all sites. Create them with New.
type Clients struct {
	options Options
	log     *history.Log
	stopped chan struct{} // closed when the run has ended
	started time.Time     // of the run

	requests sync.WaitGroup

	mutex           sync.Mutex // guards the fields below, and the state of the targets
	rng             *rand.Rand
	loadBalancers   map[string]*loadBalancer // by site
	sessionPosition []time.Duration          // by session: the replication position of its newest write
	lastNumber      int                      // of a request
	result          Result
}

// New returns clients that send nothing before Run. Their load balancers start health checks at once.
func New(options Options, log *history.Log) *Clients {
	clients := &Clients{
		options:         options,
		log:             log,
		stopped:         make(chan struct{}),
		rng:             rand.New(rand.NewPCG(options.Seed, drawStream)),
		loadBalancers:   map[string]*loadBalancer{},
		sessionPosition: make([]time.Duration, max(1, options.Sessions)),
		result:          Result{Tally: map[string]*fleet.Tally{}},
	}
	for _, class := range options.Classes {
		clients.result.Tally[class.Name] = &fleet.Tally{}
	}
	for site, localTargets := range options.LocalTargets {
		balancer := newLoadBalancer(localTargets, options.RemoteTargets[site])
		clients.loadBalancers[site] = balancer
		for _, target := range balancer.all() {
			go clients.checkHealth(target)
		}
	}
	return clients
}

// HealthyLocalTargets returns how many routers are in use by the load balancers of their own sites.
func (clients *Clients) HealthyLocalTargets() int {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	count := 0
	for _, balancer := range clients.loadBalancers {
		count += len(healthyTargets(balancer.local))
	}
	return count
}

// Run sends requests for a time, waits until all of them have ended and returns their statistics. It may be called
// once.
func (clients *Clients) Run(length time.Duration) Result {
	clients.started = time.Now()
	clients.result.Seconds = make([]fleet.Second, int((length+time.Second-1)/time.Second))
	sites := make([]string, 0, len(clients.loadBalancers))
	for site := range clients.loadBalancers {
		sites = append(sites, site)
	}
	due := clients.started
	for {
		rate := clients.options.Rate * fleet.Part(clients.options.RateShape, time.Since(clients.started))
		pause, next := clients.drawArrival(rate, sites)
		due = due.Add(pause)
		if due.Sub(clients.started) >= length {
			break
		}
		time.Sleep(time.Until(due))
		next.due = due
		clients.recordArrival(next)
		clients.requests.Add(1)
		go clients.runRequest(next)
	}
	clients.requests.Wait()
	close(clients.stopped)
	return clients.result
}

// drawArrival draws the pause before the next request, and the request.
func (clients *Clients) drawArrival(rate float64, sites []string) (time.Duration, *request) {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	pauseSeconds := clients.rng.ExpFloat64() / max(rate, minRate)
	pause := time.Duration(pauseSeconds * 1e9)
	return pause, clients.drawRequest(sites)
}
