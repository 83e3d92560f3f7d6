// Package multiprocess runs a scenario with several real processes of the router. Endpoints, discovery and clients are
// simulated, in several sites, and their connections to the routers pass through fault proxies, so that a script can
// inject faults into processes and links. This package drives the run; package history records what happened, and
// package check judges it.
package multiprocess

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"limeladder/internal/simulation/emulator"
	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/multiprocess/check"
	"limeladder/internal/simulation/multiprocess/clients"
	"limeladder/internal/simulation/multiprocess/faultproxy"
	"limeladder/internal/simulation/multiprocess/history"
)

// The maximum numbers of routers and endpoints in a run.
const (
	maxRouters   = 12
	maxEndpoints = 48
)

// discovery belongs to no site.
var discovery = faultproxy.Peer{Name: "discovery"}

// Options define a run.
type Options struct {
	Config  fleet.Config
	Seed    uint64
	Program string        // path of the router's executable
	Dir     string        // an existing folder for files and logs
	Notice  time.Duration // until a load balancer stops using a router that has died; 0 means 2 s
	Deploy  string        // content of the routers' deploy/limeladder.toml; empty means that every feature in it is off

	// Harm, if not nil, changes the configuration with which routers are started, to test the driver's own checks.
	Harm func(settings []byte) []byte
}

// Result holds the statistics of a run.
type Result struct {
	// Whole, Window and Class are the earned share of the priority weight: of the whole run, of its worst 10 s, and of
	// its worst class, which Worst names. Worth is their weighted sum, or 0 if a rule was broken.
	Worth, Whole, Window, Class float64
	Worst                       string
	Tally                       map[string]*fleet.Tally
	Seconds                     []fleet.Second
	Broken                      []check.Violation
	History                     []history.Entry
	Timeline                    string // path of its file
	Delays                      SchedulingDelays
}

// Driver is the state of one run.
type Driver struct {
	options   Options
	log       *history.Log
	network   *faultproxy.Network
	host      *emulator.Host
	routers   []*process
	views     []*discoveryView
	peers     map[string]faultproxy.Peer // by router; under "listen:" and a router, Name is its client address
	dialers   sync.Map                   // by remote address at an endpoint: the dialer of the connection
	startedAt time.Time
	steps     sync.WaitGroup
	stopped   chan struct{}
}

// dialer is the router that opened a connection to an endpoint.
type dialer struct {
	router      string
	incarnation int
	transitTime *faultproxy.TransitTime
}

