package adminapi

import (
	"net/http"
	"strconv"
	"time"
)

// How long writes are held for an announced change of primary.
const (
	defaultFailoverLimit = 5 * time.Second // where the call names no limit
	maxFailoverLimit     = time.Minute
)

const failoverOffText = "nothing is held through a change of primary here: [changeover] is off"

func (c *connection) handleReadiness(request) {
	if c.server.router.AcceptsClients() {
		c.answer(http.StatusOK, "ready")
	} else {
		c.answer(http.StatusServiceUnavailable, "takes no clients")
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
			c.answer(http.StatusOK, call+"ed")
		} else {
			c.answer(http.StatusNotFound, "no db machine of that id was ever listed")
		}
	})
}

func (c *connection) handleDrain(request) { c.setDrained(true, "drain") }

func (c *connection) handleActivate(request) { c.setDrained(false, "activate") }

func (c *connection) setDrained(drained bool, call string) {
	c.server.router.SetDrained(drained, func() {
		c.server.log.Info("operator call", "call", call)
		c.answer(http.StatusOK, call+" begun")
	})
}

// handleGroups answers with the failover state of all replica groups.
func (c *connection) handleGroups(request) {
	body, off := c.server.router.FailoverState()
	if off {
		c.answer(http.StatusNotFound, failoverOffText)
		return
	}
	c.answerJSON(string(body))
}

// handleAnnouncedFailover takes an operator's announcement that the primary of a replica group is about to change.
func (c *connection) handleAnnouncedFailover(req request) {
	group, err := strconv.ParseInt(req.path[nameSegment], 10, 64)
	if err != nil {
		c.answer(http.StatusNotFound, "no cell of that number")
		return
	}
	limit, ok := parseLimit(req.query.Get("limit"), defaultFailoverLimit, maxFailoverLimit)
	if !ok {
		c.answer(http.StatusBadRequest, "limit: a time such as 5s, one minute at most")
		return
	}
	known, off := c.server.router.AnnounceFailover(group, limit)
	c.server.log.Info("operator call", "call", "changeover", "group", group, "limit", limit, "known", known)
	switch {
	case off:
		c.answer(http.StatusNotFound, failoverOffText)
	case !known:
		c.answer(http.StatusNotFound, "no cell of that number is known")
	default:
		c.answer(http.StatusOK, "writes are held")
	}
}

// parseLimit reads the time limit of a call. ok is false if the text is not a time up to maximum.
func parseLimit(text string, byDefault, maximum time.Duration) (limit time.Duration, ok bool) {
	if text == "" {
		return byDefault, true
	}
	limit, err := time.ParseDuration(text)
	if err != nil || limit <= 0 || limit > maximum {
		return 0, false
	}
	return limit, true
}
