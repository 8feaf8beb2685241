package gateway

import (
	"errors"
	"io"
	"strings"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/admission"
	"tamarackchute/internal/entry/answer"
	"tamarackchute/internal/entry/openai"
	"tamarackchute/internal/entry/outcome"
	"tamarackchute/internal/entry/stream"
	"tamarackchute/quarantine"
	"tamarackchute/router"
	"tamarackchute/rules"
	"tamarackchute/upstream"
)

func (g *Gateway) completions(c *fiber.Ctx) error { return g.model(c, openai.Completion, "cmpl-") }

func (g *Gateway) chat(c *fiber.Ctx) error { return g.model(c, openai.Chat, "chatcmpl-") }

// model serves one model request.
func (g *Gateway) model(c *fiber.Ctx, kind openai.Kind, idPrefix string) error {
	g.active.Add(1)
	k, f := newCall(c, idPrefix+g.deps.NewID())
	if f == nil {
		f = g.answerModel(c, k, kind)
	}
	if f == nil {
		return nil
	}
	k.end()
	g.active.Add(-1)
	return g.fail(c, k, f)
}

// answerModel serves a model request, or returns its failure with everything
// released except the call itself.
func (g *Gateway) answerModel(c *fiber.Ctx, k *call, kind openai.Kind) *outcome.Failure {
	request, f := parseModel(c, kind)
	if f != nil {
		return f
	}
	f = g.applyRules(c, k, rules.Request{
		Model:        request.Model,
		PromptTokens: request.PromptTokens,
		OutputTokens: request.MaxTokens,
		Stream:       request.Stream,
	})
	if f != nil {
		return f
	}
	if done, f := g.forward(c, k); done || f != nil {
		if done {
			g.active.Add(-1) // the response's body counts
		}
		return f
	}
	if g.opts.ServicePools[k.decision.Then.Pool] {
		return g.forwardModelRequest(c, k)
	}
	if f := g.begin(c, k); f != nil {
		return f
	}
	job := g.newJob(c, k, request)
	if id := c.Get(headerLastEventID); id != "" && request.Stream {
		return g.resume(c, k, job, strings.Clone(id))
	}
	g.deps.Demand.RecordRequest(request.Model, request.PromptTokens, request.MaxTokens)
	grant, f := g.admit(k, job.Route)
	if f != nil {
		return f
	}
	a := g.deps.Answers.Start(job)
	if request.Stream {
		return g.stream(c, k, &modelCall{call: k, job: job, answer: a, grant: grant})
	}
	return g.sendPlain(c, &modelCall{call: k, job: job, answer: a, grant: grant})
}

func parseModel(c *fiber.Ctx, kind openai.Kind) (openai.Request, *outcome.Failure) {
	if !c.Request().Header.IsHTTP11() {
		// Without chunked encoding the whole response would have to be buffered first.
		return openai.Request{}, outcome.Refused(fiber.StatusHTTPVersionNotSupported, outcome.CodeInvalidRequest,
			"model requests need HTTP/1.1")
	}
	if encoding := c.Get(fiber.HeaderContentEncoding); encoding != "" && encoding != "identity" {
		return openai.Request{}, outcome.Refused(fiber.StatusUnsupportedMediaType, outcome.CodeInvalidRequest,
			"a body with a content encoding is not taken")
	}
	request, err := openai.ParseRequest(kind, c.BodyRaw())
	if err != nil {
		return request, outcome.Refused(fiber.StatusBadRequest, outcome.CodeInvalidRequest, "%v", err)
	}
	return request, nil
}

func (g *Gateway) newJob(c *fiber.Ctx, k *call, request openai.Request) answer.Job {
	then := k.decision.Then
	return answer.Job{
		Request: request,
		Route: router.Request{
			Pool:         then.Pool,
			Model:        request.Model,
			Organisation: k.organisation,
			DataCentre:   g.opts.DataCentre,
			PromptTokens: request.PromptTokens,
			OutputTokens: request.MaxTokens,
			PrefixBlocks: router.PrefixBlocks(request.Prompt),
			Priority:     then.Priority,
			Deadline:     k.deadline,
		},
		Retry:   then.RetryClass(),
		Digest:  contentOf(k, request.Model, c.BodyRaw()).Digest(),
		Answer:  k.id,
		Created: k.began,
		Admit:   g.admitKey(k),
		Stop:    g.stopCheck(k),
	}
}

