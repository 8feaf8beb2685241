package claim_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

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

// service counts the runs of a booking and answers each with its number.
type service struct{ runs int }

func (s *service) book(context.Context) (claim.Recorded, claim.DispatchError) {
	s.runs++
	return claim.Recorded{
		Status:  201,
		Headers: []upstream.Header{{Name: "Location", Value: "/bookings/1"}},
		Body:    []byte("booked"),
	}, claim.DispatchAnswered
}

// do makes a call with a deadline of ten seconds.
func (in *instance) do(key string, d claim.Dispatch) claim.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return in.Do(ctx, key, 1, d)
}

func TestResendAtAnotherInstanceGetsTheRecordedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, s := journaltest.NewLog(), &service{}
		a, b := start(t, log, "a", claim.Config{}), start(t, log, "b", claim.Config{})
		first := a.do("k", s.book)
		require.IsType(t, claim.Done{}, first)
		require.False(t, first.(claim.Done).Replayed)
		synctest.Wait()
		second := b.do("k", s.book).(claim.Done)
		require.True(t, second.Replayed)
		require.True(t, second.AnswerKept)
		require.Equal(t, first.(claim.Done).Recorded, second.Recorded)
		require.Equal(t, 1, s.runs)
		require.Equal(t, claim.KeyReused{}, b.Do(t.Context(), "k", 2, s.book))
	})
}

// A driver's phone sends a booking twice, to two instances, within a
// millisecond. Both claim it. Only the claim that stands first in the log may
// run; the other request waits for that run's answer.
func TestSameKeyAtTwoInstancesRunsOnce(t *testing.T) {
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
		require.Equal(t, 1, s.runs)
		for _, r := range results {
			require.Equal(t, "booked", string(r.(claim.Done).Recorded.Body))
		}
	})
}
