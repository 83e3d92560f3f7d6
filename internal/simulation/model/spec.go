package model

import "time"

// EndpointSpec describes the capacity and the failure behavior of an endpoint.
type EndpointSpec struct {
	Cores         int
	Speed         float64 // seconds of work that a core does per second
	Slots         int     // maximum number of running statements
	QueueCapacity int     // maximum number of statements that wait for a slot

	// Each statement per core above the threshold slows all statements down by this share.
	ContentionLoss      float64
	ContentionThreshold float64 // statements per core

	SlowStartShare  float64       // share of its full capacity that an endpoint has right after its start
	SlowStartWindow time.Duration // from a start until the endpoint is warm, unless SlowStartByWork
	SlowStartByWork bool          // warm after as much work as a warm endpoint does in SlowStartWindow

	OverloadMultiple float64       // multiple of its present capacity above which an endpoint is overloaded
	OverloadWindow   time.Duration // the endpoint fails once overloaded for this long; 0 = never
	RestartDelay     time.Duration // from a failure under overload to the restart; 0 = it stays down

	MaxConnections  int           // 0 = unlimited
	ConnectionCost  float64       // share of the capacity that MaxConnections open connections cost
	HandshakeWork   time.Duration // work of a new connection
	HealthCheckWork time.Duration // work of a load report
	ReportInterval  time.Duration // a load report is reused until it is this old
	ReportNoise     float64       // standard deviation of the reported utilization, as a share of it
	ErrorShare      float64       // share of the statements that end in an error
	CancelsRunning  bool          // a cancel stops running statements too, not only queued ones
	DropsExpired    bool          // a queued statement isn't run after its deadline
}

// Replication holds the delays of replication and of changes of primary. A pair holds the bounds between which a delay
// is drawn.
type Replication struct {
	ShipDelay       time.Duration    // from a commit to its arrival at a replica
	ApplyTime       time.Duration    // mean time that a replica takes to apply a commit
	DetectionDelay  [2]time.Duration // from the loss of a primary until it is detected
	ElectionDelay   [2]time.Duration // from the detection to the election of a successor
	SwitchoverDelay [2]time.Duration // from the start of a primary's drain to the election of a successor
	ResyncDelay     time.Duration    // from a restart until the replica starts to catch up
}
