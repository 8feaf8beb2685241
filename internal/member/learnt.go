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
	keepEvery = 5 * time.Second
	// recallTimeout bounds the one reading of it at the start.
	recallTimeout = 2 * time.Second
	// fromStore names what was read from the store among what other daemons say.
	fromStore = "store"
)

// engineMemory keeps what was learnt of the engines in the store. When all daemons are
// lost at once, nobody else remembers it; learnt anew in the crowd that follows it came
// out several times wrong, and most answers were late until the next restart.
type engineMemory struct {
	store   Store
	books   *placement.Tracker
	peers   *Peers
	backoff *backoff
	log     *slog.Logger
}

// String names the service for the supervisor.
func (e *engineMemory) String() string { return "memory of engines" }

// Serve implements suture.Service.
func (e *engineMemory) Serve(ctx context.Context) error {
	e.recall(ctx)
	for ctx.Err() == nil {
		sleep(ctx, keepEvery)
		if e.peers.Rank() == 0 {
			e.keep(ctx)
		}
	}
	return ctx.Err()
}

// recall reads what is kept, until the store has answered once.
func (e *engineMemory) recall(ctx context.Context) {
	for ctx.Err() == nil {
		e.backoff.await(ctx)
		began := time.Now()
		call, cancel := context.WithTimeout(ctx, recallTimeout)
		entries, _, err := e.store.Newest(call, TopicObservations)
		cancel()
		if err == nil {
			e.backoff.succeeded()
			e.take(entries)
			return
		}
		e.log.Warn("what was learnt of the engines not read", "err", err)
		e.backoff.failed(began, time.Now())
	}
}

func (e *engineMemory) take(entries []Entry) {
	models := make(map[string]enginemodel.Observations, len(entries))
	for _, entry := range entries {
		var learnt enginemodel.Observations
		if err := json.Unmarshal(entry.Value, &learnt); err != nil {
			e.log.Warn("what was learnt of a pool's engines can't be read", "pool", entry.Key, "err", err)
			continue
		}
		models[entry.Key] = learnt
	}
	e.books.Merge(fromStore, models)
	e.log.Info("engines remembered", "pools", len(models))
}

// keep writes what all daemons have learnt.
func (e *engineMemory) keep(ctx context.Context) {
	for pool, learnt := range e.books.AllObservations() {
		value, err := json.Marshal(learnt)
		if err != nil {
			e.log.Error("what was learnt of a pool's engines can't be written", "pool", pool, "err", err)
			continue
		}
		call, cancel := context.WithTimeout(ctx, callSlack)
		err = e.store.Put(call, TopicObservations, Entry{Key: pool, Value: value})
		cancel()
		if err != nil {
			e.log.Warn("what was learnt of a pool's engines not kept", "pool", pool, "err", err)
		}
	}
}
