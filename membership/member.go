package membership

import "time"

// member is what a Machine knows about one instance.
type member struct {
	Peer
	incarnation uint64

	// From its heartbeats; set only for instances of the local data centre.
	seq             uint64
	lastReceived    time.Time // zero if never
	leaving         bool
	silentPeers     map[string]uint64 // Heartbeat.Silent: incarnation by name
	silentTruncated bool              // silentPeers is incomplete

	// From the platform's list.
	listed            bool
	unlistedAt        time.Time
	listedTerminating bool
	// terminatingUpTo is the highest incarnation that listedTerminating refers to.
	terminatingUpTo uint64
}

// silentFor reports whether no heartbeat was received for at least limit.
func (m *member) silentFor(now time.Time, limit time.Duration) bool {
	return m.lastReceived.IsZero() || now.Sub(m.lastReceived) >= limit
}

// delisted reports whether the instance was removed from the platform's list
// after its last heartbeat. Such an instance is no longer running.
func (m *member) delisted() bool {
	return !m.listed && !m.lastReceived.After(m.unlistedAt)
}

// terminating reports whether the platform is terminating this incarnation. The
// list lags, so after a replacement it may still refer to the previous one.
func (m *member) terminating() bool {
	return m.listedTerminating && m.incarnation <= m.terminatingUpTo
}

// updateListing applies the instance's row of the platform's list, or its absence.
func (m *member) updateListing(listed, terminating bool, now time.Time) {
	if m.listed && !listed {
		m.unlistedAt = now
	}
	if terminating && !m.listedTerminating {
		m.terminatingUpTo = m.incarnation
	}
	m.listed, m.listedTerminating = listed, terminating
}

// acceptHeartbeat applies a heartbeat, and reports false if it is outdated.
func (m *member) acceptHeartbeat(h Heartbeat, now time.Time) bool {
	if h.Incarnation < m.incarnation || (h.Incarnation == m.incarnation && h.Seq <= m.seq) {
		return false
	}
	if m.incarnation == 0 && m.listedTerminating {
		// This is the first heartbeat, so the list refers to its incarnation.
		m.terminatingUpTo = h.Incarnation
	}
	m.incarnation, m.seq = h.Incarnation, h.Seq
	m.lastReceived = now
	m.leaving = h.Leaving
	m.silentTruncated = h.Truncated
	m.silentPeers = make(map[string]uint64, len(h.Silent))
	for _, s := range h.Silent {
		m.silentPeers[s.Name] = s.Incarnation
	}
	return true
}

// vouchesFor reports whether the instance's last heartbeat shows that it receives
// heartbeats of another instance.
func (m *member) vouchesFor(other *member) bool {
	_, silent := m.silentPeers[other.Name]
	return !silent && !m.silentTruncated
}
