package main

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"limeladder/internal/audit"
	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/spool"
	"limeladder/internal/syslog"
)

const (
	// softwareName is how messages name the program that sends them.
	softwareName = "limeladder"
	// maxVersionLength bounds the program's version in messages.
	maxVersionLength = 32
	// minWindowMessages is how many of the longest messages the sender has memory for at least.
	minWindowMessages = 2
)

// Why a reload can't change audit recording.
var (
	errRecordingDisabled = errors.New("syslog.collectors: recording can't be turned off while the program runs")
	errChainToggled      = errors.New("audit.keys: the chain can't be turned on or off while the program runs")
)

// auditRecording is the audit record: the recorder on the event loop and, behind its queue, a shipper that encodes
// records as messages and a sender that ships them to collectors, each on a goroutine of its own. All methods belong
// to the event loop. A nil *auditRecording is recording that is off: its methods do nothing.
type auditRecording struct {
	log          *slog.Logger
	loop         *eventloop.Loop
	limits       limits.Limits
	deploy       config.Deploy
	recorder     *audit.Recorder
	shipper      *audit.Shipper
	sender       *syslog.Sender
	flushTimeout time.Duration

	// endpointStates are the states in which endpoints were listed last, by id.
	endpointStates map[string]string
}

// startAuditRecording starts what deploy/limeladder.toml turns on, or returns nil.
func startAuditRecording(
	loop *eventloop.Loop,
	processLimits limits.Limits,
	deploy config.Deploy,
	routerName string,
	seed uint64,
	log *slog.Logger,
) (*auditRecording, error) {
	if !deploy.Syslog.Enabled() {
		return nil, nil
	}
	policy, err := deploy.Audit.Policy()
	if err != nil {
		return nil, fmt.Errorf("audit.%w", err)
	}
	startedAt := time.Now()
	// The seed is the same in two processes of one router, so the id of the start is random on its own.
	startID := audit.NewStartID(startedAt, rand.Uint32())
	chainKey := currentChainKey(deploy.Audit)
	encoder, err := newAuditEncoder(deploy.Syslog, chainKey, startID, startedAt)
	if err != nil {
		return nil, fmt.Errorf("audit.keys: %w", err)
	}
	sender, err := newSyslogSender(deploy.Syslog, processLimits.Syslog, startID, seed, log)
	if err != nil {
		return nil, fmt.Errorf("syslog.spool.folder: %w", err)
	}
	queue := audit.NewQueue(
		cmp.Or(deploy.Syslog.Queue.Records, processLimits.Audit.QueueRecords),
		cmp.Or(deploy.Syslog.Queue.Bytes, processLimits.Audit.QueueBytes))
	recording := &auditRecording{
		log:            log,
		loop:           loop,
		limits:         processLimits,
		deploy:         deploy,
		recorder:       audit.NewRecorder(policy, queue, time.Now),
		shipper:        audit.NewShipper(shipperOptions(deploy.Audit, processLimits.Audit), queue, encoder, sender),
		sender:         sender,
		flushTimeout:   cmp.Or(deploy.Syslog.Queue.Flush, processLimits.Syslog.FlushTimeout),
		endpointStates: map[string]string{},
	}
	keyName := ""
	if chainKey != nil {
		keyName = chainKey.Name
	}
	recording.recorder.Record(audit.Start{Router: routerName, Key: keyName})
	log.Info("audit recording started", "start", startID, "collectors", fmt.Sprint(deploy.Syslog.ParsedCollectors),
		"spool", deploy.Syslog.Spool.Folder, "key", keyName)
	loop.Post(recording.reportLosses)
	return recording, nil
}

// currentChainKey returns the key that chains new records, or nil where records are not chained.
func currentChainKey(settings config.Audit) *audit.Key {
	if len(settings.LoadedKeys) == 0 {
		return nil
	}
	return &settings.LoadedKeys[0]
}

func newAuditEncoder(
	settings config.Syslog, chainKey *audit.Key, startID string, startedAt time.Time,
) (*audit.Encoder, error) {
	return audit.NewEncoder(audit.EncoderOptions{
		Head: syslog.Head{
			Facility: settings.FacilityCode,
			Host:     cmp.Or(settings.Host, syslog.HostName()),
			App:      softwareName,
			Proc:     strconv.Itoa(os.Getpid()),
		},
		Enterprise:       uint32(settings.Enterprise),
		MaxMessageBytes:  settings.Bytes,
		Software:         softwareName,
		Version:          buildVersion(),
		Start:            startID,
		StartedAt:        startedAt,
		RejectedSQLSTATE: pgwire.TooManyConnections,
		FailedSQLSTATE:   pgwire.UnknownOutcome,
		Key:              chainKey,
		Quality:          clockQuality,
	})
}

func newSyslogSender(
	settings config.Syslog, bounds limits.Syslog, startID string, seed uint64, log *slog.Logger,
) (*syslog.Sender, error) {
	return syslog.NewSender(syslog.Options{
		Collectors: settings.ParsedCollectors,
		TLS:        settings.TLS.Config,
		Seed:       seed,
		Window:     max(bounds.WindowBytes, minWindowMessages*settings.Bytes),
		Repeat:     settings.Repeat,
		Spool:      settings.Spool.Folder,
		Name:       startID,
		Replay:     settings.Spool.Replay,
		Disk: spool.Options{
			Segment: bounds.SpoolSegmentBytes,
			Most:    cmp.Or(settings.Spool.Bytes, int64(bounds.SpoolBytes)),
			Message: settings.Bytes,
		},
		Connect: bounds.ConnectTimeout,
		Stall:   bounds.StallTimeout,
		First:   bounds.MinBackoff,
		Last:    bounds.MaxBackoff,
		Prefer:  bounds.FailbackInterval,
	}, log)
}

