package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.starlark.net/starlark"

	"limeladder/internal/simulation/fleet"
)

// scriptReader builds a scenario from the calls of a script.
type scriptReader struct {
	scenario   *Scenario
	ownClasses bool // the script defines classes of its own, which replace the default classes
}

// call holds the arguments of a function call in a script.
type call struct {
	thread *starlark.Thread
	args   starlark.Tuple
	named  map[string]starlark.Value
}

// builtinFunc implements a function that scripts can call.
type builtinFunc func(c call) (starlark.Value, error)

// predeclared returns the functions that a script can call, by name.
func (r *scriptReader) predeclared() starlark.StringDict {
	functions := starlark.StringDict{}
	for name, statement := range map[string]func(call) error{
		"about":         r.about,
		"fleet":         r.fleet,
		"machine":       r.endpoint,
		"follow":        r.replication,
		"network":       r.network,
		"clients":       r.clients,
		"traffic":       r.traffic,
		"jump":          r.loadChange,
		"request_class": r.requestClass,
		"only":          r.onlyClasses,
		"hold":          r.holdClasses,
		"at":            r.faultsAt,
		"when":          r.faultsWhen,
		"expect":        r.expect,
	} {
		functions[name] = builtin(name, func(c call) (starlark.Value, error) { return starlark.None, statement(c) })
	}
	for _, kind := range slices.Concat(fleet.Faults, fleet.MultiprocessFaults) {
		functions[kind] = builtin(kind, func(c call) (starlark.Value, error) { return r.newFault(kind, c) })
	}
	return functions
}

// builtin returns a Starlark function whose errors start with its name.
func builtin(name string, f builtinFunc) *starlark.Builtin {
	return starlark.NewBuiltin(name, func(
		thread *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, pairs []starlark.Tuple,
	) (starlark.Value, error) {
		named := map[string]starlark.Value{}
		for _, pair := range pairs {
			named[string(pair[0].(starlark.String))] = pair[1]
		}
		value, err := f(call{thread: thread, args: args, named: named})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		return value, nil
	})
}

// set sets the fields from the call's named arguments. The call must not have positional arguments.
func (c call) set(fields map[string]field) error {
	if len(c.args) > 0 {
		return errors.New("takes named arguments only, as in name=value")
	}
	return c.setNamed(fields)
}

// setNamed sets the fields from the call's named arguments and ignores its positional arguments.
func (c call) setNamed(fields map[string]field) error {
	for _, name := range slices.Sorted(maps.Keys(c.named)) {
		setField := fields[name]
		if setField == nil {
			return fmt.Errorf("unknown argument %s", name)
		}
		if err := setField(c.named[name]); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// singleArgument returns the argument of a call that has exactly one positional argument and no named ones. For other
// calls it returns an error with the text usage.
func (c call) singleArgument(usage string) (starlark.Value, error) {
	if len(c.args) != 1 || len(c.named) > 0 {
		return nil, errors.New(usage)
	}
	return c.args[0], nil
}
