package soak

import (
	"fmt"
	"net"
	"time"

	"tamarackchute/platform/standin"
)

const (
	// furtherRules is the number of rules by which a configuration grows, slowStoreRate the rate of the
	// store's responses then, in bytes a second: a transfer takes longer than a call may be silent.
	furtherRules  = 900
	slowStoreRate = 125_000
	// silentShare is the share of the daemons, one in silentShare, whose connections to the store go
	// silent.
	silentShare = 2
)

// slowStore is what the site knows of a store that sends slowly.
type slowStore struct {
	slow bool
	// publishedAt is when a configuration was last published while the store is slow.
	publishedAt time.Time
	// end ends the disturbance by a second configuration, nil if there was none.
	end func()
}

// growConfiguration publishes a version with many more rules, while the store's responses come slowly. It
// does nothing while another such step lasts.
func (s *site) growConfiguration(step Step) {
	s.mu.Lock()
	if s.slowStore.slow {
		s.mu.Unlock()
		return
	}
	s.further, s.slowStore = furtherRules, slowStore{slow: true}
	s.mu.Unlock()
	s.store.LimitRate(slowStoreRate)
	s.publish()
	time.Sleep(maxConfigDelay + step.For)
	s.store.LimitRate(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowStore.end != nil {
		time.AfterFunc(settleDelay, s.slowStore.end)
	}
	s.slowStore = slowStore{}
}

// noteSlowPublication counts the store as disturbed if two configurations follow each other within the bound
// while it is slow: its rate carries one of them in that time. s.mu must be held.
func (s *site) noteSlowPublication(now time.Time) {
	slow := &s.slowStore
	if !slow.slow {
		return
	}
	if slow.end == nil && now.Sub(slow.publishedAt) < maxConfigDelay {
		slow.end = s.faults.begin(subjectStore)
	}
	slow.publishedAt = now
}

// furtherNames returns rules that nobody uses.
func furtherNames(n int) []standin.Service {
	rules := make([]standin.Service, 0, n)
	for i := range n {
		rules = append(rules, standin.Service{Name: fmt.Sprintf("further-%d", i), Kind: standin.Idempotent, Attempts: 1, Timeout: time.Second})
	}
	return rules
}

// maxEndlessRead is how many bytes without end may be sent in answer to one request: the limit of a body, and
// what the sockets on both sides of a proxy hold.
const maxEndlessRead = 32 << 20

// sendEndless makes a server send bytes without end in place of its answers for a while, and checks that
// they are given up.
func (s *site) sendEndless(slot *serverSlot, step Step) {
	end := s.faults.begin(serversSubject(slot.pool))
	server, _ := slot.current()
	sent, answered := server.EndlessSent()
	form := standin.AllEndless[step.Variant%len(standin.AllEndless)]
	server.SendEndless(form)
	time.Sleep(step.For)
	server.SendEndless("")
	time.Sleep(settleDelay)
	end()
	sentAfter, answeredAfter := server.EndlessSent()
	if bytes, answers := sentAfter-sent, answeredAfter-answered; bytes > answers*maxEndlessRead {
		s.oracle.report(EndlessGivenUp, "%s sent %d bytes in %d answers, %s without end", server.ID, bytes, answers, form)
	}
}

// silenceStoreConnections makes the open connections of some daemons to the store go silent for good, and
// publishes a version after that. New connections work.
func (s *site) silenceStoreConnections(step Step) {
	for i, link := range s.links {
		if (i+step.Target)%silentShare == 0 {
			end := s.faults.begin(storeLinkSubject(i))
			link.SilenceOpen()
			time.AfterFunc(settleDelay, end)
		}
	}
	time.Sleep(step.For)
	s.publish()
}

// SilenceOpen makes all open connections lose whatever is sent on them from now on, in both directions.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silent[c] = struct{}{}
	}
}

func (p *Proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, silent := p.silent[c]
	return silent
}
