package audit

import (
	"strconv"

	"limeladder/balance"
	"limeladder/internal/syslog"
)

// The ranks are the order in which parameters are removed from a message that is too long: the highest rank is removed
// first. Parameters of rank syslog.Keep always stay.
const (
	rankOrigin   syslog.Rank = 9 // the program, which the header of the message names too
	rankQuality  syslog.Rank = 8
	rankReason   syslog.Rank = 7 // free text
	rankAttempts syslog.Rank = 6 // a parameter for each attempt
	rankDetails  syslog.Rank = 5 // the parts of the total time, the client address, the tenant, the source of a state
	rankEndpoint syslog.Rank = 4 // endpoint, group, total time, retry delay, counts
	rankMeta     syslog.Rank = 3
	rankRequest  syslog.Rank = 2 // the request id and class, and what an event is about
	rankOutcome  syslog.Rank = 1
)

// sqlstateServed is the SQLSTATE of a successful completion.
const sqlstateServed = "00000"

// answerSeverities are the severities of answers, indexed by outcome.
var answerSeverities = [outcomeCount]syslog.Severity{
	Served:       syslog.Info,
	Rejected:     syslog.Warning,
	Failed:       syslog.Err,
	Truncated:    syslog.Err,
	Disconnected: syslog.Notice,
}

// severityOf returns the severity of an event's message.
func severityOf(event Event) syslog.Severity {
	switch v := event.(type) {
	case *Answer:
		return answerSeverities[v.Outcome]
	case List, Note:
		return syslog.Info
	case Dropped:
		return syslog.Err
	case Reload:
		if v.Error != "" {
			return syslog.Warning
		}
	}
	return syslog.Notice
}

// writeEvent writes the parameters of an event and returns the text of its message.
func (e *Encoder) writeEvent(event Event) string {
	if answer, ok := event.(*Answer); ok {
		return e.writeAnswer(answer)
	}
	builder := e.builder
	builder.Element(e.elementIDs[elementEvent], false)
	switch v := event.(type) {
	case EndpointStateChange:
		return writeEndpointStateChange(builder, v)
	case Router:
		builder.String(rankOutcome, "state", v.State)
		builder.String(rankDetails, "by", v.Source)
		return "the router is " + v.State + ", says " + v.Source
	case Primary:
		return writePrimary(builder, v)
	case List:
		writeList(builder, v)
	case Reload:
		writeReload(builder, v)
	case Start:
		builder.String(rankRequest, "router", v.Router)
		builder.String(rankRequest, "key", v.Key)
		return "recording begins"
	case End:
		return writeEnd(builder, v)
	case Dropped:
		return writeDropped(builder, v)
	case Note:
		builder.String(rankRequest, "topic", v.Topic)
		return v.Text
	}
	return ""
}

func writeEndpointStateChange(builder *syslog.Builder, change EndpointStateChange) string {
	builder.String(rankRequest, "node", change.Endpoint)
	builder.Int(rankRequest, "group", change.Group)
	builder.String(rankOutcome, "state", change.State)
	builder.String(rankDetails, "by", change.Source)
	return "db machine " + change.Endpoint + " is " + change.State + ", says " + change.Source
}

func writePrimary(builder *syslog.Builder, primary Primary) string {
	state := "believed"
	if !primary.Believed {
		state = "doubted"
	}
	builder.Int(rankOutcome, "group", primary.Group)
	builder.String(rankOutcome, "node", primary.Endpoint)
	builder.String(rankOutcome, "state", state)
	if primary.Reason != "" {
		builder.String(rankReason, "why", primary.Reason)
	}
	return "primary " + primary.Endpoint + " of group " + strconv.FormatInt(primary.Group, 10) + " is " + state
}

func writeList(builder *syslog.Builder, list List) {
	builder.Int(rankOutcome, "version", list.Version)
	builder.String(rankEndpoint, "full", formatFlag(list.Full))
	builder.Int(rankEndpoint, "ready", int64(list.Ready))
	builder.Int(rankEndpoint, "draining", int64(list.Draining))
	builder.Int(rankEndpoint, "gone", int64(list.Gone))
}

func writeReload(builder *syslog.Builder, reload Reload) {
	builder.String(rankRequest, "what", reload.What)
	builder.String(rankOutcome, "taken", formatFlag(reload.Error == ""))
	if reload.Error != "" {
		builder.String(rankReason, "why", reload.Error)
	}
}

func writeEnd(builder *syslog.Builder, end End) string {
	builder.Uint(rankOutcome, "taken", end.Accepted)
	builder.Uint(rankOutcome, "served", end.Served)
	builder.Uint(rankOutcome, "refused", end.Rejected)
	builder.Uint(rankOutcome, "failed", end.Failed)
	builder.Uint(rankOutcome, "left", end.Disconnected)
	return "recording ends"
}

