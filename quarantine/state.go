package quarantine

import (
	"sort"
	"time"

	"tamarackchute/internal/codec"
	"tamarackchute/journal"
)

// Config sets the fold. It must be alike in all processes.
type Config struct {
	// SuspectFor and QuarantineFor are how long a suspicion and a quarantine
	// last, by the log's clock.
	SuspectFor    time.Duration
	QuarantineFor time.Duration
	// IsolateFor bounds an isolated run whose end nobody reported.
	IsolateFor time.Duration
	// CrashDedupWindow is the time within which reports of one upstream's death
	// without an incarnation mean the same crash.
	CrashDedupWindow time.Duration
	// MaxDigests bounds the digests known; the oldest suspect goes first.
	MaxDigests int
}

// DefaultConfig returns the settings used where nothing else is said.
func DefaultConfig() Config {
	return Config{
		SuspectFor:       10 * time.Minute,
		QuarantineFor:    time.Hour,
		IsolateFor:       time.Minute,
		CrashDedupWindow: 15 * time.Second,
		MaxDigests:       4096,
	}
}

// The numbers of crashes that quarantine a digest: of strikes, crashes of
// different upstreams with no success between them; and of crashes whatever
// happened between them, for a request that only crashes at times.
const (
	maxStrikes = 2
	maxCrashes = 3
)

// suspect is what is known of a digest.
type suspect struct {
	digest      Digest
	crashes     []crash
	strikes     int
	lastStrike  string // upstream of the last strike
	quarantined time.Time
	last        time.Time // log time of the last crash
	basis       journal.Position
	// written is the log time of the newest entry that tells of it.
	written time.Time
}

// hold is an upstream kept for one suspect.
type hold struct {
	digest Digest
	since  time.Time
}

// released is an operator's release. It is remembered as long as a quarantine
// lasts, or a checkpoint that a lagging process writes after it would bring
// the quarantine back.
type released struct {
	release  Release
	position journal.Position
	at       time.Time
	written  time.Time
}

// State is the folded quarantine. It isn't safe for use by many goroutines;
// Guard is.
type State struct {
	cfg      Config
	suspects map[Digest]*suspect
	holds    map[string]hold
	released map[Digest]released
	// touched are the digests that the last crash report named, crashed the
	// upstream that it was about.
	touched []Digest
	crashed string
	// entered are the quarantines that began with the last entry.
	entered []Entered
	logNow  time.Time
	readAt  time.Time
}

// NewState makes an empty state.
func NewState(cfg Config) *State {
	return &State{cfg: cfg, suspects: map[Digest]*suspect{}, holds: map[string]hold{}, released: map[Digest]released{}}
}

// Apply folds an entry. Bodies that can't be read are skipped, alike at every
// process.
func (s *State) Apply(p journal.Placed) {
	s.touched = s.touched[:0]
	s.entered = s.entered[:0]
	if p.At.After(s.logNow) {
		s.logNow = p.At
		s.readAt = p.ReadAt
	}
	if p.Entry.Kind != journal.KindQuarantine {
		return
	}
	var m message
	if codec.Unmarshal(p.Entry.Body, &m) != nil {
		return
	}
	s.expire()
	switch {
	case m.Crash != nil:
		s.applyCrash(m.Crash, p)
	case m.Isolate != nil:
		s.applyIsolate(m.Isolate)
	case m.Cleared != nil:
		s.applyCleared(m.Cleared, p)
	case m.Release != nil:
		s.applyRelease(m.Release, p)
	case m.Checkpoint != nil:
		s.applyCheckpoint(m.Checkpoint, p)
	}
}

func (s *State) applyCrash(c *Crash, p journal.Placed) {
	s.touched = append(append(s.touched, c.Suspects...), c.Doubtful...)
	s.crashed = c.Upstream
	for _, d := range c.Suspects {
		s.strike(d, c, p, true)
	}
	for _, d := range c.Doubtful {
		s.strike(d, c, p, false)
	}
	delete(s.holds, c.Upstream)
	s.bound()
}

// strike counts a crash against a digest, once for each crash.
func (s *State) strike(d Digest, c *Crash, p journal.Placed, counts bool) {
	x := s.suspects[d]
	if x == nil {
		x = &suspect{digest: d}
		s.suspects[d] = x
	}
	x.basis = p.Position
	x.written = p.At
	if s.knows(x, c, p.At) {
		return
	}
	x.crashes = append(x.crashes, crash{c.Upstream, c.Incarnation, p.At})
	x.last = p.At
	if counts && x.lastStrike != c.Upstream {
		x.strikes++
		x.lastStrike = c.Upstream
	}
	if x.quarantined.IsZero() && (x.strikes >= maxStrikes || len(x.crashes) >= maxCrashes) {
		x.quarantined = p.At
		s.entered = append(s.entered, x.entered(p))
	}
}

