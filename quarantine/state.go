package quarantine

import (
	"slices"
	"sort"
	"time"

	"tamarackchute/internal/codec"
	"tamarackchute/journal"
)

// Config configures the fold. It must be the same in all processes.
type Config struct {
	// SuspectFor and QuarantineFor are how long a digest stays a suspect or
	// quarantined, by the log's clock.
	SuspectFor    time.Duration
	QuarantineFor time.Duration
	// IsolateFor bounds an isolated run whose end isn't reported.
	IsolateFor time.Duration
	// CrashDedupWindow is the time within which two reports of a crash of the same
	// upstream mean the same crash if either has no incarnation.
	CrashDedupWindow time.Duration
	// Kind is the kind of the journal's entries. Two folds of different settings need two kinds.
	Kind journal.Kind
	// MaxDigests bounds the known digests; the oldest suspect is evicted first.
	MaxDigests int
	// MaxStrikes and MaxCrashes are the numbers of crashes that quarantine a digest. Strikes are
	// crashes of different upstreams without progress in between; MaxCrashes counts all crashes,
	// to catch a request that crashes upstreams only sometimes.
	MaxStrikes, MaxCrashes int
	// PartTrialStrikes is the number of strikes from which requests with a part of prompts run one at a
	// time: a part that many requests have is in flight at most crashes, and soon answered.
	// MaxPartStrikes is that from which they are refused, if at least MinPartTrials of the crashes ended
	// trials: many upstreams may crash of another cause before the next answer.
	PartTrialStrikes, MaxPartStrikes, MinPartTrials int
	// MinAnsweredTrials is how many of the crashes must have ended trials before a request is refused that
	// was answered lately: upstreams that crash at one moment crash with it in flight, if many callers send it.
	// With 0, what was answered lately gets no strikes instead.
	MinAnsweredTrials int
}

// DefaultConfig returns the settings of processes that isolate suspects.
func DefaultConfig() Config {
	return Config{
		SuspectFor:       10 * time.Minute,
		QuarantineFor:    time.Hour,
		IsolateFor:       time.Minute,
		CrashDedupWindow: 15 * time.Second,
		Kind:             journal.KindQuarantine,
		MaxDigests:       4096,
		MaxStrikes:       2,
		MaxCrashes:       3,
		PartTrialStrikes: 3,
		MaxPartStrikes:   6,
		MinPartTrials:    2,
	}
}

// NoIsolationConfig returns the settings of processes that don't isolate suspects. Two requests may
// then share two upstreams by chance, so that more crashes are needed to tell them apart.
func NoIsolationConfig() Config {
	c := DefaultConfig()
	c.MaxStrikes = 3
	c.MaxCrashes = 6
	c.MinAnsweredTrials = 2
	return c
}

// suspect is the state of a digest.
type suspect struct {
	digest  Digest
	crashes []crash
	// cleared are crashes before an answer. They don't count, whoever reports them again.
	cleared     []crash
	strikes     int
	lastStrike  string // upstream of the last strike
	answered    bool   // completely, lately, according to a process
	quarantined time.Time
	last        time.Time // log time of the last crash
	// basis is the position of the last entry that this state reflects.
	basis journal.Position
	// written is the log time of the newest entry about the digest.
	written time.Time
}

// reservation is an upstream on which only one suspect may run.
type reservation struct {
	digest Digest
	since  time.Time
}

// released is an operator's release. It is kept as long as a quarantine lasts, as
// a checkpoint written later by a lagging process would otherwise restore the
// quarantine.
type released struct {
	release Release
	// crashes are those that it has undone.
	crashes  []crashID
	position journal.Position
	at       time.Time
	written  time.Time
}

// State is the fold of the journal's quarantine entries. It isn't safe for
// concurrent use; Guard is.
type State struct {
	cfg          Config
	suspects     map[Digest]*suspect
	reservations map[string]reservation
	released     map[Digest]released
	// touched are the digests named by the entry folded last, if it is a crash
	// report; crashed is the upstream of the last crash report.
	touched []Digest
	crashed string
	// cleared is what the entry folded last shows to be harmless, freed the digests that it releases.
	cleared []completed
	freed   []Digest
	// entered are the quarantines that began with the entry folded last, spared what would have been
	// quarantined by it without an answer.
	entered []Entered
	spared  []Entered
	logNow  time.Time
	readAt  time.Time
}

// NewState returns an empty state.
func NewState(cfg Config) *State {
	return &State{cfg: cfg, suspects: map[Digest]*suspect{}, reservations: map[string]reservation{}, released: map[Digest]released{}}
}

