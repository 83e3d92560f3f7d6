package limits

import "time"

// ForFleet returns the limits of one of the given number of routers that share a discovery service.
//
// If many routers start at once, discovery has time to send a complete list to only a few of them. A watch from the
// known version costs discovery a fraction of a complete list followed by a watch.
func (l Limits) ForFleet(routers int) Limits {
	const (
		maxRoutersForCompleteList    = 4
		maxRoutersForFrequentWatches = 10
	)
	l.Discovery.ResumeFromKnown = routers > maxRoutersForCompleteList
	if routers <= maxRoutersForFrequentWatches {
		// A broken watch is detected only at the end of its wait, and the changes that it missed count as notified 6 s after
		// it broke. With a wait of 3 s there is time left for one more call, even a slow one. Only a small fleet may watch
		// this often.
		l.Discovery.LongPollTimeout = 3 * time.Second
	}
	return l
}

// ForPushedLists returns the limits for an endpoint list that is pushed to an agent on the router's own machine. Calls
// to the agent may be frequent, because they take no capacity from other routers.
//
// Changes that the agent has count as notified even if the router has not received them, and sends to a draining
// endpoint must end within drainGrace. An unanswered call is therefore detected and repeated within three quarters of
// drainGrace, however it failed. drainGrace, which is 0 if there is none, is clamped to the range from shortestGrace to
// longestGrace.
func (l Limits) ForPushedLists(drainGrace time.Duration) Limits {
	const shortestGrace, longestGrace = 200 * time.Millisecond, 2 * time.Second
	quarter := min(max(drainGrace, shortestGrace), longestGrace) / 4
	l.Discovery.LongPollTimeout = quarter
	l.Discovery.WatchSlack = quarter
	l.Discovery.CallTimeout = 2 * quarter
	l.Discovery.MaxRetryInterval = quarter
	l.Discovery.ResumeFromKnown = false
	// The pushed list counts as notified from the start, and the known list may be outdated, so wait longer for the
	// pushed list.
	l.Discovery.FirstListTimeout = 3 * time.Second
	return l
}

// DuringHotRestart returns the limits of a process while another process of the same router is running, because the
// platform's grant applies to both together. All clients move to the new process before the old one has exited, without
// more connections than before, so the frontend keeps more than half of its connections.
func (l Limits) DuringHotRestart() Limits {
	l.Memory.TargetBytes /= 2
	l.Memory.GCPercent = 100
	l.Frontend.BufferedBytes /= 2
	l.Frontend.ReservedInputBytes /= 2
	l.Frontend.StreamedBytes /= 2
	l.Router.PendingWriteBytes /= 2
	l.Audit.QueueRecords /= 2
	l.Audit.QueueBytes /= 2
	l.Syslog.WindowBytes /= 2
	l.Frontend.Connections = l.Frontend.Connections * 2 / 3
	l.Backend.Connections = l.Backend.Connections/2 - 1
	l.Backend.IdlePerEndpoint = max(2, l.Backend.IdlePerEndpoint/2)
	return l
}
