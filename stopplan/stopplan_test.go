package stopplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are cut off by the end of a process which could have refused them.
func TestDecide(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	plan := Plan{Noticed: at(3), Exit: at(10), Reserve: time.Second}
	short := Plan{Noticed: at(3), Exit: at(2), Reserve: time.Second}
	for name, tc := range map[string]struct {
		plan Plan
		r    Request
		now  time.Time
		want Decision
	}{
		"ends in time, before the notice":            {plan, Request{Deadline: at(8)}, at(1), Serve},
		"ends in time, late":                         {plan, Request{Deadline: at(9)}, at(8), Serve},
		"too long, before the notice":                {plan, Request{Deadline: at(9.1)}, at(2.9), Cut},
		"too long, at the notice":                    {plan, Request{Deadline: at(9.1)}, at(3), Refuse},
		"no deadline, before the notice":             {plan, Request{}, at(1), Cut},
		"no deadline, after the notice":              {plan, Request{}, at(4), Refuse},
		"too long, may have run":                     {plan, Request{Deadline: at(20), MayHaveRun: true}, at(4), Cut},
		"ends in time, may have run":                 {plan, Request{Deadline: at(5), MayHaveRun: true}, at(4), Serve},
		"another process goes on, not yet":           {plan, Request{Deadline: at(20), MayHaveRun: true, Returnable: true}, at(8.9), Serve},
		"another process goes on, right before":      {plan, Request{Deadline: at(20), MayHaveRun: true, Returnable: true}, at(9), Refuse},
		"another process hands it elsewhere":         {plan, Request{Deadline: at(20), Elsewhere: true}, at(1), Refuse},
		"the same, ends in time":                     {plan, Request{Deadline: at(8), Elsewhere: true}, at(1), Serve},
		"the same, may have run":                     {plan, Request{Deadline: at(20), Elsewhere: true, MayHaveRun: true}, at(1), Cut},
		"expected to outlast the exit":               {plan, Request{Deadline: at(20), Expected: 8 * time.Second, OthersServe: true}, at(1.1), Refuse},
		"expected to end before the exit":            {plan, Request{Deadline: at(20), Expected: 8 * time.Second, OthersServe: true}, at(0.9), Cut},
		"the same, no other process serves":          {plan, Request{Deadline: at(20), Expected: 8 * time.Second}, at(1.1), Cut},
		"outlasts the exit, may have run":            {plan, Request{Deadline: at(20), Expected: 8 * time.Second, OthersServe: true, MayHaveRun: true}, at(1.1), Cut},
		"outlasts the exit, its deadline doesn't":    {plan, Request{Deadline: at(8), Expected: 8 * time.Second, OthersServe: true}, at(1.1), Serve},
		"after the exit, as after a standstill":      {plan, Request{Deadline: at(30)}, at(11), Refuse},
		"no time left, though nobody knows yet":      {short, Request{Deadline: at(4)}, at(1), Refuse},
		"time left, and nobody knows before the end": {short, Request{Deadline: at(4)}, at(0.5), Cut},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want.String(), tc.plan.Decide(tc.r, tc.now).String())
		})
	}
	require.Equal(t, at(9), plan.Latest())
}

// Guards against requests that a process accepts, and cuts, since it has handled its stop signal late.
func TestLateSignalExtendsNoNotice(t *testing.T) {
	sent := time.Unix(1000, 0)
	for _, ttl := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		known := sent.Add(ttl)
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 450 * time.Millisecond} {
			plan := Begin(sent.Add(delay), ttl, 5*time.Second)
			require.Equal(t, sent.Add(delay+ttl+5*time.Second), plan.Exit)
			require.Equal(t, Refuse, plan.Decide(Request{Deadline: sent.Add(time.Minute)}, known), "%v late, %v", delay, ttl)
			require.Equal(t, Cut, plan.Decide(Request{Deadline: sent.Add(time.Minute)}, sent.Add(delay+ttl/3)), "callers may not know yet")
		}
	}
}
