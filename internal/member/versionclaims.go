package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/streamversion"
)

const (
	// claimInterval is how often one daemon claims the sole versions of pools.
	claimInterval = time.Second
	// recallTimeout limits how long a stream waits for a recalled claim, recallInterval is the minimum
	// time between two recalls of a pool.
	recallTimeout, recallInterval = 300 * time.Millisecond, time.Second
	// maxClaimReads limits the reads of the entries written since a claim.
	maxClaimReads = 4
)

// versionClaims keeps in the store which pools have had a single software version. When all daemons are
// lost at once, nobody else knows at which version a stream began that a caller takes up. One daemon of
// a site claims; any daemon recalls, when a stream asks for it. It is a suture.Service.
type versionClaims struct {
	store   Store
	decoder Decoder
	book    *streamversion.Book
	// position is that of the list of upstreams, claims whether this daemon is the one that claims.
	position func() Position
	claims   func() bool
	// hear records a stream of which the store tells.
	hear func(streamversion.AgedStream)
	log  *slog.Logger

	mu    sync.Mutex
	pools map[string]*claimedPool
	// recalls are the last ones, by pool.
	recalls map[string]recalled
}

// recalled is a recall of a claim that began at a time; done is closed when it is over.
type recalled struct {
	at   time.Time
	done chan struct{}
}

// claimedPool is what this daemon has read of a pool in the log of upstreams' entries. Its fields
// are Serve's.
type claimedPool struct {
	watch streamversion.Watch
	// read is the position up to which the watch has seen the entries, written that of the last claim.
	read, written Position
}

var _ suture.Service = (*versionClaims)(nil)

func newVersionClaims(m *Member, book *streamversion.Book) *versionClaims {
	return &versionClaims{
		store: m.cfg.Store, decoder: m.cfg.Decoder, book: book, log: m.log,
		position: func() Position { return m.readers[upstreamReader].position() }, claims: func() bool { return m.peers.Rank() == 0 },
		pools: make(map[string]*claimedPool), recalls: make(map[string]recalled),
	}
}

// claimRecord is a claim as the store holds it, by pool.
type claimRecord struct {
	Version     string
	RetentionMs int64
	// Position is that of the log of upstreams' entries up to which the claim holds.
	Position uint64
}

// String implements fmt.Stringer; the supervisor logs it.
func (v *versionClaims) String() string { return "claims of versions" }

// Serve implements suture.Service.
func (v *versionClaims) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		v.begin()
		if v.claims() {
			v.claimAll(ctx)
		}
		sleep(ctx, claimInterval)
	}
	return ctx.Err()
}

// begin begins to watch the pools that have one version now.
func (v *versionClaims) begin() {
	at := v.position() // before the versions, so that no entry is missed
	if at == 0 {
		return
	}
	for pool, versions := range v.book.Streaming() {
		if len(versions) == 1 && v.pool(pool) == nil {
			v.setPool(pool, &claimedPool{watch: streamversion.NewWatch(versions[0], time.Now()), read: at})
		}
	}
}

func (v *versionClaims) pool(name string) *claimedPool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pools[name]
}

func (v *versionClaims) setPool(name string, p *claimedPool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pools[name] = p
}

// claimAll reads on in the log, and claims what it shows of the pools with a sole version.
func (v *versionClaims) claimAll(ctx context.Context) {
	for pool := range v.book.Streaming() {
		p := v.pool(pool)
		if p == nil {
			continue
		}
		if err := v.claim(ctx, pool, p); err != nil && ctx.Err() == nil {
			v.log.Warn("claiming the version of a pool failed", "pool", pool, "err", err)
		}
	}
}

func (v *versionClaims) claim(ctx context.Context, pool string, p *claimedPool) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if p.read < v.position() {
		if err := v.readOn(ctx, pool, p); err != nil {
			return err
		}
	}
	sole, ok := v.book.Sole(pool)
	if !ok || p.read == p.written {
		return nil
	}
	claim, ok := p.watch.Claim(sole, v.book.Retention(pool), time.Now())
	if !ok {
		return nil
	}
	value, err := json.Marshal(claimRecord{claim.Version, claim.Retention.Milliseconds(), uint64(p.read)})
	if err != nil {
		return err
	}
	if err := v.store.Put(ctx, TopicVersions, Entry{Key: pool, Value: value}); err != nil {
		return err
	}
	p.written = p.read
	v.log.Info("sole version of a pool claimed", "pool", pool, "version", claim.Version, "position", p.read)
	return nil
}

