package scenario

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"go.starlark.net/starlark"

	"limeladder/internal/simulation/fleet"
)

// fault is the Starlark value that fault functions return. It is an argument of at and when.
type fault struct{ fleet.Fault }

// String implements starlark.Value.
func (fault) String() string { return "fault" }

// Type implements starlark.Value.
func (fault) Type() string { return "fault" }

// Freeze implements starlark.Value. Scripts can't change a fault.
func (fault) Freeze() {}

// Truth implements starlark.Value.
func (fault) Truth() starlark.Bool { return true }

// Hash implements starlark.Value.
func (fault) Hash() (uint32, error) { return 0, errors.New("unhashable type: fault") }

// newFault returns the fault that a call describes: its positional arguments are the targets, its named arguments the
// parameters of the fault.
func (r *scriptReader) newFault(kind string, c call) (starlark.Value, error) {
	parsed := fault{fleet.Fault{What: kind, Part: 1}}
	for _, argument := range c.args {
		var targets []string
		if err := stringsField(&targets)(argument); err != nil {
			return nil, err
		}
		parsed.Who = append(parsed.Who, targets...)
	}
	if err := c.setNamed(faultFields(&parsed.Fault)); err != nil {
		return nil, err
	}
	if kind == "discovery" || kind == "routers" { // these have no targets
		return parsed, nil
	}
	if len(parsed.Who) == 0 {
		return nil, errors.New("no target is given")
	}
	for _, target := range parsed.Who {
		if err := r.checkTarget(kind, target); err != nil {
			return nil, err
		}
	}
	return parsed, nil
}

// faultFields returns the named arguments that the fault's kind accepts.
func faultFields(f *fleet.Fault) map[string]field {
	fields := map[string]field{"length_s": durationField(&f.For, time.Second)}
	switch f.What {
	case "slow", "sick", "routers":
		fields["part"] = floatField(&f.Part, 0, 1)
	case "kill", "crash", "term":
		return map[string]field{"back_s": durationField(&f.For, time.Second)}
	case "delay":
		fields["ms"] = durationField(&f.Delay, time.Millisecond)
		fields["jitter_ms"] = durationField(&f.Jitter, time.Millisecond)
	case "trickle":
		fields["rate"] = intField(&f.Rate, 1, 1<<30)
	case "reset", "lose":
		return nil
	}
	return fields
}

// faultsAt schedules faults at a fixed time.
func (r *scriptReader) faultsAt(c call) error {
	if len(c.args) < 2 || len(c.named) > 0 {
		return errors.New("takes a time in seconds and faults")
	}
	var at time.Duration
	if err := durationField(&at, time.Second)(c.args[0]); err != nil {
		return err
	}
	return r.addFaults(c.args[1:], "", at)
}

// faultsWhen schedules faults for when a condition first holds, or a delay after that. The conditions are "lost:GROUP"
// (the group has no primary that accepts writes), "led:GROUP" (it has one again after a change of primary),
// "down:ENDPOINT" (the endpoint is down or hangs) and "up:ENDPOINT" (it is up after a restart).
func (r *scriptReader) faultsWhen(c call) error {
	if len(c.args) < 2 {
		return errors.New("takes a condition and faults")
	}
	var condition string
	if err := stringField(&condition)(c.args[0]); err != nil {
		return err
	}
	var after time.Duration
	if err := c.setNamed(map[string]field{"after_s": durationField(&after, time.Second)}); err != nil {
		return err
	}
	if err := r.checkCondition(condition); err != nil {
		return err
	}
	return r.addFaults(c.args[1:], condition, after)
}

// checkCondition returns an error unless condition is well-formed and its group or endpoint exists.
func (r *scriptReader) checkCondition(condition string) error {
	kind, of, _ := strings.Cut(condition, ":")
	switch kind {
	case "lost", "led":
		return r.checkEndpoints("bank:" + of)
	case "down", "up":
		return r.checkEndpoints(of)
	}
	return fmt.Errorf("%s is not a condition such as lost:1, led:1, down:db1a or up:db1a", condition)
}

// addFaults adds faults. at is relative to the time at which condition first holds, or to the start of the run if
// condition is empty.
func (r *scriptReader) addFaults(values starlark.Tuple, condition string, at time.Duration) error {
	config := &r.scenario.Config
	for _, value := range values {
		added, ok := value.(fault)
		if !ok {
			return fmt.Errorf("%s is not a fault", value.Type())
		}
		if len(config.Faults) >= maxItems {
			return errors.New("too many faults")
		}
		added.On = condition
		added.At = at
		config.Faults = append(config.Faults, added.Fault)
	}
	return nil
}