// Run runs a scenario and checks the rules. An error means that it could not be run.
func Run(o Options) (*Result, error) {
	c := &o.Config
	switch {
	case c.Routers > maxRouters:
		return nil, fmt.Errorf("routers: %d exceeds the maximum of %d", c.Routers, maxRouters)
	case c.Banks*(c.Members+c.Spares) > maxEndpoints:
		return nil, fmt.Errorf("banks: %d endpoints exceed the maximum of %d", c.Banks*(c.Members+c.Spares),
			maxEndpoints)
	}
	for _, f := range c.Faults {
		if f.On != "" {
			return nil, fmt.Errorf("faults: when(%q) is not supported here: faults start at fixed times", f.On)
		}
		if f.What == "suspend" || f.What == "routers" {
			return nil, fmt.Errorf("faults: %s is not supported here: use crash, term or freeze", f.What)
		}
	}
	if o.Notice == 0 {
		o.Notice = 2 * time.Second
	}
	r := &Driver{
		options: o,
		log:     history.New(),
		network: faultproxy.New(o.Seed),
		peers:   map[string]faultproxy.Peer{},
		stopped: make(chan struct{}),
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	return r.run()
}

// start starts the endpoints, discovery and each router.
func (r *Driver) start() error {
	cfg := r.options.Config
	cfg.Faults = nil // the driver injects them
	var err error
	if r.host, err = emulator.New(cfg, r.options.Seed); err != nil {
		return err
	}
	r.host.Observe(observer{r})
	for i := range cfg.Routers {
		name, site := fmt.Sprint("r", i+1), cfg.Zones[i%len(cfg.Zones)]
		if err := r.addRouter(i, name, site); err != nil {
			return err
		}
	}
	return nil
}

// addRouter creates a router's links, discovery view and files, and starts it.
func (r *Driver) addRouter(i int, name, site string) error {
	cfg := &r.options.Config
	process := &process{
		Name: name, Site: site, dir: filepath.Join(r.options.Dir, name), program: r.options.Program,
		log: r.log,
	}
	peer := faultproxy.Peer{Name: name, Site: site}
	r.peers[name] = peer
	if err := os.MkdirAll(process.dir, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(process.dir, "limeladder.toml"), []byte(r.options.Deploy), 0o600); err != nil {
		return err
	}
	endpointLinks := map[string]*faultproxy.Link{}
	for id, m := range r.host.Addresses() {
		endpoint := faultproxy.Peer{Name: id, Site: r.host.Zone(id)}
		l, err := r.network.AddLink(peer, endpoint, func() string { return m }, faultproxy.Observer{
			Connected: func(local string, transitTime *faultproxy.TransitTime) {
				r.dialers.Store(local, dialer{name, process.Incarnation(), transitTime})
			},
			Abandoned: func(local string) {
				r.log.Add(history.ConnectionAbandoned{Router: name, Endpoint: id, Connection: local})
			},
		})
		if err != nil {
			return err
		}
		endpointLinks[id] = l
	}
	view := &discoveryView{
		host: r.host, network: r.network, log: r.log, router: process, pushed: cfg.Pushed,
		linkAddress: func(id string) string {
			if l := endpointLinks[id]; l != nil {
				return l.Address
			}
			return ""
		},
	}
	if err := view.start(); err != nil {
		return err
	}
	r.views = append(r.views, view)
	// An agent runs on the router's own host, so with pushed lists this link represents that from discovery to the
	// agent.
	discoveryLink, err := r.network.AddLink(peer, discovery, func() string { return view.listenAddress },
		faultproxy.Observer{})
	if err != nil {
		return err
	}
	discoveryAddress := discoveryLink.Address
	if cfg.Pushed {
		discoveryAddress = view.listenAddress
	}
	ip, err := freeLoopbackIP()
	if err != nil {
		return err
	}
	listen, operator := ip+":6432", ip+":9600"
	process.onStart = view.recordInitialList
	process.settings = func() ([]byte, error) {
		text, err := r.host.SettingsFor(emulator.RouterPlacement{
			Name: name, Listen: listen, Operator: operator, Zone: site,
			Discovery: discoveryAddress, Known: view.initialList(),
			Seed: r.options.Seed<<20 + uint64(i)<<8 + uint64(process.Incarnation()+1),
		})
		if err == nil && r.options.Harm != nil {
			text = r.options.Harm(text)
		}
		return text, err
	}
	r.routers = append(r.routers, process)
	r.peers["listen:"+name] = faultproxy.Peer{Name: listen}
	return process.start()
}

// freeLoopbackIP returns a random loopback address on which the router's port is free. A free port on 127.0.0.1 could
// be taken by another process before the router binds it; a random address of the loopback network is used by the
// router only.
func freeLoopbackIP() (string, error) {
	var err error
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
		var ln net.Listener
		if ln, err = net.Listen("tcp", ip+":6432"); err == nil {
			ln.Close()
			return ip, nil
		}
	}
	return "", fmt.Errorf("find a free loopback address: %w", err)
}

// addClientLinks adds links from the clients of each site to all routers. It returns the targets by site: those of the
// same site, and the others.
func (r *Driver) addClientLinks() (local, remote map[string][]clients.Target, err error) {
	local, remote = map[string][]clients.Target{}, map[string][]clients.Target{}
	for _, site := range r.options.Config.Zones {
		from := faultproxy.Peer{Name: "clients:" + site, Site: site}
		for _, p := range r.routers {
			to := faultproxy.Peer{Name: p.Name, Site: p.Site}
			address := func() string { return r.peers["listen:"+p.Name].Name }
			l, err := r.network.AddLink(from, to, address, faultproxy.Observer{})
			if err != nil {
				return nil, nil, err
			}
			d := clients.Target{Router: p.Name, Address: l.Address, Incarnation: p.Incarnation}
			if p.Site == site {
				local[site] = append(local[site], d)
			} else {
				remote[site] = append(remote[site], d)
			}
		}
		if local[site] == nil {
			local[site] = []clients.Target{}
		}
	}
	return local, remote, nil
}

