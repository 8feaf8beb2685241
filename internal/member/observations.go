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
	// saveInterval is how often one daemon writes the observations of the engines to the store:
	// a call costs little, and the observations change slowly.
	saveInterval = 5 * time.Second
	// loadTimeout limits the one read at the start.
	loadTimeout = 2 * time.Second
	// storeSource names the store among the sources of observations.
	storeSource = "store"
)

// observationSync keeps the observations of the engines in the store. When all daemons are lost
// at once, no peer has them; estimates made again under the load that follows are several times
// wrong, and most responses late until the next restart.
type observationSync struct {
	store   Store
	tracker *placement.Tracker
	peers   *Peers
	backoff *backoff
	log     *slog.Logger
}

// String implements fmt.Stringer; the supervisor logs it.
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

// load reads the stored observations, until the store has answered once.
func (s *observationSync) load(ctx context.Context) {
	for ctx.Err() == nil {
		s.backoff.await(ctx)
		start := time.Now()
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		entries, _, err := s.store.Newest(call, TopicObservations)
		cancel()
		if err == nil {
			s.backoff.recordSuccess(time.Now())
			s.merge(entries)
			return
		}
		s.log.Warn("reading the engine observations failed", "err", err)
		s.backoff.recordFailure(start, time.Now())
	}
}

func (s *observationSync) merge(entries []Entry) {
	models := make(map[string]enginemodel.Observations, len(entries))
	for _, entry := range entries {
		var observations enginemodel.Observations
		if err := json.Unmarshal(entry.Value, &observations); err != nil {
			s.log.Warn("invalid engine observations of a pool", "pool", entry.Key, "err", err)
			continue
		}
		models[entry.Key] = observations
	}
	if invalid := s.tracker.Merge(storeSource, models); len(invalid) > 0 {
		s.log.Warn("engine observations out of range ignored", "pools", invalid)
	}
	s.log.Info("engine observations loaded", "pools", len(models))
}

// save writes the observations of all daemons.
func (s *observationSync) save(ctx context.Context) {
	for pool, observations := range s.tracker.AllObservations() {
		value, err := json.Marshal(observations)
		if err != nil {
			s.log.Error("encoding the engine observations of a pool failed", "pool", pool, "err", err)
			continue
		}
		call, cancel := context.WithTimeout(ctx, CallTimeout)
		err = s.store.Put(call, TopicObservations, Entry{Key: pool, Value: value})
		cancel()
		if err != nil {
			s.log.Warn("writing the engine observations of a pool failed", "pool", pool, "err", err)
		}
	}
}
