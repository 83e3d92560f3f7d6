package limits

import "time"

const (
	kib = 1 << 10
	mib = 1 << 20

	adminConnections = 16
	// reservedDescriptors is the number of descriptors reserved for the Go runtime, pollers, listeners, discovery and
	// syslog.
	reservedDescriptors = 32

	// maxStatementBytes and maxRowBytes allow for values of several hundred KiB in statements and responses, and for
	// single values of up to 4 MiB. Several of the latter do not fit into memory at once, so rows above the stream
	// threshold are streamed rather than buffered.
	maxStatementBytes = 1 * mib
	maxRowBytes       = 4*mib + 64*kib

	// shutdownMargin is the time from the last request deadline to the exit of the process.
	shutdownMargin = 600 * time.Millisecond
	// guaranteedShutdown is the minimum time that the platform lets a process run after SIGTERM.
	guaranteedShutdown = 3 * time.Second
)

// New computes the limits from the memory in MiB and the number of file descriptors that the platform grants, and from
// the settings: the timeout for connecting to an endpoint, the time after which endpoints close an idle connection, and
// the longest client timeout of all classes.
func New(memoryMiB, descriptors int, connectTimeout, connectionIdle, longestRequest time.Duration) Limits {
	return Limits{
		Memory:     memory(memoryMiB),
		Transport:  transport(memoryMiB),
		Frontend:   frontend(memoryMiB, descriptors),
		Router:     router(memoryMiB, descriptors),
		Backend:    backend(memoryMiB, descriptors, connectTimeout, connectionIdle),
		Discovery:  discovery(connectTimeout),
		AdminAPI:   AdminAPI{Connections: adminConnections, RequestBytes: 16 * kib, RequestTimeout: 2 * time.Second},
		Shutdown:   shutdown(longestRequest),
		HotRestart: HotRestart{PollInterval: 100 * time.Millisecond},
		Audit:      audit(memoryMiB),
		Syslog:     syslog(memoryMiB),
		Store:      Store{QueuedWrites: 64, LogEntries: 1024, LogBytes: memoryMiB * mib / 32},
	}
}

// connectionDescriptors returns the number of descriptors for client and backend connections. It leaves out those of
// connections that the router has closed and whose peer has yet to close its side (transport.MaxLingering).
func connectionDescriptors(descriptors int) int {
	lingering := max(1, descriptors/32)
	return descriptors - reservedDescriptors - adminConnections - lingering
}

// largestMessage returns the maximum length of a buffered message in bytes.
func largestMessage(memoryMiB int) int {
	return min(maxStatementBytes, memoryMiB*mib/64)
}

func memory(memoryMiB int) Memory {
	return Memory{
		// The rest is for memory outside the garbage collector's control, and for garbage that it has not collected yet.
		TargetBytes: int64(memoryMiB) * mib * 3 / 5,
		// The live heap is a few MiB, and responses have several hundred KiB each. With Go's default of 100 the garbage
		// collector would run after every few responses, which is expensive with a fraction of a core.
		GCPercent: 400,
	}
}

func transport(memoryMiB int) Transport {
	return Transport{
		InboxBytes:      64 * kib,
		InboxTotalBytes: memoryMiB * mib / 16,
		LeastInboxBytes: 4 * kib,
	}
}

func frontend(memoryMiB, descriptors int) Frontend {
	free := connectionDescriptors(descriptors)
	connections := free * 7 / 10
	bufferedBytes := memoryMiB * mib / 8
	return Frontend{
		Connections: connections,
		// Clients use at most a third of the descriptors for their requests, including clients that send one request and
		// stay connected. Once such connections use up that third, other clients can't connect, even if the router has
		// descriptors left. Idle connections are therefore closed well before that.
		SoftLimit:          descriptors / 8,
		HardLimit:          descriptors / 5,
		ConcurrentRequests: max(4, free/16),
		PreparedStatements: 1024,

		TurnMessages:   16,
		TurnBytes:      64 * kib,
		StartupBytes:   10_000,
		MessageBytes:   largestMessage(memoryMiB),
		PipelinedBytes: max(64*kib, memoryMiB*mib/128),
		// Even if all connections keep as much as this, they take no more than half of BufferedBytes.
		ReservedInputBytes: min(16*kib, bufferedBytes/2/max(1, connections)),
		BufferedBytes:      bufferedBytes,
		UnreadBytes:        largestMessage(memoryMiB) + 256*kib,
		HighWaterBytes:     128 * kib,
		StreamedBytes:      memoryMiB * mib / 16,
		MinStreamedBytes:   8 * kib,
		CollectedBytes:     max(memoryMiB*mib/8, maxRowBytes), // the longest value has to fit
		LowWaterBytes:      32 * kib,
		SendBufferBytes:    64 * kib,

		// A client that can't be served must get an error or a closed connection within 3 s of connecting. The header of a
		// message may take 2 s to arrive.
		StartupTimeout:        2300 * time.Millisecond,
		FirstCommandTimeout:   2100 * time.Millisecond,
		PartialMessageTimeout: 2300 * time.Millisecond,
		// A request whose last byte waits unread must be answered at most half a second after its deadline.
		MemoryWaitTimeout: 250 * time.Millisecond,
		MessageTimeout:    15 * time.Second,
		UnitIdleTimeout:   10 * time.Second,
		UnreadTimeout:     5 * time.Second,
		UnstartedIdle:     100 * time.Millisecond,
		HardLimitIdle:     100 * time.Millisecond,
		UnusedIdle:        500 * time.Millisecond,
		SoftLimitIdle:     2 * time.Second,
		SweepInterval:     50 * time.Millisecond,
		FlushTimeout:      2 * time.Second,
		DrainedIdle:       time.Second,
	}
}

