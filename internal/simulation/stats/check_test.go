package stats

import (
	"math"
	"testing"
)

// Every measurement of the emulated endpoints is within 10 percent of its expected value.
func TestMeasuredWithinATenth(t *testing.T) {
	checks, err := MeasureAll(1)
	if err != nil {
		t.Fatal(err)
	}
	for _, check := range checks {
		relative := check.RelativeError()
		if math.IsNaN(relative) || math.Abs(relative) > 0.1 {
			t.Errorf("%s: %.4g %s, want %.4g", check.Name, check.Measured, check.Unit, check.Expected)
		}
		t.Logf("%-60s %8.4g %8.4g %s %+.1f%%", check.Name, check.Expected, check.Measured, check.Unit, 100*relative)
	}
}
