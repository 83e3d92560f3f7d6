// Package router takes a client's request through all its stages up to the one final answer that it is owed.
//
// The package owns every request that is in flight: its deadline, its attempts, its answer and its audit record. It
// knows neither the wire nor the policy. Frontends hand requests in and get answers through the Client interface,
// package balance decides which endpoint a request goes to, and backends carry out attempts behind the Backends
// interface.
//
// A request passes these stages, each in the file of its name:
//
//	accept    checks a request, gives it an id and a deadline, and notices that its client has left (accept.go)
//	admit     sheds what is too much, queues writes during a failover, lets the rest in (admit.go)
//	route     hands events to the balancer and carries out the actions that it returns (route.go)
//	dispatch  starts, cancels and times out attempts, and starts health checks (dispatch.go)
//	forward   gives the final answer: a response, a rejection or a failure (forward.go)
//	record    counts the end of each attempt and reports it to all who learn from it (record.go)
//
// An audit record of each answer is written where an Audit is given (audit_record.go).
//
// Three parts are optional. Each has a type of its own, knows the Router only by a small interface, and is a nil
// pointer in the Router while it is off; methods of a nil pointer then do nothing:
//
//	failoverQueue  keeps writes while the primary of their replica group changes (failover_queue.go)
//	siteMonitor    follows the state of whole sites and plans for their loss (site_monitor.go, site_plan.go)
//	siteAdmission  sheds load while a site is lost and paces the recovery of a site (site_admission.go)
//
// Everything here runs in the goroutine of the event loop that New is given, and no method locks. The package never
// does I/O, never blocks, never starts a goroutine, never reads a response, and never chooses an endpoint.
package router
