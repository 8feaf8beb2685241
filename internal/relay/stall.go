package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"tamarackchute/internal/fleet"
	"tamarackchute/internal/patience"
	"tamarackchute/internal/telemetry"
	"tamarackchute/placement"
)

const (
	// A response must begin within firstEventTimeoutFactor times the objective,
	// prefillTimeoutFactor times the expected time plus prefillSlack, or usualTimeoutFactor times
	// the usual time, whichever is longest. After that another place is sought for the request.
	firstEventTimeoutFactor = 4
	// The gap between two events may last eventGapTimeoutFactor times the objective for
	// gaps. Healthy engines pause for up to twice the objective.
	eventGapTimeoutFactor = 5
	// minStallTimeout is the lower bound of both timeouts. It is longer than the pauses of
	// healthy upstreams (up to 0.28 s) and than the retransmission of a lost packet.
	minStallTimeout = 600 * time.Millisecond
	// lostPathSilence is the silence after which an attempt is aborted that goes over a lost path.
	lostPathSilence = 300 * time.Millisecond
	// silentExclusion is how long an upstream that was given up for its silence isn't tried again.
	silentExclusion = 500 * time.Millisecond
	// budgetWaitShare is the share of the time left for which a stream that its caller takes up waits for the retry budget.
	budgetWaitShare = 0.5
	// stallRecheck is how often another place is sought for an attempt whose upstream is silent.
	stallRecheck = 100 * time.Millisecond
)

var (
	errStalled = errors.New("the upstream stalled")
	// errPathLost aborts an attempt whose path is lost, while other daemons have one.
	errPathLost = errors.New("the path to the upstream is lost")
)

// stallWatchdog watches an attempt whose upstream sends nothing. A network partition or a stopped process
// gives no error, but a sound upstream may be silent for a while, too. So an attempt is given up only for
// another place, which is held before; without one, its upstream may still answer.
type stallWatchdog struct {
	call   *call
	cancel context.CancelCauseFunc
	// assigned is the attempt's place.
	assigned *assignment
	// retryable says that the request may be sent again after the attempt.
	retryable bool

	mu sync.Mutex
	// stopTimer stops the timeout, nil if there is none. round counts the timeouts, so that one which fires
	// while it is stopped does nothing.
	stopTimer func()
	round     int
	// limit is the timeout that was armed last; 0 means none.
	limit time.Duration
	// heardAt is when the upstream last sent something, or the attempt began.
	heardAt time.Time
	// decision is the last one logged of the current silence.
	decision silenceDecision
}

// silenceDecision is what becomes of an attempt whose upstream is silent.
type silenceDecision string

const (
	undecided silenceDecision = ""
	// keepWithoutPlace and keepWithoutBudget go on waiting.
	keepWithoutPlace  silenceDecision = "wait: no other place"
	keepWithoutBudget silenceDecision = "wait: no retry budget"
	// keepPeer goes on waiting for another daemon, which watches its upstream itself.
	keepPeer silenceDecision = "wait: the other daemon lives"
	// moveToPlace and givePeerUp abort the attempt.
	moveToPlace silenceDecision = "move"
	givePeerUp  silenceDecision = "give up: the other daemon is silent"
)

// watchForStall returns a context that is cancelled when the attempt is given up for the silence of its
// upstream, with a watchdog that is armed for the first event.
func (c *call) watchForStall(ctx context.Context, p *assignment) (context.Context, *stallWatchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallWatchdog{call: c, cancel: cancel, assigned: p, retryable: c.attempts.MayRetry(1), heardAt: time.Now()}
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
	return p.stallFactor() * max(minStallTimeout, firstEventTimeoutFactor*c.rule.Objective, expected, usualTimeoutFactor*c.usualTime())
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
// process stood still isn't the upstream's. Until disarm, only the watchdog may change the call.
func (w *stallWatchdog) arm(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.decision != undecided {
		w.call.relay.silences.remove(w)
	}
	w.decision, w.heardAt, w.limit = undecided, time.Now(), limit
	w.startTimer(limit)
}

// startTimer starts the timeout. The caller holds w.mu.
func (w *stallWatchdog) startTimer(limit time.Duration) {
	if limit == 0 {
		return
	}
	w.round++
	round := w.round
	w.stopTimer = patience.AfterFunc(limit, func() { w.expire(round) })
}

// measures reports whether a time until the response began is the upstream's: one beyond the limit that has run into no
// timeout is a standstill of this process.
func (w *stallWatchdog) measures(took time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.decision != undecided || took <= w.limit
}

// disarm stops the timeout.
func (w *stallWatchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt = time.Now()
	w.round++
	if w.stopTimer != nil {
		w.stopTimer()
		w.stopTimer = nil
	}
}

// expire decides what becomes of an attempt whose upstream is silent.
func (w *stallWatchdog) expire(round int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if round != w.round {
		return
	}
	if c := w.call; w.decision == undecided && c.Generation == nil && w.assigned.peer == nil {
		c.relay.responseTimes.record(c.responseKind(), w.limit) // it takes longer than that
	}
	decision := w.decideSilence()
	w.logDecision(decision)
	switch decision {
	case moveToPlace, givePeerUp:
		w.abort(errStalled)
	default:
		w.startTimer(stallRecheck)
		w.call.relay.silences.add(w)
	}
}

// tryAgain decides anew about an attempt that waits for another place. It reports whether others may still
// find one.
func (w *stallWatchdog) tryAgain() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopTimer == nil || w.decision != keepWithoutPlace {
		return true
	}
	decision := w.decideSilence()
	w.logDecision(decision)
	if decision != moveToPlace {
		return false
	}
	w.stopTimer()
	w.abort(errStalled)
	return true
}

