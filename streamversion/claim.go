package streamversion

import "time"

// Claim is one process's word on a pool, kept where it outlives all processes: up to a position in the
// log of upstreams' entries, no other version has served within the retention.
type Claim struct {
	Version   string
	Retention time.Duration
}

// Holds reports whether the claim still says all about a pool whose streams may be taken up within a
// retention.
func (c Claim) Holds(retention time.Duration) bool {
	return c.Version != "" && c.Retention >= retention
}

// Watch follows the versions of a pool in the log of upstreams' entries, which has them all; a list
// that is read now and then may miss one that came and went.
type Watch struct {
	// version is the only one seen since a time.
	version string
	since   time.Time
}

// NewWatch returns a watch that knows of no other version since a time.
func NewWatch(version string, since time.Time) Watch { return Watch{version, since} }

// See records the version of an entry. Earlier entries of another one may have begun streams until now.
func (w *Watch) See(version string, now time.Time) {
	if version != w.version {
		w.version, w.since = version, now
	}
}

// Claim returns what the watch can claim, if the pool has a sole version: that must be the one watched
// for the retention. Another one is watched from now on.
func (w *Watch) Claim(sole string, retention time.Duration, now time.Time) (Claim, bool) {
	w.See(sole, now)
	if now.Sub(w.since) < retention {
		return Claim{}, false
	}
	return Claim{Version: sole, Retention: retention}, true
}
