package relay

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// firstSilenceFactor times the objective, or prefillFactor times the expected
	// time and prefillSlack, whichever is more, is how long an upstream may be
	// silent before its answer begins. A request that is still worth something
	// then is sent elsewhere.
	firstSilenceFactor = 4
	// pauseSilenceFactor times the objective for pauses is how long a stream may
	// be silent. Engines that work were seen to pause for up to twice it.
	pauseSilenceFactor = 5
	// leastSilence is the shortest silence that counts: longer than any pause of a
	// healthy upstream that was seen (0.28 s) and than a lost packet's repetition.
	leastSilence = 600 * time.Millisecond
)

var errSilent = errors.New("the upstream has fallen silent")

// silenceWatch gives up an attempt whose upstream shows no sign of life. A
// connection that was cut on the way, or a process that stands still, breaks
// nothing: without the watch a stream would hang until its caller gives up, and
// the upstream would go on getting requests.
type silenceWatch struct {
	call   *call
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
}

// watchSilence returns a context that ends when the upstream is silent for too
// long, from now on for its first sign.
func (c *call) watchSilence(ctx context.Context, p *place) (context.Context, *silenceWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &silenceWatch{call: c, cancel: cancel}
	w.listen(c.firstSilence(p))
	return ctx, w
}

// firstSilence returns how long the upstream may be silent at first; 0 is for as
// long as it likes.
func (c *call) firstSilence(p *place) time.Duration {
	if c.rule.Objective == 0 || !c.tries.MayRetry(1) {
		return 0
	}
	expected := prefillFactor*p.plan.FirstToken + prefillSlack
	return max(leastSilence, firstSilenceFactor*c.rule.Objective, expected)
}

// pauseSilence returns how long a stream may be silent between two events.
func (c *call) pauseSilence() time.Duration {
	if c.rule.PauseObjective == 0 || !c.tries.MayRetry(0) {
		return 0
	}
	return max(leastSilence, pauseSilenceFactor*c.rule.PauseObjective)
}

// listen waits for the next sign of life; a limit of 0 doesn't.
func (w *silenceWatch) listen(limit time.Duration) {
	if limit == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.giveUp)
}

// heard ends the wait.
func (w *silenceWatch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// giveUp ends the attempt if the request may be sent again: a silent upstream is
// still better than none.
func (w *silenceWatch) giveUp() {
	c := w.call
	if !c.relay.cfg.RetryBudget.AllowRetry(c.pool) {
		return
	}
	c.prepaid.Store(true)
	w.cancel(errSilent)
}

// tellSilence adds to an attempt's error that it was given up for silence.
func tellSilence(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return errors.Join(errSilent, err)
	}
	return err
}

// end releases the watch.
func (w *silenceWatch) end() {
	w.heard()
	w.cancel(nil)
}
