// Package failover tracks the failover of each replica group. From the results of attempts and health checks it decides
// whether a group's primary is lost. While there is no usable primary it queues the requests that need one, and it
// releases them once a successor is known. Requests are queued if their class is in [Config]: writes, and reads of the
// latest state where these are configured. The comments of this package call all of them writes.
//
// The package is a pure state machine. The caller reports events by calling the methods of a [Tracker] with the time of
// the event, and gets back what it has to do as a list of [Action] values. The package has no clock, no connections and
// no goroutines, and its random numbers come from a seed, so the same events always produce the same actions. A Tracker
// belongs to the goroutine of the router's event loop. It never selects an endpoint for a request and never decides
// which endpoint is the primary: the decision module (package balance) does both, and reports to the Tracker which
// primaries it has observed.
//
// # Phases
//
// Each replica group is in one [Phase]. [Evidence] moves it to another one:
//
//	steady          no failover
//	suspected       the primary is silent, or a connection to it was refused or broke
//	primary lost    the suspicion was confirmed, or the decision module suspects the primary
//	switchover      the primary is known to be giving up its role: it rejects writes as a replica, is draining, was
//	                suspended by an operator, or an operator announced a failover
//	successor seen  a primary is known again; the queued requests are released to it gradually
//	settled         the queue is empty; the group becomes steady after settleTime without further evidence
//
//	steady, settled, successor seen
//	    -> suspected       EvidenceSilence, EvidenceConnectionRefused
//	    -> switchover      EvidenceNotPrimary, EvidenceDraining, EvidenceSuspended, EvidenceAnnounced
//	    -> primary lost    EvidencePrimarySuspect
//	    -> successor seen  EvidencePrimaryObserved (in the steady phase: only of another primary)
//	suspected
//	    -> primary lost    EvidenceSilence (lasting suspicionTime), EvidenceConnectionRefused (a second one),
//	                       EvidenceHealthCheckFailed, EvidencePrimarySuspect
//	    -> switchover      EvidenceNotPrimary (from a health check), EvidenceAnnounced
//	    -> successor seen  EvidenceAnswered, EvidencePrimaryObserved
//	primary lost
//	    -> switchover      EvidenceAnnounced
//	    -> successor seen  EvidencePrimaryObserved, EvidenceAnswered (if the primary is in service and the decision
//	                       module doesn't suspect it)
//	switchover
//	    -> successor seen  EvidencePrimaryObserved, EvidenceAnnouncementExpired
//	    -> primary lost    EvidenceAnnouncementExpired (the primary is not in service or can't be reached)
//	successor seen
//	    -> settled         EvidenceQueueReleased
//	settled
//	    -> steady          EvidenceQuiet
//
// New writes are queued while a group is in the phase suspected, primary lost or switchover. They are also queued in
// the phase successor seen until the queue is empty, so that they don't overtake the requests in it.
//
// # Files
//
//   - tracker.go: the Tracker and its periodic Tick
//   - config.go, action.go: the configuration, and the actions for the caller
//   - phase.go: phases, evidence and transitions
//   - group.go, endpoint.go: the state of a replica group and of its endpoints
//   - attempt.go: evidence from the results of attempts
//   - silence_detector.go: when the silence of a primary is evidence
//   - health_check.go: which endpoints are checked, and how often
//   - pending_queue.go, heaps.go: the queue, its bounds and its fairness between clients
//   - expiry.go: the latest useful release of a request
//   - release.go: the release of queued requests to the successor
//   - retry_after.go: when a rejected client may retry
//   - view.go: the state as operators see it
package failover
