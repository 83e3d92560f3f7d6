package experiment

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"

	"limeladder/internal/simulation/fleet"
)

// maxSalt is the exclusive upper bound of Arm.Salt: the fleet mixes the salt into the upper bits of each router's seed.
const maxSalt = 1 << 13

// Arm is a variant of the router settings of a scenario. Settings that are nil keep the scenario's value.
type Arm struct {
	Name            string   `toml:"-"`
	QueuedClasses   []string `toml:"hold"`             // classes whose requests are queued during a change of primary
	HealthCheckCost *float64 `toml:"probe_price"`      // the cost of a health check that routers are configured with
	LateRejectCost  *float64 `toml:"held_back"`        // the cost of a late rejection that routers are configured with
	Cancellation    *bool    `toml:"cancel"`           // routers cancel attempts
	MaxAttempts     *int     `toml:"tries"`            // per request
	IgnoreSlowStart *bool    `toml:"harm_cold_budget"` // routers ignore that endpoints are warming up
	SiteFailover    *string  `toml:"sites"`            // the routers' site failover mode
	Salt            *uint64  `toml:"salt"`             // changes the random numbers of the routers, not of the endpoints
}

// ReadArm reads an arm from TOML. An error is a single line of text that starts with the name.
func ReadArm(name, text string) (Arm, error) {
	var arm Arm
	metadata, err := toml.Decode(text, &arm)
	if err != nil {
		return arm, fmt.Errorf("%s: %s", name, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return arm, fmt.Errorf("%s: unknown setting %s", name, unknown[0])
	}
	if !arm.withinBounds() {
		return arm, fmt.Errorf("%s: a setting is out of bounds", name)
	}
	arm.Name = name
	return arm, nil
}

func (a *Arm) withinBounds() bool {
	switch {
	case a.HealthCheckCost != nil && *a.HealthCheckCost < 0:
		return false
	case a.LateRejectCost != nil && *a.LateRejectCost < 0:
		return false
	case a.MaxAttempts != nil && *a.MaxAttempts < 0:
		return false
	case a.Salt != nil && *a.Salt >= maxSalt:
		return false
	}
	return true
}

// apply returns the configuration with the arm's settings applied.
func (a *Arm) apply(config fleet.Config) fleet.Config {
	if a.QueuedClasses != nil {
		config.Hold = a.QueuedClasses
	}
	override(&config.ProbePrice, a.HealthCheckCost)
	override(&config.HeldBack, a.LateRejectCost)
	override(&config.Cancel, a.Cancellation)
	override(&config.MostTries, a.MaxAttempts)
	override(&config.HarmColdBudget, a.IgnoreSlowStart)
	override(&config.Sites, a.SiteFailover)
	override(&config.Salt, a.Salt)
	return config
}

// override writes value to setting unless it is nil.
func override[T any](setting, value *T) {
	if value != nil {
		*setting = *value
	}
}
