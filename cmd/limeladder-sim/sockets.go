package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"limeladder/internal/simulation/emulator"
	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/load"
	"limeladder/internal/simulation/report"
	"limeladder/internal/simulation/scenario"
)

// stand is emulated machines and discovery with the real program before them.
type stand struct {
	host   *emulator.Host
	cmd    *exec.Cmd
	dir    string
	addr   string
	second string
	op     string
	ended  chan error
}

// port is one on loopback that is free now.
func port() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// router finds the program: what is named, or what lies beside this one.
func router(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "limeladder")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("--router: no program beside this one: %w", err)
	}
	return path, nil
}

// start begins all of it and waits until the router takes connections.
func start(cfg fleet.Config, seed uint64, program, listen string) (s *stand, err error) {
	if program, err = router(program); err != nil {
		return nil, err
	}
	s = &stand{ended: make(chan error, 1)}
	defer func() {
		if err != nil {
			s.stop()
		}
	}()
	if s.dir, err = os.MkdirTemp("", "limeladder-sim"); err != nil {
		return nil, err
	}
	if s.host, err = emulator.New(cfg, seed); err != nil {
		return nil, err
	}
	s.addr = listen
	for _, a := range []*string{&s.addr, &s.second, &s.op} {
		if *a == "" {
			if *a, err = port(); err != nil {
				return nil, err
			}
		}
	}
	text, err := s.host.Settings("lab", s.addr, s.op, seed)
	if err != nil {
		return nil, err
	}
	hold := ""
	if len(cfg.Hold) > 0 {
		hold = "[changeover]\nclasses = [\"" + strings.Join(cfg.Hold, "\", \"") + "\"]\n"
	}
	for name, p := range map[string][]byte{"config.json": text, "limeladder.toml": []byte("[extended]\nlisten = \"" + s.second + "\"\n" + hold)} {
		if err = os.WriteFile(filepath.Join(s.dir, name), p, 0o600); err != nil {
			return nil, err
		}
	}
	log, err := os.Create(filepath.Join(s.dir, "router.log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the router has a descriptor of its own
	s.cmd = exec.Command(program)
	s.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+s.dir+"/config.json", "LIMELADDER_DEPLOY="+s.dir+"/limeladder.toml", "TMPDIR="+s.dir)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err = s.cmd.Start(); err != nil {
		s.cmd = nil
		return nil, err
	}
	go func() { s.ended <- s.cmd.Wait() }()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, e := net.DialTimeout("tcp", s.addr, time.Second); e == nil {
			c.Close()
			return s, nil
		}
		select {
		case e := <-s.ended:
			s.cmd = nil
			p, _ := os.ReadFile(filepath.Join(s.dir, "router.log"))
			return nil, fmt.Errorf("%s ended: %v: %s", program, e, strings.TrimSpace(string(p))) //nolint:errorlint // nil where it ended in order, which %w cannot print
		default:
		}
		if time.Now().After(end) {
			return nil, errors.New("the router takes no connections")
		}
	}
}

// stop ends what was started, the router in order.
func (s *stand) stop() {
	if s.cmd != nil {
		_ = s.cmd.Process.Signal(syscall.SIGTERM) // one that has ended already is waited for below
		select {
		case <-s.ended:
		case <-time.After(20 * time.Second):
			s.cmd.Process.Kill()
			<-s.ended
		}
	}
	if s.host != nil {
		s.host.Stop()
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir) // a temporary folder that stays is in nobody's way
	}
}

// read is a scenario of a file, or the usual fleet without one.
func read(file string) (*scenario.Scenario, error) {
	if file == "" {
		return &scenario.Scenario{Name: "usual", Config: fleet.Default()}, nil
	}
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return scenario.Load(file, src)
}

type upCommand struct {
	Scenario string `arg:"" optional:"" type:"existingfile" help:"A script; without one the usual fleet, and nothing befalls it."`
	Listen   string `default:"127.0.0.1:6432" help:"Where the router listens; only on loopback."`
	Router   string `type:"existingfile" help:"The program; without it limeladder beside this one."`
	Seed     uint64 `default:"1" help:"The seed."`
}