// knows reports whether a digest's crash is one already counted. Several
// instances see the same upstream die and each reports it.
func (s *State) knows(x *suspect, c *Crash, at time.Time) bool {
	for _, have := range x.crashes {
		if have.Upstream != c.Upstream {
			continue
		}
		if have.Incarnation != "" && have.Incarnation == c.Incarnation {
			return true
		}
		oneUnknown := have.Incarnation == "" || c.Incarnation == ""
		if oneUnknown && at.Sub(have.At) < s.cfg.CrashDedupWindow {
			return true
		}
	}
	return false
}

// applyIsolate gives an upstream to a suspect, unless another has it or the
// suspect has another: two runs at once could crash two.
func (s *State) applyIsolate(i *isolate) {
	if _, held := s.holds[i.Upstream]; held {
		return
	}
	for _, h := range s.holds {
		if h.digest == i.Digest {
			return
		}
	}
	s.holds[i.Upstream] = hold{i.Digest, s.logNow}
}

func (s *State) applyCleared(c *cleared, p journal.Placed) {
	if s.holds[c.Upstream].digest == c.Digest {
		delete(s.holds, c.Upstream)
	}
	x := s.suspects[c.Digest]
	if !c.Passed || x == nil || !x.quarantined.IsZero() {
		return
	}
	x.strikes = 0
	x.lastStrike = ""
	x.basis = p.Position
	x.written = p.At
}

func (s *State) applyRelease(r *Release, p journal.Placed) {
	mark := released{*r, r.Basis, r.At, p.At}
	if r.Basis.IsZero() {
		mark.position, mark.at = p.Position, p.At
	}
	if mark.position.Less(s.released[r.Digest].position) {
		return
	}
	s.released[r.Digest] = mark
	if x := s.suspects[r.Digest]; x != nil && x.basis.Less(mark.position) {
		delete(s.suspects, r.Digest)
	}
}

// applyCheckpoint restores what a process that began to read later can't know.
func (s *State) applyCheckpoint(c *checkpoint, p journal.Placed) {
	x := s.suspects[c.Digest]
	if x != nil && c.Basis.Less(x.basis) {
		return
	}
	if len(c.Crashes) == 0 || c.Basis.Less(s.released[c.Digest].position) {
		return
	}
	fresh := &suspect{
		digest:      c.Digest,
		crashes:     c.Crashes,
		strikes:     c.Strikes,
		quarantined: c.Quarantined,
		last:        c.Crashes[len(c.Crashes)-1].At,
		basis:       c.Basis,
		written:     p.At,
	}
	if c.Strikes > 0 {
		fresh.lastStrike = c.Crashes[len(c.Crashes)-1].Upstream
	}
	s.suspects[c.Digest] = fresh
	s.bound()
}

// ends is when what is known of a digest expires, by the log's clock.
func (s *State) ends(x *suspect) time.Time {
	if !x.quarantined.IsZero() {
		return x.quarantined.Add(s.cfg.QuarantineFor)
	}
	return x.last.Add(s.cfg.SuspectFor)
}

// expire forgets what has run out by the log's clock.
func (s *State) expire() {
	for d, x := range s.suspects {
		if !s.logNow.Before(s.ends(x)) {
			delete(s.suspects, d)
		}
	}
	for d, r := range s.released {
		if s.logNow.Sub(r.at) >= s.cfg.QuarantineFor {
			delete(s.released, d)
		}
	}
	for u, h := range s.holds {
		if s.logNow.Sub(h.since) >= s.cfg.IsolateFor {
			delete(s.holds, u)
		}
	}
}

// bound forgets the oldest suspects beyond the number allowed, then the oldest
// quarantined.
func (s *State) bound() {
	over := len(s.suspects) - s.cfg.MaxDigests
	if over <= 0 {
		return
	}
	all := make([]*suspect, 0, len(s.suspects))
	for _, x := range s.suspects {
		all = append(all, x)
	}
	sort.Slice(all, func(i, j int) bool { return goesBefore(all[i], all[j]) })
	for _, x := range all[:over] {
		delete(s.suspects, x.digest)
	}
}

// goesBefore orders digests for forgetting; it must be total, for all
// processes have to forget the same.
func goesBefore(a, b *suspect) bool {
	if a.quarantined.IsZero() != b.quarantined.IsZero() {
		return a.quarantined.IsZero()
	}
	if !a.last.Equal(b.last) {
		return a.last.Before(b.last)
	}
	if a.digest.A != b.digest.A {
		return a.digest.A < b.digest.A
	}
	return a.digest.B < b.digest.B
}
