package scenario

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"limeladder/internal/simulation/fleet"
)

// Load applies every call of a script to the configuration, and the resulting scenario can be run.
func TestLoadReadsEveryCall(t *testing.T) {
	s, err := Load("dir/x.star", []byte(`
about("text")
fleet(routers=5, banks=2, members=2, zones=["n", "s"])
machine(cores=4, cold_s=7.5, cancel_stops=True)
follow(ship_ms=3.2, detect_s=(1, 2), stand_s=1)
network(notice_s=[0.5, 1])
clients(retries=1)
request_class(name="r", share=2, work_ms=10, cv=0.5, aim_ms=100, deadline_ms=400, need="bounded", bound_ms=500)
request_class(name="w", share=1, work_ms=20, deadline_ms=900, need="update")
traffic(use=0.3, length_s=8)
jump(at_s=1, to=2)
hold(["w"])
for b in range(1, 3):
    at(b, kill("primary:%d" % b, back_s=4))
when("led:2", slow("db1b", part=0.5, length_s=1), after_s=0.25)
expect("worth", least=0.1)
expect("refused",
       most=0.9)
`))
	if err != nil {
		t.Fatal(err)
	}
	config := s.Config
	endpoint := config.Kind
	replication := config.Follow
	for property, ok := range map[string]bool{
		"name":                        s.Name == "x",
		"about":                       s.About == "text",
		"routers":                     config.Routers == 5,
		"zones":                       config.Zones[1] == "s",
		"cores":                       endpoint.Cores == 4,
		"cold_s":                      endpoint.SlowStartWindow == 7500*time.Millisecond,
		"cancel_stops":                endpoint.CancelsRunning,
		"ship_ms":                     replication.ShipDelay == 3200*time.Microsecond,
		"detect_s":                    replication.DetectionDelay[1] == 2*time.Second,
		"stand_s":                     replication.ElectionDelay == [2]time.Duration{time.Second, time.Second},
		"classes":                     len(config.Classes) == 2,
		"class with cv":               !config.Classes[0].Work.Exponential,
		"class without cv":            config.Classes[1].Work.Exponential,
		"class of updates":            config.Classes[1].Idempotency != 0,
		"hold":                        config.Hold[0] == "w",
		"faults":                      len(config.Faults) == 3,
		"condition of a fault":        config.Faults[2].On == "led:2",
		"after_s":                     config.Faults[2].At == 250*time.Millisecond,
		"target of a fault":           config.Faults[1].Who[0] == "primary:2",
		"expectations":                len(s.Expectations) == 2,
		"position of the expectation": s.Expectations[1].Position == "dir/x.star:17",
	} {
		if !ok {
			t.Errorf("%s differs from the script", property)
		}
	}
	if t.Failed() {
		t.Fatalf("%+v", s)
	}
	result, err := fleet.Run(config, 1)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Marks) != 4 || result.Marks[3].Text != "slow db1b" {
		t.Fatal(result.Marks)
	}
	s.Expectations = append(s.Expectations,
		Expectation{Statistic: "worth", Min: 2, Max: math.NaN(), Position: "a:1"},
		Expectation{Statistic: "changes", Min: math.NaN(), Max: 1, Position: "a:2"})
	unmet := s.UnmetExpectations(result)
	if len(unmet) != 2 {
		t.Fatalf("unmet expectations %q, want two", unmet)
	}
	if !strings.HasPrefix(unmet[0], "a:1: seed 1: worth is ") || !strings.Contains(unmet[1], "expected at most 1") {
		t.Fatalf("unmet expectations %q, want worth for seed 1 at a:1, and an expectation of at most 1", unmet)
	}
}

