package multiprocess

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"limeladder/balance"
	"limeladder/internal/simulation/fleet"
)

// Base returns a small fleet: two or three sites, one or two routers in each, replica groups across all sites, and
// little load, so that a machine with few cores can run it in real time.
func Base(sites, routers int) fleet.Config {
	ms := time.Millisecond
	c := fleet.Default()
	c.Zones = []string{"n", "s", "w"}[:sites]
	c.Routers, c.Banks, c.Members = routers, 2, 3
	c.Pushed, c.Grace, c.Comeback = true, 500*ms, time.Second
	c.Notice = [2]time.Duration{500 * ms, 1500 * ms}
	c.Silent = [2]time.Duration{3 * time.Second, 5 * time.Second}
	c.RoleLag = [2]time.Duration{1200 * ms, 4100 * ms}
	c.Length, c.Use, c.Sessions, c.Leave = 16*time.Second, 0.25, 100, 0
	c.Kind.SlowStartWindow, c.Kind.OverloadMultiple, c.Kind.OverloadWindow = 8*time.Second, 4, 1500*ms
	c.Classes = []fleet.Class{
		{Share: 0.48, Class: balance.Class{
			Name:             "view",
			LatencyObjective: 600 * ms,
			ClientTimeout:    2 * time.Second,
			PriorityWeight:   3,
			Consistency:      balance.ConsistencyBounded,
			MaxStaleness:     500 * ms,
		}},
		{Share: 0.28, Class: balance.Class{
			Name:             "history",
			LatencyObjective: 400 * ms,
			ClientTimeout:    time.Second,
			PriorityWeight:   1,
			Consistency:      balance.ConsistencyAny,
		}},
		{Share: 0.24, Class: balance.Class{
			Name:             "entry",
			LatencyObjective: time.Second,
			ClientTimeout:    5 * time.Second,
			PriorityWeight:   6,
			LateWeightShare:  0.7,
			Consistency:      balance.ConsistencyWrite,
			Idempotency:      balance.NonIdempotent,
		}},
	}
	for i := range c.Classes {
		c.Classes[i].Work.Mean, c.Classes[i].Work.Exponential = 60*ms, true
	}
	return c
}

// Random returns a fleet and two to six faults, all drawn from a seed.
func Random(seed uint64) fleet.Config {
	rng := rand.New(rand.NewPCG(seed, 29))
	sites := 2 + rng.IntN(2)
	c := Base(sites, 3+rng.IntN(4))
	c.Pushed = rng.IntN(2) == 0
	if !c.Pushed {
		c.Grace = 2 * time.Second
	}
	choose := func(words ...string) string { return words[rng.IntN(len(words))] }
	site := func() string { return choose(c.Zones...) }
	router := func() string { return fmt.Sprint("r", 1+rng.IntN(c.Routers)) }
	endpoint := func() string { return fmt.Sprintf("db%d%c", 1+rng.IntN(c.Banks), 'a'+rng.IntN(c.Members)) }
	span := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(rng.Int64N(int64(most-least)))).Round(10 * time.Millisecond)
	}
	for range 2 + rng.IntN(5) {
		f := fleet.Fault{
			At:   span(2*time.Second, c.Length-7*time.Second),
			For:  span(500*time.Millisecond, 5*time.Second),
			Part: 1,
		}
		switch rng.IntN(11) {
		case 0:
			f.What, f.Who = "crash", []string{router()}
		case 1:
			f.What, f.Who, f.For = "freeze", []string{router()}, span(10*time.Millisecond, 4*time.Second)
		case 2:
			f.What, f.Who, f.For = "term", []string{router()}, span(6*time.Second, 7*time.Second)
		case 3:
			f.What, f.Who = "cut", []string{site() + choose("=", ">") + choose("!"+site(), site(), endpoint())}
		case 4:
			f.What, f.Who = "delay", []string{site() + "=" + site()}
			f.Delay, f.Jitter = span(5*time.Millisecond, 100*time.Millisecond), 20*time.Millisecond
		case 5:
			f.What, f.Who, f.Rate = "trickle", []string{router() + "=" + endpoint()}, 200+rng.IntN(5000)
		case 6:
			f.What, f.Who = choose("reset", "lose"), []string{router() + "=" + choose(endpoint(), site())}
		case 7:
			f.What, f.Who = "kill", []string{choose("zone:"+site(), endpoint(), "primary:1")}
		case 8:
			f.What, f.Who, f.For = "drain", []string{endpoint()}, span(2*time.Second, 5*time.Second)
		case 9:
			f.What, f.Who = "hang", []string{endpoint()}
		default:
			f.What, f.Who = "cut", []string{router() + "=discovery"}
		}
		c.Faults = append(c.Faults, f)
	}
	return c
}

// Script returns the part of a scenario file in which the configurations of Random differ.
func Script(c fleet.Config) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet(routers=%d, banks=%d, members=%d, zones=[\"%s\"], grace_ms=%d)\nnetwork(pushed=%s)\n",
		c.Routers, c.Banks, c.Members, strings.Join(c.Zones, "\", \""), c.Grace.Milliseconds(),
		map[bool]string{true: "True", false: "False"}[c.Pushed])
	for _, f := range c.Faults {
		args := []string{"\"" + strings.Join(f.Who, "\", \"") + "\""}
		switch f.What {
		case "kill", "crash", "term":
			args = append(args, "back_s="+formatSeconds(f.For))
		case "reset", "lose":
		default:
			args = append(args, "length_s="+formatSeconds(f.For))
		}
		if f.Delay > 0 || f.Jitter > 0 {
			args = append(args, fmt.Sprintf("ms=%d, jitter_ms=%d", f.Delay.Milliseconds(), f.Jitter.Milliseconds()))
		}
		if f.Rate > 0 {
			args = append(args, fmt.Sprintf("rate=%d", f.Rate))
		}
		fmt.Fprintf(&b, "at(%s, %s(%s))\n", formatSeconds(f.At), f.What, strings.Join(args, ", "))
	}
	return b.String()
}

// formatSeconds formats a time as seconds with at most three decimals, without trailing zeros.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Milliseconds())/1000, 'g', -1, 64)
}

// Shrink tries to remove the faults one after the other, and removes each without which a rule is still broken. It
// calls play at most maxRuns times.
func Shrink(o Options, maxRuns int, play func(Options) (*Result, error)) (fleet.Config, error) {
	shrunk := o.Config
	for i := 0; i < len(shrunk.Faults) && maxRuns > 0; {
		candidate := shrunk
		candidate.Faults = append(append([]fleet.Fault{}, shrunk.Faults[:i]...), shrunk.Faults[i+1:]...)
		maxRuns--
		res, err := play(Options{Config: candidate, Seed: o.Seed, Notice: o.Notice})
		if err != nil {
			return shrunk, err
		}
		if len(res.Broken) > 0 {
			shrunk = candidate
		} else {
			i++
		}
	}
	return shrunk, nil
}
