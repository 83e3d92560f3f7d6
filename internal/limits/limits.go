package limits

import "time"

// Limits bounds what the program holds and how long it waits, by the part of the program that heeds it.
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

// Memory is what the Go runtime is told.
type Memory struct {
	TargetBytes int64 // the runtime aims to stay under this
	GCPercent   int   // it collects once garbage is this many hundredths of what is in use
}

// Transport bounds every connection, whoever its peer is.
type Transport struct {
	InboxBytes int // received and not processed yet; beyond it the connection is not read
}

// Frontend bounds the connections of clients.
type Frontend struct {
	Connections        int // open at a time
	SoftLimit          int // with more connections than this, idle ones are closed after SoftLimitIdle
	HardLimit          int // with more connections than this, idle ones are closed after HardLimitIdle
	ConcurrentRequests int // of one connection
	PreparedStatements int // and portals, of one connection

	StartupBytes    int // of a startup message
	MessageBytes    int // of any other message
	PipelinedBytes  int // that a client may send ahead while its request is in flight
	BufferedBytes   int // of waiting, prepared or running statements and of responses, of all connections together
	UnreadBytes     int // of responses that one client may leave unread
	HighWaterBytes  int // with this much unread, a streamed response pauses and the client is not read
	LowWaterBytes   int // with no more than this unread, both go on
	SendBufferBytes int // of the system's send buffer of a connection

	StartupTimeout        time.Duration // until the startup message has come
	FirstCommandTimeout   time.Duration // from the startup message to the first command
	PartialMessageTimeout time.Duration // until more comes of a message that has begun
	MessageTimeout        time.Duration // until a message that has begun is complete
	UnitTimeout           time.Duration // until a unit of work that has begun goes on
	UnreadTimeout         time.Duration // until a client reads some of what it was sent
	UnstartedIdle         time.Duration // a connection without startup, or whose last message was invalid, may be evicted
	HardLimitIdle         time.Duration // above HardLimit, a connection without a request may be evicted
	UnusedIdle            time.Duration // a started connection that never sent a command may be evicted
	SoftLimitIdle         time.Duration // above SoftLimit, a connection without a request may be evicted
	SweepInterval         time.Duration // between two checks of all connections
	FlushTimeout          time.Duration // until a connection that is being closed takes more of its last response
	DrainedIdle           time.Duration // while the router is drained, a connection idle for this long is closed
}

// Router bounds the requests in flight.
type Router struct {
	InFlightRequests  int           // owed an answer
	PendingWrites     int           // that wait through a failover
	PendingWriteBytes int           // of their statements
	LogTextBytes      int           // of a log line of the decision module
	DeadlineMargin    time.Duration // the final answer is sent this long before the client gives up
	DefaultRetryAfter time.Duration // told with a rejection for which the decision module gives no time
	ReportInterval    time.Duration // between two log lines of the counters
}

// Backend bounds the connections to the endpoints.
type Backend struct {
	Connections            int // those being opened included
	ConnectionsPerEndpoint int // the same for one endpoint
	IdlePerEndpoint        int // idle connections kept to one endpoint

	ResponseBytes        int // of a response that is buffered until it is complete
	RowBytes             int // of one row that is streamed
	StreamThresholdBytes int // a longer row is streamed rather than buffered
	StreamStartBytes     int // streaming begins once so much of the row has come

	ConnectTimeout     time.Duration // until an endpoint has accepted the startup of a connection
	RedialAfter        time.Duration // a connection that is not up by then is dialed once more
	HealthCheckTimeout time.Duration // until a health check is answered
	ReuseDelay         time.Duration // after a response a connection carries nothing for this long
	StallTimeout       time.Duration // until a message that has begun to come goes on
	StreamStallTimeout time.Duration // until a response that is being streamed goes on
	IdleTimeout        time.Duration // a connection that was idle for longer is not used
	SweepInterval      time.Duration // between two checks of the idle connections
}

// Discovery bounds the calls to discovery and what they bring.
type Discovery struct {
	KnownEndpoints int // that were ever listed
	ListBytes      int // of the body of a response
	HeaderBytes    int // of its header

	LongPollTimeout  time.Duration // what a watch asks discovery to wait
	CallTimeout      time.Duration // until a call that does not wait has failed
	WatchSlack       time.Duration // a watch has failed this long after its wait
	WatchInterval    time.Duration // from a call that brought nothing, and did not wait, to the next
	MaxRetryInterval time.Duration // after a failed call where the watch retries by itself; 0 = it does not
	FirstListTimeout time.Duration // the router is ready without a list after this
	ResumeFromKnown  bool          // the known list is the start: only what changed since is asked for
}

// AdminAPI bounds the calls of operators.
type AdminAPI struct {
	Connections int
	CallBytes   int
	CallTimeout time.Duration // until a call has come completely
}

// Shutdown is the time after SIGTERM.
type Shutdown struct {
	AcceptTime     time.Duration // connections are still accepted
	GuaranteedTime time.Duration // the platform grants at least this long; late requests are answered by then
	MaxTime        time.Duration // the program exits
}

// HotRestart bounds the exchange with the other process of the same router.
type HotRestart struct {
	PollInterval time.Duration // between two looks at the shared folder
}

// Audit bounds the records that wait to become messages.
type Audit struct {
	QueueRecords       int
	QueueBytes         int
	ChainHeadMessages  int           // from one head of the chain to the next
	ChainHeadInterval  time.Duration // the same as a time
	GatherInterval     time.Duration // between two looks at the queue
	LossReportInterval time.Duration // between two reports of dropped records
}

// Syslog bounds the delivery to collectors.
type Syslog struct {
	WindowBytes       int           // of messages that wait in memory, or are not acknowledged
	SpoolSegmentBytes int           // of one segment of the spool
	SpoolBytes        int           // of all of it
	ConnectTimeout    time.Duration // until a collector is connected
	StallTimeout      time.Duration // until it takes more
	MinBackoff        time.Duration // after the first failure
	MaxBackoff        time.Duration // after repeated failures
	FailbackInterval  time.Duration // between two attempts to return to a preferred collector
	FlushTimeout      time.Duration // the exit of the program waits for collectors this long
}

// Store bounds the replicated store.
type Store struct {
	QueuedWrites int
	LogEntries   int // kept before a snapshot takes their place
}
