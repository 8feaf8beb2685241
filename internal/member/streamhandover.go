package member

import (
	"context"
	"log/slog"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/wire"
	"tamarackchute/streamversion"
)

const (
	// handoverPage limits the streams in one message; at most maxHandoverPages are taken from one daemon.
	handoverPage     = 4096
	maxHandoverPages = 16
	// handoverTimeout limits one request, handoverRetry is the pause before a failed one is repeated.
	handoverTimeout, handoverRetry = time.Second, 200 * time.Millisecond
	handoverAttempts               = 3
	// maxHandovers bounds the daemons that wait to be asked.
	maxHandovers = 64
)

// streamHandover takes over from the neighbours at which software version streams began while this daemon
// didn't hear them: before its start, or while links were down. The daemons that were told then may end
// before such a stream is taken up. It is a suture.Service.
type streamHandover struct {
	versions *streamVersions
	cfg      wire.Config
	log      *slog.Logger
	// heard are the addresses of neighbours that have been heard, for the first time or again.
	heard chan string
}

var _ suture.Service = (*streamHandover)(nil)

func newStreamHandover(m *Member) *streamHandover {
	h := &streamHandover{versions: m.streamVersions, cfg: m.wireConfig(), log: m.log, heard: make(chan string, maxHandovers)}
	m.peers.onHeard = h.add
	m.peers.streamBook = m.streamVersions.page
	return h
}

// add has a neighbour asked. It doesn't block.
func (h *streamHandover) add(address string) {
	select {
	case h.heard <- address:
	default:
		h.log.Warn("streams' versions not taken over: too many daemons wait to be asked", "from", address)
	}
}

// String implements fmt.Stringer; the supervisor logs it.
func (h *streamHandover) String() string { return "takeover of streams' versions" }

// Serve implements suture.Service.
func (h *streamHandover) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case address := <-h.heard:
			h.takeOver(ctx, address)
		}
	}
}

// takeOver asks one neighbour for all that it knows.
func (h *streamHandover) takeOver(ctx context.Context, address string) {
	began, taken := time.Now(), 0
	var err error
	for range handoverAttempts {
		if taken, err = h.takePages(ctx, address); err == nil || ctx.Err() != nil {
			break
		}
		sleep(ctx, handoverRetry)
	}
	h.log.Info("streams' versions taken over", "from", address, "streams", taken, "took_ms", time.Since(began).Milliseconds(), "err", err)
}

func (h *streamHandover) takePages(ctx context.Context, address string) (taken int, err error) {
	after := uint64(0)
	for range maxHandoverPages {
		page, err := h.request(ctx, address, after)
		if err != nil {
			return taken, err
		}
		taken += h.versions.take(page)
		if !page.More {
			break
		}
		after = page.Last
	}
	return taken, nil
}

func (h *streamHandover) request(ctx context.Context, address string, after uint64) (wire.StreamBook, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	reply, err := wire.Request(ctx, h.cfg, address, wire.StreamBookRequest{After: after})
	if err != nil {
		return wire.StreamBook{}, err
	}
	page, _ := reply.(wire.StreamBook)
	return page, nil
}

// take records a page of another daemon's streams, and returns their number.
func (x *streamVersions) take(page wire.StreamBook) int {
	taken := 0
	for _, g := range page.Groups {
		for i, s := range g.Streams[:min(len(g.Streams), len(g.Ages))] {
			begun := streamversion.Begun{Pool: g.Pool, Version: g.Version, Stream: streamversion.Stream(s)}
			x.tell(x.book.HearLate(begun, max(0, g.Ages[i]))...)
			taken++
		}
	}
	return taken
}

// page returns the streams that follow one, of those that other daemons must know.
func (x *streamVersions) page(after uint64) wire.StreamBook {
	known, more := x.book.After(streamversion.Stream(after), handoverPage)
	var book wire.StreamBook
	groups := make(versionGroups)
	for _, k := range known {
		i, added := groups.of(k.Begun)
		if added {
			book.Groups = append(book.Groups, wire.StreamGroup{Pool: k.Pool, Version: k.Version})
		}
		book.Groups[i].Streams = append(book.Groups[i].Streams, uint64(k.Stream))
		book.Groups[i].Ages = append(book.Groups[i].Ages, k.Age)
		book.Last = uint64(k.Stream)
	}
	book.More = more
	return book
}
