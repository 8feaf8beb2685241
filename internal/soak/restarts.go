package soak

import (
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/platform/standin"
)

const (
	// refusalLead is how long servers refuse requests before all daemons are killed:
	// what retries were earned before is spent then.
	refusalLead = 3 * time.Second
	// maxRestartsOfAll is how often all daemons are killed in a row, within a window of the retry budget.
	maxRestartsOfAll = 2
)

// killAllDaemons lets all but one server of a service refuse requests, kills all daemons meanwhile, and again
// soon after they have returned.
func (s *site) killAllDaemons(step Step) {
	name := services[step.Target%len(services)].name
	var endings []func()
	sound := true
	for _, slot := range s.slots {
		if slot.pool != name {
			continue
		}
		if sound {
			sound = false // one goes on
			continue
		}
		server, _ := slot.current()
		endings = append(endings, func() { server.FailAll(standin.NoFault) }, s.faults.begin(serversSubject(slot.pool)))
		server.FailAll(standin.Shed)
	}
	time.Sleep(refusalLead)
	for range 1 + step.Variant%maxRestartsOfAll {
		s.restartAll(step.For)
		time.Sleep(refusalLead)
	}
	for _, end := range slices.Backward(endings) {
		end()
	}
}

// restartAll kills all daemons at once, and starts each again after a time.
func (s *site) restartAll(after time.Duration) {
	var restarts conc.WaitGroup
	for _, d := range s.daemons {
		restarts.Go(func() {
			d.kill()
			s.restartDaemon(d, after)
		})
	}
	restarts.Wait()
}
