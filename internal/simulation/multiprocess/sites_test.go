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

// siteFailoverDeploy is the deploy file that enables all features of site failover.
const siteFailoverDeploy = "[sites]\nwatch = true\nact = true\n"

var transitionLine = regexp.MustCompile(`(?m)^ *([0-9.]+)  (r[0-9]+)\.([0-9]+) .* msg="site state changed" .*site=(\S+) from=(\w+) to=(\w+) kind="?([^"=]*?)"? evidence`)

// siteTransition is one change of a site's state at a router.
type siteTransition struct{ router, site, to, kind string }

// siteTransitions returns the changes of site states in a run's timeline, and the timeline.
func siteTransitions(t *testing.T, res *Result) (transitions []siteTransition, text string) {
	t.Helper()
	p, err := os.ReadFile(res.Timeline)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range transitionLine.FindAllStringSubmatch(string(p), -1) {
		transitions = append(transitions, siteTransition{m[2], m[4], m[6], m[7]})
	}
	return transitions, string(p)
}

// routersReporting returns the routers at which a site has reached a state.
func routersReporting(all []siteTransition, site, state string) (routers []string) {
	for _, m := range all {
		if m.site == site && m.to == state && !slices.Contains(routers, m.router) {
			routers = append(routers, m.router)
		}
	}
	slices.Sort(routers)
	return routers
}

// siteCase is a test case of site failover: a fleet, and what the run has to show besides violating no rule.
type siteCase struct {
	config      fleet.Config
	minShare    float64 // the least share of the priority weight
	check       func(all []siteTransition, log string) (faults []string)
	extraDeploy string // further lines of the routers' deploy file
}

// noSiteLost returns a check that no router reported one of the sites as lost; without sites, any site.
func noSiteLost(sites ...string) func(all []siteTransition, log string) []string {
	return func(all []siteTransition, _ string) (faults []string) {
		for _, m := range all {
			if m.to == "lost" && (len(sites) == 0 || slices.Contains(sites, m.site)) {
				faults = append(faults, fmt.Sprintf("%s reports %s as lost", m.router, m.site))
			}
		}
		return faults
	}
}

// onlySiteLost returns a check that each of the routers reported a site as lost, and no router another site.
func onlySiteLost(site string, routers ...string) func(all []siteTransition, log string) []string {
	return func(all []siteTransition, _ string) (faults []string) {
		got := routersReporting(all, site, "lost")
		for _, r := range routers {
			if !slices.Contains(got, r) {
				faults = append(faults, fmt.Sprintf("%s does not report %s as lost, only %v do", r, site, got))
			}
		}
		for _, m := range all {
			if m.to == "lost" && m.site != site {
				faults = append(faults, fmt.Sprintf("%s reports %s as lost (%s)", m.router, m.site, m.kind))
			}
		}
		return faults
	}
}

