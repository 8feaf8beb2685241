package member

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"tamarackchute/internal/fleet"
	"tamarackchute/internal/wire"
)

// configFeed applies new versions of the configuration.
type configFeed struct {
	decoder Decoder
	state   *fleet.State
	log     *slog.Logger
}

func (f *configFeed) apply(entries []Entry) {
	for _, e := range entries {
		c, ok, err := f.decoder.Config(e)
		if err != nil {
			f.log.Warn("invalid configuration; keeping the current one", "err", err)
			continue
		}
		if ok && f.state.ApplyConfig(c) {
			f.log.Info("configuration applied", "version", c.Version, "rules", len(c.Rules.Rules()))
		}
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
		if err := json.Unmarshal(e.Value, &a); err != nil {
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
			a.backoff.recordSuccess()
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
