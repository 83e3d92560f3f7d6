package adminapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// How long an operator's declaration or limit on a site holds.
const (
	defaultSiteLimit = 5 * time.Minute // where the call names no limit
	maxSiteLimit     = 24 * time.Hour
)

const sitesOffText = "sites are not watched here: [sites] watch is off"

// handleSites answers with the state of each site and the plan for its loss.
func (c *connection) handleSites(req request) {
	table := req.query.Get("as") == "table"
	text, off := c.server.router.SiteReport(table)
	switch {
	case off:
		c.answer(http.StatusNotFound, sitesOffText)
	case table:
		c.answer(http.StatusOK, text)
	default:
		c.answerJSON(text)
	}
}

// handleSiteLost takes an operator's declaration that a site is lost.
func (c *connection) handleSiteLost(req request) {
	if length, ok := c.siteLimit(req); ok {
		c.declareSiteLost(req.path[nameSegment], length)
	}
}

// handleSiteFound takes a declaration back.
func (c *connection) handleSiteFound(req request) {
	c.declareSiteLost(req.path[nameSegment], 0)
}

// declareSiteLost declares a site lost for so long; zero takes the declaration back.
func (c *connection) declareSiteLost(site string, length time.Duration) {
	lost := length > 0
	ok, known, off := c.server.router.DeclareSiteLost(site, length)
	c.server.log.Info("operator call", "call", "site", "site", site, "lost", lost, "limit", length, "known", ok)
	switch {
	case off:
		c.answer(http.StatusNotFound, sitesOffText)
	case !ok:
		c.answerUnknownSite(known)
	case lost:
		c.answer(http.StatusOK, "taken for lost")
	default:
		c.answer(http.StatusOK, "judged by evidence")
	}
}

// handleSiteLimit limits the share of its capacity for which a site is used.
func (c *connection) handleSiteLimit(req request) {
	share, err := strconv.ParseFloat(req.query.Get("part"), 64)
	inRange := share >= 0 && share <= 1 // false for NaN too
	if err != nil || !inRange {
		c.answer(http.StatusBadRequest, "part: what may be used of the site, from 0, which forbids its return, to 1")
		return
	}
	if length, ok := c.siteLimit(req); ok {
		c.limitSite(req.path[nameSegment], share, length)
	}
}

// handleSiteLimitEnd takes a limit back.
func (c *connection) handleSiteLimitEnd(req request) {
	c.limitSite(req.path[nameSegment], 1, 0)
}

// limitSite limits the use of a site for so long; a zero length takes the limit back.
func (c *connection) limitSite(site string, share float64, length time.Duration) {
	ok, known, off := c.server.router.LimitSiteRamp(site, share, length)
	c.server.log.Info("operator call", "call", "pace", "site", site, "share", share, "limit", length, "known", ok)
	switch {
	case off:
		c.answer(http.StatusNotFound, "no return is paced here: [sites] act is off")
	case !ok:
		c.answerUnknownSite(known)
	case length > 0:
		c.answer(http.StatusOK, "bound")
	default:
		c.answer(http.StatusOK, "paced by evidence")
	}
}

// siteLimit reads for how long a call on a site holds, and answers the call if that is not a time.
func (c *connection) siteLimit(req request) (length time.Duration, ok bool) {
	length, ok = parseLimit(req.query.Get("limit"), defaultSiteLimit, maxSiteLimit)
	if !ok {
		c.answer(http.StatusBadRequest, "limit: a time such as 5m, one day at most")
	}
	return length, ok
}

func (c *connection) answerUnknownSite(known []string) {
	c.answer(http.StatusNotFound, "no site of that name; there are: "+strings.Join(known, ", "))
}
