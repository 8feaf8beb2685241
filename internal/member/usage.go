package member

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/journal"
	"tamarackchute/usage"
)

const (
	// usagePushInterval is how often new counts go to the daemon that adds them up.
	usagePushInterval = 500 * time.Millisecond
	// usageHops is the number of daemons on the way from any daemon to the reporter, at most:
	// the load aggregator of its data centre, the root and the reporter, if it isn't the root.
	usageHops = 3
	// usageSettle is how long after the end of a window its counts come in.
	usageSettle = (usageHops + 2) * usagePushInterval
	// usageGiveUpFactor is the time after its end for which a window is reported, as a multiple of
	// the time within which it is due: a late report is better than none.
	usageGiveUpFactor = 2
	// reportInterval is how often the reporter looks for windows to report, maxReportBackoff its
	// longest pause after failures.
	reportInterval   = 250 * time.Millisecond
	maxReportBackoff = 2 * time.Second
	// reporterSettle is how long a new lease holder waits until the other daemons' counts have come
	// in, if the platform checks fencing tokens.
	reporterSettle = usageHops * usagePushInterval
	// providerTimeout limits one call to the platform, journalTimeout one entry in the journal.
	providerTimeout = time.Second
	journalTimeout  = 1500 * time.Millisecond
)

var errNotCandidate = errors.New("not a lease candidate")

// usageMeter counts the requests of this daemon's callers and collects other daemons' counts.
type usageMeter struct {
	settings    ProviderSettings
	clock       *usage.Clock
	table       *usage.Table
	instance    string
	incarnation uint64
}

// add counts a request that began to run some time ago.
func (u *usageMeter) add(organisation string, ago time.Duration) {
	w := usage.WindowAt(u.clock.Now().Add(-ago), u.settings.UsageWindow)
	u.table.Add(u.instance, u.incarnation, w, organisation)
}

func (u *usageMeter) schedule() usage.Schedule {
	return usage.Schedule{Length: u.settings.UsageWindow, Settle: usageSettle, GiveUp: usageGiveUpFactor * u.settings.UsageDue}
}

// usageSync passes counts on towards the reporter. It is a suture.Service.
type usageSync struct {
	meter      *usageMeter
	peers      *Peers
	leadership *leadership
	cfg        wire.Config
	log        *slog.Logger

	mu sync.Mutex
	// recipient is the address to which counts went last.
	recipient string
	seq       uint64
	// sent are the counts of the last report, until it is confirmed.
	sent []usage.Count
}

// String implements fmt.Stringer; the supervisor logs it.
func (s *usageSync) String() string { return "usage counts" }

// Serve implements suture.Service.
func (s *usageSync) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, usagePushInterval)
		s.meter.table.Forget(s.meter.schedule().Oldest(s.meter.clock.Now()))
		s.push(ctx)
	}
	return ctx.Err()
}

// push sends what the recipient hasn't confirmed.
func (s *usageSync) push(ctx context.Context) {
	to := s.peers.usageRecipient(s.leadership.holder())
	s.mu.Lock()
	if to.address != s.recipient {
		s.recipient, s.sent = to.address, nil
		s.meter.table.NewRecipient()
	}
	counts := s.meter.table.Undelivered()
	if to.address == "" || len(counts) == 0 {
		s.mu.Unlock()
		return
	}
	s.seq++
	report := wire.UsageReport{Seq: s.seq, Counts: counts}
	s.sent = counts
	s.mu.Unlock()
	if to.link != nil {
		to.link.Send(report)
		return
	}
	s.request(ctx, to.address, report)
}

// request sends a report to a daemon to which there is no link.
func (s *usageSync) request(ctx context.Context, address string, report wire.UsageReport) {
	ctx, cancel := context.WithTimeout(ctx, usagePushInterval)
	defer cancel()
	reply, err := wire.Request(ctx, s.cfg, address, report)
	if err != nil {
		s.log.Warn("usage counts not delivered", "to", address, "counts", len(report.Counts), "err", err)
		return
	}
	if ack, ok := reply.(wire.UsageAck); ok {
		s.confirm(address, ack)
	}
}

// confirm records that a recipient has a report.
func (s *usageSync) confirm(from string, ack wire.UsageAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == s.recipient && ack.Seq == s.seq {
		s.meter.table.Delivered(s.sent)
	}
}

