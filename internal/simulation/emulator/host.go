// Package emulator serves the simulation model's endpoints on loopback sockets: each endpoint speaks the PostgreSQL
// protocol, and discovery runs over HTTP, so that the real router can run in front of them. The model's virtual clock
// follows the system clock.
package emulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/simulation/event"
	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/model"
)

// ReceivedStatement is a statement that an endpoint has received completely over one connection.
type ReceivedStatement struct {
	Member, Remote string // the endpoint's ID, and the remote address of the connection
	ID, Class      string // of the request
	Write          bool
	See            time.Duration // minimum position that a read has to see, computed on receipt; 0 = any
	Led            bool          // the endpoint is the primary of its replica group, or was at an earlier time
}

// StatementResult is the result of a statement at an endpoint.
type StatementResult struct {
	Outcome  model.Outcome
	Position time.Duration // the endpoint's replication position
	Primary  bool          // the endpoint was the primary
}

// Observer is notified of the statements that reach the endpoints. Its methods are called from many goroutines and must
// not call the Host.
type Observer interface {
	// Came is called when an endpoint has received a statement completely.
	Came(v ReceivedStatement)
	// Ended is called once for each call of Came, with the result of the statement. gone reports that there is none, since
	// the client disconnected or the host stopped first.
	Ended(v ReceivedStatement, e StatementResult, gone bool)
}

// Host runs a model of replica groups and discovery in real time.
type Host struct {
	observer Observer // nil = none

	cfg         fleet.Config
	startedAt   time.Time
	rng         *rand.Rand
	rescheduled chan struct{} // receives when the next event's time has changed
	done        chan struct{} // closed at Stop
	running     sync.WaitGroup

	mu                       sync.Mutex // guards the fields below and all use of the model
	clock                    *event.Clock
	world                    *model.World
	servers                  []*server
	directory                *directory
	marks                    []fleet.Mark
	overloadedWhileWarmingUp []string // IDs of endpoints that failed from overload while warming up
	count                    fleet.Count
	stopped                  bool
}

// New starts endpoints and discovery on loopback. The faults of cfg are injected at their times, counted from now.
func New(cfg fleet.Config, seed uint64) (*Host, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	for _, x := range cfg.Faults {
		if x.What == "cut" || x.What == "routers" || x.What == "suspend" ||
			slices.Contains(fleet.MultiprocessFaults, x.What) {
			return nil, fmt.Errorf("faults: %s needs more than one process: limeladder-sim rig", x.What)
		}
	}
	begin := time.Now()
	h := &Host{
		cfg: cfg, startedAt: begin, rng: rand.New(rand.NewPCG(seed, 5)),
		rescheduled: make(chan struct{}, 1), done: make(chan struct{}),
	}
	// Positions are sent to clients as points in time, so the model's clock starts at the Unix time in nanoseconds.
	h.clock = event.New(time.Duration(begin.UnixNano()))
	h.world = model.New(h.clock, seed)
	for b := range cfg.Banks {
		bank := h.world.AddReplicaGroup(int64(b+1), cfg.Follow)
		for i := range cfg.Members + cfg.Spares {
			m := h.world.AddEndpoint(fmt.Sprintf("db%d%c", b+1, 'a'+i), cfg.Zones[(b+i)%len(cfg.Zones)], cfg.Kind, bank)
			if i >= cfg.Members {
				m.Reserve()
			}
			s := &server{host: h, endpoint: m, conns: map[*session]bool{}}
			if err := s.listen("127.0.0.1:0"); err != nil {
				h.Stop()
				return nil, err
			}
			h.servers = append(h.servers, s)
		}
	}
	if err := h.startDirectory(); err != nil {
		h.Stop()
		return nil, err
	}
	h.world.Watch(h.endpointChanged)
	for _, x := range cfg.Faults {
		h.clock.After(x.At, func() { h.injectFault(x) })
	}
	h.running.Add(1)
	go h.run()
	return h, nil
}

// Observe sets the observer. It must be called before any router is started.
func (h *Host) Observe(o Observer) { h.observer = o }

// Count returns the number of statements received completely, connections accepted and health checks at all endpoints.
func (h *Host) Count() (c fleet.Count) {
	h.withModel(func() { c = h.count })
	return c
}

// OverloadedWhileWarmingUp returns the IDs of the endpoints that have failed from overload while they were warming up.
func (h *Host) OverloadedWhileWarmingUp() (ids []string) {
	h.withModel(func() { ids = append(ids, h.overloadedWhileWarmingUp...) })
	return ids
}

