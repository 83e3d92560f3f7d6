package extendedquery

import (
	"limeladder/internal/frontend"
	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
	"limeladder/internal/router"
)

func (s *session) handleDescribe(body []byte) error {
	kind, name, err := pgwire.Target(body)
	if err != nil {
		return err
	}
	described := &operation{describe: true, receivedAt: s.conn.ReceivedAt()}
	if kind == 'S' {
		described.statement = s.statements[name]
		if described.statement == nil {
			s.reject(statementUndefined(name))
			return nil
		}
	} else {
		described.portal = s.portals[name]
		if described.portal == nil {
			s.reject(portalUndefined(name))
			return nil
		}
		described.statement = described.portal.statement
	}
	s.pending = described
	return nil
}

func (s *session) handleExecute(body []byte) error {
	name, maxRows, err := pgwire.Execute(body)
	if err != nil {
		return err
	}
	target := s.portals[name]
	if target == nil {
		s.reject(portalUndefined(name))
		return nil
	}
	if target.executed {
		s.pending = nil
		s.reject(errPortalExecuted)
		return nil
	}
	target.executed = true
	if s.pending == nil {
		s.pending = &operation{statement: target.statement, portal: target}
	}
	s.pending.execute = true
	s.pending.maxRows = maxRows
	s.pending.receivedAt = s.conn.ReceivedAt()
	return nil
}

func (s *session) handleSimpleQuery(body []byte) error {
	sql, err := pgwire.Query(body)
	if err != nil {
		return err
	}
	query, empty := frontend.NewSimpleQuery(sql)
	if empty {
		s.dropAllPortals() // an empty query ends the unit of work, like any simple query
		s.flush()
		s.conn.RespondToEmptyQuery()
		return nil
	}
	comment, err := query.ParseComment()
	if err != nil {
		s.reject(invalidComment(err))
		s.sync()
		return nil
	}
	if fault := checkStatement(sql, s.classes.IsWrite(comment.Class)); fault != nil {
		s.reject(fault)
		s.sync()
		return nil
	}
	s.running = &operation{syncReceived: true}
	s.flush()
	request := newRequest(comment)
	request.ReceivedAt = s.conn.ReceivedAt()
	request.Job = simpleQueryJob{query}
	s.submit(request)
	return nil
}

// submitPending submits the pending operation. The responses to earlier messages are sent first.
func (s *session) submitPending() {
	s.flush()
	s.running = s.pending
	s.pending = nil
	request := newRequest(s.running.statement.comment)
	request.ReceivedAt = s.running.receivedAt
	request.Job = s.running
	s.submit(request)
}

// newRequest returns the request that a request comment describes.
func newRequest(comment requestcomment.Comment) router.Request {
	return router.Request{
		ClientRequestID: comment.ID,
		Class:           comment.Class,
		Group:           comment.Group,
		Session:         comment.Session,
		ClientTimeout:   comment.Timeout,
		MinPosition:     comment.MinPosition,
		Retry:           comment.Retry,
	}
}

// submit submits a request to the router, and sends an error if it is invalid.
func (s *session) submit(request router.Request) {
	if err := s.conn.Submit(request, s); err != nil {
		s.conn.MarkInvalid()
		s.bufferedResponses = pgwire.AppendError(s.bufferedResponses, frontend.InvalidRequestError(err))
		s.finishRunning(true)
		s.takeDeferred() // skipped, like everything up to Sync
	}
}

// finishRunning ends the running operation, and the unit of work if Sync followed the operation.
func (s *session) finishRunning(failed bool) {
	finished := s.running
	s.running = nil
	if failed {
		s.skipToSync = true
	} else {
		s.bufferedResponses = append(s.bufferedResponses, finished.closeResponses...)
	}
	if finished.syncReceived {
		s.sync()
	}
}

// completeRunning ends the running operation after its response, and continues with the deferred message.
func (s *session) completeRunning(failed bool) {
	s.finishRunning(failed)
	message := s.takeDeferred()
	s.conn.CompleteRequest(func() error {
		if message == nil {
			return nil
		}
		return s.HandleMessage(*message)
	})
}
