package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/platform/standin"
)

const (
	// startupGrace is the time after a start in which a daemon's time limits aren't checked, as
	// it loads the configuration and the server list first.
	startupGrace = 4 * time.Second
	// handlerGrace is the time after a process's start without SIGHUP.
	handlerGrace = 500 * time.Millisecond
	// restartDelay is how long the platform takes to restart a process that exited.
	restartDelay = 300 * time.Millisecond
	logMode      = 0o644
)

// daemonSubject names a daemon's outages: it is down, starting or paused.
func daemonSubject(daemon int) string { return fmt.Sprintf("daemon %d", daemon) }

// stopSubject names a daemon's planned stops.
func stopSubject(daemon int) string { return fmt.Sprintf("stop %d", daemon) }

// killSubject names a daemon's kills, until the process has exited.
func killSubject(daemon int) string { return fmt.Sprintf("kill %d", daemon) }

// pauseSubject names a daemon's pauses.
func pauseSubject(daemon int) string { return fmt.Sprintf("pause %d", daemon) }

// daemon runs a daemon's program, one process after another. launch is the number of the latest
// process, exits holds how each process exited.
type daemon struct {
	number   int
	config   standin.Daemon
	program  string
	settings string
	logs     string
	oracle   *oracle
	faults   *faultLog

	mu     sync.Mutex
	cmd    *exec.Cmd
	launch int
	// startedAt is when the latest process was started.
	startedAt time.Time
	// stopping is set once this process was sent a signal to stop, killed if that was SIGKILL.
	stopping, killed bool
	// toldAt is when this process was first told to stop, zero if it wasn't.
	toldAt time.Time
	// endKill ends the kill in progress, nil if there is none.
	endKill func()
	// noRestart is set once no further process may be started.
	noRestart bool
	exits     map[int]processExit
	exited    chan struct{}
	// endOutage ends the outage that begins with a process's exit.
	endOutage func()
}

// processExit is when and how a process exited. toldAt is when it was told to stop, zero if it wasn't.
type processExit struct {
	at, toldAt time.Time
	killed     bool
}

// start starts a new process unless one is running.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ended := d.exits[d.launch]; d.noRestart || d.launch > 0 && !ended {
		return nil
	}
	if d.endOutage == nil {
		d.endOutage = d.faults.begin(daemonSubject(d.number))
	}
	log, err := os.OpenFile(d.logs, os.O_APPEND|os.O_CREATE|os.O_WRONLY, logMode)
	if err != nil {
		return eris.Wrap(err, "open daemon log")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(d.program, "-settings", d.settings, "-source", d.config.IP)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start daemon")
	}
	d.cmd, d.stopping, d.killed, d.toldAt, d.exited = cmd, false, false, time.Time{}, make(chan struct{})
	d.launch++
	d.startedAt = time.Now()
	go d.wait(cmd, d.launch, d.exited)
	time.AfterFunc(startupGrace, d.endOutage)
	d.endOutage = nil
	return nil
}

// wait records a process's exit and reports it as a violation if the process wasn't told to stop.
func (d *daemon) wait(cmd *exec.Cmd, launch int, exited chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exits[launch] = processExit{at: time.Now(), toldAt: d.toldAt, killed: d.killed}
	if d.endKill != nil {
		d.endKill()
		d.endKill = nil
	}
	if d.endOutage == nil {
		d.endOutage = d.faults.begin(daemonSubject(d.number))
	}
	if !d.stopping {
		d.oracle.report(NoUnexpectedExit, "daemon %d ended: %v; its log is %s", d.number, err, filepath.Base(d.logs))
	}
	close(exited)
}

// signal sends a signal to the process if it is running.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ended := d.exits[d.launch]; ended {
		return
	}
	switch s {
	case syscall.SIGKILL:
		d.stopping, d.killed = true, true
		if d.endKill == nil {
			d.endKill = d.faults.begin(killSubject(d.number))
		}
	case syscall.SIGTERM:
		if d.stopping = true; d.toldAt.IsZero() {
			d.toldAt = time.Now()
		}
	}
	if err := d.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		d.oracle.report(NoUnexpectedExit, "daemon %d can't be signalled: %v", d.number, err)
	}
}

// reload sends SIGHUP, but not before the process can have installed its handler: until then, the
// signal's default action ends it.
func (d *daemon) reload() {
	d.mu.Lock()
	wait := time.Until(d.startedAt.Add(handlerGrace))
	d.mu.Unlock()
	time.Sleep(wait)
	d.signal(syscall.SIGHUP)
}

// stop sends SIGTERM, kills the process if its grace period passes, and waits for its exit.
func (d *daemon) stop() {
	endStop := d.faults.begin(stopSubject(d.number))
	defer endStop()
	d.signal(syscall.SIGTERM)
	requestedAt := time.Now()
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(d.config.Grace):
		if d.faults.undisturbed(requestedAt, time.Now(), pauseSubject(d.number), subjectMachine) {
			d.oracle.report(StopsWithinGrace, "daemon %d runs %v after it was told to stop", d.number, d.config.Grace)
		}
		d.kill()
	}
}

// kill kills the process and waits for its exit.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	<-exited
}

// shutDown kills the process and prevents further starts.
func (d *daemon) shutDown() {
	d.mu.Lock()
	d.noRestart = true
	started := d.launch > 0
	d.mu.Unlock()
	if started {
		d.kill()
	}
}

// pause suspends the process with SIGSTOP for a while.
func (d *daemon) pause(duration time.Duration) {
	resume := d.suspend()
	time.Sleep(duration)
	resume()
}

// currentLaunch returns the number of the process that is running or ran last.
func (d *daemon) currentLaunch() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.launch
}

// awaitExit returns how a process exited, zero if it is running. It waits for the exit of a
// stopping process, whose connections close before its exit is known.
func (d *daemon) awaitExit(launch int) processExit {
	d.mu.Lock()
	exit, ended := d.exits[launch]
	stopping, exited := launch == d.launch && d.stopping, d.exited
	d.mu.Unlock()
	if ended || !stopping {
		return exit
	}
	<-exited
	return d.awaitExit(launch)
}
