package clients

import (
	"fmt"
	"time"

	"limeladder/balance"
	"limeladder/internal/simulation/fleet"
)

// minTimeout is the shortest timeout with which a request is sent, because the request comment has it in milliseconds.
const minTimeout = time.Millisecond

// ending is how an attempt, or a request as a whole, has ended. The values up to expired are indexes of fleet.Endings.
type ending int

const (
	served ending = iota
	rejected
	failed
	expired

	// closedByPeer is the ending of an attempt on a used connection that was closed before any part of the answer. The
	// request is sent again at once, which does not count as a retry.
	closedByPeer
)

// request is one request of a client over all its attempts.
type request struct {
	class            *fleet.Class
	site             string
	session          int
	work             time.Duration // processing time at the endpoint
	honorsRetryAfter bool
	due              time.Time
	number           int
	attempts         int
	resends          int // after an attempt that ended as closedByPeer
}

// id returns the id of the current attempt.
func (request *request) id() string {
	return fmt.Sprintf("q%d.%d.%d", request.number, request.attempts, request.resends)
}

// remaining returns how long the client still waits for an answer.
func (request *request) remaining() time.Duration {
	return request.class.ClientTimeout - time.Since(request.due)
}

func (request *request) isWrite() bool { return request.class.Consistency == balance.ConsistencyWrite }

// drawRequest draws the next request. The caller holds the mutex. The order of the draws determines the run of a seed.
func (clients *Clients) drawRequest(sites []string) *request {
	class := clients.drawClass()
	clients.lastNumber++
	site := sites[clients.rng.IntN(len(sites))]
	session := clients.rng.IntN(len(clients.sessionPosition))
	work := max(time.Microsecond, class.Work.Draw(clients.rng))
	honorsRetryAfter := clients.rng.Float64() < clients.options.RetryAfterShare
	return &request{
		class:            class,
		site:             site,
		session:          session,
		work:             work,
		honorsRetryAfter: honorsRetryAfter,
		number:           clients.lastNumber,
	}
}

// drawClass draws a class with the probabilities of the classes' shares. The caller holds the mutex.
func (clients *Clients) drawClass() *fleet.Class {
	classes := clients.options.Classes
	sum := 0.0
	for _, class := range classes {
		sum += class.Share
	}
	drawn := clients.rng.Float64() * sum
	for i := range classes {
		if drawn < classes[i].Share {
			return &classes[i]
		}
		drawn -= classes[i].Share
	}
	return &classes[len(classes)-1]
}

// runRequest sends a request until it is served, may not be retried or has expired.
func (clients *Clients) runRequest(request *request) {
	defer clients.requests.Done()
	for {
		timeout := request.remaining()
		if timeout < minTimeout {
			clients.recordEnding(request, expired)
			return
		}
		request.attempts++
		how, wait := clients.attempt(request, timeout)
		if how == closedByPeer {
			request.attempts--
			request.resends++
			continue
		}
		if how == served || !clients.mayRetry(request, how, wait) {
			clients.recordEnding(request, how)
			return
		}
		time.Sleep(wait)
	}
}

// mayRetry reports whether a client repeats its request after an attempt that was rejected or has failed.
func (clients *Clients) mayRetry(request *request, how ending, wait time.Duration) bool {
	if how == failed && request.class.Idempotency != balance.Idempotent {
		return false
	}
	if request.attempts > clients.options.Retries {
		return false
	}
	return time.Since(request.due)+wait < request.class.ClientTimeout
}

// second returns the statistics of the second in which a request was due. The caller holds the mutex.
func (clients *Clients) second(request *request) *fleet.Second {
	index := int(request.due.Sub(clients.started) / time.Second)
	return &clients.result.Seconds[min(len(clients.result.Seconds)-1, index)]
}

// recordArrival counts a request and its full priority weight.
func (clients *Clients) recordArrival(request *request) {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	second := clients.second(request)
	second.Came++
	second.Could += request.class.PriorityWeight
	tally := clients.result.Tally[request.class.Name]
	tally.Came++
	tally.Could += request.class.PriorityWeight
}

// recordEnding counts the ending of a request and the weight that it earned: a share after its latency objective, and
// nothing after its client timeout.
func (clients *Clients) recordEnding(request *request, how ending) {
	took := time.Since(request.due)
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	second := clients.second(request)
	tally := clients.result.Tally[request.class.Name]
	if how == served {
		weight := request.class.PriorityWeight
		if took > request.class.LatencyObjective {
			weight *= request.class.LateWeightShare
			second.Late++
			tally.Late++
		}
		if took > request.class.ClientTimeout {
			weight = 0
			how = expired
		}
		second.Worth += weight
		tally.Worth += weight
	}
	second.Ends[how]++
	tally.Ends[how]++
}
