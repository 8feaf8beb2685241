package soak

import (
	"sync"
	"time"
)

// troubles keeps when what was disturbed. Promises that hold "in time" are asked
// for only where nothing that they rest on was disturbed.
type troubles struct {
	mu    sync.Mutex
	spans map[string][]span
}

// span is a time of trouble; one without an end goes on.
type span struct{ from, to time.Time }

func newTroubles() *troubles { return &troubles{spans: make(map[string][]span)} }

// begin notes that subject is disturbed from now on, until end is called.
func (t *troubles) begin(subject string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := len(t.spans[subject])
	t.spans[subject] = append(t.spans[subject], span{from: time.Now()})
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.spans[subject][i].to = time.Now()
	}
}

// quiet reports whether no subject was disturbed between from and to.
func (t *troubles) quiet(from, to time.Time, subjects ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, subject := range subjects {
		for _, s := range t.spans[subject] {
			if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
				return false
			}
		}
	}
	return true
}

const (
	// subjectStore is the store itself, subjectMachine the machine that the
	// soak runs on.
	subjectStore   = "store"
	subjectMachine = "machine"
	// beat and lateBeat: a goroutine that sleeps for beat and wakes later than
	// lateBeat shows that the machine is too busy for promises in time.
	beat     = 20 * time.Millisecond
	lateBeat = 150 * time.Millisecond
)

// watchMachine notes the times at which the machine was too busy, until done.
func (t *troubles) watchMachine(done <-chan struct{}) {
	for {
		before := time.Now()
		select {
		case <-done:
			return
		case <-time.After(beat):
		}
		if time.Since(before) < lateBeat {
			continue
		}
		t.mu.Lock()
		t.spans[subjectMachine] = append(t.spans[subjectMachine], span{from: before, to: time.Now()})
		t.mu.Unlock()
	}
}
