package freshness

import (
	"sync"
	"time"
)

// Standing is how current a process's copy of a document is, as far as it knows.
type Standing struct {
	// Version is the one in force, 0 if there is none.
	Version uint64
	// Newest is the newest version that another process has lately named, NamedBy who that was; 0 if
	// none has.
	Newest  uint64
	NamedBy string
	// Age is that of the latest proof, ProvenBy whose it is. Limit is the age at which a newer version
	// should have arrived.
	Age      time.Duration
	ProvenBy string
	Limit    Limit
}

// Outdated reports whether another process knows a newer version.
func (s Standing) Outdated() bool { return s.Newest > s.Version }

// MayDeny reports whether a request may be refused for good by the version in force: a newer one might
// allow it. What the version in force allows may be served whatever its age.
func (s Standing) MayDeny() bool { return !s.Outdated() && s.Limit.Allows(s.Age) }

// nameTimeout is how long a version counts after it was last named. Live processes name theirs
// several times a second; after a restore of the source a version may be gone for good.
const nameTimeout = 5 * time.Second

// Named tracks the newest version that other processes name. The zero value is ready for use.
type Named struct {
	mu      sync.Mutex
	version uint64
	by      string
	at      time.Duration
}

// Record records that a process has named a version.
func (n *Named) Record(version uint64, by string, now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version >= n.version || now-n.at > nameTimeout {
		n.version, n.by, n.at = version, by, now
	}
}

// Newest returns the newest version named lately, and by whom; 0 if there is none.
func (n *Named) Newest(now time.Duration) (version uint64, by string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now-n.at > nameTimeout {
		return 0, ""
	}
	return n.version, n.by
}
