package stats

import (
	"math"
	"testing"
)

// The emulator is within a tenth of each figure.
func TestWithinATenth(t *testing.T) {
	for _, f := range MeasureAll(1) {
		if math.IsNaN(f.RelativeError()) || math.Abs(f.RelativeError()) > 0.1 {
			t.Errorf("%s: %.4g %s, wanted %.4g", f.Name, f.Measured, f.Unit, f.Expected)
		}
		t.Logf("%-60s %8.4g %8.4g %s %+.1f%%", f.Name, f.Expected, f.Measured, f.Unit, 100*f.RelativeError())
	}
}