// backendConnections returns the number of connections to all endpoints, given that of client and backend connections.
func backendConnections(free int) int { return free * 3 / 10 }

// connectionsPerEndpoint returns the number of connections to one endpoint.
func connectionsPerEndpoint(free int) int { return max(8, free/8) }

func router(memoryMiB, descriptors int) Router {
	free := connectionDescriptors(descriptors)
	return Router{
		InFlightRequests: 4 * free,
		// Half of the connections to endpoints are left to short responses.
		StreamedResponses:   max(1, backendConnections(free)/2),
		StreamedPerEndpoint: connectionsPerEndpoint(free) / 2,
		PendingWrites:       4 * free,
		PendingWriteBytes:   memoryMiB * mib / 16,
		LogTextBytes:        512,
		DeadlineMargin:      10 * time.Millisecond,
		DefaultRetryAfter:   time.Second,
		ReportInterval:      10 * time.Second,
	}
}

func backend(memoryMiB, descriptors int, connectTimeout, connectionIdle time.Duration) Backend {
	free := connectionDescriptors(descriptors)
	return Backend{
		Connections:            backendConnections(free),
		ConnectionsPerEndpoint: connectionsPerEndpoint(free),
		IdlePerEndpoint:        max(4, free/48),

		IncomingBytes:        memoryMiB * mib / 8,
		UnreservedBytes:      8 * kib,
		ResponseBytes:        largestMessage(memoryMiB),
		RowBytes:             maxRowBytes,
		StreamThresholdBytes: 64 * kib,
		StreamStartBytes:     min(32*kib, max(8*kib, memoryMiB*mib/4096)),

		ConnectTimeout:     connectTimeout,
		RedialAfter:        connectTimeout * 2 / 5,
		HealthCheckTimeout: connectTimeout,
		ReuseDelay:         2 * time.Millisecond,
		StallTimeout:       connectTimeout,
		StreamStallTimeout: 10 * time.Second,
		// Well below the endpoint's own idle timeout, so that the endpoint does not close a connection just as a request is
		// sent on it.
		IdleTimeout:   connectionIdle * 3 / 4,
		SweepInterval: time.Second,
	}
}

func discovery(connectTimeout time.Duration) Discovery {
	// Discovery rejects a call that has waited for 2 s in its queue, and the response needs time to arrive.
	const queueTimeout = 2 * time.Second
	return Discovery{
		KnownEndpoints: 10_000,
		ListBytes:      1 * mib,
		HeaderBytes:    16 * kib,

		LongPollTimeout: 5 * time.Second,
		CallTimeout:     queueTimeout + connectTimeout,
		// Changes that a watch has to deliver count as notified when its wait has been over for twice this time.
		WatchSlack: time.Second,
		// Discovery treats a call as the continuation of a watch if it arrives within 200 ms.
		WatchInterval:    50 * time.Millisecond,
		FirstListTimeout: time.Second,
	}
}

func shutdown(longestRequest time.Duration) Shutdown {
	return Shutdown{
		AcceptTime:     500 * time.Millisecond,
		GuaranteedTime: min(longestRequest, guaranteedShutdown) + shutdownMargin,
		MaxTime:        longestRequest + shutdownMargin,
		DeliveryTime:   time.Minute, // the platform ends a process that it does not wait for
	}
}

func audit(memoryMiB int) Audit {
	const meanRecordBytes = 512
	queueBytes := memoryMiB * mib / 32
	return Audit{
		QueueRecords:       queueBytes / meanRecordBytes,
		QueueBytes:         queueBytes,
		ChainHeadMessages:  256,
		ChainHeadInterval:  10 * time.Second,
		QueuePollInterval:  10 * time.Millisecond,
		LossReportInterval: 250 * time.Millisecond,
	}
}

func syslog(memoryMiB int) Syslog {
	return Syslog{
		WindowBytes:       memoryMiB * mib / 64,
		SpoolSegmentBytes: 256 * kib,
		SpoolBytes:        64 * mib,
		ConnectTimeout:    3 * time.Second,
		StallTimeout:      5 * time.Second,
		MinBackoff:        100 * time.Millisecond,
		MaxBackoff:        10 * time.Second,
		FailbackInterval:  time.Minute,
		FlushTimeout:      time.Second,
	}
}
