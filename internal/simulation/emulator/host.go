// Package emulator is the laboratory's skin on sockets: the machines of the model behind listeners on loopback that speak
// PostgreSQL, and discovery over HTTP, so that the real program runs before them. The model's clock follows the system's.
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

// Visit is a statement that has come whole to a machine over one connection.
type Visit struct {
	Member, Remote string // the machine, and the other end of the connection
	ID, Class      string
	Write          bool
	See            time.Duration // the position that a read has to see, as the machine reckons it when it comes; 0 = any
	Led            bool          // the machine leads its bank, or did
}

// Ending is how a machine has ended a statement.
type Ending struct {
	Outcome  model.Outcome
	Position time.Duration
	Primary  bool
}

// Observer is told what reaches the machines. Its methods are called from many goroutines and must not call the Host.
type Observer interface {
	// Came is called when a statement has come to a machine.
	Came(v Visit)
	// Ended comes once for each Came: answered, or given up with its connection (gone).
	Ended(v Visit, e Ending, gone bool)
}

// Host runs a world in real time.
type Host struct {
	observer Observer // nil = none

	cfg   fleet.Config
	begin time.Time
	rng   *rand.Rand
	wake  chan struct{}
	end   chan struct{}
	ended sync.WaitGroup

	mu      sync.Mutex // guards all below; the model belongs to who holds it
	clock   *event.Clock
	world   *model.World
	servers []*server
	list    *directory
	marks   []fleet.Mark
	pushed  []string // machines that were pushed over while cold
	count   fleet.Count
	stopped bool
}

// New starts machines and discovery on loopback. Faults come at their times from now on.
func New(cfg fleet.Config, seed uint64) (*Host, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	for _, x := range cfg.Faults {
		if x.What == "cut" || x.What == "routers" || x.What == "suspend" || slices.Contains(fleet.MultiprocessFaults, x.What) {
			return nil, fmt.Errorf("faults: %s needs more than one process: limeladder-sim rig", x.What)
		}
	}
	begin := time.Now()
	h := &Host{cfg: cfg, begin: begin, rng: rand.New(rand.NewPCG(seed, 5)), wake: make(chan struct{}, 1), end: make(chan struct{})}
	// Positions go over the wire as instants, so the model's clock tells the time of day.
	h.clock = event.New(time.Duration(begin.UnixNano()))
	h.world = model.New(h.clock, seed)
	for b := range cfg.Banks {
		bank := h.world.AddReplicaGroup(int64(b+1), cfg.Follow)
		for i := range cfg.Members + cfg.Spares {
			m := h.world.AddEndpoint(fmt.Sprintf("db%d%c", b+1, 'a'+i), cfg.Zones[(b+i)%len(cfg.Zones)], cfg.Kind, bank)
			if i >= cfg.Members {
				m.Reserve()
			}
			s := &server{h: h, m: m, conns: map[*session]bool{}}
			if err := s.listen("127.0.0.1:0"); err != nil {
				h.Stop()
				return nil, err
			}
			h.servers = append(h.servers, s)
		}
	}
	if err := h.direct(); err != nil {
		h.Stop()
		return nil, err
	}
	h.world.Watch(h.changed)
	for _, x := range cfg.Faults {
		h.clock.After(x.At, func() { h.befall(x) })
	}
	h.ended.Add(1)
	go h.run()
	return h, nil
}

// Observe sets who is told; it is called before any router is started.
func (h *Host) Observe(o Observer) { h.observer = o }

// Count is what has reached the machines: statements that came whole, connections that were welcomed, and probes.
func (h *Host) Count() (c fleet.Count) {
	h.with(func() { c = h.count })
	return c
}

// Pushed are the machines that were pushed over while they were cold, so far.
func (h *Host) Pushed() (ids []string) {
	h.with(func() { ids = append(ids, h.pushed...) })
	return ids
}

// Zone is where a machine stands, "" = there is none of that id.
func (h *Host) Zone(id string) (zone string) {
	h.Machines(func(m *model.Endpoint) {
		if m.ID == id {
			zone = m.Zone
		}
	})
	return zone
}

// Machines calls f with each machine of the world, as it is now.
func (h *Host) Machines(f func(m *model.Endpoint)) {
	h.with(func() {
		for _, m := range h.world.Endpoints {
			f(m)
		}
	})
}

// Stop ends all of it.
func (h *Host) Stop() {
	h.mu.Lock()
	if h.stopped {
		h.mu.Unlock()
		return
	}
	h.stopped = true
	close(h.end)
	for _, s := range h.servers {
		s.close()
	}
	if h.list != nil {
		h.list.close()
	}
	h.mu.Unlock()
	h.ended.Wait()
}