func shipperOptions(settings config.Audit, bounds limits.Audit) audit.ShipperOptions {
	return audit.ShipperOptions{
		Interval:        bounds.GatherInterval,
		MessagesPerHead: uint64(cmp.Or(settings.Heads, bounds.ChainHeadMessages)),
		HeadInterval:    cmp.Or(settings.HeadsTime, bounds.ChainHeadInterval),
		Now:             time.Now,
	}
}

// buildVersion returns the version of the program, as its build says.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version[:min(len(info.Main.Version), maxVersionLength)]
}

// clockQuality asks the system how good its clock is.
func clockQuality() audit.Quality {
	var clock unix.Timex
	state, err := unix.Adjtimex(&clock)
	if err != nil || state == unix.TIME_ERROR || clock.Status&unix.STA_UNSYNC != 0 {
		return audit.Quality{}
	}
	return audit.Quality{Synced: true, Accuracy: time.Duration(clock.Maxerror) * time.Microsecond}
}

// reportLosses records how many records were dropped, and does so again after each report interval.
func (r *auditRecording) reportLosses() {
	r.recorder.Tick()
	r.loop.AfterFunc(r.limits.Audit.LossReportInterval, r.reportLosses)
}

// routerAudit returns what the core reports to, or nil where recording is off.
func (r *auditRecording) routerAudit() router.Audit {
	if r == nil {
		return nil
	}
	return r.recorder
}

// note records a line of text under a topic.
func (r *auditRecording) note(topic, text string) {
	if r != nil {
		r.recorder.Record(audit.Note{Topic: topic, Text: text})
	}
}

// routerStateChanged records that the router drains, takes clients again or ends.
func (r *auditRecording) routerStateChanged(state, requestedBy string) {
	if r != nil {
		r.recorder.Record(audit.Router{State: state, Source: requestedBy})
	}
}

// endpointStateChanged records that an endpoint was suspended or resumed.
func (r *auditRecording) endpointStateChanged(id, state, requestedBy string) {
	if r != nil {
		r.recorder.Record(audit.Drain{Endpoint: id, State: state, Source: requestedBy})
	}
}

// reloaded records that configuration was read again, and why it was rejected where reason is not nil.
func (r *auditRecording) reloaded(what string, reason error) {
	if r == nil {
		return
	}
	event := audit.Reload{What: what}
	if reason != nil {
		event.Error = reason.Error()
	}
	r.recorder.Record(event)
}

// applyDeploy takes over what SIGHUP may change: collectors, their certificates, the key of the chain, and the rules.
// Everything else is read at the start only.
func (r *auditRecording) applyDeploy(deploy config.Deploy) {
	if r == nil {
		return
	}
	policy, err := r.checkDeploy(deploy)
	if err != nil {
		r.log.Error(logConfigurationRejected, "error", err)
		r.reloaded(reloadedDeploy, err)
		return
	}
	if !r.useChainKey(deploy.Audit) {
		r.loop.AfterFunc(r.limits.Audit.LossReportInterval, func() { r.applyDeploy(deploy) })
		return
	}
	r.recorder.SetPolicy(policy)
	r.sender.Change(deploy.Syslog.ParsedCollectors, deploy.Syslog.TLS.Config)
	r.deploy = deploy
	r.log.Info("audit recording reconfigured", "collectors", fmt.Sprint(deploy.Syslog.ParsedCollectors))
	r.reloaded(reloadedDeploy, nil)
}

// checkDeploy returns the rules of the operators' file, or why it can't be taken over.
func (r *auditRecording) checkDeploy(deploy config.Deploy) (*audit.Policy, error) {
	policy, err := deploy.Audit.Policy()
	if err != nil {
		return nil, err
	}
	if !deploy.Syslog.Enabled() {
		return nil, errRecordingDisabled
	}
	chained := currentChainKey(deploy.Audit) != nil
	wasChained := currentChainKey(r.deploy.Audit) != nil
	if chained != wasChained {
		return nil, errChainToggled
	}
	return policy, nil
}

// useChainKey hands a new key to the shipper. It returns false while the shipper has not used the previous one yet.
func (r *auditRecording) useChainKey(settings config.Audit) bool {
	key := currentChainKey(settings)
	if key == nil || *key == *currentChainKey(r.deploy.Audit) {
		return true
	}
	return r.shipper.Use(*key)
}

// close records the end and ships what is queued, for a bounded time: the program ends whether a collector takes it or
// not.
func (r *auditRecording) close(counts router.Counts) {
	if r == nil {
		return
	}
	r.recorder.End(audit.End{
		Taken:   counts.Accepted,
		Served:  counts.Served,
		Refused: counts.Rejected,
		Failed:  counts.Failed,
		Left:    counts.Disconnected,
	})
	unshipped := r.shipper.Close(r.flushTimeout / 2)
	r.sender.Close(r.flushTimeout / 2)
	stats := r.sender.Stats()
	r.log.Info("audit recording ended", "records", r.recorder.Numbers(),
		"sent", stats.Sent, "spooled", stats.Spooled, "lost", uint64(unshipped)+stats.Lost)
}
