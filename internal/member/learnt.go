package member

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"tamarackchute/enginemodel"
	"tamarackchute/placement"
)

const (
	// keepEvery is how often what was learnt of the engines is written to the store, by
	// one daemon: a call costs little, and figures change slowly.
	saveInterval = 5 * time.Second
	// recallTimeout bounds the one reading of it at the start.
	loadTimeout = 2 * time.Second
	// fromStore names what was read from the store among what other daemons say.
	storeSource = "store"
)

// engineMemory keeps what was learnt of the engines in the store. When all daemons are
// lost at once, nobody else remembers it; learnt anew in the crowd that follows it came
// out several times wrong, and most answers were late until the next restart.
type observationSync struct {
	store   Store
	tracker *placement.Tracker
	peers   *Peers
	backoff *backoff
	log     *slog.Logger
}

// String names the service for the supervisor.
func (s *observationSync) String() string { return "memory of engines" }

// Serve implements suture.Service.
func (s *observationSync) Serve(ctx context.Context) error {
	s.load(ctx)
	for ctx.Err() == nil {
		sleep(ctx, saveInterval)
		if s.peers.Rank() == 0 {
			s.save(ctx)
		}
	}
	return ctx.Err()
}

// recall reads what is kept, until the store has answered once.
func (s *observationSync) load(ctx context.Context) {
	for ctx.Err() == nil {
		s.backoff.await(ctx)
		start := time.Now()
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		entries, _, err := s.store.Newest(call, TopicObservations)
		cancel()
		if err == nil {
			s.backoff.recordSuccess()
			s.merge(entries)
			return
		}
		s.log.Warn("what was learnt of the engines not read", "err", err)
		s.backoff.recordFailure(start, time.Now())
	}
}

func (s *observationSync) merge(entries []Entry) {
	models := make(map[string]enginemodel.Observations, len(entries))
	for _, entry := range entries {
		var observations enginemodel.Observations
		if err := json.Unmarshal(entry.Value, &observations); err != nil {
			s.log.Warn("what was learnt of a pool's engines can't be read", "pool", entry.Key, "err", err)
			continue
		}
		models[entry.Key] = observations
	}
	s.tracker.Merge(storeSource, models)
	s.log.Info("engines remembered", "pools", len(models))
}

// keep writes what all daemons have learnt.
func (s *observationSync) save(ctx context.Context) {
	for pool, observations := range s.tracker.AllObservations() {
		value, err := json.Marshal(observations)
		if err != nil {
			s.log.Error("what was learnt of a pool's engines can't be written", "pool", pool, "err", err)
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err = s.store.Put(call, TopicObservations, Entry{Key: pool, Value: value})
		cancel()
		if err != nil {
			s.log.Warn("what was learnt of a pool's engines not kept", "pool", pool, "err", err)
		}
	}
}
