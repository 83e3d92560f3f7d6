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
	"limeladder/internal/sitefailover"
)

// watchSites turns the watch of whole sites on, and what it leads to, if deploy/limeladder.toml says so.
func (d *daemon) watchSites(cfg *config.Config) {
	if !d.dep.Sites.Watch {
		return
	}
	d.core.EnableSiteMonitor(sitefailover.DefaultMonitorConfig(cfg.Balance.Zone, cfg.Balance.SlowStartWindow, d.lim.Discovery.KnownEndpoints))
	if d.dep.Sites.Act {
		d.core.EnableSiteAdmission(sitefailover.AdmissionConfig{RetrySpread: cfg.Balance.MaxRetryAfter}, sitefailover.RecoveryRampConfig{InitialShare: cfg.Balance.SlowStartFrom, Duration: cfg.Balance.SlowStartWindow}, cfg.SeedValue)
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

// refusedView is what is refused at the door now, pacedView a site that is not used for all it can do.
type refusedView struct {
	sitefailover.RejectedShare
	SinceMs int64 `json:"since_ms"`
}

type pacedView struct {
	Site    string  `json:"site"`
	Part    float64 `json:"part"`
	BoundMs int64   `json:"bound_ms"` // an operators' bound holds for so long; 0 = there is none
}

// Sites implements operator.Router.
func (d *daemon) Sites(table bool) (text string, off bool) {
	if !d.dep.Sites.Watch {
		return "", true
	}
	now := d.loop.Now()
	views := []siteView{}
	for _, v := range d.core.SiteViews() {
		since := int64(-1)
		if v.Since > 0 {
			since = (now - v.Since).Milliseconds()
		}
		views = append(views, siteView{v.Site, v.State.String(), v.Fault.String(), since, v.Evidence, v.Endpoints, v.Down, v.Flaps})
	}
	plans, refused, paced := d.core.SiteLossPlans(), []refusedView{}, []pacedView{}
	for _, s := range d.core.SiteRejectedShares() {
		refused = append(refused, refusedView{s, (now - s.Since).Milliseconds()})
	}
	for _, p := range d.core.SiteRamps() {
		v := pacedView{p.Site, p.Share, 0}
		if p.Until > 0 {
			v.BoundMs = (p.Until - now).Milliseconds()
		}
		paced = append(paced, v)
	}
	if !table {
		p, err := json.Marshal(map[string]any{"sites": views, "plans": plans, "refused": refused, "paced": paced, "turned_away": d.core.Counts().RejectedForSiteLoss})
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
		if v.State != sitefailover.SiteHealthy.String() {
			kind = " (" + v.Kind + ")"
		}
		fmt.Fprintf(t, "%s\t%s%s\t%d\t%d\t%s\t%s\n", v.Site, v.State, kind, v.Machines, v.Down, since, v.Evidence)
	}
	t.Flush()
	for _, p := range paced {
		fmt.Fprintf(&b, "%s is used for %.0f%% of what it can do", p.Site, 100*p.Part)
		if p.BoundMs > 0 {
			fmt.Fprintf(&b, ", bound by operators for %v more", (time.Duration(p.BoundMs) * time.Millisecond).Round(time.Second))
		}
		b.WriteString("\n")
	}
	for _, x := range refused {
		fmt.Fprintf(&b, "refused at the door: bank %d %s, %.0f%%, the %s short, for %v\n", x.Group, x.Class, 100*x.Share, x.Saturated, (time.Duration(x.SinceMs) * time.Millisecond).Round(100*time.Millisecond))
	}
	b.WriteString("\n")
	sitefailover.WriteTable(&b, plans)
	return strings.TrimRight(b.String(), "\n"), false
}

// Declare implements operator.Router.
func (d *daemon) Declare(site string, length time.Duration) (ok bool, known []string, off bool) {
	if !d.dep.Sites.Watch {
		return false, nil, true
	}
	for _, v := range d.core.SiteViews() {
		known = append(known, v.Site)
	}
	if ok = d.core.DeclareSiteLost(site, length); ok {
		text := "operators declare " + site + " lost for " + length.String()
		if length == 0 {
			text = "operators leave " + site + " to the evidence"
		}
		d.record.note("site", text)
	}
	return ok, known, false
}

// Pace implements operator.Router.
func (d *daemon) Pace(site string, part float64, length time.Duration) (ok bool, known []string, off bool) {
	if ok, off = d.core.LimitSiteRamp(site, part, length); off {
		return false, nil, true
	}
	for _, v := range d.core.SiteViews() {
		known = append(known, v.Site)
	}
	if ok {
		text := fmt.Sprintf("operators bind %s to %.0f%% of what it can do for %v", site, 100*part, length)
		if length == 0 {
			text = "operators leave the pace of " + site + " to the evidence"
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
