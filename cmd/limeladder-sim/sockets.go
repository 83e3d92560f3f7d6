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

// environment consists of emulated endpoints, discovery and one process of the real router.
type environment struct {
	host         *emulator.Host
	cmd          *exec.Cmd
	dir          string     // temporary folder for settings and log
	addr         string     // of the router's listener for simple queries
	extendedAddr string     // of the router's listener for extended queries
	operatorAddr string     // of the router's listener for operators
	exited       chan error // receives the result of cmd.Wait
}

// freeAddress returns a loopback address with a port that is currently free.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// routerProgram returns the path of the router program: the named one, or limeladder in the folder of this program.
func routerProgram(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "limeladder")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("--router: no limeladder program in the folder of this program: %w", err)
	}
	return path, nil
}

// startEnvironment starts the environment and waits until the router accepts connections.
func startEnvironment(cfg fleet.Config, seed uint64, program, listen string) (env *environment, err error) {
	if program, err = routerProgram(program); err != nil {
		return nil, err
	}
	env = &environment{exited: make(chan error, 1)}
	defer func() {
		if err != nil {
			env.stop()
		}
	}()
	if env.dir, err = os.MkdirTemp("", "limeladder-sim"); err != nil {
		return nil, err
	}
	if env.host, err = emulator.New(cfg, seed); err != nil {
		return nil, err
	}
	env.addr = listen
	for _, addr := range []*string{&env.addr, &env.extendedAddr, &env.operatorAddr} {
		if *addr == "" {
			if *addr, err = freeAddress(); err != nil {
				return nil, err
			}
		}
	}
	text, err := env.host.Settings("lab", env.addr, env.operatorAddr, seed)
	if err != nil {
		return nil, err
	}
	changeover := ""
	if len(cfg.Hold) > 0 {
		changeover = "[changeover]\nclasses = [\"" + strings.Join(cfg.Hold, "\", \"") + "\"]\n"
	}
	for name, content := range map[string][]byte{
		"config.json":     text,
		"limeladder.toml": []byte("[extended]\nlisten = \"" + env.extendedAddr + "\"\n" + changeover),
	} {
		if err = os.WriteFile(filepath.Join(env.dir, name), content, 0o600); err != nil {
			return nil, err
		}
	}
	log, err := os.Create(filepath.Join(env.dir, "router.log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the router has its own descriptor
	env.cmd = exec.Command(program)
	env.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+env.dir+"/config.json",
		"LIMELADDER_DEPLOY="+env.dir+"/limeladder.toml", "TMPDIR="+env.dir)
	env.cmd.Stdout, env.cmd.Stderr = log, log
	if err = env.cmd.Start(); err != nil {
		env.cmd = nil
		return nil, err
	}
	go func() { env.exited <- env.cmd.Wait() }()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, e := net.DialTimeout("tcp", env.addr, time.Second); e == nil {
			c.Close()
			return env, nil
		}
		select {
		case e := <-env.exited:
			env.cmd = nil
			p, _ := os.ReadFile(filepath.Join(env.dir, "router.log"))
			return nil, fmt.Errorf("%s exited: %v: %s", program, e, strings.TrimSpace(string(p))) //nolint:errorlint // nil if it exited with status 0, which %w can't print
		default:
		}
		if time.Now().After(end) {
			return nil, errors.New("the router does not accept connections")
		}
	}
}

// stop shuts the router down gracefully, stops the emulated endpoints and removes the folder.
func (env *environment) stop() {
	if env.cmd != nil {
		_ = env.cmd.Process.Signal(syscall.SIGTERM) // if it has exited already, exited has its result
		select {
		case <-env.exited:
		case <-time.After(20 * time.Second):
			env.cmd.Process.Kill()
			<-env.exited
		}
	}
	if env.host != nil {
		env.host.Stop()
	}
	if env.dir != "" {
		_ = os.RemoveAll(env.dir) // a temporary folder that can't be removed does no harm
	}
}

// loadScenario loads a scenario file, or returns the default fleet without faults if file is empty.
func loadScenario(file string) (*scenario.Scenario, error) {
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
	Scenario string `arg:"" optional:"" type:"existingfile" help:"Scenario script; by default the usual fleet without faults."`
	Listen   string `default:"127.0.0.1:6432" help:"Address for the router to listen on; must be a loopback address."`
	Router   string `type:"existingfile" help:"The router program; by default limeladder in the folder of this program."`
	Seed     uint64 `default:"1" help:"The seed."`
}

