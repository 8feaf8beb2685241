package member

import (
	"context"
	"log/slog"
	"time"

	"tamarackchute/freshness"
)

const (
	// lagCheckInterval is how often a daemon checks whether its configuration is outdated.
	lagCheckInterval = 250 * time.Millisecond
	// lagTolerance is how long it may be without a report: new versions take a moment to arrive.
	lagTolerance = time.Second
	// lagReportInterval is the minimum time between two reports.
	lagReportInterval = 5 * time.Second
)

// configLag reports that the configuration in force stays older than another daemon's. It is a
// suture.Service.
type configLag struct {
	freshness *configFreshness
	configs   *configFeed
	// storeDown reports whether reads of the configuration fail.
	storeDown func() bool
	log       *slog.Logger

	since, reportedAt time.Time
}

// String implements fmt.Stringer; the supervisor logs it.
func (l *configLag) String() string { return "reports of an outdated configuration" }

// Serve implements suture.Service.
func (l *configLag) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, lagCheckInterval)
		l.check(time.Now())
	}
	return ctx.Err()
}

func (l *configLag) check(now time.Time) {
	s := l.freshness.Standing()
	if !s.Outdated() {
		if !l.reportedAt.IsZero() {
			l.log.Info("configuration no longer outdated", "version", s.Version, "lasted_ms", now.Sub(l.since).Milliseconds())
		}
		l.since, l.reportedAt = time.Time{}, time.Time{}
		return
	}
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) < lagTolerance || now.Sub(l.reportedAt) < lagReportInterval {
		return
	}
	l.reportedAt = now
	l.log.Warn("configuration outdated", "version", s.Version, "newest", s.Newest, "named_by", s.NamedBy, "lasted_ms", now.Sub(l.since).Milliseconds(),
		"config_age_ms", freshness.Millis(s.Age), "proven_by", s.ProvenBy, "reason", l.reason())
}

// reason returns why the newer version isn't in force, as far as known here.
func (l *configLag) reason() string {
	switch {
	case l.configs.lastRejection.Load() != nil:
		return "rejected"
	case l.storeDown():
		return "store lost"
	default:
		return "not received"
	}
}
