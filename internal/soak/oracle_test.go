package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/platform/standin"
)

var (
	onceService   = services[0]
	repeatService = services[1]
	streamService = services[2]
	markService   = services[3]
)

// validKey is a key that has been valid for long. Its organisation has no name, as in the requests of
// these tests.
var validKey = &accessKey{text: "key"}

// sendRequest records a caller's request, which the given servers receive and run.
func sendRequest(o *oracle, s service, visits ...standin.RequestInfo) {
	o.sent("1-1", s, validKey, 0)
	for _, v := range visits {
		v.ID = "1-1"
		o.Arrived(v)
		o.Ran(v)
		o.Ended(v)
	}
}

func at(server string) standin.RequestInfo { return standin.RequestInfo{Server: server} }

func correctReply(o *oracle) standin.Reply {
	return standin.Reply{Status: http.StatusOK, ID: "1-1", Signed: true, Body: "answer of once-1 to 1-1"}
}

func events(ids ...int) standin.Reply {
	return standin.Reply{Status: http.StatusOK, ID: "1-1", Signed: true, Events: ids}
}

func completeStream() standin.Reply {
	r := events()
	for i := range streamEvents {
		r.Events = append(r.Events, i+1)
	}
	return r
}

// Each case breaks one promise, which the checks must report, or is the nearest one that keeps
// it, which they must accept.
func TestChecks(t *testing.T) {
	cases := []struct {
		name   string
		play   func(o *oracle)
		broken []Promise
	}{
		{"runs once", func(o *oracle) { sendRequest(o, onceService, at("once-1")); o.answered("1-1", 1, correctReply(o)) }, nil},
		{"runs twice", func(o *oracle) { sendRequest(o, onceService, at("once-1"), at("once-2")) }, []Promise{AtMostOnce}},
		{"may run twice", func(o *oracle) { sendRequest(o, repeatService, at("repeat-1"), at("repeat-1")) }, nil},
		{"refused and has run", func(o *oracle) {
			sendRequest(o, onceService, at("once-1"))
			o.answered("1-1", 1, standin.Reply{Status: http.StatusServiceUnavailable})
		}, []Promise{RefusedNotRun}},
		{"refused and runs later", func(o *oracle) {
			sendRequest(o, onceService)
			o.answered("1-1", 1, standin.Reply{Status: http.StatusServiceUnavailable})
			o.Arrived(standin.RequestInfo{Server: "once-1", ID: "1-1"})
			o.Ran(standin.RequestInfo{Server: "once-1", ID: "1-1"})
		}, []Promise{RefusedNotRun}},
		{"failed and has run", func(o *oracle) {
			sendRequest(o, onceService, at("once-1"))
			o.answered("1-1", 1, standin.Reply{Status: http.StatusBadGateway})
		}, nil},
		{"another request's id", func(o *oracle) {
			sendRequest(o, onceService)
			r := correctReply(o)
			r.ID = "2-2"
			o.answered("1-1", 1, r)
		}, []Promise{CorrectResponse}},
		{"another request's body", func(o *oracle) {
			sendRequest(o, onceService)
			r := correctReply(o)
			r.Body = "answer of once-1 to 2-2"
			o.answered("1-1", 1, r)
		}, []Promise{CorrectResponse}},
		{"unsigned", func(o *oracle) {
			sendRequest(o, onceService)
			r := correctReply(o)
			r.Signed = false
			o.answered("1-1", 1, r)
		}, []Promise{CorrectResponse}},
		{"unknown request", func(o *oracle) { o.Arrived(standin.RequestInfo{Server: "once-1", ID: "9-9"}) }, []Promise{CorrectResponse}},
		{"complete stream", func(o *oracle) { sendRequest(o, streamService); o.answered("1-1", 1, completeStream()) }, nil},
		{"short stream", func(o *oracle) { sendRequest(o, streamService); o.answered("1-1", 1, events(1, 2)) }, []Promise{CompleteStream}},
		{"cut stream", func(o *oracle) {
			sendRequest(o, streamService)
			r := events(1, 2)
			r.Err = errors.New("cut")
			o.answered("1-1", 1, r)
		}, nil},
		{"repeated event", func(o *oracle) { sendRequest(o, streamService); o.answered("1-1", 1, events(1, 1, 2)) }, []Promise{CompleteStream}},
		{"missing event", func(o *oracle) { sendRequest(o, streamService); o.answered("1-1", 1, events(1, 3)) }, []Promise{CompleteStream}},
		{"other pool", func(o *oracle) { sendRequest(o, onceService, at("repeat-1")) }, []Promise{CorrectPool}},
		{"forged header", func(o *oracle) { sendRequest(o, onceService, standin.RequestInfo{Server: "once-1", Forged: true}) }, []Promise{NoForgedHeaders}},
		{"retries over the budget", func(o *oracle) {
			for range siteBudget.slack + 2 {
				sendRequest(o, repeatService, at("repeat-1"), at("repeat-1"))
			}
			sendRequest(o, repeatService, at("repeat-1"), at("repeat-1"), at("repeat-1"), at("repeat-1"), at("repeat-1"), at("repeat-1"))
		}, []Promise{BoundedRetries}},
		{"retries within the slack", func(o *oracle) {
			for range siteBudget.slack {
				sendRequest(o, repeatService, at("repeat-1"), at("repeat-1"))
			}
		}, nil},
		{"closes propagated", func(o *oracle) { closeRequests(o, o.Ended) }, nil},
		{"closes not propagated", func(o *oracle) {
			closeRequests(o, func(standin.RequestInfo) {})
		}, []Promise{CancellationPropagates}},
		{"draining for long", func(o *oracle) {
			o.serverDraining("once-1")
			o.draining["once-1"] = time.Now().Add(-2 * maxDrainNotice)
			sendRequest(o, onceService, at("once-1"))
		}, []Promise{DrainedServerSpared}},
		{"draining, but the store link is disturbed", func(o *oracle) {
			o.serverDraining("once-1")
			o.draining["once-1"] = time.Now().Add(-2 * maxDrainNotice)
			o.faults.begin(storeLinkSubject(0))
			sendRequest(o, onceService, at("once-1"))
		}, nil},
		{"removed long ago", func(o *oracle) {
			o.removed["once-0"] = time.Now().Add(-2 * maxRemovalNotice)
			sendRequest(o, onceService, standin.RequestInfo{Server: "once-1", ExpectedServer: "once-0"})
		}, []Promise{DrainedServerSpared}},
		{"just removed", func(o *oracle) {
			o.serverRemoved("once-0")
			sendRequest(o, onceService, standin.RequestInfo{Server: "once-1", ExpectedServer: "once-0"})
		}, nil},
		{"rejected by another pool's server", func(o *oracle) {
			o.sent("1-1", onceService, validKey, 0)
			o.Arrived(standin.RequestInfo{Server: "repeat-1", ExpectedServer: "once-0", ID: "1-1"})
			o.Ended(standin.RequestInfo{Server: "repeat-1", ExpectedServer: "once-0", ID: "1-1"})
		}, nil},
		{"just draining", func(o *oracle) { o.serverDraining("once-1"); sendRequest(o, onceService, at("once-1")) }, nil},
		{"old configuration", func(o *oracle) {
			o.published = []time.Time{time.Now().Add(-2 * maxConfigDelay), time.Now().Add(-2 * maxConfigDelay)}
			answerWithVersion(o, 1, 1)
		}, []Promise{ConfigApplied}},
		{"configuration went back", func(o *oracle) {
			o.published = []time.Time{time.Now(), time.Now()}
			answerWithVersion(o, 1, 2)
			answerWithVersion(o, 1, 1)
		}, []Promise{ConfigMonotonic}},
		{"configuration of another process", func(o *oracle) {
			o.published = []time.Time{time.Now(), time.Now()}
			answerWithVersion(o, 1, 2)
			answerWithVersion(o, 2, 1)
		}, nil},
		{"cut by a planned stop", func(o *oracle) {
			o.sent("1-1", onceService, validKey, 0)
			loseConnection(o, processExit{at: time.Now().Add(time.Second)})
		}, []Promise{NoCutRequests}},
		{"cut by a running daemon", func(o *oracle) {
			o.sent("1-1", onceService, validKey, 0)
			loseConnection(o, processExit{})
		}, []Promise{NoCutRequests}},
		{"sent as the process exited", func(o *oracle) {
			o.sent("1-1", onceService, validKey, 0)
			loseConnection(o, processExit{at: time.Now()})
		}, nil},
		{"forwarded as the process exited", func(o *oracle) {
			sendRequest(o, onceService, at("once-1"))
			loseConnection(o, processExit{at: time.Now()})
		}, []Promise{NoCutRequests}},
		{"cut by a kill", func(o *oracle) {
			sendRequest(o, onceService)
			loseConnection(o, processExit{at: time.Now().Add(time.Second), killed: true})
		}, nil},
		{"late answer", func(o *oracle) {
			sendRequest(o, onceService)
			o.requests["1-1"].sentAt = time.Now().Add(-onceService.deadline - 2*responseSlack)
			o.answered("1-1", 1, standin.Reply{Status: http.StatusGatewayTimeout})
		}, []Promise{AnsweredByDeadline}},
		{"one token, two holders", func(o *oracle) {
			o.checkOrders([]engineOrders{
				{"llm-1", []standin.Order{{Holder: "d0", FencingToken: 3}}},
				{"llm-2", []standin.Order{{Holder: "d1", FencingToken: 3}}},
			})
		}, []Promise{SingleLeaseHolder}},
		{"an older token", func(o *oracle) {
			o.checkOrders([]engineOrders{{"llm-1", []standin.Order{{Holder: "d0", FencingToken: 3}, {Holder: "d1", FencingToken: 2}}}})
		}, []Promise{SingleLeaseHolder}},
		{"a newer holder", func(o *oracle) {
			o.checkOrders([]engineOrders{{"llm-1", []standin.Order{{Holder: "d0", FencingToken: 3}, {Holder: "d1", FencingToken: 4}}}})
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { requireBroken(t, c.play, c.broken) })
	}
}

// requireBroken plays a case on a new oracle and requires it to report these promises only.
func requireBroken(t *testing.T, play func(o *oracle), want []Promise) {
	o := newOracle(newFaultLog())
	for _, s := range services {
		o.serverListed(s.name+"-1", s.name)
		o.serverListed(s.name+"-2", s.name)
	}
	for i, pool := range versionPools {
		o.serverListed(versionPools[i]+"-1", pool)
	}
	play(o)
	o.finish(siteBudget, 0)
	var broken []Promise
	for _, v := range o.Violations() {
		broken = append(broken, v.Promise)
	}
	require.Equal(t, want, broken)
}

func loseConnection(o *oracle, exit processExit) {
	o.connectionLost("1-1", standin.Reply{Err: errors.New("reset")}, time.Now(), exit)
}

// closeRequests closes some requests while a server handles them; after is what the server does
// then.
func closeRequests(o *oracle, after func(v standin.RequestInfo)) {
	for range 2 * maxLateCloses {
		sendRequest(o, repeatService)
		o.Arrived(standin.RequestInfo{Server: "repeat-1", ID: "1-1"})
		o.callerClosed("1-1")
		after(standin.RequestInfo{Server: "repeat-1", ID: "1-1"})
		q := o.requests["1-1"]
		delete(o.requests, "1-1")
		o.requests[time.Now().String()] = q
	}
}

// answerWithVersion lets daemon 0 answer with a version.
func answerWithVersion(o *oracle, launch, version int) {
	sendRequest(o, markService)
	r := correctReply(o)
	r.Body = "answer of " + versionPools[version-1] + "-1 to 1-1"
	o.answered("1-1", launch, r)
}

// Guards against taking a killed daemon for a running one: its exit becomes known after its
// connections have closed.
func TestExitOfStoppingProcessIsAwaited(t *testing.T) {
	d := &daemon{launch: 1, stopping: true, exits: make(map[int]processExit), exited: make(chan struct{})}
	go func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.exits[1] = processExit{at: time.Now(), killed: true}
		close(d.exited)
	}()
	require.True(t, d.awaitExit(1).killed)
	require.Equal(t, processExit{}, d.awaitExit(2))
}
