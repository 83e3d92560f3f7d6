package backend

import (
	"math"
	"strconv"
	"strings"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
)

// HealthCheck requests the load report of an endpoint and calls done once with the result. It implements
// router.Backends.
func (p *Pool) HealthCheck(id string, done func(router.Result)) {
	timeout := p.limits.Backend.HealthCheckTimeout
	a := &attempt{pool: p, job: healthCheck{}, deadline: p.loop.Now() + timeout}
	a.done = func(result router.Result) {
		a.timeoutTimer.Stop()
		if response, ok := result.Response.(*Response); ok && result.Status == balance.StatusDone {
			report := parseLoadReport(response)
			result.Role = report.role
			result.Position = report.position
			result.Utilization = report.utilization
		}
		done(result)
	}
	a.timeoutTimer = p.loop.AfterFunc(timeout, func() { p.endHealthCheck(id, a, done) })
	p.startAttempt(id, a)
}

// endHealthCheck ends a health check that was not answered in time.
func (p *Pool) endHealthCheck(id string, a *attempt, done func(router.Result)) {
	if a.connection != nil && !a.connection.socket.HasNothingToReport() {
		// The response has come and was not read yet, because the router itself was held up.
		a.timeoutTimer = p.loop.AfterFunc(p.limits.Backend.RedialAfter, func() { p.timeOutHealthCheck(id, a, done) })
		return
	}
	p.timeOutHealthCheck(id, a, done)
}

func (p *Pool) timeOutHealthCheck(id string, a *attempt, done func(router.Result)) {
	neverSent := a.NotWritten()
	a.Cancel()
	e := p.endpoints[id]
	if neverSent && e != nil && e.starting == 0 {
		done(router.Result{Status: balance.StatusNotSent}) // no connection was free, which says nothing about the endpoint
		return
	}
	if e != nil {
		e.closeIdle() // an endpoint that does not respond to a health check is assumed to respond on no connection
	}
	done(router.Result{Status: balance.StatusTimedOut})
}

// healthCheck is the Job that requests a load report.
type healthCheck struct{}

// Messages returns the query for the load report.
func (healthCheck) Messages(time.Duration) []byte { return pgwire.AppendQuery(nil, "SHOW stats") }

// Complete reports whether the response is one row of one column.
func (healthCheck) Complete(response *Response) bool {
	return string(response.Types) == "TDC" && response.Shape.Columns == 1
}

// StartsResponse returns false: no load report is long enough to be streamed.
func (healthCheck) StartsResponse(*Response) bool { return false }

// loadReport is the state that an endpoint reports about itself. The zero value is an empty report.
type loadReport struct {
	role        balance.Role
	position    time.Duration // replication position
	utilization float64       // used share of the endpoint's capacity, 0 = not reported
}

// The metrics of a load report, by their names on the wire.
const (
	metricPosition    = "x0" // in seconds since the Unix epoch
	metricIsPrimary   = "x1" // 0 or 1
	metricUtilization = "util"

	maxMetric = 1e10 // larger metrics are invalid
)

// metricNormalizer rewrites a metric in JSON notation to name=value.
var metricNormalizer = strings.NewReplacer(`"`, "", ":", "=", " ", "")

// parseLoadReport parses a load report such as x0=1767225600.123,x1=0,util=0.61. A report with an invalid metric is
// discarded as a whole.
func parseLoadReport(response *Response) loadReport {
	var report loadReport
	reader := pgwire.NewReader(len(response.Messages)+messageHeaderBytes, 0)
	reader.Feed(response.Messages)
	for {
		message, ok, err := reader.Next()
		if !ok || err != nil {
			return report
		}
		if message.Type != typeDataRow {
			continue
		}
		row, err := pgwire.Row(message.Body)
		if err != nil {
			return report
		}
		for _, value := range row {
			if !report.addMetrics(string(value)) {
				return loadReport{}
			}
		}
	}
}

// addMetrics parses the metrics in one column value and reports whether all of them are valid.
func (r *loadReport) addMetrics(text string) bool {
	for _, metric := range strings.Split(strings.Trim(text, "{} "), ",") {
		name, digits, _ := strings.Cut(metricNormalizer.Replace(metric), "=")
		value, err := strconv.ParseFloat(digits, 64)
		if err != nil || !isValidMetric(value) || !r.setMetric(name, value) {
			return false
		}
	}
	return true
}

func isValidMetric(value float64) bool { return value >= 0 && value <= maxMetric } // false for NaN too

// setMetric stores one metric and reports whether it is valid. Metrics with other names are ignored.
func (r *loadReport) setMetric(name string, value float64) bool {
	switch name {
	case metricPosition:
		// The report has millisecond precision; the rounding error of a float64 of this size is far smaller.
		millis := math.Floor(value*1e3 + 1e-3)
		r.position = time.Duration(millis) * time.Millisecond
	case metricUtilization:
		r.utilization = value
	case metricIsPrimary:
		switch value {
		case 0:
			r.role = balance.RoleReplica
		case 1:
			r.role = balance.RolePrimary
		default:
			return false
		}
	}
	return true
}
