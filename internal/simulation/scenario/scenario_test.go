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

// What stands in a script is what is played.
func TestReads(t *testing.T) {
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
	c := s.Config
	if s.Name != "x" || s.About != "text" || c.Routers != 5 || c.Zones[1] != "s" || c.Kind.Cores != 4 || c.Kind.SlowStartWindow != 7500*time.Millisecond || !c.Kind.CancelsRunning ||
		c.Follow.ShipDelay != 3200*time.Microsecond || c.Follow.DetectionDelay[1] != 2*time.Second || c.Follow.ElectionDelay != [2]time.Duration{time.Second, time.Second} ||
		len(c.Classes) != 2 || c.Classes[0].Work.Exponential || !c.Classes[1].Work.Exponential || c.Classes[1].Idempotency == 0 || len(c.Faults) != 3 ||
		c.Faults[2].On != "led:2" || c.Faults[2].At != 250*time.Millisecond || c.Faults[1].Who[0] != "primary:2" || c.Hold[0] != "w" || len(s.Expect) != 2 || s.Expect[1].Where != "dir/x.star:17" {
		t.Fatalf("%+v", s)
	}
	r, err := fleet.Run(c, 1)
	if err != nil || len(r.Marks) != 4 || r.Marks[3].Text != "slow db1b" {
		t.Fatal(err, r.Marks)
	}
	s.Expect = append(s.Expect, Expectation{"worth", 2, math.NaN(), "a:1"}, Expectation{"changes", math.NaN(), 1, "a:2"})
	if short := s.Met(r); len(short) != 2 || !strings.HasPrefix(short[0], "a:1: seed 1: worth is ") || !strings.Contains(short[1], "expected at most 1") {
		t.Fatal(short)
	}
}

// A script that can't be played is one line with file, line and what is wrong.
func TestBad(t *testing.T) {
	for src, want := range map[string]string{
		"fleet(":                             "x.star:1:7: got end of file",
		"\nfleet(router=3)":                  "x.star:2: fleet: nothing is called router",
		"fleet(3)":                           "x.star:1: fleet: takes names only",
		"fleet(routers=0)":                   "x.star:1: fleet: routers: 0 is not within 1 and 2000",
		"fleet(routers=1.5)":                 "x.star:1: fleet: routers: 1.5 is no whole number",
		"fleet(routers=1<<80)":               "x.star:1: fleet: routers: 1208925819614629174706176 is no whole number",
		"\n\nat(3)":                          "x.star:3: at: takes a time in seconds and faults",
		"at(3, 4)":                           "x.star:1: at: int is no fault",
		"at('a', kill('db1a'))":              `x.star:1: at: "a" is no number`,
		"at(-1, kill('db1a'))":               "x.star:1: at: -1 is not within 0 and 86400",
		"at(1, kill('db9a'))":                "x.star:1: kill: nobody is called db9a",
		"at(1, kill('db1'))":                 "x.star:1: kill: nobody is called db1",
		"at(1, kill('primary:7'))":           "x.star:1: kill: nobody is called primary:7",
		"at(1, kill('zone:q'))":              "x.star:1: kill: nobody is called zone:q",
		"at(1, kill())":                      "x.star:1: kill: nobody is named",
		"at(1, cut('ab'))":                   "x.star:1: cut: ab is no link",
		"at(1, slow('db1a', part=2))":        "x.star:1: slow: part: 2 is not within 0 and 1",
		"when('late:1', kill('db1a'))":       "x.star:1: when: late:1 is no condition",
		"when('led:9', kill('db1a'))":        "x.star:1: when: nobody is called bank:9",
		"expect('worth')":                    "x.star:1: expect: least or most is needed",
		"expect('fun', most=1)":              "x.star:1: expect: no figure is called fun",
		"only(['fun'])":                      "x.star:1: only: no class is called fun",
		"request_class(name='a')":            "x.star:1: request_class: name, work_ms and deadline_ms are needed",
		"traffic(use=float('nan'))":          "x.star:1: traffic: use: nan is no number",
		"jump(at_s=4)\njump(at_s=2)":         "x.star:2: jump: at_s: before the jump",
		"follow(detect_s=(3, 1))":            "x.star:1: follow: detect_s: (3, 1): the second is less than the first",
		"def f():\n  return 1 // 0\nf()":     "x.star:2: floored division by zero",
		"x = 1\nwhile True:\n  x += 1":       "x.star:1: Starlark computation cancelled: too many steps",
		"nope()":                             "x.star:1:1: undefined: nope",
		"load('other.star', 'a')":            "x.star:1: load not implemented",
		"fleet(banks=5000, members=50)":      "x.star: banks: 1 to 20,000 machines",
		"a = [kill('db1a')]\nb = {a[0]: 1}":  "x.star:2: no fault is hashable",
		"x = 'a' * (1 << 30)\ny = x + x + x": "x.star:1: ",
	} {
		_, err := Load("x.star", []byte(src))
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", src, err)
		}
	}
	if _, err := Load("x.star", make([]byte, mostBytes+1)); err == nil {
		t.Error("a script of any length is read")
	}
}

// Those that are shipped are played, and what they expect comes true.
func TestShipped(t *testing.T) {
	files, _ := filepath.Glob("../../../scenarios/*.star")
	if len(files) < 12 {
		t.Fatalf("%d scenarios", len(files))
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
			if s.About == "" || len(s.Expect) == 0 {
				t.Error("it says neither what it is about nor what it expects")
			}
			r, err := fleet.Run(s.Config, 1)
			if err != nil {
				t.Fatal(err)
			}
			for _, short := range s.Met(r) {
				t.Error(short)
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
			t.Fatalf("%q", err)
		}
		if err == nil && s.Config.Check() != nil {
			t.Fatal("what can't be played is passed on")
		}
	})
}
