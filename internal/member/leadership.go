package member

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/infra"
	"tamarackchute/internal/boottime"
	"tamarackchute/internal/daemonstatus"
	"tamarackchute/journal"
	"tamarackchute/lease"
	"tamarackchute/usage"
)

const (
	// leadershipInterval is how often a daemon checks whether it competes for the lease.
	leadershipInterval = 500 * time.Millisecond
	// maxCandidates is the number of daemons that compete for the lease; the others neither read
	// nor write the journal.
	maxCandidates = 2
	// renewRatio is the time between renewals as a share of the lease's term.
	renewRatio = 0.35
	// maxClockDrift is the maximum difference between the rates of two clocks.
	maxClockDrift = 0.01
	// claimDelay is the delay per rank that separates competing claims.
	claimDelay = 400 * time.Millisecond
	// quietMargin is added to the time for which a new lease holder gives no orders.
	quietMargin = 500 * time.Millisecond
	// maxSuspension is the suspension of the process from which it may have lost the lease without
	// noticing.
	maxSuspension = 100 * time.Millisecond
	// journalPoll is how long a read of the journal waits for entries. One without a response is
	// repeated after twice as long; until then the holder doesn't learn that the store is back.
	journalPoll = 2 * time.Second
	leaseScope  = "roles"
)

// leadership competes for the lease whose holder acts for the whole site: it orders roles and
// servers, and reports usage. Only a few daemons compete, so that the cost doesn't grow with their
// number. It is a suture.Service.
type leadership struct {
	member *Member
	log    infra.Log
	logger *slog.Logger
	// ledger folds the journal's usage reports; nil if usage isn't reported.
	ledger *usage.Ledger

	mu        sync.Mutex
	keeper    *lease.Keeper
	entries   *journal.Journal
	stopLease func()
	held      tenure
	// blockedUntil is when orders are allowed again after a suspension or a fenced order.
	blockedUntil time.Time
	// checkedAt and checkedBoot are the times of the last check by the monotonic clock and by one
	// that runs through suspensions.
	checkedAt   time.Time
	checkedBoot time.Duration
}

// String implements fmt.Stringer; the supervisor logs it.
func (l *leadership) String() string { return "leadership" }

// Serve implements suture.Service.
func (l *leadership) Serve(ctx context.Context) error {
	defer l.setCandidate(false)
	for ctx.Err() == nil {
		sleep(ctx, leadershipInterval)
		l.setCandidate(l.member.Ready() && l.member.peers.DutyRank() < maxCandidates)
		l.mayOrder(0)
		l.publishStatus()
	}
	return ctx.Err()
}

// publishStatus updates the lease status shown to operators.
func (l *leadership) publishStatus() {
	l.mu.Lock()
	keeper := l.keeper
	l.mu.Unlock()
	status := daemonstatus.Lease{Candidate: keeper != nil}
	if keeper != nil {
		authority, held := keeper.Authority()
		status.Held, status.FencingToken = held, authority.FencingToken
	}
	l.member.lease.Store(&status)
}

func (l *leadership) term() time.Duration { return l.member.cfg.Settings.LeaseTerm }

// setCandidate starts or stops competing for the lease.
func (l *leadership) setCandidate(candidate bool) {
	l.mu.Lock()
	stop := l.stopLease
	l.mu.Unlock()
	switch {
	case candidate && stop == nil:
		l.start()
	case !candidate && stop != nil:
		stop()
		l.mu.Lock()
		l.stopLease, l.keeper, l.entries, l.held = nil, nil, nil, tenure{}
		l.mu.Unlock()
		l.logger.Info("no longer a lease candidate")
	}
}

