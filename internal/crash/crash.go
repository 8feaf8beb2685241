// Package crash detects upstream crashes and reports the requests that were in flight
// there to the quarantine.
package crash

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/quarantine"
	"tamarackchute/upstream"
)

// Quarantine decides which requests may run on which engine and records crashes;
// quarantine.Guard implements it.
type Quarantine interface {
	Knows(r *quarantine.Request) bool
	Check(d quarantine.Digest) (quarantine.Verdict, error)
	MayRunOn(upstream string, d quarantine.Digest) bool
	Isolate(ctx context.Context, upstream string, d quarantine.Digest) (*quarantine.Isolation, error)
	RecordCrash(upstream, incarnation string, inFlight []quarantine.Digest, tried ...quarantine.Digest) (persist func(context.Context) error)
	Completed(d quarantine.Digest)
	CompletedHead(head uint64)
	Progressed(ctx context.Context, d quarantine.Digest) error
	Answered(ctx context.Context, d quarantine.Digest) error
	IsolationError(d quarantine.Digest) *quarantine.Error
	Claims
}

// Claims reserves runs of suspects among processes that report to each other directly;
// quarantine.Guard implements it.
type Claims interface {
	Claim(ctx context.Context, d quarantine.Digest, lasting time.Duration, upstreams ...string) (*quarantine.Claim, error)
	Reservations(d quarantine.Digest) quarantine.Reservations
	Changed() <-chan struct{}
}

// Engine is an upstream, or one of its incarnations if they are known.
type Engine struct{ ID, Incarnation string }

// String returns a name that is different for each incarnation.
func (e Engine) String() string {
	if e.Incarnation == "" {
		return e.ID
	}
	return e.ID + "@" + e.Incarnation
}

// Probe checks whether an engine responds. An error that matches
// upstream.ErrNotSent means that nothing listens at its address.
type Probe func(ctx context.Context, engine Engine) error

// ProbeByID returns a probe of engines whose incarnations aren't known.
func ProbeByID(probe func(ctx context.Context, id string) error) Probe {
	return func(ctx context.Context, engine Engine) error { return probe(ctx, engine.ID) }
}

const (
	// An engine is probed probeAttempts times, probeInterval apart. A crashed process
	// is down for longer than that, even if a supervisor restarts it.
	probeAttempts = 3
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// reportWait is how long a request that broke off waits until the crash report is
	// in the log. The report itself continues in the background.
	reportWait    = 200 * time.Millisecond
	reportTimeout = 5 * time.Second
	// isolateTimeout bounds the wait until an isolation is in the log. While the log is
	// unavailable, suspects are isolated only within this process.
	isolateTimeout = 250 * time.Millisecond
)

// ClearAfterTokens is how many tokens a suspected request must produce before it is no longer a
// suspect: the crash of the earlier engine then had another cause, or comes later in the output.
const ClearAfterTokens = 4

// Detector tracks the requests in flight at each engine and finds out whether an
// engine has crashed. It is safe for concurrent use.
type Detector struct {
	Claims
	quarantine Quarantine
	probe      Probe
	onCrash    func(Engine, []quarantine.Digest)

	mu      sync.Mutex
	running map[Engine]map[*Run]struct{}
	checks  map[Engine]*crashCheck
	tasks   conc.WaitGroup
}

// New returns a detector that reports crashes to a quarantine.
func New(q Quarantine, p Probe) *Detector {
	return &Detector{
		Claims:     q,
		quarantine: q,
		probe:      p,
		running:    map[Engine]map[*Run]struct{}{},
		checks:     map[Engine]*crashCheck{},
	}
}

// OnCrash sets the function that is called with each crash and the requests in flight, before it is
// reported. It must be set before the first run.
func (det *Detector) OnCrash(f func(Engine, []quarantine.Digest)) { det.onCrash = f }

// Wait returns once all checks and reports in progress have ended.
func (det *Detector) Wait() { det.tasks.Wait() }

// Check reports whether a request is suspected, and returns an error if it is
// quarantined.
func (det *Detector) Check(d quarantine.Digest) (suspected bool, err error) {
	v, err := det.quarantine.Check(d)
	return v.Status == quarantine.Suspected, err
}