// readOn lets the watch of a pool see the entries written since. If they have expired, it begins anew.
func (v *versionClaims) readOn(ctx context.Context, pool string, p *claimedPool) error {
	at := v.position()
	next, err := v.entriesOf(ctx, pool, p.read, func(version string) { p.watch.See(version, time.Now()) })
	switch {
	case err == nil:
		p.read = next
	case errors.Is(err, ErrExpired) && at > p.read:
		p.watch, p.read = streamversion.NewWatch("", time.Now()), at
	}
	return err
}

// entriesOf passes on the versions of a pool's entries written from a position on, and returns the
// position after the last one.
func (v *versionClaims) entriesOf(ctx context.Context, pool string, from Position, see func(version string)) (Position, error) {
	for range maxClaimReads {
		entries, next, err := v.store.Changes(ctx, TopicUpstreams, from, 0)
		if err != nil {
			return from, err
		}
		if from = next; len(entries) == 0 {
			return from, nil
		}
		for _, e := range entries {
			if e.Value == nil {
				continue
			}
			if u, err := v.decoder.Upstream(e); err == nil && u.Pool == pool {
				see(u.Version)
			}
		}
	}
	return from, fmt.Errorf("the entries after %v take more than %d reads", from, maxClaimReads)
}

// recall looks in the store for a claim on a pool that holds until now or else for streams of it, and tells the book. The
// channel is closed when that is over. Streams that need it at the same time share one.
func (v *versionClaims) recall(pool string) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if last, ok := v.recalls[pool]; ok && time.Since(last.at) < recallInterval {
		return last.done
	}
	r := recalled{time.Now(), make(chan struct{})}
	v.recalls[pool] = r
	go func() {
		defer close(r.done)
		v.recallNow(pool)
	}()
	return r.done
}

func (v *versionClaims) recallNow(pool string) {
	ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
	defer cancel()
	if v.book.IsMixed(pool) {
		v.recallStreams(ctx, pool)
		return
	}
	claim, next, err := v.heldClaim(ctx, pool)
	if err != nil {
		v.log.Info("no claim of a pool's version holds", "pool", pool, "reason", err)
		v.recallStreams(ctx, pool)
		return
	}
	v.log.Info("claim of a pool's version holds", "pool", pool, "version", claim.Version, "position", next)
	v.setPool(pool, &claimedPool{watch: streamversion.NewWatch(claim.Version, time.Time{}), read: next})
	v.book.HearSole(pool, claim.Version)
}

// recallStreams records what the store has of a pool's streams.
func (v *versionClaims) recallStreams(ctx context.Context, pool string) {
	entries, _, err := v.store.Newest(ctx, TopicStreams)
	streams := recordedStreams(entries, pool, v.book.Retention(pool), time.Now())
	for _, s := range streams {
		v.hear(s)
	}
	v.log.Info("streams' versions recalled", "pool", pool, "streams", len(streams), "err", err)
}

// The reasons for which a claim doesn't hold.
var (
	errNoClaim      = errors.New("none is known")
	errShortClaim   = errors.New("it says too little of the past")
	errOtherVersion = errors.New("another version was listed since")
)

// heldClaim returns the claim on a pool, and the position up to which it holds by the log.
func (v *versionClaims) heldClaim(ctx context.Context, pool string) (streamversion.Claim, Position, error) {
	var claim streamversion.Claim
	entries, _, err := v.store.Newest(ctx, TopicVersions)
	if err != nil {
		return claim, 0, err
	}
	i := slices.IndexFunc(entries, func(e Entry) bool { return e.Key == pool })
	if i < 0 {
		return claim, 0, errNoClaim
	}
	var record claimRecord
	if err := json.Unmarshal(entries[i].Value, &record); err != nil {
		return claim, 0, err
	}
	claim = streamversion.Claim{Version: record.Version, Retention: time.Duration(record.RetentionMs) * time.Millisecond}
	if !claim.Holds(v.book.Retention(pool)) {
		return claim, 0, errShortClaim
	}
	sole := true
	next, err := v.entriesOf(ctx, pool, Position(record.Position), func(version string) { sole = sole && version == claim.Version })
	if err == nil && !sole {
		err = errOtherVersion
	}
	return claim, next, err
}
