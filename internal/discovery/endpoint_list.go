package discovery

import (
	"encoding/json"
	"fmt"
	"net/http"

	"limeladder/internal/config"
)

// maxOutdatedAnswers is the number of consecutive responses older than the newest list that are discarded before an
// older full list is accepted.
const maxOutdatedAnswers = 2

// responseComplete processes the complete response of the call in flight and makes the next call.
func (w *Watcher) responseComplete() {
	response := w.call.response
	w.call.response = nil
	w.call.deadline.Stop()
	if response.closesConnection {
		w.abandonCall()
	}
	if response.status != http.StatusOK {
		w.callRejected(fmt.Errorf("status %d", response.status))
		return
	}
	list, err := parseEndpoints(response.body)
	if err == nil {
		err = w.checkPlausible(list)
	}
	if err != nil {
		w.callInvalid(err)
		return
	}
	w.acceptEndpoints(list)
}

func parseEndpoints(body []byte) (list config.EndpointList, err error) {
	if err := json.Unmarshal(body, &list); err != nil {
		return list, fmt.Errorf("body: %w", err)
	}
	for i, entry := range list.Endpoints {
		if _, err := entry.Balance(); err != nil {
			return list, fmt.Errorf("servers[%d].%w", i, err)
		}
	}
	return list, nil
}

// checkPlausible returns an error for a list that is well-formed but must not be used, in which case the newest list
// stays valid. Otherwise a discovery service that has lost its data, or that responds from a lagging replica, would
// remove the endpoints of all routers at once.
func (w *Watcher) checkPlausible(list config.EndpointList) error {
	if list.Full && len(list.Endpoints) == 0 {
		return errNoEndpoints
	}
	if list.Version >= w.version {
		return nil
	}
	// The next call requests the full list. If that is still older, discovery has restarted its version numbers.
	w.outdatedAnswers++
	if w.outdatedAnswers > maxOutdatedAnswers && list.Full {
		return nil
	}
	w.snapshotDue = true
	return errOutdated
}

// acceptEndpoints reports a valid list to the listener and makes the next call.
func (w *Watcher) acceptEndpoints(list config.EndpointList) {
	w.version = list.Version
	w.answered = true
	w.snapshotDue = false
	w.outdatedAnswers = 0
	w.invalidAnswers = 0
	w.lastLoggedError = ""
	if w.retry != nil {
		w.retry.reset()
	}
	w.stopPrevious()
	w.listener.EndpointListReceived(list)
	if w.stopped || w.call.inFlight() {
		return // the listener has stopped the watch, or made a call
	}
	isEmptyChange := !list.Full && len(list.Endpoints) == 0
	if isEmptyChange && w.answeredEarly() {
		// Without a delay, a discovery service that ignores the wait parameter would keep one of the router's cores busy.
		w.nextCall = w.loop.AfterFunc(w.limits.Discovery.WatchInterval, w.sendCall)
		return
	}
	w.sendCall() // without delay: discovery continues a watch only if the next call arrives within 200 ms
}

// answeredEarly reports whether discovery responded to the last watch in less than half of the requested wait.
func (w *Watcher) answeredEarly() bool {
	return w.loop.Now()-w.call.startedAt < w.call.longPollTimeout/2
}
