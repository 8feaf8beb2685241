package answer

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/entry/crash"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// Books picks engines and books attempts; router.Tracker is one.
type Tracker interface {
	Pick(r router.Request) (router.Plan, error)
	Begin(p router.Plan, r router.Request) *router.Ticket
}

// Engines finds the adapter of an engine, or nil if the name is unknown.
type Engines interface {
	Engine(name string) upstream.Engine
}

// Suspects keeps requests that crash engines from crashing more of them;
// crash.Watch is one.
type CrashDetector interface {
	Check(d quarantine.Digest) (suspected bool, err error)
	MayRunOn(engine string, d quarantine.Digest) bool
	Begin(ctx context.Context, engine string, d quarantine.Digest, suspected bool) (*crash.Run, error)
	IsolationError(d quarantine.Digest) error
}

// Holds counts requests at engines for the drains that precede orders;
// inflight.Book is one.
type InFlight interface {
	Reserve(engine string) bool
	Release(engine string)
}

// Retries bounds what failures may add to the load; it counts one more attempt
// and reports whether that may be made.
type RetryBudget interface {
	Allow() bool
}

// Runner runs model requests. Its fields are set once; it is safe for use by
// many goroutines.
type Runner struct {
	Tracker       Tracker
	Engines       Engines
	InFlight      InFlight
	CrashDetector CrashDetector
	RetryBudget   RetryBudget
	MemoryBudget  *stream.MemoryBudget
	// PriorLimit bounds the text kept of one answer, in bytes.
	MaxBufferedBytes int
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// EngineWait bounds how long a request that has lost its engine looks for
	// another, over all its losses.
	MaxEngineWait time.Duration
	NewID         func() string

	// background holds cancels whose caller no longer waits.
	background conc.WaitGroup
}

// Work is one model request with what the rules made of it.
type Job struct {
	Request openai.Request
	Route   router.Request
	Retry   rules.RetryClass
	Digest  quarantine.Digest
	// Answer is the answer's id as the caller sees it.
	Answer  string
	Created time.Time
}

// Start returns the answer of a request. Nothing is sent until its first Next.
func (r *Runner) Start(w Job) *Answer {
	return &Answer{
		runner: r,
		work:   w,
		tries: dispatch.New(dispatch.Policy{
			Mode: dispatch.RetryModeOf(w.Retry), MaxAttempts: r.MaxAttempts, CountNotRun: true, AllowRetry: r.RetryBudget.Allow,
		}),
		prior: stream.NewOutputBuffer(r.MemoryBudget, r.MaxBufferedBytes),
	}
}

// Wait returns once the cancels under way are done.
func (r *Runner) Wait() { r.background.Wait() }

// generateRequest is the request for the next attempt.
func (a *Answer) generateRequest(attempt string) upstream.GenerateRequest {
	text, _ := a.prior.Text()
	q := &a.work.Request
	return upstream.GenerateRequest{
		AttemptID:   attempt,
		Model:       q.Model,
		Adapter:     q.Adapter,
		Prompt:      q.Prompt,
		Prior:       text,
		PriorTokens: a.prior.Tokens(),
		MaxTokens:   q.MaxTokens,
		Priority:    a.work.Route.Priority,
	}
}

// cancelled reports whether the context ended the attempt, in which case the
// engine is not to blame.
func cancelled(ctx context.Context) bool { return ctx.Err() != nil }
