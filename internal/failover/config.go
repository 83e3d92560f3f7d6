package failover

import "time"

// Config bounds a Tracker.
type Config struct {
	Instances int // routers that share the replica groups
	Classes   map[string]Class

	MaxPending      int           // requests queued at once, over all groups
	MaxPendingBytes int           // of their statements
	MaxPendingTime  time.Duration // the longest that one request is queued, 0 = no limit

	DeadlineMargin time.Duration // an answer has to be on its way this long before its client's deadline
	MaxRetryAfter  time.Duration // bound of the Retry-After of a rejected request, 0 = no limit
}

// Class is a class of requests that are queued during a failover. Requests of a class that Config doesn't name are
// not.
type Class struct {
	PriorityWeight float64       // which request is rejected first when the queue is full
	Work           time.Duration // expected time of an attempt until one was measured
}

// sharePerInstance is a router's part of an amount that all routers together may use.
func (c *Config) sharePerInstance(total float64) float64 {
	return total / float64(max(1, c.Instances))
}
