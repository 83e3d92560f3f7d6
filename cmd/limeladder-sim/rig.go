package main

import (
	"fmt"
	"io"
	"os"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/multiprocess"
)

type rigCommand struct {
	Scenario string `arg:"" optional:"" type:"existingfile" help:"Scenario script; by default faults are drawn from the seed."`
	Router   string `type:"existingfile" help:"The router program; by default limeladder in the folder of this program."`
	Seed     uint64 `default:"1" help:"The first seed."`
	Seeds    int    `default:"1" help:"Number of seeds, run one at a time."`
	Deploy   string `type:"existingfile" help:"The routers' deploy/limeladder.toml; by default all of its features are off."`
	Keep     string `type:"path" help:"Folder to keep the files of all runs in; by default only files of runs that break a rule are kept."`
	Shrink   int    `default:"12" help:"Maximum number of runs to look for a smaller script that still breaks a rule."`
}

// Run implements the rig command.
func (c *rigCommand) Run(out io.Writer) error {
	program, err := routerProgram(c.Router)
	if err != nil {
		return err
	}
	deploy := ""
	if c.Deploy != "" {
		text, err := os.ReadFile(c.Deploy)
		if err != nil {
			return err
		}
		deploy = string(text)
	}
	failedRuns := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		s, err := loadScenario(c.Scenario)
		if err != nil {
			return err
		}
		if c.Scenario == "" {
			s.Config = multiprocess.Random(seed)
			fmt.Fprint(out, multiprocess.Script(s.Config))
		}
		play := func(options multiprocess.Options) (*multiprocess.Result, error) {
			options.Program, options.Deploy = program, deploy
			if options.Dir, err = os.MkdirTemp(c.Keep, "rig"); err != nil {
				return nil, err
			}
			res, err := multiprocess.Run(options)
			if err == nil && c.Keep == "" && len(res.Broken) == 0 {
				_ = os.RemoveAll(options.Dir) // a folder that can't be removed only takes disk space
			}
			return res, err
		}
		result, err := play(multiprocess.Options{Config: s.Config, Seed: seed})
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "seed %-4d worth %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f %s), %d rules broken\n",
			seed, result.Worth, result.Whole, result.Window, result.Class, result.Worst, len(result.Broken))
		unmet := s.UnmetExpectations(fleetResult(seed, result))
		for _, line := range unmet {
			fmt.Fprintln(out, "  not as expected:", line)
		}
		if len(result.Broken) == 0 {
			if len(unmet) > 0 {
				failedRuns++
			}
			continue
		}
		failedRuns++
		for i, violation := range result.Broken {
			if i == 10 {
				fmt.Fprintf(out, "  and %d more\n", len(result.Broken)-i)
				break
			}
			fmt.Fprintln(out, " ", violation)
		}
		fmt.Fprintln(out, "  longest waits for a processor:", result.Delays)
		fmt.Fprintln(out, "  timeline:", result.Timeline)
		if len(s.Config.Faults) > 1 && c.Shrink > 0 {
			smallest, err := multiprocess.Shrink(multiprocess.Options{Config: s.Config, Seed: seed}, c.Shrink, play)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "the smallest script found that breaks a rule:\n%s", multiprocess.Script(smallest))
		}
	}
	if failedRuns > 0 {
		return fmt.Errorf("%d of %d runs broke a rule or missed an expectation", failedRuns, c.Seeds)
	}
	return nil
}

// fleetResult converts the result of a multiprocess run to one that expectations can be checked against. Values that
// such a run doesn't measure are left zero.
func fleetResult(seed uint64, r *multiprocess.Result) *fleet.Result {
	out := &fleet.Result{Seed: seed, Worth: r.Worth, Whole: r.Whole, Window: r.Window, Class: r.Class, Worst: r.Worst, Tally: r.Tally, Seconds: r.Seconds, Rules: map[string]int{}}
	for _, violation := range r.Broken {
		out.Rules[violation.Rule]++
	}
	return out
}
