// Package shutdown sequences the phases of a graceful shutdown.
package shutdown

import (
	"log/slog"
	"time"
)

// Phase is a phase of a shutdown.
type Phase uint8

// The phases, in order.
const (
	// Serving is before the shutdown.
	Serving Phase = iota
	// Deregistered: new discovery responses omit this instance, but callers may still
	// have cached ones that name it, so new requests are served.
	Deregistered
	// Draining: all cached discovery responses have expired; requests in progress are
	// completed, and new ones are served if they can end in time (package stopplan).
	Draining
	// Stopped: nothing is in progress, or the grace period is over.
	Stopped
)

// State decides when an instance may exit. The zero value is in phase Serving.
type State struct {
	// DiscoveryTTL is how long callers may cache a discovery response, Grace how long
	// the instance waits after that for its requests to end.
	DiscoveryTTL, Grace time.Duration
	// AcceptReserve is how long before the end of Grace StopAccepting is called at the latest, so
	// that accepted connections have time for a request and its response.
	AcceptReserve time.Duration
	// StopAccepting, if set, closes the listeners. A refused connection is known to have carried
	// no request; one that is accepted and closed isn't.
	StopAccepting func()
	// BeforeClose, if set, is called once before CloseIdle. It stops what isn't needed to respond,
	// so that the process can exit as soon as the connections are closed.
	BeforeClose func()
	// CloseIdle, if set, is called repeatedly once nothing is in progress. It stops
	// accepting connections, closes those without a request, and returns the number of
	// the others, which are served. Without it, a request that arrives between the last
	// check and the exit is cut off.
	CloseIdle func() int

	started   bool
	startedAt time.Time
	// refusing means that StopAccepting was called, closing that BeforeClose was.
	refusing, closing bool
}

// Begin starts the shutdown. Further calls have no effect.
func (s *State) Begin(now time.Time) {
	if s.started {
		return
	}
	s.started = true
	s.startedAt = now
}

// Phase returns the phase at a time, given the number of requests in progress.
func (s *State) Phase(now time.Time, active int) Phase {
	if !s.started {
		return Serving
	}
	waited := now.Sub(s.startedAt)
	switch {
	case waited < s.DiscoveryTTL:
		return Deregistered
	case active > 0 && waited < s.DiscoveryTTL+s.Grace:
		return Draining
	default:
		return Stopped
	}
}

// accepts reports whether new connections are still accepted at a time, given the number of
// requests in progress.
func (s *State) accepts(now time.Time, active int) bool {
	waited := now.Sub(s.startedAt)
	if waited < s.DiscoveryTTL {
		return true
	}
	return active > 0 && waited < s.DiscoveryTTL+max(0, s.Grace-s.AcceptReserve)
}

// checkInterval is the time between two checks of whether the instance may exit.
const checkInterval = 50 * time.Millisecond

// Drain begins the shutdown and returns when the instance may exit or done yields a
// value; done may be nil. Each phase is logged with the number of requests in progress.
func (s *State) Drain(done <-chan error, active func() int, log *slog.Logger) {
	s.Begin(time.Now())
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	phase := Serving
	for {
		n := s.closeConnections(active)
		if next := s.Phase(time.Now(), n); next != phase {
			phase = next
			log.Info("stopping", "phase", phase.String(), "active", n)
		}
		if phase == Stopped {
			return
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// closeConnections closes the listeners and the idle connections once it is time for either, and
// returns the number of requests in progress.
func (s *State) closeConnections(active func() int) int {
	n := active()
	if s.StopAccepting != nil && !s.refusing && !s.accepts(time.Now(), n) {
		s.refusing = true
		s.StopAccepting()
		n = active()
	}
	if s.CloseIdle == nil || s.Phase(time.Now(), n) != Stopped {
		return n
	}
	if s.BeforeClose != nil && !s.closing {
		s.closing = true
		s.BeforeClose()
	}
	return s.CloseIdle()
}

// String returns the name of the phase in logs.
func (p Phase) String() string {
	switch p {
	case Deregistered:
		return "leaving"
	case Draining:
		return "draining"
	case Stopped:
		return "stopped"
	default:
		return "serving"
	}
}
