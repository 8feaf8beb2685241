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
	// Callers is the number of callers that the requests are spread over.
	Callers int
	Client  *Client
	// SeedAddresses are lists of addresses to start with; callers take the lists in turn.
	SeedAddresses [][]string
	// MaxInFlight bounds the requests in flight. Beyond it requests are sent late, which counts
	// in their latency.
	MaxInFlight int
}

// Do sends the arrivals at their times and waits for all of them to finish.
func (r Run) Do(ctx context.Context, arrivals []Arrival, rec *Recorder) {
	callers := r.newCallers()
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
			r.send(ctx, callers[a.Caller%len(callers)], a, due, rec)
		})
	}
}

func (r Run) newCallers() []*caller {
	out := make([]*caller, r.Callers)
	for i := range out {
		dir := &directory{client: r.Client.HTTP, now: time.Now, seeds: r.SeedAddresses[i%len(r.SeedAddresses)]}
		out[i] = &caller{Client: r.Client, directory: dir}
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

func (r Run) send(ctx context.Context, c *caller, a Arrival, due time.Time, rec *Recorder) {
	class, _ := r.Mix.Class(a.Class)
	sendDelay := time.Since(due)
	switch class.Kind {
	case KindProtected, KindLookup:
		res := c.sendServiceCall(ctx, class, a, due)
		res.SendDelay = sendDelay
		rec.Add(res, nil)
	default:
		ctx, cancel := context.WithDeadline(ctx, due.Add(time.Duration(r.Client.TimeoutFactor*float64(class.Deadline))))
		defer cancel()
		res, gaps := c.sendModelRequest(ctx, class, a, due)
		res.SendDelay = sendDelay
		rec.Add(res, gaps)
	}
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() {
	if t, ok := c.HTTP.Transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}
