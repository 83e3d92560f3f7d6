package limits

import "time"

// ForFleet returns the limits of one router among so many that share one discovery service.
//
// Where many routers start at once, discovery has the time of a complete list for a few of them only. A watch from the
// version that is known costs it a fraction of a complete list followed by a watch.
func (l Limits) ForFleet(routers int) Limits {
	const (
		mayAskForCompleteList = 4
		mayWatchOften         = 10
	)
	l.Discovery.ResumeFromKnown = routers > mayAskForCompleteList
	if routers <= mayWatchOften {
		// A watch that has fallen silent is found when its wait is over, and what it missed counts as notified 6 s after it
		// fell silent. A few routers can ask this often, and still have the time for one more call that is late.
		l.Discovery.LongPollTimeout = 3 * time.Second
	}
	return l
}

// ForPushedLists returns the limits for a list that is pushed to an agent on the router's own machine, where a call
// costs nobody anything.
//
// What the agent has counts as notified, received or not, and sends must end within the drain grace: a call that is not
// answered is found and repeated within three quarters of it, however it failed. Without a grace (0) the shortest one
// is assumed.
func (l Limits) ForPushedLists(drainGrace time.Duration) Limits {
	const shortest, longest = 200 * time.Millisecond, 2 * time.Second
	quarter := min(max(drainGrace, shortest), longest) / 4
	l.Discovery.LongPollTimeout = quarter
	l.Discovery.WatchSlack = quarter
	l.Discovery.CallTimeout = 2 * quarter
	l.Discovery.MaxRetryInterval = quarter
	l.Discovery.ResumeFromKnown = false
	// The list counts as notified from the first moment: what is known without it may be old.
	l.Discovery.FirstListTimeout = 3 * time.Second
	return l
}

// DuringHotRestart returns what a process may use while another process of the same router is alive: the platform
// counts them as one. All clients come over to the new process before the old one has exited, and have no more
// connections than before: the frontend keeps more than a half.
func (l Limits) DuringHotRestart() Limits {
	l.Memory.TargetBytes /= 2
	l.Memory.GCPercent = 100
	l.Frontend.BufferedBytes /= 2
	l.Router.PendingWriteBytes /= 2
	l.Audit.QueueRecords /= 2
	l.Audit.QueueBytes /= 2
	l.Syslog.WindowBytes /= 2
	l.Frontend.Connections = l.Frontend.Connections * 2 / 3
	l.Backend.Connections = l.Backend.Connections/2 - 1
	l.Backend.IdlePerEndpoint = max(2, l.Backend.IdlePerEndpoint/2)
	return l
}
