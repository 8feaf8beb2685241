package standin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"
)

// Paths of the control page.
const (
	PathParts  = "/parts/" // + name + /counters or /faults
	PathTotals = "/totals"
)

// PartCounters is the counters of one part.
type PartCounters struct {
	Name     string          `json:"name"`
	Kind     string          `json:"kind"`
	Address  string          `json:"address"`
	Counters json.RawMessage `json:"counters"`
}

// Totals sums what engines and services counted.
type Totals struct {
	Requests            int64 `json:"requests"`
	Completed           int64 `json:"completed"`
	Tokens              int64 `json:"tokens"`
	CutByOrder          int64 `json:"cut_by_order"`
	CutByCrash          int64 `json:"cut_by_crash"`
	Crashes             int64 `json:"crashes"`
	RoleChanges         int64 `json:"role_changes"`
	Orders              int64 `json:"orders"`
	ConflictingOrders   int64 `json:"conflicting_orders"`
	FencedOrders        int64 `json:"fenced_orders"`
	OutdatedOrdersTaken int64 `json:"outdated_orders_taken"`
	WrongPrior          int64 `json:"wrong_prior"`
	WorkAfterLeaving    int64 `json:"work_after_leaving"`
	ServiceCalls        int64 `json:"service_calls"`
	Keys                int64 `json:"keys"`
	RanTwice            int64 `json:"ran_twice"`
	LogAppends          int64 `json:"log_appends"`
}

// Control is a page for all parts at one address, which stays up when a part
// has crashed.
type Control struct {
	*node
	parts []Part
}

// NewControl returns a page that listens already.
func NewControl(addr string, tlsConfig *tls.Config, parts []Part) (*Control, error) {
	n, err := newNode("control", "control", addr, tlsConfig)
	if err != nil {
		return nil, err
	}
	return &Control{node: n, parts: parts}, nil
}

// Serve runs the page until ctx ends.
func (c *Control) Serve(ctx context.Context) error { return c.serve(ctx, c.handle) }

func (c *Control) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathCounters:
		replyJSON(ctx, c.counters())
	case path == PathTotals:
		replyJSON(ctx, totals(c.parts))
	case strings.HasPrefix(path, PathParts):
		c.handlePart(ctx, strings.TrimPrefix(path, PathParts))
	default:
		ctx.NotFound()
	}
}

func (c *Control) handlePart(ctx *fasthttp.RequestCtx, path string) {
	name, page, _ := strings.Cut(path, "/")
	for _, p := range c.parts {
		if p.Name() != name {
			continue
		}
		ctx.Request.SetRequestURI("/" + page)
		if admin(p, ctx) {
			return
		}
	}
	ctx.NotFound()
}

func (c *Control) counters() []PartCounters {
	out := make([]PartCounters, 0, len(c.parts))
	for _, p := range c.parts {
		out = append(out, PartCounters{
			Name: p.Name(), Kind: p.Kind(), Address: p.Addr(), Counters: p.CountersJSON(),
		})
	}
	return out
}

func totals(parts []Part) Totals {
	var t Totals
	for _, p := range parts {
		switch p := p.(type) {
		case *Engine:
			t.addEngine(p.Counters())
		case *Service:
			t.addService(p.Counters())
		case *Log:
			t.LogAppends = p.Counters().Appends
		}
	}
	return t
}

func (t *Totals) addEngine(c EngineCounters) {
	t.Requests += c.Requests
	t.Completed += c.Completed
	t.Tokens += c.Tokens
	t.CutByOrder += c.CutByOrder
	t.CutByCrash += c.CutByCrash
	t.Crashes += c.Crashes
	t.RoleChanges += c.RoleChanges
	t.Orders += c.Orders
	t.ConflictingOrders += c.ConflictingOrders
	t.FencedOrders += c.FencedOrders
	t.OutdatedOrdersTaken += c.OutdatedOrdersTaken
	t.WrongPrior += c.WrongPrior
	t.WorkAfterLeaving += c.WorkAfterLeaving
}

// addService takes the ledger's figures once: the services share it.
func (t *Totals) addService(c ServiceCounters) {
	t.ServiceCalls += c.Calls
	t.Crashes += c.Crashes
	t.WorkAfterLeaving += c.WorkAfterLeaving
	t.Keys, t.RanTwice = c.Keys, c.RanTwice
}