// decideSilence holds another place for the attempt if there is one. The caller holds w.mu.
func (w *stallWatchdog) decideSilence() silenceDecision {
	if w.assigned.peer != nil {
		return w.decidePeerSilence()
	}
	c := w.call
	if c.relay.cfg.Tracker.MarkSilent(w.assigned.target.ID, w.heardAt) {
		c.relay.logSilent(w.assigned.target, c.ID)
	}
	next := c.findReplacement(w.assigned.target, c.withoutPrefill)
	if next == nil {
		return keepWithoutPlace
	}
	if next.plan.Prefill != "" && c.prefills > 0 && !w.reserveRetries(next) {
		if next = c.findReplacement(w.assigned.target, true); next == nil {
			return keepWithoutPlace
		}
	}
	if !w.reserveRetries(next) {
		return keepWithoutBudget
	}
	c.replacement = next.reserve()
	return moveToPlace
}

// decidePeerSilence decides for a request that was forwarded. The other daemon knows best what becomes of
// it, unless it is silent itself.
func (w *stallWatchdog) decidePeerSilence() silenceDecision {
	switch {
	case !w.call.relay.peerIsSilent(*w.assigned.peer):
		return keepPeer
	case !w.reserveRetries(nil):
		return keepWithoutBudget
	default:
		return givePeerUp
	}
}

// reserveRetries counts the retry that follows the attempt, with a further prefill if the next place needs
// one, as far as they aren't counted yet and if the budget allows them.
func (w *stallWatchdog) reserveRetries(next *replacement) bool {
	c := w.call
	prefills := next != nil && next.plan.Prefill != "" && c.prefills > 0
	retries := 0
	if !c.retryReserved.Load() {
		retries++
	}
	if prefills && !c.prefillReserved {
		retries++
	}
	if retries > 0 && !c.relay.cfg.RetryBudget.AllowRetries(c.pool, retries) {
		return false
	}
	c.retryReserved.Store(true)
	c.prefillReserved = c.prefillReserved || prefills
	return true
}

// abort ends the attempt. The caller holds w.mu.
func (w *stallWatchdog) abort(cause error) {
	w.round++
	w.cancel(cause)
}

// logDecision logs a decision, once in a row. The caller holds w.mu.
func (w *stallWatchdog) logDecision(d silenceDecision) {
	if d == w.decision {
		return
	}
	w.decision = d
	c := w.call
	attrs := []any{"request", c.ID, "upstream", w.assigned.target.ID, "decision", string(d), "silent_ms", telemetry.Millis(time.Since(w.heardAt)), "pool", c.pool}
	if c.replacement != nil {
		attrs = append(attrs, "to", c.replacement.target.ID)
	}
	c.log.Info("upstream is silent", attrs...)
}

// pathLost aborts an attempt whose upstream has been silent for a while, because the path to its
// pool is lost and other daemons reach it.
func (w *stallWatchdog) pathLost() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.retryable && time.Since(w.heardAt) >= lostPathSilence && w.reserveRetries(nil) {
		w.abort(errPathLost)
	}
}

// withStallError adds the reason to the error of an attempt that the watchdog aborted.
func withStallError(ctx context.Context, err error) error {
	for _, cause := range []error{errStalled, errPathLost} {
		if errors.Is(context.Cause(ctx), cause) {
			return errors.Join(cause, err)
		}
	}
	return err
}

// gaveUp reports whether an attempt was ended for the silence of its upstream.
func gaveUp(err error) bool { return errors.Is(err, errStalled) || errors.Is(err, errPathLost) }

// stop releases the watchdog.
func (w *stallWatchdog) stop() {
	w.disarm() // from now on, the timeout adds it to no list
	w.call.relay.paths.unwatch(w)
	w.call.relay.silences.remove(w)
	w.cancel(nil)
}

