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

// serviceCall is one call to a plain service in progress.
type serviceCall struct {
	caller        *caller
	class         Class
	method        string
	path          string
	body          []byte
	headers       http.Header
	result        Result
	firstResponse *serviceResponse
}

// serviceResponse is a stand-in service's response.
type serviceResponse struct {
	Service string `json:"service"`
	Echo    string `json:"echo"`
	Run     int    `json:"run"`
}

// initialBackoff is the delay before a call with an unknown outcome is sent again; it doubles
// with each attempt.
const initialBackoff = 150 * time.Millisecond

// One in replayOneIn answered protected calls is sent again to check the replayed answer.
const replayOneIn = 8

// sendServiceCall sends a call to a plain service. A call with an unknown outcome is sent again,
// a protected one under its key, to another address if there is one. So is one in replayOneIn of
// the answered protected calls, which must get the same answer.
func (c *caller) sendServiceCall(ctx context.Context, class Class, a Arrival, due time.Time) Result {
	key := strconv.FormatUint(a.Seed, 36)
	call := &serviceCall{
		caller: c, class: class, method: http.MethodPost, path: class.Path,
		headers: http.Header{headerOrganisation: {organisation(a.Seed)}},
		result:  Result{Arrival: a, Outcome: NotRun},
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
	call.result.Latency = time.Since(due)
	call.result.Late = call.result.Latency > class.Deadline
	call.result.FirstToken = call.result.Latency
	if call.result.Outcome == Complete && class.Kind == KindProtected && a.Seed%replayOneIn == 0 {
		call.checkReplay(ctx)
	}
	return call.result
}

func (s *serviceCall) run(ctx context.Context) {
	backoff := initialBackoff
	for s.result.Attempts < maxAttempts && ctx.Err() == nil {
		sent := s.sendOnce(ctx)
		if s.result.Outcome != Unknown {
			return
		}
		s.result.mayHaveRun = s.result.mayHaveRun || sent
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff *= 2
	}
}

// sendOnce sends the call to the first address that accepts the connection, and reports whether
// it was sent.
func (s *serviceCall) sendOnce(ctx context.Context) bool {
	addresses := s.caller.directory.addresses(ctx)
	// A resend goes to another instance than the previous attempt.
	for i := range addresses {
		addr := addresses[(i+s.result.Attempts)%len(addresses)]
		if s.attempt(ctx, addr) {
			return true
		}
	}
	s.result.Attempts++
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
	s.result.Attempts++
	if errors.Is(err, errForeignResponse) {
		s.result.Outcome, s.result.Detail = Wrong, err.Error()
		return true
	}
	var body []byte
	if err == nil {
		body, err = readAll(resp)
	}
	if err != nil {
		s.result.Outcome, s.result.Detail = Unknown, err.Error()
		if ctx.Err() == nil {
			s.result.BrokenAt = append(s.result.BrokenAt, addr)
		}
		return true
	}
	if resp.StatusCode != http.StatusOK {
		recordError(&s.result, resp, body)
		return true
	}
	s.result.Status = resp.StatusCode
	s.checkResponse(body)
	return true
}

func (s *serviceCall) checkResponse(body []byte) {
	var got serviceResponse
	want := oracle.RequestDigest(s.method, s.path, s.body)
	switch {
	case json.Unmarshal(body, &got) != nil || got.Echo != want:
		s.result.Outcome, s.result.Detail = Wrong, fmt.Sprintf("answer %.80q, want echo %s", body, want)
	case s.firstResponse != nil && got != *s.firstResponse:
		s.result.Outcome, s.result.Detail = Wrong, "a resend got another answer"
	default:
		s.result.Outcome = Complete
		s.firstResponse = &got
	}
}

// checkReplay sends an answered call again. Only an answer that differs from the first is an
// error; the system may refuse to answer again.
func (s *serviceCall) checkReplay(ctx context.Context) {
	before := s.result
	s.sendOnce(ctx)
	if s.result.Outcome != Wrong {
		before.Attempts = s.result.Attempts
		s.result = before
	}
}
