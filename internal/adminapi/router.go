package adminapi

import "time"

// Router is what operators act on. It is called on the event loop's goroutine, and calls every done function once, on
// the same goroutine.
type Router interface {
	// AcceptsClients reports whether this process accepts clients.
	AcceptsClients() bool
	// SetSuspended takes an endpoint out of service, or lets it back in. known is false for one that was never listed.
	SetSuspended(endpoint string, suspended bool, done func(known bool))
	// SetDrained drains the router, or ends that.
	SetDrained(on bool, done func())
	// FailoverState returns the failover state of all replica groups as JSON. off says that failover handling is not
	// configured.
	FailoverState() (body []byte, off bool)
	// SiteReport returns the state of each site and the plan for its loss, as JSON or as a table. off says that sites
	// are not watched.
	SiteReport(table bool) (text string, off bool)
	// DeclareSiteLost declares a site lost for so long at most; zero takes the declaration back. known lists the sites
	// that there are if the named one is not among them.
	DeclareSiteLost(site string, length time.Duration) (ok bool, known []string, off bool)
	// LimitSiteRamp limits the share of its capacity for which a site is used, for so long; a zero length takes the
	// limit back.
	LimitSiteRamp(site string, share float64, length time.Duration) (ok bool, known []string, off bool)
	// AnnounceFailover announces that the primary of a replica group is about to change: the group's writes are queued
	// until then, for so long at most.
	AnnounceFailover(group int64, limit time.Duration) (known, off bool)
}
