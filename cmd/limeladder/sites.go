package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/sites"
)

// Evidence of a site is looked at over sitesWindow: a router with little traffic hears of a machine now and then. A suspicion lasts
// for sitesHold before the site counts as lost: a moment's silence of a network is shorter.
const (
	sitesWindow = 2 * time.Second
	sitesHold   = 500 * time.Millisecond
)

// watchSites turns the watch of whole sites on, if deploy/limeladder.toml says so.
func (d *daemon) watchSites(cfg *config.Config) {
	if d.dep.Sites.Watch {
		d.core.WatchSites(sites.Config{Own: cfg.Balance.Zone, Window: sitesWindow, Hold: sitesHold, Settle: max(sitesWindow, cfg.Balance.ColdFor), Most: d.lim.Listed})
	}
}

// siteView is a site as operators see it.
type siteView struct {
	Site     string `json:"site"`
	State    string `json:"state"`
	Kind     string `json:"kind"`
	SinceMs  int64  `json:"since_ms"` // of its state, before now; -1 = it was never anything else
	Evidence string `json:"evidence"`
	Machines int    `json:"machines"`
	Down     int    `json:"down"`
	Flaps    int    `json:"flaps"`
}

// Sites implements operator.Router.
func (d *daemon) Sites(table bool) (text string, off bool) {
	if !d.dep.Sites.Watch {
		return "", true
	}
	now := d.loop.Now()
	views := []siteView{}
	for _, v := range d.core.Sites() {
		since := int64(-1)
		if v.Since > 0 {
			since = (now - v.Since).Milliseconds()
		}
		views = append(views, siteView{v.Site, v.State.String(), v.Kind.String(), since, v.Evidence, v.Machines, v.Down, v.Flaps})
	}
	plans := d.core.Plans()
	if !table {
		p, err := json.Marshal(map[string]any{"sites": views, "plans": plans})
		if err != nil {
			d.log.Error("sites", "err", err)
			return "{}", false
		}
		return string(p), false
	}
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tstate\tmachines\tdown\tsince\tevidence")
	for _, v := range views {
		since, kind := "the start", ""
		if v.SinceMs >= 0 {
			since = (time.Duration(v.SinceMs) * time.Millisecond).Round(100 * time.Millisecond).String()
		}
		if v.State != sites.Well.String() {
			kind = " (" + v.Kind + ")"
		}
		fmt.Fprintf(t, "%s\t%s%s\t%d\t%d\t%s\t%s\n", v.Site, v.State, kind, v.Machines, v.Down, since, v.Evidence)
	}
	t.Flush()
	b.WriteString("\n")
	sites.Table(&b, plans)
	return strings.TrimRight(b.String(), "\n"), false
}

// Declare implements operator.Router.
func (d *daemon) Declare(site string, length time.Duration) (ok bool, known []string, off bool) {
	if !d.dep.Sites.Watch {
		return false, nil, true
	}
	for _, v := range d.core.Sites() {
		known = append(known, v.Site)
	}
	if ok = d.core.Declare(site, length); ok {
		text := "operators declare " + site + " lost for " + length.String()
		if length == 0 {
			text = "operators leave " + site + " to the evidence"
		}
		d.record.note("site", text)
	}
	return ok, known, false
}

// sitesPlan asks a router for its plans.
type sitesPlan struct {
	Operator string `arg:"" help:"The router's address for operators, host:port."`
	JSON     bool   `help:"As JSON, with the evidence."`
}

func (c *sitesPlan) run(out, fault io.Writer) int {
	url := "http://" + c.Operator + "/v1/sites"
	if !c.JSON {
		url += "?as=table"
	}
	client := http.Client{Timeout: 5 * time.Second}
	r, err := client.Get(url)
	if err != nil {
		fmt.Fprintln(fault, "limeladder: sites plan:", err)
		return exitUsage
	}
	defer r.Body.Close()
	p, err := io.ReadAll(io.LimitReader(r.Body, 16<<20))
	if err == nil && r.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", r.Status, strings.TrimSpace(string(p)))
	}
	if err != nil {
		fmt.Fprintln(fault, "limeladder: sites plan:", err)
		return exitUsage
	}
	out.Write(p)
	return 0
}
