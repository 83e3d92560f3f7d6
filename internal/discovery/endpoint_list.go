package discovery

import (
	"encoding/json"
	"fmt"
	"net/http"

	"limeladder/internal/config"
)

// maxOlderAnswers is how many answers in a row may be older than the newest list before one is used all the same.
const maxOlderAnswers = 2

// responseComplete uses the answer of the call that is out, and makes the next call.
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

// checkPlausible returns an error for a list that is readable but must not be used: the newest one stays valid. A
// discovery that has lost its data, or that answers from a replica that lags, would otherwise take all routers'
// endpoints away at once.
func (w *Watcher) checkPlausible(list config.EndpointList) error {
	if list.Full && len(list.Endpoints) == 0 {
		return errNoEndpoints
	}
	if list.Version >= w.version {
		return nil
	}
	// The next call asks for the full list. A discovery whose full list is older even then has started anew.
	w.olderAnswers++
	if w.olderAnswers > maxOlderAnswers && list.Full {
		return nil
	}
	w.snapshotDue = true
	return errOutdated
}

// acceptEndpoints passes a list on and makes the next call.
func (w *Watcher) acceptEndpoints(list config.EndpointList) {
	w.version = list.Version
	w.snapshotDue = false
	w.olderAnswers = 0
	w.invalidAnswers = 0
	w.lastLoggedError = ""
	if w.retry != nil {
		w.retry.reset()
	}
	w.stopPrevious()
	w.listener.EndpointListReceived(list)
	if w.stopped || w.call.isOut() {
		return // the listener has stopped the watch, or made a call
	}
	isEmptyChange := !list.Full && len(list.Endpoints) == 0
	if isEmptyChange && w.answeredEarly() {
		// A discovery that doesn't wait as it was asked to would keep one of the router's cores busy.
		w.nextCall = w.loop.AfterFunc(w.limits.Discovery.WatchInterval, w.sendCall)
		return
	}
	w.sendCall() // at once: discovery continues a watch only if the next call comes within 200 ms
}

// answeredEarly says whether discovery has answered the last watch long before its wait was over.
func (w *Watcher) answeredEarly() bool {
	return w.loop.Now()-w.call.startedAt < w.call.longPollTimeout/2
}