// contentOf returns the content by which a model request is recognised. Engines don't get its host.
func contentOf(k *call, model string, body []byte) *quarantine.Request {
	return &quarantine.Request{Scope: model, Pool: k.decision.Then.Pool, Path: k.path, Body: body}
}

// modelCall is a model request whose answer is in progress.
type modelCall struct {
	call           *call
	job            answer.Job
	answer         *answer.Answer
	grant          *admission.Grant
	firstTokenSeen bool
}

// next returns the next token and records the time to the first one.
func (g *Gateway) next(r *modelCall) (upstream.Token, error) {
	t, err := r.answer.Next(r.call.ctx)
	if err != nil {
		return t, err
	}
	if !r.firstTokenSeen {
		r.firstTokenSeen = true
		if r.grant != nil {
			r.grant.FirstToken()
		}
		g.metrics.firstToken.RecordDuration(elapsed(r.call))
	}
	return t, nil
}

// finish releases what the answer holds and updates the metrics. A nil failure means
// that the answer is complete. What the stop of an instance has ended goes on at the engine.
func (g *Gateway) finish(r *modelCall, f *outcome.Failure) {
	if f != nil && (f.Code == outcome.CodeShuttingDown || outcome.KeepsStream(f.Cause)) {
		r.answer.Leave()
	} else {
		r.answer.Close()
	}
	produced := r.answer.Tokens()
	if r.grant != nil {
		r.grant.Release(admissionResult(f), produced)
	}
	g.metrics.tokens.Inc(int64(produced))
	if n := r.answer.Attempt(); n > 1 {
		g.metrics.continued.Inc(int64(n - 1))
	}
	if f == nil {
		request := &r.job.Request
		prompt, _ := r.answer.PromptTokens()
		g.deps.Demand.RecordResponse(request.Model, request.PromptTokens, request.MaxTokens, prompt, produced)
		g.metrics.answered.Inc(1)
		g.metrics.complete.RecordDuration(elapsed(r.call))
	}
}

func admissionResult(f *outcome.Failure) admission.Result {
	switch {
	case f == nil:
		return admission.ResultCompleted
	case f.Code == outcome.CodeCallerGone:
		return admission.ResultCancelled
	default:
		return admission.ResultFailed
	}
}

// sendPlain collects the complete answer and sends it as one response.
func (g *Gateway) sendPlain(c *fiber.Ctx, r *modelCall) *outcome.Failure {
	text, finish, f := g.collect(r)
	prompt, cached := r.answer.PromptTokens()
	usage := openai.NewUsage(prompt, cached, r.answer.Tokens())
	g.finish(r, f)
	if f != nil {
		return f
	}
	k, request := r.call, &r.job.Request
	k.end()
	g.active.Add(-1)
	c.Set(outcome.Header, string(outcome.Completed))
	c.Set(headerRequestID, k.id)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Response().SetBodyRaw(openai.AppendResponse(nil, openai.Response{
		Kind: request.Kind, ID: k.id, Model: request.Model, Created: k.began.Unix(),
		Text: text, Finish: finish, Usage: usage,
	}))
	return nil
}

func (g *Gateway) collect(r *modelCall) (text, finish string, f *outcome.Failure) {
	var all strings.Builder
	for {
		t, err := g.next(r)
		if errors.Is(err, io.EOF) {
			return all.String(), finish, nil
		}
		if errors.As(err, &f) {
			return "", "", f
		}
		all.WriteString(t.Text)
		finish = t.Finish
	}
}

// resume continues a stream that another connection, possibly to another instance,
// has started.
func (g *Gateway) resume(c *fiber.Ctx, k *call, job answer.Job, id string) *outcome.Failure {
	digest := stream.NewRequestDigest(k.organisation, k.path, c.BodyRaw())
	origin, last, err := g.deps.Signer.Open(id, digest)
	if err != nil {
		return outcome.Refused(fiber.StatusBadRequest, outcome.CodeInvalidEventID, "%v", err)
	}
	job.Answer, job.Created = origin.Answer, unixTime(origin.Created)
	a, f := g.deps.Answers.Resume(k.ctx, job, answer.ResumePoint{
		Engine: origin.Upstream, Attempt: origin.Attempt, First: origin.First, Last: last,
	})
	if f != nil {
		return f
	}
	g.metrics.resumed.Inc(1)
	return g.stream(c, k, &modelCall{call: k, job: job, answer: a, firstTokenSeen: true})
}
