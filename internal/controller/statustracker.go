package controller

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/journal"
	"tamarackchute/rolepolicy"
)

// StatusTracker keeps the last status of each entry instance. It implements wire.Handler.
type StatusTracker struct {
	mu   sync.Mutex
	last map[string]receivedStatus
}

type receivedStatus struct {
	status wire.EntryStatus
	at     time.Time
}

// NewStatusTracker returns an empty tracker.
func NewStatusTracker() *StatusTracker { return &StatusTracker{last: map[string]receivedStatus{}} }

// Handle implements wire.Handler: it records entry statuses and acknowledges each.
func (s *StatusTracker) Handle(_ string, m wire.Message, reply func(wire.Message)) {
	st, ok := m.(wire.EntryStatus)
	if !ok {
		return
	}
	s.Update(st, time.Now())
	reply(wire.StatusAck{At: st.At})
}

// Update records a status received at the given time. An older status that arrives late
// over another connection is ignored.
func (s *StatusTracker) Update(st wire.EntryStatus, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.last[st.Instance]
	if ok && older(st, old.status) {
		return
	}
	s.last[st.Instance] = receivedStatus{status: st, at: now}
}

func older(a, b wire.EntryStatus) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Seq <= b.Seq
}

// Drained reports whether every entry instance has applied a drain and has no requests in
// flight on the engine. It checks each listed instance, whose status must not be older than
// maxStatusAge, and every instance whose status was received within unlistedTimeout, as the
// list may not name it yet. If false, it says which instance holds up the drain.
func (s *StatusTracker) Drained(
	engine string, drain journal.Position, listed []string, now time.Time, maxStatusAge, unlistedTimeout time.Duration,
) (bool, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range listed {
		r, ok := s.last[name]
		if !ok || now.Sub(r.at) > maxStatusAge {
			return false, fmt.Sprintf("no recent status of %s", name)
		}
	}
	for name, r := range s.last {
		if now.Sub(r.at) > unlistedTimeout {
			continue
		}
		if r.status.Applied.Less(drain) {
			return false, fmt.Sprintf("%s has not applied the drain", name)
		}
		if n := inFlight(r.status, engine); n > 0 {
			return false, fmt.Sprintf("%s has %d requests in flight there", name, n)
		}
	}
	return true, ""
}

func inFlight(st wire.EntryStatus, engine string) int {
	i := slices.IndexFunc(st.InFlight, func(e wire.EngineInFlight) bool { return e.Engine == engine })
	if i < 0 {
		return 0
	}
	return st.InFlight[i].Requests
}

// Demand returns the demand that the entries measured, timestamped by this process's own
// clock.
func (s *StatusTracker) Demand() []rolepolicy.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []rolepolicy.Demand
	for name, r := range s.last {
		for _, m := range r.status.Demand {
			all = append(all, rolepolicy.Demand{
				Entry: name, Model: m.Model, At: r.at,
				PromptPerSec: m.PromptTokensPerSec, OutputPerSec: m.OutputTokensPerSec,
				RequestsPerSec: m.RequestsPerSec, Queued: m.Queued,
			})
		}
	}
	return all
}

// Ages returns the age of each instance's last status.
func (s *StatusTracker) Ages(now time.Time) map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ages := make(map[string]time.Duration, len(s.last))
	for name, r := range s.last {
		ages[name] = now.Sub(r.at)
	}
	return ages
}
