package standin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/weightclient"
)

// PathWeightLoad is the path at which engines load weights.
const PathWeightLoad = "/load"

// WeightStoreConfig configures the weight store.
type WeightStoreConfig struct {
	Addr string
	TLS  *tls.Config
	// BytesPerSecond is the bandwidth shared by all loads.
	BytesPerSecond float64
	Versions       []infra.WeightVersion
}

// WeightLoadRequest asks for the weights of a version. The response is sent when the load
// is complete.
type WeightLoadRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Engine  string `json:"engine"`
}

// WeightLoadResponse is the response to a WeightLoadRequest.
type WeightLoadResponse struct {
	Bytes      int64 `json:"bytes"`
	WaitMillis int64 `json:"wait_ms"`
}

// WeightFaults are the faults of the weight store.
type WeightFaults struct {
	NetworkFaults
	// FailLoads answers loads with an error after their usual duration.
	FailLoads Trigger `json:"fail_loads"`
	// SlowFactor above 1 makes loads slower.
	SlowFactor float64 `json:"slow_factor"`
	// Add stores versions; the field is then cleared.
	Add []infra.WeightVersion `json:"add"`
}

// WeightCounters are the counters of the weight store.
type WeightCounters struct {
	Loads         int64 `json:"loads"`
	LoadBytes     int64 `json:"load_bytes"`
	FailedLoads   int64 `json:"failed_loads"`
	LongestMillis int64 `json:"longest_load_ms"`
}

// WeightStore stands in for the platform's weight store.
type WeightStore struct {
	*endpoint
	config WeightStoreConfig
	faults *faultState[WeightFaults]

	mu       sync.Mutex
	versions []infra.WeightVersion
	// busyUntil is when the loads accepted so far end. Loads run one after the other at the
	// full bandwidth; all of them together take as long as with shared bandwidth.
	busyUntil time.Time
	counters  WeightCounters
}

// NewWeightStore returns a weight store that is already listening.
func NewWeightStore(c WeightStoreConfig) (*WeightStore, error) {
	base, err := newEndpoint("weights", "weights", c.Addr, c.TLS)
	if err != nil {
		return nil, err
	}
	return &WeightStore{
		endpoint: base,
		config:   c,
		faults:   newFaultState(WeightFaults{SlowFactor: 1}),
		versions: c.Versions,
	}, nil
}

// Serve implements Component.
func (w *WeightStore) Serve(ctx context.Context) error { return w.serve(ctx, w.handle) }

func (w *WeightStore) handle(ctx *fasthttp.RequestCtx) {
	if serveAdmin(w, ctx) || applyOutage(w.endpoint, w.faults, ctx) {
		return
	}
	switch string(ctx.Path()) {
	case weightclient.PathVersions:
		model := string(ctx.QueryArgs().Peek("model"))
		replyJSON(ctx, weightclient.Reply{Versions: w.versionsOf(model)})
	case PathWeightLoad:
		w.handleLoad(ctx)
	default:
		ctx.NotFound()
	}
}

func (w *WeightStore) versionsOf(model string) []infra.WeightVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := []infra.WeightVersion{}
	for _, v := range w.versions {
		if v.Model == model {
			out = append(out, v)
		}
	}
	return out
}

func (w *WeightStore) handleLoad(ctx *fasthttp.RequestCtx) {
	var load WeightLoadRequest
	if err := json.Unmarshal(ctx.PostBody(), &load); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	bytes, found := w.sizeOf(load)
	if !found {
		ctx.Error("no such version", fasthttp.StatusNotFound)
		return
	}
	wait := w.reserve(time.Now(), bytes)
	w.sleep(wait)
	if w.faults.trigger(func(f *WeightFaults) *Trigger { return &f.FailLoads }) {
		w.count(func(c *WeightCounters) { c.FailedLoads++ })
		ctx.Error("load failed", fasthttp.StatusInternalServerError)
		return
	}
	w.count(func(c *WeightCounters) {
		c.Loads++
		c.LoadBytes += bytes
		c.LongestMillis = max(c.LongestMillis, wait.Milliseconds())
	})
	replyJSON(ctx, WeightLoadResponse{Bytes: bytes, WaitMillis: wait.Milliseconds()})
}

// sizeOf returns the size of a version; an empty version means the model's latest.
func (w *WeightStore) sizeOf(load WeightLoadRequest) (int64, bool) {
	versions := w.versionsOf(load.Model)
	for i := len(versions) - 1; i >= 0; i-- {
		if load.Version == "" || versions[i].Version == load.Version {
			return versions[i].Bytes, true
		}
	}
	return 0, false
}

// reserve schedules a load and returns the time until it ends.
func (w *WeightStore) reserve(now time.Time, bytes int64) time.Duration {
	slow := max(1, w.faults.get().SlowFactor)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	seconds := float64(bytes) / w.config.BytesPerSecond * slow
	w.busyUntil = w.busyUntil.Add(time.Duration(seconds * float64(time.Second)))
	return w.busyUntil.Sub(now)
}

func (w *WeightStore) count(add func(*WeightCounters)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	add(&w.counters)
}

// Counters returns the counters.
func (w *WeightStore) Counters() WeightCounters {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counters
}

// CountersJSON implements Component.
func (w *WeightStore) CountersJSON() []byte { return encode(w.Counters()) }

// FaultsJSON implements Component.
func (w *WeightStore) FaultsJSON() []byte { return encode(w.faults.get()) }

// SetFaults implements Component.
func (w *WeightStore) SetFaults(doc []byte) error {
	if err := w.faults.merge(doc); err != nil {
		return err
	}
	f := w.faults.get()
	w.faults.set(func(f *WeightFaults) { f.Add = nil })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions = append(w.versions, f.Add...)
	return nil
}
