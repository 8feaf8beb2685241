// Package shutdown orders the steps of a graceful stop.
package shutdown

import (
	"log/slog"
	"time"
)

// Phase is a step of a stop.
type Phase uint8

// The phases, in their order.
const (
	// Serving is before the stop.
	Serving Phase = iota
	// Leaving: out of every new answer of where to connect, but callers still
	// hold answers that name this instance, so new requests are served.
	Deregistered
	// Draining: no caller holds such an answer any more; requests in progress
	// are served to their end, and new ones too, as nothing is gained by
	// refusing them.
	Draining
	// Stopped: nothing is in progress, or the grace has run out.
	Stopped
)

// State decides when an instance may exit. The zero value serves.
type State struct {
	// Keep is how long callers may keep an answer, Grace how long the instance
	// waits beyond that for its requests to end.
	DiscoveryTTL, Grace time.Duration
	// CloseIdle, if set, is called when nothing is in progress any more, and again until
	// the stop is over. It takes no new connections, ends those on which no request has
	// arrived, and returns the number of the others, which are served to their end.
	// Without it a request that arrives between the last look and the exit is cut off.
	CloseIdle func() int

	started   bool
	startedAt time.Time
}

// Begin starts the stop. Only the first call counts.
func (s *State) Begin(now time.Time) {
	if s.started {
		return
	}
	s.started = true
	s.startedAt = now
}

// Phase returns the step at a time, with a number of requests in progress.
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

// checkEvery is how often a stopping instance looks whether it may exit.
const checkInterval = 50 * time.Millisecond

// Drain begins the stop and returns when the instance may exit, or when done ends;
// a nil done never does. Each phase is logged with the requests in progress.
func (s *State) Drain(done <-chan error, active func() int, log *slog.Logger) {
	s.Begin(time.Now())
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	phase := Serving
	for {
		n := active()
		if s.CloseIdle != nil && s.Phase(time.Now(), n) == Stopped {
			n = s.CloseIdle()
		}
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

// String returns the phase's name for logs.
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
