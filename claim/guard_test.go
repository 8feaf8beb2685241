package claim_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"tamarackchute/claim"
	"tamarackchute/journal"
	"tamarackchute/journal/journaltest"
	"tamarackchute/upstream"
)

// instance is one process with a journal and a guard.
type instance struct {
	*claim.Guard
	journal *journal.Journal
	stop    func()
}

func start(t *testing.T, log *journaltest.Log, name string, cfg claim.Config) *instance {
	j := journal.New(log, journal.Config{Writer: name, Retention: cfg.Retention, Logger: slog.New(slog.DiscardHandler)})
	cfg.Writer = name
	g, err := claim.NewGuard(j, cfg)
	require.NoError(t, err)
	j.Register(journal.KindClaim, g)
	jctx, stopJournal := context.WithCancel(context.Background())
	gctx, stopGuard := context.WithCancel(context.Background())
	var jwg, gwg conc.WaitGroup
	jwg.Go(func() { _ = j.Serve(jctx) })
	gwg.Go(func() { _ = g.Serve(gctx) })
	stopped := false
	in := &instance{Guard: g, journal: j}
	in.stop = func() {
		if !stopped {
			stopped = true
			stopGuard()
			gwg.Wait()
			stopJournal()
			jwg.Wait()
		}
	}
	t.Cleanup(in.stop)
	<-j.CaughtUp()
	return in
}

// service is an upstream that counts the calls it runs.
type service struct{ runs atomic.Int64 }

func (s *service) book(context.Context) (claim.Response, claim.DispatchResult) {
	s.runs.Add(1)
	return claim.Response{
		Status:  201,
		Headers: []upstream.Header{{Name: "Location", Value: "/bookings/1"}},
		Body:    []byte("booked"),
	}, claim.DispatchCompleted
}

// do makes a call with a deadline of ten seconds.
func (in *instance) do(key string, d claim.Dispatch) claim.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return in.Do(ctx, key, 1, d)
}

func TestRetryAtAnotherInstanceGetsRecordedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, s := journaltest.NewLog(), &service{}
		a, b := start(t, log, "a", claim.Config{}), start(t, log, "b", claim.Config{})
		first := a.do("k", s.book)
		require.IsType(t, claim.Done{}, first)
		require.False(t, first.(claim.Done).Replayed)
		synctest.Wait()
		second := b.do("k", s.book).(claim.Done)
		require.True(t, second.Replayed)
		require.True(t, second.ResponseComplete)
		require.Equal(t, first.(claim.Done).Response, second.Response)
		require.EqualValues(t, 1, s.runs.Load())
		require.Equal(t, claim.KeyReused{}, b.Do(t.Context(), "k", 2, s.book))
	})
}

// Guards against two runs of one key when several instances claim it within
// milliseconds: only the claim that is first in the log may run, and the other
// requests wait for its response.
func TestSameKeyAtSeveralInstancesRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, s := journaltest.NewLog(), &service{}
		log.SetLatency(2 * time.Millisecond)
		var wg conc.WaitGroup
		results := make([]claim.Result, 4)
		for i, name := range []string{"a", "b", "c", "d"} {
			in := start(t, log, name, claim.Config{})
			wg.Go(func() {
				results[i] = in.do("k", s.book)
			})
		}
		wg.Wait()
		require.EqualValues(t, 1, s.runs.Load())
		for _, r := range results {
			require.Equal(t, "booked", string(r.(claim.Done).Response.Body))
		}
	})
}

// call returns a dispatch with a given result, counted as a run unless refused.
func (s *service) call(after time.Duration, body string, result claim.DispatchResult) claim.Dispatch {
	return func(ctx context.Context) (claim.Response, claim.DispatchResult) {
		if result != claim.DispatchNotRun {
			s.runs.Add(1)
		}
		time.Sleep(after)
		return claim.Response{Status: 201, Body: []byte(body)}, result
	}
}

