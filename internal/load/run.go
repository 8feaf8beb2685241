package load

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

// Run is one load on one deployment.
type Run struct {
	Mix  Mix
	Seed uint64
	// Callers is how many callers share the load.
	Callers int
	Client  *Client
	// Seeds are, per caller, the addresses that it was given once; callers
	// take them in turn.
	SeedAddresses [][]string
	// MaxInFlight bounds the requests in flight; beyond it requests go out
	// late, which their latency shows.
	MaxInFlight int
}

// Do sends the arrivals and waits for their ends.
func (r Run) Do(ctx context.Context, arrivals []Arrival, rec *Recorder) {
	callers := r.callers()
	slots := make(chan struct{}, r.MaxInFlight)
	start := time.Now()
	var group conc.WaitGroup
	defer group.Wait()
	for _, a := range arrivals {
		due := start.Add(a.At)
		if !sleepUntil(ctx, due) {
			return
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			r.one(ctx, callers[a.Caller%len(callers)], a, due, rec)
		})
	}
}

func (r Run) callers() []*caller {
	out := make([]*caller, r.Callers)
	for i := range out {
		dir := &directory{client: r.Client.HTTP, now: time.Now, seeds: r.SeedAddresses[i%len(r.SeedAddresses)]}
		out[i] = &caller{Client: r.Client, dir: dir}
	}
	return out
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

func (r Run) one(ctx context.Context, c *caller, a Arrival, due time.Time, rec *Recorder) {
	class, _ := r.Mix.Class(a.Class)
	sent := time.Since(due)
	switch class.Kind {
	case KindProtected, KindLookup:
		res := c.service(ctx, class, a, due)
		res.SendDelay = sent
		rec.Add(res, nil)
	default:
		ctx, cancel := context.WithDeadline(ctx, due.Add(time.Duration(r.Client.TimeoutFactor*float64(class.Deadline))))
		defer cancel()
		res, gaps := c.model(ctx, class, a, due)
		res.SendDelay = sent
		rec.Add(res, gaps)
	}
}

// CloseIdle closes the connections that no request uses.
func (c *Client) CloseIdle() {
	if t, ok := c.HTTP.Transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}
