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

// StatusTracker keeps the last status of each entry instance. It implements
// wire.Handler.
type StatusTracker struct {
	mu   sync.Mutex
	last map[string]received
}

type received struct {
	status wire.EntryStatus
	at     time.Time
}

// NewStatusTracker returns an empty book of statuses.
func NewStatusTracker() *StatusTracker { return &StatusTracker{last: map[string]received{}} }

// Handle implements wire.Handler: it takes statuses and answers each.
func (s *StatusTracker) Handle(_ string, m wire.Message, reply func(wire.Message)) {
	st, ok := m.(wire.EntryStatus)
	if !ok {
		return
	}
	s.Update(st, time.Now())
	reply(wire.StatusAck{At: st.At})
}

// Update notes a status received at a time. An older one that comes late over
// another connection changes nothing.
func (s *StatusTracker) Update(st wire.EntryStatus, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.last[st.Instance]
	if ok && older(st, old.status) {
		return
	}
	s.last[st.Instance] = received{status: st, at: now}
}

func older(a, b wire.EntryStatus) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Seq <= b.Seq
}

// Drained reports whether every entry instance has obeyed a drain and has
// nothing in flight on the engine: those listed, each by a status not older than
// ack, and those heard of within a time that the lagging list doesn't name yet.
// If not, it names one that hasn't.
func (s *StatusTracker) Drained(
	engine string, drain journal.Position, listed []string, now time.Time, ack, heard time.Duration,
) (bool, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range listed {
		r, ok := s.last[name]
		if !ok || now.Sub(r.at) > ack {
			return false, fmt.Sprintf("no recent status of %s", name)
		}
	}
	for name, r := range s.last {
		if now.Sub(r.at) > heard {
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

// Demand returns what the entries saw, dated by this process's own clock.
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

// Ages returns how old the last status of each instance is.
func (s *StatusTracker) Ages(now time.Time) map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ages := make(map[string]time.Duration, len(s.last))
	for name, r := range s.last {
		ages[name] = now.Sub(r.at)
	}
	return ages
}
