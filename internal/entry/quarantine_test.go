package entry

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/audit"
	"tamarackchute/internal/crash"
	"tamarackchute/internal/settings"
	"tamarackchute/internal/telemetry"
	"tamarackchute/journal/journaltest"
	"tamarackchute/quarantine"
)

// newTestEntry returns an entry that isn't started.
func newTestEntry(t *testing.T, d *settings.Deployment, log infra.Log, instance string) *Entry {
	metrics := telemetry.NewMetrics("chute-entry", instance)
	t.Cleanup(func() { _ = metrics.Close() })
	e, err := New(Config{
		Deployment: d, Instance: instance, Log: log, Upstreams: NewUpstreams(d, httpx.Options{}),
		Secret: []byte("0123456789abcdef0123"), Metrics: metrics, Logger: slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	return e
}

// newFollowingEntry returns an entry that only reads the log.
func newFollowingEntry(t *testing.T, log *journaltest.Log, instance string) *Entry {
	d, err := settings.Load("../../deploy/kalku-rinda/settings.json")
	require.NoError(t, err)
	return follow(t, newTestEntry(t, d, log, instance))
}

// follow lets an entry read the log.
func follow(t *testing.T, e *Entry) *Entry {
	ctx, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = e.journal.Serve(ctx) })
	t.Cleanup(func() { stop(); wg.Wait() })
	<-e.journal.CaughtUp()
	return e
}

// Two crashes with a request in flight quarantine it, and it is answered 422. Guards
// against audit trails that record only releases: every instance's trail must record
// the quarantine exactly once, although each instance reports each crash, and again
// after a release.
func TestQuarantineIsAuditedOnceOnEachInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		d, err := settings.Load("../../deploy/kalku-rinda/settings.json")
		require.NoError(t, err)
		a, b := newFollowingEntry(t, log, d.Instances[0].Name), newFollowingEntry(t, log, d.Instances[1].Name)
		digest := quarantine.DigestOf("m", "/v1/completions", []byte("poison"))
		crash := func(engine string) {
			for _, e := range []*Entry{a, b} {
				require.NoError(t, e.quarantine.Crashed(t.Context(), engine, "1", []quarantine.Digest{digest}))
			}
		}
		crash("e1")
		crash("e2")
		require.NoError(t, a.quarantine.Release(t.Context(), quarantine.Release{Digest: digest, Operator: "anna"}))
		crash("e3")
		crash("e4")
		synctest.Wait()
		late := newFollowingEntry(t, log, d.Instances[2].Name)
		record := func(engines string) audit.Record {
			return audit.Record{
				Who: a.self.Name + "/entry", What: audit.QuarantineEntered, Target: digest.String(),
				Reason: "in flight at the crashes of " + engines, From: "suspected", To: "quarantined",
			}
		}
		want := []audit.Record{record("e3, e4"), record("e1, e2")}
		for _, e := range []*Entry{a, b, late} {
			got := e.trail.Latest(10)
			require.Equal(t, a.trail.Latest(10), got, e.self.Name)
			for i := range got {
				require.WithinDuration(t, time.Now(), got[i].At, time.Minute)
				got[i].At = time.Time{}
			}
			require.Equal(t, want, got, e.self.Name)
		}
	})
}

// Guards against crashes of plain services that only the entry that saw them knows, or that count
// against the requests of engines.
func TestCrashesOfServicesAreKnownAtEachEntry(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	d, err := settings.Load("../../deploy/kalku-rinda/settings.json")
	require.NoError(t, err)
	for i := range d.Upstreams {
		d.Upstreams[i].Address = gone.Addr().String()
	}
	services := slices.DeleteFunc(slices.Clone(d.Upstreams), func(u settings.Upstream) bool { return u.Kind != settings.KindService })
	require.GreaterOrEqual(t, len(services), 3)
	log := journaltest.NewLog()
	a, b := follow(t, newTestEntry(t, d, log, d.Instances[0].Name)), follow(t, newTestEntry(t, d, log, d.Instances[1].Name))
	digest := quarantine.DigestOf("", "/x", []byte("lethal"))
	for _, s := range services[:3] {
		a.serviceCrashes.Track(crash.Engine{ID: s.Name}, digest).Break(t.Context())
		a.serviceCrashes.Wait()
	}
	refused := func() bool {
		_, err := b.serviceCrashes.Check(digest)
		return err != nil
	}
	require.Eventually(t, refused, 10*time.Second, time.Millisecond)
	_, err = b.crashDetector.Check(digest)
	require.NoError(t, err)
	operators := releasers{b.quarantine, b.serviceQuarantine}
	require.NoError(t, operators.Release(t.Context(), quarantine.Release{Digest: digest, Operator: "anna"}))
	require.Eventually(t, func() bool { return !refused() }, 10*time.Second, time.Millisecond)
}

// Guards against a call that many callers make, and that is refused after services have crashed at one moment with
// copies of it in flight, though it was answered before.
func TestAnsweredCallOutlivesServicesThatCrashAtOnce(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	d, err := settings.Load("../../deploy/kalku-rinda/settings.json")
	require.NoError(t, err)
	for i := range d.Upstreams {
		d.Upstreams[i].Address = gone.Addr().String()
	}
	log := journaltest.NewLog()
	a, b := follow(t, newTestEntry(t, d, log, d.Instances[0].Name)), follow(t, newTestEntry(t, d, log, d.Instances[1].Name))
	digest := quarantine.DigestOf("", "/x", []byte("common"))
	a.serviceCrashes.Track(crash.Engine{ID: d.Upstreams[0].Name}, digest).End(crash.Completed)
	var runs []*crash.Run
	for _, u := range d.Upstreams {
		runs = append(runs, a.serviceCrashes.Track(crash.Engine{ID: u.Name}, digest))
	}
	for _, r := range runs {
		r.Break(t.Context())
	}
	a.serviceCrashes.Wait()
	known := func() bool {
		suspected, err := b.serviceCrashes.Check(digest)
		return suspected || err != nil
	}
	require.Eventually(t, known, 10*time.Second, time.Millisecond)
	for _, e := range []*Entry{a, b} {
		suspected, err := e.serviceCrashes.Check(digest)
		require.NoError(t, err)
		require.True(t, suspected, "it is tried")
	}
}
