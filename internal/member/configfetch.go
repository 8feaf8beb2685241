package member

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"tamarackchute/internal/telemetry"
	"tamarackchute/internal/transfer"
	"tamarackchute/internal/wire"
)

// The outcomes of a fetch of the configuration.
const (
	fetchComplete = "complete"
	fetchFailed   = "failed"
)

// fetchLog logs and counts the fetches of the configuration, from the store and from other daemons.
type fetchLog struct {
	scope tally.Scope
	log   *slog.Logger
}

// record records a fetch that brought a configuration, or that failed after some of it had arrived.
func (l *fetchLog) record(from string, p transfer.Progress, err error) {
	outcome := fetchComplete
	if err != nil {
		outcome = fetchFailed
	}
	source := "peer"
	if from == sourceStore {
		source = sourceStore
	}
	scope := l.scope.Tagged(map[string]string{"source": source, "outcome": outcome})
	scope.Counter("config_fetches").Inc(1)
	scope.Counter("config_fetch_bytes").Inc(int64(p.Bytes))
	attrs := []any{"from", from, "outcome", outcome, "bytes", p.Bytes, "first_ms", telemetry.Millis(p.First), "took_ms", telemetry.Millis(p.Lasted)}
	if err != nil {
		l.log.Warn("configuration fetched", append(attrs, "err", err)...)
		return
	}
	l.log.Info("configuration fetched", attrs...)
}

// viewRequester sends a request to a peer and returns its response.
type viewRequester func(ctx context.Context, peer string, request wire.ViewRequest) (wire.Message, error)

func (m *Member) sendViewRequest(ctx context.Context, peer string, request wire.ViewRequest) (wire.Message, error) {
	return wire.Request(ctx, m.wireConfig(), peer, request)
}

// requestView asks a peer for its view. The response has to begin within first, and goes on as long as
// bytes arrive. A peer that gives none isn't asked again for a while.
func (m *Member) requestView(ctx context.Context, send viewRequester, peer string, request wire.ViewRequest, first time.Duration) (wire.ViewReply, error) {
	ctx, received := transfer.Begin(ctx, transfer.Limits{First: first, Idle: viewTimeout, Total: ReadTimeout})
	defer received.End()
	if !request.ListOnly {
		m.peerFetch.Store(received)
		defer m.peerFetch.CompareAndSwap(received, nil)
	}
	answer, err := send(ctx, peer, request)
	err = received.Error(err)
	reply, ok := answer.(wire.ViewReply)
	if err == nil && !ok {
		err = fmt.Errorf("unexpected response of type %T", answer)
	}
	if err != nil {
		m.peers.avoidView(peer)
	}
	if p := received.Progress(); reply.Config != nil || err != nil && p.Bytes > 0 {
		m.fetches.record(peer, p, err)
	}
	return reply, err
}

// expediteConfig makes the store's reader fetch the configuration, unless it is doing so.
func (m *Member) expediteConfig() {
	if r := m.readers[configReader]; !r.receiving() {
		r.expedite()
	}
}

// receivedConfig returns how far the transfer of a configuration has come that is in progress, from the
// store or a peer.
func (m *Member) receivedConfig() transfer.Progress {
	most := m.readers[configReader].received()
	if fetch := m.peerFetch.Load(); fetch != nil {
		if p := fetch.Progress(); p.Bytes > most.Bytes {
			most = p
		}
	}
	return most
}
