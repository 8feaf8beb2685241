package standin

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/listclient"
)

// ListConfig configures the instance list.
type ListConfig struct {
	Addr string
	TLS  *tls.Config
	// Lag is how long the list takes to show a change.
	Lag       time.Duration
	Instances []infra.Instance
	// OnTerminating is called with the names of the terminating instances once the list
	// shows them, that is after the lag.
	OnTerminating func(names []string)
}

// ListFaults are the faults of the list. Terminating, Remove and Add change the actual
// state once and are then cleared.
type ListFaults struct {
	NetworkFaults
	LagMillis int `json:"lag_ms"`
	// Terminating marks instances as terminating.
	Terminating []string `json:"leaving"`
	// Remove removes instances from the list.
	Remove []string `json:"remove"`
	// Add adds instances to the list and replaces those with the same names.
	Add []infra.Instance `json:"add"`
}

// ListCounters are the counters of the list.
type ListCounters struct {
	Reads       int64 `json:"reads"`
	Changes     int64 `json:"changes"`
	Instances   int   `json:"rows"`
	Terminating int   `json:"leaving"`
}

// List stands in for the platform's instance list.
type List struct {
	*endpoint
	config ListConfig
	faults *faultState[ListFaults]
	reads  atomic.Int64

	mu      sync.Mutex
	history listHistory
	changes int64
}

// NewList returns a list that is already listening.
func NewList(c ListConfig) (*List, error) {
	base, err := newEndpoint("list", "list", c.Addr, c.TLS)
	if err != nil {
		return nil, err
	}
	faults := ListFaults{LagMillis: int(c.Lag.Milliseconds())}
	return &List{
		endpoint: base,
		config:   c,
		faults:   newFaultState(faults),
		history:  listHistory{{Instances: c.Instances}},
	}, nil
}

// Serve implements Component.
func (l *List) Serve(ctx context.Context) error { return l.serve(ctx, l.handle) }

func (l *List) handle(ctx *fasthttp.RequestCtx) {
	if serveAdmin(l, ctx) || applyOutage(l.endpoint, l.faults, ctx) {
		return
	}
	if string(ctx.Path()) != listclient.PathInstances {
		ctx.NotFound()
		return
	}
	l.reads.Add(1)
	replyJSON(ctx, listclient.Reply{Instances: l.visible(time.Now())})
}

func (l *List) lag() time.Duration {
	return time.Duration(l.faults.get().LagMillis) * time.Millisecond
}

// visible returns the instances that the list shows at a time.
func (l *List) visible(now time.Time) []infra.Instance {
	lag := l.lag()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history.at(now.Add(-lag))
}

// Counters returns the counters.
func (l *List) Counters() ListCounters {
	l.mu.Lock()
	defer l.mu.Unlock()
	instances := l.history.latest()
	return ListCounters{
		Reads:       l.reads.Load(),
		Changes:     l.changes,
		Instances:   len(instances),
		Terminating: len(terminatingNames(instances)),
	}
}

// CountersJSON implements Component.
func (l *List) CountersJSON() []byte { return encode(l.Counters()) }

// FaultsJSON implements Component.
func (l *List) FaultsJSON() []byte { return encode(l.faults.get()) }

// SetFaults implements Component.
func (l *List) SetFaults(doc []byte) error {
	if err := l.faults.merge(doc); err != nil {
		return err
	}
	f := l.faults.get()
	l.faults.set(func(f *ListFaults) { f.Terminating, f.Remove, f.Add = nil, nil, nil })
	if len(f.Terminating)+len(f.Remove)+len(f.Add) > 0 {
		l.change(f)
	}
	return nil
}

// change applies changes to the actual state; the list shows them after the lag.
func (l *List) change(f ListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	instances := applyChanges(l.history.latest(), f)
	l.history = l.history.add(time.Now(), instances)
	l.changes++
	if l.config.OnTerminating != nil {
		names := terminatingNames(instances)
		time.AfterFunc(time.Duration(f.LagMillis)*time.Millisecond, func() { l.config.OnTerminating(names) })
	}
}

// listState is the actual state from a time on.
type listState struct {
	From      time.Time
	Instances []infra.Instance
}

// listHistory holds the states that the list may still show, oldest first. The first one
// also applies to all earlier times.
type listHistory []listState

// maxListHistory bounds the number of states.
const maxListHistory = 256

func (h listHistory) latest() []infra.Instance { return h[len(h)-1].Instances }

func (h listHistory) at(t time.Time) []infra.Instance {
	for i := len(h) - 1; i > 0; i-- {
		if !h[i].From.After(t) {
			return h[i].Instances
		}
	}
	return h[0].Instances
}

func (h listHistory) add(from time.Time, instances []infra.Instance) listHistory {
	h = append(h, listState{From: from, Instances: instances})
	if len(h) > maxListHistory {
		h = h[1:]
	}
	return h
}

func applyChanges(instances []infra.Instance, f ListFaults) []infra.Instance {
	added := nameSet(nil)
	for _, r := range f.Add {
		added[r.Name] = true
	}
	removed, terminating := nameSet(f.Remove), nameSet(f.Terminating)
	var out []infra.Instance
	for _, r := range instances {
		if removed[r.Name] || added[r.Name] {
			continue
		}
		r.Terminating = r.Terminating || terminating[r.Name]
		out = append(out, r)
	}
	return append(out, f.Add...)
}

func nameSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

func terminatingNames(instances []infra.Instance) []string {
	var names []string
	for _, r := range instances {
		if r.Terminating {
			names = append(names, r.Name)
		}
	}
	return names
}
