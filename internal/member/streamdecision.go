package member

import (
	"context"
	"maps"
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

// question is one that the neighbours are asked about a stream.
type question struct {
	pool   string
	stream streamversion.Stream
	began  time.Time
	// firstAsked and asked are when it was first and last to be sent; zero before.
	firstAsked, asked time.Time
	// answers holds for each neighbour that has answered the version that it vouches for, empty for none.
	answers map[string]string
}

// batch is questions that were sent in one message.
type batch struct {
	sentAt    time.Time
	questions []*question
}

// VersionOf implements relay.StreamVersions.
func (x *streamVersions) VersionOf(ctx context.Context, pool, request string) (string, bool) {
	q := &question{pool: pool, stream: streamversion.StreamOf(request), began: time.Now(), answers: make(map[string]string)}
	if list := x.list(); !x.peers.beat.unbroken(list.ownRead()) {
		x.AwaitList(ctx, func() bool { return false }) // the servers behind the entries may be others by now
	}
	version, verdict, e := x.findVersion(ctx, q)
	known := verdict == streamversion.Known
	x.log.Info("version of a stream", "stream", request, "pool", pool, "version", version, "known", known, "verdict", verdict.String(),
		"list_read", e.ListRead, "vouched", e.Vouched, "answered", e.Answered, "recalled", e.Recalled, "answers", x.answersTo(q),
		"list_age_ms", time.Since(x.list().ownRead()).Milliseconds(), "took_ms", time.Since(q.began).Milliseconds(),
		"resumed_at", x.peers.beat.resumedAt())
	return version, known
}

// findVersion gathers evidence on a stream's version until it suffices.
func (x *streamVersions) findVersion(ctx context.Context, q *question) (string, streamversion.Verdict, streamversion.Evidence) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	var recalled <-chan struct{}
	reading := false
	for {
		heard, answered := x.book.Changed(), x.answered.Changed()
		e := x.evidence(q)
		e.Recalled = isClosed(recalled)
		version, verdict := x.book.Decide(q.pool, q.stream, e)
		if verdict <= streamversion.Unknown || ctx.Err() != nil {
			return version, verdict, e
		}
		wait := askInterval
		switch {
		case verdict == streamversion.LacksList && !reading:
			reading, wait = true, vouchDelay
			go x.readList(ctx, q.began)
		case verdict == streamversion.LacksRecords && recalled == nil:
			recalled = x.claims.recall(q.pool)
		case time.Since(q.asked) >= askInterval:
			x.ask(q)
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

// ask has a question sent to the neighbours, with others of the pool.
func (x *streamVersions) ask(q *question) {
	x.mu.Lock()
	q.asked = time.Now()
	if q.firstAsked.IsZero() {
		q.firstAsked = q.asked
	}
	x.unasked = append(x.unasked, q)
	x.mu.Unlock()
	x.wakeUp()
}

// askAll sends the collected questions to the neighbours, in one message for each pool.
func (x *streamVersions) askAll() {
	for _, m := range x.takeUnasked(time.Now()) {
		x.peers.broadcast(m)
	}
}

// takeUnasked turns the collected questions into batches, and forgets batches that nobody waits for.
func (x *streamVersions) takeUnasked(now time.Time) []wire.StreamVersionRequest {
	x.mu.Lock()
	defer x.mu.Unlock()
	maps.DeleteFunc(x.batches, func(_ uint64, b batch) bool { return now.Sub(b.sentAt) > versionTimeout })
	pools := make(map[string][]*question)
	for _, q := range x.unasked {
		pools[q.pool] = append(pools[q.pool], q)
	}
	x.unasked = nil
	var requests []wire.StreamVersionRequest
	for pool, questions := range pools {
		x.lastBatch++
		x.batches[x.lastBatch] = batch{now, questions}
		m := wire.StreamVersionRequest{Pool: pool, Question: x.lastBatch}
		for _, q := range questions {
			m.Streams = append(m.Streams, uint64(q.stream))
		}
		requests = append(requests, m)
	}
	return requests
}

func (x *streamVersions) answersTo(q *question) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(q.answers)
}

// recordAnswer records that a neighbour has answered a batch of questions.
func (x *streamVersions) recordAnswer(from string, m wire.StreamVersions) {
	x.mu.Lock()
	asked, ok := x.batches[m.Question]
	for _, q := range asked.questions {
		q.answers[from] = vouchedBy(m)
	}
	x.mu.Unlock()
	if !ok {
		return
	}
	if m.Sole {
		x.book.HearSole(m.Pool, m.Version)
	}
	x.answered.Broadcast()
}

// vouchedBy returns the version that an answer vouches for, empty if it vouches for none.
func vouchedBy(m wire.StreamVersions) string {
	if m.Sole {
		return m.Version
	}
	return ""
}

// evidence returns what has been learned since a question began. Where no neighbour counts as up, links may
// have to be made anew.
func (x *streamVersions) evidence(q *question) streamversion.Evidence {
	neighbours := x.peers.neighbours()
	// Entries of a restored store may be missing until the upstreams have written again.
	listRead := x.list().hasOwnReadSince(q.began) && !x.unconfirmed()
	x.mu.Lock()
	defer x.mu.Unlock()
	e := streamversion.Evidence{ListRead: listRead, Answered: !q.asked.IsZero() && (len(q.answers) > 0 || len(neighbours) == 0)}
	vouched := len(neighbours) > 0
	for _, n := range neighbours {
		version, answered := q.answers[n.address]
		e.Answered = e.Answered && (answered || !n.up)
		vouched = vouched && version != "" && (e.Vouched == "" || e.Vouched == version)
		e.Vouched = version
	}
	if !vouched {
		e.Vouched = ""
	}
	e.Answered = e.Answered || !q.firstAsked.IsZero() && time.Since(q.firstAsked) > answerTimeout
	return e
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
