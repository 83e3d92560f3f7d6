// Package adminapi serves the HTTP/1.1 API for operators: one request per connection, without authentication.
//
// The package owns the connections of operators, parses their requests, and calls the Router that it is given. It keeps
// no state of the router and makes no decisions. Operators' scripts rely on the paths, methods, statuses and response
// texts; docs/operators.md, docs/failover.md and docs/site-failover.md describe them.
//
// Everything runs on the event loop's goroutine. Connections enter the loop by Loop.PostUrgent and have slots of their
// own, so that a router that is busy with client requests still responds to its operators.
//
// request.go parses requests, routes.go maps them to handlers, handlers.go and site_handlers.go implement the handlers,
// server.go manages the connections.
package adminapi
