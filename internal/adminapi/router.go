package adminapi

import "time"

// Router is the router that operators control. Its methods are called on the event loop's goroutine. They call done
// exactly once, on the same goroutine.
type Router interface {
	// AcceptsClients reports whether this process accepts clients.
	AcceptsClients() bool
	// SetSuspended suspends or resumes an endpoint. known is false if the endpoint was never listed.
	SetSuspended(endpoint string, suspended bool, done func(known bool))
	// SetDrained starts or ends draining the router.
	SetDrained(on bool, done func())
	// FailoverState returns the failover state of all replica groups as JSON. off is true if failover handling is not
	// configured.
	FailoverState() (body []byte, off bool)
	// SiteReport returns the state of each site and the plan for its loss, as JSON or as a table. off is true if sites
	// are not monitored.
	SiteReport(table bool) (text string, off bool)
	// DeclareSiteLost declares a site lost for at most the given time. Zero withdraws the declaration. ok is false if the
	// site does not exist, known lists the existing sites, and off is true if sites are not monitored.
	DeclareSiteLost(site string, length time.Duration) (ok bool, known []string, off bool)
	// LimitSiteRamp limits the load of a site to a share of its capacity for the given time. A zero length withdraws the
	// limit. The results are those of DeclareSiteLost, except that off is true if site failover is not active.
	LimitSiteRamp(site string, share float64, length time.Duration) (ok bool, known []string, off bool)
	// AnnounceFailover announces that the primary of a replica group is about to change. The group's writes are queued
	// until then, but no longer than limit. known is false if the replica group is unknown, off is true if failover
	// handling is not configured.
	AnnounceFailover(group int64, limit time.Duration) (known, off bool)
}