func (l *leadership) start() {
	s := l.member.cfg.Settings
	incarnation := strconv.FormatUint(l.member.peers.incarnation, 36)
	writer := s.Instance + "/member/" + incarnation
	entries := journal.New(l.log, journal.Config{Writer: writer, Retention: s.StoreRetention, LongPoll: journalPoll, Logger: l.logger})
	view := lease.NewView()
	entries.Register(journal.KindLease, view)
	if l.ledger != nil {
		entries.Register(journal.KindUsage, l.ledger)
	}
	keeper := lease.NewKeeper(lease.KeeperConfig{
		Config: lease.Config{
			Scope: leaseScope, Instance: s.Instance, Incarnation: incarnation,
			Term: l.term(), Renew: time.Duration(renewRatio * float64(l.term())), Drift: maxClockDrift,
			ClaimDelay: claimDelay * time.Duration(l.member.peers.DutyRank()), Retention: s.StoreRetention,
		},
		Writer: writer,
	}, entries, view, alwaysPresent{}, l.logger)
	ctx, cancel := context.WithCancel(context.Background())
	tree := suture.New("lease", suture.Spec{EventHook: l.member.logEvent, FailureBackoff: time.Second})
	tree.Add(entries)
	tree.Add(keeper)
	done := tree.ServeBackground(ctx)
	l.mu.Lock()
	l.keeper, l.entries = keeper, entries
	l.stopLease = func() {
		cancel()
		<-done
	}
	l.mu.Unlock()
	l.logger.Info("lease candidate")
}

// alwaysPresent makes leases expire by time alone: the platform's engines check fencing tokens.
type alwaysPresent struct{}

// Gone implements lease.Presence.
func (alwaysPresent) Gone(string, time.Time) bool { return false }

// Listed implements lease.Presence.
func (alwaysPresent) Listed(string) bool { return true }

// quietTime is how long a new holder waits before it gives orders that are not all checked for
// their fencing tokens: the former holder may have given its last one at the very end of its term.
func (l *leadership) quietTime() time.Duration { return l.term() + quietMargin }

// mayOrder reports whether this daemon holds the lease, and no other one has for a time.
func (l *leadership) mayOrder(heldFor time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.checkSuspension(now, boottime.Now())
	if l.keeper == nil {
		return false
	}
	authority, ok := l.keeper.Authority()
	if ok {
		l.logTenure(l.held.hold(authority.FencingToken, now))
	} else {
		l.logTenure(l.held.lapse())
	}
	return ok && l.held.heldFor(now) >= heldFor && now.After(l.blockedUntil)
}

// logTenure logs a change of the lease's tenure. l.mu is held.
func (l *leadership) logTenure(c tenureChange) {
	switch c {
	case tenureAcquired:
		l.logger.Info("lease acquired", "fence", l.held.token, "quiet_ms", l.quietTime().Milliseconds())
	case tenureLapsed:
		l.logger.Warn("lease lapsed", "fence", l.held.token)
	case tenureRegained:
		l.logger.Info("lease regained", "fence", l.held.token)
	}
}

// isLastHolder reports whether the journal has this daemon as the lease's holder. The term may be over.
func (l *leadership) isLastHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper != nil && l.keeper.IsLastHolder()
}

// checkSuspension blocks orders for a term after a suspension of the process: the monotonic clock,
// on which the lease depends, stands still meanwhile, and another daemon may have taken the lease.
// l.mu is held.
func (l *leadership) checkSuspension(now time.Time, boot time.Duration) {
	if !l.checkedAt.IsZero() {
		if suspended := (boot - l.checkedBoot) - now.Sub(l.checkedAt); suspended > maxSuspension {
			l.blockedUntil = now.Add(l.term())
			l.logger.Warn("suspension detected; no orders for a term", "by_ms", suspended.Milliseconds())
		}
	}
	l.checkedAt, l.checkedBoot = now, boot
}

// use begins an order under the lease and returns a function that ends it.
func (l *leadership) use(heldFor time.Duration) (lease.Authority, func(), bool) {
	l.mu.Lock()
	keeper := l.keeper
	l.mu.Unlock()
	if keeper == nil {
		return lease.Authority{}, nil, false
	}
	authority, done, ok := keeper.Use()
	if !ok {
		return lease.Authority{}, nil, false
	}
	if !l.mayOrder(heldFor) {
		done()
		return lease.Authority{}, nil, false
	}
	return authority, done, true
}

// fenced records that an order was refused for its fencing token: another daemon has held the
// lease since. Orders are allowed again after a term, with a higher token.
func (l *leadership) fenced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blockedUntil = time.Now().Add(l.term())
	if l.keeper != nil {
		l.keeper.Renumber()
	}
}

// append adds an entry to the journal, and returns once the local state machines have it.
func (l *leadership) append(ctx context.Context, e journal.Entry) error {
	l.mu.Lock()
	entries := l.entries
	l.mu.Unlock()
	if entries == nil {
		return errNotCandidate
	}
	_, err := entries.Append(ctx, e)
	return err
}
