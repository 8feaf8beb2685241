// Package crash tells the quarantine which requests were in flight when an
// engine died.
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

// Guard answers what may run where; quarantine.Guard is one.
type Quarantine interface {
	Check(d quarantine.Digest) (quarantine.Verdict, error)
	MayRunOn(upstream string, d quarantine.Digest) bool
	Isolate(ctx context.Context, upstream string, d quarantine.Digest) (*quarantine.Isolation, error)
	Crashed(ctx context.Context, upstream, incarnation string, inFlight []quarantine.Digest) error
	Answered(d quarantine.Digest)
	Waiting(d quarantine.Digest) *quarantine.Error
}

// Probe asks an engine for a sign of life. An error that matches
// upstream.ErrNotSent means that nothing listens there.
type Probe func(ctx context.Context, engine string) error

const (
	// probes are made this often, probeGap apart. A process that died is gone
	// for longer than that, even if something restarts it.
	probeAttempts = 3
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// reportWait is how long a broken request waits for the log to take the
	// report. The report goes on behind it.
	reportWait    = 200 * time.Millisecond
	reportTimeout = 5 * time.Second
	// isolateTimeout bounds the wait for the log to take an isolation. Without
	// the log the suspects are kept apart within this process.
	isolateTimeout = 250 * time.Millisecond
)

// Watch knows the requests in flight at each engine. It is safe for use by many
// goroutines.
type Detector struct {
	quarantine Quarantine
	probe      Probe

	mu      sync.Mutex
	running map[string]map[*Run]struct{}
	checks  map[string]*crashCheck
	tasks   conc.WaitGroup
}

// New returns a watch that reports to a guard.
func New(q Quarantine, p Probe) *Detector {
	return &Detector{
		quarantine: q,
		probe:      p,
		running:    map[string]map[*Run]struct{}{},
		checks:     map[string]*crashCheck{},
	}
}

// Wait returns once the reports under way are done.
func (det *Detector) Wait() { det.tasks.Wait() }

// Check reports whether a request is suspected, or its refusal if it is
// quarantined.
func (det *Detector) Check(d quarantine.Digest) (suspected bool, err error) {
	v, err := det.quarantine.Check(d)
	return v.Status == quarantine.Suspected, err
}

// MayRunOn reports whether a suspected request may start on an engine.
func (det *Detector) MayRunOn(engine string, d quarantine.Digest) bool {
	return det.quarantine.MayRunOn(engine, d)
}

// Waiting returns the refusal of a suspect that found no engine to itself.
func (det *Detector) IsolationError(d quarantine.Digest) error { return det.quarantine.Waiting(d) }

// Result says how a run ended.
type Result uint8

// The results of a run.
const (
	// Ended is a run that says nothing: cancelled, refused, never sent.
	Inconclusive Result = iota
	// Answered is a run that got its whole answer.
	Completed
	// Broken is a run that broke off, maybe because the engine died.
	Broken
)

// Run is one request at one engine.
type Run struct {
	detector  *Detector
	engine    string
	digest    quarantine.Digest
	isolation *quarantine.Isolation
}

// Begin books a request at an engine before anything is sent there. A suspected
// one gets the engine without other suspects, or quarantine.ErrReserved.
func (det *Detector) Begin(ctx context.Context, engine string, d quarantine.Digest, suspected bool) (*Run, error) {
	r := &Run{detector: det, engine: engine, digest: d}
	if suspected {
		ctx, cancel := context.WithTimeout(ctx, isolateTimeout)
		defer cancel()
		isolation, err := det.quarantine.Isolate(ctx, engine, d)
		if err != nil {
			return nil, err
		}
		r.isolation = isolation
	}
	det.mu.Lock()
	defer det.mu.Unlock()
	if det.running[engine] == nil {
		det.running[engine] = map[*Run]struct{}{}
	}
	det.running[engine][r] = struct{}{}
	return r, nil
}

// End ends the run. After Broken it returns once it is known whether the engine
// died, so that the request doesn't go to the next engine as an innocent one.
func (r *Run) End(result Result) {
	det := r.detector
	switch result {
	case Completed:
		det.quarantine.Answered(r.digest)
	case Broken:
		det.awaitCheck(r)
	}
	det.mu.Lock()
	delete(det.running[r.engine], r)
	det.mu.Unlock()
	if r.isolation != nil {
		det.endIsolation(r.isolation, result == Completed)
	}
}

// Acquit ends the isolation of a suspected run that has got further than the
// one that made it a suspect. If its engine crashes after that, it is a suspect
// for the first time again. It must not run at the same time as End.
func (r *Run) Clear() {
	if r.isolation == nil {
		return
	}
	r.detector.endIsolation(r.isolation, true)
	r.isolation = nil
}

// endIsolation writes to the log, which may be slow; nobody waits for it.
func (det *Detector) endIsolation(i *quarantine.Isolation, passed bool) {
	det.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		i.End(ctx, passed)
	})
}

// check finds out whether one engine has died.
type crashCheck struct {
	digests map[quarantine.Digest]struct{}
	done    chan struct{}
}

// broken waits for the check of the run's engine, and starts one if none runs.
// The suspects are all that are in flight there now or join meanwhile: an
// engine takes all of them down with it, and which one did it isn't known.
func (det *Detector) awaitCheck(r *Run) {
	det.mu.Lock()
	c := det.checks[r.engine]
	if c == nil {
		c = &crashCheck{digests: map[quarantine.Digest]struct{}{}, done: make(chan struct{})}
		det.checks[r.engine] = c
		for other := range det.running[r.engine] {
			c.digests[other.digest] = struct{}{}
		}
		det.tasks.Go(func() { det.runCheck(r.engine, c) })
	}
	c.digests[r.digest] = struct{}{}
	det.mu.Unlock()
	<-c.done
}

func (det *Detector) runCheck(engine string, c *crashCheck) {
	defer close(c.done)
	dead := det.engineDead(engine)
	det.mu.Lock()
	delete(det.checks, engine)
	suspects := make([]quarantine.Digest, 0, len(c.digests))
	for d := range c.digests {
		suspects = append(suspects, d)
	}
	det.mu.Unlock()
	if !dead {
		return
	}
	reported := make(chan struct{})
	det.tasks.Go(func() {
		defer close(reported)
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_ = det.quarantine.Crashed(ctx, engine, "", suspects) // the guard keeps what the log doesn't take
	})
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	select {
	case <-reported:
	case <-timer.C:
	}
}

// dead reports whether nothing listens at the engine's address. A connection
// that broke with the engine alive is no crash.
func (det *Detector) engineDead(engine string) bool {
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
	}
	return false
}
