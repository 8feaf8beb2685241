package main

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/controller"
	"tamarackchute/internal/settings"
	"tamarackchute/lease"
)

// BenchmarkHandover measures the time without a leader: from a signal to the leader until
// the journal shows the successor's claim, plus the settle time for engines that don't
// check fencing tokens.
func BenchmarkHandover(b *testing.B) {
	cases := []struct {
		name   string
		f      settings.Fencing
		signal syscall.Signal
		// restart restarts the leader's process at once; unlist removes its instance from
		// the platform's list.
		restart, unlist bool
	}{
		{"checked/SIGKILL", settings.FencingChecked, syscall.SIGKILL, false, false},
		{"checked/SIGKILL-restarted", settings.FencingChecked, syscall.SIGKILL, true, false},
		{"checked/SIGSTOP", settings.FencingChecked, syscall.SIGSTOP, false, false},
		{"checked/SIGTERM", settings.FencingChecked, syscall.SIGTERM, false, false},
		{"none/SIGKILL-restarted", settings.FencingNone, syscall.SIGKILL, true, false},
		{"none/SIGKILL-unlisted", settings.FencingNone, syscall.SIGKILL, false, true},
		{"none/SIGTERM", settings.FencingNone, syscall.SIGTERM, false, false},
	}
	for _, bc := range cases {
		b.Run(bc.name, func(b *testing.B) {
			d := deployment(b, bc.f, bc.f)
			c := startWith(b, d, d)
			var total, longest time.Duration
			for i := range b.N {
				before := c.waitForLeader(scopeOf(bc.f), 0)
				// Spread the signals over the interval between two renewals.
				time.Sleep(time.Second + time.Duration(i%7)*150*time.Millisecond)
				elapsed := c.measureHandover(before, bc.signal, bc.restart, bc.unlist)
				total += elapsed
				longest = max(longest, elapsed)
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s-leaderless")
			b.ReportMetric(longest.Seconds(), "s-longest")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkAtRest measures the appends per second of a whole deployment's controllers while
// nothing changes.
func BenchmarkAtRest(b *testing.B) {
	for _, name := range []string{"kalku-rinda", "regnbrunnur"} {
		b.Run(name, func(b *testing.B) {
			d := loadWithFreePorts(b, "../../deploy/"+name+"/settings.json")
			c := startWith(b, d, d)
			for _, u := range d.Upstreams {
				if u.Kind == settings.KindEngine {
					c.waitForLeader(controller.ScopeOf(u), 0)
				}
			}
			time.Sleep(5 * time.Second) // wait until the start-up records are written
			const interval = 20 * time.Second
			before := c.log.Counters().Appends
			time.Sleep(interval)
			b.ReportMetric(float64(c.log.Counters().Appends-before)/interval.Seconds(), "appends/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// loadWithFreePorts loads a deployment and assigns it free addresses.
func loadWithFreePorts(b *testing.B, file string) *settings.Deployment {
	d, err := settings.Load(file)
	require.NoError(b, err)
	for i := range d.Instances {
		in := &d.Instances[i]
		in.Callers, in.Operators, in.Peers = nextAddress(), nextAddress(), nextAddress()
		in.ControllerOperators, in.ControllerPeers = nextAddress(), nextAddress()
	}
	for i := range d.Upstreams {
		d.Upstreams[i].Address = nextAddress()
	}
	d.Platform.Log, d.Platform.Instances, d.Platform.Weights = nextAddress(), nextAddress(), nextAddress()
	d.Security.PeerSecretFile = "peer.secret"
	return d
}

// measureHandover stops the leader and returns how long no process could lead.
func (c *cluster) measureHandover(before lease.ScopeState, s syscall.Signal, restart, unlist bool) time.Duration {
	started := time.Now()
	c.signal(before.Holder, s)
	if s != syscall.SIGSTOP {
		_ = c.running[before.Holder].Wait()
		delete(c.running, before.Holder)
	}
	if unlist {
		c.removeFromList(before.Holder)
	}
	if restart {
		c.launch(before.Holder)
	}
	after := c.waitForLeader(before.Scope, before.FencingToken)
	elapsed := time.Since(started)
	if after.Unfenced {
		elapsed += time.Duration(c.d.Lease.SettleSeconds * float64(time.Second))
	}
	c.restore(before.Holder)
	return elapsed
}

// restore brings an instance back for the next iteration.
func (c *cluster) restore(instance string) {
	if cmd, ok := c.running[instance]; ok {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		return
	}
	c.addToList(instance)
	c.launch(instance)
}