// Zone returns the zone of an endpoint, "" if there is no endpoint with that ID.
func (h *Host) Zone(id string) (zone string) {
	h.Machines(func(m *model.Endpoint) {
		if m.ID == id {
			zone = m.Zone
		}
	})
	return zone
}

// Machines calls f with each endpoint in its current state.
func (h *Host) Machines(f func(m *model.Endpoint)) {
	h.withModel(func() {
		for _, m := range h.world.Endpoints {
			f(m)
		}
	})
}

// Stop closes all listeners and connections and waits until the model's clock has stopped.
func (h *Host) Stop() {
	h.mu.Lock()
	if h.stopped {
		h.mu.Unlock()
		return
	}
	h.stopped = true
	close(h.done)
	for _, s := range h.servers {
		s.close()
	}
	if h.directory != nil {
		h.directory.close()
	}
	h.mu.Unlock()
	h.running.Wait()
}

// run makes the model's clock follow the system clock.
func (h *Host) run() {
	defer h.running.Done()
	idle := time.NewTimer(time.Hour)
	defer idle.Stop()
	for {
		h.mu.Lock()
		h.clock.Run(h.now())
		wait := time.Hour
		if at, ok := h.clock.Next(); ok {
			wait = max(0, at-h.now())
		}
		h.mu.Unlock()
		idle.Reset(wait)
		select {
		case <-h.done:
			return
		case <-h.rescheduled:
		case <-idle.C:
		}
	}
}

func (h *Host) now() time.Duration {
	return time.Duration(h.startedAt.UnixNano()) + time.Since(h.startedAt)
}

// withModel advances the model to the current time and calls f while it holds the model's mutex.
func (h *Host) withModel(f func()) {
	h.mu.Lock()
	h.clock.Run(h.now())
	before, _ := h.clock.Next()
	f()
	after, ok := h.clock.Next()
	h.mu.Unlock()
	if ok && after != before {
		select {
		case h.rescheduled <- struct{}{}:
		default:
		}
	}
}

// Discovery returns the address of the discovery service.
func (h *Host) Discovery() string { return h.directory.addr }

// Addresses returns the endpoints' addresses by endpoint ID.
func (h *Host) Addresses() map[string]string {
	out := map[string]string{}
	for _, s := range h.servers {
		out[s.endpoint.ID] = s.addr
	}
	return out
}

// InjectedFaults returns the faults injected so far.
func (h *Host) InjectedFaults() []fleet.Mark {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]fleet.Mark(nil), h.marks...)
}

// InjectFault injects a fault now.
func (h *Host) InjectFault(x fleet.Fault) { h.withModel(func() { h.injectFault(x) }) }

func (h *Host) injectFault(x fleet.Fault) {
	h.marks = append(h.marks, fleet.Mark{
		At:   h.clock.Now() - time.Duration(h.startedAt.UnixNano()),
		Text: strings.TrimSpace(x.What + " " + strings.Join(x.Who, " ")), For: x.For,
	})
	if x.What == "discovery" {
		h.directory.downUntil = h.clock.Now() + x.For
		return
	}
	fleet.Befall(h.world, x, h.cfg.Kind.ErrorShare)
}

// endpointChanged opens and closes an endpoint's listener with its state: an endpoint that is down has no listener and
// no connections.
func (h *Host) endpointChanged(m *model.Endpoint) {
	if m.State() == model.Down && m.WarmingUp() && strings.HasPrefix(m.Cause(), "pushed over") &&
		!slices.Contains(h.overloadedWhileWarmingUp, m.ID) {
		h.overloadedWhileWarmingUp = append(h.overloadedWhileWarmingUp, m.ID)
	}
	for _, s := range h.servers {
		if s.endpoint != m {
			continue
		}
		if m.State() == model.Down {
			s.close()
		} else if s.listener == nil && !h.stopped {
			if err := s.listen(s.addr); err != nil {
				h.clock.After(50*time.Millisecond, func() { h.endpointChanged(m) }) // the port is still in use
			}
		}
	}
}

// RouterPlacement describes a router's place in the emulated environment.
type RouterPlacement struct {
	Name, Listen, Operator, Zone string              // Listen and Operator are addresses
	Discovery                    string              // address of the discovery service
	Known                        config.EndpointList // the list with which the router starts
	Seed                         uint64
}

