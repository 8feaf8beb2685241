package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/standin/oracle"
)

const testModel = "agronomy"

// fakeEntry behaves like an entry instance with one defect at a time.
type fakeEntry struct {
	server *httptest.Server
	// cutAt is the token before which the first stream's connection breaks.
	cutAt int
	// alter changes the tokens of a stream before they are sent.
	alter         func(tokens []string) []string
	calls         atomic.Int32
	resumed       atomic.Int32
	handleBooking func(w http.ResponseWriter, r *http.Request) // for services
	// handleCompletion replaces the completions if it is set.
	handleCompletion func(w http.ResponseWriter, r *http.Request)
}

func newFakeEntry(t *testing.T) *fakeEntry {
	f := &fakeEntry{cutAt: -1}
	mux := http.NewServeMux()
	mux.HandleFunc(locationPath, func(w http.ResponseWriter, _ *http.Request) {
		addr := f.server.Listener.Addr().String()
		fmt.Fprintf(w, `{"addresses":[{"address":%q},{"address":"127.0.0.1:1"},{"address":%q}],"keep_s":5}`,
			addr, strings.Replace(addr, "127.0.0.1", "localhost", 1))
	})
	mux.HandleFunc("/v1/completions", f.completions)
	mux.HandleFunc("/bookings", func(w http.ResponseWriter, r *http.Request) { f.handleBooking(w, r) })
	f.server = httptest.NewServer(mux)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeEntry) completions(w http.ResponseWriter, r *http.Request) {
	f.calls.Add(1)
	if f.handleCompletion != nil {
		f.handleCompletion(w, r)
		return
	}
	var b modelBody
	_ = json.NewDecoder(r.Body).Decode(&b)
	a := oracle.Expected(b.Model, b.Prompt, b.MaxTokens)
	var tokens []string
	for i := range a.Tokens {
		tokens = append(tokens, a.Token(i))
	}
	if f.alter != nil {
		tokens = f.alter(tokens)
	}
	from := 0
	if id := r.Header.Get(headerLastEventID); id != "" {
		n, _ := strconv.Atoi(id)
		from = n + 1
		f.resumed.Add(1)
	}
	for i := from; i < len(tokens); i++ {
		if i == f.cutAt && f.resumed.Load() == 0 {
			panic(http.ErrAbortHandler)
		}
		finish := "null"
		if i == len(tokens)-1 {
			finish = strconv.Quote(a.Finish)
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":%q,\"finish_reason\":%s}]}\n\n", i, tokens[i], finish)
		w.(http.Flusher).Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (f *fakeEntry) caller() *caller {
	c := NewClient(testModel)
	dir := &directory{client: c.HTTP, now: time.Now, seeds: []string{f.server.Listener.Addr().String()}}
	return &caller{Client: c, directory: dir}
}

var testClass = Class{Name: ClassShort, Kind: KindCompletion, Deadline: 5 * time.Second}

// A response that is incomplete, altered or has repeated tokens must never count as complete,
// even if the stream ends regularly.
func TestIncompleteOrAlteredStreamsAreWrong(t *testing.T) {
	cases := []struct {
		name  string
		alter func([]string) []string
		want  Outcome
	}{
		{"complete", nil, Complete},
		{"a token missing in the middle", func(s []string) []string { return append(s[:3:3], s[4:]...) }, Wrong},
		{"a token repeated", func(s []string) []string { return append(s[:4:4], s[3:]...) }, Wrong},
		{"incomplete, but ended regularly", func(s []string) []string { return s[:len(s)-1] }, Wrong},
		{"an extra token", func(s []string) []string { return append(s, s[0]) }, Wrong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeEntry(t)
			f.alter = c.alter
			a := Arrival{Seed: 5, Prompt: 20, Output: 30, Streamed: true}
			res, _ := f.caller().sendModelRequest(context.Background(), testClass, a, time.Now())
			assert.Equal(t, c.want, res.Outcome, res.Detail)
		})
	}
}

// Guards against a refusal of another request that counts as one of this request, which may
// have run: unlike an answer, it doesn't show which request it belongs to.
func TestResponseToAnotherRequestIsWrong(t *testing.T) {
	f := newFakeEntry(t)
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRequestID, "id-1")
		w.Header().Set(headerOutcome, outcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f.handleBooking, f.handleCompletion = refuse, refuse
	class := Class{Kind: KindProtected, Path: "/bookings", Deadline: 5 * time.Second}
	c := f.caller()
	want := []Outcome{NotRun, Wrong, Wrong}
	var got []Outcome
	for range 2 {
		got = append(got, c.sendServiceCall(t.Context(), class, Arrival{Seed: 9}, time.Now()).Outcome)
	}
	res, _ := c.sendModelRequest(t.Context(), testClass, Arrival{Seed: 5, Prompt: 20, Output: 30, Streamed: true}, time.Now())
	assert.Equal(t, want, append(got, res.Outcome))
}

// The entry fails while it streams a response. The caller resumes the stream at another address
// after its last event, and the response is complete.
func TestBrokenStreamIsResumedElsewhere(t *testing.T) {
	f := newFakeEntry(t)
	f.cutAt = 7
	a := Arrival{Seed: 5, Prompt: 20, Output: 30, Streamed: true}
	res, gaps := f.caller().sendModelRequest(context.Background(), testClass, a, time.Now())
	require.Equal(t, Complete, res.Outcome, res.Detail)
	assert.Equal(t, 1, res.Resumed)
	assert.Equal(t, []string{f.server.Listener.Addr().String()}, res.BrokenAt)
	assert.Len(t, gaps, res.Tokens-1)
}

// The first answer to a booking is lost, so the caller can't know whether it ran, and sends it
// again under its key. Even if that is refused as not run, the first attempt may have run.
func TestProtectedCallIsResentUnderItsKey(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_ = json.NewEncoder(w).Encode(serviceResponse{Service: "s", Run: 1, Echo: oracle.RequestDigest(r.Method, r.URL.Path, body)})
	}
	notRun := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerOutcome, outcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cases := []struct {
		name   string
		second func(http.ResponseWriter, *http.Request)
		want   Outcome
	}{
		{"then answered", echo, Complete},
		{"then refused", notRun, NotRun},
		{"then answered for another call", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"service":"s","run":1,"echo":"1"}`)
		}, Wrong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeEntry(t)
			var keys []string
			f.handleBooking = func(w http.ResponseWriter, r *http.Request) {
				keys = append(keys, r.Header.Get(headerIdempotencyKey))
				if len(keys) == 1 {
					panic(http.ErrAbortHandler)
				}
				c.second(w, r)
			}
			class := Class{Kind: KindProtected, Path: "/bookings", Deadline: 5 * time.Second}
			res := f.caller().sendServiceCall(context.Background(), class, Arrival{Seed: 9}, time.Now())
			assert.Equal(t, c.want, res.Outcome, res.Detail)
			assert.True(t, res.mayHaveRun)
			assert.Equal(t, []string{"9", "9"}, keys)
		})
	}
}

func TestPhaseStats(t *testing.T) {
	m := Mix{Classes: []Class{{Name: ClassShort}}, Phases: []Phase{
		{Name: "a", Length: 2 * time.Second}, {Name: "b", Length: time.Second}}}
	at := func(ms int, late bool) Result {
		return Result{Arrival: Arrival{Class: ClassShort, At: time.Duration(ms) * time.Millisecond}, Outcome: Complete, Late: late}
	}
	got := phaseStats(m, []Result{at(0, false), at(1999, true), at(2000, false)})
	assert.Equal(t, []PhaseStats{
		{Name: "a", RequestRate: 1, Goodput: 0.5, ShortWithinDeadline: 0.5}, {Name: "b", RequestRate: 1, Goodput: 1, ShortWithinDeadline: 1}}, got)
}

func TestArrivalsRepeatWithTheSeed(t *testing.T) {
	m := Preset{Model: testModel, Classes: classes("/bookings", time.Second, time.Second)}.TryMix(5 * time.Second)
	a, b, other := m.Arrivals(1, 8), m.Arrivals(1, 8), m.Arrivals(2, 8)
	assert.Equal(t, a, b)
	assert.NotEqual(t, a, other)
	assert.InDelta(t, 43*5, len(a), 60)
}

// A scaled run takes less time. Relative to engines that are faster by the same factor, its
// demand must stay the same.
func TestScaleKeepsTheDemandPerShift(t *testing.T) {
	p := Preset{Model: testModel, Classes: classes("/bookings", time.Second, time.Second)}
	m, err := p.Mix(MixShift, 3, 8, Speed{Prefill: 8000, Decode: 1000})
	require.NoError(t, err)
	s := m.Scaled(10)
	assert.Equal(t, m.Length()/10, s.Length())
	for i := range m.Phases {
		assert.InEpsilon(t, 10*m.Demand(m.Phases[i]).PromptPerSec, s.Demand(s.Phases[i]).PromptPerSec, 1e-9)
	}
}

// Each key that ran although all its answers said "not run" must be counted, and so must each
// connection that broke at an instance that was not killed.
func TestSummaryCountsBrokenPromises(t *testing.T) {
	m := Mix{Classes: []Class{{Name: ClassProtected, Kind: KindProtected}}}
	rec := NewRecorder()
	add := func(o Outcome, mayHaveRun bool, brokenAt ...string) {
		rec.Add(Result{Arrival: Arrival{Class: ClassProtected}, Outcome: o, mayHaveRun: mayHaveRun, BrokenAt: brokenAt}, nil)
	}
	add(Complete, false)
	add(NotRun, false)
	add(NotRun, true, "10.0.0.1:1")
	add(Unknown, true, "10.0.0.2:1")
	s := rec.Summarise(m, time.Second, []string{"10.0.0.1:1"}, Counters{Keys: 4})
	assert.Equal(t, int64(1), s.NotRunButRan)
	assert.Equal(t, 1, s.InterruptedByPlannedStop)
	assert.Equal(t, []int{4, 1, 2, 1}, []int{s.Requests, s.Complete, s.NotRun, s.Unknown})
}
