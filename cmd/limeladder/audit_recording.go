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
	// softwareName is the name of this program in syslog messages.
	softwareName = "limeladder"
	// maxVersionLength is the maximum length of the program's version in messages, in bytes.
	maxVersionLength = 32
	// minWindowMessages is the minimum size of the sender's window, in messages of the maximum length.
	minWindowMessages = 2
)

// The reasons for rejecting a reload of the audit recording settings.
var (
	errRecordingDisabled = errors.New("syslog.collectors: recording can't be turned off while the program runs")
	errChainToggled      = errors.New("audit.keys: the chain can't be turned on or off while the program runs")
)

// auditRecording is the pipeline of the audit record: a recorder on the event loop that fills a queue, a shipper that
// encodes the queued records as messages, and a sender that sends them to collectors. The shipper and the sender each
// have their own goroutine. All methods must be called on the event loop. A nil *auditRecording means that recording is
// off; its methods do nothing.
type auditRecording struct {
	log          *slog.Logger
	loop         *eventloop.Loop
	limits       limits.Limits
	deploy       config.Deploy
	recorder     *audit.Recorder
	shipper      *audit.Shipper
	sender       *syslog.Sender
	flushTimeout time.Duration

	// endpointStates maps endpoint ids to the states in which the endpoints were last listed.
	endpointStates map[string]string
}

// startAuditRecording starts audit recording as set in deploy/limeladder.toml, or returns nil if it is off there.
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
	// Two processes of one router have the same seed, so the start id must not be derived from it.
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

// currentChainKey returns the key that chains new records, or nil if records are not chained.
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
		Head: syslog.Header{
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
		Collectors:  settings.ParsedCollectors,
		TLS:         settings.TLS.Config,
		Seed:        seed,
		MemoryBytes: max(bounds.WindowBytes, minWindowMessages*settings.Bytes),
		RepeatBytes: settings.Repeat,
		SpoolFolder: settings.Spool.Folder,
		SpoolName:   startID,
		ReplayRate:  settings.Spool.Replay,
		SpoolOptions: spool.Options{
			SegmentBytes:    bounds.SpoolSegmentBytes,
			MaxBytes:        cmp.Or(settings.Spool.Bytes, int64(bounds.SpoolBytes)),
			MaxMessageBytes: settings.Bytes,
		},
		ConnectTimeout:   bounds.ConnectTimeout,
		StallTimeout:     bounds.StallTimeout,
		MinBackoff:       bounds.MinBackoff,
		MaxBackoff:       bounds.MaxBackoff,
		FailbackInterval: bounds.FailbackInterval,
	}, log)
}

func shipperOptions(settings config.Audit, bounds limits.Audit) audit.ShipperOptions {
	return audit.ShipperOptions{
		Interval:        bounds.QueuePollInterval,
		MessagesPerHead: uint64(cmp.Or(settings.Heads, bounds.ChainHeadMessages)),
		HeadInterval:    cmp.Or(settings.HeadsTime, bounds.ChainHeadInterval),
		Now:             time.Now,
	}
}

// buildVersion returns the version of the program from its build information.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version[:min(len(info.Main.Version), maxVersionLength)]
}

// clockQuality reports whether the system clock is synchronized and, if so, its maximum error.
func clockQuality() audit.ClockQuality {
	var clock unix.Timex
	state, err := unix.Adjtimex(&clock)
	if err != nil || state == unix.TIME_ERROR || clock.Status&unix.STA_UNSYNC != 0 {
		return audit.ClockQuality{}
	}
	return audit.ClockQuality{Synced: true, Accuracy: time.Duration(clock.Maxerror) * time.Microsecond}
}

// reportLosses records how many records were dropped, and repeats this after every report interval.
func (r *auditRecording) reportLosses() {
	r.recorder.ReportDropped()
	r.loop.AfterFunc(r.limits.Audit.LossReportInterval, r.reportLosses)
}

// routerAudit returns the recorder that the core reports to, or nil if recording is off.
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

// routerStateChanged records that the router was drained, was activated again or is shutting down.
func (r *auditRecording) routerStateChanged(state, requestedBy string) {
	if r != nil {
		r.recorder.Record(audit.Router{State: state, Source: requestedBy})
	}
}

// endpointStateChanged records that an endpoint was suspended or resumed.
func (r *auditRecording) endpointStateChanged(id, state, requestedBy string) {
	if r != nil {
		r.recorder.Record(audit.EndpointStateChange{Endpoint: id, State: state, Source: requestedBy})
	}
}

// reloaded records that the configuration was reloaded or, if reason is not nil, why the reload was rejected.
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

// applyDeploy applies the settings that SIGHUP may change: the collectors, their certificates, the chain key and the
// recording rules. All other settings are read only at the start.
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
	r.sender.SetCollectors(deploy.Syslog.ParsedCollectors, deploy.Syslog.TLS.Config)
	r.deploy = deploy
	r.log.Info("audit recording reconfigured", "collectors", fmt.Sprint(deploy.Syslog.ParsedCollectors))
	r.reloaded(reloadedDeploy, nil)
}

// checkDeploy returns the recording rules of the deploy file, or an error if the file can't be applied.
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

// useChainKey passes a new key to the shipper. It returns false if the shipper has not applied the previous change yet.
func (r *auditRecording) useChainKey(settings config.Audit) bool {
	key := currentChainKey(settings)
	if key == nil || *key == *currentChainKey(r.deploy.Audit) {
		return true
	}
	return r.shipper.UseKey(*key)
}

// close records the end of the process and ships the queued records. It returns after flushTimeout at the latest, so
// that the process ends even if no collector accepts them.
func (r *auditRecording) close(counts router.Counts) {
	if r == nil {
		return
	}
	r.recorder.End(audit.End{
		Accepted:     counts.Accepted,
		Served:       counts.Served,
		Rejected:     counts.Rejected,
		Failed:       counts.Failed,
		Disconnected: counts.Disconnected,
	})
	unshipped := r.shipper.Close(r.flushTimeout / 2)
	r.sender.Close(r.flushTimeout / 2)
	stats := r.sender.Stats()
	r.log.Info("audit recording ended", "records", r.recorder.LastNumber(),
		"sent", stats.Sent, "spooled", stats.Spooled, "lost", uint64(unshipped)+stats.Lost)
}
