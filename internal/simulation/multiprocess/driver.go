// Package multiprocess plays a scenario with several real processes of the program. Endpoints, discovery and clients
// are the simulation's, in sites, and all that goes between them and the routers goes through fault proxies, so that
// what happens to processes and links is a step of a script. The package drives; what happened is in package history,
// what it means in package check.
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

// The most that a run starts.
const (
	maxRouters   = 12
	maxEndpoints = 48
)

// discovery stands in no site.
var discovery = faultproxy.Peer{Name: "discovery"}

// Options say what is played, and with what.
type Options struct {
	Config  fleet.Config
	Seed    uint64
	Program string        // the router
	Dir     string        // where files and logs go; it has to exist
	Notice  time.Duration // until a front has noticed that a router has died
	Deploy  string        // the routers' deploy/limeladder.toml, "" = all of it is off

	// Harm, where not nil, changes the configuration with which routers are started: for trying the rig itself.
	Harm func(settings []byte) []byte
}

// Result is what a run has shown.
type Result struct {
	Worth, Whole, Window, Class float64
	Worst                       string
	Tally                       map[string]*fleet.Tally
	Seconds                     []fleet.Second
	Broken                      []check.Violation
	History                     []history.Entry
	Timeline                    string // its file
	Delays                      SchedulingDelays
}

// Driver is what is running.
type Driver struct {
	o       Options
	log     *history.Log
	net     *faultproxy.Network
	host    *emulator.Host
	routers []*process
	views   []*view
	points  map[string]faultproxy.Peer
	by      sync.Map // a machine's remote address: who dialled
	begin   time.Time
	steps   sync.WaitGroup
	stop    chan struct{}
}

// dialler is who is at the other end of a machine's connection.
type dialler struct {
	router string
	life   int
	held   *faultproxy.TransitTime
}

// Run plays a scenario and checks it. An error means that it could not be played.
func Run(o Options) (*Result, error) {
	c := &o.Config
	switch {
	case c.Routers > maxRouters:
		return nil, fmt.Errorf("routers: %d, a rig starts %d at most", c.Routers, maxRouters)
	case c.Banks*(c.Members+c.Spares) > maxEndpoints:
		return nil, fmt.Errorf("banks: %d machines, a rig starts %d at most", c.Banks*(c.Members+c.Spares), maxEndpoints)
	}
	for _, f := range c.Faults {
		if f.On != "" {
			return nil, fmt.Errorf("faults: a rig goes by its clock: when(%q) can't be played", f.On)
		}
		if f.What == "suspend" || f.What == "routers" {
			return nil, fmt.Errorf("faults: %s is not for a rig: crash, term and freeze name routers", f.What)
		}
	}
	if o.Notice == 0 {
		o.Notice = 2 * time.Second
	}
	r := &Driver{
		o:      o,
		log:    history.New(),
		net:    faultproxy.New(o.Seed),
		points: map[string]faultproxy.Peer{},
		stop:   make(chan struct{}),
	}
	defer r.end()
	if err := r.start(); err != nil {
		return nil, err
	}
	return r.play()
}

// start builds the world and starts the routers, each once.
func (r *Driver) start() error {
	cfg := r.o.Config
	cfg.Faults = nil // they come from here
	var err error
	if r.host, err = emulator.New(cfg, r.o.Seed); err != nil {
		return err
	}
	r.host.Observe(observer{r})
	for i := range cfg.Routers {
		name, site := fmt.Sprint("r", i+1), cfg.Zones[i%len(cfg.Zones)]
		if err := r.router(i, name, site); err != nil {
			return err
		}
	}
	return nil
}

// router prepares one: its ways, its view of discovery, its files.
func (r *Driver) router(i int, name, site string) error {
	cfg := &r.o.Config
	p := &process{Name: name, Site: site, dir: filepath.Join(r.o.Dir, name), program: r.o.Program, log: r.log}
	me := faultproxy.Peer{Name: name, Site: site}
	r.points[name] = me
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(p.dir, "limeladder.toml"), []byte(r.o.Deploy), 0o600); err != nil {
		return err
	}
	ways := map[string]*faultproxy.Link{}
	for id, m := range r.host.Addresses() {
		at := faultproxy.Peer{Name: id, Site: r.host.Zone(id)}
		l, err := r.net.AddLink(me, at, func() string { return m }, faultproxy.Observer{
			Connected: func(local string, held *faultproxy.TransitTime) { r.by.Store(local, dialler{name, p.Life(), held}) },
			Abandoned: func(local string) {
				r.log.Add(history.ConnectionAbandoned{Router: name, Endpoint: id, Connection: local})
			},
		})
		if err != nil {
			return err
		}
		ways[id] = l
	}
	v := &view{host: r.host, net: r.net, log: r.log, router: p, pushed: cfg.Pushed, addr: func(id string) string {
		if l := ways[id]; l != nil {
			return l.Address
		}
		return ""
	}}
	if err := v.start(); err != nil {
		return err
	}
	r.views = append(r.views, v)
	// An agent is on the router's own machine; this way then stands for discovery's to the agent.
	way, err := r.net.AddLink(me, discovery, func() string { return v.listen }, faultproxy.Observer{})
	if err != nil {
		return err
	}
	asks := way.Address
	if cfg.Pushed {
		asks = v.listen
	}
	ip, err := host()
	if err != nil {
		return err
	}
	listen, operator := ip+":6432", ip+":9600"
	p.began = v.began
	p.settings = func() ([]byte, error) {
		text, err := r.host.SettingsFor(emulator.RouterPlacement{
			Name: name, Listen: listen, Operator: operator, Zone: site, Discovery: asks, Known: v.known(),
			Seed: r.o.Seed<<20 + uint64(i)<<8 + uint64(p.Life()+1),
		})
		if err == nil && r.o.Harm != nil {
			text = r.o.Harm(text)
		}
		return text, err
	}
	r.routers = append(r.routers, p)
	r.points["listen:"+name] = faultproxy.Peer{Name: listen}
	return p.start()
}

