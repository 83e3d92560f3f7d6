package main

import (
	"fmt"
	"io"
	"os"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/multiprocess"
)

type rigCommand struct {
	Scenario string `arg:"" optional:"" type:"existingfile" help:"A script; without one faults are drawn from the seed."`
	Router   string `type:"existingfile" help:"The program; without it limeladder beside this one."`
	Seed     uint64 `default:"1" help:"The first seed."`
	Seeds    int    `default:"1" help:"How many, one after the other."`
	Deploy   string `type:"existingfile" help:"The routers' deploy/limeladder.toml; without it all of it is off."`
	Keep     string `type:"path" help:"Where each run's files stay; without it only those of runs that break a rule do."`
	Shrink   int    `default:"12" help:"Runs at most that look for a smaller script which still breaks a rule."`
}

// Run plays a scenario with several processes.
func (c *rigCommand) Run(out io.Writer) error {
	program, err := router(c.Router)
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
	bad := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		s, err := read(c.Scenario)
		if err != nil {
			return err
		}
		if c.Scenario == "" {
			s.Config = multiprocess.Random(seed)
			fmt.Fprint(out, multiprocess.Script(s.Config))
		}
		play := func(o multiprocess.Options) (*multiprocess.Result, error) {
			o.Program, o.Deploy = program, deploy
			if o.Dir, err = os.MkdirTemp(c.Keep, "rig"); err != nil {
				return nil, err
			}
			res, err := multiprocess.Run(o)
			if err == nil && c.Keep == "" && len(res.Broken) == 0 {
				_ = os.RemoveAll(o.Dir) // a folder that stays costs room, and the run is good all the same
			}
			return res, err
		}
		res, err := play(multiprocess.Options{Config: s.Config, Seed: seed})
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "seed %-4d worth %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f %s), %d rules broken\n", seed, res.Worth, res.Whole, res.Window, res.Class, res.Worst, len(res.Broken))
		short := s.UnmetExpectations(asFleet(seed, res))
		for _, line := range short {
			fmt.Fprintln(out, "  not as expected:", line)
		}
		if len(res.Broken) == 0 {
			if len(short) > 0 {
				bad++
			}
			continue
		}
		bad++
		for i, b := range res.Broken {
			if i == 10 {
				fmt.Fprintf(out, "  and %d more\n", len(res.Broken)-i)
				break
			}
			fmt.Fprintln(out, " ", b)
		}
		fmt.Fprintln(out, "  longest waits for a processor:", res.Delays)
		fmt.Fprintln(out, "  timeline:", res.Timeline)
		if len(s.Config.Faults) > 1 && c.Shrink > 0 {
			small, err := multiprocess.Shrink(multiprocess.Options{Config: s.Config, Seed: seed}, c.Shrink, play)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "the smallest script found that breaks a rule:\n%s", multiprocess.Script(small))
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d runs broke a rule or fell short", bad, c.Seeds)
	}
	return nil
}

// asFleet is what a scenario's expectations are held against; what a rig does not measure is left out.
func asFleet(seed uint64, r *multiprocess.Result) *fleet.Result {
	out := &fleet.Result{Seed: seed, Worth: r.Worth, Whole: r.Whole, Window: r.Window, Class: r.Class, Worst: r.Worst, Tally: r.Tally, Seconds: r.Seconds, Rules: map[string]int{}}
	for _, b := range r.Broken {
		out.Rules[b.Rule]++
	}
	return out
}
