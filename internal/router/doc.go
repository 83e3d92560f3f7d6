// Package router processes client requests, from their acceptance to their recorded outcome. Each accepted request gets
// exactly one final answer, unless its client disconnects first.
//
// The package owns all requests in flight: their deadlines, attempts, answers and audit records. It is independent of
// the wire protocol and of the routing policy. Frontends pass requests to it and receive answers through the Client
// interface, package balance decides which endpoint a request goes to, and an implementation of Backends executes
// the attempts.
//
// A request passes through these stages, each in the file of its name:
//
//	accept    validates a request, assigns its id and deadline, detects that its client has disconnected (accept.go)
//	admit     rejects excess requests, queues writes during a failover, admits the rest (admit.go)
//	route     passes events to the balancer and performs the actions that it returns (route.go)
//	dispatch  starts, cancels and times out attempts, and starts health checks (dispatch.go)
//	forward   gives the final answer: a response, a rejection or a failure (forward.go)
//	record    counts the outcome of each attempt and reports it to the components that use it (record.go)
//
// If an Audit is given, each answer is written to the audit record (audit_record.go).
//
// Three components are optional. Each has its own type, accesses the Router only through a small interface, and is a
// nil pointer in the Router while it is disabled. Methods called on the nil pointer do nothing:
//
//	failoverQueue  queues writes while the primary of their replica group changes (failover_queue.go)
//	siteMonitor    tracks the state of whole sites and plans for their loss (site_monitor.go, site_plan.go)
//	siteAdmission  sheds load while a site is lost and paces the recovery of a site (site_admission.go)
//
// All code runs in the goroutine of the event loop that is passed to New, so no method takes a lock. The package never
// does I/O, never blocks, never starts a goroutine, never inspects a response, and never chooses an endpoint.
package router