// Run implements the up command. It returns when it is interrupted.
func (c *upCommand) Run(out io.Writer) error {
	if err := checkLoopback(c.Listen); err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	s, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	s.Config.Routers = 1
	env, err := startEnvironment(s.Config, c.Seed, c.Router, c.Listen)
	if err != nil {
		return err
	}
	defer env.stop()
	printInstructions(out, s, env)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	select {
	case <-ctx.Done():
		return nil
	case err := <-env.exited:
		env.cmd = nil
		return fmt.Errorf("the router has exited: %v", err) //nolint:errorlint // nil if it exited with status 0, which %w can't print
	}
}

// checkLoopback returns an error unless addr is a loopback address.
func checkLoopback(addr string) error {
	resolved, err := net.ResolveTCPAddr("tcp", addr)
	if err == nil && !resolved.IP.IsLoopback() {
		err = fmt.Errorf("%s is not on loopback", addr)
	}
	return err
}

// printInstructions prints how to connect to the router, the request comments of all classes, and the endpoints.
func printInstructions(out io.Writer, s *scenario.Scenario, env *environment) {
	h, p, _ := net.SplitHostPort(env.addr)
	h2, p2, _ := net.SplitHostPort(env.extendedAddr)
	fmt.Fprintf(out, "The router listens on %s (simple queries), %s (extended) and %s (operators).\n\n", env.addr,
		env.extendedAddr, env.operatorAddr)
	fmt.Fprintf(out, "  psql 'host=%s port=%s user=me dbname=lab sslmode=disable'\n", h, p)
	fmt.Fprintf(out, "  postgres://me@%s:%s/lab?sslmode=disable    drivers that use extended queries\n", h2, p2)
	fmt.Fprintf(out, "  curl http://%s/v1/ready\n\nA statement says what it is:\n\n", env.operatorAddr)
	for _, class := range s.Config.Classes {
		fmt.Fprintf(out, "  /* id=1,c=%s,d=%d,cluster=1 */ SELECT 1;\n", class.Name, class.ClientTimeout.Milliseconds())
	}
	fmt.Fprintf(out, "\nDb machines, in banks (clusters) of %d:\n\n", s.Config.Members)
	members := env.host.Addresses()
	for _, id := range slices.Sorted(maps.Keys(members)) {
		fmt.Fprintf(out, "  %-6s %s\n", id, members[id])
	}
	fmt.Fprintf(out, "\nLoad: limeladder-sim load %s --rate %.0f. Stop with Ctrl-C.\n", env.addr, s.Config.Rate())
}

// runOnSockets runs a scenario on sockets and returns its result in the form that reports use, and the result of the
// load generator.
func runOnSockets(
	s *scenario.Scenario, seed uint64, program string, extended bool, progress func(load.Progress),
) (*fleet.Result, *load.Result, error) {
	cfg := s.Config
	cfg.Routers = 1
	env, err := startEnvironment(cfg, seed, program, "")
	if err != nil {
		return nil, nil, err
	}
	defer env.stop()
	result := &fleet.Result{Seed: seed, Rules: map[string]int{}}
	result.Names = slices.Sorted(maps.Keys(env.host.Addresses()))
	// Measurements that only the router could provide are marked as unseen. Attempts are counted at the endpoints, and
	// requests in flight at the clients.
	result.Unseen = []string{"rules", "refusals", "pushed_over"}
	var inFlight atomic.Int64
	before := env.host.Count()
	stop, stopped := make(chan bool), make(chan bool)
	startedAt := env.host.Sample().At
	go func() {
		defer close(stopped)
		tick := time.NewTicker(500 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				sample := env.host.Sample()
				sample.At -= startedAt
				sample.InHand = int(inFlight.Load())
				result.Series = append(result.Series, sample)
			}
		}
	}()
	addr := env.addr
	if extended {
		addr = env.extendedAddr
	}
	got, err := load.Run(load.Options{
		Addr: addr, Extended: extended, Rate: cfg.Rate(), Length: cfg.Length, Conns: 1000,
		Arrivals: arrivalProcess(cfg), Bursts: cfg.Bursts, Shape: cfg.Shape, Classes: cfg.Classes,
		Banks: cfg.Banks, Sessions: cfg.Sessions, Retries: cfg.Retries, Honour: cfg.Honour, Backoff: cfg.Backoff,
		Seed: seed, Open: &inFlight, Progress: progress,
	})
	close(stop)
	<-stopped
	after := env.host.Count()
	result.Count = fleet.Count{
		Attempts: after.Attempts - before.Attempts,
		Dials:    after.Dials - before.Dials,
		Probes:   after.Probes - before.Probes,
	}
	if err != nil {
		return nil, nil, err
	}
	result.Worth, result.Whole, result.Window, result.Class, result.Worst = got.Worth, got.Whole, got.Window,
		got.Class, got.Worst
	result.Tally, result.Seconds, result.Marks = got.Tally, got.Seconds, env.host.InjectedFaults()
	for i := range result.Marks {
		result.Marks[i].At -= startedAt
	}
	result.Changes, _ = env.host.PrimaryChangesAndServed()
	overall := got.Latency[""]
	for _, quantile := range fleet.Quantiles {
		result.Latency = append(result.Latency, float64(overall.ValueAtQuantile(100*quantile))/1e6)
	}
	for i := range 81 {
		quantile := fleet.Step20(i)
		if float64(overall.TotalCount())*(1-quantile) >= 1 {
			result.Curve = append(result.Curve, fleet.Quantile{
				Part: quantile, Seconds: float64(overall.ValueAtQuantile(100*quantile)) / 1e6,
			})
		}
	}
	return result, got, nil
}

