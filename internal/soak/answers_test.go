package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/platform/standin"
)

func fromHandleOf(owner string) standin.RequestInfo {
	return standin.RequestInfo{Server: "llm-2", HandleOwner: owner}
}

func TestHandleChecks(t *testing.T) {
	cases := []struct {
		name   string
		play   func(o *oracle)
		broken []Promise
	}{
		{"own prefill", func(o *oracle) { sendRequest(o, streamService, fromHandleOf("1-1")) }, nil},
		{"no known prefill", func(o *oracle) { sendRequest(o, streamService, at("llm-2")) }, nil},
		{"another request's prefill", func(o *oracle) { sendRequest(o, streamService, fromHandleOf("2-2")) }, []Promise{OwnPrefill}},
		{"another request's prefill, not run", func(o *oracle) {
			o.sent("1-1", streamService, validKey, 0)
			v := fromHandleOf("2-2")
			v.ID = "1-1"
			o.Arrived(v)
			o.Ended(v)
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { requireBroken(t, c.play, c.broken) })
	}
}

// passOnNotice lets daemon 0 pass on a drain notice of once-1, some time ago.
func passOnNotice(o *oracle, ago time.Duration) {
	sendRequest(o, onceService, standin.RequestInfo{Server: "once-1", Leaving: true})
	r := correctReply(o)
	r.Server, r.HeadAt = "once-1", time.Now().Add(-ago)
	o.answered("1-1", 1, r)
}

// disturbed records a fault that began and ended some time ago.
func disturbed(o *oracle, subject string, began, ended time.Duration) {
	now := time.Now()
	o.faults.intervals[subject] = append(o.faults.intervals[subject], interval{now.Add(-began), now.Add(-ended)})
}

func TestDrainNoticeChecks(t *testing.T) {
	const longAgo, recently = 2 * maxLeavingNotice, maxLeavingNotice / 2
	reach := func(o *oracle) { sendRequest(o, onceService, at("once-1")) }
	cases := []struct {
		name   string
		play   func(o *oracle)
		broken []Promise
	}{
		{"long after the notice", func(o *oracle) { passOnNotice(o, longAgo); reach(o) }, []Promise{DrainNoticeRespected}},
		{"soon after the notice", func(o *oracle) { passOnNotice(o, recently); reach(o) }, nil},
		{"long after the first of two words", func(o *oracle) {
			passOnNotice(o, longAgo)
			passOnNotice(o, recently)
			reach(o)
		}, []Promise{DrainNoticeRespected, DrainNoticeRespected}},
		{"for prefill only", func(o *oracle) {
			passOnNotice(o, longAgo)
			sendRequest(o, onceService, standin.RequestInfo{Server: "once-1", PrefillOnly: true})
		}, []Promise{DrainNoticeRespected}},
		{"sent soon after the notice, delayed on the way", func(o *oracle) {
			passOnNotice(o, longAgo)
			o.sent("1-1", onceService, validKey, 0)
			o.requests["1-1"].sentAt = time.Now().Add(-longAgo + recently)
			o.Arrived(standin.RequestInfo{Server: "once-1", ID: "1-1"})
		}, nil},
		{"another server", func(o *oracle) { passOnNotice(o, longAgo); sendRequest(o, onceService, at("once-2")) }, nil},
		{"another daemon", func(o *oracle) {
			passOnNotice(o, longAgo)
			o.sent("1-1", onceService, validKey, 1)
			o.Arrived(standin.RequestInfo{Server: "once-1", ID: "1-1"})
		}, nil},
		{"meant for another server", func(o *oracle) {
			passOnNotice(o, longAgo)
			sendRequest(o, onceService, standin.RequestInfo{Server: "once-1", ExpectedServer: "once-2"})
		}, nil},
		{"the notice wasn't passed on", func(o *oracle) {
			sendRequest(o, onceService, standin.RequestInfo{Server: "once-1", Leaving: true})
			o.answered("1-1", 1, standin.Reply{Status: http.StatusBadGateway, HeadAt: time.Now().Add(-longAgo)})
			reach(o)
		}, nil},
		{"the answer was of before the notice", func(o *oracle) {
			reach(o)
			r := correctReply(o)
			r.Server, r.HeadAt = "once-1", time.Now().Add(-longAgo)
			o.answered("1-1", 1, r)
			reach(o)
		}, nil},
		{"the notice's caller closed midway", func(o *oracle) {
			sendRequest(o, streamService, standin.RequestInfo{Server: "llm-1", Leaving: true})
			o.callerClosed("1-1")
			o.answered("1-1", 1, standin.Reply{Status: http.StatusOK, Server: "llm-1", HeadAt: time.Now().Add(-longAgo)})
			sendRequest(o, streamService, at("llm-1"))
		}, []Promise{DrainNoticeRespected}},
		{"restarted since", func(o *oracle) {
			passOnNotice(o, longAgo)
			disturbed(o, daemonSubject(0), recently, 0)
			reach(o)
		}, nil},
		{"restarted before", func(o *oracle) {
			passOnNotice(o, longAgo)
			disturbed(o, daemonSubject(0), 2*longAgo, longAgo-time.Second)
			reach(o)
		}, []Promise{DrainNoticeRespected}},
		{"frozen since", func(o *oracle) {
			passOnNotice(o, longAgo)
			disturbed(o, pauseSubject(0), recently, 0)
			reach(o)
		}, nil},
		{"the store was down", func(o *oracle) {
			passOnNotice(o, longAgo)
			o.faults.begin(subjectStore)
			o.faults.begin(storeLinkSubject(0))
			o.faults.begin(serversSubject(onceService.name))
			reach(o)
		}, []Promise{DrainNoticeRespected}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { requireBroken(t, c.play, c.broken) })
	}
}

// requestBackoff lets once-1 refuse a request of daemon 0 some time ago and ask for a backoff.
func requestBackoff(o *oracle, ago, duration time.Duration) {
	o.sent("1-1", onceService, validKey, 0)
	v := standin.RequestInfo{Server: "once-1", ID: "1-1", Backoff: duration}
	o.Arrived(v)
	o.Ended(v)
	r := o.backoffs[daemonServer{0, "once-1"}][0]
	for _, at := range []*time.Time{&r.asked, &r.from, &r.to} {
		*at = at.Add(-ago)
	}
}

func TestBackoffChecks(t *testing.T) {
	const ago, duration = 2 * backoffNotice, time.Hour
	reach := func(o *oracle, n int) {
		for range n {
			sendRequest(o, onceService, at("once-1"))
		}
	}
	cases := []struct {
		name   string
		play   func(o *oracle)
		broken []Promise
	}{
		{"within the allowance", func(o *oracle) { requestBackoff(o, ago, duration); reach(o, maxBackoffArrivals) }, nil},
		{"one too many", func(o *oracle) { requestBackoff(o, ago, duration); reach(o, maxBackoffArrivals+1) }, []Promise{BackoffRespected}},
		{"many too many are told once", func(o *oracle) { requestBackoff(o, ago, duration); reach(o, 3*maxBackoffArrivals) }, []Promise{BackoffRespected}},
		{"refused requests count", func(o *oracle) {
			requestBackoff(o, ago, duration)
			for range maxBackoffArrivals + 1 {
				sendRequest(o, onceService, standin.RequestInfo{Server: "once-1", Backoff: duration})
			}
		}, []Promise{BackoffRespected}},
		{"before it must be known", func(o *oracle) { requestBackoff(o, 0, duration); reach(o, 2*maxBackoffArrivals) }, nil},
		{"after the backoff", func(o *oracle) { requestBackoff(o, ago, ago/2); reach(o, 2*maxBackoffArrivals) }, nil},
		{"another server", func(o *oracle) {
			requestBackoff(o, ago, duration)
			for range 2 * maxBackoffArrivals {
				sendRequest(o, onceService, at("once-2"))
			}
		}, nil},
		{"other daemons", func(o *oracle) {
			requestBackoff(o, ago, duration)
			for range 2 * maxBackoffArrivals {
				o.sent("1-1", onceService, validKey, 1)
				o.Arrived(standin.RequestInfo{Server: "once-1", ID: "1-1"})
			}
		}, nil},
		{"meant for another server", func(o *oracle) {
			requestBackoff(o, ago, duration)
			for range 2 * maxBackoffArrivals {
				sendRequest(o, onceService, standin.RequestInfo{Server: "once-1", ExpectedServer: "once-2"})
			}
		}, nil},
		{"the server started again", func(o *oracle) {
			requestBackoff(o, ago, duration)
			o.serverListed("once-1", "once")
			reach(o, 2*maxBackoffArrivals)
		}, nil},
		{"the daemon restarted", func(o *oracle) {
			requestBackoff(o, ago, duration)
			disturbed(o, daemonSubject(0), backoffNotice, 0)
			reach(o, 2*maxBackoffArrivals)
		}, nil},
		{"the daemon was frozen", func(o *oracle) {
			requestBackoff(o, ago, duration)
			disturbed(o, daemonSubject(0), 2*ago, backoffNotice)
			reach(o, 2*maxBackoffArrivals)
		}, nil},
		{"the link was cut", func(o *oracle) {
			requestBackoff(o, ago, duration)
			disturbed(o, serverLinkSubject("once-1"), 2*ago, backoffNotice)
			reach(o, 2*maxBackoffArrivals)
		}, nil},
		{"another link was cut", func(o *oracle) {
			requestBackoff(o, ago, duration)
			disturbed(o, serverLinkSubject("once-2"), 2*ago, 0)
			disturbed(o, storeLinkSubject(0), 2*ago, 0)
			reach(o, 2*maxBackoffArrivals)
		}, []Promise{BackoffRespected}},
		{"the refused caller closed", func(o *oracle) {
			requestBackoff(o, ago, duration)
			o.callerClosed("1-1")
			o.requests["1-1"].closedAt = time.Now().Add(-ago)
			reach(o, 2*maxBackoffArrivals)
		}, nil},
		{"the refused caller closed later", func(o *oracle) {
			requestBackoff(o, ago, duration)
			o.callerClosed("1-1")
			reach(o, 2*maxBackoffArrivals)
		}, []Promise{BackoffRespected}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { requireBroken(t, c.play, c.broken) })
	}
}

// The faults of the later streams must not change those that a seed had without them.
func TestLaterStreamsLeaveOtherSteps(t *testing.T) {
	profile := DefaultFaultProfile()
	later := slices.Concat(answerKindWeights, accessKindWeights, needKindWeights, pathKindWeights, siteKindWeights, configKindWeights, transferKindWeights, poolKindWeights, momentKindWeights, releaseKindWeights, silenceKindWeights, handOnKindWeights)
	for seed := range uint64(20) {
		steps := NewPlan(seed, profile)
		require.True(t, slices.IsSortedFunc(steps, func(a, b Step) int { return int(a.At - b.At) }))
		other := slices.DeleteFunc(steps, func(s Step) bool {
			return slices.ContainsFunc(later, func(w kindWeight) bool { return w.kind == s.Kind })
		})
		require.Equal(t, drawSteps(rand.New(rand.NewPCG(seed, 0)), profile, kindWeights), other)
		answers := profile
		answers.MeanInterval *= answerIntervalFactor
		require.Equal(t, drawSteps(rand.New(rand.NewPCG(seed, answerStream)), answers, answerKindWeights), stepsOf(NewPlan(seed, profile), answerKindWeights))
		access := profile
		access.MeanInterval *= accessIntervalFactor
		require.Equal(t, append([]Step{}, drawSteps(rand.New(rand.NewPCG(seed, accessStream)), access, accessKindWeights)...), stepsOf(NewPlan(seed, profile), accessKindWeights))
		need := profile
		need.MeanInterval *= needIntervalFactor
		require.Equal(t, append([]Step{}, drawSteps(rand.New(rand.NewPCG(seed, needStream)), need, needKindWeights)...), stepsOf(NewPlan(seed, profile), needKindWeights))
	}
}

// stepsOf returns the steps of some kinds.
func stepsOf(steps []Step, kinds []kindWeight) []Step {
	return slices.DeleteFunc(steps, func(s Step) bool {
		return !slices.ContainsFunc(kinds, func(w kindWeight) bool { return w.kind == s.Kind })
	})
}
