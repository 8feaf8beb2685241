// Package soak runs the real programs as processes of their own, between
// stand-ins for the platform, and disturbs them from outside: signals, links that
// delay, break, fall silent or lose one direction, a store and servers that
// misbehave. It checks the promises by what callers and servers see.
//
// A run follows from its seed, but for the times at which the machine does what
// it is told: the same seed brings the same troubles, not the same interleaving.
package soak

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"tamarackchute/platform/standin"
)

// Options say what to run.
type Options struct {
	// Program is the path of the daemon's program.
	Program string
	// Folder holds the settings and logs of the daemons.
	Folder  string
	Seed    uint64
	Daemons int
	Callers int
	Profile FaultProfile
	// Steps are played instead of those of the seed, unless there are none.
	Steps []Step
}

// DefaultShape has several troubles at a time for some seconds.
func DefaultFaultProfile() FaultProfile {
	return FaultProfile{Length: 15 * time.Second, MeanInterval: 250 * time.Millisecond, MaxDuration: 3 * time.Second}
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Steps      []Step
	Violations []Violation
	// Outcomes counts requests by how they ended for their callers, and what the
	// checks have looked at.
	Outcomes map[string]int
	// Recovery is the time from the last trouble's end to the first of some
	// seconds in which all was served.
	RecoveryTime time.Duration
}

const (
	// startWithin bounds the first start, which isn't disturbed and takes under a
	// second on an idle machine; a busy one must not make a run fail by it.
	startWithin = time.Minute
	// recoverWithin bounds the recovery, which ends with a time of calm.
	recoverWithin = 15 * time.Second
	calm          = 2 * time.Second
	pollEvery     = 50 * time.Millisecond
)

// Run plays the troubles of a seed. The error is one of the soak itself; broken
// promises are in the report. The end of ctx ends the daemons at once, and the run
// soon afterwards.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Folder, folderMode); err != nil {
		return nil, eris.Wrap(err, "soak's folder")
	}
	network, release, err := reserveNetwork()
	if err != nil {
		return nil, err
	}
	defer release()
	s, err := newSite(o, network)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, s.endDaemons)
	defer stop()
	if !s.awaitReady(startWithin) {
		return nil, eris.New("the daemons aren't ready in time; see their logs")
	}
	report := &Report{Seed: o.Seed, Steps: o.Steps}
	if len(report.Steps) == 0 {
		report.Steps = NewPlan(o.Seed, o.Profile)
	}
	s.play(ctx, o, report)
	if ctx.Err() != nil {
		return nil, eris.Wrap(ctx.Err(), "soak")
	}
	s.oracle.finish(siteBudget)
	s.oracle.checkOrders(s.orders())
	report.Violations = s.oracle.Violations()
	report.Outcomes = s.oracle.seen
	return report, nil
}

// play runs callers and steps, waits for the recovery and ends the callers.
func (s *site) play(ctx context.Context, o Options, report *Report) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { s.troubles.watchMachine(ctx.Done()) })
	wg.Go(func() { s.relist(ctx.Done()) })
	for i := range o.Callers {
		wg.Go(func() { newCaller(s, o.Seed, i).run(ctx) })
	}
	for i := range o.Callers / callersForLoyal {
		wg.Go(func() { newLoyalCaller(s, o.Seed, o.Callers+i).run(ctx) })
	}
	var steps conc.WaitGroup
	began := time.Now()
	for _, step := range report.Steps {
		if !sleepUntil(ctx, began.Add(step.At)) {
			break
		}
		steps.Go(func() { s.perform(step) })
	}
	steps.Wait()
	report.RecoveryTime = s.recover()
	cancel()
	wg.Wait()
	s.cuts.Wait()
}

// sleepUntil waits for a time. It returns false if ctx ends before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// recover waits until all daemons are ready and nothing fails for some time.
func (s *site) recover() time.Duration {
	began := time.Now()
	calmSince := began
	for time.Since(began) < recoverWithin {
		time.Sleep(pollEvery)
		if !s.awaitReady(0) || s.oracle.failedSince(calmSince) {
			calmSince = time.Now()
		}
		if time.Since(calmSince) >= calm {
			return calmSince.Sub(began)
		}
	}
	if s.troubles.quiet(began, time.Now(), subjectMachine) {
		s.oracle.report(Recovers, "requests fail or daemons aren't ready %v after the last trouble", recoverWithin)
	}
	return recoverWithin
}

// awaitReady waits until all daemons are ready, and reports whether they are.
func (s *site) awaitReady(within time.Duration) bool {
	began := time.Now()
	for !s.ready() {
		if time.Since(began) >= within {
			return false
		}
		time.Sleep(pollEvery)
	}
	return true
}

func (s *site) ready() bool {
	client := standin.NewCaller()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, d := range s.daemons {
		if !client.IsReady(ctx, d.about.Ready()) {
			return false
		}
	}
	return true
}
