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
	// startedWithin is the time after a start in which a daemon owes nothing in
	// time: it learns the configuration and the servers first.
	startedWithin = 4 * time.Second
	// restartAfter is how long the platform takes to start an ended process.
	restartAfter = 300 * time.Millisecond
	logMode      = 0o644
)

// daemonSubject names a daemon that is down, starting or paused.
func daemonSubject(daemon int) string { return fmt.Sprintf("daemon %d", daemon) }

// pauseSubject names a daemon that is paused.
func pauseSubject(daemon int) string { return fmt.Sprintf("pause %d", daemon) }

// daemon runs a daemon's program, one process after another.
type daemon struct {
	number   int
	about    standin.Daemon
	program  string
	settings string
	logs     string
	oracle   *oracle
	troubles *troubles

	mu   sync.Mutex
	cmd  *exec.Cmd
	life int
	// ending says that a signal to end was sent to this process, killed that it
	// was one that lets it finish nothing.
	ending, killed bool
	// over says that no further process is to be started.
	over   bool
	ends   map[int]processEnd
	exited chan struct{}
	// endDown ends the trouble of being down and starting.
	endDown func()
}

// processEnd is how a process ended.
type processEnd struct {
	at     time.Time
	killed bool
}

// start runs a new process, unless one runs.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ended := d.ends[d.life]; d.over || d.life > 0 && !ended {
		return nil
	}
	if d.endDown == nil {
		d.endDown = d.troubles.begin(daemonSubject(d.number))
	}
	log, err := os.OpenFile(d.logs, os.O_APPEND|os.O_CREATE|os.O_WRONLY, logMode)
	if err != nil {
		return eris.Wrap(err, "daemon's log")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(d.program, "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "daemon")
	}
	d.cmd, d.ending, d.killed, d.exited = cmd, false, false, make(chan struct{})
	d.life++
	go d.await(cmd, d.life, d.exited)
	time.AfterFunc(startedWithin, d.endDown)
	d.endDown = nil
	return nil
}

func (d *daemon) await(cmd *exec.Cmd, life int, exited chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends[life] = processEnd{at: time.Now(), killed: d.killed}
	if d.endDown == nil {
		d.endDown = d.troubles.begin(daemonSubject(d.number))
	}
	if !d.ending {
		d.oracle.report(NoUnexpectedExit, "daemon %d ended: %v; its log is %s", d.number, err, filepath.Base(d.logs))
	}
	close(exited)
}

// signal sends a signal to the process, if it lives.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ended := d.ends[d.life]; ended {
		return
	}
	switch s {
	case syscall.SIGKILL:
		d.ending, d.killed = true, true
	case syscall.SIGTERM:
		d.ending = true
	}
	if err := d.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		d.oracle.report(NoUnexpectedExit, "daemon %d can't be signalled: %v", d.number, err)
	}
}

// stop asks the process to end, kills it after its grace and waits for the end.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	told := time.Now()
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(d.about.Grace):
		if d.troubles.quiet(told, time.Now(), pauseSubject(d.number), subjectMachine) {
			d.oracle.report(StopsWithinGrace, "daemon %d runs %v after it was told to stop", d.number, d.about.Grace)
		}
		d.kill()
	}
}

// kill ends the process at once and waits for the end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	<-exited
}

// end kills the process for good.
func (d *daemon) end() {
	d.mu.Lock()
	d.over = true
	started := d.life > 0
	d.mu.Unlock()
	if started {
		d.kill()
	}
}

// pause stops the process from running for a while.
func (d *daemon) pause(length time.Duration) {
	ends := []func(){d.troubles.begin(daemonSubject(d.number)), d.troubles.begin(pauseSubject(d.number))}
	d.signal(syscall.SIGSTOP)
	time.Sleep(length)
	d.signal(syscall.SIGCONT)
	// What the pause held up is caught up with first.
	time.AfterFunc(startedWithin, func() {
		for _, end := range ends {
			end()
		}
	})
}

// lifeNow returns the number of the process that runs or ran last.
func (d *daemon) lifeNow() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life
}

// awaitEnd returns how a process ended, zero if it lives. It waits for the end of one that
// has been told to end: its connections close before its end is known.
func (d *daemon) awaitEnd(life int) processEnd {
	d.mu.Lock()
	end, ended := d.ends[life]
	ending, exited := life == d.life && d.ending, d.exited
	d.mu.Unlock()
	if ended || !ending {
		return end
	}
	<-exited
	return d.awaitEnd(life)
}
