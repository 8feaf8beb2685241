package usage

import (
	"slices"
	"time"
)

// Schedule holds the times of reports.
type Schedule struct {
	// Length is the length of a window.
	Length time.Duration
	// Settle is how long after its end a window's counts may still come in.
	Settle time.Duration
	// GiveUp is how long after its end a window is reported at the latest.
	GiveUp time.Duration
}

// Reportable returns when a window may first be reported.
func (s Schedule) Reportable(w Window) time.Time { return w.End(s.Length).Add(s.Settle) }

// Oldest returns the oldest window that may still be reported.
func (s Schedule) Oldest(now time.Time) Window { return WindowAt(now.Add(-s.GiveUp), s.Length) }

// Step is what the reporter does with one window.
type Step struct {
	Window Window
	// Write means that a report has to be decided by the journal first; otherwise Send is sent.
	Write bool
	Send  Report
}

// Planner decides what the reporter does next. It is used by one goroutine.
type Planner struct {
	schedule Schedule
	ledger   *Ledger
	// confirmed are the windows whose report the recipient has confirmed to this process.
	confirmed map[Window]bool
}

// NewPlanner returns the planner of one process.
func NewPlanner(s Schedule, l *Ledger) *Planner {
	return &Planner{schedule: s, ledger: l, confirmed: make(map[Window]bool)}
}

// Steps returns the steps that are due for the windows with counts and for those that a former
// reporter has written, oldest first.
func (p *Planner) Steps(counted []Window, now time.Time) []Step {
	oldest := p.schedule.Oldest(now)
	for w := range p.confirmed {
		if w < oldest {
			delete(p.confirmed, w)
		}
	}
	var steps []Step
	for _, w := range p.windows(counted, oldest) {
		if p.confirmed[w] || now.Before(p.schedule.Reportable(w)) {
			continue
		}
		report, decided := p.ledger.Decided(w)
		steps = append(steps, Step{Window: w, Write: !decided, Send: report})
	}
	return steps
}

// windows returns the counted and the decided windows from the oldest on.
func (p *Planner) windows(counted []Window, oldest Window) []Window {
	all := slices.Clone(counted)
	p.ledger.mu.Lock()
	for w := range p.ledger.reports {
		all = append(all, w)
	}
	p.ledger.mu.Unlock()
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(w Window) bool { return w < oldest })
}

// Confirmed records that the recipient has the report of a window.
func (p *Planner) Confirmed(w Window) { p.confirmed[w] = true }
