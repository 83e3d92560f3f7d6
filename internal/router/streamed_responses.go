package router

import "limeladder/balance"

// reasonTooManyStreams is recorded for a request whose response is too long to be kept and could not be streamed.
const reasonTooManyStreams = "too many long answers are being read"

// streamedResponses counts the responses that are being forwarded while they arrive. Each one occupies a connection to
// its endpoint for as long as its client takes to read it, so the clients that read slowly must not have all of them.
type streamedResponses struct {
	total      int
	byEndpoint map[string]int
}

// hasRoomForStream reports whether one more response of the endpoint may be streamed.
func (r *Router) hasRoomForStream(endpoint string) bool {
	lim := &r.limits.Router
	return r.streamed.total < lim.StreamedResponses && r.streamed.byEndpoint[endpoint] < lim.StreamedPerEndpoint
}

func (s *streamedResponses) started(endpoint string) {
	s.total++
	s.byEndpoint[endpoint]++
}

func (s *streamedResponses) ended(endpoint string) {
	s.total--
	s.byEndpoint[endpoint]--
	if s.byEndpoint[endpoint] == 0 {
		delete(s.byEndpoint, endpoint)
	}
}

// rejectStream rejects a request that may be repeated when its long response begins to arrive, and gives its attempt
// up.
func (r *Router) rejectStream(req *request) {
	r.rejectAndRecordReason(req, 0, reasonTooManyStreams)
	r.withdraw(req)
	r.cancelAttempt(req, balance.StatusCancelled)
	r.release(req)
}
