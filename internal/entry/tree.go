package entry

import (
	"context"
	"slices"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/graceful"
	"tamarackchute/internal/settings"
	"tamarackchute/quarantine"
	"tamarackchute/rules"
	"tamarackchute/stopplan"
)

// stopTimeout bounds the wait for a service to end: claims need up to 5 s to record
// the results of calls in progress.
const stopTimeout = 8 * time.Second

// tree is the supervisor tree:
//
//	base                   ends after all others
//	└── journal            reads the complete log, appends in batches
//	entry
//	├── claims             checkpoints; at the end records calls in progress
//	├── learning
//	│   ├── platform's list
//	│   ├── reports of …   one for each engine: load and cache events
//	│   ├── orders         drains and roles from the journal to the router
//	│   ├── capacity       engines' capacity for admission, load for rules
//	│   ├── admission      refuses early what can't meet its deadline
//	│   ├── paths          whether the upstreams are reached
//	│   ├── gauges         state for the metrics page
//	│   ├── rules          checkpoints
//	│   └── quarantine     checkpoints; crash reports that aren't in the log yet
//	├── exchange with peers  membership, status to the leaders, peers' rules
//	└── serving
//	    ├── callers' connections
//	    ├── callers        HTTP
//	    └── operators      HTTP
//
// Each supervisor restarts its services. One that keeps failing is retried after a
// pause and doesn't end the others.
func (e *Entry) tree() *suture.Supervisor {
	root := suture.New("entry", e.supervisorSpec())
	root.Add(e.claims)
	root.Add(e.node)
	root.Add(e.feedSupervisor())
	root.Add(e.servingSupervisor())
	return root
}

func (e *Entry) baseSupervisor() *suture.Supervisor {
	s := suture.New("base", e.supervisorSpec())
	s.Add(e.journal)
	return s
}

func (e *Entry) supervisorSpec() suture.Spec {
	return suture.Spec{EventHook: e.logEvent, FailureBackoff: time.Second, Timeout: stopTimeout}
}

func (e *Entry) feedSupervisor() *suture.Supervisor {
	s := suture.New("learning", e.supervisorSpec())
	s.Add(&listFeed{list: e.cfg.List, consumers: e.listConsumers()})
	engines := engineNames(e.cfg.Deployment)
	for _, name := range engines {
		s.Add(&engineFeed{name: name, engine: e.cfg.Upstreams.Engine(name), tracker: e.tracker})
	}
	s.Add(&ordersFeed{orders: e.orders, engines: engines, tracker: e.tracker})
	s.Add(&capacityFeed{
		deployment: e.cfg.Deployment,
		dataCentre: e.self.DataCentre,
		tracker:    e.tracker,
		admission:  e.admission,
		load:       e.load,
		entries:    e.servingEntries,
	})
	s.Add(e.admission)
	s.Add(e.paths)
	s.Add(e.checkpointer())
	s.Add(newGauges(e))
	for _, guard := range []*quarantine.Guard{e.quarantine, e.serviceQuarantine} {
		s.Add(quarantineService{guard, seconds(e.cfg.Deployment.Platform.RetentionSeconds)})
	}
	return s
}

func (e *Entry) checkpointer() *rules.Checkpointer {
	instances := e.cfg.Deployment.Instances
	slot := slices.IndexFunc(instances, func(in settings.Instance) bool { return in.Name == e.self.Name })
	return rules.NewCheckpointer(e.journal, e.replica, rules.CheckpointerOptions{
		Retention: seconds(e.cfg.Deployment.Platform.RetentionSeconds),
		Slot:      slot,
		Slots:     len(instances),
		Logger:    e.log,
	})
}

// quarantineService runs the quarantine's log writer as a suture service.
type quarantineService struct {
	guard     *quarantine.Guard
	retention time.Duration
}

func (k quarantineService) String() string { return "quarantine" }

// Serve implements suture.Service.
func (k quarantineService) Serve(ctx context.Context) error { return k.guard.Serve(ctx, k.retention) }

func (e *Entry) servingSupervisor() *suture.Supervisor {
	s := suture.New("serving", e.supervisorSpec())
	s.Add(e.callerWatcher)
	for _, l := range e.listeners {
		s.Add(l)
	}
	return s
}

func (e *Entry) logEvent(event suture.Event) {
	e.log.Warn("supervisor", "event", event.String())
}

// Run serves until ctx ends, then shuts down gracefully and returns.
func (e *Entry) Run(ctx context.Context) error {
	callers := newListener("callers", e.self.Callers, e.cfg.ServerTLS, e.gateway.App(), e.log)
	operators := newListener("operators", e.self.Operators, e.cfg.ServerTLS, e.operatorsApp(), e.log)
	operators.conns.LimitWait(graceful.AcceptReserve)
	e.limitConnections(callers.conns, callersPart)
	e.limitConnections(operators.conns, operatorsPart)
	e.listeners = []*listener{callers, operators}
	conns := graceful.All{operators.conns, callers.conns}
	if e.self.Forwards != "" {
		forwarded := newListener("forwarded", e.self.Forwards, e.cfg.ServerTLS, e.gateway.ForwardedApp(), e.log)
		e.limitConnections(forwarded.conns, forwardedPart)
		e.listeners = append(e.listeners, forwarded)
		conns = append(conns, forwarded.conns)
	}
	for _, l := range e.listeners {
		if err := l.bind(); err != nil {
			return err
		}
	}
	base, stopBase := context.WithCancel(context.Background())
	defer stopBase()
	baseDone := e.baseSupervisor().ServeBackground(base)
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	done := e.tree().ServeBackground(work)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	e.drain(done, conns)
	e.gateway.Abort()
	stopWork()
	<-done
	e.gateway.Wait()
	e.answers.Wait()
	e.crashDetector.Wait()
	e.serviceCrashes.Wait()
	stopBase()
	<-baseDone
	return nil
}

// The parts of the shares for connections that each address has, so that a crowd at one leaves the others theirs.
const (
	callersPart   = 0.6
	forwardedPart = 0.3
	operatorsPart = 0.1
)

// limitConnections limits what the connections to an address take to a part of the shares.
func (e *Entry) limitConnections(conns *graceful.Connections, part float64) {
	conns.SetLimits(graceful.Limits{
		Connections: int(part * float64(e.shares.Connections)), Heads: bodylimit.New(int64(part * float64(e.shares.Heads))),
	})
}

// drain removes the instance from discovery responses at once and returns when it may
// exit.
func (e *Entry) drain(done <-chan error, conns graceful.All) {
	e.directory.BeginShutdown()
	e.gateway.BeginShutdown(stopplan.Begin(time.Now(), e.shutdown.DiscoveryTTL, e.shutdown.Grace), e.othersServe)
	e.node.Leave()
	e.shutdown.AcceptReserve = graceful.AcceptReserve
	e.shutdown.StopAccepting = conns.StopAccepting
	e.shutdown.CloseIdle = conns.CloseIdle
	e.shutdown.Drain(done, func() int { return max(e.gateway.Active(), conns.Active()) }, e.log)
	conns.Wait()
}