// Each case gives the result of the first request during a failure, and that of
// a retry at another instance a minute after the failure has ended.
func TestResultsDuringFailures(t *testing.T) {
	const big = 1 << 12
	done := claim.Done{Response: claim.Response{Status: 201, Body: []byte("booked")}, ResponseComplete: true}
	replayed := done
	replayed.Replayed = true
	refused := func(r claim.NotRunReason, s claim.Scope) claim.NotRun {
		return claim.NotRun{Reason: r, Scope: s, RetryAfter: time.Second}
	}
	for _, c := range []struct {
		name         string
		faults       []journaltest.Fault
		outage       bool
		after        time.Duration
		body         string
		dispatch     claim.DispatchResult
		first, retry claim.Result
		runs         int
	}{
		{name: "reply of the claim lost", faults: []journaltest.Fault{journaltest.FaultReplyLost}, first: done, retry: replayed, runs: 1},
		// The claim reaches the log after 30 s, when the caller has got NotRun. It
		// must not run then; it is withdrawn, and the retry runs.
		{name: "claim reaches the log late", faults: []journaltest.Fault{journaltest.FaultHang},
			first: refused(claim.ReasonClaimUnclear, claim.ScopeRequest), retry: done, runs: 1},
		{name: "claim refused by the log", faults: []journaltest.Fault{
			journaltest.FaultNotWritten, journaltest.FaultNotWritten, journaltest.FaultNotWritten,
			journaltest.FaultNotWritten, journaltest.FaultNotWritten, journaltest.FaultNotWritten},
			first: refused(claim.ReasonLogDown, claim.ScopeRequest), retry: done, runs: 1},
		{name: "log down", outage: true, first: refused(claim.ReasonLogDown, claim.ScopeRequest), retry: done, runs: 1},
		// The caller gets the response although no reply confirms its record.
		{name: "reply of the outcome lost", faults: []journaltest.Fault{journaltest.FaultNone, journaltest.FaultLost}, first: done, retry: replayed, runs: 1},
		{name: "upstream refuses", dispatch: claim.DispatchNotRun, first: refused(claim.ReasonUpstream, claim.ScopeKey), retry: done, runs: 1},
		{name: "upstream connection breaks", dispatch: claim.DispatchMayHaveRun, first: claim.MayHaveRun{Reason: claim.ReasonBrokenOff},
			retry: claim.MayHaveRun{Reason: claim.ReasonBrokenOff}, runs: 1},
		{name: "caller's deadline passes first", after: 20 * time.Second, first: claim.MayHaveRun{Reason: claim.ReasonRunning}, retry: replayed, runs: 1},
		{name: "large response", body: string(make([]byte, big)),
			first: claim.Done{Response: claim.Response{Status: 201, Body: make([]byte, big)}, ResponseComplete: true},
			retry: claim.Done{Response: claim.Response{Status: 201}, Replayed: true}, runs: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, s := journaltest.NewLog(), &service{}
				log.SetLateAfter(30 * time.Second)
				cfg := claim.Config{MaxRecordedBytes: big / 2}
				a, b := start(t, log, "a", cfg), start(t, log, "b", cfg)
				log.Fail(c.faults...)
				log.Outage(c.outage)
				time.Sleep(5 * time.Second)
				body := c.body
				if body == "" {
					body = "booked"
				}
				require.Equal(t, c.first, a.do("k", s.call(c.after, body, c.dispatch)))
				log.Outage(false)
				time.Sleep(time.Minute)
				require.Equal(t, c.retry, b.do("k", s.call(0, body, claim.DispatchCompleted)))
				require.EqualValues(t, c.runs, s.runs.Load())
			})
		})
	}
}

// Guards against a second run after an instance died between its claim and the
// outcome. A retry at another instance must return MayHaveRun, and without a wait
// once no outcome is expected any more.
func TestClaimantDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, s := journaltest.NewLog(), &service{}
		a, b := start(t, log, "a", claim.Config{DrainTimeout: time.Second}), start(t, log, "b", claim.Config{})
		var wg conc.WaitGroup
		wg.Go(func() { a.do("k", s.call(20*time.Second, "never recorded", claim.DispatchCompleted)) })
		time.Sleep(time.Second)
		a.stop()
		require.Equal(t, claim.MayHaveRun{Reason: claim.ReasonRunning}, b.do("k", s.book))
		time.Sleep(time.Minute)
		started := time.Now()
		require.Equal(t, claim.MayHaveRun{Reason: claim.ReasonNoOutcome}, b.do("k", s.book))
		require.Equal(t, started, time.Now())
		require.EqualValues(t, 1, s.runs.Load())
		wg.Wait()
	})
}

// Guards against a second run by an instance that started after the call's
// records had expired from the log: checkpoints must keep the key known for its
// TTL, and a timed key past the TTL must be refused as too old.
func TestKeysOutliveLogRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, s := journaltest.NewLog(), &service{}
		a := start(t, log, "a", claim.Config{})
		old, err := uuid.NewV7()
		require.NoError(t, err)
		require.IsType(t, claim.Done{}, a.do("plain", s.book))
		require.IsType(t, claim.Done{}, a.do(old.String(), s.book))
		sleepAndTrim(log, 6*time.Hour)
		b := start(t, log, "b", claim.Config{})
		for _, key := range []string{"plain", old.String()} {
			require.Equal(t, claim.Done{Response: claim.Response{Status: 201}, Replayed: true}, b.do(key, s.book))
		}
		sleepAndTrim(log, 24*time.Hour)
		require.Equal(t, claim.KeyTooOld{}, b.do(old.String(), s.book))
		require.EqualValues(t, 2, s.runs.Load())
		a.stop()
		require.Equal(t, claim.ReasonShuttingDown, a.do("other", s.book).(claim.NotRun).Reason)
	})
}

// sleepAndTrim sleeps for d and trims the log to an hour of retention.
func sleepAndTrim(log *journaltest.Log, d time.Duration) {
	for range int(d / (10 * time.Minute)) {
		time.Sleep(10 * time.Minute)
		log.TrimBefore(time.Now().Add(-time.Hour))
	}
}

// All records have expired, and instance b started later than a, so its gap is
// wider. Once the operator accepts the gap at a, b must not refuse untimed keys
// until the next regular checkpoint, and must know the calls that a ran since.
func TestAcceptGapClosesWiderGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, s := journaltest.NewLog(), &service{}
		log.Put([]byte("expired"))
		log.Put([]byte("expired"))
		log.Trim(2)
		a := start(t, log, "a", claim.Config{})
		log.Trim(3)
		b := start(t, log, "b", claim.Config{})
		for _, in := range []*instance{a, b} {
			require.Equal(t, claim.ReasonHistoryUnknown, in.do("k", s.book).(claim.NotRun).Reason)
		}
		require.NoError(t, a.AcceptGap(t.Context()))
		synctest.Wait()
		require.True(t, b.Stats().Complete)
		require.False(t, a.do("k", s.book).(claim.Done).Replayed)
		synctest.Wait()
		require.True(t, b.do("k", s.book).(claim.Done).Replayed)
		appends := log.Appends()
		require.NoError(t, a.AcceptGap(t.Context()))
		require.Equal(t, appends, log.Appends(), "no gap is left to accept")
	})
}
