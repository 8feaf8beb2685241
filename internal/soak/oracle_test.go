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
	once   = services[0]
	repeat = services[1]
	stream = services[2]
	mark   = services[3]
)

// ask lets a caller send a request and some servers get it.
func ask(o *oracle, s service, visits ...standin.RequestInfo) {
	o.sent("1-1", s, 0)
	for _, v := range visits {
		v.ID = "1-1"
		o.Arrived(v)
		o.Ran(v)
		o.Ended(v)
	}
}

func at(server string) standin.RequestInfo { return standin.RequestInfo{Server: server} }

func good(o *oracle) standin.Reply {
	return standin.Reply{Status: http.StatusOK, ID: "1-1", Signed: true, Body: "answer of once-1 to 1-1"}
}

func events(ids ...int) standin.Reply {
	return standin.Reply{Status: http.StatusOK, ID: "1-1", Signed: true, Events: ids}
}

func whole() standin.Reply {
	r := events()
	for i := range streamEvents {
		r.Events = append(r.Events, i+1)
	}
	return r
}

// Each promise is broken once, and the check must say so; and the nearest case
// that keeps the promise must pass, or each run would be red.
func TestChecks(t *testing.T) {
	cases := []struct {
		name   string
		play   func(o *oracle)
		broken []Promise
	}{
		{"runs once", func(o *oracle) { ask(o, once, at("once-1")); o.answered("1-1", 1, good(o)) }, nil},
		{"runs twice", func(o *oracle) { ask(o, once, at("once-1"), at("once-2")) }, []Promise{RunsOnce}},
		{"may run twice", func(o *oracle) { ask(o, repeat, at("repeat-1"), at("repeat-1")) }, nil},
		{"refused and has run", func(o *oracle) {
			ask(o, once, at("once-1"))
			o.answered("1-1", 1, standin.Reply{Status: http.StatusServiceUnavailable})
		}, []Promise{TrueRefusal}},
		{"refused and runs later", func(o *oracle) {
			ask(o, once)
			o.answered("1-1", 1, standin.Reply{Status: http.StatusServiceUnavailable})
			o.Arrived(standin.RequestInfo{Server: "once-1", ID: "1-1"})
			o.Ran(standin.RequestInfo{Server: "once-1", ID: "1-1"})
		}, []Promise{TrueRefusal}},
		{"failed and has run", func(o *oracle) {
			ask(o, once, at("once-1"))
			o.answered("1-1", 1, standin.Reply{Status: http.StatusBadGateway})
		}, nil},
		{"another's id", func(o *oracle) {
			ask(o, once)
			r := good(o)
			r.ID = "2-2"
			o.answered("1-1", 1, r)
		}, []Promise{OwnAnswer}},
		{"another's body", func(o *oracle) {
			ask(o, once)
			r := good(o)
			r.Body = "answer of once-1 to 2-2"
			o.answered("1-1", 1, r)
		}, []Promise{OwnAnswer}},
		{"unsigned", func(o *oracle) {
			ask(o, once)
			r := good(o)
			r.Signed = false
			o.answered("1-1", 1, r)
		}, []Promise{OwnAnswer}},
		{"unknown request", func(o *oracle) { o.Arrived(standin.RequestInfo{Server: "once-1", ID: "9-9"}) }, []Promise{OwnAnswer}},
		{"whole stream", func(o *oracle) { ask(o, stream); o.answered("1-1", 1, whole()) }, nil},
		{"short stream", func(o *oracle) { ask(o, stream); o.answered("1-1", 1, events(1, 2)) }, []Promise{WholeStream}},
		{"cut stream", func(o *oracle) {
			ask(o, stream)
			r := events(1, 2)
			r.Err = errors.New("cut")
			o.answered("1-1", 1, r)
		}, nil},
		{"repeated event", func(o *oracle) { ask(o, stream); o.answered("1-1", 1, events(1, 1, 2)) }, []Promise{WholeStream}},
		{"missing event", func(o *oracle) { ask(o, stream); o.answered("1-1", 1, events(1, 3)) }, []Promise{WholeStream}},
		{"other pool", func(o *oracle) { ask(o, once, at("repeat-1")) }, []Promise{RightPool}},
		{"forged header", func(o *oracle) { ask(o, once, standin.RequestInfo{Server: "once-1", Forged: true}) }, []Promise{NoForgery}},
		{"too many repeats", func(o *oracle) {
			for range siteBudget.slack + 2 {
				ask(o, repeat, at("repeat-1"), at("repeat-1"))
			}
			ask(o, repeat, at("repeat-1"), at("repeat-1"), at("repeat-1"), at("repeat-1"), at("repeat-1"), at("repeat-1"))
		}, []Promise{BoundedRepeats}},
		{"repeats within the slack", func(o *oracle) {
			for range siteBudget.slack {
				ask(o, repeat, at("repeat-1"), at("repeat-1"))
			}
		}, nil},
		{"closes passed on", func(o *oracle) { closes(o, o.Ended) }, nil},
		{"closes not passed on", func(o *oracle) {
			closes(o, func(standin.RequestInfo) {})
		}, []Promise{CloseIsPassed}},
		{"leaving for long", func(o *oracle) {
			o.serverLeaves("once-1")
			o.leaving["once-1"] = time.Now().Add(-2 * leaveWithin)
			ask(o, once, at("once-1"))
		}, []Promise{LeavingIsSpared}},
		{"leaving, not known", func(o *oracle) {
			o.serverLeaves("once-1")
			o.leaving["once-1"] = time.Now().Add(-2 * leaveWithin)
			o.troubles.begin(storeLinkSubject(0))
			ask(o, once, at("once-1"))
		}, nil},
		{"gone for long", func(o *oracle) {
			o.gone["once-0"] = time.Now().Add(-2 * goneWithin)
			ask(o, once, standin.RequestInfo{Server: "once-1", ExpectedServer: "once-0"})
		}, []Promise{LeavingIsSpared}},
		{"just gone", func(o *oracle) {
			o.serverGone("once-0")
			ask(o, once, standin.RequestInfo{Server: "once-1", ExpectedServer: "once-0"})
		}, nil},
		{"turned away by another pool's server", func(o *oracle) {
			o.sent("1-1", once, 0)
			o.Arrived(standin.RequestInfo{Server: "repeat-1", ExpectedServer: "once-0", ID: "1-1"})
			o.Ended(standin.RequestInfo{Server: "repeat-1", ExpectedServer: "once-0", ID: "1-1"})
		}, nil},
		{"just left", func(o *oracle) { o.serverLeaves("once-1"); ask(o, once, at("once-1")) }, nil},
		{"old configuration", func(o *oracle) {
			o.published = []time.Time{time.Now().Add(-2 * configWithin), time.Now().Add(-2 * configWithin)}
			markAnswer(o, 1, 1)
		}, []Promise{ConfigInForce}},
		{"configuration before", func(o *oracle) {
			o.published = []time.Time{time.Now(), time.Now()}
			markAnswer(o, 1, 2)
			markAnswer(o, 1, 1)
		}, []Promise{ConfigNeverBack}},
		{"configuration of another process", func(o *oracle) {
			o.published = []time.Time{time.Now(), time.Now()}
			markAnswer(o, 1, 2)
			markAnswer(o, 2, 1)
		}, nil},
		{"cut by a planned stop", func(o *oracle) {
			o.sent("1-1", once, 0)
			cutByEnd(o, processEnd{at: time.Now().Add(time.Second)})
		}, []Promise{StopCutsNothing}},
		{"cut by a daemon that lives", func(o *oracle) {
			o.sent("1-1", once, 0)
			cutByEnd(o, processEnd{})
		}, []Promise{StopCutsNothing}},
		{"sent as the process ended", func(o *oracle) {
			o.sent("1-1", once, 0)
			cutByEnd(o, processEnd{at: time.Now()})
		}, nil},
		{"passed on as the process ended", func(o *oracle) {
			ask(o, once, at("once-1"))
			cutByEnd(o, processEnd{at: time.Now()})
		}, []Promise{StopCutsNothing}},
		{"cut by a kill", func(o *oracle) {
			ask(o, once)
			cutByEnd(o, processEnd{at: time.Now().Add(time.Second), killed: true})
		}, nil},
		{"late answer", func(o *oracle) {
			ask(o, once)
			o.requests["1-1"].sent = time.Now().Add(-once.deadline - 2*answerSlack)
			o.answered("1-1", 1, standin.Reply{Status: http.StatusGatewayTimeout})
		}, []Promise{AnsweredInTime}},
		{"one token, two holders", func(o *oracle) {
			o.checkOrders([]engineOrders{
				{"llm-1", []standin.Order{{Holder: "d0", FencingToken: 3}}},
				{"llm-2", []standin.Order{{Holder: "d1", FencingToken: 3}}},
			})
		}, []Promise{OneHolder}},
		{"an older token", func(o *oracle) {
			o.checkOrders([]engineOrders{{"llm-1", []standin.Order{{Holder: "d0", FencingToken: 3}, {Holder: "d1", FencingToken: 2}}}})
		}, []Promise{OneHolder}},
		{"a newer holder", func(o *oracle) {
			o.checkOrders([]engineOrders{{"llm-1", []standin.Order{{Holder: "d0", FencingToken: 3}, {Holder: "d1", FencingToken: 4}}}})
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle(newTroubles())
			for _, s := range services {
				o.serverListed(s.name+"-1", s.name)
				o.serverListed(s.name+"-2", s.name)
			}
			for i, pool := range markPools {
				o.serverListed(markPools[i]+"-1", pool)
			}
			c.play(o)
			o.finish(siteBudget)
			var broken []Promise
			for _, v := range o.Violations() {
				broken = append(broken, v.Promise)
			}
			require.Equal(t, c.broken, broken)
		})
	}
}

