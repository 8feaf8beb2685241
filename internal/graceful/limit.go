package graceful

import (
	"slices"
	"time"

	"tamarackchute/internal/bodylimit"
)

const (
	// stallTime is how long a caller may send nothing of a request, or less than progressBytes, before the connection may be
	// closed to make room for others.
	stallTime = time.Second
	// progressBytes is what a caller has to send within stallTime.
	progressBytes = 1 << 10
	// evictShare is the share of the connections that are closed at a time to make room.
	evictShare = 1.0 / 32
	// evictPause is the time between two searches for connections to close, if the first found none.
	evictPause = 100 * time.Millisecond
	// refusalLogInterval is the least time between two log lines on connections that are refused.
	refusalLogInterval = time.Second
	// closingShare is the share of the limit that connections may take in addition while they are being closed.
	closingShare = 0.25
)

// Limits bound what callers may make a server hold before their requests are complete.
type Limits struct {
	// Connections is the number of open connections; 0 means no limit. Those that have sent nothing for longest are closed
	// for new ones, but none whose request is complete.
	Connections int
	// Heads limits the bytes of requests' heads; nil for no limit.
	Heads *bodylimit.Limit
}

// SetLimits sets the limits on the connections. Those already open beyond them stay.
func (c *Connections) SetLimits(l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = l
}

// admits reports whether one more connection may be accepted.
func (c *Connections) admits() bool {
	c.mu.Lock()
	limit, open, ending := c.limits.Connections, len(c.open), c.ending
	c.mu.Unlock()
	if limit == 0 || open < limit {
		return true
	}
	most := limit + int(closingShare*float64(limit))
	if open < most && (open-ending < limit || c.evict(true) > 0) {
		return true
	}
	c.logRefusal(open, ending)
	return false
}

// logRefusal logs that connections are refused, once in refusalLogInterval.
func (c *Connections) logRefusal(open, ending int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused++
	if now := time.Now(); now.Sub(c.refusalLogged) >= refusalLogInterval {
		c.log.Warn("connections refused", "refused", c.refused, "connections", open, "closing", ending, "limit", c.limits.Connections)
		c.refused, c.refusalLogged = 0, now
	}
}

// evict closes some of the connections that have sent nothing for longest, and returns their number. idle says whether
// those that wait for a request count.
func (c *Connections) evict(idle bool) int {
	now := time.Now()
	if c.evictedInVain(now) {
		return 0
	}
	open := c.all()
	stalled := stalledOf(open, now, idle)
	n := 0
	for _, s := range stalled[:min(len(stalled), 1+int(evictShare*float64(len(open))))] {
		if s.conn.evict() {
			n++
		}
	}
	if n == 0 {
		c.mu.Lock()
		c.evictAfter = now.Add(evictPause)
		c.mu.Unlock()
		return 0
	}
	c.log.Info("connections closed for others", "closed", n, "stalled", len(stalled), "connections", len(open), "longest_ms", now.Sub(stalled[0].since).Milliseconds())
	return n
}

// evictedInVain reports whether no connection could be closed a moment ago.
func (c *Connections) evictedInVain(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.evictAfter)
}

// stalledConn is a connection whose caller has sent nothing since a time.
type stalledConn struct {
	conn  *conn
	since time.Time
}

// stalledOf returns the stalled ones of some connections, those that have sent nothing for longest first.
func stalledOf(open []*conn, now time.Time, idle bool) []stalledConn {
	var stalled []stalledConn
	for _, tracked := range open {
		if since, ok := tracked.stalledSince(now, idle); ok {
			stalled = append(stalled, stalledConn{tracked, since})
		}
	}
	slices.SortFunc(stalled, func(a, b stalledConn) int { return a.since.Compare(b.since) })
	return stalled
}

// stalledSince returns since when the caller has sent nothing, if that is long ago and no request of it is complete.
func (c *conn) stalledSince(now time.Time, idle bool) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.progressAt
	if !c.received {
		if !idle {
			return since, false
		}
		since = c.accepted
		if !c.responded.IsZero() {
			since = c.responded
		}
	}
	return since, !c.complete && !c.ending() && now.Sub(since) >= stallTime
}

// evict ends a connection without a complete request, unless it is being closed or has sent more. It reports whether it has.
func (c *conn) evict() bool {
	if !c.hasRequest() {
		_, began := c.closeIfIdle()
		return began
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete || c.ending() || c.hasUnread() { // after a standstill of this process, bytes may wait
		return false
	}
	c.evicted = true
	c.countEnding()
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection has failed
	return true
}

func (c *conn) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// ending reports whether the connection is being closed. c.mu is held.
func (c *conn) ending() bool { return c.evicted || c.closing || c.closed }

// countEnding counts the connection among those that are being closed. c.mu is held.
func (c *conn) countEnding() {
	if c.countedEnding {
		return
	}
	c.countedEnding = true
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.owner.ending++
}

// countReceived counts bytes that have been read of a head. c.mu is held.
func (c *conn) countReceived(n int) {
	now := time.Now()
	if c.sinceProgress += n; !c.received || c.sinceProgress >= progressBytes {
		c.progressAt, c.sinceProgress = now, 0
	}
	if !c.headRead {
		c.headBytes += n
	}
}

// holdHead counts the bytes of a head that isn't complete, and reports whether there is room for them.
func (c *conn) holdHead() bool {
	c.mu.Lock()
	bytes, counts := c.headBytes, !c.headRead
	c.mu.Unlock()
	if !counts || c.head.Hold(bytes) == nil {
		return true
	}
	c.owner.evict(false)
	return c.head.Hold(bytes) == nil
}
