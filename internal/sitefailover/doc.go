// Package sitefailover judges whole sites (zones) from what one router observes, plans what the loss of each site would
// mean, sheds load while a site is lost, and paces the use of a site that recovers.
//
// # Site states
//
// The Monitor takes Events (the outcome of each attempt and health check, endpoint lists, observed primaries, applied
// positions of replicas, declarations of operators) and holds one SiteState for each site:
//
//	healthy ──▶ suspected   most of the site's known endpoints are down, and the fault is the site's own
//	suspected ──▶ lost      that has lasted for Config.SuspicionTime
//	suspected ──▶ healthy   the evidence is gone, or has stayed undecided for two evidence windows
//	lost ──▶ recovering     endpoints answer again; after each flap only once a longer time in lost has passed
//	recovering ──▶ lost     the site fails again: a flap
//	recovering ──▶ settled  few endpoints have been down for Config.SettleTime; longer after each flap
//	settled ──▶ suspected   as from healthy
//	settled ──▶ healthy     the settle time has passed once more; one flap is forgiven
//
// An operator's declaration leads from every state to lost and holds the site there until it expires. FaultKind says
// what the evidence speaks for beside the state: the loss of the site, a network partition between it and this router,
// the isolation of this router, or a removal by the endpoint list.
//
// # Plan, admission and recovery ramp
//
// PlanLosses computes for each site what remains without it: the successor of each primary, the utilization of what is
// left, the work that shifts, and what has to be rejected in the order of priority weight for work. DemandMeter and
// UtilizationTracker measure the figures that a plan is made from.
//
// AdmissionController uses the same plan while a site is lost: it rejects the share of the least valuable work that
// surely finds no capacity. RecoveryRamp limits the share of its capacity for which a site is used after it has failed
// while it recovered, and holds limits that operators set.
//
// # Purity and goroutines
//
// Nothing here does I/O, reads a clock, logs, or starts a goroutine. Time is a time.Duration on the caller's clock, and
// the only random numbers are those that AdmissionController draws from the seed that it is given. PlanLosses and
// WriteTable keep no state. All other types hold state without locks: they belong to one goroutine, which is the event
// loop in the router. The package never decides which endpoint a request goes to; that is the job of package balance.
package sitefailover
