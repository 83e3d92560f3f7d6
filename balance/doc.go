// Package balance decides, for one router instance, which endpoint of a replica group serves a request.
//
// It is a state machine: [Balancer.Step] takes the current time and the events since the last step, and returns the
// actions that the caller has to carry out, in order. The package owns the decisions and the state they are based on:
// the primary cache of each replica group, the replication positions, the health, the limits, the budgets and the
// pending requests. It does no I/O, reads no clock, starts no goroutine and holds no lock. All code runs on the
// goroutine that calls Step; in the router that is the event loop. All randomness comes from the seed given to [New],
// so the same events produce the same actions.
//
// # Mechanism
//
// The mechanism is follower-first intra-tenant routing, as the page on OceanBase Database Proxy (ODP) describes it:
//
//   - Strong requests, which are writes (ConsistencyWrite) and reads of the latest data (ConsistencyLatest), go to the
//     primary of their group.
//   - Weak reads (ConsistencyAny, ConsistencyBounded, ConsistencySession) go to an available replica, chosen at random
//     among those in the instance's own zone, or among those in other zones if there is none. When no replica is
//     available they go to the primary, if it has spare capacity.
//   - A write that reaches a replica ends as a miss. The miss marks the cached primary suspect; exploratory writes, one
//     at a time, and health checks find the new primary.
//   - A request that cannot be sent yet is pending. It is sent when an endpoint becomes eligible, and rejected when it
//     could no longer be answered in useful time.
//
// # Terms
//
// The terms of the ODP page and of docs/design correspond to these types, functions and values:
//
//	routing table entry, route cache       primaryCache (primary_cache.go)
//	BUILDING, AVAIL, DIRTY                 primaryUnknown, primaryCached, primarySuspect
//	misroute feedback, is_partition_hit    StatusMiss (outcome.go)
//	refresh of an entry                    exploratory writes (primary_cache.go), primarySearch (primary_search.go)
//	leader routing, strong read            selectPrimary (primary_cache.go)
//	follower routing, weak read            selectReplica (replica_selection.go)
//	LDC-based routing, then random         replicaCandidates (replica_selection.go)
//	server list of a tenant                EndpointList (event.go), handled in endpoint_list.go
//
// Each concept that the page does not specify has its own file and type: endpointHealth, outlierStats,
// concurrencyLimit, slowStart, workCredit, healthCheckBudget, retryBudget, tokenBucket (quotas of tenants),
// discoveryPoll, sessionCommits, and eligibility, which checks every send.
package balance
