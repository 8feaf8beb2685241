package member

import (
	"reflect"

	"tamarackchute/internal/wire"
)

// settingsField describes a setting; name is used in messages.
type settingsField struct {
	name string
	get  func(*Settings) any
	// apply copies a new value into the current settings; nil for settings on which sockets or
	// the lease depend, which need a restart.
	apply func(now, next *Settings)
}

var settingsFields = []settingsField{
	{"instance name", func(s *Settings) any { return s.Instance }, nil},
	{"data centre", func(s *Settings) any { return s.DataCentre }, nil},
	{"callers' address", func(s *Settings) any { return s.Callers }, nil},
	{"ready address", func(s *Settings) any { return s.Ready }, nil},
	{"directory address", func(s *Settings) any { return s.Directory }, nil},
	{"metrics address", func(s *Settings) any { return s.Metrics }, nil},
	{"peers' address", func(s *Settings) any { return s.PeerAddress }, nil},
	{"peers' port", func(s *Settings) any { return s.PeerPort }, nil},
	{"store address", func(s *Settings) any { return s.Store }, nil},
	{"capacity", func(s *Settings) any { return s.Capacity }, nil},
	{"retry window", func(s *Settings) any { return s.RetryWindow }, nil},
	{"lease term", func(s *Settings) any { return s.LeaseTerm }, nil},
	{"store's retention", func(s *Settings) any { return s.StoreRetention }, nil},
	{"grace for lapsed entries", func(s *Settings) any { return s.LapsedEntryGrace }, nil},
	{"platform's calls", func(s *Settings) any { return s.Provider }, nil},
	{"bound of configurations", func(s *Settings) any { return s.ConfigBound }, nil},
	{"revocation bound", func(s *Settings) any { return s.RevocationBound }, nil},
	{"seeds", func(s *Settings) any { return s.Seeds }, func(now, next *Settings) { now.Seeds = next.Seeds }},
	{"memory", func(s *Settings) any { return s.MemoryBytes }, func(now, next *Settings) { now.MemoryBytes = next.MemoryBytes }},
	{"descriptors", func(s *Settings) any { return s.MaxDescriptors }, func(now, next *Settings) { now.MaxDescriptors = next.MaxDescriptors }},
	{"grace", func(s *Settings) any { return s.Grace }, func(now, next *Settings) { now.Grace = next.Grace }},
	{"retry ratio", func(s *Settings) any { return s.RetryRatio }, func(now, next *Settings) { now.RetryRatio = next.RetryRatio }},
	{"retry slack", func(s *Settings) any { return s.RetrySlack }, func(now, next *Settings) { now.RetrySlack = next.RetrySlack }},
	{"directory TTL", func(s *Settings) any { return s.DirectoryTTL }, func(now, next *Settings) { now.DirectoryTTL = next.DirectoryTTL }},
}

// Reload applies the settings that may change while the daemon runs. It returns the names of
// those applied and of those that take effect at the next start. It must not be called
// concurrently.
func (m *Member) Reload(next Settings) (applied, pending []string) {
	now := *m.settings.Load()
	for _, f := range settingsFields {
		switch {
		case reflect.DeepEqual(f.get(&now), f.get(&next)):
		case f.apply != nil:
			f.apply(&now, &next)
			applied = append(applied, f.name)
		default:
			pending = append(pending, f.name)
		}
	}
	m.settings.Store(&now)
	m.applySettings(&now)
	return applied, pending
}

// applySettings passes the current settings to the components that keep a copy.
func (m *Member) applySettings(s *Settings) {
	m.retryBudget.SetRatio(s.RetryRatio)
	limitMemory(s.MemoryBytes)
	m.limitRequests(s)
	for _, seed := range s.Seeds {
		m.peers.Add(wire.MemberAddress{Peers: seed})
	}
}
