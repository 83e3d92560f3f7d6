package failover

import "time"

// The silence of a primary is judged by how long its own answers usually take.
const (
	minSilenceTimeout        = 60 * time.Millisecond // a shorter silence is never evidence
	silenceTimeoutDeviations = 6                     // deviations beyond the mean that an answer may take
	silenceTimeoutFactor     = 2                     // times that
	silenceLeniencyGrowth    = 1.5                   // of the timeout, after a suspicion that proved wrong
	maxSilenceLeniency       = 8
	responseTimeSmoothing    = 0.1 // weight of the newest measurement
)

// silenceDetector says when an endpoint with attempts in flight has been silent for too long.
type silenceDetector struct {
	meanSeconds      float64 // of the time that an answer takes
	deviationSeconds float64
	samples          int
	leniency         float64 // factor of the timeout
	lastAnswerAt     time.Duration
	inFlight         []attempt // the oldest first
}

// attempt is one that was sent and has not ended.
type attempt struct {
	requestID string
	sentAt    time.Duration
}

func newSilenceDetector() silenceDetector { return silenceDetector{leniency: 1} }

// recordResponseTime learns how long the endpoint's answers take.
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

// timeout is how long an endpoint with attempts in flight may be silent.
func (d *silenceDetector) timeout() time.Duration {
	usual := d.meanSeconds + silenceTimeoutDeviations*d.deviationSeconds
	seconds := silenceTimeoutFactor * d.leniency * usual
	return max(minSilenceTimeout, time.Duration(seconds*float64(time.Second)))
}

// suspectedWrongly lets the endpoint be silent for longer, since a suspicion has proved wrong.
func (d *silenceDetector) suspectedWrongly() {
	d.leniency = min(maxSilenceLeniency, d.leniency*silenceLeniencyGrowth)
}

// deadline is when the endpoint has to have answered; ok is false where no attempt waits for an answer.
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
	for i, a := range d.inFlight { // attempts end about in the order in which they were sent
		if a.requestID == requestID {
			d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
			return
		}
	}
}
