package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"tamarackchute/internal/standin/oracle"
)

// serviceCall is one call to a plain service on its way to its end.
type serviceCall struct {
	caller  *caller
	class   Class
	method  string
	path    string
	body    []byte
	headers http.Header
	res     Result
	first   *serviceAnswer
}

// serviceAnswer is a stand-in service's answer.
type serviceAnswer struct {
	Service string `json:"service"`
	Echo    string `json:"echo"`
	Run     int    `json:"run"`
}

// resendPause is how long a caller waits before it sends a call again whose
// end it doesn't know; it doubles.
const resendPause = 150 * time.Millisecond

// repeated says which calls are sent again even after their answer: one in so
// many.
const repeated = 8

// service sends a call to a plain service. A protected call whose end is
// unknown is sent again under its key, at another address if there is one; so
// is every eighth that was answered, which must get the same answer.
func (c *caller) service(ctx context.Context, class Class, a Arrival, due time.Time) Result {
	key := strconv.FormatUint(a.Seed, 36)
	call := &serviceCall{
		caller: c, class: class, method: http.MethodPost, path: class.Path,
		headers: http.Header{headerOrganisation: {organisation(a.Seed)}},
		res:     Result{Arrival: a, Outcome: NotRun},
	}
	if class.Kind == KindProtected {
		call.body = fmt.Appendf(nil, `{"reference":%q,"slot":%d}`, key, a.Prompt)
		call.headers.Set("Content-Type", "application/json")
		call.headers.Set(headerIdempotencyKey, key)
	} else {
		call.method = http.MethodGet
		call.path += "/" + key
	}
	call.run(ctx)
	call.res.Latency = time.Since(due)
	call.res.Late = call.res.Latency > class.Deadline
	call.res.FirstToken = call.res.Latency
	if call.res.Outcome == Complete && class.Kind == KindProtected && a.Seed%repeated == 0 {
		call.repeat(ctx)
	}
	return call.res
}

func (s *serviceCall) run(ctx context.Context) {
	pause := resendPause
	for s.res.Attempts < maxAttempts && ctx.Err() == nil {
		sent := s.round(ctx)
		if s.res.Outcome != Unknown {
			return
		}
		s.res.unsure = s.res.unsure || sent
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause *= 2
	}
}

// round sends the call once, to the first address that takes the connection,
// and reports whether it was sent.
func (s *serviceCall) round(ctx context.Context) bool {
	addresses := s.caller.dir.addresses(ctx)
	// A resend goes to another instance than the attempt before it.
	for i := range addresses {
		addr := addresses[(i+s.res.Attempts)%len(addresses)]
		if s.attempt(ctx, addr) {
			return true
		}
	}
	s.res.Attempts++
	return false
}

// attempt reports whether the call was sent to the address.
func (s *serviceCall) attempt(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*s.class.Deadline)
	defer cancel()
	resp, err := s.caller.send(ctx, s.method, addr, s.path, s.headers, s.body)
	if errors.Is(err, errNotConnected) {
		return false
	}
	s.res.Attempts++
	var body []byte
	if err == nil {
		body, err = readAll(resp)
	}
	if err != nil {
		s.res.Outcome, s.res.Detail = Unknown, err.Error()
		if ctx.Err() == nil {
			s.res.Broken = append(s.res.Broken, addr)
		}
		return true
	}
	if resp.StatusCode != http.StatusOK {
		refusal(&s.res, resp, body)
		return true
	}
	s.res.Status = resp.StatusCode
	s.judge(body)
	return true
}

func (s *serviceCall) judge(body []byte) {
	var got serviceAnswer
	want := oracle.RequestDigest(s.method, s.path, s.body)
	switch {
	case json.Unmarshal(body, &got) != nil || got.Echo != want:
		s.res.Outcome, s.res.Detail = Wrong, fmt.Sprintf("answer %.80q, want echo %s", body, want)
	case s.first != nil && got != *s.first:
		s.res.Outcome, s.res.Detail = Wrong, "a resend got another answer"
	default:
		s.res.Outcome = Complete
		s.first = &got
	}
}

// repeat sends an answered call again. Only an answer that differs from the
// first counts; being told nothing new is the system's right.
func (s *serviceCall) repeat(ctx context.Context) {
	before := s.res
	s.round(ctx)
	if s.res.Outcome != Wrong {
		before.Attempts = s.res.Attempts
		s.res = before
	}
}
