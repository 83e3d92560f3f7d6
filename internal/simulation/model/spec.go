package model

import "time"

// EndpointSpec describes the endpoints of one kind.
type EndpointSpec struct {
	Cores         int
	Speed         float64 // seconds of work that a core does in a second
	Slots         int     // statements that run at the same time
	QueueCapacity int     // statements that wait for a slot

	// Each statement a core above the threshold slows all of them down by this share.
	ContentionLoss      float64
	ContentionThreshold float64 // statements a core

	SlowStartShare  float64       // of its capacity that an endpoint has right after its start
	SlowStartWindow time.Duration // it is warm after this time,
	SlowStartByWork bool          // or after as much work as a warm endpoint does in this time

	OverloadMultiple float64       // of its present capacity, above which an endpoint is overloaded
	OverloadWindow   time.Duration // it fails once overloaded for this long; 0 = never
	RestartDelay     time.Duration // from such a failure to its restart; 0 = it stays down

	MaxConnections  int           // 0 = unlimited
	ConnectionCost  float64       // share of the capacity that all connections together cost
	HandshakeWork   time.Duration // work that a new connection costs
	HealthCheckWork time.Duration // work that a load report costs
	ReportInterval  time.Duration // a load report is made anew when it is this old
	ReportNoise     float64       // standard deviation of the reported utilization, as a share of it
	ErrorShare      float64       // of the statements, that end in an error
	CancelsRunning  bool          // a cancel stops running statements too, not only queued ones
	DropsExpired    bool          // a queued statement isn't run after its deadline
}

// Replication says how the replicas of a group follow their primary, and how long changes of primary take. A pair is
// the bounds between which a time is drawn.
type Replication struct {
	ShipDelay       time.Duration    // from a commit to its arrival at a replica
	ApplyTime       time.Duration    // mean time that a replica takes to apply a commit
	DetectionDelay  [2]time.Duration // until the loss of a primary is noticed
	ElectionDelay   [2]time.Duration // from then until there is a successor
	SwitchoverDelay [2]time.Duration // from the drain of a primary until there is a successor
	ResyncDelay     time.Duration    // from a restart until the replica begins to catch up
}
