package scenario

import (
	"errors"
	"fmt"
	"time"

	"limeladder/balance"
	"limeladder/internal/simulation/fleet"
)

// consistencies maps the values of a class's need argument to consistency levels.
var consistencies = map[string]balance.Consistency{
	"any":     balance.ConsistencyAny,
	"bounded": balance.ConsistencyBounded,
	"session": balance.ConsistencySession,
	"latest":  balance.ConsistencyLatest,
	"update":  balance.ConsistencyWrite,
}

// requestClass adds a request class. The first class of a script replaces the default classes.
func (r *scriptReader) requestClass(c call) error {
	var class fleet.Class
	class.PriorityWeight = 1
	class.LateWeightShare = 0.2
	need := "any"
	idempotent := true
	err := c.set(map[string]field{
		"name":        stringField(&class.Name),
		"share":       floatField(&class.Share, 0, 1000),
		"work_ms":     durationField(&class.Work.Mean, time.Millisecond),
		"cv":          floatField(&class.Work.Variation, 0, 20),
		"aim_ms":      durationField(&class.LatencyObjective, time.Millisecond),
		"deadline_ms": durationField(&class.ClientTimeout, time.Millisecond),
		"worth":       floatField(&class.PriorityWeight, 0, 1e6),
		"late":        floatField(&class.LateWeightShare, 0, 1),
		"need":        stringField(&need),
		"bound_ms":    durationField(&class.MaxStaleness, time.Millisecond),
		"safe":        boolField(&idempotent),
		"long":        boolField(&class.Long),
	})
	if err != nil {
		return err
	}
	consistency, ok := consistencies[need]
	if !ok {
		return fmt.Errorf("need: unknown consistency %s", need)
	}
	if class.Name == "" || class.ClientTimeout == 0 || class.Work.Mean == 0 {
		return errors.New("name, work_ms and deadline_ms are required")
	}
	class.Consistency = consistency
	class.Work.Exponential = class.Work.Variation == 0
	if !idempotent || consistency == balance.ConsistencyWrite {
		class.Idempotency = balance.NonIdempotent
	}
	config := &r.scenario.Config
	if !r.ownClasses {
		r.ownClasses = true
		config.Classes = nil
	}
	config.Classes = append(config.Classes, class)
	return nil
}

// onlyClasses drops all classes but those named, and orders them as the names are given.
func (r *scriptReader) onlyClasses(c call) error {
	argument, err := c.singleArgument("takes one list of class names")
	if err != nil {
		return err
	}
	var names []string
	if err := stringsField(&names)(argument); err != nil {
		return err
	}
	var classes []fleet.Class
	for _, name := range names {
		named := r.classesNamed(name)
		if len(named) == 0 {
			return fmt.Errorf("unknown class %s", name)
		}
		classes = append(classes, named...)
	}
	r.scenario.Config.Classes = classes
	return nil
}

// classesNamed returns the classes with the given name. Names need not be unique.
func (r *scriptReader) classesNamed(name string) []fleet.Class {
	var classes []fleet.Class
	for _, class := range r.scenario.Config.Classes {
		if class.Name == name {
			classes = append(classes, class)
		}
	}
	return classes
}

// holdClasses sets the classes whose requests are queued during a change of primary.
func (r *scriptReader) holdClasses(c call) error {
	argument, err := c.singleArgument("takes one list of class names")
	if err != nil {
		return err
	}
	return stringsField(&r.scenario.Config.Hold)(argument)
}