// arrivalProcess returns the load generator's arrival process that corresponds to a fleet's configuration.
func arrivalProcess(c fleet.Config) string {
	if c.Bursts > 0 {
		return "bursty"
	}
	return "poisson"
}

type demoCommand struct {
	Report string `default:"demo.html" type:"path" help:"File to write the report to."`
	Router string `type:"existingfile" help:"The router program; by default limeladder in the folder of this program."`
	Length int    `default:"30" help:"Length of the run, in seconds."`
	Seed   uint64 `default:"1" help:"The seed."`
}

// Run implements the demo command.
func (c *demoCommand) Run(out io.Writer) error {
	if c.Length < 5 || c.Length > 600 {
		return errors.New("--length: must be between 5 and 600 seconds")
	}
	s := &scenario.Scenario{
		Name:   "demo",
		About:  "The primary of bank 1 dies under load, with the real program on loopback; a successor is elected, and the old primary restarts with cold caches.",
		Config: fleet.Default(),
	}
	s.Config.Length = time.Duration(c.Length) * time.Second
	s.Config.Faults = []fleet.Fault{{At: s.Config.Length / 3, What: "kill", Who: []string{"primary:1"}, For: s.Config.Length / 5}}
	fmt.Fprintf(out, "%d db machines, one router, %.0f requests a second for %d s; the primary of bank 1 dies after %v\n", s.Config.Banks*s.Config.Members, s.Config.Rate(), c.Length, s.Config.Faults[0].At)
	result, got, err := runOnSockets(s, c.Seed, c.Router, false, progressPrinter(out))
	if err != nil {
		return err
	}
	return writeReport(out, s, result, got, c.Report)
}

// writeReport prints the summary of a run and writes its report to file.
func writeReport(out io.Writer, s *scenario.Scenario, result *fleet.Result, got *load.Result, file string) error {
	printSummary(out, got)
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	err = report.Write(f, report.Run{Scenario: s, Arm: "the program on sockets", Revision: revision(), Result: result})
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		fmt.Fprintln(out, "report:", file)
	}
	return err
}

// progressPrinter returns a callback that prints the progress of a run as one line. The load generator calls it once
// per second.
func progressPrinter(out io.Writer) func(load.Progress) {
	return func(p load.Progress) {
		fmt.Fprintf(out, "%4.0f s  %8d asked  %6d open  %8d served  %6d refused  %5d failed\n", p.At.Seconds(), p.Came, p.Open, p.Ends["served"], p.Ends["refused"], p.Ends["failed"])
	}
}

// printSummary prints the results of the load generator by class, by tenant and by error code.
func printSummary(out io.Writer, r *load.Result) {
	fmt.Fprintf(out, "worth %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f)\n", r.Worth, r.Whole, r.Window, r.Class)
	fmt.Fprintf(out, "%-16s %8s %8s %8s %8s %8s %9s %9s %9s\n", "class", "asked", "served", "late", "refused", "failed", "p50 ms", "p99 ms", "p99.9 ms")
	for _, class := range slices.Sorted(maps.Keys(r.Tally)) {
		tally, histogram := r.Tally[class], r.Latency[class]
		ms := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(out, "%-16s %8d %8d %8d %8d %8d %9.1f %9.1f %9.1f\n", class, tally.Came, tally.Ends[0],
			tally.Late, tally.Ends[1], tally.Ends[2]+tally.Ends[3], ms(50), ms(99), ms(99.9))
	}
	if len(r.Tenants) > 1 {
		fmt.Fprintf(out, "%-16s %8s %8s %8s %8s %8s %9s\n", "tenant", "asked", "served", "late", "refused", "failed", "worth")
		for _, tenant := range slices.Sorted(maps.Keys(r.Tenants)) {
			tally := r.Tenants[tenant]
			fmt.Fprintf(out, "%-16s %8d %8d %8d %8d %8d %9.3f\n", tenant, tally.Came, tally.Ends[0],
				tally.Late, tally.Ends[1], tally.Ends[2]+tally.Ends[3], tally.Worth/max(1e-9, tally.Could))
		}
	}
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(out, "answers with %s: %d\n", code, r.Codes[code])
	}
	fmt.Fprintf(out, "%d requests in %.1f s; the tool itself was late by %.2f ms at the 99th percentile\n", r.Came, r.Took.Seconds(), float64(r.Lateness.ValueAtQuantile(99))/1000)
}