// Settings returns the settings of a router that is the only one in front of the endpoints.
func (h *Host) Settings(name, listen, operator string, seed uint64) ([]byte, error) {
	return h.SettingsFor(RouterPlacement{
		Name: name, Listen: listen, Operator: operator,
		Zone: h.cfg.Zones[0], Discovery: h.Discovery(), Known: h.List(0), Seed: seed,
	})
}

// List returns the endpoints that have changed after a version, all of them after version 0. It is empty while
// discovery is down.
func (h *Host) List(since int64) (l config.EndpointList) {
	h.withModel(func() {
		if h.directory.downUntil <= h.clock.Now() {
			l = h.directory.changesSince(since)
		}
	})
	return l
}

// SettingsFor returns the settings of one of several routers.
func (h *Host) SettingsFor(s RouterPlacement) ([]byte, error) {
	c := h.cfg
	type lane struct {
		Name                  string
		AimNs, GiveUpNs       int64
		Importance, LateShare float64
		Effect                string
	}
	var lanes []lane
	var words []string
	var bounds []int64
	needs := []string{"loose", "recent", "own_writes", "latest", "update"}
	for _, k := range c.Classes {
		effect := "safe"
		if k.Idempotency != 0 {
			effect = "unsafe"
		}
		lanes = append(lanes, lane{k.Name, int64(k.LatencyObjective), int64(k.ClientTimeout), k.PriorityWeight, k.LateWeightShare, effect})
		words, bounds = append(words, needs[k.Consistency]), append(bounds, int64(k.MaxStaleness))
	}
	type object map[string]any
	discovery, guards := "ask", "reject"
	if c.Pushed {
		discovery = "push"
	}
	if c.Checks == balance.FreshnessCheckNone {
		guards = "silent"
	}
	return json.MarshalIndent(object{
		"name": s.Name, "listen": s.Listen, "operator": s.Operator, "discovery": s.Discovery, "seed": fmt.Sprintf("%x", s.Seed), "known": s.Known,
		"limits": object{"cores": 1, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"settings": object{
			"Instances": c.Routers, "Locality": s.Zone, "Discovery": discovery, "ResolutionNs": 5_000_000, "Lanes": lanes,
			"Extra": object{"Guards": guards, "TokenMode": "client", "NeedsByClass": words, "LagAllowedNs": bounds, "OriginTimeNs": 1},
			"Limits": object{
				"Cancelling": c.Cancel, "Probes": true, "RetryAfter": true, "MaxRetryAfterNs": int64(c.Comeback), "ConnIdleNs": int64(c.ConnIdle),
				"ConnectTimeoutNs": int64(c.ConnectWithin), "MostTries": c.MostTries,
			},
			"Prices": object{"Probe": c.ProbePrice},
			"Contract": object{
				"AskWithinNs": 5_000_000_000, "DrainGraceNs": int64(c.Grace), "ColdNs": int64(c.Kind.SlowStartWindow), "FallNs": int64(c.Kind.OverloadWindow), "ColdFrom": c.Kind.SlowStartShare,
				"FallMultiple": c.Kind.OverloadMultiple,
			},
		},
	}, "", " ")
}

// server is the listener of an endpoint.
type server struct {
	host     *Host
	endpoint *model.Endpoint
	addr     string
	listener net.Listener
	conns    map[*session]bool
}

func (s *server) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	s.listener, s.addr = ln, ln.Addr().String()
	go s.accept(ln)
	return nil
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		x := &session{server: s, conn: c, epoch: -1}
		s.host.mu.Lock()
		if s.listener == ln {
			s.conns[x] = true
			go x.serve()
		} else {
			c.Close()
		}
		s.host.mu.Unlock()
	}
}

func (s *server) close() {
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	for x := range s.conns {
		x.conn.Close()
		delete(s.conns, x)
	}
}

// Sample returns the current state of all endpoints. The caller sets InHand.
func (h *Host) Sample() (s fleet.Sample) {
	h.withModel(func() {
		s.At = h.clock.Now() - time.Duration(h.startedAt.UnixNano())
		for _, m := range h.world.Endpoints {
			s.Machines = append(s.Machines, fleet.Look(m, h.clock.Now()))
		}
	})
	return s
}

// PrimaryChangesAndServed returns how often primaries have changed and how many statements the endpoints have served.
func (h *Host) PrimaryChangesAndServed() (changes int, served uint64) {
	h.withModel(func() {
		for _, b := range h.world.Groups {
			changes += b.PrimaryChanges()
		}
		for _, m := range h.world.Endpoints {
			served += m.Served()
		}
	})
	return changes, served
}
