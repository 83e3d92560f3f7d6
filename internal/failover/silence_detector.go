package failover

import "time"

// The silence timeout of a primary is derived from the mean and the deviation of its own response times.
const (
	minSilenceTimeout        = 60 * time.Millisecond // a shorter silence is never evidence
	silenceTimeoutDeviations = 6                     // deviations above the mean that a response may take
	baseTimeoutMultiplier    = 2                     // factor of the mean plus these deviations
	timeoutMultiplierGrowth  = 1.5                   // of timeoutMultiplier, after each suspicion that proved wrong
	maxTimeoutMultiplier     = 8
	responseTimeSmoothing    = 0.1 // weight of the newest measurement in the moving averages
)

// silenceDetector determines when an endpoint with attempts in flight has been silent for too long.
type silenceDetector struct {
	meanSeconds       float64 // moving average of the response times, in seconds
	deviationSeconds  float64 // moving average of their absolute deviation from the mean, in seconds
	samples           int
	timeoutMultiplier float64 // factor of the timeout, increased after wrong suspicions
	lastAnswerAt      time.Duration
	inFlight          []attempt // in the order in which they were sent
}

// attempt is an attempt that was sent and has not ended.
type attempt struct {
	requestID string
	sentAt    time.Duration
}

func newSilenceDetector() silenceDetector { return silenceDetector{timeoutMultiplier: 1} }

// recordResponseTime updates the mean and the deviation with the response time of an attempt that was served.
func (d *silenceDetector) recordResponseTime(elapsed time.Duration) {
	seconds := elapsed.Seconds()
	d.samples++
	if d.samples == 1 {
		d.meanSeconds = seconds
		d.deviationSeconds = seconds / 2
		return
	}
	difference := seconds - d.meanSeconds
	d.meanSeconds += responseTimeSmoothing * difference
	d.deviationSeconds += responseTimeSmoothing * (max(difference, -difference) - d.deviationSeconds)
}

// timeout returns how long an endpoint with attempts in flight may be silent.
func (d *silenceDetector) timeout() time.Duration {
	usual := d.meanSeconds + silenceTimeoutDeviations*d.deviationSeconds
	seconds := baseTimeoutMultiplier * d.timeoutMultiplier * usual
	return max(minSilenceTimeout, time.Duration(seconds*float64(time.Second)))
}

// recordWrongSuspicion extends the timeout, because a suspicion has proved wrong.
func (d *silenceDetector) recordWrongSuspicion() {
	d.timeoutMultiplier = min(maxTimeoutMultiplier, d.timeoutMultiplier*timeoutMultiplierGrowth)
}

// deadline returns the time by which the endpoint has to respond. ok is false if no attempt is in flight.
func (d *silenceDetector) deadline() (at time.Duration, ok bool) {
	if len(d.inFlight) == 0 {
		return 0, false
	}
	return max(d.lastAnswerAt, d.inFlight[0].sentAt) + d.timeout(), true
}

func (d *silenceDetector) attemptSent(requestID string, now time.Duration) {
	d.inFlight = append(d.inFlight, attempt{requestID, now})
}

func (d *silenceDetector) attemptEnded(requestID string) {
	for i, a := range d.inFlight { // attempts usually end in the order in which they were sent, so the search is short
		if a.requestID == requestID {
			d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
			return
		}
	}
}
