package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/sitefailover"
)

// startSiteMonitor makes the core monitor whole sites and act on their loss, as far as enabled in
// deploy/limeladder.toml.
func (d *daemon) startSiteMonitor(cfg *config.Config) {
	if !d.deploy.SiteFailover.Watch {
		return
	}
	monitor := sitefailover.DefaultMonitorConfig(
		cfg.Balance.Zone, cfg.Balance.SlowStartWindow, d.limits.Discovery.KnownEndpoints)
	d.core.EnableSiteMonitor(monitor)
	if !d.deploy.SiteFailover.Act {
		return
	}
	admission := sitefailover.AdmissionConfig{RetrySpread: cfg.Balance.MaxRetryAfter}
	ramp := sitefailover.RecoveryRampConfig{
		InitialShare: cfg.Balance.SlowStartFrom,
		Duration:     cfg.Balance.SlowStartWindow,
	}
	d.core.EnableSiteAdmission(admission, ramp, cfg.SeedValue)
}

// siteReport is the state of all sites as returned to operators. The fields are in the order of their JSON names.
type siteReport struct {
	Ramps               []siteRampStatus            `json:"paced"`
	LossPlans           []sitefailover.SiteLossPlan `json:"plans"`
	RejectedShares      []rejectedShareStatus       `json:"refused"`
	Sites               []siteStatus                `json:"sites"`
	RejectedForSiteLoss uint64                      `json:"turned_away"`
}

// siteStatus is the state of one site as returned to operators.
type siteStatus struct {
	Site      string `json:"site"`
	State     string `json:"state"`
	Kind      string `json:"kind"`
	SinceMs   int64  `json:"since_ms"` // since the last change of State; siteStateUnchanged = no change since the start
	Evidence  string `json:"evidence"`
	Endpoints int    `json:"machines"`
	Down      int    `json:"down"`
	Flaps     int    `json:"flaps"`
}

// siteStateUnchanged is the value of siteStatus.SinceMs for a site whose state has never changed.
const siteStateUnchanged = -1

// rejectedShareStatus is a share of a class's requests that the admission controller currently rejects.
type rejectedShareStatus struct {
	sitefailover.RejectedShare
	SinceMs int64 `json:"since_ms"`
}

// siteRampStatus is a site that is used for only a share of its capacity.
type siteRampStatus struct {
	Site      string  `json:"site"`
	Share     float64 `json:"part"`
	LimitedMs int64   `json:"bound_ms"` // remaining time of the operators' limit; 0 = no limit
}

// SiteReport implements adminapi.Router.
func (d *daemon) SiteReport(asTable bool) (text string, off bool) {
	if !d.deploy.SiteFailover.Watch {
		return "", true
	}
	report := d.newSiteReport()
	if asTable {
		return report.table(), false
	}
	encoded, err := json.Marshal(report)
	if err != nil {
		d.log.Error("site report not encoded", "error", err)
		return "{}", false
	}
	return string(encoded), false
}

func (d *daemon) newSiteReport() siteReport {
	now := d.loop.Now()
	report := siteReport{
		Ramps:               []siteRampStatus{},
		LossPlans:           d.core.SiteLossPlans(),
		RejectedShares:      []rejectedShareStatus{},
		Sites:               []siteStatus{},
		RejectedForSiteLoss: d.core.Counts().RejectedForSiteLoss,
	}
	for _, view := range d.core.SiteViews() {
		report.Sites = append(report.Sites, newSiteStatus(view, now))
	}
	for _, share := range d.core.SiteRejectedShares() {
		since := (now - share.Since).Milliseconds()
		report.RejectedShares = append(report.RejectedShares, rejectedShareStatus{share, since})
	}
	for _, ramp := range d.core.SiteRamps() {
		status := siteRampStatus{Site: ramp.Site, Share: ramp.Share}
		if ramp.Until > 0 {
			status.LimitedMs = (ramp.Until - now).Milliseconds()
		}
		report.Ramps = append(report.Ramps, status)
	}
	return report
}

func newSiteStatus(view sitefailover.SiteView, now time.Duration) siteStatus {
	status := siteStatus{
		Site:      view.Site,
		State:     view.State.String(),
		Kind:      view.Fault.String(),
		SinceMs:   siteStateUnchanged,
		Evidence:  view.Evidence,
		Endpoints: view.Endpoints,
		Down:      view.Down,
		Flaps:     view.Flaps,
	}
	if view.Since > 0 {
		status.SinceMs = (now - view.Since).Milliseconds()
	}
	return status
}

// table returns the report as text for a terminal.
func (r *siteReport) table() string {
	var text strings.Builder
	r.writeSites(&text)
	for _, ramp := range r.Ramps {
		fmt.Fprintf(&text, "%s is used for %.0f%% of what it can do", ramp.Site, 100*ramp.Share)
		if ramp.LimitedMs > 0 {
			fmt.Fprintf(&text, ", bound by operators for %v more", milliseconds(ramp.LimitedMs).Round(time.Second))
		}
		text.WriteString("\n")
	}
	for _, rejected := range r.RejectedShares {
		since := milliseconds(rejected.SinceMs).Round(100 * time.Millisecond)
		fmt.Fprintf(&text, "refused at the door: bank %d %s, %.0f%%, the %s short, for %v\n",
			rejected.Group, rejected.Class, 100*rejected.Share, rejected.Saturated, since)
	}
	text.WriteString("\n")
	_ = sitefailover.WriteTable(&text, r.LossPlans) // a strings.Builder never returns an error
	return strings.TrimRight(text.String(), "\n")
}

func (r *siteReport) writeSites(out io.Writer) {
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, "site\tstate\tmachines\tdown\tsince\tevidence")
	for _, site := range r.Sites {
		since := "the start"
		if site.SinceMs >= 0 {
			since = milliseconds(site.SinceMs).Round(100 * time.Millisecond).String()
		}
		kind := ""
		if site.State != sitefailover.SiteHealthy.String() {
			kind = " (" + site.Kind + ")"
		}
		fmt.Fprintf(columns, "%s\t%s%s\t%d\t%d\t%s\t%s\n",
			site.Site, site.State, kind, site.Endpoints, site.Down, since, site.Evidence)
	}
	_ = columns.Flush() // a strings.Builder never returns an error
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// siteNames returns the names of all known sites.
func (d *daemon) siteNames() []string {
	var names []string
	for _, view := range d.core.SiteViews() {
		names = append(names, view.Site)
	}
	return names
}

// DeclareSiteLost implements adminapi.Router.
func (d *daemon) DeclareSiteLost(site string, length time.Duration) (ok bool, known []string, off bool) {
	if !d.deploy.SiteFailover.Watch {
		return false, nil, true
	}
	known = d.siteNames()
	ok = d.core.DeclareSiteLost(site, length)
	if ok {
		text := "operators declare " + site + " lost for " + length.String()
		if length == 0 {
			text = "operators leave " + site + " to the evidence"
		}
		d.recording.note("site", text)
	}
	return ok, known, false
}

// LimitSiteRamp implements adminapi.Router.
func (d *daemon) LimitSiteRamp(site string, share float64, length time.Duration) (ok bool, known []string, off bool) {
	ok, off = d.core.LimitSiteRamp(site, share, length)
	if off {
		return false, nil, true
	}
	known = d.siteNames()
	if ok {
		text := fmt.Sprintf("operators bind %s to %.0f%% of what it can do for %v", site, 100*share, length)
		if length == 0 {
			text = "operators leave the pace of " + site + " to the evidence"
		}
		d.recording.note("site", text)
	}
	return ok, known, false
}