// CheckRequest is Check for a request whose digests aren't known: it is suspected for the one with the
// most strikes. It costs little unless the request may be suspected.
func (det *Detector) CheckRequest(r *quarantine.Request) (suspect quarantine.Digest, suspected bool, err error) {
	if !det.quarantine.Knows(r) {
		return suspect, false, nil
	}
	strikes := 0
	for _, d := range r.Digests() {
		v, err := det.quarantine.Check(d)
		if err != nil {
			return d, false, err
		}
		if v.Status == quarantine.Suspected && v.Strikes >= strikes {
			suspect, suspected, strikes = d, true, v.Strikes
		}
	}
	return suspect, suspected, nil
}

// MayRunOn reports whether a suspected request may start on an engine.
func (det *Detector) MayRunOn(engine string, d quarantine.Digest) bool {
	return det.quarantine.MayRunOn(engine, d)
}

// IsolationError returns the refusal of a suspect that found no engine without
// other suspects.
func (det *Detector) IsolationError(d quarantine.Digest) error {
	return det.quarantine.IsolationError(d)
}

// Result says how a run at an engine ended.
type Result uint8

// The results of a run.
const (
	// Inconclusive is a run that was cancelled, refused or never sent.
	Inconclusive Result = iota
	// Completed is a run that received its complete response.
	Completed
	// Broken is a run that broke off, possibly because the engine crashed.
	Broken
)

// Run is one request in flight at one engine.
type Run struct {
	detector  *Detector
	engine    Engine
	request   quarantine.Digester
	isolation *quarantine.Isolation
	// tried are the digests of which this run is a trial.
	tried []quarantine.Digest
}

// Begin records a request as in flight at an engine before anything is sent. A
// suspected request is isolated from other suspects there, or Begin returns
// quarantine.ErrReserved.
func (det *Detector) Begin(ctx context.Context, engine string, d quarantine.Digest, suspected bool) (*Run, error) {
	if !suspected {
		return det.Track(Engine{ID: engine}, d), nil
	}
	ctx, cancel := context.WithTimeout(ctx, isolateTimeout)
	defer cancel()
	isolation, err := det.quarantine.Isolate(ctx, engine, d)
	if err != nil {
		return nil, err
	}
	r := det.Track(Engine{ID: engine}, d, d)
	r.isolation = isolation
	return r, nil
}

// Track records a request as in flight at an engine, without isolation. tried are the digests of which
// this is a trial: no other request of theirs runs.
func (det *Detector) Track(engine Engine, request quarantine.Digester, tried ...quarantine.Digest) *Run {
	r := &Run{detector: det, engine: engine, request: request, tried: tried}
	det.mu.Lock()
	defer det.mu.Unlock()
	if det.running[engine] == nil {
		det.running[engine] = map[*Run]struct{}{}
	}
	det.running[engine][r] = struct{}{}
	return r
}

// End ends the run. After Broken it returns once it is known whether the engine
// crashed, so that a suspect isn't sent to the next engine as an unsuspected request.
func (r *Run) End(result Result) {
	det := r.detector
	switch result {
	case Completed:
		det.quarantine.Completed(r.request.Digest())
	case Broken:
		<-det.check(r).done
	}
	r.remove()
	r.release(result == Completed)
}

// Break ends a run that broke off. It returns once a crash is recorded, or the first probe of the
// engine shows none, so that after a crash the request goes on as a suspect. The check may go on.
func (r *Run) Break(ctx context.Context) {
	c := r.detector.check(r)
	r.remove()
	if r.isolation != nil {
		ctx = context.WithoutCancel(ctx) // the next copy must find the crash recorded
	}
	select {
	case <-c.probed:
	case <-ctx.Done():
	}
	r.release(false)
}

// release ends the run's isolation, if it has one.
func (r *Run) release(passed bool) {
	if r.isolation != nil {
		r.detector.endIsolation(r.isolation, passed)
	}
}

// Answer ends a run that got a complete response.
func (r *Run) Answer(request *quarantine.Request) {
	r.remove()
	r.release(true)
	r.detector.quarantine.CompletedHead(request.Head())
	if r.detector.quarantine.Knows(request) {
		r.detector.report(request.Digests(), r.detector.quarantine.Answered)
	}
}

// Progress reports that a run that isn't isolated has produced ClearAfterTokens tokens. Parts of its
// prompt are cleared by an answer only: a run of another request with the same part may have come as far.
func (r *Run) Progress(request *quarantine.Request) {
	if r.detector.quarantine.Knows(request) {
		r.detector.report([]quarantine.Digest{request.Digest()}, r.detector.quarantine.Progressed)
	}
}

