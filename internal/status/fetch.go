package status

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/settings"
	"tamarackchute/internal/wire"
)

const (
	// firstFetchDelay is how long a starting entry waits for the log before it asks peers. If
	// it was killed after acknowledging a drain, leaders count that for wire.MaxStatusAge, and
	// an order could cut off its new requests. Any drain that is complete later without this
	// entry was applied by every peer, and then replies name it.
	firstFetchDelay = wire.MaxStatusAge + 100*time.Millisecond
	// maxConcurrentFetches limits how many peers are asked at the same time.
	maxConcurrentFetches = 8
	// fetchTimeout bounds one request to a peer, well within the two seconds in which an
	// instance with empty memory must serve.
	fetchTimeout = 600 * time.Millisecond
	// fetchInterval is the time between two rounds while the log can't be read.
	fetchInterval = time.Second
)

// FetchRules asks some peers, nearest first, for their rules in force and applies the
// replies to the replica, which keeps the highest version. Each round asks the next peers.
// It returns whether any reply was used; peers that don't answer are skipped.
func (n *Node) FetchRules(ctx context.Context, round int) bool {
	var used atomic.Bool
	var wg conc.WaitGroup
	for _, in := range n.peersToAsk(round) {
		wg.Go(func() {
			if n.fetchFrom(ctx, in) {
				used.Store(true)
			}
		})
	}
	wg.Wait()
	return used.Load()
}

// peersToAsk selects other instances by the settings alone, because no peer has been heard
// from at a start.
func (n *Node) peersToAsk(round int) []settings.Instance {
	var candidates []settings.Instance
	for _, dc := range n.opts.Deployment.Nearest(n.opts.Self.DataCentre) {
		for _, in := range n.opts.Deployment.Instances {
			if in.DataCentre == dc && in.Name != n.opts.Self.Name {
				candidates = append(candidates, in)
			}
		}
	}
	if len(candidates) <= maxConcurrentFetches {
		return candidates
	}
	first := round * maxConcurrentFetches % len(candidates)
	return slices.Concat(candidates[first:], candidates[:first])[:maxConcurrentFetches]
}

func (n *Node) fetchFrom(ctx context.Context, in settings.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	message, err := wire.Request(ctx, n.cfg, in.Peers, wire.RulesRequest{})
	if err != nil {
		n.log.Debug("rules request to peer failed", "peer", in.Name, "err", err)
		return false
	}
	reply, ok := message.(wire.RulesReply)
	if !ok {
		n.log.Warn("unexpected reply to a rules request", "peer", in.Name, "kind", message.Kind())
		return false
	}
	// Drains are applied first, because the entry begins to serve once it has rules.
	n.opts.Drains.ExcludeDraining(reply.Draining)
	return n.opts.Rules.ApplyPeerState(reply.PeerState)
}

// rulesFetcher asks peers for rules at the start, until the log has been read to its end
// and is more current than any peer.
type rulesFetcher struct{ node *Node }

func (f *rulesFetcher) String() string { return "rules of peers" }

// Serve returns for good once the log has been read.
func (f *rulesFetcher) Serve(ctx context.Context) error {
	wait := firstFetchDelay
	for round := 0; ; round++ {
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-f.node.opts.CaughtUp:
			t.Stop()
			return eris.Wrap(suture.ErrDoNotRestart, "the log has been read")
		case <-t.C:
		}
		if f.node.FetchRules(ctx, round) {
			f.node.log.Info("rules taken from a peer")
		}
		wait = fetchInterval
	}
}
