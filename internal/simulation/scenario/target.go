package scenario

import (
	"fmt"
	"slices"
	"strings"
)

// checkTarget returns an error if a name can't be that of a target of this kind of fault.
func (r *reader) checkTarget(kind, name string) error {
	switch kind {
	case "cut", "delay", "trickle", "reset", "lose":
		return checkLink(name)
	case "crash", "freeze", "term":
		return r.checkRouters(name)
	}
	return r.checkEndpoints(name)
}

// checkLink takes the names of links, "from>to" for one direction and "from=to" for both.
func checkLink(name string) error {
	from, to, ok := strings.Cut(name, ">")
	if !ok {
		from, to, ok = strings.Cut(name, "=")
	}
	if !ok || from == "" || to == "" {
		return fmt.Errorf("%s is no link such as a>b or a>db1a", name)
	}
	return nil
}

// checkRouters takes the names of routers: "r1", all of a zone as in "routers:a", or "*".
func (r *reader) checkRouters(name string) error {
	config := &r.scenario.Config
	zone, ofZone := strings.CutPrefix(name, "routers:")
	if name == "*" || ofZone && slices.Contains(config.Zones, zone) {
		return nil
	}
	number := 0
	scanned, _ := fmt.Sscanf(name, "r%d", &number) // what isn't scanned is no router
	exact := scanned == 1 && name == fmt.Sprint("r", number)
	if exact && number >= 1 && number <= config.Routers {
		return nil
	}
	return fmt.Errorf("no router is called %s", name)
}

// checkEndpoints takes the names of endpoints: "db1a", or several as in "zone:a", "bank:1", "primary:1" and
// "replicas:1".
func (r *reader) checkEndpoints(name string) error {
	kind, of, several := strings.Cut(name, ":")
	var known bool
	switch {
	case several && kind == "zone":
		known = slices.Contains(r.scenario.Config.Zones, of)
	case several && slices.Contains([]string{"bank", "primary", "replicas"}, kind):
		known = r.hasGroup(of)
	default:
		known = r.hasEndpoint(name)
	}
	if !known {
		return fmt.Errorf("nobody is called %s", name)
	}
	return nil
}

func (r *reader) hasGroup(name string) bool {
	group := 0
	_, err := fmt.Sscanf(name, "%d", &group)
	return err == nil && group >= 1 && group <= r.scenario.Config.Banks
}

func (r *reader) hasEndpoint(name string) bool {
	config := &r.scenario.Config
	group := 0
	var letter byte
	scanned, _ := fmt.Sscanf(name, "db%d%c", &group, &letter) // what isn't scanned is no endpoint
	groupExists := group >= 1 && group <= config.Banks
	letterExists := letter >= 'a' && int(letter-'a') < config.Members
	return scanned == 2 && groupExists && letterExists
}
