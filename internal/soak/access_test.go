package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/platform/standin"
)

// Each case breaks one promise about keys, or is the nearest one that keeps it.
func TestAccessChecks(t *testing.T) {
	long := time.Now().Add(-time.Minute)
	valid := accessKey{organisation: "o", addedAt: long}
	removed := accessKey{organisation: "o", addedAt: long, removedAt: time.Now().Add(-revocationBound - time.Second)}
	justRemoved := accessKey{organisation: "o", addedAt: long, removedAt: time.Now().Add(-revocationBound + time.Second)}
	justAdded := accessKey{organisation: "o", addedAt: time.Now().Add(-maxConfigDelay / 2)}
	at := standin.RequestInfo{ID: "1-1", Server: "once-1", Organisation: "o"}
	unauthorised := standin.Reply{Status: http.StatusUnauthorized}
	cases := []struct {
		name   string
		key    accessKey
		visit  *standin.RequestInfo
		reply  standin.Reply
		broken []Promise
	}{
		{"named", valid, &at, standin.Reply{}, nil},
		{"key passed on", valid, &standin.RequestInfo{ID: "1-1", Server: "once-1", Organisation: "o", KeyPassedOn: true}, standin.Reply{}, []Promise{KeysStayInside}},
		{"another organisation", valid, &standin.RequestInfo{ID: "1-1", Server: "once-1", Organisation: "p"}, standin.Reply{}, []Promise{KeysStayInside}},
		{"no organisation", valid, &standin.RequestInfo{ID: "1-1", Server: "once-1"}, standin.Reply{}, []Promise{KeysStayInside}},
		{"removed for long", removed, &at, standin.Reply{}, []Promise{RevocationHolds}},
		{"just removed", justRemoved, &at, standin.Reply{}, nil},
		{"refused though valid", valid, nil, unauthorised, []Promise{ValidKeysAccepted}},
		{"refused, just added", justAdded, nil, unauthorised, nil},
		{"refused, removed", removed, nil, unauthorised, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle(newFaultLog())
			o.serverListed("once-1", "once")
			o.sent("1-1", onceService, &c.key, 0)
			if c.visit != nil {
				o.Arrived(*c.visit)
				o.Ran(*c.visit)
			} else {
				o.answered("1-1", 1, c.reply)
			}
			require.Equal(t, c.broken, brokenBy(o))
		})
	}
}

func brokenBy(o *oracle) []Promise {
	var broken []Promise
	for _, v := range o.Violations() {
		broken = append(broken, v.Promise)
	}
	return broken
}

// Each case breaks one promise about the platform's calls, or is the nearest one that keeps it.
func TestProviderCallChecks(t *testing.T) {
	start := time.Now()
	call := func(holder string, launch int, token uint64, after time.Duration, n int) standin.CloudCall {
		return standin.CloudCall{At: start.Add(after), Holder: holder, Tag: launch, Token: token, Window: 7, Counts: map[string]int{"o": n}}
	}
	cases := []struct {
		name   string
		calls  []standin.CloudCall
		broken []Promise
	}{
		{"repeated by a successor", []standin.CloudCall{call("a", 1, 1, 0, 5), call("b", 1, 2, time.Second, 5)}, nil},
		{"built anew by a successor", []standin.CloudCall{call("a", 1, 1, 0, 5), call("b", 1, 2, time.Second, 6)}, []Promise{OneReport}},
		{"token of two holders", []standin.CloudCall{call("a", 1, 1, 0, 5), call("b", 1, 1, time.Second, 5)}, []Promise{SingleLeaseHolder}},
		{"token kept over a restart", []standin.CloudCall{call("a", 1, 1, 0, 5), call("a", 2, 1, time.Second, 5)}, []Promise{SingleLeaseHolder}},
		{"in turns", []standin.CloudCall{call("a", 1, 1, 0, 5), call("b", 1, 2, leaseTerm/4, 5), call("a", 1, 3, leaseTerm/2, 5)}, []Promise{SingleLeaseHolder}},
		{"again after a term", []standin.CloudCall{call("a", 1, 1, 0, 5), call("b", 1, 2, leaseTerm, 5), call("a", 1, 3, 2*leaseTerm, 5)}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle(newFaultLog())
			for _, call := range c.calls {
				o.providerCalled(call)
			}
			require.Equal(t, c.broken, brokenBy(o))
		})
	}
}

// Guards against a check of usage that takes a request on its way at a window's end for a wrong count.
func TestUsageAtTheEndOfAWindow(t *testing.T) {
	name := (&access{}).organisation(0)
	const window = 7
	start, end := time.Unix(0, window*int64(usageWindow)), time.Unix(0, (window+1)*int64(usageWindow))
	b := newBilling()
	for range 10 {
		b.begun[name] = append(b.begun[name], &interval{from: start, to: start},
			&interval{from: end.Add(-time.Millisecond), to: end})
	}
	b.begun[name] = append(b.begun[name], &interval{from: start.Add(-time.Millisecond), to: start})
	require.Equal(t, []int64{window}, b.windows())
	for reported, fits := range map[int]bool{8: false, 9: true, 10: true, 21: true, 23: true, 24: false} {
		detail := b.difference(window, map[string]int{name: reported})
		require.Equal(t, fits, detail == "", "%d: %s", reported, detail)
	}
}

// Guards against a check of usage that blames a daemon for a first event that was long on its way, and
// against one that takes events that came at once for such.
func TestUsageOfStreamsByTheirFirstEvents(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name     string
		counted  interval
		reply    standin.Reply
		from, to time.Duration
	}{
		{"at once", interval{now, now.Add(usageTransit)}, standin.Reply{FirstEventAt: now.Add(time.Millisecond)}, 0, time.Millisecond},
		{"late", interval{now, now.Add(usageTransit)}, standin.Reply{FirstEventAt: now.Add(2 * time.Second)}, 0, 2 * time.Second},
		{"none", interval{now, now.Add(usageTransit)}, standin.Reply{}, 0, 3 * time.Second},
		{"none, the caller closed soon", interval{now.Add(3 * time.Second), now.Add(3*time.Second + usageTransit)}, standin.Reply{}, 3 * time.Second, 3*time.Second + usageTransit},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &request{service: streamService, counted: &c.counted}
			newOracle(newFaultLog()).recordFirstEvent(q, c.reply, now.Add(3*time.Second))
			require.Equal(t, interval{now.Add(c.from), now.Add(c.to)}, *q.counted)
		})
	}
}

// Guards against a check of usage that accepts a missing, late or wrong report.
func TestUsageChecks(t *testing.T) {
	name := (&access{}).organisation(0)
	window := windowOf(time.Now().Add(-time.Minute))
	start := time.Unix(0, window*int64(usageWindow))
	due := start.Add(usageWindow + usageDue)
	cases := []struct {
		name     string
		reported int
		at       time.Time
		broken   []Promise
	}{
		{"exact", 100, due, nil},
		{"within the tolerance", 106, due, nil},
		{"too many", 107, due, []Promise{UsageReported}},
		{"too few", 93, due, []Promise{UsageReported}},
		{"late", 100, due.Add(time.Millisecond), []Promise{UsageReported}},
		{"missing", 0, time.Time{}, []Promise{UsageReported}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle(newFaultLog())
			for range 100 {
				o.billing.begun[name] = append(o.billing.begun[name], &interval{from: start, to: start})
			}
			if !c.at.IsZero() {
				o.billing.reports[window] = standin.CloudCall{At: c.at, Counts: map[string]int{name: c.reported}}
			}
			o.checkUsage(1, time.Now())
			require.Equal(t, c.broken, brokenBy(o))
		})
	}
}
