package clients

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/simulation/emulator"
	"limeladder/internal/simulation/multiprocess/history"
)

const (
	maxDialTimeout = time.Second

	// answerTolerance is how long after a request's timeout its answer is still read, so that a late answer is
	// recorded as late and not as missing.
	answerTolerance = time.Second
)

// attempt sends a request once. It returns how the attempt has ended and how long to wait before a further one.
func (clients *Clients) attempt(request *request, timeout time.Duration) (how ending, wait time.Duration) {
	target, used, found := clients.reserveConnection(request.site)
	minPosition := clients.minPosition(request)
	if !found {
		return rejected, clients.options.Backoff
	}
	if used == nil {
		opened, err := dial(target.Address, min(timeout, maxDialTimeout))
		if err != nil {
			return rejected, clients.options.Backoff // nothing of the request was sent
		}
		used = opened
	}
	statement := emulator.Statement(request.id(), request.class.Name, timeout, clients.replicaGroup(request), minPosition,
		request.attempts > 1, fmt.Sprint("s", request.session), request.work)
	sent := history.RequestSent{
		ID:          request.id(),
		Class:       request.class.Name,
		Site:        request.site,
		Router:      target.Router,
		Incarnation: target.Incarnation(),
		Timeout:     timeout,
		IsWrite:     request.isWrite(),
	}
	used.SetDeadline(time.Now().Add(timeout + answerTolerance))
	clients.log.Add(sent)
	answer, err := used.exchange(pgwire.AppendQuery(nil, statement))
	how, outcome := classify(answer, err, used.answered)
	ended := history.RequestEnded{
		ID:         request.id(),
		Outcome:    outcome,
		SQLState:   answer.sqlState,
		ExtraBytes: used.reader.Buffered(),
	}
	if how == served {
		ended.Value = answer.value
		clients.recordWritePosition(request, answer.value)
	}
	clients.log.Add(ended)
	if err == nil {
		clients.releaseConnection(target, used)
	} else {
		clients.discardConnection(target, used, how)
	}
	return how, clients.backoffAfter(request, how, answer)
}

// classify returns what a reply, or the error of reading it, means for the attempt and for the history.
func classify(answer reply, err error, answeredBefore bool) (ending, history.Outcome) {
	isRejection := answer.sqlState == pgwire.TooManyConnections || answer.sqlState == pgwire.CannotConnectNow
	closedUnanswered := errors.Is(err, errConnectionEnded) && !answer.anyReceived
	switch {
	case isRejection:
		return rejected, history.Rejected
	case answer.sqlState != "":
		return failed, history.Failed
	case err == nil:
		return served, history.Served
	case isTimeout(err):
		return failed, history.Unanswered
	case closedUnanswered && answeredBefore:
		return closedByPeer, history.ClosedByPeer
	default:
		return failed, history.Disconnected
	}
}

// backoffAfter returns how long a client waits after an attempt.
func (clients *Clients) backoffAfter(request *request, how ending, answer reply) time.Duration {
	switch {
	case how == closedByPeer:
		return 0
	case how == rejected && request.honorsRetryAfter:
		return max(clients.options.Backoff, answer.retryAfter)
	default:
		return clients.options.Backoff
	}
}

// replicaGroup returns the number of the replica group that holds a request's session, from 1.
func (clients *Clients) replicaGroup(request *request) int64 {
	return int64(request.session%clients.options.ReplicaGroups + 1)
}

// reserveConnection picks a target, and takes the idle connection to it that was used last; the connection is nil when
// none is idle. It reports false when the site's load balancer uses no target.
func (clients *Clients) reserveConnection(site string) (*target, *connection, bool) {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	target, found := clients.pickTarget(site)
	if !found {
		return nil, nil, false
	}
	last := len(target.idleConnections) - 1
	if last < 0 {
		return target, nil, true
	}
	idle := target.idleConnections[last]
	target.idleConnections = target.idleConnections[:last]
	return target, idle, true
}

// releaseConnection makes a connection idle after its answer.
func (clients *Clients) releaseConnection(target *target, used *connection) {
	used.answered = true
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	target.idleConnections = append(target.idleConnections, used)
}

// discardConnection closes a connection that has failed. When the router closed it while it was idle, the other
// idle ones were closed as well.
func (clients *Clients) discardConnection(target *target, used *connection, how ending) {
	used.Close()
	if how != closedByPeer {
		return
	}
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	for _, idle := range target.idleConnections {
		idle.Close()
	}
	target.idleConnections = nil
}

// minPosition returns the replication position that a request has to see: for session consistency that of the session's
// newest write, otherwise 0.
func (clients *Clients) minPosition(request *request) time.Duration {
	if request.class.Consistency != balance.ConsistencySession {
		return 0
	}
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	return clients.sessionPosition[request.session]
}

// recordWritePosition keeps the replication position that the answer to a write states after the endpoint's name.
func (clients *Clients) recordWritePosition(request *request, value string) {
	_, position, found := strings.Cut(value, " ")
	if !found || !request.isWrite() {
		return
	}
	nanoseconds, err := strconv.ParseInt(position, 10, 64)
	if err != nil {
		return // not an answer of the test's own endpoints
	}
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	newest := max(clients.sessionPosition[request.session], time.Duration(nanoseconds))
	clients.sessionPosition[request.session] = newest
}
