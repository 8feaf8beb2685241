package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackchute/internal/telemetry"
	"tamarackchute/placement"
	"tamarackchute/quarantine"
)

const (
	// A suspect waits for its turn for trialWaitShare of the remaining time, maxTrialWait at most unless its stream has begun.
	trialWaitShare = 0.5
	maxTrialWait   = time.Second
	// trialRecheck is how often a waiting suspect looks again: upstreams come back without a signal.
	trialRecheck = 50 * time.Millisecond
	// maxPartTrialDelay limits the random delay before a trial of a part of prompts, which requests at all
	// daemons may wait for: one of them claims it, and an answer on its way may clear the part.
	maxPartTrialDelay = 200 * time.Millisecond
)

// errSuspected stops an attempt whose request became a suspect after it was placed.
var errSuspected = errors.New("the request is suspected of crashing upstreams")

// trial is what a call does to be tried alone while it is suspected of crashing upstreams.
type trial struct {
	// suspected says that the request was in flight when an upstream crashed.
	suspected bool
	digest    quarantine.Digest
	// claim is the reservation of the attempt in progress; nil if there is none.
	claim *quarantine.Claim
	// until is when the request no longer waits for its turn; zero until it first waits. claimAt is when
	// it may claim its turn; zero while another one has it.
	until, claimAt time.Time
	// avoid names the upstreams that the next attempt must not use.
	avoid []string
}

// awaitTrial returns once the request may be placed: at once unless it is a suspect, of which one
// copy at a time runs in all daemons.
func (c *call) awaitTrial(ctx context.Context) *failure {
	for {
		if err := c.checkQuarantine(); err != nil {
			return c.failQuarantined(err)
		}
		c.trial.avoid = nil
		if !c.trial.suspected {
			return nil
		}
		changed := c.relay.cfg.Crashes.Changed()
		r := c.relay.cfg.Crashes.Reservations(c.trial.digest)
		if c.trial.mayClaim(r.Running, time.Now()) {
			if c.findTrialRoom(r) {
				return nil
			}
		}
		if f := c.waitForTrial(ctx, changed); f != nil {
			return f
		}
	}
}

// findTrialRoom updates the upstreams which the call must avoid as a suspect, and reports whether it may use another one of
// its choice. Of a choice without a usable upstream, placement says what happens to the request.
func (c *call) findTrialRoom(r quarantine.Reservations) bool {
	pool := c.relay.cfg.Tracker.Usable(c.pool)
	var ok bool
	if c.trial.avoid, ok = trialRoom(pool, r); !ok {
		return false
	}
	unsuited := slices.Concat(c.excluded, c.beyondChoice(c.relay.cfg.State.Snapshot()))
	suited := slices.DeleteFunc(pool.IDs, func(id string) bool { return slices.Contains(unsuited, id) })
	return len(suited) == 0 || slices.ContainsFunc(suited, func(id string) bool { return !slices.Contains(c.trial.avoid, id) })
}

// mayTryNow reports whether the request may be placed now as far as suspicion goes. Others' claims have changed since it began
// to wait for capacity.
func (c *call) mayTryNow() bool {
	if !c.trial.suspected {
		return true
	}
	r := c.relay.cfg.Crashes.Reservations(c.trial.digest)
	return !r.Running && c.findTrialRoom(r)
}

// mayClaim reports whether the request may claim its turn now, as no other one has it.
func (t *trial) mayClaim(running bool, now time.Time) bool {
	switch {
	case running:
		t.claimAt = time.Time{}
		return false
	case !t.digest.IsPart():
		return true
	case t.claimAt.IsZero():
		t.claimAt = now.Add(rand.N(maxPartTrialDelay))
	}
	return !now.Before(t.claimAt)
}

// waitForTrial waits until the request may have its turn.
func (c *call) waitForTrial(ctx context.Context, changed <-chan struct{}) *failure {
	if c.trial.until.IsZero() {
		wait := time.Duration(trialWaitShare * float64(time.Until(c.deadline)))
		if !c.continuesStream() {
			wait = min(wait, maxTrialWait)
		}
		c.trial.until = time.Now().Add(wait)
	}
	left := time.Until(c.trial.until)
	if left <= 0 {
		return c.fail(reasonSuspected, "the request was in flight when an upstream crashed, and waits for its turn")
	}
	if untilClaim := time.Until(c.trial.claimAt); untilClaim > 0 {
		left = min(left, untilClaim)
	}
	timer := time.NewTimer(min(left, trialRecheck))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return c.contextFailure(ctx)
	}
	return nil
}

// trialRoom returns the upstreams of a pool that a suspect must not use, and whether it may use
// another one. As long as several are usable, one of them has no suspects, for all other requests.
// Of a pool without a usable upstream, placement says what happens to the request.
func trialRoom(pool placement.UsableUpstreams, r quarantine.Reservations) (avoid []string, ok bool) {
	if len(pool.IDs) == 0 {
		return nil, true
	}
	untried := slices.DeleteFunc(slices.Clone(pool.IDs), func(id string) bool { return slices.Contains(r.Claimed, id) })
	avoid = r.Reserved
	if pool.Listed > 1 && len(untried) <= 1 {
		avoid = slices.Concat(avoid, untried)
	}
	ok = slices.ContainsFunc(pool.IDs, func(id string) bool { return !slices.Contains(avoid, id) })
	return avoid, ok
}

// beginTrial reserves an attempt of a suspect. It returns false, and gives the assignment up, if
// that isn't possible now.
func (c *call) beginTrial(ctx context.Context, p *assignment) bool {
	if !c.trial.suspected {
		return true
	}
	upstreams := []string{p.target.ID}
	if p.prefill != nil {
		upstreams = append(upstreams, p.prefill.ID)
	}
	claim, err := c.relay.cfg.Crashes.Claim(ctx, c.trial.digest, time.Until(c.deadline), upstreams...)
	c.trial.claimAt = time.Time{}
	if err != nil {
		p.release()
		return false
	}
	c.trial.claim = claim
	c.relay.metrics.recordTrial(c.pool)
	c.log.Info("suspect tried", "request", c.ID, "digest", c.trial.digest.String(), "upstreams", upstreams,
		"pool", c.pool, "waited_ms", telemetry.Millis(time.Since(c.arrived)))
	return true
}

// endTrial ends the reservation of an attempt.
func (c *call) endTrial() {
	if c.trial.claim != nil {
		c.trial.claim.End()
		c.trial.claim = nil
	}
}

// checkTrial is the check of a suspect right before each first byte: it must have a reservation.
func (c *call) checkTrial() error {
	if c.trial.suspected && c.trial.claim == nil {
		return errSuspected
	}
	return nil
}

// release ends the tickets of an assignment that isn't used.
func (p *assignment) release() {
	p.ticket.End(placement.Cancelled)
	if p.prefillTicket != nil {
		p.prefillTicket.End(placement.Cancelled)
	}
}
