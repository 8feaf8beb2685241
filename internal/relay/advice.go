package relay

import (
	"errors"
	"fmt"
	"time"

	"tamarackchute/internal/exchange"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/telemetry"
)

// ErrHeldBack is the cause of errors of requests that weren't sent because the upstream wants
// none. It says nothing about the upstream's health.
var ErrHeldBack = errors.New("held back")

var (
	errUpstreamDraining = fmt.Errorf("%w: the upstream is draining", ErrHeldBack)
	errUpstreamBackoff  = fmt.Errorf("%w: the upstream is in backoff", ErrHeldBack)
	errUpstreamLimit    = fmt.Errorf("%w: the upstream's limit is used up", ErrHeldBack)
	errUpstreamGone     = fmt.Errorf("%w: the upstream is gone", ErrHeldBack)
)

// Observe records what a response says about further requests to its upstream. It must be
// called for each response, whether or not a request was waiting for it.
func (r *Relay) Observe(u *fleet.Upstream, response exchange.ObservedResponse) {
	advice := r.cfg.Dialect.Advice(response.Status, response.Header)
	attrs := []any{
		"upstream", u.ID, "started", u.Started, "pool", u.Pool, "status", response.Status,
		"request", response.Header.Get(r.cfg.Dialect.RequestIDHeader()),
	}
	if advice.Draining && r.cfg.State.MarkDraining(u) {
		r.metrics.recordLeaving(u.Pool)
		r.cfg.Logger.Info("upstream leaves", attrs...)
	}
	if backoff := advice.RetryAfter; backoff > 0 && r.cfg.Tracker.BackOff(u.ID, u.Started, backoff) {
		r.metrics.recordBackoff(u.Pool)
		r.cfg.Logger.Info("upstream backoff", append(attrs, "backoff_ms", telemetry.Millis(backoff), "until", time.Now().Add(backoff))...)
	}
	r.observeLimit(u, advice, response.SentAt)
}

// Admit returns an error if nothing may be sent to an upstream now. It is asked right before
// the first byte is written: the answer may have changed since the upstream was chosen. A request
// that it admits counts towards the upstream's limit.
func (r *Relay) Admit(u *fleet.Upstream) error { return r.admitBy(u, r.takeFromLimit) }

// AdmitOrder returns an error if no order may be given to an upstream now. Both requests of an order
// that it admits count towards the upstream's limit; AdmitOrdered is asked before the second one.
func (r *Relay) AdmitOrder(u *fleet.Upstream) error { return r.admitBy(u, r.takeOrderFromLimit) }

// AdmitOrdered returns an error if the second request of an order may not be sent to an upstream now.
func (r *Relay) AdmitOrdered(u *fleet.Upstream) error { return r.admitBy(u, r.takeOrderedFromLimit) }

func (r *Relay) admitBy(u *fleet.Upstream, withinLimit func(*fleet.Upstream) bool) error {
	err := r.heldBack(u)
	if err == nil && !withinLimit(u) {
		err = errUpstreamLimit
	}
	if err != nil {
		r.metrics.recordHeldBack(u.Pool, err)
	}
	return err
}

func (r *Relay) heldBack(u *fleet.Upstream) error {
	current := r.cfg.State.Snapshot().Upstreams[u.ID]
	switch {
	case current == nil || !current.SameIncarnation(u):
		return errUpstreamGone
	case current.Draining:
		return errUpstreamDraining
	case r.cfg.Tracker.BackoffLeft(u.ID, u.Started) > 0:
		return errUpstreamBackoff
	default:
		return nil
	}
}

// admit returns Admit for one upstream.
func (r *Relay) admit(u *fleet.Upstream) func() error {
	return func() error { return r.Admit(u) }
}
