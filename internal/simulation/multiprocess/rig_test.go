package multiprocess

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"limeladder/internal/simulation/fleet"
	"limeladder/internal/simulation/multiprocess/check"
	"limeladder/internal/simulation/multiprocess/history"
	"limeladder/internal/simulation/scenario"
)

// program is the path of the router's executable, built once for all tests.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig")
	if err == nil {
		program = filepath.Join(dir, "limeladder")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program,
			"limeladder/cmd/limeladder").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// runFleet runs a fleet and returns its result.
func runFleet(t *testing.T, c fleet.Config, harm func([]byte) []byte) *Result {
	t.Helper()
	res, err := Run(Options{
		Config: c, Seed: 1, Program: program, Dir: t.TempDir(), Notice: 500 * time.Millisecond,
		Harm: harm,
	})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// smallFleet returns a fleet whose run takes a few seconds.
func smallFleet(sites, routers int, faults ...fleet.Fault) fleet.Config {
	c := Base(sites, routers)
	c.Length, c.Use, c.Faults = 9*time.Second, 0.15, faults
	c.Notice = [2]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}
	return c
}

func newFault(at time.Duration, what string, length time.Duration, who ...string) fleet.Fault {
	return fleet.Fault{At: at, What: what, For: length, Who: who, Part: 1}
}

const sec = time.Second

// TestRulesHoldUnderProcessAndLinkFaults checks that several routers violate no rule while processes, links and whole
// sites fail.
func TestRulesHoldUnderProcessAndLinkFaults(t *testing.T) {
	polled := smallFleet(3, 6, newFault(sec, "drain", 3*sec, "db1b"), newFault(2*sec, "cut", 3*sec, "n=s"),
		newFault(3*sec, "cut", 2*sec, "w>discovery"), newFault(4*sec, "drain", 3*sec, "db2c"))
	polled.Pushed, polled.Grace = false, 2*sec
	for name, c := range map[string]fleet.Config{
		"a site is lost with its routers": smallFleet(2, 4, newFault(2*sec, "kill", 3*sec, "zone:s"),
			newFault(2*sec, "crash", 3*sec, "routers:s")),
		"two of three sites are partitioned": polled,
		"processes stop, end and start": smallFleet(2, 4, newFault(sec, "drain", 4*sec, "db1c"),
			newFault(1500*time.Millisecond, "freeze", 1200*time.Millisecond, "r1"),
			newFault(2*sec, "term", 6*sec, "r2"), newFault(3*sec, "crash", sec, "r3")),
		"links are slow, reset and blackholed": smallFleet(2, 4,
			fleet.Fault{
				At: sec, What: "delay", For: 3 * sec, Who: []string{"n=s"}, Delay: 30 * time.Millisecond,
				Jitter: 20 * time.Millisecond,
			},
			fleet.Fault{At: 2 * sec, What: "trickle", For: 3 * sec, Who: []string{"r1=db1a"}, Rate: 3000},
			newFault(3*sec, "reset", 0, "r2=s"), newFault(4*sec, "lose", 0, "r3=n")),
		"a drain while agents are cut off": smallFleet(2, 4, newFault(sec, "cut", 3*sec, "n=discovery"),
			newFault(1500*time.Millisecond, "drain", 5*sec, "db1b"), newFault(2*sec, "crash", sec, "r1")),
	} {
		t.Run(name, func(t *testing.T) {
			res := runFleet(t, c, nil)
			for _, b := range res.Broken {
				t.Error(b)
			}
			if res.Whole < 0.5 {
				t.Errorf("got %.2f of the priority weight, want at least 0.5", res.Whole)
			}
			steps := 0
			for _, e := range res.History {
				if _, is := e.Fact.(history.ScriptStep); is {
					steps++
				}
			}
			if steps < len(c.Faults) {
				t.Errorf("got %d steps, want at least one for each of %d faults", steps, len(c.Faults))
			}
			if p, err := os.ReadFile(res.Timeline); err != nil || !bytes.Contains(p, []byte("r1.1 ")) ||
				!bytes.Contains(p, []byte(" rig ")) {
				t.Errorf("timeline: got error %v or no lines of r1 or rig, want lines of both", err)
			}
			if t.Failed() {
				logTimeline(t, res.Timeline)
			}
		})
	}
}

// logTimeline logs the lines of a timeline about steps, violations, sites and scheduling delays.
func logTimeline(t *testing.T, file string) {
	t.Helper()
	p, _ := os.ReadFile(file)
	for _, line := range strings.Split(string(p), "\n") {
		if strings.Contains(line, "step:") || strings.Contains(line, "RULE") || strings.Contains(line, `msg="site`) ||
			strings.Contains(line, "longest waits") {
			t.Log(line)
		}
	}
}

