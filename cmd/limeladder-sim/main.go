// Command limeladder-sim is the laboratory: it plays routers before emulated db machines and says what came of it.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"limeladder/internal/simulation/experiment"
	"limeladder/internal/simulation/report"
	"limeladder/internal/simulation/scenario"
	"limeladder/internal/simulation/stats"
)

type commands struct {
	Run     runCommand     `cmd:"" help:"Play a scenario, or arms of it, in virtual time."`
	Compare compareCommand `cmd:"" help:"Compare two files of results, seed by seed."`
	Up      upCommand      `cmd:"" help:"Start emulated db machines, discovery and the router on loopback, and say how to connect."`
	Demo    demoCommand    `cmd:"" help:"Play a failover under load before the real program, and write a report."`
	Load    loadCommand    `cmd:"" help:"Ask a server on loopback that speaks PostgreSQL for work, in an open loop."`
	Skins   skinsCommand   `cmd:"" help:"Play scenarios in process and on sockets, and say how far apart they are."`
	Rig     rigCommand     `cmd:"" help:"Play a scenario with several processes of the real program, with faults between them."`
	Foresee foreseeCommand `cmd:"" help:"Hold what routers plan for the loss of a site against what comes of it, in fleets drawn from seeds."`
	Check   checkCommand   `cmd:"" help:"Hold the emulator against closed forms and the account's figures."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("limeladder-sim"), kong.Description("Plays routers before emulated db machines."), kong.UsageOnError())
	k.BindTo(os.Stdout, (*io.Writer)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "limeladder-sim: %v\n", err)
		os.Exit(1)
	}
}

// revision is that of the build, as the compiler has noted it.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	rev, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			rev = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = " with changes"
		}
	}
	return rev + changed
}

type runCommand struct {
	Scenario string   `arg:"" type:"existingfile" help:"A script, such as scenarios/failover.star."`
	Arms     []string `sep:"," type:"existingfile" help:"Files of TOML that each change what routers are told."`
	Seeds    int      `default:"1" help:"How many seeds, each with every arm."`
	Seed     uint64   `default:"1" help:"The first."`
	Workers  int      `default:"0" help:"Runs at once; 0 is one a core."`
	Out      string   `type:"path" help:"Write the results there, a line of JSON each."`
	Report   string   `type:"path" help:"Write the first seed's report there, as HTML; with several arms one a file, numbered."`
}

// Run plays.
func (c *runCommand) Run(out io.Writer) (err error) {
	if c.Seeds < 1 || c.Seeds > 100_000 {
		return fmt.Errorf("--seeds: 1 to 100000 are possible")
	}
	src, err := os.ReadFile(c.Scenario)
	if err != nil {
		return err
	}
	s, err := scenario.Load(c.Scenario, src)
	if err != nil {
		return err
	}
	arms := []experiment.Arm{}
	for _, file := range c.Arms {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		a, err := experiment.ReadArm(strings.TrimSuffix(filepath.Base(file), ".toml"), string(text))
		if err != nil {
			return err
		}
		arms = append(arms, a)
	}
	var keep *os.File
	if c.Out != "" {
		if keep, err = os.Create(c.Out); err != nil {
			return err
		}
		defer func() {
			if e := keep.Close(); err == nil {
				err = e
			}
		}()
	}
	workers := c.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	byArm, names, short, broken, n := map[string][]experiment.RunResult{}, []string{}, 0, 0, 0
	plan := experiment.Plan{
		Scenario: s, Arms: arms, FirstSeed: c.Seed, Seeds: c.Seeds, Workers: workers, Revision: revision(),
	}
	err = experiment.Run(plan, func(l experiment.RunResult) error {
		n++
		if byArm[l.Arm] == nil {
			names = append(names, l.Arm)
		}
		short += len(l.UnmetExpectations)
		broken += len(l.RuleViolations)
		fmt.Fprintf(out, "seed %-4d %-20s worth %.3f of %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f)  p99 %.0f ms  refused %.3f\n", l.Seed, l.Arm, l.Statistics["worth"], l.Statistics["top"],
			l.Statistics["whole"], l.Statistics["window"], l.Statistics["class"], l.Statistics["p99_ms"], l.Statistics["refused"])
		for _, w := range l.ViolationDetails {
			fmt.Fprintln(out, "  rule broken:", w)
		}
		for _, w := range l.UnmetExpectations {
			fmt.Fprintln(out, "  not as expected:", w)
		}
		if l.Seed == c.Seed && c.Report != "" {
			file := c.Report
			if len(arms) > 1 {
				ext := filepath.Ext(file)
				file = fmt.Sprintf("%s-%d%s", strings.TrimSuffix(file, ext), n, ext)
			}
			f, err := os.Create(file)
			if err != nil {
				return err
			}
			if err := report.Write(f, report.Run{Scenario: s, Arm: l.Arm, Revision: l.Revision, Result: l.Result, UnmetExpectations: l.UnmetExpectations}); err != nil {
				_ = f.Close() // the report has failed already
				return err
			}
			if err := f.Close(); err != nil {
				return err
			}
		}
		l.Result = nil
		byArm[l.Arm] = append(byArm[l.Arm], l)
		if keep == nil {
			return nil
		}
		return json.NewEncoder(keep).Encode(l)
	})
	if err != nil {
		return err
	}
	for _, name := range names[1:] {
		effects(out, byArm[names[0]], byArm[name])
	}
	if short+broken > 0 {
		return fmt.Errorf("%s: %d expectations not met, %d rules broken", c.Scenario, short, broken)
	}
	return nil
}

// effects prints what one set of results has over another.
func effects(out io.Writer, a, b []experiment.RunResult) {
	last := ""
	for _, e := range experiment.Compare(a, b, scenario.StatisticNames) {
		if e.Scenario != last {
			last = e.Scenario
			fmt.Fprintf(out, "\n%s: %s against %s, %d pairs of seeds, 95 percent\n", e.Scenario, e.ArmB, e.ArmA, e.Pairs)
		}
		word := "within chance"
		if e.Significant {
			word = "beyond chance"
		}
		fmt.Fprintf(out, "  %-12s %10.4g -> %10.4g  %+.4g (%+.4g to %+.4g)  %s\n", e.Statistic, e.MeanA, e.MeanB, e.MeanDifference, e.Low, e.High, word)
	}
}

type compareCommand struct {
	A string `arg:"" type:"existingfile" help:"Results of one build."`
	B string `arg:"" type:"existingfile" help:"Results of the other one."`
}

// Run compares.
func (c *compareCommand) Run(out io.Writer) error {
	var sets [2][]experiment.RunResult
	for i, name := range []string{c.A, c.B} {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		sets[i], err = experiment.ReadResults(name, f)
		_ = f.Close() // it was only read
		if err != nil {
			return err
		}
		for j := range sets[i] { // arms of a file stand for themselves
			sets[i][j].Scenario += " / " + sets[i][j].Arm
			sets[i][j].Arm = sets[i][j].Revision
		}
	}
	if len(experiment.Compare(sets[0], sets[1], scenario.StatisticNames)) == 0 {
		return fmt.Errorf("%s and %s have no scenario, arm and seed in common", c.A, c.B)
	}
	effects(out, sets[0], sets[1])
	return nil
}

type foreseeCommand struct {
	Seed  uint64  `default:"1" help:"The first seed."`
	Seeds int     `default:"20" help:"How many fleets."`
	Most  float64 `default:"0.1" help:"What a plan may be off by, of the worth that the true state would allow."`
}

// Run foresees.
func (c *foreseeCommand) Run(out io.Writer) error {
	off, sum := 0, 0.0
	fmt.Fprintln(out, "| seed | fleet | planned | possible | kept | planned refused | not served | banks with none left |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		f, err := stats.ForecastSiteLoss(seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %d | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %d |\n", f.Seed, f.Fleet, f.Planned, f.Possible, f.Achieved, f.PlannedRejections, f.Unserved, f.GroupsWithoutEndpoint)
		sum += math.Abs(f.Planned - f.Possible)
		if math.Abs(f.Planned-f.Possible) > c.Most {
			off++
		}
	}
	fmt.Fprintf(out, "\nplanned is off what is possible by %.3f in the mean, by more than %.2f in %d of %d\n", sum/float64(c.Seeds), c.Most, off, c.Seeds)
	return nil
}

type checkCommand struct {
	Seed uint64  `default:"1" help:"The seed."`
	Most float64 `default:"0.1" help:"The part by which a figure may be off."`
}

// Run checks.
func (c *checkCommand) Run(out io.Writer) error {
	checks, err := stats.MeasureAll(c.Seed)
	if err != nil {
		return err
	}
	off := 0
	fmt.Fprintln(out, "| figure | wanted | emulated | unit | off |\n| --- | --- | --- | --- | --- |")
	for _, f := range checks {
		fmt.Fprintf(out, "| %s | %.4g | %.4g | %s | %+.1f%% |\n", f.Name, f.Expected, f.Measured, f.Unit, 100*f.RelativeError())
		if !(f.RelativeError() <= c.Most && f.RelativeError() >= -c.Most) {
			off++
		}
	}
	if off > 0 {
		return fmt.Errorf("%d figures are off by more than %.0f percent", off, 100*c.Most)
	}
	return nil
}
