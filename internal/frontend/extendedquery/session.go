package extendedquery

import (
	"bytes"

	"limeladder/internal/frontend"
	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
)

// Classes reports which request classes write.
type Classes interface {
	// IsWrite reports whether requests of the class may change data.
	IsWrite(class string) bool
}

// maxBufferedBytes limits the responses that wait for Flush or Sync. It bounds the memory for clients that keep sending
// messages without either.
const maxBufferedBytes = 4 << 10

// NewHandler returns the function that creates the protocol handler of a connection.
func NewHandler(classes Classes) func(*frontend.Conn) frontend.ProtocolHandler {
	return func(c *frontend.Conn) frontend.ProtocolHandler {
		return &session{
			conn:       c,
			classes:    classes,
			statements: map[string]*preparedStatement{},
			portals:    map[string]*portal{},
		}
	}
}

// session is the protocol handler of one connection.
type session struct {
	conn       *frontend.Conn
	classes    Classes
	statements map[string]*preparedStatement
	portals    map[string]*portal

	bufferedResponses []byte          // responses that wait for Flush or Sync
	skipToSync        bool            // an error ended the unit of work: everything up to Sync is skipped
	pending           *operation      // received and not submitted yet, since further messages may belong to it
	running           *operation      // submitted to the router
	deferredMessage   *pgwire.Message // arrived after the pending operation, which has to run first
	deferredBytes     int             // memory reserved for it
}

// Idle implements frontend.ProtocolHandler.
func (s *session) Idle() bool {
	if s.skipToSync || s.pending != nil || s.running != nil {
		return false
	}
	return len(s.bufferedResponses) == 0 && len(s.portals) == 0
}

// HandleMessage implements frontend.ProtocolHandler.
func (s *session) HandleMessage(message pgwire.Message) error {
	if message.Type == 'X' { // the pending operation is not needed any more, and no part of it was sent
		s.conn.Close()
		return nil
	}
	if s.skipToSync && message.Type != 'S' {
		return nil
	}
	if len(s.bufferedResponses) > maxBufferedBytes {
		s.flush()
	}
	if s.pending != nil && !s.belongsToPending(message) {
		s.endPending(message)
		return nil
	}
	return s.dispatch(message)
}

func (s *session) dispatch(message pgwire.Message) error {
	if message.Truncated && s.rejectTruncated(message) {
		return nil
	}
	switch message.Type {
	case 'Q':
		return s.handleSimpleQuery(message.Body)
	case 'P':
		return s.handleParse(message.Body)
	case 'B':
		return s.handleBind(message.Body)
	case 'D':
		return s.handleDescribe(message.Body)
	case 'E':
		return s.handleExecute(message.Body)
	case 'C':
		return s.handleClose(message.Body)
	case 'H':
		s.flush()
	case 'S':
		s.sync()
	case 'F':
		s.reject(errFunctionCall)
		s.sync()
	case 'd', 'c', 'f': // PostgreSQL ignores the remaining messages of a failed COPY
	default:
		return pgwire.ErrFormat
	}
	return nil
}

// belongsToPending reports whether a message belongs to the pending operation: the Execute of the portal that the
// operation describes, or a Close.
func (s *session) belongsToPending(message pgwire.Message) bool {
	if message.Truncated {
		return false
	}
	switch message.Type {
	case 'C':
		return len(s.pending.closeResponses) < maxBufferedBytes
	case 'E':
		name, _, err := pgwire.Execute(message.Body)
		if err != nil || s.pending.execute {
			return false
		}
		return s.pending.portal != nil && s.portals[name] == s.pending.portal
	}
	return false
}

// endPending submits the pending operation after a message has arrived that does not belong to it. A write is submitted
// only on Sync, so that it runs at most once: no operation of its unit follows it, and if the client disconnects before
// Sync, nothing has run.
func (s *session) endPending(message pgwire.Message) {
	isSync := message.Type == 'S'
	if s.isWrite(s.pending) && !isSync {
		s.pending = nil
		s.reject(errWriteWithoutSync)
		if message.Type == 'H' {
			s.flush()
		}
		return
	}
	if isSync {
		s.pending.syncReceived = true
	} else {
		s.deferMessage(message)
	}
	s.submitPending()
}

// deferMessage keeps a message until the pending operation has run. If there is no memory for it, only its beginning is
// kept, and it is rejected then.
func (s *session) deferMessage(message pgwire.Message) {
	if s.conn.Reserve(len(message.Body)) {
		s.deferredBytes = len(message.Body)
	} else {
		message.Body = message.Body[:min(len(message.Body), truncatedBodyBytes)]
		message.Truncated = true
	}
	message.Body = bytes.Clone(message.Body)
	s.deferredMessage = &message
}

// truncatedBodyBytes is how much of the body of a deferred message is kept if memory is short, in bytes.
const truncatedBodyBytes = 1 << 10

// takeDeferred returns the deferred message, or nil if there is none, and releases its memory.
func (s *session) takeDeferred() *pgwire.Message {
	message := s.deferredMessage
	s.deferredMessage = nil
	s.conn.Release(s.deferredBytes)
	s.deferredBytes = 0
	return message
}

func (s *session) isWrite(o *operation) bool {
	return o.execute && s.classes.IsWrite(o.statement.comment.Class)
}

// reject answers a message with an error. Everything up to Sync is skipped.
func (s *session) reject(err *frontend.ProtocolError) {
	s.bufferedResponses = pgwire.AppendError(s.bufferedResponses, pgwire.Error{Code: err.SQLSTATE, Message: err.Reason})
	s.skipToSync = true
}

// rejectTruncated answers a message of which only the beginning was kept, because memory is short. It reports whether
// it did: a message whose body is not used is handled like any other.
func (s *session) rejectTruncated(message pgwire.Message) bool {
	switch message.Type {
	case 'Q':
		if comment, err := requestcomment.Parse(string(message.Body)); err == nil {
			s.conn.RecordCapacityRejection(newRequest(comment))
		}
		s.rejectForCapacity()
		s.sync()
	case 'P', 'B', 'D', 'E', 'C':
		s.rejectForCapacity()
	default:
		return false
	}
	return true
}

// rejectForCapacity answers a message that there is no memory to keep. Everything up to Sync is skipped.
func (s *session) rejectForCapacity() {
	s.bufferedResponses = pgwire.AppendError(s.bufferedResponses, frontend.CapacityError())
	s.skipToSync = true
}

func (s *session) flush() {
	if len(s.bufferedResponses) > 0 {
		s.conn.Respond(s.bufferedResponses)
		s.bufferedResponses = nil
	}
}

// sync ends the unit of work and drops its portals.
func (s *session) sync() {
	s.skipToSync = false
	s.dropAllPortals()
	s.bufferedResponses = pgwire.AppendReady(s.bufferedResponses)
	s.flush()
}