// Run stays until it is interrupted.
func (c *upCommand) Run(out io.Writer) error {
	if err := loopback(c.Listen); err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	s, err := read(c.Scenario)
	if err != nil {
		return err
	}
	s.Config.Routers = 1
	st, err := start(s.Config, c.Seed, c.Router, c.Listen)
	if err != nil {
		return err
	}
	defer st.stop()
	welcome(out, s, st)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	select {
	case <-ctx.Done():
		return nil
	case err := <-st.ended:
		st.cmd = nil
		return fmt.Errorf("the router has ended: %v", err) //nolint:errorlint // nil where it ended in order, which %w cannot print
	}
}

func loopback(addr string) error {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err == nil && !a.IP.IsLoopback() {
		err = fmt.Errorf("%s is not on loopback", addr)
	}
	return err
}

func welcome(out io.Writer, s *scenario.Scenario, st *stand) {
	h, p, _ := net.SplitHostPort(st.addr)
	h2, p2, _ := net.SplitHostPort(st.second)
	fmt.Fprintf(out, "The router listens on %s (simple queries), %s (extended) and %s (operators).\n\n", st.addr, st.second, st.op)
	fmt.Fprintf(out, "  psql 'host=%s port=%s user=me dbname=lab sslmode=disable'\n", h, p)
	fmt.Fprintf(out, "  postgres://me@%s:%s/lab?sslmode=disable    drivers that use extended queries\n", h2, p2)
	fmt.Fprintf(out, "  curl http://%s/v1/ready\n\nA statement says what it is:\n\n", st.op)
	for _, k := range s.Config.Classes {
		fmt.Fprintf(out, "  /* id=1,c=%s,d=%d,cluster=1 */ SELECT 1;\n", k.Name, k.ClientTimeout.Milliseconds())
	}
	fmt.Fprintf(out, "\nDb machines, in banks (clusters) of %d:\n\n", s.Config.Members)
	members := st.host.Addresses()
	for _, id := range slices.Sorted(maps.Keys(members)) {
		fmt.Fprintf(out, "  %-6s %s\n", id, members[id])
	}
	fmt.Fprintf(out, "\nLoad: limeladder-sim load %s --rate %.0f. Stop with Ctrl-C.\n", st.addr, s.Config.Rate())
}

// played is a scenario's run on sockets, as a report shows it.
func played(s *scenario.Scenario, seed uint64, program string, extended bool, progress func(load.Progress)) (*fleet.Result, *load.Result, error) {
	cfg := s.Config
	cfg.Routers = 1
	st, err := start(cfg, seed, program, "")
	if err != nil {
		return nil, nil, err
	}
	defer st.stop()
	res := &fleet.Result{Seed: seed, Rules: map[string]int{}}
	res.Names = slices.Sorted(maps.Keys(st.host.Addresses()))
	// What the router alone could tell is left out; what reaches the machines, and what clients wait for, is counted there.
	res.Unseen = []string{"rules", "refusals", "pushed_over"}
	var open atomic.Int64
	before := st.host.Count()
	stop, stopped := make(chan bool), make(chan bool)
	at := st.host.Sample().At
	go func() {
		defer close(stopped)
		tick := time.NewTicker(500 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				x := st.host.Sample()
				x.At -= at
				x.InHand = int(open.Load())
				res.Series = append(res.Series, x)
			}
		}
	}()
	addr := st.addr
	if extended {
		addr = st.second
	}
	got, err := load.Run(load.Options{
		Addr: addr, Extended: extended, Rate: cfg.Rate(), Length: cfg.Length, Conns: 1000, Arrivals: arrivalsOf(cfg), Bursts: cfg.Bursts, Shape: cfg.Shape, Classes: cfg.Classes,
		Banks: cfg.Banks, Sessions: cfg.Sessions, Retries: cfg.Retries, Honour: cfg.Honour, Backoff: cfg.Backoff, Seed: seed, Open: &open, Progress: progress,
	})
	close(stop)
	<-stopped
	after := st.host.Count()
	res.Count = fleet.Count{Attempts: after.Attempts - before.Attempts, Dials: after.Dials - before.Dials, Probes: after.Probes - before.Probes}
	if err != nil {
		return nil, nil, err
	}
	res.Worth, res.Whole, res.Window, res.Class, res.Worst = got.Worth, got.Whole, got.Window, got.Class, got.Worst
	res.Tally, res.Seconds, res.Marks = got.Tally, got.Seconds, st.host.InjectedFaults()
	for i := range res.Marks {
		res.Marks[i].At -= at
	}
	res.Changes, _ = st.host.PrimaryChangesAndServed()
	all := got.Latency[""]
	for _, p := range fleet.Quantiles {
		res.Latency = append(res.Latency, float64(all.ValueAtQuantile(100*p))/1e6)
	}
	for i := range 81 {
		q := fleet.Step20(i)
		if float64(all.TotalCount())*(1-q) >= 1 {
			res.Curve = append(res.Curve, fleet.Quantile{Part: q, Seconds: float64(all.ValueAtQuantile(100*q)) / 1e6})
		}
	}
	return res, got, nil
}

