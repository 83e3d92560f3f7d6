package frontend

import (
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
	"limeladder/internal/router"
)

// NewSimpleQueryHandler returns the handler of the platform's protocol: simple queries, one statement each.
func NewSimpleQueryHandler(c *Conn) ProtocolHandler { return &simpleQueryHandler{Conn: c} }

type simpleQueryHandler struct {
	*Conn
	skipToSync bool // an extended-query message was rejected: everything up to Sync is skipped
}

// Idle implements ProtocolHandler.
func (h *simpleQueryHandler) Idle() bool { return !h.skipToSync }

// HandleMessage implements ProtocolHandler.
func (h *simpleQueryHandler) HandleMessage(message pgwire.Message) error {
	if h.skips(message.Type) {
		return nil
	}
	switch message.Type {
	case 'Q':
		if message.Truncated {
			h.rejectTruncated(string(message.Body))
			return nil
		}
		sql, err := pgwire.Query(message.Body)
		if err != nil {
			return err
		}
		h.handleQuery(sql)
	case 'X':
		h.CloseWhenAnswered()
	case 'S':
		h.skipToSync = false
		h.Respond(pgwire.AppendReady(nil))
	case 'P', 'B', 'D', 'E', 'C', 'H', 'F':
		h.rejectUnsupported(message.Type)
	default:
		return pgwire.ErrFormat
	}
	return nil
}

func (h *simpleQueryHandler) skips(messageType byte) bool {
	return h.skipToSync && messageType != 'S' && messageType != 'X'
}

// rejectUnsupported answers an extended-query message or a function call. A function call is not followed by Sync.
func (h *simpleQueryHandler) rejectUnsupported(messageType byte) {
	h.MarkInvalid()
	isFunctionCall := messageType == 'F'
	h.skipToSync = !isFunctionCall
	response := pgwire.AppendError(nil, pgwire.Error{
		Code:    errSimpleQueriesOnly.SQLSTATE,
		Message: errSimpleQueriesOnly.Reason,
	})
	if isFunctionCall {
		response = pgwire.AppendReady(response)
	}
	h.Respond(response)
}

func (h *simpleQueryHandler) handleQuery(sql string) {
	job, empty := NewSimpleQuery(sql)
	if empty {
		h.RespondToEmptyQuery()
		return
	}
	comment, err := job.ParseComment()
	if err != nil {
		h.MarkInvalid()
		h.Respond(pgwire.AppendReady(pgwire.AppendError(nil, InvalidRequestError(err))))
		return
	}
	responder := &simpleQueryResponder{}
	request := h.newRequest(comment)
	request.Job = job
	h.enqueue(&responder.slot, request, responder)
}

// rejectTruncated answers a query of which only the beginning was kept, because memory is short. Where that does not
// include the whole request comment, the rejection is not recorded.
func (h *simpleQueryHandler) rejectTruncated(beginning string) {
	job, _ := NewSimpleQuery(beginning)
	comment, err := job.ParseComment()
	if err != nil {
		h.Respond(pgwire.AppendReady(pgwire.AppendError(nil, CapacityError())))
		return
	}
	responder := &simpleQueryResponder{}
	h.enqueueRejected(&responder.slot, h.newRequest(comment), responder)
}

// newRequest returns the request that the comment of the newest message describes, without its job.
func (h *simpleQueryHandler) newRequest(comment requestcomment.Comment) router.Request {
	return router.Request{
		ClientRequestID: comment.ID,
		Class:           comment.Class,
		Group:           comment.Group,
		Session:         comment.Session,
		ClientTimeout:   comment.Timeout,
		ReceivedAt:      h.ReceivedAt(),
		MinPosition:     comment.MinPosition,
		Retry:           comment.Retry,
	}
}

// simpleQueryResponder encodes the response to one simple query.
type simpleQueryResponder struct{ slot }

// Served implements router.Client.
func (r *simpleQueryResponder) Served(response router.Response) {
	r.complete(pgwire.AppendReady(response.(*backend.Response).Messages))
}

// HasRoomFor implements router.Client.
func (r *simpleQueryResponder) HasRoomFor(response router.Response) bool {
	return !r.mustBuffer() || r.conn.hasRoomForResponse(len(response.(*backend.Response).Messages))
}

// ResponseStarted implements router.Client.
func (r *simpleQueryResponder) ResponseStarted(response router.Response, flow router.FlowController) {
	r.startResponse(response.(*backend.Response).Messages, flow)
}

// ResponseTruncated implements router.Client.
func (r *simpleQueryResponder) ResponseTruncated() {
	r.truncate(pgwire.AppendReady(pgwire.AppendError(nil, FailureError("its answer broke off"))))
}

// Rejected implements router.Client.
func (r *simpleQueryResponder) Rejected(after time.Duration) {
	r.respondWithError(RejectionError(after))
}

// Failed implements router.Client.
func (r *simpleQueryResponder) Failed(reason string) { r.respondWithError(FailureError(reason)) }

func (r *simpleQueryResponder) rejectInvalid(err error) {
	r.conn.MarkInvalid()
	r.respondWithError(InvalidRequestError(err))
}

func (r *simpleQueryResponder) respondWithError(e pgwire.Error) {
	r.complete(pgwire.AppendReady(pgwire.AppendError(nil, e)))
}
