package streamversion

import "time"

// Evidence is what a process has learned since it was asked for the version of a stream. Only that can
// show that no other version began the stream: what the process knew before may be outdated by any time,
// as it may have stood still or been cut off.
type Evidence struct {
	// ListRead means that the list of upstreams was read by a call that began after the question. A
	// version that began the stream was listed before.
	ListRead bool
	// Vouched is the version beside which no other process knows another one, as all have answered; empty if
	// they haven't.
	Vouched string
	// Answered means that no answer of another process is awaited any more, Recalled the same of what the
	// store has: the claim on the pool, and records of streams.
	Answered, Recalled bool
}

// Verdict says what is known of a stream's version, or what is missing to know it.
type Verdict int

// The verdicts.
const (
	// Known means that the version is known, Unknown that nobody can tell it.
	Known Verdict = iota
	Unknown
	// LacksList means that the list of upstreams has to be read, or all other processes must vouch.
	LacksList
	// LacksAnswers means that another process may know.
	LacksAnswers
	// LacksRecords means that only the store can tell: by a claim on the pool, or a record of the stream.
	LacksRecords
)

// String returns the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"known", "unknown", "lacks list", "lacks answers", "lacks records"}[v]
}

// Decide returns the version that began a stream, if that is known by the evidence.
func (b *Book) Decide(pool string, s Stream, e Evidence) (string, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, p := b.now(), b.pool(pool)
	if version, verdict := b.told(pool, s, now); verdict != untold {
		return version, verdict
	}
	served := p.served(now)
	sole := len(served) == 1
	current := e.ListRead || sole && e.Vouched != "" && e.Vouched == served[0]
	switch {
	case len(served) <= 1 && !current:
		return "", LacksList
	case sole && b.knowsPast(p, now):
		return served[0], Known
	case !e.Answered:
		return "", LacksAnswers
	case !e.Recalled:
		return "", LacksRecords
	}
	return "", Unknown
}

// untold is the verdict on a stream of which nobody has told.
const untold Verdict = -1

// told returns the version of a stream that this process began, or of which another one has told.
func (b *Book) told(pool string, s Stream, now time.Time) (string, Verdict) {
	r, ok := b.streams.Get(s)
	switch {
	case !ok || r.Pool != pool || now.Sub(r.at) > b.pool(pool).retention:
		return "", untold
	case r.disputed:
		return "", Unknown
	}
	return r.Version, Known
}

// Told returns the version of a stream that this process began, or of which another one has told.
func (b *Book) Told(pool string, s Stream) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	version, verdict := b.told(pool, s, b.now())
	return version, verdict == Known
}

// See records an entry of an upstream. One that comes and goes between two lists is in none, but its version
// may have begun streams. It returns streams as Observe does.
func (b *Book) See(pool, version string) []Begun {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	return b.see(pool, version, now, now)
}

// see records that a version served at a time.
func (b *Book) see(pool, version string, at, now time.Time) []Begun {
	p := b.pool(pool)
	if p.listed[version] || p.removed[version].at.After(at) {
		return nil
	}
	mixed := p.mixed(now)
	p.removed[version] = departure{at, at.Add(p.retention)}
	if mixed || !p.mixed(now) {
		return nil
	}
	return b.ownStreams(pool, now)
}

// LosePast records that versions may have come and gone unseen until now.
func (b *Book) LosePast() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = b.now()
	for _, p := range b.pools {
		p.confirmed = false
	}
}