// silences holds the attempts that wait for another place, the one that has waited longest first.
type silences struct {
	mu      sync.Mutex
	waiting []*stallWatchdog
}

func (s *silences) add(w *stallWatchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.waiting, w) {
		s.waiting = append(s.waiting, w)
	}
}

func (s *silences) remove(w *stallWatchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// wake lets the attempts look for a place again, until one of each pool finds none.
func (s *silences) wake() {
	s.mu.Lock()
	waiting := slices.Clone(s.waiting)
	s.mu.Unlock()
	if len(waiting) == 0 {
		return
	}
	full := make(map[string]bool)
	for _, w := range waiting {
		if pool := w.call.pool; !full[pool] {
			full[pool] = !w.tryAgain()
		}
	}
}

// replacement is a place at another upstream than a silent one, which isn't reserved yet.
type replacement struct {
	call     *call
	snapshot *fleet.Snapshot
	req      placement.Request
	// plan names only the upstream if the request isn't a model request.
	plan placement.Plan
}

// reserve records the work in the tracker.
func (r *replacement) reserve() *assignment {
	if r.call.Generation == nil {
		return &assignment{target: r.snapshot.Upstreams[r.plan.Engine], ticket: r.call.relay.cfg.Tracker.Begin(r.plan.Engine, placement.Work{})}
	}
	return r.call.reserve(r.snapshot, r.plan, r.req)
}

// findReplacement returns a place at another upstream than a silent one, nil if there is none that can end
// the response in time.
func (c *call) findReplacement(silent *fleet.Upstream, withoutPrefill bool) *replacement {
	s, tracker := c.relay.cfg.State.Snapshot(), c.relay.cfg.Tracker
	req := c.placementRequest()
	req.Exclude = append(req.Exclude, silent.ID)
	left := time.Until(c.deadline)
	if stop := c.relay.shutdown.Load(); stop != nil {
		left = min(left, time.Until(stop.plan.Latest()))
	}
	if c.Generation == nil {
		id, full, ok := tracker.PickService(c.pool, req)
		if !ok || full || s.Upstreams[id] == nil || left <= c.usualTime() {
			return nil
		}
		return &replacement{call: c, snapshot: s, req: req, plan: placement.Plan{Engine: id}}
	}
	req.Late, req.WithoutPrefill, req.TimeLeft = true, withoutPrefill, left
	plan, ok := tracker.Pick(c.pool, req)
	if !ok || s.Upstreams[plan.Engine] == nil || max(plan.FirstToken, plan.Completion) >= left {
		return nil
	}
	return &replacement{call: c, snapshot: s, req: req, plan: plan}
}

// takeReplacement returns the place that was reserved for the next attempt, nil if there is none, or if it
// doesn't suit the request any more.
func (c *call) takeReplacement() *assignment {
	p := c.replacement
	c.replacement = nil
	if p == nil {
		return nil
	}
	if !c.suitsOrigin(p.target) || c.relay.heldBack(p.target) != nil || slices.Contains(c.trial.avoid, p.target.ID) {
		p.release()
		return nil
	}
	return p
}

// releaseReplacement frees a reserved place that isn't needed.
func (c *call) releaseReplacement() {
	if c.replacement != nil {
		c.replacement.release()
		c.replacement = nil
	}
}

// mayAwaitBudget reports whether the call is worth a wait for the retry budget: its stream has begun and was moved away
// from a silent upstream, which may have been sound, or an upstream has refused to go on with it; or another daemon has left
// it, for which nothing is to blame.
func (c *call) mayAwaitBudget() bool {
	return c.stream != nil && len(c.silent) > 0 || c.isTakenUp() || len(c.returnedFrom) > 0
}

// awaitBudget waits until the retry budget allows a retry, and counts it. It returns false if the call ends
// before, or if a caller that takes up a stream should rather try another daemon, which has a budget of its own.
func (c *call) awaitBudget(ctx context.Context) bool {
	until := time.Now().Add(time.Duration(budgetWaitShare * float64(time.Until(c.deadline))))
	ticker := time.NewTicker(stallRecheck)
	defer ticker.Stop()
	for !c.isTakenUp() || time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if c.relay.cfg.RetryBudget.AllowRetry(c.pool) {
			return true
		}
	}
	return false
}

// silentUpstream is an upstream that was given up for its silence.
type silentUpstream struct {
	id string
	at time.Time
}

// excludedNow returns the upstreams that may not be tried now. One that was given up for its silence may be
// tried again later: it may be the only one left.
func (c *call) excludedNow() []string {
	all := slices.Concat(c.excluded, c.trial.avoid)
	for _, u := range c.silent {
		if time.Since(u.at) < silentExclusion {
			all = append(all, u.id)
		}
	}
	return all
}
