package soak

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/platform/standin"
)

// Guards against a silence or a stop that ends a stream unnoticed, and against excuses that aren't given.
func TestSilentStreamChecks(t *testing.T) {
	now := time.Now()
	broken := errors.New("cut")
	begun := standin.Reply{Status: http.StatusOK, Events: []int{1, 2}, Err: broken}
	unanswered := standin.Reply{Err: broken}
	running := processExit{}
	// told is a stop in which the stream ends, long one that has come to the last part of its grace.
	told := processExit{toldAt: now.Add(-time.Second), at: now.Add(3 * time.Second)}
	long := processExit{toldAt: now.Add(-grace), at: now.Add(time.Second)}
	cases := []struct {
		name  string
		reply standin.Reply
		exit  processExit
		// sent is how long before its end the stream was sent.
		sent time.Duration
		play func(o *oracle)
		want []Promise
	}{
		{name: "whole", reply: completeStream(), exit: told, sent: time.Second},
		{name: "ends short", reply: begun, exit: running, sent: time.Second, want: []Promise{StreamsOutlastSilence}},
		{name: "ends short without an error", reply: standin.Reply{Status: http.StatusOK, Events: []int{1}}, exit: running, sent: time.Second, want: []Promise{StreamsOutlastSilence}},
		{name: "at its deadline, begun late", reply: begunAt(now.Add(-silentStreamTime)), exit: running, sent: silentService.deadline},
		{name: "at its deadline, begun early", reply: begunAt(now.Add(-silentStreamTime - time.Millisecond)), exit: running, sent: silentService.deadline, want: []Promise{StreamsOutlastSilence}},
		{name: "at its deadline on a busy machine", reply: begunAt(now.Add(-silentStreamTime - time.Millisecond)), exit: running, sent: silentService.deadline, play: func(o *oracle) {
			o.faults.intervals[subjectMachine] = []interval{{from: now.Add(-time.Second), to: now}}
		}},
		{name: "at its deadline beside a stop", reply: begunAt(now.Add(-silentStreamTime - time.Millisecond)), exit: told, sent: silentService.deadline},
		{name: "not begun", reply: standin.Reply{Status: http.StatusBadGateway}, exit: running, sent: time.Second},
		{name: "killed", reply: begun, exit: processExit{at: now, killed: true}, sent: time.Second},
		{name: "killed beside a stop", reply: begun, exit: processExit{toldAt: told.toldAt, at: now, killed: true}, sent: time.Second},
		{name: "cut off", reply: begun, exit: running, sent: time.Second, play: func(o *oracle) { o.faults.begin(pathSubject(0)) }},
		{name: "frozen", reply: begun, exit: running, sent: time.Second, play: func(o *oracle) { o.faults.begin(pauseSubject(0)) }},
		{name: "frozen on the way", reply: begun, exit: running, sent: time.Second, play: func(o *oracle) {
			o.requests["1-1"].senders = []int{1}
			o.faults.begin(pauseSubject(1))
		}},
		{name: "frozen elsewhere", reply: begun, exit: running, sent: time.Second, play: func(o *oracle) {
			o.requests["1-1"].senders = []int{0}
			o.faults.begin(pauseSubject(1))
		}, want: []Promise{StreamsOutlastSilence}},
		{name: "killed on an unknown way", reply: unanswered, exit: told, sent: time.Second, play: func(o *oracle) { o.faults.begin(killSubject(1)) }},
		{name: "store disturbed", reply: begun, exit: running, sent: time.Second, play: func(o *oracle) { o.faults.begin(subjectStore) }, want: []Promise{StreamsOutlastSilence}},
		{name: "cut by a stop", reply: begun, exit: told, sent: 2 * time.Second, want: []Promise{StopEndsWhole}},
		{name: "unanswered by a stop", reply: unanswered, exit: told, sent: 2 * time.Second, want: []Promise{StopEndsWhole}},
		{name: "failed by a stop", reply: standin.Reply{Status: http.StatusBadGateway}, exit: told, sent: time.Second / 2, want: []Promise{StopEndsWhole}},
		{name: "refused by a stop", reply: standin.Reply{Status: http.StatusServiceUnavailable}, exit: told, sent: time.Second / 2},
		{name: "unread at the exit", reply: unanswered, exit: processExit{toldAt: told.toldAt, at: now}, sent: exitSlack / 2},
		{name: "at work until the exit, sent late", reply: begun, exit: long, sent: grace - stopNotice - time.Second, play: atWork, want: []Promise{StopEndsWhole}},
		{name: "at work until the exit, sent early", reply: begun, exit: long, sent: silentService.deadline - time.Millisecond*1, play: func(o *oracle) {
			atWork(o)
			o.requests["1-1"].sentAt = long.toldAt.Add(stopNotice - time.Millisecond)
			o.requests["1-1"].service.deadline = grace
		}},
		{name: "not at work any more", reply: begun, exit: long, sent: time.Second, play: func(o *oracle) {
			o.requests["1-1"].sentAt = long.toldAt.Add(stopNotice - time.Millisecond)
			o.requests["1-1"].service.deadline = grace
			o.requests["1-1"].lastEndAt = long.toldAt.Add(grace - lastOfGrace - time.Millisecond)
		}, want: []Promise{StopEndsWhole}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := newOracle(newFaultLog())
			o.daemonNumbers = []int{0, 1}
			o.sent("1-1", silentService, validKey, 0)
			o.requests["1-1"].sentAt = now.Add(-tc.sent)
			if tc.play != nil {
				tc.play(o)
			}
			o.silentStreamEnded("1-1", tc.reply, now, tc.exit)
			var got []Promise
			for _, v := range o.Violations() {
				got = append(got, v.Promise)
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// begunAt returns a reply of a stream that has begun at a time and ended short.
func begunAt(at time.Time) standin.Reply {
	return standin.Reply{Status: http.StatusOK, Events: []int{1}, FirstEventAt: at, Err: errors.New("cut")}
}

// atWork lets a server be at work on the request.
func atWork(o *oracle) { o.requests["1-1"].active, o.requests["1-1"].arrivals = 1, 1 }

// Guards against silences that run together to one that no sound server has.
func TestSilencesOfAServerAreApart(t *testing.T) {
	server := standin.NewServer("a")
	defer server.Close()
	var l silences
	require.True(t, l.begin(server, time.Millisecond))
	require.False(t, l.begin(server, time.Millisecond))
	l.until[server] = time.Now().Add(-minSilenceRest)
	require.True(t, l.begin(server, time.Millisecond))
}

// Guards against a kind of silence that no seed plays.
func TestSeedsPlayAllFormsOfSilences(t *testing.T) {
	var forms []silentForm
	for seed := range uint64(200) {
		for _, step := range NewPlan(seed, DefaultFaultProfile()) {
			if form := silentFormOf(step.Variant); step.Kind == SilencePool && !slices.Contains(forms, form) {
				forms = append(forms, form)
			}
		}
	}
	require.Len(t, forms, 32)
}
