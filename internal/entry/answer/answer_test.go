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

	"tamarackchute/internal/entry/crash"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

const total = 12

// fault is how one attempt goes wrong.
type fault struct {
	// replay is how many tokens before the one due come again; skip leaves a
	// token out; dieAfter is how many come before the stream breaks; early ends
	// it then without a finish reason instead.
	replay, skip, dieAfter int
	early                  bool
	refuse                 error
}

// world is a fleet of engines that follow a script, an attempt a line.
type world struct {
	script []fault
	wrong  []string
	held   map[string]int
}

func (w *world) Engine(name string) upstream.Engine { return engine{w, name} }

func (w *world) Reserve(name string) bool { w.held[name]++; return true }
func (w *world) Release(name string)      { w.held[name]-- }
func (w *world) Allow() bool              { return true }

func (w *world) Check(quarantine.Digest) (bool, error)   { return false, nil }
func (w *world) MayRunOn(string, quarantine.Digest) bool { return true }
func (w *world) IsolationError(quarantine.Digest) error  { return nil }
func (w *world) guard() *crash.Detector                  { return crash.New(noGuard{}, dead) }
func dead(context.Context, string) error                 { return upstream.ErrNotSent }
func (w *world) Begin(ctx context.Context, e string, d quarantine.Digest, s bool) (*crash.Run, error) {
	return w.guard().Begin(ctx, e, d, s)
}

type noGuard struct{ crash.Quarantine }

func (noGuard) Answered(quarantine.Digest) {}

func (noGuard) Crashed(context.Context, string, string, []quarantine.Digest) error { return nil }

type engine struct {
	world *world
	name  string
}

func (e engine) Generate(_ context.Context, r upstream.GenerateRequest) (upstream.TokenStream, error) {
	prior := ""
	for i := range r.PriorTokens {
		prior += word(i)
	}
	if r.Prior != prior {
		e.world.wrong = append(e.world.wrong, r.Prior)
	}
	f := fault{dieAfter: total + 1}
	if len(e.world.script) > 0 {
		f, e.world.script = e.world.script[0], e.world.script[1:]
	}
	if f.refuse != nil {
		return nil, f.refuse
	}
	return &script{fault: f, next: max(0, r.PriorTokens-f.replay)}, nil
}

func (engine) Resume(context.Context, string, int) (upstream.TokenStream, error) {
	return nil, upstream.ErrGone
}

func (engine) Prefill(context.Context, upstream.GenerateRequest) (upstream.KVHandle, error) {
	return upstream.KVHandle{}, upstream.ErrRefused
}
func (engine) Cancel(context.Context, string) error { return nil }
func (engine) Load(context.Context) (upstream.LoadReport, error) {
	return upstream.LoadReport{}, nil
}

func (engine) CacheEvents(context.Context, uint64) ([]upstream.CacheEvent, error) { return nil, nil }

type script struct {
	fault
	next, sent int
}

func (s *script) Next(context.Context) (upstream.Token, error) {
	if s.sent == s.dieAfter {
		if s.early {
			return upstream.Token{}, io.EOF
		}
		return upstream.Token{}, upstream.ErrBroken
	}
	if s.skip > 0 && s.sent == s.skip {
		s.next++
	}
	if s.next >= total {
		return upstream.Token{}, io.EOF
	}
	t := upstream.Token{Index: s.next, Text: word(s.next)}
	if s.next == total-1 {
		t.Finish = "stop"
	}
	s.next++
	s.sent++
	return t, nil
}

func (*script) Close() error { return nil }

func word(i int) string { return fmt.Sprintf("<%d>", i) }

func newRunner(w *world, attempts int) *Runner {
	ups := make([]router.Upstream, attempts)
	for i := range ups {
		ups[i] = router.Upstream{Name: fmt.Sprint("e", i), Kind: "engine", Pool: "p", DataCentre: "d", Models: []string{"m"}, Role: upstream.RoleMixed}
	}
	w.held = map[string]int{}
	id := 0
	return &Runner{
		Tracker: router.NewTracker(router.DefaultConfig("d"), ups, nil), Engines: w, InFlight: w, CrashDetector: w, RetryBudget: w,
		MemoryBudget: stream.NewMemoryBudget(1 << 20), MaxBufferedBytes: 1 << 10, MaxAttempts: attempts,
		NewID: func() string { id++; return fmt.Sprint(id) },
	}
}

// Engines die, break off early, send tokens again and leave tokens out, one
// after the other, while a caller reads. Whatever happens, what the caller gets
// is the beginning of the true answer, each token once; it is told that the
// answer is whole only if it is; and no failure after a token claims that
// nothing ran.
func TestTokensComeOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.IntRange(1, 5).Draw(t, "attempts")
		w := &world{script: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{
				replay:   rapid.IntRange(0, 3).Draw(t, "replay"),
				skip:     rapid.IntRange(0, 4).Draw(t, "skip"),
				dieAfter: rapid.IntRange(0, total).Draw(t, "die"),
				early:    rapid.Bool().Draw(t, "early"),
				refuse:   rapid.SampledFrom([]error{nil, nil, upstream.ErrRefused, upstream.ErrNotSent}).Draw(t, "refuse"),
			}
		}), 0, 5).Draw(t, "script")}
		runner := newRunner(w, attempts)
		a := runner.Start(Job{
			Request: openai.Request{Model: "m", MaxTokens: total, Stream: true},
			Route:   router.Request{Pool: "p", Model: "m", OutputTokens: total},
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
			require.Equal(t, total, got)
		}
		require.Empty(t, w.wrong, "prior text")
		require.LessOrEqual(t, a.Attempt(), attempts)
		require.Zero(t, runner.MemoryBudget.Used())
		for name, n := range w.held {
			require.Zero(t, n, name)
		}
	})
}
