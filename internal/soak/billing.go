package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarackchute/platform/standin"
)

const (
	// usageWindow is the length of a window of usage, usageDue the time after its end within which
	// it is due.
	usageWindow = time.Second
	usageDue    = 4 * time.Second
	// billingTail is how long requests go on after the recovery, so that some windows are
	// undisturbed until they are due.
	billingTail = settleDelay + usageWindow + usageDue + time.Second
	// A count may differ from the truth by usageTolerance of it, and by usageSlack streams that broke off
	// on the way of their first events. A request on its way when a window ends may count before or
	// after the end; usageTransit is the time on the way of a first event that its caller didn't get.
	usageTolerance = 0.05
	usageSlack     = 1
	usageTransit   = maxWakeDelay
	// subjectProvider names the platform's calls.
	subjectProvider = "platform's calls"
)

var providerFaults = []standin.CloudFault{
	standin.CloudBusy, standin.CloudSilent, standin.CloudReset, standin.CloudLate, standin.CloudSlow,
}

// failProvider fails the platform's calls for a while.
func (s *site) failProvider(fault standin.CloudFault, duration time.Duration) {
	end := s.faults.begin(subjectProvider)
	s.provider.Fail(fault)
	time.Sleep(duration)
	s.provider.Fail(standin.CloudHealthy)
	time.AfterFunc(settleDelay, end)
}

// billing holds what is known of usage: the truth by the servers, and what was reported.
type billing struct {
	// begun are the requests that began to run, by organisation: the times between which a daemon may
	// count each of them.
	begun   map[string][]*interval
	reports map[int64]standin.CloudCall
	// holders maps a token to the process that used it first.
	holders map[uint64]providerCaller
	// acted are the holders of the platform's calls in the order of their first call since another
	// one's.
	acted []standin.CloudCall
}

// providerCaller is a holder of the lease and the number of its process.
type providerCaller struct {
	name   string
	launch int
}

func newBilling() billing {
	return billing{begun: make(map[string][]*interval), reports: make(map[int64]standin.CloudCall), holders: make(map[uint64]providerCaller)}
}

func windowOf(t time.Time) int64 { return t.UnixNano() / int64(usageWindow) }

// recordBegun records that a request has begun for the first time. A daemon counts a stream when its
// first event arrives, before it passes the event on, and other requests when it sends them, after its
// caller has. o.mu must be held.
func (o *oracle) recordBegun(v standin.RequestInfo, q *request) {
	if v.Organisation == "" {
		return
	}
	now := time.Now()
	q.counted = &interval{from: now, to: now.Add(usageTransit)}
	if !q.service.stream {
		q.counted = &interval{from: q.sentAt, to: now}
	}
	o.billing.begun[v.Organisation] = append(o.billing.begun[v.Organisation], q.counted)
}

// recordFirstEvent limits the time at which a daemon has counted a stream: until its caller had the first
// event, or without one, until the caller's connection ended. o.mu must be held.
func (o *oracle) recordFirstEvent(q *request, r standin.Reply, now time.Time) {
	switch {
	case q.counted == nil || !q.service.stream:
	case !r.FirstEventAt.IsZero():
		q.counted.to = later(q.counted.from, r.FirstEventAt)
	default:
		q.counted.to = later(q.counted.to, now)
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// providerCalled checks an executed call of the platform, whose tag is the number of the holder's
// process.
func (o *oracle) providerCalled(c standin.CloudCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts["platform's calls"]++
	holder := providerCaller{c.Holder, c.Tag}
	if first, known := o.billing.holders[c.Token]; known && first != holder {
		o.violate(SingleLeaseHolder, "token %d was used by %v and %v", c.Token, first, holder)
	}
	o.billing.holders[c.Token] = holder
	o.checkTurns(c)
	if c.Counts == nil {
		return
	}
	first, reported := o.billing.reports[c.Window]
	if !reported {
		o.billing.reports[c.Window] = c
		return
	}
	if !maps.Equal(first.Counts, c.Counts) {
		o.violate(OneReport, "window %d: %v by %s, %v by %s", c.Window, first.Counts, first.Holder, c.Counts, c.Holder)
	}
}

// checkTurns reports holders that act in turns within a lease's term.
func (o *oracle) checkTurns(c standin.CloudCall) {
	acted := o.billing.acted
	if n := len(acted); n > 0 && acted[n-1].Holder == c.Holder {
		acted[n-1].At = c.At
		return
	}
	if n := len(acted); n > 1 && acted[n-2].Holder == c.Holder && c.At.Sub(acted[n-2].At) < leaseTerm {
		o.violate(SingleLeaseHolder, "%s, %s and %s call the platform within %v", c.Holder, acted[n-1].Holder, c.Holder, c.At.Sub(acted[n-2].At))
	}
	o.billing.acted = append(acted, c)
}

// checkUsage compares the reports with the truth, where nothing was disturbed that they depend on.
func (o *oracle) checkUsage(daemons int, end time.Time) {
	subjects := []string{subjectMachine, subjectStore, subjectProvider}
	for i := range daemons {
		// A daemon without a path hands over its duties, as one that is stopped or killed does.
		subjects = append(subjects, daemonSubject(i), storeLinkSubject(i), pathSubject(i))
	}
	for _, w := range o.billing.windows() {
		from := time.Unix(0, w*int64(usageWindow))
		due := from.Add(usageWindow + usageDue)
		if due.After(end) || !o.faults.undisturbed(from.Add(-settleDelay), due, subjects...) {
			continue
		}
		o.counts["windows of usage checked"]++
		report, reported := o.billing.reports[w]
		if !reported || report.At.After(due) {
			o.violate(UsageReported, "window %d was not reported in time", w)
			continue
		}
		if detail := o.billing.difference(w, report.Counts); detail != "" {
			o.violate(UsageReported, "window %d: %s", w, detail)
		}
	}
}

// windows returns the windows in which requests certainly count.
func (b *billing) windows() []int64 {
	seen := make(map[int64]bool)
	for _, begun := range b.begun {
		for _, counted := range begun {
			if w := windowOf(counted.from); w == windowOf(counted.to) {
				seen[w] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// difference describes the first count of a window that is off; empty if none is.
func (b *billing) difference(window int64, reported map[string]int) string {
	for i := range organisations {
		name := (&access{}).organisation(i)
		least, most := 0, 0
		for _, counted := range b.begun[name] {
			first, last := windowOf(counted.from), windowOf(counted.to)
			if first == window && last == window {
				least++
			}
			if first <= window && window <= last {
				most++
			}
		}
		got := float64(reported[name])
		if got < float64(least)*(1-usageTolerance)-usageSlack || got > float64(most)*(1+usageTolerance)+usageSlack {
			return fmt.Sprintf("%d requests of %s were reported, %d to %d began", reported[name], name, least, most)
		}
	}
	return ""
}
