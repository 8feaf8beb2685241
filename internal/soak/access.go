package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/platform/standin"
)

const (
	// organisations is the number of organisations of a run.
	organisations = 3
	// revocationBound is the time after its removal from which a key must not be used.
	revocationBound = 2500 * time.Millisecond
	// One in removedKeyOneIn requests uses a key that was removed, if there is one.
	removedKeyOneIn = 8
)

// accessKey is a key of an organisation. Its times are set by the oracle.
type accessKey struct {
	text, organisation string
	// addedAt and removedAt are when the configurations that add and remove it were acknowledged.
	addedAt, removedAt time.Time
}

// access holds the organisations' keys. Each has two valid keys, so that callers can use the older
// one until the newer one is in force everywhere. s.mu is held.
type access struct {
	keys [organisations][]*accessKey
	// generation counts the keys.
	generation int
}

func (a *access) organisation(i int) string { return fmt.Sprint("organisation-", i) }

// add creates a key.
func (a *access) add(i int) *accessKey {
	a.generation++
	key := &accessKey{text: fmt.Sprintf("key-%d-of-%d", a.generation, i), organisation: a.organisation(i)}
	a.keys[i] = append(a.keys[i], key)
	return key
}

// published returns the organisations with their valid keys, the last two.
func (a *access) published() []standin.Tenant {
	var all []standin.Tenant
	for i, keys := range a.keys {
		t := standin.Tenant{Name: a.organisation(i), Priority: i}
		for _, key := range keys[max(0, len(keys)-2):] {
			t.ApiKeys = append(t.ApiKeys, key.text)
		}
		all = append(all, t)
	}
	return all
}

// rotateKey adds a key of an organisation and removes its oldest valid one.
func (s *site) rotateKey(organisation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.access.keys[organisation]
	removed := keys[len(keys)-2]
	added := s.access.add(organisation)
	s.putConfig()
	s.oracle.keyChanged(added, removed)
}

// revokeInOutage removes a key while the store's answers are slow, and takes the store away right
// afterwards for longer than the key may be used: no daemon learns of the removal.
func (s *site) revokeInOutage(step Step) {
	end := s.faults.begin(subjectStore)
	s.store.Fail(standin.StoreSlowReplies)
	time.Sleep(standin.SlowReply)
	s.rotateKey(step.Target % organisations)
	s.store.Fail(standin.StoreSilent)
	time.Sleep(revocationBound + standin.SlowReply + step.For)
	s.store.Fail(standin.StoreHealthy)
	time.AfterFunc(settleDelay, end)
}

// keyFor returns the key that a caller uses next: one that was removed, or the newest that has been
// valid long enough to be known everywhere.
func (s *site) keyFor(organisation int, useRemoved bool) *accessKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.access.keys[organisation]
	if n := len(keys); useRemoved && n > 2 {
		return keys[n-3]
	}
	newest := keys[len(keys)-1]
	if time.Since(newest.addedAt) > maxConfigDelay {
		return newest
	}
	return keys[len(keys)-2]
}

// forwardedLine matches the log line of a request that was passed on to another daemon.
var forwardedLine = regexp.MustCompile(`"msg":"forwarded","instance":"[^"]*","request":"([^"]*)"`)

// checkLogs reports keys in the daemons' logs, and requests that were passed on by two daemons.
func (s *site) checkLogs() error {
	forwardedBy := make(map[string]int)
	for _, d := range s.daemons {
		text, err := os.ReadFile(d.logs)
		if err != nil {
			return eris.Wrap(err, "read daemon log")
		}
		for _, line := range forwardedLine.FindAllSubmatch(text, -1) {
			id := string(line[1])
			if first, again := forwardedBy[id]; again && first != d.number {
				s.oracle.report(ForwardedOnce, "%s was passed on by daemon %d and by daemon %d", id, first, d.number)
			}
			forwardedBy[id] = d.number
		}
		for _, keys := range s.access.keys {
			for _, key := range keys {
				if bytes.Contains(text, []byte(key.text)) {
					s.oracle.report(KeysStayInside, "the log of daemon %d contains a key of %s", d.number, key.organisation)
				}
			}
		}
	}
	return nil
}

// keyChanged records that a configuration with a new key and without an old one was acknowledged.
func (o *oracle) keyChanged(added, removed *accessKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	added.addedAt, removed.removedAt = now, now
	o.counts["keys removed"]++
}

// checkAccess checks the organisation that a server is told, and that it gets no key.
func (o *oracle) checkAccess(v standin.RequestInfo, q *request) {
	if v.KeyPassedOn {
		o.violate(KeysStayInside, "%s reached %s with a key", v.ID, v.Server)
	}
	if v.Organisation != q.key.organisation && !(q.service.public() && v.Organisation == "") {
		o.violate(KeysStayInside, "%s of %q reached %s as of %q", v.ID, q.key.organisation, v.Server, v.Organisation)
	}
}

// checkRevocation reports a run of a request that was sent with a key that had been removed for
// longer than revocationBound.
func (o *oracle) checkRevocation(v standin.RequestInfo, q *request) {
	removedAt := q.key.removedAt
	if removedAt.IsZero() || q.service.public() || !q.sentAt.After(removedAt.Add(revocationBound)) {
		return
	}
	o.violate(RevocationHolds, "%s ran at %s, sent %v after its key was removed, by daemon %d", v.ID, v.Server, q.sentAt.Sub(removedAt), q.daemon)
}

// checkUnauthorised reports a request that was refused although its key was valid long enough.
func (o *oracle) checkUnauthorised(id string, q *request, r standin.Reply, now time.Time) {
	if r.Status != http.StatusUnauthorized || !q.key.removedAt.IsZero() {
		return
	}
	from := q.sentAt.Add(-maxConfigDelay)
	if q.key.addedAt.After(from) {
		return
	}
	if o.faults.undisturbed(from, now, subjectMachine, subjectStore, daemonSubject(q.daemon), storeLinkSubject(q.daemon)) {
		o.violate(ValidKeysAccepted, "%s was refused by daemon %d, %v after its key was added", id, q.daemon, now.Sub(q.key.addedAt))
	}
}

// public reports whether requests need no key.
func (s service) public() bool {
	return s.name == versionService || s.name == momentService.name || s.name == silentService.name || s.name == handedService.name || slices.ContainsFunc(hostServices, func(v service) bool { return v.name == s.name }) || strings.HasPrefix(s.name, releasePrefix)
}