func arrivalsOf(c fleet.Config) string {
	if c.Bursts > 0 {
		return "bursty"
	}
	return "poisson"
}

type demoCommand struct {
	Report string `default:"demo.html" type:"path" help:"Where the report goes."`
	Router string `type:"existingfile" help:"The program; without it limeladder beside this one."`
	Length int    `default:"30" help:"Seconds."`
	Seed   uint64 `default:"1" help:"The seed."`
}

// Run plays a failover.
func (c *demoCommand) Run(out io.Writer) error {
	if c.Length < 5 || c.Length > 600 {
		return errors.New("--length: 5 to 600 seconds are possible")
	}
	s := &scenario.Scenario{Name: "demo", About: "The primary of bank 1 dies under load, before the real program on loopback; a successor follows, and the old one returns cold.", Config: fleet.Default()}
	s.Config.Length = time.Duration(c.Length) * time.Second
	s.Config.Faults = []fleet.Fault{{At: s.Config.Length / 3, What: "kill", Who: []string{"primary:1"}, For: s.Config.Length / 5}}
	fmt.Fprintf(out, "%d db machines, one router, %.0f requests a second for %d s; the primary of bank 1 dies after %v\n", s.Config.Banks*s.Config.Members, s.Config.Rate(), c.Length, s.Config.Faults[0].At)
	res, got, err := played(s, c.Seed, c.Router, false, printer(out))
	if err != nil {
		return err
	}
	return finish(out, s, res, got, c.Report)
}

func finish(out io.Writer, s *scenario.Scenario, res *fleet.Result, got *load.Result, file string) error {
	summary(out, got)
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	err = report.Write(f, report.Run{Scenario: s, Arm: "the program on sockets", Revision: revision(), Result: res})
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		fmt.Fprintln(out, "report:", file)
	}
	return err
}

// printer tells how far a run is, a line a second.
func printer(out io.Writer) func(load.Progress) {
	return func(p load.Progress) {
		fmt.Fprintf(out, "%4.0f s  %8d asked  %6d open  %8d served  %6d refused  %5d failed\n", p.At.Seconds(), p.Came, p.Open, p.Ends["served"], p.Ends["refused"], p.Ends["failed"])
	}
}

func summary(out io.Writer, r *load.Result) {
	fmt.Fprintf(out, "worth %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f)\n", r.Worth, r.Whole, r.Window, r.Class)
	fmt.Fprintf(out, "%-16s %8s %8s %8s %8s %8s %9s %9s %9s\n", "class", "asked", "served", "late", "refused", "failed", "p50 ms", "p99 ms", "p99.9 ms")
	for _, k := range slices.Sorted(maps.Keys(r.Tally)) {
		t, h := r.Tally[k], r.Latency[k]
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(out, "%-16s %8d %8d %8d %8d %8d %9.1f %9.1f %9.1f\n", k, t.Came, t.Ends[0], t.Late, t.Ends[1], t.Ends[2]+t.Ends[3], ms(50), ms(99), ms(99.9))
	}
	if len(r.Tenants) > 1 {
		fmt.Fprintf(out, "%-16s %8s %8s %8s %8s %8s %9s\n", "tenant", "asked", "served", "late", "refused", "failed", "worth")
		for _, k := range slices.Sorted(maps.Keys(r.Tenants)) {
			t := r.Tenants[k]
			fmt.Fprintf(out, "%-16s %8d %8d %8d %8d %8d %9.3f\n", k, t.Came, t.Ends[0], t.Late, t.Ends[1], t.Ends[2]+t.Ends[3], t.Worth/max(1e-9, t.Could))
		}
	}
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(out, "answers with %s: %d\n", code, r.Codes[code])
	}
	fmt.Fprintf(out, "%d requests in %.1f s; the tool itself was late by %.2f ms at the 99th percentile\n", r.Came, r.Took.Seconds(), float64(r.Lateness.ValueAtQuantile(99))/1000)
}

