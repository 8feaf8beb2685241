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
	// askAfter is how long a starting entry waits for the log before it asks
	// peers. It guards against a request cut off by an order: an entry that was
	// killed had acknowledged a drain of which its successor doesn't know, and
	// for a while a leader still counts the acknowledgement. Once it doesn't any
	// more, no drain is complete without this instance, but those that every
	// peer has applied already; the peer's answer names these.
	askAfter = wire.MaxStatusAge + 100*time.Millisecond
	// askAtOnce bounds how many peers are asked at the same time.
	askAtOnce = 8
	// askTimeout bounds one question, well within the two seconds in which an
	// instance with empty memory must serve.
	askTimeout = 600 * time.Millisecond
	// askAgain is the time between two rounds while the log can't be read.
	askAgain = time.Second
)

// FetchRules asks some peers, the nearest first, for the rules that they have in
// force and offers them to the book, which keeps the highest version. Each round
// asks the next ones. It returns whether any answer was of use; peers that don't
// answer are passed over.
func (n *Node) FetchRules(ctx context.Context, round int) bool {
	var used atomic.Bool
	var wg conc.WaitGroup
	for _, in := range n.toAsk(round) {
		wg.Go(func() {
			if n.askRules(ctx, in) {
				used.Store(true)
			}
		})
	}
	wg.Wait()
	return used.Load()
}

// toAsk picks other instances by the settings alone: at a start nobody has been
// heard of yet.
func (n *Node) toAsk(round int) []settings.Instance {
	var near []settings.Instance
	for _, dc := range n.opts.Deployment.Nearest(n.opts.Self.DataCentre) {
		for _, in := range n.opts.Deployment.Instances {
			if in.DataCentre == dc && in.Name != n.opts.Self.Name {
				near = append(near, in)
			}
		}
	}
	if len(near) <= askAtOnce {
		return near
	}
	first := round * askAtOnce % len(near)
	return slices.Concat(near[first:], near[:first])[:askAtOnce]
}

func (n *Node) askRules(ctx context.Context, in settings.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := wire.Request(ctx, n.cfg, in.Peers, wire.RulesRequest{})
	if err != nil {
		n.log.Debug("peer gave no rules", "peer", in.Name, "err", err)
		return false
	}
	reply, ok := answer.(wire.RulesReply)
	if !ok {
		n.log.Warn("peer answered with something else", "peer", in.Name, "kind", answer.Kind())
		return false
	}
	// First the drains: with the rules the entry begins to serve.
	n.opts.Drains.Avoid(reply.Draining)
	return n.opts.Rules.ApplyPeerState(reply.PeerState)
}

// rulesFetcher asks peers for rules at the start, until the log has been read to
// its end: from then on the log tells more than any peer.
type rulesFetcher struct{ node *Node }

func (f *rulesFetcher) String() string { return "rules of peers" }

// Serve ends for good once the log has been read.
func (f *rulesFetcher) Serve(ctx context.Context) error {
	wait := askAfter
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
		wait = askAgain
	}
}
