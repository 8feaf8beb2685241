// Package retrybudget limits the retries of all processes of a system together, without coordination:
// in any window at most a ratio of its requests, or of those of the window before it, and a slack.
// That holds over processes that end, start and join: each bounds its retries since any moment of the
// last window by a mean of its requests before and since, and such means add up.
package retrybudget

import (
	"slices"
	"time"
)

const (
	// priorWeight is the weight of the requests before a moment; it is at most one half, so that
	// only the moments before retries need a look. With a larger weight a process that has run for a
	// window may make more retries at once, and one that has just started fewer.
	priorWeight = 0.5
	// resolution is the number of parts of a window within which times aren't told apart.
	resolution = 200
)

// Limit is what one process may spend.
type Limit struct {
	// Ratio is the retries that each request allows.
	Ratio float64
	// Slack is this process's share of the retries allowed in addition in each window.
	Slack  float64
	Window time.Duration
	// SlackFrom is when the process may begin to use its slack: the process in whose place it started
	// may have used it until its end.
	SlackFrom time.Time
}

// Account counts the requests and retries of one process. The zero value is that of a process that
// has just started. It isn't safe for concurrent use.
type Account struct {
	// origin is when the account was first used; times are counted from it.
	origin time.Time
	// runs are those of the last two windows, in order.
	runs []run
}

// run is what happened within the resolution from first on.
type run struct {
	first, last time.Duration
	// requests came before the first of the retries, later after it.
	requests, retries, later int
}

// Request counts a request.
func (a *Account) Request(l Limit, now time.Time) {
	r := a.newest(l, now)
	if r.retries == 0 {
		r.requests++
	} else {
		r.later++
	}
}

// Retry reports whether a retry may be made now, and counts it if so.
func (a *Account) Retry(l Limit, now time.Time) bool { return a.Retries(1, l, now) }

// Retries reports whether n retries may be made now, and counts them if so.
func (a *Account) Retries(n int, l Limit, now time.Time) bool {
	if a.Left(l, now) < n {
		return false
	}
	a.newest(l, now).retries += n
	return true
}

// newest returns the run of the present.
func (a *Account) newest(l Limit, now time.Time) *run {
	at := a.expire(l, now)
	if n := len(a.runs); n == 0 || at-a.runs[n-1].first >= l.Window/resolution {
		a.runs = append(a.runs, run{first: at})
	}
	r := &a.runs[len(a.runs)-1]
	r.last = at
	return r
}

// expire drops the runs that no window before a moment of the last window covers, and returns the
// present.
func (a *Account) expire(l Limit, now time.Time) time.Duration {
	if a.origin.IsZero() {
		a.origin = now
	}
	at := now.Sub(a.origin)
	old := 0
	for old < len(a.runs) && at-a.runs[old].first > 2*l.Window {
		old++
	}
	a.runs = slices.Delete(a.runs, 0, old)
	return at
}

// Left returns how many retries may be made now.
func (a *Account) Left(l Limit, now time.Time) int {
	at := a.expire(l, now)
	slack := l.Slack
	if now.Before(l.SlackFrom) {
		slack = 0
	}
	// The window before a moment has the runs from oldest on, with their requests.
	oldest, requests := len(a.runs), 0
	extendTo := func(moment time.Duration) {
		for oldest > 0 && moment-a.runs[oldest-1].first < l.Window {
			oldest--
			requests += a.runs[oldest].requests + a.runs[oldest].later
		}
	}
	extendTo(at)
	left := l.Ratio*priorWeight*float64(requests) + slack
	since, retries := 0, 0
	for i := len(a.runs) - 1; i >= 0 && at-a.runs[i].last <= l.Window; i-- {
		r := a.runs[i]
		extendTo(r.last)
		requests -= r.later
		retries += r.retries
		mean := (1-priorWeight)*float64(since) + priorWeight*float64(requests)
		left = min(left, l.Ratio*mean+slack-float64(retries))
		since += r.requests + r.later
		requests -= r.requests
	}
	return int(max(0, left))
}

// Recent returns the requests and retries of the last window.
func (a *Account) Recent(l Limit, now time.Time) (requests, retries int) {
	at := a.expire(l, now)
	for _, r := range a.runs {
		if at-r.last <= l.Window {
			requests += r.requests + r.later
			retries += r.retries
		}
	}
	return requests, retries
}