func cutByEnd(o *oracle, end processEnd) {
	o.cut("1-1", standin.Reply{Err: errors.New("reset")}, time.Now(), end)
}

// closes lets some callers close while a server works; after is what it does then.
func closes(o *oracle, after func(v standin.RequestInfo)) {
	for range 2 * fewLate {
		ask(o, repeat)
		o.Arrived(standin.RequestInfo{Server: "repeat-1", ID: "1-1"})
		o.closed("1-1")
		after(standin.RequestInfo{Server: "repeat-1", ID: "1-1"})
		q := o.requests["1-1"]
		delete(o.requests, "1-1")
		o.requests[time.Now().String()] = q
	}
}

// markAnswer lets daemon 0 answer by a version.
func markAnswer(o *oracle, life, version int) {
	ask(o, mark)
	r := good(o)
	r.Body = "answer of " + markPools[version-1] + "-1 to 1-1"
	o.answered("1-1", life, r)
}

// Guards against a killed daemon taken for a living one, as its exit is learnt after its
// connections have closed.
func TestEndOfAStoppingProcessIsAwaited(t *testing.T) {
	d := &daemon{life: 1, ending: true, ends: make(map[int]processEnd), exited: make(chan struct{})}
	go func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ends[1] = processEnd{at: time.Now(), killed: true}
		close(d.exited)
	}()
	require.True(t, d.awaitEnd(1).killed)
	require.Equal(t, processEnd{}, d.awaitEnd(2))
}
