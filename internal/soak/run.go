// Package soak runs the real programs as separate processes among stand-ins for the platform and
// injects faults from outside: signals; links that delay, reset, stall or lose one direction; a
// failing store and failing servers. It checks the promises by what callers and servers observe.
//
// The seed determines a run's faults but not the scheduling: the same seed gives the same faults
// in another interleaving.
package soak

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"tamarackchute/platform/standin"
)

// Options configure a run.
type Options struct {
	// Program is the path of the daemon's executable.
	Program string
	// Folder holds the settings and logs of the daemons.
	Folder  string
	Seed    uint64
	Daemons int
	Callers int
	Profile FaultProfile
	// LongPolls lets the daemons wait for changes of the configuration, as they do where removed keys
	// needn't be unusable within a bound; some seeds do so anyway.
	LongPolls bool
	// Steps replace the seed's plan unless they are empty.
	Steps []Step
}

// DefaultFaultProfile returns a profile with several concurrent faults of up to some seconds.
func DefaultFaultProfile() FaultProfile {
	return FaultProfile{Length: 15 * time.Second, MeanInterval: 250 * time.Millisecond, MaxDuration: 3 * time.Second}
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Steps      []Step
	Violations []Violation
	// Outcomes counts requests by their outcome for the caller, and the cases that the checks
	// covered.
	Outcomes map[string]int
	// RecoveryTime is the time from the end of the last fault to the start of the first
	// stablePeriod in which no request failed and all daemons were ready.
	RecoveryTime time.Duration
}

const (
	// In one of longPollsOneIn seeds the daemons wait for changes of the configuration.
	longPollsOneIn = 5
	// startTimeout bounds the first start, which has no faults and takes under a second on an
	// idle machine; a busy machine must not fail the run.
	startTimeout = time.Minute
	// recoveryTimeout bounds the recovery, which ends with a stablePeriod.
	recoveryTimeout = 15 * time.Second
	stablePeriod    = 2 * time.Second
	pollInterval    = 50 * time.Millisecond
)

// Run runs the plan of a seed. The error is a failure of the soak itself; broken promises are in
// the report. When ctx ends, the daemons are killed and Run returns soon afterwards.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Folder, folderMode); err != nil {
		return nil, eris.Wrap(err, "soak folder")
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
	stop := context.AfterFunc(ctx, s.killDaemons)
	defer stop()
	if !s.awaitReady(startTimeout) {
		return nil, eris.New("daemons not ready before the start timeout; see their logs")
	}
	report := &Report{Seed: o.Seed, Steps: o.Steps}
	if len(report.Steps) == 0 {
		report.Steps = NewPlan(o.Seed, o.Profile)
	}
	s.executePlan(ctx, o, report)
	if ctx.Err() != nil {
		return nil, eris.Wrap(ctx.Err(), "soak")
	}
	s.oracle.finish(siteBudget, len(s.daemons))
	s.oracle.checkOrders(s.orders())
	if err := s.checkLogs(); err != nil {
		return nil, err
	}
	report.Violations = s.oracle.Violations()
	report.Outcomes = s.oracle.counts
	return report, nil
}

// executePlan runs callers and steps, waits for the recovery and stops the callers.
func (s *site) executePlan(ctx context.Context, o Options, report *Report) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { s.faults.watchMachineLoad(ctx.Done()) })
	wg.Go(func() { s.relist(ctx.Done()) })
	for _, d := range s.daemons {
		wg.Go(func() { s.probeRules(ctx, d) })
	}
	for i := range o.Callers {
		wg.Go(func() { newCaller(s, o.Seed, i).run(ctx) })
	}
	for i := range o.Callers / callersPerSingleConn {
		wg.Go(func() { newSingleConnectionCaller(s, o.Seed, o.Callers+i).run(ctx) })
	}
	var steps conc.WaitGroup
	start := time.Now()
	for _, step := range report.Steps {
		if !sleepUntil(ctx, start.Add(step.At)) {
			break
		}
		steps.Go(func() { s.inject(step) })
	}
	steps.Wait()
	report.RecoveryTime = s.awaitRecovery()
	sleepUntil(ctx, time.Now().Add(billingTail))
	cancel()
	wg.Wait()
	s.pendingChecks.Wait()
}

// sleepUntil waits until the given time. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// awaitRecovery waits until all daemons are ready and no request fails for a stablePeriod.
func (s *site) awaitRecovery() time.Duration {
	start := time.Now()
	stableSince := start
	for time.Since(start) < recoveryTimeout {
		time.Sleep(pollInterval)
		if !s.awaitReady(0) || s.oracle.failedSince(stableSince) {
			stableSince = time.Now()
		}
		if time.Since(stableSince) >= stablePeriod {
			return stableSince.Sub(start)
		}
	}
	if s.faults.undisturbed(start, time.Now(), subjectMachine) {
		s.oracle.report(Recovers, "requests fail or daemons aren't ready %v after the last trouble", recoveryTimeout)
	}
	return recoveryTimeout
}

// awaitReady waits for all daemons to be ready and reports whether they are before the timeout.
func (s *site) awaitReady(timeout time.Duration) bool {
	start := time.Now()
	for !s.ready() {
		if time.Since(start) >= timeout {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

func (s *site) ready() bool {
	client := standin.NewCaller()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, d := range s.daemons {
		if !client.IsReady(ctx, d.config.Ready()) {
			return false
		}
	}
	return true
}
