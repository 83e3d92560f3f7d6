package scenario

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"go.starlark.net/starlark"

	"limeladder/internal/simulation/fleet"
)

// fault is the value that the calls of faults return, for at and when.
type fault struct{ fleet.Fault }

// String implements starlark.Value.
func (fault) String() string { return "fault" }

// Type implements starlark.Value.
func (fault) Type() string { return "fault" }

// Freeze implements starlark.Value. A fault is never changed by a script.
func (fault) Freeze() {}

// Truth implements starlark.Value.
func (fault) Truth() starlark.Bool { return true }

// Hash implements starlark.Value.
func (fault) Hash() (uint32, error) { return 0, errors.New("no fault is hashable") }

// newFault reads the call of a kind of fault: the targets, and by name what else it takes.
func (r *reader) newFault(kind string, c call) (starlark.Value, error) {
	made := fault{fleet.Fault{What: kind, Part: 1}}
	for _, argument := range c.args {
		var targets []string
		if err := stringsField(&targets)(argument); err != nil {
			return nil, err
		}
		made.Who = append(made.Who, targets...)
	}
	if err := c.setNamed(faultFields(&made.Fault)); err != nil {
		return nil, err
	}
	if kind == "discovery" || kind == "routers" { // these have no targets
		return made, nil
	}
	if len(made.Who) == 0 {
		return nil, errors.New("nobody is named")
	}
	for _, target := range made.Who {
		if err := r.checkTarget(kind, target); err != nil {
			return nil, err
		}
	}
	return made, nil
}

// faultFields returns what a fault of its kind takes by name.
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

// faultsAt schedules faults at a time.
func (r *reader) faultsAt(c call) error {
	if len(c.args) < 2 || len(c.named) > 0 {
		return errors.New("takes a time in seconds and faults")
	}
	var at time.Duration
	if err := durationField(&at, time.Second)(c.args[0]); err != nil {
		return err
	}
	return r.addFaults(c.args[1:], "", at)
}

// faultsWhen schedules faults after the first time that a condition holds: "lost:GROUP", "led:GROUP", "down:ENDPOINT"
// or "up:ENDPOINT".
func (r *reader) faultsWhen(c call) error {
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

func (r *reader) checkCondition(condition string) error {
	kind, of, _ := strings.Cut(condition, ":")
	switch kind {
	case "lost", "led":
		return r.checkEndpoints("bank:" + of)
	case "down", "up":
		return r.checkEndpoints(of)
	}
	return fmt.Errorf("%s is no condition such as lost:1, led:1, down:db1a or up:db1a", condition)
}

// addFaults adds faults at a time, which counts from a condition if there is one.
func (r *reader) addFaults(values starlark.Tuple, condition string, at time.Duration) error {
	config := &r.scenario.Config
	for _, value := range values {
		added, ok := value.(fault)
		if !ok {
			return fmt.Errorf("%s is no fault", value.Type())
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