// Apply folds an entry. Bodies that can't be decoded are ignored, in the same way
// by every process.
func (s *State) Apply(p journal.LogEntry) {
	s.touched = s.touched[:0]
	s.cleared, s.freed = s.cleared[:0], s.freed[:0]
	s.entered, s.spared = s.entered[:0], s.spared[:0]
	if p.At.After(s.logNow) {
		s.logNow = p.At
		s.readAt = p.ReadAt
	}
	if p.Entry.Kind != s.cfg.Kind {
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
	case m.IsolationEnd != nil:
		s.applyIsolationEnd(m.IsolationEnd, p)
	case m.Completed != nil:
		s.applyCompleted(m.Completed, p)
	case m.Release != nil:
		s.applyRelease(m.Release, p)
	case m.Checkpoint != nil:
		s.applyCheckpoint(m.Checkpoint, p)
	}
}

func (s *State) applyCrash(c *Crash, p journal.LogEntry) {
	s.touched = append(append(s.touched, c.Suspects...), c.Doubtful...)
	s.crashed = c.Upstream
	for _, d := range c.Suspects {
		s.countCrash(d, c, p, true)
	}
	for _, d := range c.Doubtful {
		s.countCrash(d, c, p, false)
	}
	delete(s.reservations, c.Upstream)
	s.evict()
}

// countCrash counts a crash against a digest, once even if several processes
// report it.
func (s *State) countCrash(d Digest, c *Crash, p journal.LogEntry, counts bool) {
	x := s.suspects[d]
	if x == nil {
		x = &suspect{digest: d}
		s.suspects[d] = x
	}
	x.basis = p.Position
	x.written = p.At
	tried := slices.Contains(c.Tried, d)
	isClose := func(at time.Time) bool { return p.At.Sub(at) < s.cfg.CrashDedupWindow }
	if findCrash(x.cleared, c.id(), isClose) != nil {
		return
	}
	if known := findCrash(x.crashes, c.id(), isClose); known != nil {
		known.Tried = known.Tried || tried // another process has reported the trial
	} else {
		x.crashes = append(x.crashes, crash{c.Upstream, c.Incarnation, p.At, tried})
		x.last = p.At
		if counts && x.lastStrike != c.Upstream {
			x.strikes++
			x.lastStrike = c.Upstream
		}
	}
	x.answered = x.answered || !counts || slices.Contains(c.Answered, d)
	s.judge(x, p)
}

// judge quarantines a digest that its crashes convict. One that was quarantined before it became known that
// it was answered is a suspect again.
func (s *State) judge(x *suspect, p journal.LogEntry) {
	crashed := evidence{strikes: x.strikes, crashes: len(x.crashes), trials: x.trials(), answered: x.answered}
	switch s.judgementOf(x.digest, crashed) {
	case convicted:
		if x.quarantined.IsZero() {
			x.quarantined = p.At
			s.entered = append(s.entered, x.entered(p))
		}
	case lacksTrials:
		x.quarantined = time.Time{}
		s.spared = append(s.spared, x.entered(p))
	}
}

// evidence is what is known against a digest.
type evidence struct {
	strikes, crashes, trials int
	// answered says that it got a complete response lately.
	answered bool
}

// judgement is what follows from evidence.
type judgement uint8

const (
	notConvicted judgement = iota
	// lacksTrials is a request that is refused only once trials of it have crashed upstreams, too.
	lacksTrials
	convicted
)

// trials returns how many of the crashes ended trials.
func (x *suspect) trials() int {
	n := 0
	for _, c := range x.crashes {
		if c.Tried {
			n++
		}
	}
	return n
}

func (s *State) judgementOf(d Digest, e evidence) judgement {
	switch {
	case d.IsPart():
		if e.strikes >= s.cfg.MaxPartStrikes && e.trials >= s.cfg.MinPartTrials {
			return convicted
		}
		return notConvicted
	case e.strikes < s.cfg.MaxStrikes && e.crashes < s.cfg.MaxCrashes:
		return notConvicted
	case e.answered && e.trials < s.cfg.MinAnsweredTrials:
		return lacksTrials
	}
	return convicted
}

// statusOf returns the status of a digest that isn't quarantined.
func (s *State) statusOf(d Digest, strikes int) Status {
	if strikes == 0 || d.IsPart() && strikes < s.cfg.PartTrialStrikes {
		return Clean
	}
	return Suspected
}

// findCrash returns the one of the crashes that is reported again, nil if none is: several instances observe
// the same crash, and each reports it. isClose judges the crashes' times.
func findCrash(crashes []crash, c crashID, isClose func(time.Time) bool) *crash {
	for i := range crashes {
		if crashes[i].id().sameAs(c, isClose(crashes[i].At)) {
			return &crashes[i]
		}
	}
	return nil
}

func atAnyTime(time.Time) bool { return true }

