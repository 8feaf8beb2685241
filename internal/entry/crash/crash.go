// Package crash detects engine crashes and reports the requests that were in flight
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
	Check(d quarantine.Digest) (quarantine.Verdict, error)
	MayRunOn(upstream string, d quarantine.Digest) bool
	Isolate(ctx context.Context, upstream string, d quarantine.Digest) (*quarantine.Isolation, error)
	Crashed(ctx context.Context, upstream, incarnation string, inFlight []quarantine.Digest) error
	Completed(d quarantine.Digest)
	IsolationError(d quarantine.Digest) *quarantine.Error
}

// Probe checks whether an engine responds. An error that matches
// upstream.ErrNotSent means that nothing listens at its address.
type Probe func(ctx context.Context, engine string) error

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

// Detector tracks the requests in flight at each engine and finds out whether an
// engine has crashed. It is safe for concurrent use.
type Detector struct {
	quarantine Quarantine
	probe      Probe

	mu      sync.Mutex
	running map[string]map[*Run]struct{}
	checks  map[string]*crashCheck
	tasks   conc.WaitGroup
}

// New returns a detector that reports crashes to a quarantine.
func New(q Quarantine, p Probe) *Detector {
	return &Detector{
		quarantine: q,
		probe:      p,
		running:    map[string]map[*Run]struct{}{},
		checks:     map[string]*crashCheck{},
	}
}

// Wait returns once all checks and reports in progress have ended.
func (det *Detector) Wait() { det.tasks.Wait() }

// Check reports whether a request is suspected, and returns an error if it is
// quarantined.
func (det *Detector) Check(d quarantine.Digest) (suspected bool, err error) {
	v, err := det.quarantine.Check(d)
	return v.Status == quarantine.Suspected, err
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
	engine    string
	digest    quarantine.Digest
	isolation *quarantine.Isolation
}

// Begin records a request as in flight at an engine before anything is sent. A
// suspected request is isolated from other suspects there, or Begin returns
// quarantine.ErrReserved.
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
// crashed, so that a suspect isn't sent to the next engine as an unsuspected request.
func (r *Run) End(result Result) {
	det := r.detector
	switch result {
	case Completed:
		det.quarantine.Completed(r.digest)
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
	digests map[quarantine.Digest]struct{}
	done    chan struct{}
}

// awaitCheck waits for the check of the run's engine and starts one if none is in
// progress. The suspects are all requests in flight there now and those that break
// off during the check, as it isn't known which of them crashed the engine.
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
	crashed := det.engineCrashed(engine)
	det.mu.Lock()
	delete(det.checks, engine)
	suspects := make([]quarantine.Digest, 0, len(c.digests))
	for d := range c.digests {
		suspects = append(suspects, d)
	}
	det.mu.Unlock()
	if !crashed {
		return
	}
	reported := make(chan struct{})
	det.tasks.Go(func() {
		defer close(reported)
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_ = det.quarantine.Crashed(ctx, engine, "", suspects) // the quarantine retries what the log didn't accept
	})
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	select {
	case <-reported:
	case <-timer.C:
	}
}

// engineCrashed reports whether nothing listens at the engine's address. A connection
// that broke while the engine still responds is no crash.
func (det *Detector) engineCrashed(engine string) bool {
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