// Drop ends a run whose end says nothing of its engine.
func (r *Run) Drop() {
	r.remove()
	r.release(false)
}

func (r *Run) remove() {
	det := r.detector
	det.mu.Lock()
	defer det.mu.Unlock()
	delete(det.running[r.engine], r)
	if len(det.running[r.engine]) == 0 {
		delete(det.running, r.engine)
	}
}

// report makes a report about digests in the background, as it writes to the log.
func (det *Detector) report(digests []quarantine.Digest, report func(context.Context, quarantine.Digest) error) {
	det.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		for _, d := range digests {
			_ = report(ctx, d) // the quarantine retries what the log didn't accept
		}
	})
}

// Clear ends the isolation of a suspected run once it counts as not having caused
// the earlier crash. If its engine crashes after that, it becomes a suspect as if
// for the first time. Clear must not run concurrently with End.
func (r *Run) Clear() {
	if r.isolation == nil {
		return
	}
	r.detector.endIsolation(r.isolation, true)
	r.isolation = nil
}

// endIsolation ends an isolation in the background, as it writes to the log, which
// may be slow.
func (det *Detector) endIsolation(i *quarantine.Isolation, passed bool) {
	det.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		i.End(ctx, passed)
	})
}

// crashCheck is a check in progress of whether one engine has crashed.
type crashCheck struct {
	requests map[quarantine.Digester]struct{}
	tried    []quarantine.Digest
	// probed is closed once a crash is recorded, or the first probe shows none; done when the
	// check is over.
	probed, done chan struct{}
	probedOnce   sync.Once
}

func (c *crashCheck) add(r *Run) {
	c.requests[r.request] = struct{}{}
	c.tried = append(c.tried, r.tried...)
}

func (c *crashCheck) endProbe() { c.probedOnce.Do(func() { close(c.probed) }) }

// check returns the check of the run's engine, and starts one if none is in progress. The suspects
// are all requests in flight there now and those that break off during the check, as it isn't known
// which of them crashed the engine.
func (det *Detector) check(r *Run) *crashCheck {
	det.mu.Lock()
	defer det.mu.Unlock()
	c := det.checks[r.engine]
	if c == nil {
		c = &crashCheck{requests: map[quarantine.Digester]struct{}{}, probed: make(chan struct{}), done: make(chan struct{})}
		det.checks[r.engine] = c
		for other := range det.running[r.engine] {
			c.add(other)
		}
		det.tasks.Go(func() { det.runCheck(r.engine, c) })
	}
	c.add(r)
	return c
}

func (det *Detector) runCheck(engine Engine, c *crashCheck) {
	defer close(c.done)
	defer c.endProbe()
	crashed := det.engineCrashed(engine, c.endProbe)
	det.mu.Lock()
	delete(det.checks, engine)
	det.mu.Unlock()
	if !crashed {
		return
	}
	suspects := c.digests()
	if det.onCrash != nil {
		det.onCrash(engine, suspects)
	}
	persist := det.quarantine.RecordCrash(engine.String(), engine.Incarnation, suspects, c.tried...)
	c.endProbe()
	reported := make(chan struct{})
	det.tasks.Go(func() {
		defer close(reported)
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_ = persist(ctx) // the quarantine retries what the log didn't accept
	})
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	select {
	case <-reported:
	case <-timer.C:
	}
}

// digests returns the digests of the suspects. The check must be over.
func (c *crashCheck) digests() []quarantine.Digest {
	seen := make(map[quarantine.Digest]struct{}, len(c.requests))
	all := make([]quarantine.Digest, 0, len(c.requests))
	for r := range c.requests {
		for _, d := range r.Digests() {
			if _, again := seen[d]; !again {
				seen[d] = struct{}{}
				all = append(all, d)
			}
		}
	}
	return all
}

// engineCrashed reports whether nothing listens at the engine's address. A connection
// that broke while the engine still responds is no crash. It calls responded after each probe that
// shows none.
func (det *Detector) engineCrashed(engine Engine, responded func()) bool {
	for i := range probeAttempts {
		if i > 0 {
			time.Sleep(probeInterval)
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := det.probe(ctx, engine)
		cancel()
		if errors.Is(err, upstream.ErrNotSent) {
			return true
		}
		responded()
	}
	return false
}
