package multiprocess

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"limeladder/internal/simulation/fleet"
)

// acting turns on all that a router does about whole sites.
const acting = "[sites]\nwatch = true\nact = true\n"

var moved = regexp.MustCompile(`(?m)^ *([0-9.]+)  (r[0-9]+)\.([0-9]+) .* msg="site state changed" .*site=(\S+) from=(\w+) to=(\w+) kind="?([^"=]*?)"? evidence`)

// move is one change of what a router takes a site for.
type move struct{ router, site, to, kind string }

// moves reads them from a timeline.
func moves(t *testing.T, res *Result) (out []move, text string) {
	t.Helper()
	p, err := os.ReadFile(res.Timeline)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range moved.FindAllStringSubmatch(string(p), -1) {
		out = append(out, move{m[2], m[4], m[6], m[7]})
	}
	return out, string(p)
}

// takers are the routers that took a site for something.
func takers(all []move, site, state string) (out []string) {
	for _, m := range all {
		if m.site == site && m.to == state && !slices.Contains(out, m.router) {
			out = append(out, m.router)
		}
	}
	slices.Sort(out)
	return out
}

// hard is a case that losses of sites are hard in: what it is, and what has to have been seen in it beside that no rule was broken.
type hard struct {
	fleet fleet.Config
	whole float64 // of the worth, at least
	seen  func(all []move, log string) (faults []string)
	more  string // of the routers' deploy file
}

// none says that nobody took one of the sites for lost; without sites, any at all.
func none(sites ...string) func(all []move, log string) []string {
	return func(all []move, _ string) (faults []string) {
		for _, m := range all {
			if m.to == "lost" && (len(sites) == 0 || slices.Contains(sites, m.site)) {
				faults = append(faults, fmt.Sprintf("%s takes %s for lost", m.router, m.site))
			}
		}
		return faults
	}
}

// by says that all of some routers took a site for lost, and nobody another one.
func by(site string, routers ...string) func(all []move, log string) []string {
	return func(all []move, _ string) (faults []string) {
		got := takers(all, site, "lost")
		for _, r := range routers {
			if !slices.Contains(got, r) {
				faults = append(faults, fmt.Sprintf("%s does not take %s for lost, %v do", r, site, got))
			}
		}
		for _, m := range all {
			if m.to == "lost" && m.site != site {
				faults = append(faults, fmt.Sprintf("%s takes %s for lost (%s)", m.router, m.site, m.kind))
			}
		}
		return faults
	}
}

