package scenario

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"limeladder/internal/simulation/fleet"
)

// Scenario is what a script describes.
type Scenario struct {
	Name         string // of its file, without the extension
	About        string
	Config       fleet.Config
	Expectations []Expectation
}

// Bounds of a script, so that one that is wrong ends with an error instead of taking all time or memory.
const (
	maxSteps = 5_000_000
	maxBytes = 1 << 20
	maxItems = 10_000 // of a list, and of the faults and load changes of a scenario
)

// Load runs a script. An error is one line with the file, the line and what is wrong.
func Load(file string, src []byte) (*Scenario, error) {
	if len(src) > maxBytes {
		return nil, fmt.Errorf("%s: longer than %d bytes", file, maxBytes)
	}
	s := &Scenario{Name: strings.TrimSuffix(filepath.Base(file), ".star"), Config: fleet.Default()}
	thread := &starlark.Thread{Name: s.Name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true, Set: true}
	reader := &reader{scenario: s}
	if _, err := starlark.ExecFileOptions(options, thread, file, src, reader.predeclared()); err != nil {
		return nil, scriptError(file, err)
	}
	if err := s.Config.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// scriptError makes one line of an error of Starlark, with the innermost line of the script that is in its call
// stack.
func scriptError(file string, err error) error {
	var eval *starlark.EvalError
	if !errors.As(err, &eval) {
		return errors.New(joinLines(err.Error())) // the parser and the resolver name file and line themselves
	}
	for _, frame := range slices.Backward(eval.CallStack) {
		if frame.Pos.IsValid() && frame.Pos.Filename() == file {
			return fmt.Errorf("%s:%d: %s", file, frame.Pos.Line, joinLines(eval.Msg))
		}
	}
	return fmt.Errorf("%s: %s", file, joinLines(eval.Msg))
}

func joinLines(text string) string { return strings.ReplaceAll(text, "\n", " ") }
