package membership

import "time"

// member is what a machine knows about one instance.
type member struct {
	Peer
	incarnation uint64

	// Of its heartbeats; for instances of the machine's own data centre only.
	seq     uint64
	heard   time.Time // zero if never
	leaving bool
	unheard map[string]uint64 // by name, the incarnation that it doesn't hear
	partial bool              // unheard isn't all

	// Of the platform's list.
	listed        bool
	unlistedAt    time.Time
	listedLeaving bool
	// leavingUpTo is the highest incarnation that listedLeaving is about.
	leavingUpTo uint64
}

// silent tells whether nothing was heard for so long.
func (m *member) silent(now time.Time, limit time.Duration) bool {
	return m.heard.IsZero() || now.Sub(m.heard) >= limit
}

// dropped tells whether the platform's list has let go of the instance since it
// was last heard. Such an instance doesn't run any more.
func (m *member) dropped() bool {
	return !m.listed && !m.heard.After(m.unlistedAt)
}

// withdrawn tells whether the platform takes this incarnation away. The list
// lags, so after a replacement it may still show the former one as leaving.
func (m *member) withdrawn() bool {
	return m.listedLeaving && m.incarnation <= m.leavingUpTo
}

// list takes the instance's row of the platform's list, or its absence.
func (m *member) list(listed, leaving bool, now time.Time) {
	if m.listed && !listed {
		m.unlistedAt = now
	}
	if leaving && !m.listedLeaving {
		m.leavingUpTo = m.incarnation
	}
	m.listed, m.listedLeaving = listed, leaving
}

// beat takes a heartbeat and reports whether it counts.
func (m *member) beat(h Heartbeat, now time.Time) bool {
	if h.Incarnation < m.incarnation || (h.Incarnation == m.incarnation && h.Seq <= m.seq) {
		return false
	}
	if m.incarnation == 0 && m.listedLeaving {
		// First heard of while the list says it is leaving: it is about this one.
		m.leavingUpTo = h.Incarnation
	}
	m.incarnation, m.seq = h.Incarnation, h.Seq
	m.heard = now
	m.leaving = h.Leaving
	m.partial = h.Truncated
	m.unheard = make(map[string]uint64, len(h.Silent))
	for _, s := range h.Silent {
		m.unheard[s.Name] = s.Incarnation
	}
	return true
}

// hears tells whether the instance's last heartbeat vouches for another.
func (m *member) hears(other *member) bool {
	_, unheard := m.unheard[other.Name]
	return !unheard && !m.partial
}
