package router

import (
	"time"

	"limeladder/internal/sitefailover"
)

// A lost site gets few requests or none, so they may not tell in time that it is back, nor that it fails again while
// it recovers. Its endpoints are asked for load reports instead.
const (
	siteCheckInterval   = 300 * time.Millisecond // of one endpoint by one router, while the bound leaves it that often
	siteChecksPerSecond = 20                     // of one endpoint by all routers together
)

// siteChecks asks the endpoints of sites that are lost or recover for load reports, one after the other.
type siteChecks struct {
	host     siteMonitorHost
	interval time.Duration // between two checks of one endpoint
	nextAt   time.Duration // of any endpoint
	last     string        // the endpoint that was checked last
}

// newSiteChecks returns the checks of one of so many routers.
func newSiteChecks(host siteMonitorHost, instances int) *siteChecks {
	fleetInterval := time.Duration(instances) * time.Second / siteChecksPerSecond
	return &siteChecks{host: host, interval: max(siteCheckInterval, fleetInterval)}
}

// update checks the endpoint that is next, if it is due. It returns when the next one is, 0 = there is none to check.
// A nil siteChecks checks nothing.
func (c *siteChecks) update(now time.Duration, monitor *sitefailover.Monitor) (next time.Duration) {
	if c == nil {
		return 0
	}
	endpoints := monitor.EndpointsOfFailedSites()
	if len(endpoints) == 0 {
		return 0
	}
	if now >= c.nextAt {
		c.nextAt = now + c.interval/time.Duration(len(endpoints))
		c.last = endpointAfter(endpoints, c.last)
		c.host.checkHealth(c.last)
	}
	return c.nextAt
}

// endpointAfter returns the first of the sorted ids that is greater than last, or the first of all.
func endpointAfter(sorted []string, last string) string {
	for _, id := range sorted {
		if id > last {
			return id
		}
	}
	return sorted[0]
}
