package member

import (
	"context"
	"time"

	"tamarackchute/internal/wire"
	"tamarackchute/streamversion"
)

const (
	// versionTimeout limits how long a stream that is taken up waits for its version.
	versionTimeout = 700 * time.Millisecond
	// answerTimeout limits the wait for other daemons' answers, which are asked again each
	// askInterval: links may have to be made anew.
	answerTimeout, askInterval = 300 * time.Millisecond, 60 * time.Millisecond
	// vouchDelay is how long the store has to bring the list before other daemons are asked to vouch.
	vouchDelay = 30 * time.Millisecond
)

// question is one that all neighbours are asked.
type question struct {
	number uint64
	began  time.Time
	// asked is when it was last sent; zero before.
	asked time.Time
	// answers holds for each neighbour that has answered the version that it vouches for, empty for none.
	answers map[string]string
}

// VersionOf implements relay.StreamVersions.
func (x *streamVersions) VersionOf(ctx context.Context, pool, request string) (string, bool) {
	s := streamversion.StreamOf(request)
	version, verdict := x.book.Decide(pool, s, streamversion.Evidence{})
	if verdict == streamversion.Known {
		x.log.Info("version of a stream", "stream", request, "pool", pool, "version", version, "known", true, "by", "word")
		return version, true
	}
	q := x.newQuestion()
	defer x.endQuestion(q)
	version, verdict, e := x.findVersion(ctx, pool, s, q)
	known := verdict == streamversion.Known
	x.log.Info("version of a stream", "stream", request, "pool", pool, "version", version, "known", known, "verdict", verdict.String(),
		"list_read", e.ListRead, "vouched", e.Vouched, "answered", e.Answered, "recalled", e.Recalled, "answers", x.answersTo(q),
		"list_age_ms", time.Since(x.list().ownRead()).Milliseconds(), "took_ms", time.Since(q.began).Milliseconds(),
		"resumed_ms_ago", x.sinceResumed().Milliseconds())
	return version, known
}

// findVersion gathers evidence on a stream's version until it suffices.
func (x *streamVersions) findVersion(ctx context.Context, pool string, s streamversion.Stream, q *question) (string, streamversion.Verdict, streamversion.Evidence) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	var recalled <-chan struct{}
	reading := false
	for {
		heard, answered := x.book.Changed(), x.answered.Changed()
		e := x.evidence(q)
		e.Recalled = isClosed(recalled)
		version, verdict := x.book.Decide(pool, s, e)
		if verdict <= streamversion.Unknown || ctx.Err() != nil {
			return version, verdict, e
		}
		wait := askInterval
		switch {
		case verdict == streamversion.LacksList && !reading:
			reading, wait = true, vouchDelay
			go x.readList(ctx, q.began)
		case verdict == streamversion.LacksClaim && recalled == nil:
			recalled = x.claims.recall(pool)
		case time.Since(q.asked) >= askInterval:
			x.ask(q, pool, s)
		}
		x.awaitEvidence(ctx, wait, heard, answered, recalled)
	}
}

// awaitEvidence waits for news, for a time at most.
func (x *streamVersions) awaitEvidence(ctx context.Context, atMost time.Duration, heard, answered, recalled <-chan struct{}) {
	if isClosed(recalled) {
		recalled = nil
	}
	limit := time.NewTimer(atMost)
	defer limit.Stop()
	select {
	case <-ctx.Done():
	case <-heard:
	case <-answered:
	case <-recalled:
	case <-limit.C:
	}
}

// AwaitList implements relay.StreamVersions.
func (x *streamVersions) AwaitList(ctx context.Context, suffices func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	began := time.Now()
	go x.readList(ctx, began)
	for {
		answered := x.answered.Changed()
		if read := x.list().hasOwnReadSince(began); read || ctx.Err() != nil || suffices() {
			return read
		}
		x.awaitEvidence(ctx, vouchDelay, answered, nil, nil) // other daemons' lists come unannounced
	}
}

// readList reads the list of upstreams for a question that began at a time.
func (x *streamVersions) readList(ctx context.Context, began time.Time) {
	if x.list().awaitReadSince(ctx, began) {
		x.answered.Broadcast()
	}
}

// newQuestion returns a question that hasn't been sent yet.
func (x *streamVersions) newQuestion() *question {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastQuestion++
	q := &question{number: x.lastQuestion, began: time.Now(), answers: make(map[string]string)}
	x.questions[q.number] = q
	return q
}

func (x *streamVersions) endQuestion(q *question) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.questions, q.number)
}

// ask sends a question to the neighbours that haven't answered it.
func (x *streamVersions) ask(q *question, pool string, s streamversion.Stream) {
	m := wire.StreamVersionRequest{Pool: pool, Stream: uint64(s), Question: q.number}
	neighbours, _ := x.peers.neighbours()
	for _, n := range neighbours {
		if !x.hasAnswered(q, n.address) {
			x.peers.sendTo(n.address, m)
		}
	}
	q.asked = time.Now()
}

func (x *streamVersions) hasAnswered(q *question, address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, answered := q.answers[address]
	return answered
}

func (x *streamVersions) answersTo(q *question) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(q.answers)
}

// recordAnswer records that a neighbour has answered a question.
func (x *streamVersions) recordAnswer(from string, m wire.StreamVersions) {
	x.mu.Lock()
	q := x.questions[m.Question]
	if q != nil {
		q.answers[from] = vouchedBy(m)
	}
	x.mu.Unlock()
	if q != nil {
		x.answered.Broadcast()
	}
}

// vouchedBy returns the version that an answer vouches for, empty if it vouches for none.
func vouchedBy(m wire.StreamVersions) string {
	if m.Sole {
		return m.Version
	}
	return ""
}

// evidence returns what has been learned since a question began.
func (x *streamVersions) evidence(q *question) streamversion.Evidence {
	neighbours, complete := x.peers.neighbours()
	e := streamversion.Evidence{ListRead: x.list().hasOwnReadSince(q.began), Answered: !q.asked.IsZero()}
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, n := range neighbours {
		vouched, answered := q.answers[n.address]
		e.Answered = e.Answered && (answered || !n.up)
		if i == 0 {
			e.Vouched = vouched
		}
		complete = complete && vouched == e.Vouched
	}
	if !complete {
		e.Vouched = ""
	}
	e.Answered = e.Answered || time.Since(q.began) > answerTimeout
	return e
}

// sinceResumed returns how long ago this process last went on after it stood still; an hour if it never has.
func (x *streamVersions) sinceResumed() time.Duration {
	if at := x.peers.beat.resumedAt(); !at.IsZero() {
		return time.Since(at)
	}
	return time.Hour
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
