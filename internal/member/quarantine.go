package member

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/infra"
	"tamarackchute/internal/crash"
	"tamarackchute/internal/daemonstatus"
	"tamarackchute/internal/telemetry"
	"tamarackchute/internal/wire"
	"tamarackchute/journal"
	"tamarackchute/quarantine"
)

// maxLoggedDigests limits the digests in the log line of a crash.
const maxLoggedDigests = 16

// quarantineExchange shares with all daemons which requests crash upstreams: over the links to
// other daemons, which takes milliseconds, and over a journal, which outlives the daemons.
type quarantineExchange struct {
	guard    *quarantine.Guard
	detector *crash.Detector
	entries  *journal.Journal
	reader   *pacedLog
	log      *slog.Logger
	metrics  *telemetry.Metrics

	mu sync.Mutex
	// informed is when each daemon was last sent all reports, by peer address.
	informed map[string]time.Time
}

func newQuarantineExchange(m *Member, log infra.Log) *quarantineExchange {
	s := m.cfg.Settings
	x := &quarantineExchange{log: m.log, metrics: m.cfg.Metrics, informed: make(map[string]time.Time)}
	x.reader = &pacedLog{Log: log, heardByOthers: m.peers.ReportsInDataCentre}
	writer := quarantineWriter(s.Instance)
	x.entries = journal.New(x.reader, journal.Config{Writer: writer, Retention: s.StoreRetention, LongPoll: longPollTimeout, Logger: m.log})
	x.guard = quarantine.NewGuard(quarantine.NoIsolationConfig(), x.entries, writer, nil)
	x.guard.LimitCheckpoints(m.peers.ReadsFirst)
	x.guard.Observe(x.logEntered)
	x.guard.ObserveSpared(x.logSpared)
	x.guard.ObserveCleared(x.logCleared)
	x.guard.Publish(func(e journal.Entry) { m.peers.broadcast(reportMessage(e, false)) }, m.peers.HearsAll)
	x.entries.Register(journal.KindQuarantine, restorableGuard{x.guard})
	x.detector = crash.New(x.guard, func(ctx context.Context, e crash.Engine) error { return m.relay.ProbeEngine(ctx, e) })
	x.detector.OnCrash(x.recordCrash)
	m.peers.onQuarantineReport = x.hear
	m.peers.onRestart = func(instance string) { x.guard.Restarted(quarantineWriter(instance)) }
	m.peers.quarantineFingerprint = x.guard.Fingerprint
	m.peers.onQuarantineFingerprint = func(address string, fingerprint uint64) {
		if fingerprint != x.guard.Fingerprint() && x.mayInform(address, time.Now()) {
			x.inform(func(r wire.QuarantineReport) { m.peers.sendTo(address, r) })
		}
	}
	return x
}

// quarantineWriter names a daemon's reports.
func quarantineWriter(instance string) string { return instance + "/quarantine" }

// restorableGuard makes a guard follow restores of the journal.
type restorableGuard struct{ *quarantine.Guard }

// Restored implements journal.RestoreListener.
func (g restorableGuard) Restored(infra.Offset) { g.Guard.Restored() }

func reportMessage(e journal.Entry, direct bool) wire.QuarantineReport {
	return wire.QuarantineReport{ID: e.ID, Writer: e.Writer, Body: e.Body, Direct: direct}
}

// hear processes a report of another daemon, and reports whether to pass it on.
func (x *quarantineExchange) hear(m wire.QuarantineReport) bool {
	fresh := x.guard.Hear(journal.Entry{Kind: journal.KindQuarantine, ID: m.ID, Writer: m.Writer, Body: m.Body})
	return fresh && !m.Direct
}

// informInterval is the minimum time between two repetitions of all reports to a daemon: links lose
// messages, but its fingerprint also differs while one is on its way.
const informInterval = 500 * time.Millisecond

// mayInform reports whether a daemon may be told everything now, and reserves that.
func (x *quarantineExchange) mayInform(address string, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now.Sub(x.informed[address]) < informInterval {
		return false
	}
	x.informed[address] = now
	return true
}

// inform sends all that a daemon which knows something else may have missed.
func (x *quarantineExchange) inform(send func(wire.QuarantineReport)) {
	for _, e := range x.guard.Reports() {
		send(reportMessage(e, true))
	}
}

func (x *quarantineExchange) recordCrash(e crash.Engine, inFlight []quarantine.Digest) {
	x.metrics.Scope.Counter("upstreams_crashed").Inc(1)
	logged := make([]string, 0, maxLoggedDigests)
	for _, d := range inFlight[:min(len(inFlight), maxLoggedDigests)] {
		logged = append(logged, d.String())
	}
	x.log.Warn("upstream crashed", "upstream", e.ID, "incarnation", e.Incarnation, "in_flight", len(inFlight), "digests", logged)
}

func (x *quarantineExchange) logEntered(e quarantine.Entered) {
	x.log.Warn("request quarantined", "digest", e.Digest.String(), "part", e.Digest.IsPart(), "crashed", e.Upstreams, "reported_by", e.Writer,
		"strikes", e.Strikes, "trials", e.Trials, "answered", e.Answered)
}

func (x *quarantineExchange) logSpared(e quarantine.Entered) {
	x.log.Info("request not quarantined, as it was answered before the crashes", "digest", e.Digest.String(), "crashed", e.Upstreams,
		"reported_by", e.Writer, "strikes", e.Strikes, "trials", e.Trials)
}