// TestRoutersDetectSiteLossAndReturn checks that after the loss of a site each router of the other sites reports it as
// lost, and as returning once it is back, and that no router reports another site as lost.
func TestRoutersDetectSiteLossAndReturn(t *testing.T) {
	c := smallFleet(3, 6, newFault(2*sec, "kill", 3*sec, "zone:s"), newFault(2*sec, "crash", 0, "routers:s"))
	c.Banks, c.Use, c.Length = 3, 0.3, 11*sec
	res, err := Run(Options{
		Config: c, Seed: 1, Program: program, Dir: t.TempDir(), Notice: 500 * time.Millisecond,
		Deploy: "[sites]\nwatch = true\n",
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Broken {
		t.Error(b)
	}
	p, err := os.ReadFile(res.Timeline)
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^ *([0-9.]+)  (r[0-9])\.1 .* msg="site state changed" .*site=(\w+) from=(\w+) to=(\w+)`)
	lostAt, returned := map[string]string{}, map[string]bool{}
	for _, m := range line.FindAllStringSubmatch(string(p), -1) {
		at, router, site, to := m[1], m[2], m[3], m[5]
		if site != "s" && to == "lost" {
			t.Errorf("got %s reporting %s as lost at %s s, want only s", router, site, at)
		}
		if to == "lost" && lostAt[router] == "" {
			lostAt[router] = at
		}
		returned[router] = returned[router] || to == "returning"
	}
	for _, r := range []string{"r1", "r3", "r4", "r6"} { // r2 and r5 are in s
		if lostAt[r] == "" || !returned[r] {
			t.Errorf("%s: got lost at %q s, returning %v; want both", r, lostAt[r], returned[r])
		}
	}
	t.Logf("lost at %v", lostAt)
	if t.Failed() {
		logTimeline(t, res.Timeline)
	}
}

// TestDriverReportsViolations checks that the driver reports a violation: routers that can't reach discovery go on
// sending to draining endpoints.
func TestDriverReportsViolations(t *testing.T) {
	address := regexp.MustCompile(`"discovery": "[^"]*"`)
	c := smallFleet(2, 4, newFault(sec, "drain", 0, "db1b", "db2c"))
	c.Length = 5 * sec
	res := runFleet(t, c, func(p []byte) []byte { return address.ReplaceAll(p, []byte(`"discovery": "127.0.0.1:1"`)) })
	if !slices.ContainsFunc(res.Broken, func(b check.Violation) bool { return b.Rule == "drain" }) || res.Worth != 0 {
		t.Fatalf("got worth %.2f and violations %v, want 0 and one of the rule drain", res.Worth, res.Broken)
	}
}

// TestUnsupportedConfigNamesField checks that the error of an unsupported configuration is one line that names the
// field.
func TestUnsupportedConfigNamesField(t *testing.T) {
	for field, set := range map[string]func(c *fleet.Config){
		"routers:": func(c *fleet.Config) { c.Routers = 13 },
		"banks:":   func(c *fleet.Config) { c.Banks = 50 },
		"when":     func(c *fleet.Config) { c.Faults = []fleet.Fault{{On: "lost:1", What: "drain"}} },
		"suspend":  func(c *fleet.Config) { c.Faults = []fleet.Fault{{What: "suspend"}} },
		"zones:":   func(c *fleet.Config) { c.Zones = nil },
	} {
		c := Base(2, 2)
		set(&c)
		if _, err := Run(Options{Config: c, Program: program, Dir: t.TempDir()}); err == nil ||
			!strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %[2]v, want an error of one line that names %[1]q", field, err)
		}
	}
	if _, err := fleet.Run(smallFleet(2, 2, newFault(sec, "freeze", sec, "r1")), 1); err == nil ||
		!strings.Contains(err.Error(), "freeze") {
		t.Error(err)
	}
}

// TestRandomScriptsLoadAndRepeat checks that a seed always gives the same script, and that the script is a valid
// scenario which gives the same script again.
func TestRandomScriptsLoadAndRepeat(t *testing.T) {
	for seed := range uint64(200) {
		c := Random(seed)
		text := Script(c)
		if text != Script(Random(seed)) {
			t.Fatalf("seed %d: got two different scripts, want the same", seed)
		}
		s, err := scenario.Load("x.star", []byte(text))
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
		if got := Script(s.Config); got != text {
			t.Fatalf("seed %d: got after loading\n%s\nwant\n%s", seed, got, text)
		}
	}
}

// TestShippedScripts checks that each scenario in scenarios/rig loads, has expectations and stays within the limits of
// the driver.
func TestShippedScripts(t *testing.T) {
	files, _ := filepath.Glob("../../../scenarios/rig/*.star")
	if len(files) == 0 {
		t.Fatal("found no scenario in scenarios/rig")
	}
	for _, file := range files {
		src, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := scenario.Load(file, src)
		if err != nil {
			t.Fatal(err)
		}
		if c := s.Config; s.About == "" || len(s.Expectations) == 0 || len(c.Faults) == 0 || c.Routers > maxRouters ||
			c.Banks*c.Members > maxEndpoints {
			t.Errorf("%s: got expectations %+v; want a description, expectations, faults and a supported size", file,
				s.Expectations)
		}
	}
}

// TestShrink checks that only the faults remain without which no rule is broken, and that the limit of runs is kept.
func TestShrink(t *testing.T) {
	c := Base(2, 4)
	for i := range 6 {
		c.Faults = append(c.Faults, newFault(time.Duration(i)*sec, "drain", sec, fmt.Sprintf("db1%c", 'a'+i%3)))
	}
	runs := 0
	play := func(o Options) (*Result, error) {
		runs++
		has := func(at time.Duration) bool {
			return slices.ContainsFunc(o.Config.Faults, func(f fleet.Fault) bool { return f.At == at })
		}
		if has(sec) && has(4*sec) {
			return &Result{Broken: []check.Violation{{Rule: "drain"}}}, nil
		}
		return &Result{}, nil
	}
	got, err := Shrink(Options{Config: c}, 12, play)
	if err != nil || len(got.Faults) != 2 || got.Faults[0].At != sec || got.Faults[1].At != 4*sec ||
		len(c.Faults) != 6 {
		t.Fatalf("got faults %v and error %v, want the faults at 1 s and 4 s and an unchanged input", got.Faults, err)
	}
	runs = 0
	if _, err := Shrink(Options{Config: c}, 2, play); err != nil {
		t.Fatal(err)
	}
	if runs != 2 {
		t.Errorf("got %d runs, want 2", runs)
	}
}
