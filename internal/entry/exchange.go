package entry

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"tamarackchute/infra"
	"tamarackchute/internal/status"
	"tamarackchute/internal/wire"
	"tamarackchute/membership"
)

// The reasons why an instance isn't ready; /readyz returns their text.
var (
	errShuttingDown = eris.New("this instance is stopping")
	errNoRules      = eris.New("this instance has not learnt the rules yet")
)

// ready returns nil if callers may use this instance.
func (e *Entry) ready() error {
	if e.gateway.ShuttingDown() {
		return errShuttingDown
	}
	if e.ruleSource.current() == nil {
		return errNoRules
	}
	return nil
}

// buildExchange creates the node that exchanges state with peers and leaders.
func (e *Entry) buildExchange() {
	e.node = status.NewNode(status.Options{
		Deployment: e.cfg.Deployment,
		Self:       e.self,
		Secret:     e.cfg.Secret,
		ServerTLS:  e.cfg.ServerTLS,
		ClientTLS:  e.cfg.ClientTLS,
		Leases:     e.leases,
		Rules:      e.replica,
		Drains:     e.drains,
		Applied:    e.journal.Applied,
		CaughtUp:   e.journal.CaughtUp(),
		Source:     e.entryStatus,
		Logger:     e.log,
	})
}

// entryStatus returns the state of this entry for the leaders.
func (e *Entry) entryStatus() wire.EntryStatus {
	applied, busy := e.inflight.Status()
	s := wire.EntryStatus{Applied: applied, Demand: e.demand.report()}
	for name, n := range busy {
		s.InFlight = append(s.InFlight, wire.EngineInFlight{Engine: name, Requests: n})
	}
	slices.SortFunc(s.InFlight, func(a, b wire.EngineInFlight) int {
		return compareStrings(a.Engine, b.Engine)
	})
	return s
}

func compareStrings(a, b string) int { return strings.Compare(a, b) }

// servingEntries counts the instances that share the engines.
func (e *Entry) servingEntries() int {
	serving := 0
	for _, m := range e.node.View().Members {
		if m.Name == e.self.Name || m.State == membership.Live || m.State == membership.Leaving {
			serving++
		}
	}
	return max(1, serving)
}

// othersServe reports whether other instances serve callers.
func (e *Entry) othersServe() bool {
	return slices.ContainsFunc(e.node.View().Members, func(m membership.MemberView) bool { return m.Name != e.self.Name && m.State == membership.Live })
}

// listConsumers returns the functions that receive each version of the instance list.
func (e *Entry) listConsumers() []func([]infra.Instance) {
	return []func([]infra.Instance){e.tracker.SetInstances, e.node.ApplyList}
}
