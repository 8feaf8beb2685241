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
	// usageHops is the number of steps on the way of a count to the reporter, at most: to the load
	// aggregator of its data centre, to the root, and to the reporter, if it isn't the root.
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
	// in, if the platform checks fencing tokens. While its lease has lapsed, it goes on fetching them.
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

// usageSync passes counts on to the daemon that adds them up. The lease holder, if that is another
// one, fetches them from there: that daemon may be cut off from the journal, which names the
// holder. It is a suture.Service.
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

	// source is the address from which counts are fetched, firstSource the one at which the search
	// for it began; incarnation and version are those of the source's last reply.
	source, firstSource  string
	incarnation, version uint64
}

// String implements fmt.Stringer; the supervisor logs it.
func (s *usageSync) String() string { return "usage counts" }

// Serve implements suture.Service.
func (s *usageSync) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, usagePushInterval)
		s.meter.table.Forget(s.meter.schedule().Oldest(s.meter.clock.Now()))
		s.push()
		if s.leadership.isLastHolder() {
			s.fetch(ctx)
		}
	}
	return ctx.Err()
}

// push sends what the recipient hasn't confirmed.
func (s *usageSync) push() {
	address, link := s.peers.usageRecipient()
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != s.recipient {
		s.recipient, s.sent = address, nil
		s.meter.table.NewRecipient()
	}
	if link == nil {
		return
	}
	counts := s.meter.table.Undelivered()
	if len(counts) == 0 {
		return
	}
	s.seq++
	s.sent = counts
	link.Send(wire.UsageReport{Seq: s.seq, Counts: counts})
}

// confirm records that a recipient has a report.
func (s *usageSync) confirm(from string, ack wire.UsageAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == s.recipient && ack.Seq == s.seq {
		s.meter.table.Delivered(s.sent)
	}
}

// fetch gets the counts of the daemon that adds them up, if that is another one. It asks each
// daemon on the way there who the next one is.
func (s *usageSync) fetch(ctx context.Context) {
	first, _ := s.peers.usageRecipient()
	if first == "" {
		return
	}
	if s.source == "" || first != s.firstSource {
		s.firstSource = first
		s.setSource(first)
	}
	ctx, cancel := context.WithTimeout(ctx, usagePushInterval)
	defer cancel()
	reply, err := wire.Request(ctx, s.cfg, s.source, wire.UsageRequest{Incarnation: s.incarnation, Since: s.version})
	if err != nil {
		s.log.Warn("usage counts not fetched", "from", s.source, "err", err)
		s.setSource(first)
		return
	}
	m, ok := reply.(wire.UsageReply)
	if !ok {
		return
	}
	s.meter.table.Merge(m.Counts)
	s.incarnation, s.version = m.Incarnation, m.Version
	if m.Recipient != "" && m.Recipient != s.peers.self.Peers {
		s.setSource(m.Recipient)
	}
}

// setSource sets the daemon to ask next.
func (s *usageSync) setSource(address string) {
	if address != s.source {
		s.source, s.incarnation, s.version = address, 0, 0
	}
}

// reply returns the counts that a peer lacks.
func (s *usageSync) reply(m wire.UsageRequest) wire.UsageReply {
	since := m.Since
	if m.Incarnation != s.meter.incarnation {
		since = 0
	}
	counts, version := s.meter.table.Since(since)
	recipient, _ := s.peers.usageRecipient()
	return wire.UsageReply{Incarnation: s.meter.incarnation, Version: version, Counts: counts, Recipient: recipient}
}

// usageRecipient returns the daemon to which this one passes counts, and the link to it: the one
// to which it reports loads, or the first in rank of a small site. It is empty at that daemon until it
// leaves; then it is a neighbour that stays.
func (p *Peers) usageRecipient() (string, *wire.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaving := p.leaving != nil && p.leaving()
	if !p.fullMesh {
		if to, ok := p.parent.candidate(); ok {
			return to.Peers, p.parent.link
		}
	}
	first := p.firstServing()
	if first != nil && (leaving || p.fullMesh && first.Peers < p.self.Peers) {
		return first.Peers, first.link
	}
	return "", nil
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
			r.log.Warn("usage of a window not reported: a report that this daemon hasn't read may have been sent", "window", int64(step.Window))
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
	body, err := r.leadership.ledger.Record(report).Encode()
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
