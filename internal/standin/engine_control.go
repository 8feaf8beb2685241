package standin

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/upstream"
)

// adapterLoadFraction is the time to load an adapter as a fraction of a role change. The
// engine stays in service meanwhile.
const adapterLoadFraction = 0.2

// controlState is the part of an engine's state that orders change.
type controlState struct {
	checksFencing bool
	state         upstream.EngineState
	models        []string
	inService     bool
	completed     uint64
	// highestToken is the highest fencing token received so far. An engine that doesn't
	// check tokens neither reports nor enforces it; it only counts the outdated orders that
	// such an engine accepts.
	highestToken uint64
	// epoch changes with each order and crash. An order that finishes after a crash is
	// recognised by its old epoch and ignored.
	epoch int
}

func newControlState(c EngineConfig) controlState {
	role := c.Role
	if role == "" {
		role = upstream.RoleMixed
	}
	st := upstream.EngineState{Role: role, Version: firstVersion, Incarnation: uuid.NewString()}
	if len(c.Models) > 0 {
		st.Model = c.Models[0]
	}
	return controlState{
		checksFencing: c.ChecksFencing,
		state:         st,
		models:        slices.Clone(c.Models),
		inService:     true,
	}
}

// restart resets the state to that before the order in progress.
func (c *controlState) restart(loseToken bool) {
	c.epoch++
	c.state.Busy = false
	c.state.LastOrder = ""
	c.state.Incarnation = uuid.NewString()
	c.inService = true
	if loseToken {
		c.state.FencingToken = 0
	}
}

// observeToken records a fencing token and reports whether it is outdated.
func (c *controlState) observeToken(token uint64) (outdated bool) {
	outdated = token < c.highestToken
	c.highestToken = max(c.highestToken, token)
	if c.checksFencing {
		outdated = token < c.state.FencingToken
		c.state.FencingToken = max(c.state.FencingToken, token)
	}
	return outdated
}

// alreadyApplied reports whether the state is already the one that an order asks for.
func (c *controlState) alreadyApplied(o upstream.Order) bool {
	switch o.Kind {
	case upstream.OrderRole:
		return o.Role == c.state.Role
	case upstream.OrderModel:
		return o.Model == c.state.Model && o.Version == c.state.Version
	case upstream.OrderAdapter:
		return o.Adapter == c.state.Adapter
	default:
		return true
	}
}

// apply makes the change of an order effective.
func (c *controlState) apply(o upstream.Order) {
	switch o.Kind {
	case upstream.OrderRole:
		c.state.Role = o.Role
	case upstream.OrderModel:
		c.loadModel(o.Model)
		c.state.Model, c.state.Version = o.Model, o.Version
	case upstream.OrderAdapter:
		c.state.Adapter = o.Adapter
	}
}

// loadModel replaces the model named by the last model order, or the first configured one,
// unless the model is loaded already.
func (c *controlState) loadModel(model string) {
	if slices.Contains(c.models, model) {
		return
	}
	next := slices.Clone(c.models)
	if i := slices.Index(next, c.state.Model); i >= 0 {
		next[i] = model
	} else {
		next = append(next, model)
	}
	c.models = next
}

var errUnknownOrder = errors.New("order is not understood")

func validOrder(o upstream.Order) bool {
	switch o.Kind {
	case upstream.OrderRole:
		_, known := efficiencies[o.Role]
		return known
	case upstream.OrderModel:
		return o.Model != ""
	case upstream.OrderAdapter, upstream.OrderRaiseToken:
		return true
	default:
		return false
	}
}

// order accepts an order, or returns upstream.ErrFenced, upstream.ErrBusy or
// errUnknownOrder.
func (e *Engine) order(o upstream.Order) error {
	if !validOrder(o) {
		return errUnknownOrder
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() { e.recordLoad(time.Now()) }()
	e.counters.Orders++
	if e.control.observeToken(o.FencingToken) {
		if e.control.checksFencing {
			e.counters.FencedOrders++
			return upstream.ErrFenced
		}
		e.counters.OutdatedOrdersAccepted++
	}
	switch {
	case o.Kind == upstream.OrderRaiseToken:
		return nil
	case o.ID != "" && o.ID == e.control.state.LastOrder:
		e.counters.RepeatedOrders++
		return nil
	case e.control.state.Busy, e.stopped:
		e.counters.ConflictingOrders++
		return upstream.ErrBusy
	}
	e.control.state.LastOrder = o.ID
	if e.control.alreadyApplied(o) {
		e.control.completed++
		return nil
	}
	e.startChange(o)
	return nil
}

// startChange starts to execute an order. The caller holds e.mu.
func (e *Engine) startChange(o upstream.Order) {
	e.control.epoch++
	e.control.state.Busy = true
	epoch := e.control.epoch
	if o.Kind != upstream.OrderAdapter {
		e.control.inService = false
		e.counters.InterruptedByOrder += int64(e.endAll(statusInterrupted))
		e.kv.clear(true)
	}
	e.recordLoad(time.Now())
	e.tasks.Go(func() { e.executeOrder(o, epoch) })
}

// executeOrder executes an order and blocks until it is finished.
func (e *Engine) executeOrder(o upstream.Order, epoch int) {
	started := time.Now()
	duration := e.config.Speed.scaled(e.config.Speed.ChangeDuration)
	if o.Kind == upstream.OrderAdapter {
		duration = time.Duration(float64(duration) * adapterLoadFraction)
	}
	if e.faults.trigger(func(f *EngineFaults) *Trigger { return &f.CrashDuringChange }) {
		e.sleep(duration / 2)
		e.crash(Crash{DownMillis: e.faults.get().RestartMillis})
		return
	}
	ok := true
	if o.Kind == upstream.OrderModel && e.config.WeightStoreAddr != "" {
		ok = e.loadWeights(o)
	} else {
		e.sleep(duration)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.control.epoch != epoch {
		return
	}
	e.finishChange(o, ok)
	e.counters.ChangeMillis += time.Since(started).Milliseconds()
}

// finishChange applies an executed order, or records its failure, and puts the engine back
// into service. The caller holds e.mu.
func (e *Engine) finishChange(o upstream.Order, ok bool) {
	e.control.state.Busy = false
	e.control.inService = true
	if ok {
		e.control.apply(o)
		e.control.completed++
		if o.Kind == upstream.OrderRole {
			e.counters.RoleChanges++
		}
	} else {
		e.control.state.LastOrder = ""
		e.counters.FailedOrders++
	}
	e.recordLoad(time.Now())
	e.wakeLoop()
}

// loadWeights loads a model's weights from the weight store and reports success.
func (e *Engine) loadWeights(o upstream.Order) bool {
	ctx, cancel := e.lifetimeContext()
	defer cancel()
	load := WeightLoadRequest{Model: o.Model, Version: o.Version, Engine: e.name}
	_, err := httpx.CallJSON[WeightLoadRequest, WeightLoadResponse](
		ctx, e.peers.client(e.config.WeightStoreAddr), fasthttp.MethodPost, PathWeightLoad, load)
	return err == nil
}

// lifetimeContext returns a context that is cancelled when the engine ends.
func (e *Engine) lifetimeContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	var watch conc.WaitGroup
	watch.Go(func() {
		select {
		case <-e.ended:
			cancel()
		case <-ctx.Done():
		}
	})
	return ctx, cancel
}

// State returns the engine's state as reported by its control API.
func (e *Engine) State() upstream.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.control.state
	st.Running = len(e.batch.running) + e.batch.queue.Len()
	return st
}
