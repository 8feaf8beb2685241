package answer

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/internal/crash"
	"tamarackchute/internal/dispatch"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

// Tracker picks engines and records attempts; router.Tracker implements it.
type Tracker interface {
	Pick(r router.Request) (router.Plan, error)
	Begin(p router.Plan, r router.Request) *router.Ticket
}

// Engines returns the adapter of an engine, or nil if the name is unknown.
type Engines interface {
	Engine(name string) upstream.Engine
}

// CrashDetector keeps requests that crash engines from crashing more of them;
// crash.Detector implements it.
type CrashDetector interface {
	Check(d quarantine.Digest) (suspected bool, err error)
	MayRunOn(engine string, d quarantine.Digest) bool
	Begin(ctx context.Context, engine string, d quarantine.Digest, suspected bool) (*crash.Run, error)
	IsolationError(d quarantine.Digest) error
}

// InFlight counts requests at engines for the drains that precede orders;
// inflight.Counter implements it.
type InFlight interface {
	Reserve(engine string) bool
	Release(engine string)
}

// RetryBudget bounds the load that retries add. Allow counts one more attempt and
// reports whether it may be made.
type RetryBudget interface {
	Allow() bool
}

// Runner runs model requests. Its fields must not change after the first use; it
// is safe for concurrent use.
type Runner struct {
	Tracker       Tracker
	Engines       Engines
	InFlight      InFlight
	CrashDetector CrashDetector
	RetryBudget   RetryBudget
	MemoryBudget  *stream.MemoryBudget
	// MaxBufferedBytes bounds the text kept of one answer, in bytes.
	MaxBufferedBytes int
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxEngineWait bounds the total time that a request waits for another engine
	// after it has lost one.
	MaxEngineWait time.Duration
	NewID         func() string

	// background runs cancellations that nobody waits for.
	background conc.WaitGroup
}

// Job is one model request with its route and the settings of the matched rule.
type Job struct {
	Request openai.Request
	Route   router.Request
	Retry   rules.RetryClass
	Digest  quarantine.Digest
	// Answer is the answer's id as the caller sees it.
	Answer  string
	Created time.Time
	// Admit is asked before each attempt; an error ends the request. Nil admits it.
	Admit func() error
	// Stop returns the failure of a request that may not be sent any more, as the instance stops too soon.
	// It is asked before each attempt with whether an earlier one may have run. Nil refuses none.
	Stop func(mayHaveRun bool) *outcome.Failure
}

// Start returns the answer of a request. Nothing is sent until its first Next.
func (r *Runner) Start(job Job) *Answer {
	return &Answer{
		runner: r,
		job:    job,
		retryState: dispatch.New(dispatch.Policy{
			Mode: dispatch.RetryModeOf(job.Retry), MaxAttempts: r.MaxAttempts, CountNotRun: true, AllowRetry: r.RetryBudget.Allow,
		}),
		output: stream.NewOutputBuffer(r.MemoryBudget, r.MaxBufferedBytes),
	}
}

// Wait returns once the cancellations in progress have ended.
func (r *Runner) Wait() { r.background.Wait() }

// generateRequest returns the engine request of an attempt.
func (a *Answer) generateRequest(attempt string) upstream.GenerateRequest {
	text, _ := a.output.Text()
	request := &a.job.Request
	return upstream.GenerateRequest{
		AttemptID:   attempt,
		Model:       request.Model,
		Adapter:     request.Adapter,
		Prompt:      request.Prompt,
		Prior:       text,
		PriorTokens: a.output.Tokens(),
		MaxTokens:   request.MaxTokens,
		Priority:    a.job.Route.Priority,
	}
}

// cancelled reports whether the context ended the attempt, in which case the
// engine has not failed.
func cancelled(ctx context.Context) bool { return ctx.Err() != nil }
