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

// The reasons for not being ready.
var (
	errShuttingDown = eris.New("this instance is stopping")
	errNoRules      = eris.New("this instance has not learnt the rules yet")
)

// ready returns nil once callers may be sent here.
func (e *Entry) ready() error {
	if e.gateway.ShuttingDown() {
		return errShuttingDown
	}
	if e.ruleSource.current() == nil {
		return errNoRules
	}
	return nil
}

// buildExchange makes the exchange with peers and leaders.
func (e *Entry) buildExchange() {
	e.node = status.NewNode(status.Options{
		Deployment: e.cfg.Deployment,
		Self:       e.self,
		Secret:     e.cfg.Secret,
		ServerTLS:  e.cfg.ServerTLS,
		ClientTLS:  e.cfg.ClientTLS,
		Leases:     e.leases,
		Rules:      e.rules,
		Drains:     e.drains,
		Applied:    e.journal.Applied,
		CaughtUp:   e.journal.CaughtUp(),
		Source:     e.entryStatus,
		Logger:     e.log,
	})
}

// entryStatus is what the leaders need to know of this entry.
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

// entries counts the instances that share the engines.
func (e *Entry) servingEntries() int {
	serving := 0
	for _, m := range e.node.View().Members {
		if m.Name == e.self.Name || m.State == membership.Live || m.State == membership.Leaving {
			serving++
		}
	}
	return max(1, serving)
}

// listTakers are told each answer of the platform's list.
func (e *Entry) listConsumers() []func([]infra.Instance) {
	return []func([]infra.Instance){e.tracker.SetInstances, e.node.TakeList}
}
