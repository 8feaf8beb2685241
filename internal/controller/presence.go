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

// listPollInterval is the time between two reads of the platform's instance list.
const listPollInterval = 500 * time.Millisecond

// Presence polls the platform's instance list. It is a suture service and implements
// lease.Presence.
type Presence struct {
	list infra.InstanceList
	log  *slog.Logger
	// maxLag is how long the list may lag behind the actual state.
	maxLag time.Duration

	mu sync.Mutex
	// current is the last response, lastRequestedAt the time of its request.
	current         map[string]infra.Instance
	lastRequestedAt time.Time
	// absentSince maps each instance missing from the last response to the request time of
	// the first of the consecutive responses without it.
	absentSince      map[string]time.Time
	firstRequestedAt time.Time
}

// NewPresence returns a Presence that polls the list. An instance counts as gone only after it has
// been missing from all responses for maxLag.
func NewPresence(list infra.InstanceList, maxLag time.Duration, log *slog.Logger) *Presence {
	return &Presence{list: list, maxLag: maxLag, log: log, absentSince: map[string]time.Time{}}
}

// String names the service for the supervisor's log.
func (p *Presence) String() string { return "instance list" }

// Serve polls the list until the context ends.
func (p *Presence) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		p.poll(ctx)
		sleep(ctx, listPollInterval)
	}
	return ctx.Err()
}

func (p *Presence) poll(ctx context.Context) {
	requestedAt := time.Now()
	pollCtx, cancel := context.WithTimeout(ctx, 4*listPollInterval)
	defer cancel()
	rows, err := p.list.Instances(pollCtx)
	if err != nil {
		p.log.Debug("instance list not read", "error", err)
		return
	}
	p.update(rows, requestedAt)
}

// update records a response to a request made at the given time.
func (p *Presence) update(rows []infra.Instance, requestedAt time.Time) {
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
			p.absentSince[name] = requestedAt
		}
	}
	if p.firstRequestedAt.IsZero() {
		p.firstRequestedAt = requestedAt
	}
	p.lastRequestedAt = requestedAt
}

// Gone implements lease.Presence. Only responses to requests made after the given time
// count, and they must span maxLag: a newly started instance that isn't listed yet must not
// be taken for a removed one.
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
		since = p.firstRequestedAt
	}
	if since.Before(after) {
		since = after
	}
	return p.lastRequestedAt.Sub(since) >= p.maxLag
}

// Listed implements lease.Presence.
func (p *Presence) Listed(instance string) bool {
	_, ok := p.instance(instance)
	return ok
}

func (p *Presence) instance(instance string) (infra.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.current[instance]
	return row, ok
}

// TerminatingOrGone reports whether the instance is being taken away or is missing from the
// last response. Unlike Gone, it doesn't wait until maxLag has passed. It is false before
// the first response.
func (p *Presence) TerminatingOrGone(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return false
	}
	row, ok := p.current[instance]
	return !ok || row.Terminating
}

// Entries returns the names of the listed entry instances, and false if the list has not
// been read yet.
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

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