// hardCases are those that are named in docs/design/site-failover.md. Routers are dealt to sites in turn: r1 n, r2 s, r3 w or n, ...
func hardCases() map[string]hard {
	slow := func(at, length time.Duration, part float64, who ...string) fleet.Fault {
		f := fault(at, "slow", length, who...)
		f.Part = part
		return f
	}
	use := func(c fleet.Config, banks int, use float64, length time.Duration) fleet.Config {
		c.Banks, c.Use, c.Length = banks, use, length
		return c
	}
	burst := use(small(3, 6, fault(2*sec, "kill", 4*sec, "zone:s"), fault(2*sec, "crash", 4*sec, "routers:s")), 3, 0.25, 9*sec)
	burst.Shape = []fleet.Step{{At: 2 * sec, Part: 2}, {At: 5 * sec, Part: 1}}
	repeats := use(small(2, 4, fault(2*sec, "kill", 4*sec, "zone:s")), 3, 0.4, 10*sec)
	repeats.Retries, repeats.Honour, repeats.Backoff = 6, 0, 20*time.Millisecond
	alone := use(small(3, 4, fault(2*sec, "cut", 4*sec, "r1=!r1")), 3, 0.25, 9*sec)
	alone.Routers = 4
	placeless := use(small(3, 4, fault(2*sec, "kill", 3*sec, "primary:1")), 2, 0.25, 8*sec)
	placeless.Zones = []string{"-"}
	empty := use(small(3, 6, fault(2*sec, "kill", 3*sec, "zone:s")), 1, 0.25, 9*sec)
	empty.Zones, empty.Members = []string{"n", "s", "w", "void"}, 3
	deploy := use(small(3, 6, fault(sec, "drain", 2*sec, "db1a"), fault(1500*time.Millisecond, "drain", 2*sec, "db2b"), fault(2*sec, "kill", 4*sec, "zone:s"), fault(3*sec, "term", 5*sec, "r1")), 3, 0.25, 10*sec)
	renamed := use(small(3, 6, fault(2*sec, "kill", 0, "zone:s"), fault(5*sec, "add", 0, "db1e", "db2d", "db3f")), 3, 0.25, 13*sec)
	renamed.Spares = 3
	held := use(small(2, 4, fault(2*sec, "kill", 5*sec, "zone:s"), fault(4*sec, "crash", 3*sec, "r2")), 3, 0.25, 11*sec)
	return map[string]hard{
		"its banks' writes are held": {held, 0.3, func(all []move, log string) []string {
			faults := by("s", "r1", "r3")(all, log)
			if !strings.Contains(log, `msg="failover phase changed"`) {
				faults = append(faults, "no bank is seen to change its primary")
			}
			return faults
		}, "[changeover]\nclasses = [\"entry\"]\n"},
		"it returns under new ids": {renamed, 0.3, func(all []move, log string) []string {
			faults := by("s", "r1", "r3", "r4", "r6")(all, log)
			for _, id := range []string{"db1e", "db2d", "db3f"} {
				if !strings.Contains(log, "is told that "+id+" is ready") {
					faults = append(faults, id+" is never listed")
				}
			}
			if got := takers(all, "s", "returning"); len(got) < 3 {
				faults = append(faults, fmt.Sprintf("%v see it return", got))
			}
			return faults
		}, ""},
		"one of two is lost with half of the routers at peak": {use(small(2, 4, fault(2*sec, "kill", 4*sec, "zone:s"), fault(2*sec, "crash", 5*sec, "routers:s")), 3, 0.45, 10*sec), 0.3, by("s", "r1", "r3"), ""},
		"the second is lost while the first returns": {use(small(3, 6, fault(2*sec, "kill", 3*sec, "zone:s"), fault(5500*time.Millisecond, "kill", 3*sec, "zone:w")), 3, 0.25, 12*sec), 0.3, func(all []move, _ string) (faults []string) {
			for _, site := range []string{"s", "w"} {
				if got := takers(all, site, "lost"); len(got) < 4 {
					faults = append(faults, fmt.Sprintf("%s is taken for lost by %v only", site, got))
				}
			}
			if got := takers(all, "n", "lost"); len(got) > 0 {
				faults = append(faults, fmt.Sprintf("n is taken for lost by %v", got))
			}
			return faults
		}, ""},
		// Banks are dealt to sites in turn: of four, those of n are two; of two, all but one.
		"it held two of three primaries": {use(small(2, 4, fault(2*sec, "kill", 4*sec, "zone:n")), 3, 0.25, 10*sec), 0.3, by("n", "r2", "r4"), ""},
		"a cut leaves both sides alive": {use(small(2, 4, fault(2*sec, "cut", 4*sec, "n=s")), 3, 0.25, 10*sec), 0.3, func(all []move, _ string) (faults []string) {
			for router, other := range map[string]string{"r1": "s", "r3": "s", "r2": "n", "r4": "n"} {
				for _, m := range all {
					if m.router == router && m.to == "lost" && (m.site != other || m.kind == "site lost") {
						faults = append(faults, fmt.Sprintf("%s takes %s for lost: %s", router, m.site, m.kind))
					}
				}
			}
			return faults
		}, ""},
		"a cut in one direction": {use(small(3, 6, fault(2*sec, "cut", 4*sec, "s>n")), 3, 0.25, 10*sec), 0.3, none("w"), ""},
		"a router alone on its side": {alone, 0.3, func(all []move, _ string) (faults []string) {
			for _, m := range all {
				if m.to == "lost" && m.router != "r1" {
					faults = append(faults, fmt.Sprintf("%s takes %s for lost", m.router, m.site))
				}
			}
			return faults
		}, ""},
		"it falls into a deploy":       {deploy, 0.3, none("w", "n"), ""},
		"it falls into a burst":        {burst, 0.3, by("s", "r1", "r3", "r4", "r6"), ""},
		"all are slow together":        {use(small(3, 6, slow(2*sec, 4*sec, 0.3, "zone:n", "zone:s", "zone:w")), 3, 0.15, 9*sec), 0.3, none(), ""},
		"it answers probes only":       {use(small(3, 6, slow(2*sec, 5*sec, 0.01, "zone:s")), 3, 0.2, 10*sec), 0.3, none("n", "w"), ""},
		"discovery is lost with it":    {use(small(3, 6, fault(2*sec, "kill", 4*sec, "zone:s"), fault(2*sec, "discovery", 5*sec)), 3, 0.25, 10*sec), 0.3, by("s", "r1", "r3"), ""},
		"repeats fill those that stay": {repeats, 0.2, by("s", "r1", "r3"), ""},
		"it flaps": {use(small(3, 6, fault(2*sec, "kill", 1500*time.Millisecond, "zone:s"), fault(5*sec, "kill", 1500*time.Millisecond, "zone:s"), fault(8*sec, "kill", 1500*time.Millisecond, "zone:s")), 3, 0.25, 13*sec), 0.3, func(all []move, log string) []string {
			faults := by("s", "r1", "r3")(all, log)
			if !strings.Contains(log, `msg="site recovery ramp changed" router=r1 site=s`) {
				faults = append(faults, "nobody paces its return")
			}
			return faults
		}, ""},
		"its clients arrive elsewhere at once": {use(small(3, 6, fault(2*sec, "crash", 6*sec, "routers:s"), fault(2*sec, "kill", 5*sec, "zone:s")), 3, 0.35, 10*sec), 0.3, by("s", "r1", "r3"), ""},
		"a site without a machine":             {empty, 0.3, none("void"), ""},
		"no sites at all":                      {placeless, 0.3, nil, ""},
	}
}

// Several processes judge, refuse and pace the return in each of the hard cases, and keep all rules.
func TestHardCasesOfLostSites(t *testing.T) {
	places := make(chan bool, 3) // so many at once: the machine that tests run on must not be what fails
	for name, c := range hardCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			places <- true
			defer func() { <-places }()
			if c.fleet.Routers < 4 {
				t.Fatalf("%d processes", c.fleet.Routers)
			}
			res, err := Run(Options{Config: c.fleet, Seed: 1, Program: program, Dir: t.TempDir(), Notice: 500 * time.Millisecond, Deploy: acting + c.more})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range res.Broken {
				t.Error(b)
			}
			if t.Logf("worth %.2f, worst 10 s %.2f, worst class %.2f", res.Whole, res.Window, res.Class); res.Whole < c.whole {
				t.Errorf("whole %.2f, %.2f wanted", res.Whole, c.whole)
			}
			all, log := moves(t, res)
			if c.seen != nil {
				for _, fault := range c.seen(all, log) {
					t.Error(fault)
				}
			}
			if t.Failed() {
				keep(t, res.Timeline)
			}
		})
	}
}
