package controller

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"tamarackchute/infra"
)

// listPoll is the time between two reads of the platform's list.
const listPoll = 500 * time.Millisecond

// Presence follows the platform's list of instances. It is a suture service
// and implements lease.Presence.
type Presence struct {
	list infra.InstanceList
	log  *slog.Logger
	// lag is how long an answer may be behind the truth.
	lag time.Duration

	mu sync.Mutex
	// current is the last answer, lastAsked when it was asked for.
	current   map[string]infra.Instance
	lastAsked time.Time
	// absentSince tells, for instances that the last answer doesn't name,
	// when the first answer of the present run without them was asked for.
	absentSince map[string]time.Time
	firstAsked  time.Time
}

// NewPresence returns a follower of the list. An instance counts as gone only
// after it has been missing from all answers for the lag.
func NewPresence(list infra.InstanceList, lag time.Duration, log *slog.Logger) *Presence {
	return &Presence{list: list, lag: lag, log: log, absentSince: map[string]time.Time{}}
}

// String names the service for the supervisor's log.
func (p *Presence) String() string { return "instance list" }

// Serve polls the list until the context ends.
func (p *Presence) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		p.poll(ctx)
		sleep(ctx, listPoll)
	}
	return ctx.Err()
}

func (p *Presence) poll(ctx context.Context) {
	asked := time.Now()
	pollCtx, cancel := context.WithTimeout(ctx, 4*listPoll)
	defer cancel()
	rows, err := p.list.Instances(pollCtx)
	if err != nil {
		p.log.Debug("instance list not read", "error", err)
		return
	}
	p.take(rows, asked)
}

// take notes an answer that was asked for at a time.
func (p *Presence) take(rows []infra.Instance, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.current
	p.current = make(map[string]infra.Instance, len(rows))
	for _, row := range rows {
		p.current[row.Name] = row
		delete(p.absentSince, row.Name)
	}
	for name := range before {
		if _, ok := p.current[name]; !ok {
			p.absentSince[name] = asked
		}
	}
	if p.firstAsked.IsZero() {
		p.firstAsked = asked
	}
	p.lastAsked = asked
}

// Gone implements lease.Presence. Only answers asked for after the given time
// count, and they must span the lag: an instance that has just been started
// and isn't listed yet must not be taken for one that was taken away.
func (p *Presence) Gone(instance string, after time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return false
	}
	if _, listed := p.current[instance]; listed {
		return false
	}
	since, ok := p.absentSince[instance]
	if !ok {
		since = p.firstAsked
	}
	if since.Before(after) {
		since = after
	}
	return p.lastAsked.Sub(since) >= p.lag
}

// Listed implements lease.Presence.
func (p *Presence) Listed(instance string) bool {
	_, ok := p.row(instance)
	return ok
}

func (p *Presence) row(instance string) (infra.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.current[instance]
	return row, ok
}

// TerminatingOrGone reports whether the instance is being taken away, or has gone from a
// list that was read.
func (p *Presence) TerminatingOrGone(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return false
	}
	row, ok := p.current[instance]
	return !ok || row.Terminating
}

// Entries returns the names of the listed entry instances, and false if the
// list has not been read yet.
func (p *Presence) Entries() ([]string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return nil, false
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(p.current)) {
		if p.current[name].Kind == infra.KindEntry {
			names = append(names, name)
		}
	}
	return names, true
}

// sleep waits for a duration or the context's end.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
