package scenario

import (
	"fmt"
	"slices"
	"strings"
)

// checkTarget returns an error if name isn't a valid target for this kind of fault.
func (r *scriptReader) checkTarget(kind, name string) error {
	switch kind {
	case "cut", "delay", "trickle", "reset", "lose":
		return checkLink(name)
	case "crash", "freeze", "term":
		return r.checkRouters(name)
	}
	return r.checkEndpoints(name)
}

// checkLink accepts links: "from>to" for one direction and "from=to" for both.
func checkLink(name string) error {
	from, to, ok := strings.Cut(name, ">")
	if !ok {
		from, to, ok = strings.Cut(name, "=")
	}
	if !ok || from == "" || to == "" {
		return fmt.Errorf("%s is not a link such as a>b or a>db1a", name)
	}
	return nil
}

// checkRouters accepts a router such as "r1", all routers of a zone as in "routers:a", or all routers with "*".
func (r *scriptReader) checkRouters(name string) error {
	config := &r.scenario.Config
	zone, ofZone := strings.CutPrefix(name, "routers:")
	if name == "*" || ofZone && slices.Contains(config.Zones, zone) {
		return nil
	}
	number := 0
	scanned, _ := fmt.Sscanf(name, "r%d", &number) // scanned is 0 if name isn't of this form
	exact := scanned == 1 && name == fmt.Sprint("r", number)
	if exact && number >= 1 && number <= config.Routers {
		return nil
	}
	return fmt.Errorf("unknown router %s", name)
}

// checkEndpoints accepts an endpoint such as "db1a", or a set of endpoints as in "zone:a", "bank:1", "primary:1" and
// "replicas:1".
func (r *scriptReader) checkEndpoints(name string) error {
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
		return fmt.Errorf("unknown target %s", name)
	}
	return nil
}

func (r *scriptReader) hasGroup(name string) bool {
	group := 0
	_, err := fmt.Sscanf(name, "%d", &group)
	return err == nil && group >= 1 && group <= r.scenario.Config.Banks
}

func (r *scriptReader) hasEndpoint(name string) bool {
	config := &r.scenario.Config
	group := 0
	var letter byte
	scanned, _ := fmt.Sscanf(name, "db%d%c", &group, &letter) // scanned is less than 2 if name isn't of this form
	groupExists := group >= 1 && group <= config.Banks
	letterExists := letter >= 'a' && int(letter-'a') < config.Members
	return scanned == 2 && groupExists && letterExists
}
