// Package failover follows the failover of each replica group: it judges from the ends of attempts and health checks
// whether a group's primary is lost, queues the requests that need the primary meanwhile, and releases them to the
// successor. These requests are those of the classes in [Config]: writes, and reads of the latest state where they are
// configured. They are called writes below.
//
// The package is a pure state machine. Events go in as calls of a [Tracker]'s methods, with the time of the event; what
// the caller has to do comes out as a list of [Action] values. It has no clock, no connections and no goroutine of its
// own, and its random draws come from a seed, so the same events always give the same actions. A Tracker belongs to
// the goroutine of the router's event loop. It never selects an endpoint for a request and never decides who the
// primary is: the decision module (package balance) does both, and reports the primaries that it observes here.
//
// # Phases
//
// Each replica group is in one [Phase], and [Evidence] takes it to the next:
//
//	steady          no failover
//	suspected       the primary is silent, or a connection to it was refused or broke
//	primary lost    the suspicion was confirmed, or the decision module suspects the primary
//	switchover      the primary is known to give up its role: it rejects writes as a replica, drains, is suspended by
//	                an operator, or an operator announced the change
//	successor seen  a primary is known again; the queued requests are released to it step by step
//	settled         the queue is empty; steady follows after settleTime without further evidence
//
//	steady, settled, successor seen
//	    -> suspected       EvidenceSilence, EvidenceConnectionRefused
//	    -> switchover      EvidenceNotPrimary, EvidenceDraining, EvidenceSuspended, EvidenceAnnounced
//	    -> primary lost    EvidencePrimarySuspect
//	    -> successor seen  EvidencePrimaryObserved (in the steady phase: of another primary)
//	suspected
//	    -> primary lost    EvidenceSilence (for suspicionTime), EvidenceConnectionRefused (a second one),
//	                       EvidenceHealthCheckFailed, EvidencePrimarySuspect
//	    -> switchover      EvidenceNotPrimary (told by a health check), EvidenceAnnounced
//	    -> successor seen  EvidenceAnswered, EvidencePrimaryObserved
//	primary lost
//	    -> switchover      EvidenceAnnounced
//	    -> successor seen  EvidencePrimaryObserved, or EvidenceAnswered unless the decision module suspects the primary
//	switchover
//	    -> successor seen  EvidencePrimaryObserved, EvidenceAnnouncementExpired
//	    -> primary lost    EvidenceAnnouncementExpired (the primary is not in service or can't be reached)
//	successor seen
//	    -> settled         EvidenceQueueReleased
//	settled
//	    -> steady          EvidenceQuiet
//
// Writes are queued while a group is suspected, primary lost or in a switchover, and behind a queue that is still being
// released.
//
// # Files
//
// tracker.go has the Tracker and its periodic Tick, phase.go the phases, evidence and transitions, group.go and
// endpoint.go the state of a replica group and of its endpoints, attempt.go what the ends of attempts tell,
// silence_detector.go when a primary's silence is evidence, health_check.go whom to ask and how often,
// pending_queue.go the queue with its bounds and fairness between clients, expiry.go the latest useful release of a
// request, release.go the release to the successor, retry_after.go when a rejected client may return, and view.go what
// operators see.
package failover
