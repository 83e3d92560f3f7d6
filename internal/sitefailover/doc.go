// Package sitefailover tracks the state of whole sites (zones) as one router observes them, plans the effects of the
// loss of each site, sheds load while a site is lost, and ramps up the load of a site that recovers.
//
// # Site states
//
// The Monitor processes Events (the outcome of each attempt and health check, endpoint lists, observed primaries,
// applied positions of replicas, declarations of operators) and keeps a SiteState for each site:
//
//	healthy ──▶ suspected   most of the site's known endpoints are down, and the fault is specific to the site
//	suspected ──▶ lost      this has lasted for MonitorConfig.SuspicionTime
//	suspected ──▶ healthy   the evidence no longer holds, or has been inconclusive for two evidence windows
//	lost ──▶ recovering     endpoints answer again; after flaps, not before a minimum time has passed
//	recovering ──▶ lost     the site fails again: a flap
//	recovering ──▶ settled  few endpoints have been down for MonitorConfig.SettleTime; longer after each flap
//	settled ──▶ suspected   as from healthy
//	settled ──▶ healthy     the settle time has passed once more; the flap count decreases by one
//
// An operator's declaration moves a site from any state to lost, and keeps it there until the declaration expires. In
// addition to the state, a FaultKind classifies the evidence: the loss of the site, a network partition between the
// site and this router, the isolation of this router, or the removal of the site's endpoints from the endpoint list.
//
// # Plan, admission and recovery ramp
//
// PlanLosses computes the effects of the loss of each site: the successor of each primary, the utilization of the
// remaining endpoints, the work that shifts between endpoints, and the work that has to be rejected, beginning with the
// lowest priority weight per second of work. DemandMeter and UtilizationTracker measure the input of a plan.
//
// AdmissionController uses the same plan while a site is lost: it rejects the part of the least valuable work for which
// there is certainly no capacity. RecoveryRamp limits how much of its capacity a site is used for after it has flapped
// (failed again while it recovered), and applies limits that operators set.
//
// # Purity and goroutines
//
// The package does no I/O, reads no clock, logs nothing, and starts no goroutines. Times are time.Duration values on
// the caller's clock. Only AdmissionController uses random numbers, which it draws from the seed that it is given.
// PlanLosses and WriteTable keep no state. The other types hold state without locks, so only one goroutine may use
// them: in the router, that of the event loop. The package never selects the endpoint of a request; package balance
// does that.
package sitefailover
