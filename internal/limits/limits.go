package limits

import "time"

// Limits bounds the resources that the program uses and the time that it waits. It has a field for each part of the
// program that enforces limits.
type Limits struct {
	Memory     Memory
	Transport  Transport
	Frontend   Frontend
	Router     Router
	Backend    Backend
	Discovery  Discovery
	AdminAPI   AdminAPI
	Shutdown   Shutdown
	HotRestart HotRestart
	Audit      Audit
	Syslog     Syslog
	Store      Store
}

// Memory configures the Go runtime.
type Memory struct {
	TargetBytes int64 // soft memory limit, as for debug.SetMemoryLimit
	GCPercent   int   // garbage collection target percentage, as for debug.SetGCPercent
}

// Transport bounds every connection, whether to a client, an endpoint or an operator.
type Transport struct {
	InboxBytes      int // received but unprocessed bytes of a connection; above this, reading from it pauses
	InboxTotalBytes int // the same of all connections together: the more are in use, the less each may have
	LeastInboxBytes int // unprocessed bytes that each connection may have in any case
}

// Frontend bounds client connections.
type Frontend struct {
	Connections        int // open connections
	SoftLimit          int // with more connections than this, idle ones are closed after SoftLimitIdle
	HardLimit          int // with more connections than this, idle ones are closed after HardLimitIdle
	ConcurrentRequests int // requests in flight on one connection
	PreparedStatements int // prepared statements and portals of one connection

	TurnMessages       int // messages of one connection that are handled before other connections have their turn
	TurnBytes          int // total length of these messages, not counting the last one
	StartupBytes       int // length of a startup message
	MessageBytes       int // length of any other message
	PipelinedBytes     int // bytes that a client may send ahead while its request is in flight
	ReservedInputBytes int // unparsed input that a connection may keep even while BufferedBytes are in use
	BufferedBytes      int // statements (waiting, prepared or running) and responses of all connections together
	UnreadBytes        int // response bytes that one client may leave unread
	HighWaterBytes     int // with more unread bytes, a streamed response and reading from the client pause
	StreamedBytes      int // unsent bytes of all streamed responses together
	MinStreamedBytes   int // unsent bytes that each streamed response may have in any case
	CollectedBytes     int // long responses of all connections that are kept until they are complete
	LowWaterBytes      int // with no more unread bytes than this, both resume
	SendBufferBytes    int // size of a connection's send buffer in the operating system

	StartupTimeout        time.Duration // until the startup message is complete
	FirstCommandTimeout   time.Duration // from accepting a connection to its first command, if startup is complete
	PartialMessageTimeout time.Duration // maximum gap in the arrival of a message
	MemoryWaitTimeout     time.Duration // how long an incomplete message waits for memory before it is rejected
	MessageTimeout        time.Duration // from the beginning of a message to its end
	UnitIdleTimeout       time.Duration // maximum time that a client leaves a unit of work unfinished without activity
	UnreadTimeout         time.Duration // until a client reads some of its unread responses
	UnstartedIdle         time.Duration // minimum idle time to evict an unstarted connection, or after an invalid message
	HardLimitIdle         time.Duration // above HardLimit, minimum idle time to evict a connection without a request
	UnusedIdle            time.Duration // minimum idle time to evict a started connection that never sent a command
	SoftLimitIdle         time.Duration // above SoftLimit, minimum idle time to evict a connection without a request
	SweepInterval         time.Duration // minimum interval of the checks of all connections
	FlushTimeout          time.Duration // while closing a connection, maximum time that the peer reads nothing more
	DrainedIdle           time.Duration // while the router is draining, a connection that is idle for this long is closed
}

// Router bounds the requests in flight.
type Router struct {
	InFlightRequests    int           // admitted requests that are unanswered or have an attempt in flight
	StreamedResponses   int           // responses that are being forwarded while they arrive
	StreamedPerEndpoint int           // the same, of one endpoint
	PendingWrites       int           // writes queued during a failover
	PendingWriteBytes   int           // total size of their statements
	LogTextBytes        int           // length of a log text of the decision module; longer texts are cut
	DeadlineMargin      time.Duration // the final response is sent this long before the client timeout
	DefaultRetryAfter   time.Duration // Retry-After of a rejection for which the decision module gives none
	ReportInterval      time.Duration // interval of the log lines with the counters
}

