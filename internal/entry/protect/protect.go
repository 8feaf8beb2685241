// Package protect runs protected calls under claims and translates the results
// into responses and failures for the caller.
package protect

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"tamarackchute/claim"
	"tamarackchute/internal/entry/callerwatch"
	"tamarackchute/internal/entry/gateway"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/upstream"
)

// Guard runs a call unless its key was claimed before; claim.Guard implements it.
type Guard interface {
	Do(ctx context.Context, key string, digest uint64, dispatch claim.Dispatch) claim.Result
}

// Runner implements gateway.ProtectedRunner.
type Runner struct{ guard Guard }

// New returns a runner whose calls are claimed at a guard.
func New(g Guard) *Runner { return &Runner{g} }

// retryAfterRunning is the Retry-After for a key whose call is still in progress.
const retryAfterRunning = time.Second

// Do implements gateway.ProtectedRunner.
func (r *Runner) Do(ctx context.Context, p gateway.ProtectedCall, run gateway.CallFunc) (upstream.ServiceResponse, *outcome.Failure) {
	result := r.guard.Do(ctx, ScopedKey(p.Organisation, p.Key), shortDigest(p), func(ctx context.Context) (claim.Response, claim.DispatchResult) {
		response, f := run(ctx)
		switch {
		case f == nil:
			return claim.Response(response), claim.DispatchCompleted
		case f.Execution == outcome.NotRun:
			return claim.Response{}, claim.DispatchNotRun
		default:
			return claim.Response{}, claim.DispatchMayHaveRun
		}
	})
	return translate(ctx, result)
}

// ScopedKey makes equal keys of different organisations different. A version 7
// UUID keeps its timestamp, by which the claims recognise a key that is too old;
// only its random part changes.
func ScopedKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return organisation + "\x00" + key
	}
	const timeBytes = 6
	copy(u[timeBytes:], sum[:])
	u[6] = u[6]&0x0f | 0x70 // version 7
	u[8] = u[8]&0x3f | 0x80 // the variant of RFC 9562
	return u.String()
}

// shortDigest distinguishes a resend from another call under the same key. The
// first 64 bits suffice: they detect a caller's mistake, not an attack.
func shortDigest(p gateway.ProtectedCall) uint64 {
	return binary.BigEndian.Uint64([]byte(p.Digest))
}

// translate turns the result of a claim into a response or a failure.
func translate(ctx context.Context, result claim.Result) (upstream.ServiceResponse, *outcome.Failure) {
	switch r := result.(type) {
	case claim.Done:
		return completedResponse(r)
	case claim.NotRun:
		return upstream.ServiceResponse{}, notRun(ctx, r)
	case claim.MayHaveRun:
		return upstream.ServiceResponse{}, mayHaveRun(ctx, r)
	case claim.KeyReused:
		return upstream.ServiceResponse{}, outcome.Refused(http.StatusUnprocessableEntity, outcome.CodeKeyReused,
			"the idempotency key belongs to a different request")
	case claim.KeyTooOld:
		// The request itself did not run, but the caller needs to know about the key,
		// and an earlier request with it may have run.
		return upstream.ServiceResponse{}, failure(http.StatusConflict, outcome.CodeKeyExpired, outcome.MayHaveRun,
			"the idempotency key is older than keys are known; an earlier request with it may have run")
	default:
		panic("protect: unknown result of a claim")
	}
}

// replayedHeader marks a response that was recorded for an earlier request with
// the same key.
const replayedHeader = "Chute-Replayed"

func completedResponse(r claim.Done) (upstream.ServiceResponse, *outcome.Failure) {
	if !r.ResponseComplete {
		f := failure(http.StatusConflict, outcome.CodeResponseNotRecorded, outcome.Completed,
			"the call ran; its answer is no longer kept, or was too large to be")
		return upstream.ServiceResponse{}, f
	}
	response := upstream.ServiceResponse(r.Response)
	if r.Replayed {
		replayed := upstream.Header{Name: replayedHeader, Value: "true"}
		response.Headers = append(append([]upstream.Header(nil), response.Headers...), replayed)
	}
	return response, nil
}

func notRun(ctx context.Context, r claim.NotRun) *outcome.Failure {
	code := outcome.CodeClaimFailed
	if r.Reason == claim.ReasonUpstream {
		code = outcome.CodeNoUpstream
	}
	f := outcome.Refused(http.StatusServiceUnavailable, code, "this request was not run: %s", r.Reason)
	f.RetryAfter = r.RetryAfter
	f.KeyUnknown = r.Scope == claim.ScopeRequest
	if f.KeyUnknown {
		f.Message += "; whether an earlier one with its key ran is not known now"
	}
	if r.Reason == claim.ReasonCallerGone && ctx.Err() != nil {
		f.Status, f.Code = contextStatus(ctx)
	}
	return f
}

func mayHaveRun(ctx context.Context, r claim.MayHaveRun) *outcome.Failure {
	switch {
	case r.Reason == claim.ReasonRunning && ctx.Err() != nil:
		status, code := contextStatus(ctx)
		return failure(status, code, outcome.MayHaveRun,
			"the time was up while the call may be running; ask again with the same key").WithRetryAfter(retryAfterRunning)
	case r.Reason == claim.ReasonRunning:
		return failure(http.StatusConflict, outcome.CodeKeyInProgress, outcome.MayHaveRun,
			"a request with this key may be running; ask again with the same key").WithRetryAfter(retryAfterRunning)
	case r.Reason == claim.ReasonBrokenOff:
		return failure(http.StatusBadGateway, outcome.CodeUpstreamBroken, outcome.MayHaveRun,
			"the service broke off; the call is not run again")
	default:
		return failure(http.StatusConflict, outcome.CodeUpstreamBroken, outcome.MayHaveRun,
			"the call was claimed and no outcome is known; it is not run again")
	}
}

// contextStatus returns the status and code of an ended context: the caller has
// closed its connection, or the deadline has passed.
func contextStatus(ctx context.Context) (status int, code outcome.Code) {
	if errors.Is(context.Cause(ctx), callerwatch.ErrGone) {
		return outcome.StatusCallerGone, outcome.CodeCallerGone
	}
	return http.StatusGatewayTimeout, outcome.CodeDeadline
}

func failure(status int, code outcome.Code, ran outcome.Execution, message string) *outcome.Failure {
	return &outcome.Failure{Status: status, Code: code, Message: message, Execution: ran}
}
