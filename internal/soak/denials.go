package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"tamarackchute/platform/standin"
)

const (
	// addedService begins the names of the rules that one version each has added.
	addedService = "added"
	// probeInterval is the time between two requests for the newest rule at each daemon, probeDeadline
	// their deadline.
	probeInterval = 200 * time.Millisecond
	probeDeadline = time.Second
)

// addedRules returns the rules that the versions up to one have added.
func addedRules(version int) []standin.Service {
	var rules []standin.Service
	for v := 1; v <= version; v++ {
		rules = append(rules, standin.Service{
			Name: addedName(v), Kind: standin.Idempotent, Pool: versionPools[v-1], Attempts: 1, Timeout: probeDeadline,
		})
	}
	return rules
}

func addedName(version int) string { return fmt.Sprint(addedService, version) }

// probeRules asks a daemon, whatever directories say of it, for the rule that the newest version has
// added, until ctx ends.
func (s *site) probeRules(ctx context.Context, d *daemon) {
	client := standin.NewCaller()
	defer client.Close()
	for n := 1; sleepUntil(ctx, time.Now().Add(probeInterval)); n++ {
		s.mu.Lock()
		version := s.versions
		s.mu.Unlock()
		id := fmt.Sprintf("probe-%d-%d", d.number, n)
		key := s.keyFor(d.number%organisations, false)
		client.Key = key.text
		s.oracle.sent(id, service{name: addedName(version), kind: standin.Idempotent, deadline: probeDeadline}, key, d.number)
		call, cancel := context.WithTimeout(ctx, probeDeadline+callerTimeoutSlack)
		reply := client.Send(call, d.config.Callers(), addedName(version), id, probeDeadline, false, func() {})
		cancel()
		s.oracle.probed(id, version, reply)
	}
}

// probed checks the response to a request for the rule that a version has added.
func (o *oracle) probed(id string, version int, r standin.Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	o.counts[addedService+" "+outcomeOf(r)]++
	known := q.sentAt.Sub(o.published[version-1])
	if r.Status == http.StatusNotFound && known > maxConfigDelay {
		o.violate(NothingDenied, "daemon %d answered 404 for the rule of version %d, published %v before", q.daemon, version, known)
	}
}

// hangReads leaves reads of the store without a response that wait for a change, while a new version is
// published.
func (s *site) hangReads(step Step) {
	s.store.HangWaitingReads(true)
	s.publish()
	time.Sleep(maxConfigDelay + step.For)
	s.store.HangWaitingReads(false)
}
