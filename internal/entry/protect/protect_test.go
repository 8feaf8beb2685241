package protect

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"tamarackchute/claim"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/upstream"
)

// fixedGuard runs the dispatch and then returns a fixed result.
type fixedGuard struct {
	result   claim.Result
	dispatch claim.DispatchResult
}

func (f *fixedGuard) Do(ctx context.Context, _ string, _ uint64, d claim.Dispatch) claim.Result {
	_, f.dispatch = d(ctx)
	return f.result
}

// Guards against reporting "not run" for a call that may have run, which leads the
// caller to repeat it. Each result of a claim must reach the caller with the execution
// that is certain.
func TestResultsKeepTheirOutcome(t *testing.T) {
	ended, cancel := context.WithCancelCause(t.Context())
	cancel(errors.New("over"))
	call := gateway.ProtectedCall{Organisation: "o", Key: "k", Digest: "12345678"}
	for name, tc := range map[string]struct {
		ctx        context.Context
		result     claim.Result
		status     int
		ran        outcome.Execution
		retry      time.Duration
		keyUnknown bool
	}{
		"log down": {t.Context(), claim.NotRun{Reason: claim.ReasonLogDown, RetryAfter: time.Second},
			503, outcome.NotRun, time.Second, true},
		"upstream refused": {t.Context(), claim.NotRun{Reason: claim.ReasonUpstream, Scope: claim.ScopeKey},
			503, outcome.NotRun, 0, false},
		"context ended before dispatch": {ended, claim.NotRun{Reason: claim.ReasonCallerGone, Scope: claim.ScopeKey},
			504, outcome.NotRun, 0, false},
		"running": {t.Context(), claim.MayHaveRun{Reason: claim.ReasonRunning},
			409, outcome.MayHaveRun, time.Second, false},
		"context ended while running": {ended, claim.MayHaveRun{Reason: claim.ReasonRunning},
			504, outcome.MayHaveRun, time.Second, false},
		"broken": {t.Context(), claim.MayHaveRun{Reason: claim.ReasonBrokenOff},
			502, outcome.MayHaveRun, 0, false},
		"no outcome":            {t.Context(), claim.MayHaveRun{Reason: claim.ReasonNoOutcome}, 409, outcome.MayHaveRun, 0, false},
		"key reused":            {t.Context(), claim.KeyReused{}, 422, outcome.NotRun, 0, false},
		"key too old":           {t.Context(), claim.KeyTooOld{}, 409, outcome.MayHaveRun, 0, false},
		"response not recorded": {t.Context(), claim.Done{Replayed: true}, 409, outcome.Completed, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, f := New(&fixedGuard{result: tc.result}).Do(tc.ctx, call, func(context.Context) (upstream.ServiceResponse, *outcome.Failure) {
				return upstream.ServiceResponse{}, nil
			})
			require.NotNil(t, f)
			require.Equal(t, tc.status, f.Status)
			require.Equal(t, tc.ran, f.Execution)
			require.Equal(t, tc.retry, f.RetryAfter)
			require.Equal(t, tc.keyUnknown, f.KeyUnknown)
		})
	}
}

// A call that the service refused must be reported to the claim as not run; one
// whose connection broke must not.
func TestDispatchReportsExecution(t *testing.T) {
	for f, want := range map[*outcome.Failure]claim.DispatchResult{
		nil:                             claim.DispatchCompleted,
		{Execution: outcome.NotRun}:     claim.DispatchNotRun,
		{Execution: outcome.MayHaveRun}: claim.DispatchMayHaveRun,
	} {
		g := &fixedGuard{result: claim.Done{ResponseComplete: true, Replayed: true}}
		response, failed := New(g).Do(t.Context(), gateway.ProtectedCall{Digest: "12345678"},
			func(context.Context) (upstream.ServiceResponse, *outcome.Failure) {
				return upstream.ServiceResponse{}, f
			})
		require.Nil(t, failed)
		require.Equal(t, want, g.dispatch)
		require.Equal(t, []upstream.Header{{Name: replayedHeader, Value: "true"}}, response.Headers)
	}
}

// Two organisations that use the same key must not collide: the second one's call
// would be taken for a resend of the first one's. A key with a timestamp must keep it.
func TestKeysOfOrganisationsDiffer(t *testing.T) {
	require.NotEqual(t, ScopedKey("a", "1"), ScopedKey("b", "1"))
	require.NotEqual(t, ScopedKey("a", "b\x001"), ScopedKey("a\x00b", "2"))
	u, err := uuid.NewV7()
	require.NoError(t, err)
	a, b := ScopedKey("a", u.String()), ScopedKey("b", u.String())
	require.NotEqual(t, a, b)
	require.Equal(t, claim.ParseKey(u.String()).CreatedAt.UnixMilli(), claim.ParseKey(a).CreatedAt.UnixMilli())
	require.Equal(t, a, ScopedKey("a", u.String()))
}
