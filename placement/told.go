package placement

import (
	"time"
)

// total returns the work in flight of all daemons.
func (e *entry) total() Load { return e.own.Plus(e.others) }

// setPeer replaces what a peer has there.
func (e *entry) setPeer(peer string, l Load) {
	e.others = e.others.Minus(e.peers[peer]).Plus(l)
	e.peers[peer] = l
}

func (e *entry) forgetPeer(peer string) {
	e.others = e.others.Minus(e.peers[peer])
	delete(e.peers, peer)
}

// unread returns the reading that all daemons wait for there, in milliseconds. Sums
// wrap around alike, so their difference is right.
func (e *entry) unread() float64 {
	all := e.total()
	unread := int32(all.PrefillSent - all.PrefillDone)
	return float64(max(0, unread)) / microsPerMilli * e.slowness
}

const microsPerMilli = 1000

// Reads returns what became of prompts since the last call.
func (b *Tracker) PrefillEvents() []PrefillEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	reads := b.reads
	b.reads = nil
	return reads
}

// Own returns what has changed of this daemon's load since the last call. With
// all, the whole load is returned.
func (b *Tracker) LocalLoads(all bool) []UpstreamLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []UpstreamLoad
	if all {
		for _, e := range b.upstreams {
			if !e.touched && e.own != (Load{}) {
				loads = append(loads, UpstreamLoad{Upstream: e.key(), Load: e.own})
			}
		}
	}
	for _, e := range b.touched {
		e.touched = false
		changed := e.own != e.told || (all && e.own != (Load{}))
		if changed && b.upstreams[e.ID] == e {
			e.told = e.own
			loads = append(loads, UpstreamLoad{Upstream: e.key(), Load: e.own})
		}
	}
	b.touched = b.touched[:0]
	return loads
}

// touch notes that this daemon's work at an upstream changes. b.mu is held.
func (b *Tracker) touch(e *entry) {
	if e.touched {
		return
	}
	e.touched = true
	b.touched = append(b.touched, e)
	if len(b.touched) == 1 && b.changed != nil {
		b.changed()
	}
}

// OnChange has f called when there is something new for Own to tell. f must not block, nor
// call the books.
func (b *Tracker) OnChange(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changed = f
}

// NotePeer takes what a peer says of its load at some upstreams.
func (b *Tracker) ApplyPeerUpdate(peer string, loads []UpstreamLoad, reads []PrefillEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, l := range loads {
		e := b.keys[l.Upstream]
		if e == nil {
			continue
		}
		before, known := e.peers[peer]
		e.setPeer(peer, l.Load)
		// A peer that was unknown, or has started anew, has added what it says at
		// an unknown time; only the difference to a known state is news.
		if known {
			e.noteAdded(now, l.Load.PrefillSent-before.PrefillSent, l.Load.TransferredTokens-before.TransferredTokens)
		}
	}
	for _, r := range reads {
		if e := b.keys[r.Engine]; e != nil && e.cache != nil {
			e.cache.note(r, now)
		}
	}
}

// noteAdded books the reading and the tokens to be fetched that a peer has sent.
func (e *entry) noteAdded(now time.Time, sent, moved uint32) {
	if sent < maxAdded {
		e.addReading(now, float64(sent)/microsPerMilli)
	}
	if moved < maxAdded {
		e.addMove(now, float64(moved)*e.TransferMillisPerToken)
	}
}

// addMove puts KV caches to be fetched at the end of those before them.
func (e *entry) addMove(now time.Time, millis float64) {
	if millis == 0 {
		return
	}
	e.link.add(now, millis)
	e.moved.add(now, millis)
}

// addReading puts reading at the end of the queue.
func (e *entry) addReading(now time.Time, millis float64) {
	if millis == 0 {
		return
	}
	millis *= e.slowness
	e.queue.add(now, millis)
	e.lately.add(now, millis)
}

// maxAdded is the most that a peer can have added between two states, in microseconds
// or tokens; a greater difference means that its count began anew.
const maxAdded = 1 << 24

// ForgetPeer drops the load of a peer that has fallen silent.
func (b *Tracker) ForgetPeer(peer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.upstreams {
		e.forgetPeer(peer)
	}
}