// host is an address of loopback that nobody else listens on. A port that was free a moment ago on an address that all
// share may be somebody's a moment later, before the router has bound it; here nobody but the router asks for one.
func host() (string, error) {
	var err error
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
		var ln net.Listener
		if ln, err = net.Listen("tcp", ip+":6432"); err == nil {
			ln.Close()
			return ip, nil
		}
	}
	return "", fmt.Errorf("no address on loopback: %w", err)
}

// doors are the ways of each site's clients to the routers of it, and to the others.
func (r *Driver) doors() (own, others map[string][]clients.Target, err error) {
	own, others = map[string][]clients.Target{}, map[string][]clients.Target{}
	for _, site := range r.o.Config.Zones {
		from := faultproxy.Peer{Name: "clients:" + site, Site: site}
		for _, p := range r.routers {
			to := faultproxy.Peer{Name: p.Name, Site: p.Site}
			address := func() string { return r.points["listen:"+p.Name].Name }
			l, err := r.net.AddLink(from, to, address, faultproxy.Observer{})
			if err != nil {
				return nil, nil, err
			}
			d := clients.Target{Router: p.Name, Address: l.Address, Incarnation: p.Life}
			if p.Site == site {
				own[site] = append(own[site], d)
			} else {
				others[site] = append(others[site], d)
			}
		}
		if own[site] == nil {
			own[site] = []clients.Target{}
		}
	}
	return own, others, nil
}

// play lets clients ask and the steps come, and judges what happened.
func (r *Driver) play() (*Result, error) {
	cfg := &r.o.Config
	own, others, err := r.doors()
	if err != nil {
		return nil, err
	}
	c := clients.New(clients.Options{
		LocalTargets:          own,
		RemoteTargets:         others,
		Rate:                  cfg.Rate(),
		RateShape:             cfg.Shape,
		Classes:               cfg.Classes,
		ReplicaGroups:         cfg.Banks,
		Sessions:              cfg.Sessions,
		Retries:               cfg.Retries,
		RetryAfterShare:       cfg.Honour,
		Backoff:               cfg.Backoff,
		FailureDetectionDelay: r.o.Notice,
		Seed:                  r.o.Seed,
	}, r.log)
	if err := r.waitUntilReady(c); err != nil {
		return nil, err
	}
	for _, p := range r.routers {
		r.log.Add(history.ProcessEvent{Router: p.Name, Incarnation: p.Life(), Ready: true})
	}
	r.begin = time.Now()
	for _, f := range cfg.Faults {
		r.later(f.At, func() { r.step(f) })
	}
	delays := watchScheduling(r.log, r.routers, r.stop)
	got := c.Run(cfg.Length)
	close(r.stop)
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
		DrainGrace:          cfg.Grace + contractSlack,
		LateTolerance:       lateness,
		NotificationTimeout: 6 * time.Second,
	}
	res.Broken = check.Run(limits, res.History, check.All...)
	if len(res.Broken) > 0 {
		res.Worth = 0
	}
	return res, r.write(res)
}

// waitUntilReady waits until every router takes clients.
func (r *Driver) waitUntilReady(c *clients.Clients) error {
	const longestStart = 30 * time.Second
	routers := r.o.Config.Routers
	for end := time.Now().Add(longestStart); c.HealthyLocalTargets() < routers; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d routers are ready after %v; their logs end with %s",
				c.HealthyLocalTargets(), routers, longestStart, r.lastWords())
		}
	}
	return nil
}

// lastWords is the last line of each router's log.
func (r *Driver) lastWords() string {
	var out []string
	for _, p := range r.routers {
		text, _ := os.ReadFile(filepath.Join(p.dir, fmt.Sprintf("log.%d", p.Life())))
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		out = append(out, fmt.Sprintf("%s: %q", p.Name, lines[len(lines)-1]))
	}
	return strings.Join(out, "; ")
}

const (
	// contractSlack is by how much each time limit of the rules grows on sockets.
	contractSlack = 50 * time.Millisecond
	// lateness is how much later than its time an answer may come: the contract's slack, and what the driver itself may
	// be late on a busy machine.
	lateness = 250 * time.Millisecond
)

// end ends all that was started.
func (r *Driver) end() {
	for _, p := range r.routers {
		p.end()
	}
	for _, v := range r.views {
		v.close()
	}
	r.net.Close()
	if r.host != nil {
		r.host.Stop()
	}
}
