// Package adminapi serves the calls of operators: HTTP/1.1, one request to a connection, without passwords.
//
// The package owns the connections of operators, reads their requests, and hands each to the Router that it is given.
// It holds no state of the router and decides nothing itself. The paths, methods, statuses and texts are an interface
// that operators' scripts rely on; docs/operators.md, docs/failover.md and docs/site-failover.md describe it.
//
// Everything runs on the goroutine of the event loop. The connections enter the loop by Loop.PostUrgent and have slots
// of their own, so that a router which is busy with the requests of its clients still answers its operators.
//
// request.go parses a request, routes.go finds its handler, handlers.go and site_handlers.go carry it out, server.go
// keeps the connections.
package adminapi
