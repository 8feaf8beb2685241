package member

import (
	"reflect"

	"tamarackchute/internal/wire"
)

// settingsField is a setting by its name in messages.
type settingsField struct {
	name string
	// live says that a running daemon takes a new value over; the others are what
	// its sockets and its part in the lease are built on.
	live bool
	of   func(*Settings) any
}

var settingsFields = []settingsField{
	{"instance name", false, func(s *Settings) any { return s.Instance }},
	{"data centre", false, func(s *Settings) any { return s.DataCentre }},
	{"callers' address", false, func(s *Settings) any { return s.Callers }},
	{"ready address", false, func(s *Settings) any { return s.Ready }},
	{"directory address", false, func(s *Settings) any { return s.Directory }},
	{"metrics address", false, func(s *Settings) any { return s.Metrics }},
	{"peers' address", false, func(s *Settings) any { return s.PeerAddress }},
	{"peers' port", false, func(s *Settings) any { return s.PeerPort }},
	{"store address", false, func(s *Settings) any { return s.Store }},
	{"capacity", false, func(s *Settings) any { return s.Capacity }},
	{"retry window", false, func(s *Settings) any { return s.RetryWindow }},
	{"lease term", false, func(s *Settings) any { return s.LeaseTerm }},
	{"store's retention", false, func(s *Settings) any { return s.StoreKeeps }},
	{"return of lapsed entries", false, func(s *Settings) any { return s.ReturnWithin }},
	{"seeds", true, func(s *Settings) any { return s.Seeds }},
	{"memory", true, func(s *Settings) any { return s.MemoryBytes }},
	{"grace", true, func(s *Settings) any { return s.Grace }},
	{"retry ratio", true, func(s *Settings) any { return s.RetryRatio }},
	{"retry slack", true, func(s *Settings) any { return s.RetrySlack }},
	{"directory's time to keep", true, func(s *Settings) any { return s.DirectoryTTL }},
}

// Reload takes over the settings that may change while the daemon runs. It
// returns the names of those that it has taken over and of those that count from
// the next start only. It must not be called twice at a time.
func (m *Member) Reload(next Settings) (applied, pending []string) {
	now := *m.settings.Load()
	for _, f := range settingsFields {
		switch {
		case reflect.DeepEqual(f.of(&now), f.of(&next)):
		case f.live:
			applied = append(applied, f.name)
		default:
			pending = append(pending, f.name)
		}
	}
	now.Seeds, now.MemoryBytes, now.Grace = next.Seeds, next.MemoryBytes, next.Grace
	now.RetryRatio, now.RetrySlack, now.DirectoryTTL = next.RetryRatio, next.RetrySlack, next.DirectoryTTL
	m.settings.Store(&now)
	m.applySettings(&now)
	return applied, pending
}

// applySettings hands the live settings to the parts that keep them.
func (m *Member) applySettings(s *Settings) {
	m.budget.SetRatio(s.RetryRatio)
	limitMemory(s.MemoryBytes)
	for _, seed := range s.Seeds {
		m.peers.Learn(wire.MemberAddress{Peers: seed})
	}
}