type loadCommand struct {
	Addr     string  `arg:"" help:"Address of the server, on loopback."`
	Scenario string  `type:"existingfile" help:"Scenario script to take classes, clients and the shape of the load from; by default those of the usual fleet."`
	Rate     float64 `help:"Requests per second; by default the scenario's."`
	Length   float64 `help:"Length of the run, in seconds; by default the scenario's."`
	Bursts   float64 `default:"0.5" help:"Bursty arrivals: coefficient of variation of the rate, redrawn every 500 ms."`
	Conns    int     `default:"500" help:"Maximum number of connections."`
	Arrivals string  `default:"poisson" enum:"poisson,even,bursty" help:"Arrival process: ${enum}."`
	From     string  `type:"existingfile" help:"File with arrival times to use instead: one per line, in seconds from the start."`
	Tenants  string  `help:"Tenants and their shares of the connections, such as a=3,b=1; connections use the tenant as user name."`
	Extended bool    `help:"Use Parse, Bind, Describe, Execute, Sync instead of simple queries."`
	WorkUs   int     `default:"-1" help:"Work of every request, in microseconds, regardless of its class; -1 = by class."`
	Seed     uint64  `default:"1" help:"The seed."`
	Quiet    bool    `help:"Do not print progress."`
}

// Run implements the load command.
func (c *loadCommand) Run(out io.Writer) error {
	s, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	cfg := s.Config
	options := load.Options{
		Addr: c.Addr, Extended: c.Extended, Rate: cfg.Rate(), Length: cfg.Length, Conns: c.Conns, Arrivals: c.Arrivals, Bursts: c.Bursts, Shape: cfg.Shape, Classes: slices.Clone(cfg.Classes),
		Banks: cfg.Banks, Sessions: cfg.Sessions, Retries: cfg.Retries, Honour: cfg.Honour, Backoff: cfg.Backoff, Seed: c.Seed,
	}
	if c.Rate != 0 {
		options.Rate = c.Rate
	}
	if c.Length != 0 {
		options.Length = time.Duration(c.Length * 1e9)
	}
	if c.WorkUs >= 0 {
		for i := range options.Classes {
			options.Classes[i].Work.Mean, options.Classes[i].Work.Variation,
				options.Classes[i].Work.Exponential = time.Duration(c.WorkUs)*time.Microsecond, 0, false
		}
	}
	if c.From != "" {
		text, err := os.ReadFile(c.From)
		if err != nil {
			return err
		}
		if options.Offsets, err = load.ParseDueTimes(c.From, string(text)); err != nil {
			return err
		}
	}
	if c.Tenants != "" {
		if options.Tenants, err = load.ParseTenants(c.Tenants); err != nil {
			return err
		}
	}
	if !c.Quiet {
		options.Progress = progressPrinter(out)
	}
	result, err := load.Run(options)
	if err != nil {
		return err
	}
	printSummary(out, result)
	return nil
}

type skinsCommand struct {
	Scenarios []string `arg:"" type:"existingfile" help:"Scenario scripts; each is run with one router."`
	Router    string   `type:"existingfile" help:"The router program; by default limeladder in the folder of this program."`
	Seed      uint64   `default:"1" help:"The seed."`
	Most      float64  `default:"0.03" help:"Maximum difference of the worth."`
}

// Run implements the skins command. It runs each scenario in process and on sockets.
func (c *skinsCommand) Run(out io.Writer) error {
	exceeded := 0
	for _, file := range c.Scenarios {
		s, err := loadScenario(file)
		if err != nil {
			return err
		}
		s.Config.Routers, s.Config.Leave = 1, 0
		inProcess, err := fleet.Run(s.Config, c.Seed)
		if err != nil {
			return err
		}
		onSockets, _, err := runOnSockets(s, c.Seed, c.Router, false, nil)
		if err != nil {
			return err
		}
		fmt.Fprintf(out,
			"%-12s in process %.3f (whole %.3f, 10 s %.3f, class %.3f), on sockets %.3f (%.3f, %.3f, %.3f): %+.3f\n",
			s.Name, inProcess.Worth, inProcess.Whole, inProcess.Window, inProcess.Class, onSockets.Worth,
			onSockets.Whole, onSockets.Window, onSockets.Class, onSockets.Worth-inProcess.Worth)
		if difference := onSockets.Worth - inProcess.Worth; difference > c.Most || difference < -c.Most {
			exceeded++
		}
	}
	if exceeded > 0 {
		return fmt.Errorf("%d of %d scenarios differ by more than %.2f", exceeded, len(c.Scenarios), c.Most)
	}
	return nil
}
