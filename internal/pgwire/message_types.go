package pgwire

// Message is one message. Type is 0 for a startup message. Body is valid until the next call of Reader.Feed.
type Message struct {
	Type      byte
	Body      []byte
	Truncated bool // Body is only the beginning of the message: Reader.Truncate has discarded the rest
}

// Types of the messages that a client sends.
const (
	typeQuery   = 'Q'
	typeParse   = 'P'
	typeBind    = 'B'
	typeExecute = 'E'
)

// Types of the messages that a server sends.
const (
	typeAuthentication       = 'R'
	typeParameterStatus      = 'S'
	typeBackendKeyData       = 'K'
	typeReadyForQuery        = 'Z'
	typeErrorResponse        = 'E'
	typeRowDescription       = 'T'
	typeDataRow              = 'D'
	typeCommandComplete      = 'C'
	typeParameterDescription = 't'
	typeParseComplete        = '1'
	typeBindComplete         = '2'
	typeCloseComplete        = '3'
	typeNoData               = 'n'
	typePortalSuspended      = 's'
	typeEmptyQueryResponse   = 'I'
)

// Fields of an ErrorResponse.
const (
	fieldSeverity            = 'S'
	fieldSeverityUnlocalized = 'V' // the severity again, never localized
	fieldSQLState            = 'C'
	fieldMessage             = 'M'
	fieldDetail              = 'D'
)

// Kinds of objects in Describe and Close.
const (
	kindStatement = 'S'
	kindPortal    = 'P'
)

// statusIdle is the transaction status of ReadyForQuery outside a transaction.
const statusIdle = 'I'
