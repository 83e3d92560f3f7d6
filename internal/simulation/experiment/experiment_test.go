package experiment

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"limeladder/internal/simulation/scenario"
)

// rollingRestart restarts endpoints one at a time. They restart with cold caches, so routers that ignore slow start do
// worse.
const rollingRestart = `
traffic(use=0.4, length_s=30)
for i, m in enumerate(["db1c", "db2c", "db3c", "db4c", "db1b", "db2b"]):
    at(3 + 4 * i, drain(m, length_s=2))
`

// runArms runs rollingRestart with each arm, given as TOML, and returns the results by the TOML text.
func runArms(t *testing.T, seeds int, texts ...string) map[string][]RunResult {
	t.Helper()
	loaded, err := scenario.Load("deploy.star", []byte(rollingRestart))
	if err != nil {
		t.Fatal(err)
	}
	plan := Plan{Scenario: loaded, FirstSeed: 1, Seeds: seeds, Workers: 4, Revision: "r1"}
	for _, text := range texts {
		arm, err := ReadArm(text, text)
		if err != nil {
			t.Fatal(err)
		}
		plan.Arms = append(plan.Arms, arm)
	}
	results := map[string][]RunResult{}
	lastSeed := uint64(0)
	err = Run(plan, func(result RunResult) error {
		if result.Seed < lastSeed {
			t.Errorf("seed %d was reported after seed %d", result.Seed, lastSeed)
		}
		lastSeed = result.Seed
		results[result.Arm] = append(results[result.Arm], result)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// Ten seeds are enough to detect a harmful arm, and an arm that only changes the random numbers is not reported as
// harmful.
func TestTenSeedsDetectHarmfulArm(t *testing.T) {
	results := runArms(t, 10, "", "harm_cold_budget = true", "salt = 1")
	for arm, harmful := range map[string]bool{"harm_cold_budget = true": true, "salt = 1": false} {
		t.Run(arm, func(t *testing.T) {
			effects := Compare(results[""], results[arm], []string{"whole", "worth"})
			t.Logf("%+v", effects)
			whole, worth := effects[0], effects[1]
			if whole.Pairs != 10 {
				t.Errorf("%d pairs, want 10", whole.Pairs)
			}
			if harmful != (worth.Significant && worth.MeanDifference < 0) {
				t.Errorf("worth changes by %.4f (%.4f to %.4f), want a significant decrease only for a harmful arm",
					worth.MeanDifference, worth.Low, worth.High)
			}
			if !harmful && whole.MeanDifference == 0 {
				t.Error("the arm with another salt has the same results as the unchanged arm")
			}
		})
	}
}

// ReadResults reads results as they were encoded, and reports an invalid line with its number.
func TestReadResults(t *testing.T) {
	results := runArms(t, 2, "", "salt = 1")
	var file bytes.Buffer
	for _, result := range results[""] {
		if err := json.NewEncoder(&file).Encode(result); err != nil {
			t.Fatal(err)
		}
	}
	got, err := ReadResults("a", strings.NewReader(file.String()))
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != 2 || got[1].Seed != 2 || got[0].Statistics["worth"] != results[""][0].Statistics["worth"] {
		t.Fatalf("read %+v, want the two results that were written", got)
	}
	for text, want := range map[string]string{
		"":                  "a: no results",
		"{}\n":              "a:1: not a result",
		file.String() + "x": "a:3: ",
	} {
		if _, err := ReadResults("a", strings.NewReader(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: error %v, want %s", text, err, want)
		}
	}
	effects := Compare(results[""], results["salt = 1"][1:], []string{"p99_ms"})
	if len(effects) != 1 || effects[0].Pairs != 1 || effects[0].Significant {
		t.Errorf("a single pair has the effects %+v, want one that is not significant", effects)
	}
}

func TestConfidenceInterval(t *testing.T) {
	// The mean of these values is 3, their standard deviation sqrt(2.5), and the 97.5 percent quantile of Student's t
	// distribution with four degrees of freedom 2.776445.
	mean, low, high := confidenceInterval([]float64{1, 2, 3, 4, 5})
	half := 2.776445 * math.Sqrt(2.5/5)
	if mean != 3 || math.Abs(low-(3-half)) > 1e-4 || math.Abs(high-(3+half)) > 1e-4 {
		t.Fatal(mean, low, high)
	}
}

func TestReadArmErrors(t *testing.T) {
	for text, want := range map[string]string{
		"hodl = []":   "x.toml: unknown setting hodl",
		"tries = -1":  "x.toml: a setting is out of bounds",
		"tries = ":    "x.toml: ",
		"salt = 8192": "x.toml: a setting is out of bounds",
	} {
		_, err := ReadArm("x.toml", text)
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that starts with %s", text, err, want)
		}
	}
}