// usageRecipient is where counts go next.
type usageRecipient struct {
	address string
	link    *wire.Link
}

// usageRecipient returns the daemon to which this one passes counts: towards the daemon that adds
// up the loads, from there to the lease holder. It is empty at the holder itself, or if there is
// none to send to.
func (p *Peers) usageRecipient(holder string) usageRecipient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if holder == p.self.Instance {
		return usageRecipient{}
	}
	if !p.fullMesh {
		if to, ok := p.parent.candidate(); ok {
			return usageRecipient{to.Peers, p.parent.link}
		}
	} else if first := p.firstServing(); first != nil && first.Peers < p.self.Peers {
		return usageRecipient{first.Peers, first.link}
	}
	for _, other := range p.peers {
		if holder != "" && other.Instance == holder {
			return usageRecipient{other.Peers, other.link}
		}
	}
	return usageRecipient{}
}

// usageReporter reports usage while this daemon holds the lease. What it reports of a window is
// written to the journal first, and only that is ever sent. It is a suture.Service.
type usageReporter struct {
	meter      *usageMeter
	leadership *leadership
	provider   Provider
	planner    *usage.Planner
	log        *slog.Logger
	backoff    time.Duration
}

// String implements fmt.Stringer; the supervisor logs it.
func (r *usageReporter) String() string { return "usage reports" }

// Serve implements suture.Service.
func (r *usageReporter) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, max(reportInterval, r.backoff/2+rand.N(r.backoff/2+1)))
		if r.leadership.mayOrder(r.heldFor()) {
			r.report(ctx)
		}
	}
	return ctx.Err()
}

// heldFor is how long the lease must have been held.
func (r *usageReporter) heldFor() time.Duration {
	if r.meter.settings.Fenced {
		return reporterSettle
	}
	return r.leadership.quietTime()
}

// report reports the windows that are due.
func (r *usageReporter) report(ctx context.Context) {
	steps := r.planner.Steps(r.meter.table.Windows(), r.meter.clock.Now())
	for _, step := range steps {
		if err := r.take(ctx, step); err != nil {
			r.backoff = min(max(reportInterval, 2*r.backoff), maxReportBackoff)
			r.log.Warn("usage not reported", "window", int64(step.Window), "err", err)
			return
		}
	}
	r.backoff = 0
}

// take decides what is reported of a window, if that is still open, and sends it.
func (r *usageReporter) take(ctx context.Context, step usage.Step) error {
	if step.Write {
		report, ok := r.leadership.ledger.Proposal(step.Window, r.meter.table.Sum(step.Window), r.meter.schedule().Reportable(step.Window))
		if !ok {
			r.planner.Confirmed(step.Window)
			r.log.Warn("usage of a window not reported: a report lost in a restore may have been sent", "window", int64(step.Window))
			return nil
		}
		if err := r.write(ctx, report); err != nil {
			return err
		}
		decided, ok := r.leadership.ledger.Decided(step.Window)
		if !ok {
			return errNotDecided
		}
		step.Send = decided
	}
	return r.send(ctx, step.Send)
}

var errNotDecided = errors.New("the journal has no report of the window")

// write appends a report to the journal. Another one may precede it there.
func (r *usageReporter) write(ctx context.Context, report usage.Report) error {
	body, err := report.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	id := fmt.Sprintf("usage/%d/%x", report.Window, r.meter.incarnation)
	if err := r.leadership.append(ctx, journal.Entry{Kind: journal.KindUsage, ID: id, Body: body}); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// send sends a report that the journal has.
func (r *usageReporter) send(ctx context.Context, report usage.Report) error {
	authority, done, ok := r.leadership.use(r.heldFor())
	if !ok {
		return errNotCandidate
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, providerTimeout)
	defer cancel()
	outcome, err := r.provider.ReportUsage(ctx, Holder{Instance: r.meter.instance, FencingToken: authority.FencingToken}, report)
	requests := usage.Count{Requests: report.Counts}
	r.log.Info("usage reported", "window", int64(report.Window), "organisations", len(report.Counts), "requests", requests.Total(),
		"fence", authority.FencingToken, "outcome", outcome.String(), "err", err)
	switch outcome {
	case ProviderAccepted:
		r.planner.Confirmed(report.Window)
		return nil
	case ProviderFenced, ProviderConflict:
		r.leadership.fenced()
	}
	return fmt.Errorf("the platform's answer is %s", outcome)
}
