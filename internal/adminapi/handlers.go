package adminapi

import (
	"net/http"
	"strconv"
	"time"
)

// How long writes are queued for an announced failover.
const (
	defaultFailoverLimit = 5 * time.Second // if the request has no limit parameter
	maxFailoverLimit     = time.Minute
)

const failoverOffText = "nothing is held through a change of primary here: [changeover] is off"

func (c *connection) handleReadiness(request) {
	if c.server.router.AcceptsClients() {
		c.respondText(http.StatusOK, "ready")
	} else {
		c.respondText(http.StatusServiceUnavailable, "takes no clients")
	}
}

func (c *connection) handleSuspend(req request) {
	c.setSuspended(req.path[nameSegment], true, "suspend")
}

func (c *connection) handleResume(req request) {
	c.setSuspended(req.path[nameSegment], false, "resume")
}

func (c *connection) setSuspended(endpoint string, suspended bool, call string) {
	c.server.router.SetSuspended(endpoint, suspended, func(known bool) {
		c.server.log.Info("operator call", "call", call, "endpoint", endpoint, "known", known)
		if known {
			c.respondText(http.StatusOK, call+"ed")
		} else {
			c.respondText(http.StatusNotFound, "no db machine of that id was ever listed")
		}
	})
}

func (c *connection) handleDrain(request) { c.setDrained(true, "drain") }

func (c *connection) handleActivate(request) { c.setDrained(false, "activate") }

func (c *connection) setDrained(drained bool, call string) {
	c.server.router.SetDrained(drained, func() {
		c.server.log.Info("operator call", "call", call)
		c.respondText(http.StatusOK, call+" begun")
	})
}

// handleGroups responds with the failover state of all replica groups.
func (c *connection) handleGroups(request) {
	body, off := c.server.router.FailoverState()
	if off {
		c.respondText(http.StatusNotFound, failoverOffText)
		return
	}
	c.respondJSON(string(body))
}

// handleAnnouncedFailover handles the announcement that the primary of a replica group is about to change.
func (c *connection) handleAnnouncedFailover(req request) {
	group, err := strconv.ParseInt(req.path[nameSegment], 10, 64)
	if err != nil {
		c.respondText(http.StatusNotFound, "no cell of that number")
		return
	}
	limit, ok := parseLimit(req.query.Get("limit"), defaultFailoverLimit, maxFailoverLimit)
	if !ok {
		c.respondText(http.StatusBadRequest, "limit: a time such as 5s, one minute at most")
		return
	}
	known, off := c.server.router.AnnounceFailover(group, limit)
	c.server.log.Info("operator call", "call", "changeover", "group", group, "limit", limit, "known", known)
	switch {
	case off:
		c.respondText(http.StatusNotFound, failoverOffText)
	case !known:
		c.respondText(http.StatusNotFound, "no cell of that number is known")
	default:
		c.respondText(http.StatusOK, "writes are held")
	}
}

// parseLimit parses the limit parameter of a request, and returns defaultLimit if text is empty. ok is false if text is
// not a positive duration of at most maxLimit.
func parseLimit(text string, defaultLimit, maxLimit time.Duration) (limit time.Duration, ok bool) {
	if text == "" {
		return defaultLimit, true
	}
	limit, err := time.ParseDuration(text)
	if err != nil || limit <= 0 || limit > maxLimit {
		return 0, false
	}
	return limit, true
}
