package answer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/internal/crash"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

const totalTokens = 12

// fault describes how one attempt fails.
type fault struct {
	// replay is how many earlier tokens are sent again; skipAt, if above 0, is how many
	// tokens are sent before one is omitted; breakAfter is how many are sent before the
	// stream breaks, or with endEarly before it ends without a finish reason.
	replay, skipAt, breakAfter int
	endEarly                   bool
	refuse                     error
}

// fakeFleet is a fleet of engines whose attempts follow a script, one fault each.
type fakeFleet struct {
	script      []fault
	wrongPriors []string
	reserved    map[string]int
}

func (f *fakeFleet) Engine(name string) upstream.Engine { return fakeEngine{f, name} }

func (f *fakeFleet) Reserve(name string) bool { f.reserved[name]++; return true }
func (f *fakeFleet) Release(name string)      { f.reserved[name]-- }
func (f *fakeFleet) Allow() bool              { return true }

func (f *fakeFleet) Check(quarantine.Digest) (bool, error)   { return false, nil }
func (f *fakeFleet) MayRunOn(string, quarantine.Digest) bool { return true }
func (f *fakeFleet) IsolationError(quarantine.Digest) error  { return nil }
func (f *fakeFleet) detector() *crash.Detector {
	return crash.New(noQuarantine{}, crash.ProbeByID(unreachable))
}
func unreachable(context.Context, string) error { return upstream.ErrNotSent }
func (f *fakeFleet) Begin(ctx context.Context, e string, d quarantine.Digest, s bool) (*crash.Run, error) {
	return f.detector().Begin(ctx, e, d, s)
}

type noQuarantine struct{ crash.Quarantine }

func (noQuarantine) Completed(quarantine.Digest) {}
func (noQuarantine) CompletedHead(uint64)        {}

func (noQuarantine) RecordCrash(string, string, []quarantine.Digest, ...quarantine.Digest) func(context.Context) error {
	return func(context.Context) error { return nil }
}

type fakeEngine struct {
	fleet *fakeFleet
	name  string
}

func (e fakeEngine) Generate(_ context.Context, r upstream.GenerateRequest) (upstream.TokenStream, error) {
	prior := ""
	for i := range r.PriorTokens {
		prior += word(i)
	}
	if r.Prior != prior {
		e.fleet.wrongPriors = append(e.fleet.wrongPriors, r.Prior)
	}
	f := fault{breakAfter: totalTokens + 1}
	if len(e.fleet.script) > 0 {
		f, e.fleet.script = e.fleet.script[0], e.fleet.script[1:]
	}
	if f.refuse != nil {
		return nil, f.refuse
	}
	return &scriptedStream{fault: f, next: max(0, r.PriorTokens-f.replay)}, nil
}

func (fakeEngine) Resume(context.Context, string, int) (upstream.TokenStream, error) {
	return nil, upstream.ErrGone
}

func (fakeEngine) Prefill(context.Context, upstream.GenerateRequest) (upstream.KVHandle, error) {
	return upstream.KVHandle{}, upstream.ErrRefused
}
func (fakeEngine) Cancel(context.Context, string) error { return nil }
func (fakeEngine) Load(context.Context) (upstream.LoadReport, error) {
	return upstream.LoadReport{}, nil
}

func (fakeEngine) CacheEvents(context.Context, uint64) ([]upstream.CacheEvent, error) {
	return nil, nil
}

type scriptedStream struct {
	fault
	next, sent int
}

func (s *scriptedStream) Next(context.Context) (upstream.Token, error) {
	if s.sent == s.breakAfter {
		if s.endEarly {
			return upstream.Token{}, io.EOF
		}
		return upstream.Token{}, upstream.ErrBroken
	}
	if s.skipAt > 0 && s.sent == s.skipAt {
		s.next++
	}
	if s.next >= totalTokens {
		return upstream.Token{}, io.EOF
	}
	t := upstream.Token{Index: s.next, Text: word(s.next)}
	if s.next == totalTokens-1 {
		t.Finish = "stop"
	}
	s.next++
	s.sent++
	return t, nil
}

func (*scriptedStream) Close() error { return nil }

func word(i int) string { return fmt.Sprintf("<%d>", i) }

func newRunner(fleet *fakeFleet, attempts int) *Runner {
	ups := make([]router.Upstream, attempts)
	for i := range ups {
		ups[i] = router.Upstream{Name: fmt.Sprint("e", i), Kind: "engine", Pool: "p", DataCentre: "d", Models: []string{"m"}, Role: upstream.RoleMixed}
	}
	fleet.reserved = map[string]int{}
	id := 0
	return &Runner{
		Tracker: router.NewTracker(router.DefaultConfig("d"), ups, nil), Engines: fleet, InFlight: fleet, CrashDetector: fleet, RetryBudget: fleet,
		MemoryBudget: stream.NewMemoryBudget(1 << 20), MaxBufferedBytes: 1 << 10, MaxAttempts: attempts,
		NewID: func() string { id++; return fmt.Sprint(id) },
	}
}

// Engines crash, end early, repeat tokens and skip tokens in any sequence. The
// caller must get a prefix of the correct answer, each token once; the end without
// an error means that the answer is complete; and no failure after the first token
// may claim that the request did not run.
func TestTokensComeOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.IntRange(1, 5).Draw(t, "attempts")
		fleet := &fakeFleet{script: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{
				replay:     rapid.IntRange(0, 3).Draw(t, "replay"),
				skipAt:     rapid.IntRange(0, 4).Draw(t, "skip"),
				breakAfter: rapid.IntRange(0, totalTokens).Draw(t, "die"),
				endEarly:   rapid.Bool().Draw(t, "early"),
				refuse:     rapid.SampledFrom([]error{nil, nil, upstream.ErrRefused, upstream.ErrNotSent}).Draw(t, "refuse"),
			}
		}), 0, 5).Draw(t, "script")}
		runner := newRunner(fleet, attempts)
		a := runner.Start(Job{
			Request: openai.Request{Model: "m", MaxTokens: totalTokens, Stream: true},
			Route:   router.Request{Pool: "p", Model: "m", OutputTokens: totalTokens},
			Retry:   rapid.SampledFrom([]rules.RetryClass{rules.RetryNever, rules.RetryUnsent, rules.RetryRepeatable}).Draw(t, "retry"),
			Created: time.Unix(1, 0),
		})
		got := 0
		var err error
		for err == nil {
			var token upstream.Token
			if token, err = a.Next(context.Background()); err != nil {
				break
			}
			require.Equal(t, got, token.Index)
			require.Equal(t, word(got), token.Text)
			got++
		}
		a.Close()
		var f *outcome.Failure
		if errors.As(err, &f) {
			require.True(t, f.Execution == outcome.MayHaveRun || got == 0)
		} else {
			require.Equal(t, io.EOF, err)
			require.Equal(t, totalTokens, got)
		}
		require.Empty(t, fleet.wrongPriors, "prior text")
		require.LessOrEqual(t, a.Attempt(), attempts)
		require.Zero(t, runner.MemoryBudget.Used())
		for name, n := range fleet.reserved {
			require.Zero(t, n, name)
		}
	})
}