// siteCases returns the cases of docs/design/site-failover.md. Routers are assigned to sites in turn: r1 to n, r2 to s,
// r3 to w or n, and so on.
func siteCases() map[string]siteCase {
	slow := func(at, length time.Duration, part float64, who ...string) fleet.Fault {
		f := newFault(at, "slow", length, who...)
		f.Part = part
		return f
	}
	use := func(c fleet.Config, banks int, use float64, length time.Duration) fleet.Config {
		c.Banks, c.Use, c.Length = banks, use, length
		return c
	}
	burst := use(smallFleet(3, 6, newFault(2*sec, "kill", 4*sec, "zone:s"),
		newFault(2*sec, "crash", 4*sec, "routers:s")), 3, 0.25, 9*sec)
	burst.Shape = []fleet.Step{{At: 2 * sec, Part: 2}, {At: 5 * sec, Part: 1}}
	retries := use(smallFleet(2, 4, newFault(2*sec, "kill", 4*sec, "zone:s")), 3, 0.4, 10*sec)
	retries.Retries, retries.Honour, retries.Backoff = 6, 0, 20*time.Millisecond
	isolated := use(smallFleet(3, 4, newFault(2*sec, "cut", 4*sec, "r1=!r1")), 3, 0.25, 9*sec)
	isolated.Routers = 4
	noSites := use(smallFleet(3, 4, newFault(2*sec, "kill", 3*sec, "primary:1")), 2, 0.25, 8*sec)
	noSites.Zones = []string{"-"}
	emptySite := use(smallFleet(3, 6, newFault(2*sec, "kill", 3*sec, "zone:s")), 1, 0.25, 9*sec)
	emptySite.Zones, emptySite.Members = []string{"n", "s", "w", "void"}, 3
	deployment := use(smallFleet(3, 6, newFault(sec, "drain", 2*sec, "db1a"),
		newFault(1500*time.Millisecond, "drain", 2*sec, "db2b"), newFault(2*sec, "kill", 4*sec, "zone:s"),
		newFault(3*sec, "term", 5*sec, "r1")), 3, 0.25, 10*sec)
	renamed := use(smallFleet(3, 6, newFault(2*sec, "kill", 0, "zone:s"),
		newFault(5*sec, "add", 0, "db1e", "db2d", "db3f")), 3, 0.25, 13*sec)
	renamed.Spares = 3
	queued := use(smallFleet(2, 4, newFault(2*sec, "kill", 5*sec, "zone:s"), newFault(4*sec, "crash", 3*sec, "r2")),
		3, 0.25, 11*sec)
	return map[string]siteCase{
		"writes are queued during failover": {queued, 0.3, func(all []siteTransition, log string) []string {
			faults := onlySiteLost("s", "r1", "r3")(all, log)
			if !strings.Contains(log, `msg="failover phase changed"`) {
				faults = append(faults, "no replica group is seen to change its primary")
			}
			return faults
		}, "[changeover]\nclasses = [\"entry\"]\n"},
		"the site returns under new ids": {renamed, 0.3, func(all []siteTransition, log string) []string {
			faults := onlySiteLost("s", "r1", "r3", "r4", "r6")(all, log)
			for _, id := range []string{"db1e", "db2d", "db3f"} {
				if !strings.Contains(log, "is told that "+id+" is ready") {
					faults = append(faults, id+" is never listed as ready")
				}
			}
			if got := routersReporting(all, "s", "returning"); len(got) < 3 {
				faults = append(faults, fmt.Sprintf("only %v report the return of s", got))
			}
			return faults
		}, ""},
		"one of two sites is lost with half of the routers at peak": {use(smallFleet(2, 4,
			newFault(2*sec, "kill", 4*sec, "zone:s"), newFault(2*sec, "crash", 5*sec,
				"routers:s")), 3, 0.45, 10*sec), 0.3, onlySiteLost("s", "r1", "r3"), ""},
		"a second site is lost while the first returns": {use(smallFleet(3, 6,
			newFault(2*sec, "kill", 3*sec, "zone:s"), newFault(5500*time.Millisecond, "kill", 3*sec,
				"zone:w")), 3, 0.25, 12*sec), 0.3, func(all []siteTransition, _ string) (faults []string) {
			for _, site := range []string{"s", "w"} {
				if got := routersReporting(all, site, "lost"); len(got) < 4 {
					faults = append(faults, fmt.Sprintf("%s is reported as lost by %v only", site, got))
				}
			}
			if got := routersReporting(all, "n", "lost"); len(got) > 0 {
				faults = append(faults, fmt.Sprintf("n is reported as lost by %v", got))
			}
			return faults
		}, ""},
		// Primaries are assigned to sites in turn: of two sites, n has one of two primaries, two of three and two of
		// four.
		"the lost site has two of three primaries": {use(smallFleet(2, 4, newFault(2*sec, "kill", 4*sec, "zone:n")),
			3, 0.25, 10*sec), 0.3, onlySiteLost("n", "r2", "r4"), ""},
		"a cut leaves both sides alive": {use(smallFleet(2, 4, newFault(2*sec, "cut", 4*sec, "n=s")), 3, 0.25,
			10*sec), 0.3, func(all []siteTransition, _ string) (faults []string) {
			for router, other := range map[string]string{"r1": "s", "r3": "s", "r2": "n", "r4": "n"} {
				for _, m := range all {
					if m.router == router && m.to == "lost" && (m.site != other || m.kind == "site lost") {
						faults = append(faults, fmt.Sprintf("%s reports %s as lost: %s", router, m.site, m.kind))
					}
				}
			}
			return faults
		}, ""},
		"a cut in one direction": {
			use(smallFleet(3, 6, newFault(2*sec, "cut", 4*sec, "s>n")), 3, 0.25, 10*sec), 0.3,
			noSiteLost("w"), "",
		},
		"a router is partitioned from all others": {
			isolated, 0.3,
			func(all []siteTransition, _ string) (faults []string) {
				for _, m := range all {
					if m.to == "lost" && m.router != "r1" {
						faults = append(faults, fmt.Sprintf("%s reports %s as lost", m.router, m.site))
					}
				}
				return faults
			}, "",
		},
		"site loss during a deployment": {deployment, 0.3, noSiteLost("w", "n"), ""},
		"site loss during a burst":      {burst, 0.3, onlySiteLost("s", "r1", "r3", "r4", "r6"), ""},
		"all sites are slow": {use(smallFleet(3, 6,
			slow(2*sec, 4*sec, 0.3, "zone:n", "zone:s", "zone:w")), 3, 0.15, 9*sec), 0.3, noSiteLost(), ""},
		"a site answers health checks only": {use(smallFleet(3, 6, slow(2*sec, 5*sec, 0.01, "zone:s")), 3, 0.2,
			10*sec), 0.3, noSiteLost("n", "w"), ""},
		"discovery is lost with the site": {use(smallFleet(3, 6, newFault(2*sec, "kill", 4*sec, "zone:s"),
			newFault(2*sec, "discovery", 5*sec)), 3, 0.25, 10*sec), 0.3, onlySiteLost("s", "r1", "r3"), ""},
		"retries load the remaining site": {retries, 0.2, onlySiteLost("s", "r1", "r3"), ""},
		"a site flaps": {use(smallFleet(3, 6, newFault(2*sec, "kill", 1500*time.Millisecond, "zone:s"),
			newFault(5*sec, "kill", 1500*time.Millisecond, "zone:s"), newFault(8*sec, "kill", 1500*time.Millisecond,
				"zone:s")), 3, 0.25, 13*sec), 0.3, func(all []siteTransition, log string) []string {
			faults := onlySiteLost("s", "r1", "r3")(all, log)
			if !strings.Contains(log, `msg="site recovery ramp changed" router=r1 site=s`) {
				faults = append(faults, "r1 reports no recovery ramp when s returns")
			}
			return faults
		}, ""},
		"clients move to other sites at once": {use(smallFleet(3, 6, newFault(2*sec, "crash", 6*sec, "routers:s"),
			newFault(2*sec, "kill", 5*sec, "zone:s")), 3, 0.35, 10*sec), 0.3, onlySiteLost("s", "r1", "r3"), ""},
		"a site without endpoints": {emptySite, 0.3, noSiteLost("void"), ""},
		"no sites":                 {noSites, 0.3, nil, ""},
	}
}

// TestSiteFailoverCases checks that in each case the routers violate no rule, earn the least share of the priority
// weight, and report the site states that the case expects. All features of site failover are enabled.
func TestSiteFailoverCases(t *testing.T) {
	slots := make(chan bool, 3) // limits concurrent runs, which would overload the test machine
	for name, c := range siteCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- true
			defer func() { <-slots }()
			if c.config.Routers < 4 {
				t.Fatalf("got %d routers, want at least 4", c.config.Routers)
			}
			res, err := Run(Options{
				Config: c.config, Seed: 1, Program: program, Dir: t.TempDir(),
				Notice: 500 * time.Millisecond, Deploy: siteFailoverDeploy + c.extraDeploy,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range res.Broken {
				t.Error(b)
			}
			if t.Logf("worth %.2f, worst 10 s %.2f, worst class %.2f",
				res.Whole, res.Window, res.Class); res.Whole < c.minShare {
				t.Errorf("got %.2f of the priority weight, want at least %.2f", res.Whole, c.minShare)
			}
			all, log := siteTransitions(t, res)
			if c.check != nil {
				for _, fault := range c.check(all, log) {
					t.Error(fault)
				}
			}
			if t.Failed() {
				logTimeline(t, res.Timeline)
			}
		})
	}
}