// run lets the model's clock follow the system's.
func (h *Host) run() {
	defer h.ended.Done()
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
		case <-h.end:
			return
		case <-h.wake:
		case <-idle.C:
		}
	}
}

func (h *Host) now() time.Duration { return time.Duration(h.begin.UnixNano()) + time.Since(h.begin) }

// with does something in the model as of now.
func (h *Host) with(f func()) {
	h.mu.Lock()
	h.clock.Run(h.now())
	before, _ := h.clock.Next()
	f()
	after, ok := h.clock.Next()
	h.mu.Unlock()
	if ok && after != before {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}

// Discovery is the address of the list's service, Members those of the machines by id.
func (h *Host) Discovery() string { return h.list.addr }

// Members are the machines' addresses, by id.
func (h *Host) Members() map[string]string {
	out := map[string]string{}
	for _, s := range h.servers {
		out[s.m.ID] = s.addr
	}
	return out
}

// Marks are the faults that have come.
func (h *Host) Marks() []fleet.Mark {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]fleet.Mark(nil), h.marks...)
}

// Befall carries out a fault now.
func (h *Host) Befall(x fleet.Fault) { h.with(func() { h.befall(x) }) }

func (h *Host) befall(x fleet.Fault) {
	h.marks = append(h.marks, fleet.Mark{At: h.clock.Now() - time.Duration(h.begin.UnixNano()), Text: strings.TrimSpace(x.What + " " + strings.Join(x.Who, " ")), For: x.For})
	if x.What == "discovery" {
		h.list.down = h.clock.Now() + x.For
		return
	}
	fleet.Befall(h.world, x, h.cfg.Kind.ErrorShare)
}

// changed follows a machine's state: one that is down has no listener and no connections.
func (h *Host) changed(m *model.Endpoint) {
	if m.State() == model.Down && m.WarmingUp() && strings.HasPrefix(m.Cause(), "pushed over") && !slices.Contains(h.pushed, m.ID) {
		h.pushed = append(h.pushed, m.ID)
	}
	for _, s := range h.servers {
		if s.m != m {
			continue
		}
		if m.State() == model.Down {
			s.close()
		} else if s.ln == nil && !h.stopped {
			if err := s.listen(s.addr); err != nil {
				h.clock.After(50*time.Millisecond, func() { h.changed(m) }) // its port is still held
			}
		}
	}
}

// Seat is where a router stands in this world.
type Seat struct {
	Name, Listen, Operator, Zone string
	Discovery                    string
	Known                        config.EndpointList
	Seed                         uint64
}

// Settings is the configuration with which the one router of this world meets it.
func (h *Host) Settings(name, listen, operator string, seed uint64) ([]byte, error) {
	return h.SettingsFor(Seat{Name: name, Listen: listen, Operator: operator, Zone: h.cfg.Zones[0], Discovery: h.Discovery(), Known: h.List(0), Seed: seed})
}

// List is what discovery says has changed behind a version, all of it behind 0. It is empty while discovery says nothing.
func (h *Host) List(since int64) (l config.EndpointList) {
	h.with(func() {
		if h.list.down <= h.clock.Now() {
			l = h.list.since(since)
		}
	})
	return l
}

// SettingsFor is the configuration of one of several routers.
func (h *Host) SettingsFor(s Seat) ([]byte, error) {
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

// server is a machine's listener.
type server struct {
	h     *Host
	m     *model.Endpoint
	addr  string
	ln    net.Listener
	conns map[*session]bool
}

func (s *server) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("standins: %w", err)
	}
	s.ln, s.addr = ln, ln.Addr().String()
	go s.accept(ln)
	return nil
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		x := &session{s: s, c: c, epoch: -1}
		s.h.mu.Lock()
		if s.ln == ln {
			s.conns[x] = true
			go x.serve()
		} else {
			c.Close()
		}
		s.h.mu.Unlock()
	}
}

func (s *server) close() {
	if s.ln != nil {
		s.ln.Close()
		s.ln = nil
	}
	for x := range s.conns {
		x.c.Close()
		delete(s.conns, x)
	}
}

// Sample is the state of the world now; InHand is the caller's.
func (h *Host) Sample() (s fleet.Sample) {
	h.with(func() {
		s.At = h.clock.Now() - time.Duration(h.begin.UnixNano())
		for _, m := range h.world.Endpoints {
			s.Machines = append(s.Machines, fleet.Look(m, h.clock.Now()))
		}
	})
	return s
}

// Changes is how often primaries have changed, Did how many statements the machines have served.
func (h *Host) Changes() (changes int, did uint64) {
	h.with(func() {
		for _, b := range h.world.Groups {
			changes += b.PrimaryChanges()
		}
		for _, m := range h.world.Endpoints {
			did += m.Served()
		}
	})
	return changes, did
}
