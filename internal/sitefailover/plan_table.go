package sitefailover

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// WriteTable writes plans as a table for operators. Operators rely on its wording, so it must not change.
func WriteTable(w io.Writer, plans []SiteLossPlan) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(plans) == 0 {
		fmt.Fprintln(table, "no sites: no machine is listed")
	}
	for _, plan := range plans {
		plan.writeTo(table)
	}
	return table.Flush()
}

// writeTo writes one plan. It ignores errors, because the table returns them when it is flushed.
func (p *SiteLossPlan) writeTo(table *tabwriter.Writer) {
	fmt.Fprintf(table, "loss of %s: worth kept %.1f%% (now %.1f%%)\n",
		p.Site, 100*p.RemainingWeightShare, 100*p.CurrentWeightShare)
	if len(p.Groups) > 0 {
		fmt.Fprintln(table, "  bank\tprimary then\tuse\treplicas' use\tnow\tnow")
	}
	for _, group := range p.Groups {
		fmt.Fprintf(table, "  %d\t%s\t%s\t%s\t%s\t%s\n", group.Group, group.describePrimary(),
			percent(group.PrimaryUtilization), percent(group.ReplicaUtilization),
			percent(group.CurrentPrimaryUtilization), percent(group.CurrentReplicaUtilization))
	}
	for _, shift := range p.LoadShifts {
		fmt.Fprintf(table, "  bank %d: %.2f of work from %s to %s\n", shift.Group, shift.Work,
			shift.FromEndpoint, shift.ToEndpoint)
	}
	for i, rejection := range p.Rejections {
		fmt.Fprintf(table, "  refused %d.: bank %d %s at the %s, %.0f%%, %.1f a second\n", i+1, rejection.Group,
			rejection.Class, rejection.Saturated, 100*rejection.Share, rejection.Rate)
	}
	if len(p.Rejections) == 0 {
		fmt.Fprintln(table, "  nothing is refused")
	}
}

// describePrimary describes the primary of the group without the site.
func (g *GroupLoss) describePrimary() string {
	switch {
	case g.NoEndpointLeft:
		return "none: wholly inside"
	case g.LosesPrimary:
		return g.Successor + " (successor)"
	}
	return g.Successor
}

// percent formats a share as a percentage, at most 999% to keep the columns narrow.
func percent(share float64) string {
	return fmt.Sprintf("%.0f%%", 100*math.Min(share, 9.99))
}
