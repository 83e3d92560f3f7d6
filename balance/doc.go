// Package balance decides, for one router instance, which endpoint of a replica group serves a request.
//
// It is a state machine: [Balancer.Step] takes the time and the events that the caller saw and returns the actions that
// the caller has to carry out, in order. The package owns the decisions and what they rest on: the primary cache of
// each replica group, the replication positions, the health, the limits, the budgets and the pending requests. It
// never does input or output, reads no clock, starts no goroutine and holds no lock. All of it runs on the goroutine
// that calls Step; for the router that is the event loop. All randomness comes from the seed given to [New], so the
// same events give the same actions.
//
// # Mechanism
//
// The mechanism is follower-first intra-tenant routing, as the page on OceanBase Database Proxy (ODP) describes it:
//
//   - Strong requests go to the primary of their group: writes (ConsistencyWrite) and reads of the latest data
//     (ConsistencyLatest).
//   - Weak reads (ConsistencyAny, ConsistencyBounded, ConsistencySession) go to an available replica: first those of
//     the own zone, then a random draw. When no replica is available they go to the primary, if it has capacity to
//     spare.
//   - A write that reaches a replica comes back as a miss. It marks the cached primary suspect; exploratory writes, one
//     at a time, and health checks find the new one.
//   - A request that cannot be sent yet is pending. It is sent when an endpoint becomes eligible, and rejected when it
//     could no longer be answered in useful time.
//
// # Terms
//
// The terms of the ODP page and of docs/design are found here:
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
// What the page leaves open has a file and a type for each concept: endpointHealth, outlierStats, concurrencyLimit,
// slowStart, workCredit, healthCheckBudget, retryBudget, tokenBucket (quotas of tenants), discoveryPoll and, as the
// one place that every send passes, eligibility.
package balance
