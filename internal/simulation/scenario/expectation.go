package scenario

import (
	"errors"
	"fmt"
	"math"

	"limeladder/internal/simulation/fleet"
)

// Expectation is a range in which a statistic of the result is expected.
type Expectation struct {
	Statistic string
	Min       float64 // NaN = no bound
	Max       float64 // NaN = no bound
	Position  string  // file and line
}

// maxBound is the largest magnitude of a bound that a script may give.
const maxBound = 1e12

// expect adds an expectation.
func (r *scriptReader) expect(c call) error {
	if len(c.args) != 1 {
		return errors.New("takes one statistic name and bounds")
	}
	expectation := Expectation{Min: math.NaN(), Max: math.NaN()}
	if err := stringField(&expectation.Statistic)(c.args[0]); err != nil {
		return err
	}
	err := c.setNamed(map[string]field{
		"least": floatField(&expectation.Min, -maxBound, maxBound),
		"most":  floatField(&expectation.Max, -maxBound, maxBound),
	})
	if err != nil {
		return err
	}
	if math.IsNaN(expectation.Min) && math.IsNaN(expectation.Max) {
		return errors.New("least or most is required")
	}
	if _, ok := Statistic(&fleet.Result{}, expectation.Statistic); !ok {
		return fmt.Errorf("unknown statistic %s", expectation.Statistic)
	}
	position := c.thread.CallFrame(1).Pos // frame 0 is the call of expect itself
	expectation.Position = fmt.Sprintf("%s:%d", position.Filename(), position.Line)
	r.scenario.Expectations = append(r.scenario.Expectations, expectation)
	return nil
}

// UnmetExpectations returns one line of text for each expectation that the result doesn't meet.
func (s *Scenario) UnmetExpectations(result *fleet.Result) []string {
	var unmet []string
	for _, expectation := range s.Expectations {
		value, _ := Statistic(result, expectation.Statistic) // expect has rejected unknown names
		var bound string
		switch {
		case value > expectation.Max:
			bound = fmt.Sprintf("at most %g", expectation.Max)
		case value < expectation.Min:
			bound = fmt.Sprintf("at least %g", expectation.Min)
		default:
			continue
		}
		unmet = append(unmet, fmt.Sprintf("%s: seed %d: %s is %.4g, expected %s",
			expectation.Position, result.Seed, expectation.Statistic, value, bound))
	}
	return unmet
}
