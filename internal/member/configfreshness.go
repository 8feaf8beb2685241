package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/freshness"
	"tamarackchute/internal/boottime"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/wire"
)

// proofCheckInterval is how often a daemon checks whether it needs another proof.
const proofCheckInterval = 50 * time.Millisecond

// configFreshness tracks the proofs that no configuration newer than the one in force existed a short
// time ago.
type configFreshness struct {
	tracker freshness.Tracker
	// keyLimit is the age of a proof up to which API keys may be used: a newer configuration may have
	// removed them. bound is the age at which a newer one should have arrived.
	keyLimit freshness.Limit
	bound    freshness.Limit
	state    *fleet.State
	eras     *EraTracker
	// settle is how long after a restore of the store its configuration may be an older one.
	settle time.Duration
	// now is the clock of proofs, see package boottime.
	now func() time.Duration
	log *slog.Logger
	// named is what the other daemons say of their versions; rejects reports whether this one can't
	// decode the latest document, which they can: it goes on by the one before.
	named   freshness.Named
	rejects func() bool
	// receiving reports whether a newer configuration is arriving from the store; onChanging is called when
	// one is at a peer.
	receiving  func() bool
	onChanging func()
	// provenBy is whose proof is the latest; an atomic string.
	provenBy atomic.Value
	// era is the store's era for which reads were last rejected. eraMu guards it.
	eraMu sync.Mutex
	era   uint64
	// usable is the last state that was logged.
	usable bool
}

func newConfigFreshness(s Settings, state *fleet.State, eras *EraTracker, log *slog.Logger) *configFreshness {
	return &configFreshness{
		keyLimit: freshness.NewLimit(s.RevocationBound), bound: freshness.NewLimit(s.ConfigBound), state: state, eras: eras,
		settle: s.LapsedEntryGrace, now: boottime.Now, log: log, rejects: func() bool { return false },
		receiving: func() bool { return false }, onChanging: func() {},
	}
}

// enforcesKeys reports whether the configuration in force has keys whose removal has to be effective
// within a bound.
func (v *configFreshness) enforcesKeys() bool {
	c := v.state.Snapshot().Config
	return v.keyLimit > 0 && c != nil && c.Keys != nil
}

// keysUsable reports whether the keys of the configuration in force may be used now.
func (v *configFreshness) keysUsable() bool {
	return !v.enforcesKeys() || v.keyLimit.Allows(v.age(v.now()))
}

// recordRead records a completed read of the configuration that was sent at a time.
func (v *configFreshness) recordRead(sentAt time.Duration) {
	v.followEra()
	if c := v.state.Snapshot().Config; c != nil {
		v.record(v.tracker.Record(freshness.Proof{Version: c.Version, SentAt: sentAt}, c.Version), sourceStore)
	}
}

// record notes whose proof is the latest.
func (v *configFreshness) record(latest bool, by string) {
	if latest {
		v.provenBy.Store(by)
	}
}

// Standing implements relay.Configuration.
func (v *configFreshness) Standing() freshness.Standing {
	now := v.now()
	s := freshness.Standing{Age: v.age(now), Limit: v.bound}
	s.ProvenBy, _ = v.provenBy.Load().(string)
	s.Newest, s.NamedBy = v.named.Newest(now)
	if c := v.state.Snapshot().Config; c != nil {
		s.Version = c.Version
	}
	if !v.rejects() {
		s.Behind = v.named.Behind(s.Version, now)
	}
	return s
}

// RecordNamed implements relay.Configuration.
func (v *configFreshness) RecordNamed(version uint64, by string) {
	v.named.Record(version, by, v.now())
}

// recordReply records a peer's proof. Its age counts from when the request was sent: how long the
// reply was on its way isn't known.
func (v *configFreshness) recordReply(from string, m wire.ConfigProofReply) {
	c := v.state.Snapshot().Config
	if m.Changing {
		v.onChanging()
	}
	if !m.Known || c == nil || !v.eras.Observe(m.Era, "another daemon") {
		return
	}
	v.record(v.tracker.RecordPeer(freshness.Proof{Version: m.Version, SentAt: m.RequestedAt - m.Age}, c.Version), from)
}

// followEra rejects proofs by reads of a store that was restored lately: its configuration may be
// older than one that was acknowledged before. When a daemon starts, any restore may be recent.
func (v *configFreshness) followEra() {
	v.eraMu.Lock()
	defer v.eraMu.Unlock()
	if era := v.eras.Current(); era != v.era {
		v.era = era
		v.tracker.RejectBefore(v.now() + v.settle)
	}
}

// reply returns this daemon's proof for a peer.
func (v *configFreshness) reply(m wire.ConfigProofRequest) wire.ConfigProofReply {
	latest, known := v.tracker.Latest()
	return wire.ConfigProofReply{
		RequestedAt: m.RequestedAt, Known: known, Version: latest.Version, Age: v.now() - latest.SentAt, Era: v.eras.Current(),
		Changing: v.receiving(),
	}
}

// age returns the age of the latest proof.
func (v *configFreshness) age(now time.Duration) time.Duration { return v.tracker.Age(now) }

// logChange logs when keys become usable, and when they no longer are.
func (v *configFreshness) logChange(now time.Duration) {
	usable := v.keyLimit.Allows(v.age(now))
	if usable == v.usable {
		return
	}
	v.usable = usable
	latest, _ := v.tracker.Latest()
	attrs := []any{"age_ms", freshness.Millis(v.age(now)), "limit_ms", time.Duration(v.keyLimit).Milliseconds(), "version", latest.Version}
	if usable {
		v.log.Info("API keys usable", attrs...)
		return
	}
	v.log.Warn("API keys not usable: the configuration may be outdated", attrs...)
}

// configProver seeks proofs for a configFreshness, from the store or from peers. It is a suture.Service.
type configProver struct {
	view  *configFreshness
	peers *Peers
	// confirmRead reads the configuration now.
	confirmRead func(context.Context)
	// isFirst reports whether this daemon reads the store for the others.
	isFirst func() bool
}

// String implements fmt.Stringer; the supervisor logs it.
func (p *configProver) String() string { return "proofs of the configuration" }

// Serve implements suture.Service.
func (p *configProver) Serve(ctx context.Context) error {
	var calls conc.WaitGroup
	calls.Go(func() { p.followEras(ctx) })
	defer calls.Wait()
	spread := rand.Float64()
	keys := freshness.Search{Limit: p.view.keyLimit, Shares: freshness.KeyShares, Spread: spread}
	versions := freshness.Search{Limit: p.view.bound, Shares: freshness.ConfigShares, Spread: spread}
	for ctx.Err() == nil {
		sleep(ctx, proofCheckInterval)
		now := p.view.now()
		var step freshness.Step
		if p.view.enforcesKeys() {
			p.view.logChange(now)
			step = keys.Next(now, p.view.age(now), p.isFirst())
		}
		if p.view.bound > 0 {
			step = step.Or(versions.Next(now, p.view.age(now), p.isFirst()))
		}
		if step.Read {
			calls.Go(func() { p.confirmRead(ctx) })
		}
		p.ask(step, now)
	}
	return ctx.Err()
}

// ask asks other daemons for their proofs.
func (p *configProver) ask(step freshness.Step, now time.Duration) {
	request := wire.ConfigProofRequest{RequestedAt: now}
	if step.Ask {
		p.peers.askParent(request)
	}
	if step.AskAny {
		p.peers.askAny(request)
	}
}

// followEras follows the eras of the store that other reads or daemons report.
func (p *configProver) followEras(ctx context.Context) {
	for {
		changed := p.view.eras.Changed()
		p.view.followEra()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
