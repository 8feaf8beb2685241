package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"tamarackchute/internal/patience"
)

const (
	// A response must begin within firstEventTimeoutFactor times the objective, or
	// prefillTimeoutFactor times the expected time plus prefillSlack, whichever is longer.
	// After that the request is retried at another upstream.
	firstEventTimeoutFactor = 4
	// The gap between two events may last eventGapTimeoutFactor times the objective for
	// gaps. Healthy engines pause for up to twice the objective.
	eventGapTimeoutFactor = 5
	// minStallTimeout is the lower bound of both timeouts. It is longer than the pauses of
	// healthy upstreams (up to 0.28 s) and than the retransmission of a lost packet.
	minStallTimeout = 600 * time.Millisecond
	// lostPathSilence is the silence after which an attempt is aborted that goes over a lost path.
	lostPathSilence = 300 * time.Millisecond
)

var errStalled = errors.New("the upstream stalled")

// stallWatchdog aborts an attempt whose upstream sends nothing. A network partition or a
// stopped process gives no error: without the watchdog a stream would hang until its
// caller's timeout, and the upstream would keep getting requests.
type stallWatchdog struct {
	call   *call
	cancel context.CancelCauseFunc
	// retryable says that the request may be sent again after the attempt.
	retryable bool

	mu sync.Mutex
	// stopTimer stops the timeout, nil if there is none.
	stopTimer func()
	// heardAt is when the upstream last sent something, or the attempt began.
	heardAt time.Time
}

// watchForStall returns a context that is cancelled when the upstream stalls, with a
// watchdog that is armed for the first event.
func (c *call) watchForStall(ctx context.Context, p *assignment) (context.Context, *stallWatchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallWatchdog{call: c, cancel: cancel, retryable: c.attempts.MayRetry(1), heardAt: time.Now()}
	w.arm(c.firstEventTimeout(p))
	if p.peer == nil {
		c.relay.paths.watch(w)
	}
	return ctx, w
}

// firstEventTimeout returns the timeout for the first event, 0 for none.
func (c *call) firstEventTimeout(p *assignment) time.Duration {
	if c.rule.Objective == 0 || !c.attempts.MayRetry(1) {
		return 0
	}
	expected := prefillTimeoutFactor*p.plan.FirstToken + prefillSlack
	return p.stallFactor() * max(minStallTimeout, firstEventTimeoutFactor*c.rule.Objective, expected)
}

// eventGapTimeout returns the timeout between two events of a stream, 0 for none.
func (c *call) eventGapTimeout(p *assignment) time.Duration {
	if c.rule.GapObjective == 0 || !c.attempts.MayRetry(0) {
		return 0
	}
	return p.stallFactor() * max(minStallTimeout, eventGapTimeoutFactor*c.rule.GapObjective)
}

// stallFactor lengthens the timeouts where another daemon applies them to its upstream.
func (p *assignment) stallFactor() time.Duration {
	if p.peer != nil {
		return forwardStallFactor
	}
	return 1
}

// arm starts the timeout for the next data from the upstream; 0 means no timeout. A silence in which this
// process stood still isn't the upstream's.
func (w *stallWatchdog) arm(limit time.Duration) {
	if limit == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTimer = patience.AfterFunc(limit, w.expire)
}

// disarm stops the timeout.
func (w *stallWatchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt = time.Now()
	if w.stopTimer != nil {
		w.stopTimer()
		w.stopTimer = nil
	}
}

// pathLost aborts an attempt whose upstream has been silent for a while, because the path to its
// pool is lost: other daemons may reach it.
func (w *stallWatchdog) pathLost() {
	w.mu.Lock()
	silent := time.Since(w.heardAt)
	w.mu.Unlock()
	if silent >= lostPathSilence && w.retryable {
		w.expire()
	}
}

// expire aborts the attempt if the budget allows a retry: a stalled upstream is still
// better than none.
func (w *stallWatchdog) expire() {
	c := w.call
	if !c.relay.cfg.RetryBudget.AllowRetry(c.pool) {
		return
	}
	c.retryReserved.Store(true)
	w.cancel(errStalled)
}

// withStallError adds errStalled to the error of an attempt that the watchdog aborted.
func withStallError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return errors.Join(errStalled, err)
	}
	return err
}

// stop releases the watchdog.
func (w *stallWatchdog) stop() {
	w.call.relay.paths.unwatch(w)
	w.disarm()
	w.cancel(nil)
}