type loadCommand struct {
	Addr     string  `arg:"" help:"The server, on loopback."`
	Scenario string  `type:"existingfile" help:"Classes, clients and the load's shape are those of this script; without it the usual ones."`
	Rate     float64 `help:"Requests a second; without it the scenario's."`
	Length   float64 `help:"Seconds; without it the scenario's."`
	Bursts   float64 `default:"0.5" help:"How uneven bursty arrivals are: the spread of the rate from one half second to the next."`
	Conns    int     `default:"500" help:"Connections at most."`
	Arrivals string  `default:"poisson" enum:"poisson,even,bursty" help:"How requests come: ${enum}."`
	From     string  `type:"existingfile" help:"Moments from a file in place of that: seconds from the start, a line each."`
	Tenants  string  `help:"Whose connections they are, by share, such as a=3,b=1; the name is the connection's user."`
	Extended bool    `help:"Parse, Bind, Describe, Execute, Sync in place of simple queries."`
	WorkUs   int     `default:"-1" help:"All requests are so many microseconds of work, whatever their class."`
	Seed     uint64  `default:"1" help:"The seed."`
	Quiet    bool    `help:"No line a second."`
}

// Run asks.
func (c *loadCommand) Run(out io.Writer) error {
	s, err := read(c.Scenario)
	if err != nil {
		return err
	}
	cfg := s.Config
	o := load.Options{
		Addr: c.Addr, Extended: c.Extended, Rate: cfg.Rate(), Length: cfg.Length, Conns: c.Conns, Arrivals: c.Arrivals, Bursts: c.Bursts, Shape: cfg.Shape, Classes: slices.Clone(cfg.Classes),
		Banks: cfg.Banks, Sessions: cfg.Sessions, Retries: cfg.Retries, Honour: cfg.Honour, Backoff: cfg.Backoff, Seed: c.Seed,
	}
	if c.Rate != 0 {
		o.Rate = c.Rate
	}
	if c.Length != 0 {
		o.Length = time.Duration(c.Length * 1e9)
	}
	if c.WorkUs >= 0 {
		for i := range o.Classes {
			o.Classes[i].Work.Mean, o.Classes[i].Work.Variation, o.Classes[i].Work.Exponential = time.Duration(c.WorkUs)*time.Microsecond, 0, false
		}
	}
	if c.From != "" {
		text, err := os.ReadFile(c.From)
		if err != nil {
			return err
		}
		if o.Offsets, err = load.ParseDueTimes(c.From, string(text)); err != nil {
			return err
		}
	}
	if c.Tenants != "" {
		if o.Tenants, err = load.ParseTenants(c.Tenants); err != nil {
			return err
		}
	}
	if !c.Quiet {
		o.Progress = printer(out)
	}
	r, err := load.Run(o)
	if err != nil {
		return err
	}
	summary(out, r)
	return nil
}

type skinsCommand struct {
	Scenarios []string `arg:"" type:"existingfile" help:"Scripts; each is played with one router."`
	Router    string   `type:"existingfile" help:"The program; without it limeladder beside this one."`
	Seed      uint64   `default:"1" help:"The seed."`
	Most      float64  `default:"0.03" help:"How far apart they may be."`
}

// Run plays each twice.
func (c *skinsCommand) Run(out io.Writer) error {
	far := 0
	for _, file := range c.Scenarios {
		s, err := read(file)
		if err != nil {
			return err
		}
		s.Config.Routers, s.Config.Leave = 1, 0
		a, err := fleet.Run(s.Config, c.Seed)
		if err != nil {
			return err
		}
		b, _, err := played(s, c.Seed, c.Router, false, nil)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-12s in process %.3f (whole %.3f, 10 s %.3f, class %.3f), on sockets %.3f (%.3f, %.3f, %.3f): %+.3f\n", s.Name, a.Worth, a.Whole, a.Window, a.Class, b.Worth, b.Whole, b.Window, b.Class, b.Worth-a.Worth)
		if d := b.Worth - a.Worth; d > c.Most || d < -c.Most {
			far++
		}
	}
	if far > 0 {
		return fmt.Errorf("%d of %d scenarios are further apart than %.2f", far, len(c.Scenarios), c.Most)
	}
	return nil
}
