// Command limeladder-sim runs routers against emulated database servers and reports the results.
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
	Run     runCommand     `cmd:"" help:"Run a scenario, optionally with several arms, in virtual time."`
	Compare compareCommand `cmd:"" help:"Compare two result files by pairs of runs with the same seed."`
	Up      upCommand      `cmd:"" help:"Start emulated db machines, discovery and the router on loopback, and print how to connect."`
	Demo    demoCommand    `cmd:"" help:"Run a failover under load with the real program, and write a report."`
	Load    loadCommand    `cmd:"" help:"Generate open-loop load on a PostgreSQL server on loopback."`
	Skins   skinsCommand   `cmd:"" help:"Run scenarios in process and on sockets, and compare the results."`
	Rig     rigCommand     `cmd:"" help:"Run a scenario with several processes of the real program and faults on their links."`
	Foresee foreseeCommand `cmd:"" help:"Compare the routers' plans for the loss of a site with the outcome, in fleets drawn from seeds."`
	Check   checkCommand   `cmd:"" help:"Compare measurements of the emulator with closed forms and configured values."`
}

func main() {
	var c commands
	parser := kong.Parse(&c, kong.Name("limeladder-sim"),
		kong.Description("Runs routers against emulated db machines."), kong.UsageOnError())
	parser.BindTo(os.Stdout, (*io.Writer)(nil))
	if err := parser.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "limeladder-sim: %v\n", err)
		os.Exit(1)
	}
}

// revision returns the first 12 characters of the VCS revision recorded in the build, or "unknown", and the suffix
// " with changes" if there were uncommitted changes.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	rev, suffix := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			rev = setting.Value[:min(12, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			suffix = " with changes"
		}
	}
	return rev + suffix
}

type runCommand struct {
	Scenario string   `arg:"" type:"existingfile" help:"Scenario script, such as scenarios/failover.star."`
	Arms     []string `sep:"," type:"existingfile" help:"TOML files, one per arm, that change router settings."`
	Seeds    int      `default:"1" help:"Number of seeds; every arm is run with each."`
	Seed     uint64   `default:"1" help:"The first seed."`
	Workers  int      `default:"0" help:"Number of concurrent runs; 0 = one per core."`
	Out      string   `type:"path" help:"File to write the results to, as one line of JSON each."`
	Report   string   `type:"path" help:"File to write the HTML report of the first seed to; with several arms, one numbered file per arm."`
}

// Run implements the run command.
func (c *runCommand) Run(out io.Writer) (err error) {
	if c.Seeds < 1 || c.Seeds > 100_000 {
		return fmt.Errorf("--seeds: must be between 1 and 100000")
	}
	src, err := os.ReadFile(c.Scenario)
	if err != nil {
		return err
	}
	loaded, err := scenario.Load(c.Scenario, src)
	if err != nil {
		return err
	}
	arms := []experiment.Arm{}
	for _, file := range c.Arms {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		arm, err := experiment.ReadArm(strings.TrimSuffix(filepath.Base(file), ".toml"), string(text))
		if err != nil {
			return err
		}
		arms = append(arms, arm)
	}
	var resultFile *os.File
	if c.Out != "" {
		if resultFile, err = os.Create(c.Out); err != nil {
			return err
		}
		defer func() {
			if e := resultFile.Close(); err == nil {
				err = e
			}
		}()
	}
	workers := c.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	resultsByArm, armNames, unmet, violations, reported := map[string][]experiment.RunResult{}, []string{}, 0, 0, 0
	plan := experiment.Plan{
		Scenario: loaded, Arms: arms, FirstSeed: c.Seed, Seeds: c.Seeds, Workers: workers, Revision: revision(),
	}
	err = experiment.Run(plan, func(result experiment.RunResult) error {
		reported++
		if resultsByArm[result.Arm] == nil {
			armNames = append(armNames, result.Arm)
		}
		unmet += len(result.UnmetExpectations)
		violations += len(result.RuleViolations)
		fmt.Fprintf(out,
			"seed %-4d %-20s worth %.3f of %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f)  p99 %.0f ms  refused %.3f\n",
			result.Seed, result.Arm, result.Statistics["worth"], result.Statistics["top"],
			result.Statistics["whole"], result.Statistics["window"], result.Statistics["class"],
			result.Statistics["p99_ms"], result.Statistics["refused"])
		for _, w := range result.ViolationDetails {
			fmt.Fprintln(out, "  rule broken:", w)
		}
		for _, w := range result.UnmetExpectations {
			fmt.Fprintln(out, "  not as expected:", w)
		}
		if result.Seed == c.Seed && c.Report != "" {
			file := c.Report
			if len(arms) > 1 {
				ext := filepath.Ext(file)
				file = fmt.Sprintf("%s-%d%s", strings.TrimSuffix(file, ext), reported, ext)
			}
			f, err := os.Create(file)
			if err != nil {
				return err
			}
			if err := report.Write(f, report.Run{
				Scenario: loaded, Arm: result.Arm, Revision: result.Revision,
				Result: result.Result, UnmetExpectations: result.UnmetExpectations,
			}); err != nil {
				_ = f.Close() // writing the report has failed already
				return err
			}
			if err := f.Close(); err != nil {
				return err
			}
		}
		result.Result = nil
		resultsByArm[result.Arm] = append(resultsByArm[result.Arm], result)
		if resultFile == nil {
			return nil
		}
		return json.NewEncoder(resultFile).Encode(result)
	})
	if err != nil {
		return err
	}
	for _, name := range armNames[1:] {
		printEffects(out, resultsByArm[armNames[0]], resultsByArm[name])
	}
	if unmet+violations > 0 {
		return fmt.Errorf("%s: %d expectations not met, %d rules broken", c.Scenario, unmet, violations)
	}
	return nil
}

