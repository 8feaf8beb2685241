package freshness

import (
	"slices"
	"sync"
	"time"
)

// Standing is how current a process's copy of a document is, as far as it knows.
type Standing struct {
	// Version is the one in force, 0 if there is none.
	Version uint64
	// Newest is the newest version that another process has lately named, NamedBy who that was; 0 if
	// none has. Behind is the time since another process first named a version newer than the one in
	// force; 0 if none has.
	Newest  uint64
	NamedBy string
	Behind  time.Duration
	// Age is that of the latest proof, ProvenBy whose it is. Limit is the age at which a newer version
	// should have arrived.
	Age      time.Duration
	ProvenBy string
	Limit    Limit
}

// Outdated reports whether another process knows a newer version.
func (s Standing) Outdated() bool { return s.Newest > s.Version }

// overdueShare is the share of the limit after which a version that others have is overdue here. It was
// published before it was first named.
const overdueShare = 0.5

// Overdue reports whether a newer version has been in force elsewhere for so long that requests must not
// be run by the one in force here. A process that hears of no newer version serves whatever the age.
func (s Standing) Overdue() bool {
	return s.Outdated() && s.Limit > 0 && s.Behind >= time.Duration(overdueShare*float64(s.Limit))
}

// MayDeny reports whether a request may be refused for good by the version in force: a newer one might
// allow it. What the version in force allows may be served whatever its age.
func (s Standing) MayDeny() bool { return !s.Outdated() && s.Limit.Allows(s.Age) }

// nameTimeout is how long a version counts after it was last named. Live processes name theirs
// several times a second; after a restore of the source a version may be gone for good.
const nameTimeout = 5 * time.Second

// maxFirsts bounds the versions of which a process remembers when they were first named.
const maxFirsts = 32

// Named tracks the newest version that other processes name. The zero value is ready for use.
type Named struct {
	mu      sync.Mutex
	version uint64
	by      string
	at      time.Duration
	// firsts says when versions were first named, in the order of the versions.
	firsts []firstNamed
}

// firstNamed says when a version was first named.
type firstNamed struct {
	version uint64
	at      time.Duration
}

// Record records that a process has named a version.
func (n *Named) Record(version uint64, by string, now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now-n.at > nameTimeout {
		n.firsts = nil
	} else if version < n.version {
		return
	}
	if last := len(n.firsts) - 1; last < 0 || n.firsts[last].version < version {
		n.firsts = append(n.firsts, firstNamed{version, now})
	}
	if len(n.firsts) > maxFirsts {
		n.firsts = slices.Delete(n.firsts, 1, 2) // the earliest one says how long a process is behind
	}
	n.version, n.by, n.at = version, by, now
}

// Behind returns the time since a version newer than the one in force was first named, 0 if none has been
// named lately.
func (n *Named) Behind(inForce uint64, now time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now-n.at > nameTimeout {
		return 0
	}
	n.firsts = slices.DeleteFunc(n.firsts, func(f firstNamed) bool { return f.version <= inForce && f.version < n.version })
	if len(n.firsts) == 0 || n.firsts[0].version <= inForce {
		return 0
	}
	return now - n.firsts[0].at
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
