package limits

import "time"

const (
	kib = 1 << 10
	mib = 1 << 20

	operatorConnections = 16
	// reservedDescriptors belong to the runtime, pollers, listeners, discovery and syslog.
	reservedDescriptors = 32

	// maxStatementBytes and maxRowBytes: values of several hundred KiB come in responses and in statements, single values
	// have up to 4 MiB. Those are more than memory holds at once, so beyond the stream threshold they are not kept.
	maxStatementBytes = 1 * mib
	maxRowBytes       = 4*mib + 64*kib

	// shutdownMargin is kept between the last deadline and the end of the process.
	shutdownMargin = 600 * time.Millisecond
	// guaranteedShutdown is the shortest time that the platform lets a process run after SIGTERM.
	guaranteedShutdown = 3 * time.Second
)

// New computes the limits from what the platform grants (memory in MiB, file descriptors) and what the settings say:
// the time in which a connection to an endpoint comes up, the time after which an idle one is dropped by its endpoint,
// and the longest time that a client waits for an answer.
func New(memoryMiB, descriptors int, connectTimeout, connectionIdle, longestRequest time.Duration) Limits {
	return Limits{
		Memory:     memory(memoryMiB),
		Transport:  Transport{InboxBytes: 64 * kib},
		Frontend:   frontend(memoryMiB, descriptors),
		Router:     router(memoryMiB, descriptors),
		Backend:    backend(memoryMiB, descriptors, connectTimeout, connectionIdle),
		Discovery:  discovery(connectTimeout),
		AdminAPI:   AdminAPI{Connections: operatorConnections, CallBytes: 16 * kib, CallTimeout: 2 * time.Second},
		Shutdown:   shutdown(longestRequest),
		HotRestart: HotRestart{PollInterval: 100 * time.Millisecond},
		Audit:      audit(memoryMiB),
		Syslog:     syslog(memoryMiB),
		Store:      Store{QueuedWrites: 64, LogEntries: 1024},
	}
}

// connectionDescriptors is what is left of the descriptors for connections of clients and to endpoints. Connections
// that are closed and wait for their peer to close its side (transport.Lingering) are counted apart.
func connectionDescriptors(descriptors int) int {
	lingering := max(1, descriptors/32)
	return descriptors - reservedDescriptors - operatorConnections - lingering
}

// largestMessage is the most that one buffered message may have, in bytes.
func largestMessage(memoryMiB int) int {
	return min(maxStatementBytes, memoryMiB*mib/64)
}

func memory(memoryMiB int) Memory {
	return Memory{
		// The rest is for what the collector does not see, and for its being late.
		TargetBytes: int64(memoryMiB) * mib * 3 / 5,
		// A few MiB are in use while responses of several hundred KiB pass: at the usual 100 the collector would run at every
		// few of them, on a part of a core.
		GCPercent: 400,
	}
}

func frontend(memoryMiB, descriptors int) Frontend {
	free := connectionDescriptors(descriptors)
	return Frontend{
		Connections: free * 7 / 10,
		// Clients hold a third of the descriptors at most for their requests, and those that ask once and stay connected hold
		// theirs too: with a third in use, ordinary clients have none left to ask with, whatever the router has.
		SoftLimit:          descriptors / 8,
		HardLimit:          descriptors / 5,
		ConcurrentRequests: max(4, free/16),
		PreparedStatements: 1024,

		StartupBytes:    10_000,
		MessageBytes:    largestMessage(memoryMiB),
		PipelinedBytes:  64 * kib,
		BufferedBytes:   memoryMiB * mib / 8,
		UnreadBytes:     largestMessage(memoryMiB) + 256*kib,
		HighWaterBytes:  128 * kib,
		LowWaterBytes:   32 * kib,
		SendBufferBytes: 64 * kib,

		// A client that can't be served is owed an error or a close within 3 s of connecting. A message head may take 2 s.
		StartupTimeout:        2300 * time.Millisecond,
		FirstCommandTimeout:   2100 * time.Millisecond,
		PartialMessageTimeout: 2300 * time.Millisecond,
		MessageTimeout:        15 * time.Second,
		UnitTimeout:           10 * time.Second,
		UnreadTimeout:         5 * time.Second,
		UnstartedIdle:         100 * time.Millisecond,
		HardLimitIdle:         100 * time.Millisecond,
		UnusedIdle:            500 * time.Millisecond,
		SoftLimitIdle:         2 * time.Second,
		SweepInterval:         50 * time.Millisecond,
		FlushTimeout:          2 * time.Second,
		DrainedIdle:           time.Second,
	}
}

func router(memoryMiB, descriptors int) Router {
	free := connectionDescriptors(descriptors)
	return Router{
		InFlightRequests:  4 * free,
		PendingWrites:     4 * free,
		PendingWriteBytes: memoryMiB * mib / 16,
		LogTextBytes:      512,
		DeadlineMargin:    10 * time.Millisecond,
		DefaultRetryAfter: time.Second,
		ReportInterval:    10 * time.Second,
	}
}

func backend(memoryMiB, descriptors int, connectTimeout, connectionIdle time.Duration) Backend {
	free := connectionDescriptors(descriptors)
	return Backend{
		Connections:            free * 3 / 10,
		ConnectionsPerEndpoint: max(8, free/8),
		IdlePerEndpoint:        max(4, free/48),

		ResponseBytes:        largestMessage(memoryMiB),
		RowBytes:             maxRowBytes,
		StreamThresholdBytes: 64 * kib,
		StreamStartBytes:     32 * kib,

		ConnectTimeout:     connectTimeout,
		RedialAfter:        connectTimeout * 2 / 5,
		HealthCheckTimeout: connectTimeout,
		ReuseDelay:         2 * time.Millisecond,
		StallTimeout:       connectTimeout,
		StreamStallTimeout: 10 * time.Second,
		// Well inside the time after which the endpoint drops it, so that no request crosses the end of an idle connection.
		IdleTimeout:   connectionIdle * 3 / 4,
		SweepInterval: time.Second,
	}
}

func discovery(connectTimeout time.Duration) Discovery {
	// Discovery drops a call that has waited 2 s for its turn, and the response that says so needs its time on the way.
	const queueTimeout = 2 * time.Second
	return Discovery{
		KnownEndpoints: 10_000,
		ListBytes:      1 * mib,
		HeaderBytes:    16 * kib,

		LongPollTimeout: 5 * time.Second,
		CallTimeout:     queueTimeout + connectTimeout,
		// What a watch had to bring counts as notified by twice this time after its wait.
		WatchSlack: time.Second,
		// Discovery takes a call for the same watch if it comes within 200 ms.
		WatchInterval:    50 * time.Millisecond,
		FirstListTimeout: time.Second,
	}
}

func shutdown(longestRequest time.Duration) Shutdown {
	return Shutdown{
		AcceptTime:     500 * time.Millisecond,
		GuaranteedTime: min(longestRequest, guaranteedShutdown) + shutdownMargin,
		MaxTime:        longestRequest + shutdownMargin,
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
		GatherInterval:     10 * time.Millisecond,
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
