package member

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"tamarackchute/internal/daemonstatus"
	"tamarackchute/internal/fleet"
	"tamarackchute/internal/wire"
)

// configFeed applies new versions of the configuration.
type configFeed struct {
	decoder Decoder
	state   *fleet.State
	// rejected counts the documents that can't be decoded.
	rejected tally.Counter
	// lastRejection is that of the latest document; nil if it was accepted.
	lastRejection atomic.Pointer[daemonstatus.ConfigRejection]
	// storeRejected says that the store's latest document was rejected.
	storeRejected atomic.Bool
	log           *slog.Logger
}

// sourceStore names the store as the source of a configuration or a proof.
const sourceStore = "store"

// upToDate reports whether the store's latest document was accepted: a rejected one may have taken away
// what the configuration in force allows.
func (f *configFeed) upToDate() bool { return !f.storeRejected.Load() }

func newConfigFeed(decoder Decoder, state *fleet.State, scope tally.Scope, log *slog.Logger) *configFeed {
	return &configFeed{decoder: decoder, state: state, rejected: scope.Counter("configs_rejected"), log: log}
}

func (f *configFeed) apply(entries []Entry) {
	for _, e := range entries {
		if c, ok, err := f.decoder.Config(e); ok || err != nil {
			f.accept(c, err, sourceStore)
		}
	}
}

// accept applies a decoded configuration, or records that it was rejected. The current one stays in
// force then.
func (f *configFeed) accept(c *fleet.Config, err error, from string) {
	if from == sourceStore {
		f.storeRejected.Store(err != nil)
	}
	if err != nil {
		f.rejected.Inc(1)
		f.lastRejection.Store(&daemonstatus.ConfigRejection{At: time.Now(), From: from, Error: err.Error()})
		f.log.Error("configuration rejected; keeping the current one", "from", from, "err", err)
		return
	}
	f.lastRejection.Store(nil)
	if f.state.ApplyConfig(c) {
		f.log.Info("configuration applied", "version", c.Version, "rules", len(c.Rules.Rules()), "from", from)
	}
}

// memberFeed adds other daemons from their entries.
type memberFeed struct {
	peers *Peers
	log   *slog.Logger
}

func (f *memberFeed) apply(entries []Entry) {
	for _, e := range entries {
		if e.Value == nil {
			continue
		}
		var a wire.MemberAddress
		err := json.Unmarshal(e.Value, &a)
		if err == nil {
			err = a.Validate()
		}
		if err != nil {
			f.log.Warn("invalid daemon entry ignored", "key", e.Key, "err", err)
			continue
		}
		f.peers.Add(a)
	}
}

// announcer writes this daemon's entry, by which others find it, once in each era of the store:
// an entry written just before a restore is lost.
type announcer struct {
	store   Store
	self    wire.MemberAddress
	backoff *backoff
	daemons func() int
	log     *slog.Logger
}

// String implements fmt.Stringer; the supervisor logs it.
func (a *announcer) String() string { return "announcer" }

// Serve implements suture.Service.
func (a *announcer) Serve(ctx context.Context) error {
	value, err := json.Marshal(a.self)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		a.backoff.await(ctx)
		start := time.Now()
		restored := a.store.Eras().Changed()
		call, cancel := context.WithTimeout(ctx, CallTimeout)
		err := a.store.Put(call, TopicMembers, Entry{Key: a.self.Instance, Value: value})
		cancel()
		if err == nil {
			a.backoff.recordSuccess(time.Now())
			a.log.Info("daemon's entry written", "address", a.self.Peers, "era", a.store.Eras().Current())
			select {
			case <-ctx.Done():
			case <-restored:
				sleep(ctx, spreadDelay(a.daemons()))
			}
			continue
		}
		a.log.Warn("writing the daemon's entry failed", "err", err)
		a.backoff.recordFailure(start, time.Now())
	}
	return ctx.Err()
}
