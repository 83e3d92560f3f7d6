package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"limeladder/internal/simulation/fleet"
)

// maxResultBytes is the longest line that ReadResults accepts. It bounds the memory that a damaged file can take.
const maxResultBytes = 1 << 20

// RunResult is the result of one run, as a line of a result file keeps it.
type RunResult struct {
	Scenario          string             `json:"scenario"`
	Arm               string             `json:"arm"`
	Seed              uint64             `json:"seed"`
	Revision          string             `json:"revision"` // of the build that played it
	Statistics        map[string]float64 `json:"figures"`
	RuleViolations    map[string]int     `json:"rules,omitempty"` // how often each rule was broken
	ViolationDetails  []string           `json:"words,omitempty"` // a sentence for each of the first violations
	UnmetExpectations []string           `json:"short,omitempty"`

	// Result is everything that was measured. It isn't stored, and is nil in a result that was read from a file.
	Result *fleet.Result `json:"-"`
}

// ReadResults reads a result file, one result a line; empty lines are skipped. An error starts with the name, and
// with the number of the line where one is at fault.
func ReadResults(name string, r io.Reader) ([]RunResult, error) {
	var results []RunResult
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxResultBytes)
	for number := 1; scanner.Scan(); number++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var result RunResult
		if err := json.Unmarshal(scanner.Bytes(), &result); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, number, err)
		}
		if result.Scenario == "" || result.Statistics == nil {
			return nil, fmt.Errorf("%s:%d: no result", name, number)
		}
		results = append(results, result)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if len(results) == 0 {
		return nil, errors.New(name + ": no results")
	}
	return results, nil
}
