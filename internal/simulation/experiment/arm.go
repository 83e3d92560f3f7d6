package experiment

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"

	"limeladder/internal/simulation/fleet"
)

// maxSalt is the bound of Arm.Salt, exclusive: the fleet mixes the salt into the upper bits of each router's seed.
const maxSalt = 1 << 13

// Arm is a variant of what a scenario says of its routers. A setting that is nil stays as the scenario has it.
type Arm struct {
	Name            string   `toml:"-"`
	QueuedClasses   []string `toml:"hold"`             // their requests stay queued through a change of primary
	HealthCheckCost *float64 `toml:"probe_price"`      // what the routers are told that a health check costs
	LateRejectCost  *float64 `toml:"held_back"`        // what the routers are told that a late rejection costs
	Cancellation    *bool    `toml:"cancel"`           // attempts are cancelled
	MaxAttempts     *int     `toml:"tries"`            // of one request
	IgnoreSlowStart *bool    `toml:"harm_cold_budget"` // routers know nothing of endpoints that are warming up
	SiteFailover    *string  `toml:"sites"`            // what routers do about whole sites
	Salt            *uint64  `toml:"salt"`             // routers draw other random numbers, the endpoints the same
}

// ReadArm reads an arm from TOML. An error is one line that starts with the name.
func ReadArm(name, text string) (Arm, error) {
	var arm Arm
	metadata, err := toml.Decode(text, &arm)
	if err != nil {
		return arm, fmt.Errorf("%s: %s", name, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return arm, fmt.Errorf("%s: nothing is called %s", name, unknown[0])
	}
	if !arm.withinBounds() {
		return arm, fmt.Errorf("%s: out of bounds", name)
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

// apply returns the configuration with the arm's settings in it.
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
