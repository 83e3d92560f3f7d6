package pgwire

// SQLSTATE codes that the program sends or receives.
const (
	TooManyConnections   = "53300"
	CannotConnectNow     = "57P03"
	ReadOnly             = "25006"
	SnapshotTooOld       = "72000"
	InternalError        = "XX000"
	ProtocolViolation    = "08P01"
	NotSupported         = "0A000"
	UnknownOutcome       = "08007"
	SyntaxError          = "42601"
	UndefinedStatement   = "26000"
	UndefinedPortal      = "34000"
	ProgramLimitExceeded = "54000"
)
