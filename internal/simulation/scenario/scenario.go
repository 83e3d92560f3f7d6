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

// Scenario is the scenario that a script describes.
type Scenario struct {
	Name         string // of its file, without the extension
	About        string
	Config       fleet.Config
	Expectations []Expectation
}

// Limits of a script. A faulty script ends with an error instead of consuming unbounded time or memory.
const (
	maxSteps = 5_000_000
	maxBytes = 1 << 20
	maxItems = 10_000 // per list, and per scenario for faults and load changes
)

// Load executes a script and returns its scenario. An error is a single line of text with the file, the line if it is
// known, and the reason.
func Load(file string, src []byte) (*Scenario, error) {
	if len(src) > maxBytes {
		return nil, fmt.Errorf("%s: longer than %d bytes", file, maxBytes)
	}
	s := &Scenario{Name: strings.TrimSuffix(filepath.Base(file), ".star"), Config: fleet.Default()}
	thread := &starlark.Thread{Name: s.Name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true, Set: true}
	reader := &scriptReader{scenario: s}
	if _, err := starlark.ExecFileOptions(options, thread, file, src, reader.predeclared()); err != nil {
		return nil, scriptError(file, err)
	}
	if err := s.Config.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// scriptError turns a Starlark error into a single line of text with the innermost position of the script in the call
// stack.
func scriptError(file string, err error) error {
	var eval *starlark.EvalError
	if !errors.As(err, &eval) {
		return errors.New(joinLines(err.Error())) // errors of the parser and the resolver include file and line
	}
	for _, frame := range slices.Backward(eval.CallStack) {
		if frame.Pos.IsValid() && frame.Pos.Filename() == file {
			return fmt.Errorf("%s:%d: %s", file, frame.Pos.Line, joinLines(eval.Msg))
		}
	}
	return fmt.Errorf("%s: %s", file, joinLines(eval.Msg))
}

func joinLines(text string) string { return strings.ReplaceAll(text, "\n", " ") }