// printEffects prints the differences of the results b from the results a, by scenario and statistic.
func printEffects(out io.Writer, a, b []experiment.RunResult) {
	last := ""
	for _, effect := range experiment.Compare(a, b, scenario.StatisticNames) {
		if effect.Scenario != last {
			last = effect.Scenario
			fmt.Fprintf(out, "\n%s: %s against %s, %d pairs of seeds, 95 percent\n", effect.Scenario, effect.ArmB,
				effect.ArmA, effect.Pairs)
		}
		verdict := "within chance"
		if effect.Significant {
			verdict = "beyond chance"
		}
		fmt.Fprintf(out, "  %-12s %10.4g -> %10.4g  %+.4g (%+.4g to %+.4g)  %s\n", effect.Statistic, effect.MeanA,
			effect.MeanB, effect.MeanDifference, effect.Low, effect.High, verdict)
	}
}

type compareCommand struct {
	A string `arg:"" type:"existingfile" help:"Result file of one build."`
	B string `arg:"" type:"existingfile" help:"Result file of the other build."`
}

// Run implements the compare command.
func (c *compareCommand) Run(out io.Writer) error {
	var sets [2][]experiment.RunResult
	for i, name := range []string{c.A, c.B} {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		sets[i], err = experiment.ReadResults(name, f)
		_ = f.Close() // the file was only read
		if err != nil {
			return err
		}
		for j := range sets[i] { // compare each arm separately, and print revisions in place of arms
			sets[i][j].Scenario += " / " + sets[i][j].Arm
			sets[i][j].Arm = sets[i][j].Revision
		}
	}
	if len(experiment.Compare(sets[0], sets[1], scenario.StatisticNames)) == 0 {
		return fmt.Errorf("%s and %s have no scenario, arm and seed in common", c.A, c.B)
	}
	printEffects(out, sets[0], sets[1])
	return nil
}

type foreseeCommand struct {
	Seed  uint64  `default:"1" help:"The first seed."`
	Seeds int     `default:"20" help:"Number of fleets."`
	Most  float64 `default:"0.1" help:"Count plans that differ from the possible worth by more than this."`
}

// Run implements the foresee command.
func (c *foreseeCommand) Run(out io.Writer) error {
	exceeded, sum := 0, 0.0
	fmt.Fprintln(out, "| seed | fleet | planned | possible | kept | planned refused | not served | banks with none left |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		forecast, err := stats.ForecastSiteLoss(seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %d | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %d |\n", forecast.Seed, forecast.Fleet,
			forecast.Planned, forecast.Possible, forecast.Achieved, forecast.PlannedRejections, forecast.Unserved,
			forecast.GroupsWithoutEndpoint)
		sum += math.Abs(forecast.Planned - forecast.Possible)
		if math.Abs(forecast.Planned-forecast.Possible) > c.Most {
			exceeded++
		}
	}
	fmt.Fprintf(out, "\nplanned is off what is possible by %.3f in the mean, by more than %.2f in %d of %d\n",
		sum/float64(c.Seeds), c.Most, exceeded, c.Seeds)
	return nil
}

type checkCommand struct {
	Seed uint64  `default:"1" help:"The seed."`
	Most float64 `default:"0.1" help:"Maximum relative error of a figure."`
}

// Run implements the check command.
func (c *checkCommand) Run(out io.Writer) error {
	checks, err := stats.MeasureAll(c.Seed)
	if err != nil {
		return err
	}
	exceeded := 0
	fmt.Fprintln(out, "| figure | wanted | emulated | unit | off |\n| --- | --- | --- | --- | --- |")
	for _, check := range checks {
		fmt.Fprintf(out, "| %s | %.4g | %.4g | %s | %+.1f%% |\n", check.Name, check.Expected, check.Measured,
			check.Unit, 100*check.RelativeError())
		if !(check.RelativeError() <= c.Most && check.RelativeError() >= -c.Most) {
			exceeded++
		}
	}
	if exceeded > 0 {
		return fmt.Errorf("%d figures are off by more than %.0f percent", exceeded, 100*c.Most)
	}
	return nil
}
