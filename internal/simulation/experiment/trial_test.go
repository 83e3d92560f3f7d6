package experiment

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"limeladder/internal/simulation/scenario"
)

// deploy restarts one machine after the other, which come back cold: what routers know of cold machines decides.
const deploy = `
traffic(use=0.4, length_s=30)
for i, m in enumerate(["db1c", "db2c", "db3c", "db4c", "db1b", "db2b"]):
    at(3 + 4 * i, drain(m, length_s=2))
`

func play(t *testing.T, seeds int, arms ...string) map[string][]Line {
	t.Helper()
	s, err := scenario.Load("deploy.star", []byte(deploy))
	if err != nil {
		t.Fatal(err)
	}
	var as []Arm
	for _, text := range arms {
		a, err := ReadArm(text, text)
		if err != nil {
			t.Fatal(err)
		}
		as = append(as, a)
	}
	out := map[string][]Line{}
	seed := uint64(0)
	if err := Run(s, as, 1, seeds, 4, "r1", func(l Line) error {
		if l.Seed < seed {
			t.Errorf("seed %d behind %d", l.Seed, seed)
		}
		seed = l.Seed
		out[l.Arm] = append(out[l.Arm], l)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return out
}

// A change that does harm is told from the good one by ten seeds; one that only draws otherwise is not.
func TestHarmIsTold(t *testing.T) {
	lines := play(t, 10, "", "harm_cold_budget = true", "salt = 1")
	for arm, harm := range map[string]bool{"harm_cold_budget = true": true, "salt = 1": false} {
		e := Effects(lines[""], lines[arm], []string{"whole", "worth"})
		t.Logf("%s: %+v", arm, e)
		if e[0].Pairs != 10 {
			t.Errorf("%d pairs", e[0].Pairs)
		}
		if harm != (e[1].Beyond && e[1].Diff < 0) {
			t.Errorf("%s: worth %.4f (%.4f to %.4f)", arm, e[1].Diff, e[1].Low, e[1].High)
		}
		if !harm && e[0].Diff == 0 {
			t.Error("an arm with another salt has drawn the same")
		}
	}
}

// Lines go out and come back, and what is no result is named with its line.
func TestReadBack(t *testing.T) {
	lines := play(t, 2, "", "salt = 1")
	var b bytes.Buffer
	for _, l := range lines[""] {
		if err := json.NewEncoder(&b).Encode(l); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Read("a", strings.NewReader(b.String()))
	if err != nil || len(got) != 2 || got[1].Seed != 2 || got[0].Figures["worth"] != lines[""][0].Figures["worth"] {
		t.Fatal(got, err)
	}
	for text, want := range map[string]string{"": "a: no results", "{}\n": "a:1: no result", b.String() + "x": "a:3: "} {
		if _, err := Read("a", strings.NewReader(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if e := Effects(lines[""], lines["salt = 1"][1:], []string{"p99_ms"}); len(e) != 1 || e[0].Pairs != 1 || e[0].Beyond {
		t.Errorf("%+v", e)
	}
}

func TestInterval(t *testing.T) {
	// Known: mean 3, deviation sqrt(2.5), t of four 2.776.
	mean, low, high := interval([]float64{1, 2, 3, 4, 5})
	if half := 2.776445 * math.Sqrt(2.5/5); mean != 3 || math.Abs(low-(3-half)) > 1e-4 || math.Abs(high-(3+half)) > 1e-4 {
		t.Fatal(mean, low, high)
	}
}

func TestBadArms(t *testing.T) {
	for text, want := range map[string]string{"hodl = []": "x.toml: nothing is called hodl", "tries = -1": "x.toml: out of bounds", "tries = ": "x.toml: ", "salt = 8192": "x.toml: out of bounds"} {
		if _, err := ReadArm("x.toml", text); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", text, err)
		}
	}
}