func writeDropped(builder *syslog.Builder, dropped Dropped) string {
	builder.Uint(syslog.Keep, "count", dropped.Count)
	builder.Uint(syslog.Keep, "first", dropped.First)
	builder.Uint(syslog.Keep, "last", dropped.Last)
	for level, name := range []string{"reads", "usual", "refusals", "states"} {
		builder.Uint(rankEndpoint, name, dropped.ByLevel[level])
	}
	return strconv.FormatUint(dropped.Count, 10) + " records found no room"
}

// writeAnswer writes the elements answer and request, and returns the text of the message.
func (e *Encoder) writeAnswer(answer *Answer) string {
	builder := e.builder
	builder.Element(e.elementIDs[elementAnswer], false)
	builder.String(rankOutcome, "outcome", Outcomes()[answer.Outcome])
	if sqlstate := e.sqlstateOf(answer); sqlstate != "" {
		builder.String(rankOutcome, "sqlstate", sqlstate)
	}
	builder.String(rankOutcome, "writes", formatFlag(answer.Writes))
	builder.String(rankOutcome, "may-have-run", formatFlag(answer.MayHaveExecuted))
	if answer.Endpoint != "" {
		builder.String(rankEndpoint, "node", answer.Endpoint)
	}
	builder.Micros(rankEndpoint, "total-us", answer.Total)
	builder.Micros(rankDetails, "queued-us", answer.Queued)
	builder.Micros(rankDetails, "worked-us", answer.Worked)
	builder.Uint(rankDetails, "attempts", uint64(len(answer.Attempts)))
	if answer.Retry > 0 {
		builder.Int(rankEndpoint, "retry-ms", answer.Retry.Milliseconds())
	}
	if answer.Reason != "" {
		builder.String(rankReason, "why", answer.Reason)
	}
	writeAttempts(builder, answer.Attempts)
	e.writeRequest(answer)
	return answerText(answer)
}

// sqlstateOf returns the SQLSTATE that the client got, or an empty string if it got none.
func (e *Encoder) sqlstateOf(answer *Answer) string {
	switch {
	case answer.Outcome == Rejected:
		return e.options.RejectedSQLSTATE
	case answer.Outcome == Failed:
		return e.options.FailedSQLSTATE
	case answer.Outcome == Served && answer.Code == "":
		return sqlstateServed
	}
	return answer.Code
}

// attemptEndNames returns the names of the ends of an attempt, indexed by status.
func attemptEndNames() []string {
	return []string{
		balance.StatusDone:          "done",
		balance.StatusError:         "error",
		balance.StatusBusy:          "busy",
		balance.StatusTimedOut:      "timed-out",
		balance.StatusConnectFailed: "connect-failed",
		balance.StatusReset:         "reset",
		balance.StatusCancelled:     "cancelled",
		balance.StatusNotSent:       "skipped",
		balance.StatusMiss:          "miss",
	}
}

// writeAttempts writes a parameter for each attempt: its duration in microseconds, its end and its endpoint.
func writeAttempts(builder *syslog.Builder, attempts []Attempt) {
	names := attemptEndNames()
	for _, attempt := range attempts {
		builder.Raw(rankAttempts, "try", func(p []byte) []byte {
			p = strconv.AppendInt(p, attempt.Took.Microseconds(), 10)
			p = append(p, ',')
			if attempt.End == InFlight {
				p = append(p, "out"...)
			} else if int(attempt.End) < len(names) {
				p = append(p, names[attempt.End]...)
			}
			p = append(p, ',')
			return syslog.AppendValue(p, attempt.Endpoint)
		})
	}
}

// writeRequest writes the element that identifies the answered request.
func (e *Encoder) writeRequest(answer *Answer) {
	builder := e.builder
	builder.Element(e.elementIDs[elementRequest], false)
	builder.String(rankRequest, "id", answer.Request)
	builder.String(rankRequest, "class", answer.Class)
	builder.Int(rankEndpoint, "group", answer.Group)
	if answer.Tenant != "" {
		builder.String(rankDetails, "tenant", answer.Tenant)
	}
	if answer.Client != "" {
		builder.String(rankDetails, "client", answer.Client)
	}
}

// answerText returns the text of an answer's message. It is empty for a served answer: the elements hold all of its
// data, and most records are of this kind.
func answerText(answer *Answer) string {
	if answer.Outcome == Served {
		return ""
	}
	total := strconv.FormatInt(answer.Total.Milliseconds(), 10)
	text := answer.Class + " " + Outcomes()[answer.Outcome] + " after " + total + " ms"
	if answer.Retry > 0 {
		text += ", may come again in " + strconv.FormatInt(answer.Retry.Milliseconds(), 10) + " ms"
	}
	if answer.Reason != "" {
		text += ": " + answer.Reason
	}
	return text
}

// formatFlag returns a boolean as RFC 5424 writes it.
func formatFlag(on bool) string {
	if on {
		return "1"
	}
	return "0"
}