// run runs the clients and the faults, and checks the rules.
func (r *Driver) run() (*Result, error) {
	cfg := &r.options.Config
	local, remote, err := r.addClientLinks()
	if err != nil {
		return nil, err
	}
	c := clients.New(clients.Options{
		LocalTargets:          local,
		RemoteTargets:         remote,
		Rate:                  cfg.Rate(),
		RateShape:             cfg.Shape,
		Classes:               cfg.Classes,
		ReplicaGroups:         cfg.Banks,
		Sessions:              cfg.Sessions,
		Retries:               cfg.Retries,
		RetryAfterShare:       cfg.Honour,
		Backoff:               cfg.Backoff,
		FailureDetectionDelay: r.options.Notice,
		Seed:                  r.options.Seed,
	}, r.log)
	if err := r.waitUntilReady(c); err != nil {
		return nil, err
	}
	for _, p := range r.routers {
		r.log.Add(history.ProcessEvent{Router: p.Name, Incarnation: p.Incarnation(), Ready: true})
	}
	r.startedAt = time.Now()
	for _, f := range cfg.Faults {
		r.schedule(f.At, func() { r.injectFault(f) })
	}
	delays := watchScheduling(r.log, r.routers, r.stopped)
	got := c.Run(cfg.Length)
	close(r.stopped)
	r.steps.Wait()
	for _, id := range r.host.OverloadedWhileWarmingUp() {
		r.log.Add(history.EndpointOverloaded{Endpoint: id})
	}
	res := &Result{
		Tally:   got.Tally,
		Seconds: got.Seconds,
		History: r.log.Entries(),
		Delays:  <-delays,
	}
	res.Whole, res.Window, res.Class, res.Worst = fleet.Score(got.Seconds, got.Tally)
	res.Worth = 0.5*res.Whole + 0.3*res.Window + 0.2*res.Class
	limits := check.Limits{
		DrainGrace:          cfg.Grace + socketTolerance,
		LateTolerance:       lateTolerance,
		NotificationTimeout: 6 * time.Second,
	}
	res.Broken = check.Run(limits, res.History, check.All...)
	if len(res.Broken) > 0 {
		res.Worth = 0
	}
	return res, r.writeTimeline(res)
}

// waitUntilReady waits until every router accepts clients.
func (r *Driver) waitUntilReady(c *clients.Clients) error {
	const longestStart = 30 * time.Second
	routers := r.options.Config.Routers
	for end := time.Now().Add(longestStart); c.HealthyLocalTargets() < routers; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d routers are ready after %v; their logs end with %s",
				c.HealthyLocalTargets(), routers, longestStart, r.lastLogLines())
		}
	}
	return nil
}

// lastLogLines returns the last line of each router's log.
func (r *Driver) lastLogLines() string {
	var logLines []string
	for _, p := range r.routers {
		text, _ := os.ReadFile(filepath.Join(p.dir, fmt.Sprintf("log.%d", p.Incarnation())))
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		logLines = append(logLines, fmt.Sprintf("%s: %q", p.Name, lines[len(lines)-1]))
	}
	return strings.Join(logLines, "; ")
}

const (
	// socketTolerance is added to each time limit of the rules, for the overhead of real sockets.
	socketTolerance = 50 * time.Millisecond
	// lateTolerance is how long after its timeout an answer may arrive: socketTolerance, and the delay of the driver
	// itself on a busy machine.
	lateTolerance = 250 * time.Millisecond
)

// close stops everything that the run has started.
func (r *Driver) close() {
	for _, p := range r.routers {
		p.cleanUp()
	}
	for _, v := range r.views {
		v.close()
	}
	r.network.Close()
	if r.host != nil {
		r.host.Stop()
	}
}
