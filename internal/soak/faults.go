package soak

import (
	"slices"
	"sync"
	"time"
)

// faultLog records what was disturbed and when. Promises with a time limit are checked only
// where nothing that they depend on was disturbed. A subject names a part of the site that can be
// disturbed, such as the store or a daemon.
type faultLog struct {
	mu        sync.Mutex
	intervals map[string][]interval
}

// interval is the time of a fault; a zero end means that it goes on.
type interval struct{ from, to time.Time }

func newFaultLog() *faultLog { return &faultLog{intervals: make(map[string][]interval)} }

// begin records that subject is disturbed from now on, until end is called.
func (l *faultLog) begin(subject string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := len(l.intervals[subject])
	l.intervals[subject] = append(l.intervals[subject], interval{from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.intervals[subject][i].to = time.Now()
	}
}

// undisturbed reports whether no subject was disturbed between from and to.
func (l *faultLog) undisturbed(from, to time.Time, subjects ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, subject := range subjects {
		for _, fault := range l.intervals[subject] {
			if !fault.from.After(to) && (fault.to.IsZero() || !fault.to.Before(from)) {
				return false
			}
		}
	}
	return true
}

// began reports whether a disturbance of subject began between from and to.
func (l *faultLog) began(from, to time.Time, subject string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.intervals[subject], func(fault interval) bool {
		return !fault.from.Before(from) && !fault.from.After(to)
	})
}

const (
	// subjectStore is the store itself, subjectMachine the machine that runs the soak.
	subjectStore   = "store"
	subjectMachine = "machine"
	// If a goroutine that sleeps for wakeInterval wakes later than maxWakeDelay, the machine is
	// too busy for checking time limits.
	wakeInterval = 20 * time.Millisecond
	maxWakeDelay = 150 * time.Millisecond
)

// watchMachineLoad records when the machine was too busy, until done is closed.
func (l *faultLog) watchMachineLoad(done <-chan struct{}) {
	for {
		before := time.Now()
		select {
		case <-done:
			return
		case <-time.After(wakeInterval):
		}
		if time.Since(before) < maxWakeDelay {
			continue
		}
		l.mu.Lock()
		l.intervals[subjectMachine] = append(l.intervals[subjectMachine], interval{from: before, to: time.Now()})
		l.mu.Unlock()
	}
}
