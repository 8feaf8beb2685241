package entry

import (
	"context"

	"tamarackchute/orders"
	"tamarackchute/router"
)

// ordersFeed passes to the router which engines are draining or changing and which
// roles the journal gives them. This is only a hint for the router: the in-flight
// counter checks the orders themselves.
type ordersFeed struct {
	orders  *orders.View
	engines []string
	tracker *router.Tracker
}

func (f *ordersFeed) String() string { return "orders" }

// Serve applies each change of the orders until ctx ends.
func (f *ordersFeed) Serve(ctx context.Context) error {
	for {
		changed := f.orders.Changed()
		f.apply(f.orders.Snapshot())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (f *ordersFeed) apply(s *orders.Snapshot) {
	for _, name := range f.engines {
		engine := s.Engine(name)
		f.tracker.SetDraining(name, !engine.TakesWork())
		if role := engine.Observed.Role; role != "" {
			f.tracker.SetRole(name, role)
		}
	}
}
