package adminapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// How long an operator's declaration about a site, or limit on it, remains in effect.
const (
	defaultSiteLimit = 5 * time.Minute // if the request has no limit parameter
	maxSiteLimit     = 24 * time.Hour
)

const sitesOffText = "sites are not watched here: [sites] watch is off"

// handleSites responds with the state of each site and the plan for its loss.
func (c *connection) handleSites(req request) {
	table := req.query.Get("as") == "table"
	text, off := c.server.router.SiteReport(table)
	switch {
	case off:
		c.respondText(http.StatusNotFound, sitesOffText)
	case table:
		c.respondText(http.StatusOK, text)
	default:
		c.respondJSON(text)
	}
}

// handleSiteLost handles the declaration that a site is lost.
func (c *connection) handleSiteLost(req request) {
	if length, ok := c.parseSiteLimit(req); ok {
		c.declareSiteLost(req.path[nameSegment], length)
	}
}

// handleSiteLostEnd withdraws the declaration that a site is lost.
func (c *connection) handleSiteLostEnd(req request) {
	c.declareSiteLost(req.path[nameSegment], 0)
}

// declareSiteLost declares a site lost for the given time. Zero withdraws the declaration.
func (c *connection) declareSiteLost(site string, length time.Duration) {
	lost := length > 0
	ok, known, off := c.server.router.DeclareSiteLost(site, length)
	c.server.log.Info("operator call", "call", "site", "site", site, "lost", lost, "limit", length, "known", ok)
	switch {
	case off:
		c.respondText(http.StatusNotFound, sitesOffText)
	case !ok:
		c.respondUnknownSite(known)
	case lost:
		c.respondText(http.StatusOK, "taken for lost")
	default:
		c.respondText(http.StatusOK, "judged by evidence")
	}
}

// handleSiteLimit limits the load of a site to a share of its capacity.
func (c *connection) handleSiteLimit(req request) {
	share, err := strconv.ParseFloat(req.query.Get("part"), 64)
	inRange := share >= 0 && share <= 1 // false for NaN too
	if err != nil || !inRange {
		c.respondText(http.StatusBadRequest, "part: what may be used of the site, from 0, which forbids its return, to 1")
		return
	}
	if length, ok := c.parseSiteLimit(req); ok {
		c.limitSite(req.path[nameSegment], share, length)
	}
}

// handleSiteLimitEnd withdraws the limit on the load of a site.
func (c *connection) handleSiteLimitEnd(req request) {
	c.limitSite(req.path[nameSegment], 1, 0)
}

// limitSite limits the load of a site for the given time. A zero length withdraws the limit.
func (c *connection) limitSite(site string, share float64, length time.Duration) {
	ok, known, off := c.server.router.LimitSiteRamp(site, share, length)
	c.server.log.Info("operator call", "call", "pace", "site", site, "share", share, "limit", length, "known", ok)
	switch {
	case off:
		c.respondText(http.StatusNotFound, "no return is paced here: [sites] act is off")
	case !ok:
		c.respondUnknownSite(known)
	case length > 0:
		c.respondText(http.StatusOK, "bound")
	default:
		c.respondText(http.StatusOK, "paced by evidence")
	}
}

// parseSiteLimit parses the limit parameter of a request about a site. If it is invalid, parseSiteLimit responds with
// an error, and ok is false.
func (c *connection) parseSiteLimit(req request) (length time.Duration, ok bool) {
	length, ok = parseLimit(req.query.Get("limit"), defaultSiteLimit, maxSiteLimit)
	if !ok {
		c.respondText(http.StatusBadRequest, "limit: a time such as 5m, one day at most")
	}
	return length, ok
}

func (c *connection) respondUnknownSite(known []string) {
	c.respondText(http.StatusNotFound, "no site of that name; there are: "+strings.Join(known, ", "))
}
