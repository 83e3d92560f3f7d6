package adminapi

import "net/http"

// route maps a method and a path to a handler.
type route struct {
	method  string
	pattern []string
	handle  func(*connection, request)
}

// Wildcards of a pattern. Other words match themselves only.
const (
	anySegment      = "*"
	nonEmptySegment = "+"
)

// nameSegment is the index of the path segment that names an endpoint, a replica group or a site.
const nameSegment = 2

// routes lists all routes; the first match is used. No path has more than one method.
var routes = []route{
	{http.MethodGet, []string{"v1", "readyz"}, (*connection).handleReadiness},
	{http.MethodPost, []string{"v1", "db-machines", nonEmptySegment, "suspend"}, (*connection).handleSuspend},
	{http.MethodPost, []string{"v1", "db-machines", nonEmptySegment, "resume"}, (*connection).handleResume},
	{http.MethodPost, []string{"v1", "router", "drain"}, (*connection).handleDrain},
	{http.MethodPost, []string{"v1", "router", "activate"}, (*connection).handleActivate},
	{http.MethodGet, []string{"v1", "cells"}, (*connection).handleGroups},
	{http.MethodPost, []string{"v1", "cells", anySegment, "changeover"}, (*connection).handleAnnouncedFailover},
	{http.MethodGet, []string{"v1", "sites"}, (*connection).handleSites},
	{http.MethodPost, []string{"v1", "sites", anySegment, "lost"}, (*connection).handleSiteLost},
	{http.MethodPost, []string{"v1", "sites", anySegment, "found"}, (*connection).handleSiteLostEnd},
	{http.MethodPost, []string{"v1", "sites", anySegment, "pace"}, (*connection).handleSiteLimit},
	{http.MethodPost, []string{"v1", "sites", anySegment, "free"}, (*connection).handleSiteLimitEnd},
}

// findRoute returns the first route whose pattern matches the path.
func findRoute(path []string) (found route, ok bool) {
	for _, candidate := range routes {
		if candidate.matches(path) {
			return candidate, true
		}
	}
	return route{}, false
}

func (r *route) matches(path []string) bool {
	if len(path) != len(r.pattern) {
		return false
	}
	for i, want := range r.pattern {
		if !segmentMatches(want, path[i]) {
			return false
		}
	}
	return true
}

func segmentMatches(want, segment string) bool {
	switch want {
	case anySegment:
		return true
	case nonEmptySegment:
		return segment != ""
	}
	return segment == want
}

// serve calls the handler of a request, or responds with an error if there is none.
func (c *connection) serve(req request) {
	found, ok := findRoute(req.path)
	if !ok {
		c.respondText(http.StatusNotFound, "no such path")
		return
	}
	if req.method != found.method {
		c.respond(response{
			status: http.StatusMethodNotAllowed,
			text:   found.method + " only",
			allow:  found.method,
		})
		return
	}
	found.handle(c, req)
}
