package stats

import (
	"math"
	"testing"
)

// The emulator is within a tenth of each figure.
func TestWithinATenth(t *testing.T) {
	for _, f := range All(1) {
		if math.IsNaN(f.Off()) || math.Abs(f.Off()) > 0.1 {
			t.Errorf("%s: %.4g %s, wanted %.4g", f.Name, f.Got, f.Unit, f.Want)
		}
		t.Logf("%-60s %8.4g %8.4g %s %+.1f%%", f.Name, f.Want, f.Got, f.Unit, 100*f.Off())
	}
}