// applyIsolate reserves an upstream for a suspect, unless another suspect has it
// or this one has another upstream: two concurrent runs could crash two upstreams.
func (s *State) applyIsolate(i *isolate) {
	if _, reserved := s.reservations[i.Upstream]; reserved {
		return
	}
	for _, r := range s.reservations {
		if r.digest == i.Digest {
			return
		}
	}
	s.reservations[i.Upstream] = reservation{i.Digest, s.logNow}
}

func (s *State) applyIsolationEnd(c *isolationEnd, p journal.LogEntry) {
	if s.reservations[c.Upstream].digest == c.Digest {
		delete(s.reservations, c.Upstream)
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

// applyCompleted clears a suspect that got a complete response. A quarantined digest stays: the
// response is one of a run that began before.
func (s *State) applyCompleted(c *completed, p journal.LogEntry) {
	s.cleared = append(s.cleared, *c)
	x := s.suspects[c.Digest]
	if x == nil {
		if len(c.Crashes) == 0 {
			return
		}
		x = &suspect{digest: c.Digest}
		s.suspects[c.Digest] = x
	}
	if !x.quarantined.IsZero() {
		return
	}
	x.clear(c.Crashes, p.At)
	x.answered = true
	x.basis, x.written, x.last = p.Position, p.At, p.At
	s.evict()
}

// clear forgets the crashes, and those that the process knew of that reports the answer.
func (x *suspect) clear(others []crashID, at time.Time) {
	cleared := slices.Concat(x.cleared, x.crashes)
	for _, c := range others[:min(len(others), maxNamed)] {
		if findCrash(cleared, c, atAnyTime) == nil {
			cleared = append(cleared, crash{c.Upstream, c.Incarnation, at, false})
		}
	}
	x.cleared = cleared[max(0, len(cleared)-maxCleared):]
	x.crashes, x.strikes, x.lastStrike = nil, 0, ""
}

func (s *State) applyRelease(r *Release, p journal.LogEntry) {
	mark := released{release: *r, crashes: s.released[r.Digest].crashes, position: r.Basis, at: r.At, written: p.At}
	if x := s.suspects[r.Digest]; x != nil {
		for _, c := range x.crashes {
			mark.crashes = append(mark.crashes, c.id())
		}
	}
	if r.Basis.IsZero() {
		mark.position, mark.at = p.Position, p.At
	}
	if mark.position.Less(s.released[r.Digest].position) {
		return
	}
	s.released[r.Digest] = mark
	s.freed = append(s.freed, r.Digest)
	if x := s.suspects[r.Digest]; x != nil && x.basis.Less(mark.position) {
		delete(s.suspects, r.Digest)
	}
}

// applyCheckpoint restores state from entries that this process may not have read
// before they expired.
func (s *State) applyCheckpoint(c *checkpoint, p journal.LogEntry) {
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
		answered:    c.Answered,
		last:        c.Crashes[len(c.Crashes)-1].At,
		basis:       c.Basis,
		written:     p.At,
	}
	if c.Strikes > 0 {
		fresh.lastStrike = c.Crashes[len(c.Crashes)-1].Upstream
	}
	s.suspects[c.Digest] = fresh
	s.evict()
}

// expiresAt is when the state of a digest expires, by the log's clock.
func (s *State) expiresAt(x *suspect) time.Time {
	if !x.quarantined.IsZero() {
		return x.quarantined.Add(s.cfg.QuarantineFor)
	}
	return x.last.Add(s.cfg.SuspectFor)
}

// expire drops everything that has expired by the log's clock.
func (s *State) expire() {
	for d, x := range s.suspects {
		if !s.logNow.Before(s.expiresAt(x)) {
			delete(s.suspects, d)
		}
	}
	for d, r := range s.released {
		if s.logNow.Sub(r.at) >= s.cfg.QuarantineFor {
			delete(s.released, d)
		}
	}
	for u, r := range s.reservations {
		if s.logNow.Sub(r.since) >= s.cfg.IsolateFor {
			delete(s.reservations, u)
		}
	}
}

// evict drops digests beyond MaxDigests: the oldest suspects first, then the oldest
// quarantined ones.
func (s *State) evict() {
	over := len(s.suspects) - s.cfg.MaxDigests
	if over <= 0 {
		return
	}
	all := make([]*suspect, 0, len(s.suspects))
	for _, x := range s.suspects {
		all = append(all, x)
	}
	sort.Slice(all, func(i, j int) bool { return evictedBefore(all[i], all[j]) })
	for _, x := range all[:over] {
		delete(s.suspects, x.digest)
	}
}

// evictedBefore orders digests for eviction. The order must be total, as all
// processes have to evict the same digests.
func evictedBefore(a, b *suspect) bool {
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
