package extendedquery

import (
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/frontend"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
)

// Disconnected implements router.Client.
func (s *session) Disconnected(askSystem bool) bool { return s.conn.Disconnected(askSystem) }

// Committed implements router.CommitObserver.
func (s *session) Committed(position time.Duration) { s.conn.Committed(position) }

// HasRoomFor implements router.Client.
func (s *session) HasRoomFor(response router.Response) bool {
	return s.conn.HasRoomToSend(len(response.(*backend.Response).Messages))
}

// ResponseStarted implements router.Client.
func (s *session) ResponseStarted(response router.Response, flow router.FlowController) {
	s.appendResponse(response.(*backend.Response))
	data := s.bufferedResponses
	s.bufferedResponses = nil
	s.conn.StartResponse(data, flow)
}

// ResponsePart implements router.Client.
func (s *session) ResponsePart(data []byte) { s.conn.WriteResponsePart(data) }

// WithholdsResponse implements router.Client.
func (s *session) WithholdsResponse() bool { return false }

// ResponseTruncated implements router.Client.
func (s *session) ResponseTruncated() { s.conn.TruncateResponse() }

// Served implements router.Client.
func (s *session) Served(response router.Response) {
	served := response.(*backend.Response)
	isExtended := s.running.statement != nil
	s.appendResponse(served)
	s.completeRunning(served.Code != "" && isExtended)
}

// Rejected implements router.Client.
func (s *session) Rejected(after time.Duration) {
	s.bufferedResponses = pgwire.AppendError(s.bufferedResponses, frontend.RejectionError(after))
	s.completeRunning(true)
}

// Failed implements router.Client.
func (s *session) Failed(reason string) {
	s.bufferedResponses = pgwire.AppendError(s.bufferedResponses, frontend.FailureError(reason))
	s.completeRunning(true)
}

// appendResponse adds an endpoint's response to the data for the client. ParseComplete and BindComplete are left out:
// the client has received its own, and those of the endpoint answer messages that were added by the attempt.
func (s *session) appendResponse(response *backend.Response) {
	reader := pgwire.NewReader(len(response.Messages)+messageHeaderBytes, 0)
	reader.Feed(response.Messages)
	for {
		message, ok, err := reader.Next()
		if !ok || err != nil {
			break
		}
		if message.Type != '1' && message.Type != '2' {
			s.bufferedResponses = pgwire.Append(s.bufferedResponses, message.Type, message.Body)
		}
	}
}

// messageHeaderBytes is the length of a message's type and length field.
const messageHeaderBytes = 5
