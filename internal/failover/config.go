package failover

import "time"

// Config configures a Tracker.
type Config struct {
	Instances int              // number of routers that share the replica groups
	Classes   map[string]Class // the classes whose requests are queued during a failover

	MaxPending      int           // requests queued at the same time, over all groups
	MaxPendingBytes int           // total size of their statements, in bytes
	MaxPendingTime  time.Duration // the longest time that a request is queued, 0 = no limit

	DeadlineMargin time.Duration // how long before the client's deadline a response has to be sent
	MaxRetryAfter  time.Duration // upper bound of the Retry-After of a rejected request, 0 = no limit
}

// Class is a class of requests that are queued during a failover. Requests of classes that are not in Config.Classes
// are never queued.
type Class struct {
	PriorityWeight float64       // the lowest is rejected first when the queue is full
	Work           time.Duration // expected duration of an attempt, until one has been measured
}

// sharePerInstance returns the share of one router in an amount that all routers together may use.
func (c *Config) sharePerInstance(total float64) float64 {
	return total / float64(max(1, c.Instances))
}
