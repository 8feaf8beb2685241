// Package operatortest runs an instance's operators' interface on any log, for tests of the
// interface and of chutectl.
package operatortest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/claim"
	"tamarackchute/infra"
	"tamarackchute/internal/audit"
	"tamarackchute/internal/operator"
	"tamarackchute/internal/operator/api"
	"tamarackchute/internal/settings"
	"tamarackchute/journal"
	"tamarackchute/quarantine"
	"tamarackchute/rules"
)

// Token is the token of the operator "anna".
const Token = "spring-lime-4711"

// KnownNames lists the names that rules may refer to.
var KnownNames = rules.KnownNames{
	Pools:       []string{"agronomy", "booking"},
	Models:      []string{"soil"},
	DataCentres: []string{"cesis-a"},
}

// Instance is the part of an entry that serves operators.
type Instance struct {
	App     *fiber.App
	Journal *journal.Journal
	Replica *rules.Replica
	Trail   *audit.Trail
	Guard   *quarantine.Guard
	Claims  *claim.Guard
	// Stop stops the instance's journal.
	Stop func()
}

// Start runs an instance on a log and waits until it has read the log, for at most a second
// if the log doesn't answer.
func Start(log infra.Log, name string, logger *slog.Logger) *Instance {
	i := &Instance{App: fiber.New(fiber.Config{DisableStartupMessage: true})}
	i.Journal = journal.New(log, journal.Config{Writer: name + "/entry/1", Logger: logger})
	i.Trail = audit.NewTrail(0, logger)
	i.Replica = rules.NewReplica(rules.ReplicaOptions{Logger: logger, Observe: i.Trail.ObserveRules})
	i.Guard = quarantine.NewGuard(quarantine.DefaultConfig(), i.Journal, name, nil)
	i.Journal.Register(journal.KindRules, i.Replica)
	i.Journal.Register(journal.KindAudit, i.Trail)
	i.Journal.Register(journal.KindQuarantine, i.Guard)
	claims, err := claim.NewGuard(i.Journal, claim.Config{Writer: name + "/entry/1"})
	if err != nil {
		panic(err) // the default configuration is valid
	}
	i.Claims = claims
	i.Journal.Register(journal.KindClaim, i.Claims)
	operator.Register(i.App, operator.Deps{
		Operators:  []settings.Operator{{Name: "anna", TokenSHA256: hashOf(Token)}},
		Publisher:  rules.NewPublisher(i.Journal, i.Replica, KnownNames),
		Replica:    i.Replica,
		KnownNames: KnownNames,
		Trail:      i.Trail,
		Journal:    i.Journal,
		Quarantine: i.Guard,
		Claims:     i.Claims,
		Status:     func() api.Status { return i.status(name) },
		Logger:     logger,
		// Long for a loopback connection, but short enough to test an outage.
		WriteTimeout: 500 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = i.Journal.Serve(ctx) })
	i.Stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	select {
	case <-i.Journal.CaughtUp():
	case <-time.After(time.Second):
	}
	return i
}

func hashOf(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

func (i *Instance) status(name string) api.Status {
	return api.Status{
		Instance: name, DataCentre: "cesis-a", Ready: true, LogUp: i.Journal.Health().LogUp, Requests: 3,
		Claims:    api.ClaimStatus{Complete: i.Claims.Stats().Complete, Keys: i.Claims.Stats().Keys},
		Rules:     i.Replica.Status(),
		Instances: []api.InstanceStatus{{Name: "c1", DataCentre: "cesis-a", State: "live"}},
		Upstreams: []api.UpstreamStatus{
			{Name: "e1", Kind: "engine", DataCentre: "cesis-a", Pool: "agronomy", Role: "decode", Usable: true, InFlight: 2},
			{Name: "e2", Kind: "engine", DataCentre: "cesis-a", Pool: "agronomy", Role: "mixed", Change: "draining for prefill"},
		},
		Leaders: []api.LeaderStatus{{Scope: "cesis-a/checked", Holder: "c1/controller", FencingToken: 12, Since: time.Unix(0, 0).UTC()}},
	}
}