// The error of a script that can't be loaded is a single line with the file, the line and the reason.
func TestLoadErrors(t *testing.T) {
	for src, want := range map[string]string{
		"fleet(":                             "x.star:1:7: got end of file",
		"\nfleet(router=3)":                  "x.star:2: fleet: unknown argument router",
		"fleet(3)":                           "x.star:1: fleet: takes named arguments only",
		"fleet(routers=0)":                   "x.star:1: fleet: routers: 0 is not between 1 and 2000",
		"fleet(routers=1.5)":                 "x.star:1: fleet: routers: 1.5 is not an integer",
		"fleet(routers=1<<80)":               "x.star:1: fleet: routers: 1208925819614629174706176 is not an integer",
		"\n\nat(3)":                          "x.star:3: at: takes a time in seconds and faults",
		"at(3, 4)":                           "x.star:1: at: int is not a fault",
		"at('a', kill('db1a'))":              `x.star:1: at: "a" is not a number`,
		"at(-1, kill('db1a'))":               "x.star:1: at: -1 is not between 0 and 86400",
		"at(1, kill('db9a'))":                "x.star:1: kill: unknown target db9a",
		"at(1, kill('db1'))":                 "x.star:1: kill: unknown target db1",
		"at(1, kill('primary:7'))":           "x.star:1: kill: unknown target primary:7",
		"at(1, kill('zone:q'))":              "x.star:1: kill: unknown target zone:q",
		"at(1, kill())":                      "x.star:1: kill: no target is given",
		"at(1, cut('ab'))":                   "x.star:1: cut: ab is not a link",
		"at(1, slow('db1a', part=2))":        "x.star:1: slow: part: 2 is not between 0 and 1",
		"when('late:1', kill('db1a'))":       "x.star:1: when: late:1 is not a condition",
		"when('led:9', kill('db1a'))":        "x.star:1: when: unknown target bank:9",
		"expect('worth')":                    "x.star:1: expect: least or most is required",
		"expect('fun', most=1)":              "x.star:1: expect: unknown statistic fun",
		"only(['fun'])":                      "x.star:1: only: unknown class fun",
		"request_class(name='a')":            "x.star:1: request_class: name, work_ms and deadline_ms are required",
		"traffic(use=float('nan'))":          "x.star:1: traffic: use: nan is not a number",
		"jump(at_s=4)\njump(at_s=2)":         "x.star:2: jump: at_s: earlier than the previous jump",
		"follow(detect_s=(3, 1))":            "x.star:1: follow: detect_s: (3, 1): upper bound below lower bound",
		"def f():\n  return 1 // 0\nf()":     "x.star:2: floored division by zero",
		"x = 1\nwhile True:\n  x += 1":       "x.star:1: Starlark computation cancelled: too many steps",
		"nope()":                             "x.star:1:1: undefined: nope",
		"load('other.star', 'a')":            "x.star:1: load not implemented",
		"fleet(banks=5000, members=50)":      "x.star: banks: 1 to 20,000 machines",
		"a = [kill('db1a')]\nb = {a[0]: 1}":  "x.star:2: unhashable type: fault",
		"x = 'a' * (1 << 30)\ny = x + x + x": "x.star:1: ",
	} {
		_, err := Load("x.star", []byte(src))
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want one line that starts as in the table", src, err)
		}
	}
	if _, err := Load("x.star", make([]byte, maxBytes+1)); err == nil {
		t.Error("a script longer than maxBytes is accepted")
	}
}

// The scenarios in the repository can be run and meet their expectations.
func TestShippedScenarios(t *testing.T) {
	files, _ := filepath.Glob("../../../scenarios/*.star")
	if len(files) < 12 {
		t.Fatalf("%d scenarios, want at least 12", len(files))
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			src, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := Load(file, src)
			if err != nil {
				t.Fatal(err)
			}
			if s.About == "" || len(s.Expectations) == 0 {
				t.Error("scenario lacks a description or expectations")
			}
			r, err := fleet.Run(s.Config, 1)
			if err != nil {
				t.Fatal(err)
			}
			for _, unmet := range s.UnmetExpectations(r) {
				t.Error(unmet)
			}
			if again, err := Load(file, src); err != nil || len(again.Config.Faults) != len(s.Config.Faults) {
				t.Error(err)
			}
		})
	}
}

func FuzzLoad(f *testing.F) {
	files, _ := filepath.Glob("../../../scenarios/*.star")
	for _, file := range files {
		if src, err := os.ReadFile(file); err == nil {
			f.Add(src)
		}
	}
	f.Add([]byte("def f(x): return f(x)\nf(1)"))
	f.Fuzz(func(t *testing.T, src []byte) {
		s, err := Load("f.star", src)
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatalf("error has more than one line: %q", err)
		}
		if err == nil && s.Config.Check() != nil {
			t.Fatal("Load accepts a configuration that its Check rejects")
		}
	})
}
