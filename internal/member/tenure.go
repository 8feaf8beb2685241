package member

import "time"

// tenure says since when this process has been the only holder of the lease. A late renewal leaves a gap in
// the authority; while the fencing token stays the same, no other process has had the lease meanwhile.
type tenure struct {
	token  uint64
	since  time.Time
	lapsed bool
}

// tenureChange is what an observation of the lease has changed.
type tenureChange int

const (
	tenureUnchanged tenureChange = iota
	tenureAcquired
	tenureRegained
	tenureLapsed
)

// hold records that this process has authority under a fencing token.
func (t *tenure) hold(token uint64, now time.Time) tenureChange {
	switch {
	case t.since.IsZero() || t.token != token:
		*t = tenure{token: token, since: now}
		return tenureAcquired
	case t.lapsed:
		t.lapsed = false
		return tenureRegained
	}
	return tenureUnchanged
}

// lapse records that this process has no authority.
func (t *tenure) lapse() tenureChange {
	if t.since.IsZero() || t.lapsed {
		return tenureUnchanged
	}
	t.lapsed = true
	return tenureLapsed
}

// heldFor returns for how long no other process has had the lease, 0 without authority.
func (t *tenure) heldFor(now time.Time) time.Duration {
	if t.since.IsZero() || t.lapsed {
		return 0
	}
	return now.Sub(t.since)
}
