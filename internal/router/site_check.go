package router

import (
	"time"

	"limeladder/internal/sitefailover"
)

// A lost site gets few requests or none, so their results may show too late that the site is back, or that it fails
// again while it recovers. Its endpoints are therefore asked for load reports.
const (
	siteCheckInterval   = 300 * time.Millisecond // per endpoint and router; longer if siteChecksPerSecond requires it
	siteChecksPerSecond = 20                     // per endpoint, by all routers together
)

// siteChecker asks the endpoints of lost and recovering sites for load reports, one after the other.
type siteChecker struct {
	host         siteMonitorHost
	interval     time.Duration // between two checks of the same endpoint
	nextAt       time.Duration // next check of any endpoint
	lastEndpoint string        // the endpoint that was checked last
}

// newSiteChecker returns a siteChecker for one of the given number of routers.
func newSiteChecker(host siteMonitorHost, instances int) *siteChecker {
	fleetInterval := time.Duration(instances) * time.Second / siteChecksPerSecond
	return &siteChecker{host: host, interval: max(siteCheckInterval, fleetInterval)}
}

// update checks the next endpoint if a check is due. It returns the time of the next check, 0 = there is no endpoint to
// check. A nil siteChecker checks nothing.
func (c *siteChecker) update(now time.Duration, monitor *sitefailover.Monitor) (next time.Duration) {
	if c == nil {
		return 0
	}
	endpoints := monitor.EndpointsOfFailedSites()
	if len(endpoints) == 0 {
		return 0
	}
	if now >= c.nextAt {
		c.nextAt = now + c.interval/time.Duration(len(endpoints))
		c.lastEndpoint = endpointAfter(endpoints, c.lastEndpoint)
		c.host.checkHealth(c.lastEndpoint)
	}
	return c.nextAt
}

// endpointAfter returns the first of the sorted ids that is greater than last, or the first id if there is none.
func endpointAfter(sorted []string, last string) string {
	for _, id := range sorted {
		if id > last {
			return id
		}
	}
	return sorted[0]
}
