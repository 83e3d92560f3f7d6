package router

import "time"

// SharedRequestIDs is a set of the client request ids of writes, which all processes of this router have in common. Its
// methods must not block or make a system call. Times count from the Unix epoch.
type SharedRequestIDs interface {
	// Claim adds an id until the given time, unless it is there at the time now, and reports whether it has added it.
	Claim(id string, now, until time.Duration) bool
	// Keep changes the time until which an id that this process has claimed stays in the set.
	Keep(id string, until time.Duration)
	// Release removes an id that this process has claimed.
	Release(id string)
}

// ShareRequestIDs sets the ids that this process shares with the other process of a hot restart: a write that may be
// running in one of them is not accepted by the other. It must be called before the first request.
func (r *Router) ShareRequestIDs(ids SharedRequestIDs) { r.sharedIDs = ids }

// claimsID reports whether the id of a request is claimed while the request is open.
func (r *Router) claimsID(received *Request) bool {
	return r.sharedIDs != nil && received.ClientRequestID != "" && r.mustRunOnce(received.Class)
}

// claimID claims the id of a request, and reports whether no other process has claimed it. The claim ends by itself
// some time after the client's timeout, in case this process is killed.
func (r *Router) claimID(received *Request) bool {
	if !r.claimsID(received) {
		return true
	}
	now := r.loop.Now()
	until := now + r.classes[received.Class].ClientTimeout + departedWriteTime
	return r.sharedIDs.Claim(received.ClientRequestID, now, until)
}

// releaseClaim ends the claim of an answered request, or of one that has not run.
func (r *Router) releaseClaim(received *Request) {
	if r.claimsID(received) {
		r.sharedIDs.Release(received.ClientRequestID)
	}
}

// keepClaim ends the claim of a write that may have run and whose client has disconnected, after the time for which its
// id is remembered.
func (r *Router) keepClaim(received *Request) {
	if r.claimsID(received) {
		r.sharedIDs.Keep(received.ClientRequestID, r.loop.Now()+departedWriteTime)
	}
}