func (x *quarantineExchange) logCleared(c quarantine.Cleared) {
	x.log.Info("suspect cleared by a response", "digest", c.Digest.String(), "part", c.Digest.IsPart(), "strikes", c.Strikes, "reported_by", c.Writer)
}

// startLog logs once what a start has read of requests that crash upstreams. It is a suture.Service.
type startLog struct{ exchange *quarantineExchange }

// String implements fmt.Stringer; the supervisor logs it.
func (s startLog) String() string { return "verdicts at the start" }

// Serve implements suture.Service.
func (s startLog) Serve(ctx context.Context) error {
	began := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.exchange.entries.CaughtUp():
	}
	suspected, quarantined := 0, 0
	for _, listed := range s.exchange.guard.List() {
		if listed.Verdict.Status == quarantine.Quarantined {
			quarantined++
		} else {
			suspected++
		}
	}
	s.exchange.log.Info("verdicts read", "suspected", suspected, "quarantined", quarantined, "entries", s.exchange.entries.Stats().Applied,
		"took_ms", telemetry.Millis(time.Since(began)))
	return suture.ErrDoNotRestart
}

// services returns what keeps the journal and the guard going.
func (x *quarantineExchange) services(retention time.Duration) []suture.Service {
	return []suture.Service{x.entries, &guardService{guard: x.guard, retention: retention}, startLog{x}}
}

// guardService retries reports and writes checkpoints.
type guardService struct {
	guard     *quarantine.Guard
	retention time.Duration
}

// String implements fmt.Stringer; the supervisor logs it.
func (g *guardService) String() string { return "quarantine" }

// Serve implements suture.Service.
func (g *guardService) Serve(ctx context.Context) error { return g.guard.Serve(ctx, g.retention) }

// minReadInterval is the minimum time between two reads of the journal: what has to be known sooner
// comes from other daemons.
const minReadInterval = time.Second

// pacedLog limits the reads of a log whose news also come from other daemons.
type pacedLog struct {
	infra.Log
	backoff *backoff
	// heardByOthers reports whether other daemons pass on what the log brings.
	heardByOthers func() bool

	mu     sync.Mutex
	cancel context.CancelFunc
	readAt time.Time
}

// Read implements infra.Log.
func (l *pacedLog) Read(ctx context.Context, from infra.Offset, limit int, wait time.Duration) (infra.ReadResult, error) {
	for {
		attempt, cancel := context.WithCancel(ctx)
		l.setCancel(cancel)
		result, err := l.read(attempt, from, limit, wait)
		restarted := attempt.Err() != nil && ctx.Err() == nil
		cancel()
		if !restarted {
			return result, err
		}
		wait = 0
	}
}

func (l *pacedLog) read(ctx context.Context, from infra.Offset, limit int, wait time.Duration) (infra.ReadResult, error) {
	l.backoff.await(ctx)
	if wait > 0 && l.heardByOthers() {
		sleep(ctx, rarePollInterval)
		wait = 0
	}
	sleep(ctx, time.Until(l.readAt.Add(minReadInterval)))
	start := time.Now()
	l.readAt = start
	result, err := l.Log.Read(ctx, from, limit, wait)
	var missing *infra.TrimmedError
	var restored *infra.RestoredError
	switch {
	case err == nil, errors.As(err, &missing), errors.As(err, &restored):
		l.backoff.recordSuccess(time.Now())
	case ctx.Err() == nil:
		l.backoff.recordFailure(start, time.Now())
	}
	return result, err
}

func (l *pacedLog) setCancel(cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancel = cancel
}

// restartRead cancels the read in progress: its connection may have failed silently.
func (l *pacedLog) restartRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel()
	}
}

// addStatus adds what is quarantined.
func (x *quarantineExchange) addStatus(d *daemonstatus.Daemon) {
	for _, q := range x.guard.List() {
		if q.Verdict.Status != quarantine.Quarantined {
			d.Suspects++
			continue
		}
		d.Quarantined = append(d.Quarantined, daemonstatus.Quarantined{
			Digest: q.Digest.String(), Part: q.Digest.IsPart(), Crashed: q.Verdict.Upstreams, RemainingMS: telemetry.Millis(q.Verdict.Remaining),
		})
	}
}

const (
	// maxReleaseBytes limits the body of a release, releaseTimeout the time to write it to the
	// journal.
	maxReleaseBytes = 4 << 10
	releaseTimeout  = 3 * time.Second
)

// serveRelease lets a quarantined request run again, on an operator's request.
func (x *quarantineExchange) serveRelease(w http.ResponseWriter, r *http.Request) {
	var release daemonstatus.Release
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReleaseBytes)).Decode(&release); err != nil {
		http.Error(w, "the body is no release: "+err.Error(), http.StatusBadRequest)
		return
	}
	digest, err := quarantine.ParseDigest(release.Digest)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if release.Operator == "" || release.Reason == "" {
		http.Error(w, "a release needs an operator and a reason", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), releaseTimeout)
	defer cancel()
	err = x.guard.Release(ctx, quarantine.Release{Digest: digest, Operator: release.Operator, Reason: release.Reason})
	x.log.Warn("release of a quarantined request", "digest", release.Digest, "operator", release.Operator, "reason", release.Reason, "err", err)
	if err != nil {
		http.Error(w, "not released for certain, try again: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
