package standin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"
)

// Paths of the control API.
const (
	PathComponents = "/parts/" // + name + /counters or /faults
	PathTotals     = "/totals"
)

// ComponentCounters holds the counters of one component.
type ComponentCounters struct {
	Name     string          `json:"name"`
	Kind     string          `json:"kind"`
	Address  string          `json:"address"`
	Counters json.RawMessage `json:"counters"`
}

// Totals sums the counters of engines and services, and holds the log's appends.
type Totals struct {
	Requests               int64 `json:"requests"`
	Completed              int64 `json:"completed"`
	Tokens                 int64 `json:"tokens"`
	InterruptedByOrder     int64 `json:"cut_by_order"`
	InterruptedByCrash     int64 `json:"cut_by_crash"`
	Crashes                int64 `json:"crashes"`
	RoleChanges            int64 `json:"role_changes"`
	Orders                 int64 `json:"orders"`
	ConflictingOrders      int64 `json:"conflicting_orders"`
	FencedOrders           int64 `json:"fenced_orders"`
	OutdatedOrdersAccepted int64 `json:"outdated_orders_taken"`
	WrongPrior             int64 `json:"wrong_prior"`
	WrongKV                int64 `json:"wrong_kv"`
	WorkAfterTermination   int64 `json:"work_after_leaving"`
	ServiceCalls           int64 `json:"service_calls"`
	Keys                   int64 `json:"keys"`
	RanTwice               int64 `json:"ran_twice"`
	LogAppends             int64 `json:"log_appends"`
}

// ControlServer serves the control API: the counters and faults of all components at one
// address, which stays up when a component has crashed.
type ControlServer struct {
	*endpoint
	components []Component
}

// NewControlServer returns a server that is already listening.
func NewControlServer(addr string, tlsConfig *tls.Config, components []Component) (*ControlServer, error) {
	base, err := newEndpoint("control", "control", addr, tlsConfig)
	if err != nil {
		return nil, err
	}
	return &ControlServer{endpoint: base, components: components}, nil
}

// Serve handles requests until ctx ends.
func (c *ControlServer) Serve(ctx context.Context) error { return c.serve(ctx, c.handle) }

func (c *ControlServer) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathCounters:
		replyJSON(ctx, c.counters())
	case path == PathTotals:
		replyJSON(ctx, totals(c.components))
	case strings.HasPrefix(path, PathComponents):
		c.handleComponent(ctx, strings.TrimPrefix(path, PathComponents))
	default:
		ctx.NotFound()
	}
}

func (c *ControlServer) handleComponent(ctx *fasthttp.RequestCtx, path string) {
	name, subpath, _ := strings.Cut(path, "/")
	for _, component := range c.components {
		if component.Name() != name {
			continue
		}
		ctx.Request.SetRequestURI("/" + subpath)
		if serveAdmin(component, ctx) {
			return
		}
	}
	ctx.NotFound()
}

func (c *ControlServer) counters() []ComponentCounters {
	out := make([]ComponentCounters, 0, len(c.components))
	for _, component := range c.components {
		out = append(out, ComponentCounters{
			Name: component.Name(), Kind: component.Kind(), Address: component.Addr(), Counters: component.CountersJSON(),
		})
	}
	return out
}

func totals(components []Component) Totals {
	var t Totals
	for _, component := range components {
		switch c := component.(type) {
		case *Engine:
			t.addEngine(c.Counters())
		case *Service:
			t.addService(c.Counters())
		case *Log:
			t.LogAppends = c.Counters().Appends
		}
	}
	return t
}

func (t *Totals) addEngine(c EngineCounters) {
	t.Requests += c.Requests
	t.Completed += c.Completed
	t.Tokens += c.Tokens
	t.InterruptedByOrder += c.InterruptedByOrder
	t.InterruptedByCrash += c.InterruptedByCrash
	t.Crashes += c.Crashes
	t.RoleChanges += c.RoleChanges
	t.Orders += c.Orders
	t.ConflictingOrders += c.ConflictingOrders
	t.FencedOrders += c.FencedOrders
	t.OutdatedOrdersAccepted += c.OutdatedOrdersAccepted
	t.WrongPrior += c.WrongPrior
	t.WrongKV += c.WrongKV
	t.WorkAfterTermination += c.WorkAfterTermination
}

// addService adds a service's counters. Keys and RanTwice are those of the run counter that
// all services share, so they are not summed.
func (t *Totals) addService(c ServiceCounters) {
	t.ServiceCalls += c.Calls
	t.Crashes += c.Crashes
	t.WorkAfterTermination += c.WorkAfterTermination
	t.Keys, t.RanTwice = c.Keys, c.RanTwice
}
