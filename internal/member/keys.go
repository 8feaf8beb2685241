package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/apikey"
	"tamarackchute/internal/boottime"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/wire"
)

// keyCheckInterval is how often a daemon checks whether it needs another proof.
const keyCheckInterval = 50 * time.Millisecond

// keyView proves that no configuration newer than the one in force existed a short time ago. Only
// while it can may API keys be used: a newer one may have removed them.
type keyView struct {
	freshness *apikey.Freshness
	state     *fleet.State
	eras      *EraTracker
	// settle is how long after a restore of the store its configuration may be an older one.
	settle time.Duration
	// now is the clock of proofs, see package boottime.
	now func() time.Duration
	log *slog.Logger
	// era is the store's era for which reads were last rejected. eraMu guards it.
	eraMu sync.Mutex
	era   uint64
	// usable is the last state that was logged.
	usable bool
}

func newKeyView(s Settings, state *fleet.State, eras *EraTracker, log *slog.Logger) *keyView {
	return &keyView{
		freshness: apikey.NewFreshness(s.RevocationBound), state: state, eras: eras,
		settle: s.LapsedEntryGrace, now: boottime.Now, log: log,
	}
}

// enforced reports whether the configuration in force has keys whose removal has to be effective
// within a bound.
func (v *keyView) enforced() bool {
	c := v.state.Snapshot().Config
	return v.freshness.Limit() > 0 && c != nil && c.Keys != nil
}

// mayUse reports whether the keys of the configuration in force may be used now.
func (v *keyView) mayUse() bool {
	return !v.enforced() || v.freshness.MayUse(v.now())
}

// recordRead records a completed read of the configuration that was sent at a time.
func (v *keyView) recordRead(sentAt time.Duration) {
	v.followEra()
	if c := v.state.Snapshot().Config; c != nil {
		v.freshness.Record(apikey.Proof{Version: c.Version, SentAt: sentAt}, c.Version)
	}
}

// recordReply records a peer's proof. Its age counts from when the request was sent: how long the
// reply was on its way isn't known.
func (v *keyView) recordReply(m wire.ConfigProofReply) {
	c := v.state.Snapshot().Config
	if !m.Known || c == nil || !v.eras.Observe(m.Era, "another daemon") {
		return
	}
	v.freshness.RecordPeer(apikey.Proof{Version: m.Version, SentAt: m.RequestedAt - m.Age}, c.Version)
}

// followEra rejects proofs by reads of a store that was restored lately: its configuration may be
// older than one that was acknowledged before. When a daemon starts, any restore may be recent.
func (v *keyView) followEra() {
	v.eraMu.Lock()
	defer v.eraMu.Unlock()
	if era := v.eras.Current(); era != v.era {
		v.era = era
		v.freshness.RejectBefore(v.now() + v.settle)
	}
}

// reply returns this daemon's proof for a peer.
func (v *keyView) reply(m wire.ConfigProofRequest) wire.ConfigProofReply {
	latest, known := v.freshness.Latest()
	return wire.ConfigProofReply{
		RequestedAt: m.RequestedAt, Known: known, Version: latest.Version, Age: v.now() - latest.SentAt, Era: v.eras.Current(),
	}
}

// age returns the age of the latest proof; more than any limit if there is none.
func (v *keyView) age(now time.Duration) time.Duration {
	latest, known := v.freshness.Latest()
	if !known {
		return v.freshness.Limit() + time.Hour
	}
	return now - latest.SentAt
}

// logChange logs when keys become usable, and when they no longer are.
func (v *keyView) logChange(now time.Duration) {
	usable := v.freshness.MayUse(now)
	if usable == v.usable {
		return
	}
	v.usable = usable
	latest, _ := v.freshness.Latest()
	attrs := []any{"age_ms", v.age(now).Milliseconds(), "limit_ms", v.freshness.Limit().Milliseconds(), "version", latest.Version}
	if usable {
		v.log.Info("API keys usable", attrs...)
		return
	}
	v.log.Warn("API keys not usable: the configuration may be outdated", attrs...)
}

// keyProver seeks proofs for a keyView, from the store or from peers. It is a suture.Service.
type keyProver struct {
	view  *keyView
	peers *Peers
	// expediteRead makes the reader of the configuration read now.
	expediteRead func()
	// isFirst reports whether this daemon reads the store for the others.
	isFirst func() bool
}

// String implements fmt.Stringer; the supervisor logs it.
func (p *keyProver) String() string { return "prover of API keys" }

// Serve implements suture.Service.
func (p *keyProver) Serve(ctx context.Context) error {
	var eras conc.WaitGroup
	eras.Go(func() { p.followEras(ctx) })
	defer eras.Wait()
	search := apikey.Search{Limit: p.view.freshness.Limit(), Spread: rand.Float64()}
	for ctx.Err() == nil {
		sleep(ctx, keyCheckInterval)
		if p.view.enforced() {
			p.seek(&search)
		}
	}
	return ctx.Err()
}

// seek takes the next step of the search for a proof.
func (p *keyProver) seek(search *apikey.Search) {
	now := p.view.now()
	p.view.logChange(now)
	step := search.Next(now, p.view.age(now), p.isFirst())
	if step.Read {
		p.expediteRead()
	}
	request := wire.ConfigProofRequest{RequestedAt: now}
	if step.Ask {
		p.peers.askParent(request)
	}
	if step.AskAny {
		p.peers.askAny(request)
	}
}

// followEras follows the eras of the store that other reads or daemons report.
func (p *keyProver) followEras(ctx context.Context) {
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
