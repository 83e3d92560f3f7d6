package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"limeladder/internal/simulation/fleet"
)

// maxResultBytes is the length of the longest line that ReadResults accepts. It limits the memory that a corrupt file
// can make ReadResults use.
const maxResultBytes = 1 << 20

// RunResult is the result of one run. A result file holds one per line, as JSON.
type RunResult struct {
	Scenario          string             `json:"scenario"`
	Arm               string             `json:"arm"`
	Seed              uint64             `json:"seed"`
	Revision          string             `json:"revision"` // of the build that ran it
	Statistics        map[string]float64 `json:"figures"`
	RuleViolations    map[string]int     `json:"rules,omitempty"` // number of violations by rule
	ViolationDetails  []string           `json:"words,omitempty"` // descriptions of the first violations
	UnmetExpectations []string           `json:"short,omitempty"`

	// Result holds all measurements of the run. It isn't stored in result files and is nil after reading one.
	Result *fleet.Result `json:"-"`
}

// ReadResults reads a result file with one result per line and skips empty lines. An error starts with the name, and
// with the line number if it concerns a line.
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
			return nil, fmt.Errorf("%s:%d: not a result", name, number)
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