// Backend bounds the connections to endpoints.
type Backend struct {
	Connections            int // connections to all endpoints, including those being opened
	ConnectionsPerEndpoint int // connections to one endpoint, including those being opened
	IdlePerEndpoint        int // idle connections kept open to one endpoint

	IncomingBytes        int // memory for responses that are being received, of all connections together
	UnreservedBytes      int // memory that one of them may take without reserving it
	ResponseBytes        int // length of a response that is buffered until it is complete
	RowBytes             int // length of a streamed row
	StreamThresholdBytes int // a longer row is streamed rather than buffered
	StreamStartBytes     int // streaming of a row begins once this much of it has arrived

	ConnectTimeout     time.Duration // until an endpoint has accepted the startup of a connection
	RedialAfter        time.Duration // a second connection is dialed if the first is not established by then
	HealthCheckTimeout time.Duration // until the response to a health check
	ReuseDelay         time.Duration // pause of a connection after a response, before the next attempt
	StallTimeout       time.Duration // maximum gap in the arrival of a message or a buffered response
	StreamStallTimeout time.Duration // maximum gap in the arrival of a streamed response
	IdleTimeout        time.Duration // a connection that has been idle for longer is not used
	SweepInterval      time.Duration // interval of the checks of idle connections
}

// Discovery bounds the calls to discovery and their responses.
type Discovery struct {
	KnownEndpoints int // endpoints that are remembered as having been listed
	ListBytes      int // length of a response body
	HeaderBytes    int // length of a response header

	LongPollTimeout  time.Duration // how long a watch asks discovery to wait for a change
	CallTimeout      time.Duration // timeout of a call other than a watch
	WatchSlack       time.Duration // a watch times out this long after LongPollTimeout
	WatchInterval    time.Duration // delay before the next call if a watch returned no change without waiting
	MaxRetryInterval time.Duration // maximum delay before the watch retries a failed call; 0 = the watch does not retry
	FirstListTimeout time.Duration // the router becomes ready without a list after this time
	ResumeFromKnown  bool          // start from the known list, and ask only for changes to it
}

// AdminAPI bounds the HTTP requests of operators.
type AdminAPI struct {
	Connections    int           // open connections
	RequestBytes   int           // length of a request, including its body
	RequestTimeout time.Duration // until a request is complete
}

// Shutdown is the schedule of a graceful shutdown. All times count from SIGTERM.
type Shutdown struct {
	AcceptTime     time.Duration // until connections are no longer accepted
	GuaranteedTime time.Duration // guaranteed by the platform; requests received after AcceptTime are answered by then
	MaxTime        time.Duration // until the program exits, unless responses that have begun are still being delivered
	DeliveryTime   time.Duration // after MaxTime: until it exits in any case
}

// HotRestart bounds the communication with the other process of the same router.
type HotRestart struct {
	PollInterval time.Duration // interval of the checks of the shared folder
}

// Audit bounds the queue of records that are not yet encoded as messages.
type Audit struct {
	QueueRecords       int           // records in the queue
	QueueBytes         int           // total size of these records
	ChainHeadMessages  int           // messages between two chain heads
	ChainHeadInterval  time.Duration // maximum time between two chain heads
	QueuePollInterval  time.Duration // interval at which the queue is emptied
	LossReportInterval time.Duration // interval of the reports of dropped records
}

// Syslog bounds the delivery of messages to collectors.
type Syslog struct {
	WindowBytes       int           // messages that wait in memory or are unacknowledged
	SpoolSegmentBytes int           // size of a spool segment
	SpoolBytes        int           // size of the whole spool
	ConnectTimeout    time.Duration // until a connection to a collector is established
	StallTimeout      time.Duration // until a collector accepts more data
	MinBackoff        time.Duration // backoff after the first failure
	MaxBackoff        time.Duration // upper bound of the backoff after repeated failures
	FailbackInterval  time.Duration // interval of the attempts to return to a preferred collector
	FlushTimeout      time.Duration // maximum time that the program waits for collectors at exit
}

// Store bounds the replicated store.
type Store struct {
	QueuedWrites int // writes that wait to be committed
	LogEntries   int // log entries before a snapshot replaces them
	LogBytes     int // total length of the log entries before a snapshot replaces them
}
