package extendedquery

import (
	"bytes"

	"limeladder/internal/pgwire"
	"limeladder/internal/requestcomment"
)

// entryOverheadBytes is the memory that a prepared statement or a portal takes in addition to what its client has sent.
const entryOverheadBytes = 256

// preparedStatement is a statement that the client has prepared.
type preparedStatement struct {
	pgwire.ParseMessage
	comment       requestcomment.Comment
	reservedBytes int
}

// portal is a prepared statement with its parameters.
type portal struct {
	statement *preparedStatement
	bindRest  []byte // body of Bind after the names
	executed  bool

	reservedBytes int
}

func (s *session) handleParse(body []byte) error {
	message, err := pgwire.Parse(body)
	if err != nil {
		return err
	}
	if message.Name != "" && s.statements[message.Name] != nil {
		s.reject(statementExists(message.Name))
		return nil
	}
	comment, err := requestcomment.Parse(message.Query)
	if err != nil {
		s.reject(invalidComment(err))
		return nil
	}
	if fault := checkStatement(message.Query, s.classes.IsWrite(comment.Class)); fault != nil {
		s.reject(fault)
		return nil
	}
	s.dropStatement(message.Name)
	if bytes := entryOverheadBytes + len(body); s.reserve(bytes) {
		s.statements[message.Name] = &preparedStatement{ParseMessage: message, comment: comment, reservedBytes: bytes}
		s.bufferedResponses = pgwire.Append(s.bufferedResponses, '1')
	}
	return nil
}

func (s *session) handleBind(body []byte) error {
	message, err := pgwire.Bind(body)
	if err != nil {
		return err
	}
	statement := s.statements[message.Statement]
	if statement == nil {
		s.reject(statementUndefined(message.Statement))
		return nil
	}
	if message.Portal != "" && s.portals[message.Portal] != nil {
		s.reject(portalExists(message.Portal))
		return nil
	}
	s.dropPortal(message.Portal)
	// A portal keeps its statement, even if that is closed.
	reserved := entryOverheadBytes + len(body) + statement.reservedBytes
	if s.reserve(reserved) {
		s.portals[message.Portal] = &portal{
			statement:     statement,
			bindRest:      bytes.Clone(message.Rest),
			reservedBytes: reserved,
		}
		s.bufferedResponses = pgwire.Append(s.bufferedResponses, '2')
	}
	return nil
}

func (s *session) handleClose(body []byte) error {
	kind, name, err := pgwire.Target(body)
	if err != nil {
		return err
	}
	if kind == 'S' {
		s.dropStatement(name)
	} else {
		s.dropPortal(name)
	}
	if s.pending != nil {
		s.pending.closeResponses = pgwire.Append(s.pending.closeResponses, '3')
	} else {
		s.bufferedResponses = pgwire.Append(s.bufferedResponses, '3')
	}
	return nil
}

// reserve counts the bytes of a statement or portal, and rejects the message if a limit is reached: the number of
// statements and portals of a client is limited, and so is the memory for those of all clients.
func (s *session) reserve(bytes int) bool {
	count := len(s.statements) + len(s.portals)
	if count >= s.conn.Limits().Frontend.PreparedStatements || !s.conn.Reserve(bytes) {
		s.reject(errPreparedLimit)
		return false
	}
	return true
}

func (s *session) dropStatement(name string) {
	if statement := s.statements[name]; statement != nil {
		s.conn.Release(statement.reservedBytes)
		delete(s.statements, name)
	}
}

func (s *session) dropPortal(name string) {
	if dropped := s.portals[name]; dropped != nil {
		s.conn.Release(dropped.reservedBytes)
		delete(s.portals, name)
	}
}

func (s *session) dropAllPortals() {
	for name := range s.portals {
		s.dropPortal(name)
	}
}
