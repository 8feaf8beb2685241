package member

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/internal/codec"
	"tamarackchute/streamversion"
)

const (
	// recordInterval is the time between two writes of a daemon, recordSpread that of each daemon of the site: all
	// together write at most 200 records a second.
	recordInterval, recordSpread = 500 * time.Millisecond, 5 * time.Millisecond
	// Each daemon has recordSlots records, which are overwritten in turn. Each holds the streams of minSlotTime or, if
	// streams may be taken up for longer than the others last, of a longer time.
	recordSlots = 32
	minSlotTime = 2 * time.Second
	// maxSlotStreams bounds the streams in one record, some 80 kB.
	maxSlotStreams = 8192
	// maxRecordSkew is how much the clocks of two daemons may differ where a record's age is judged.
	maxRecordSkew = 5 * time.Second
	// finalWriteTimeout limits the write at a stop.
	finalWriteTimeout = 100 * time.Millisecond
	// Each cleanInterval, one daemon removes up to maxCleaned outdated records, cleanPause apart: those of daemons that
	// are gone are overwritten by nobody.
	cleanInterval, cleanPause = time.Minute, 20 * time.Millisecond
	maxCleaned                = 200
	// maxRecalled bounds the streams that are taken from the store at a time.
	maxRecalled = 1 << 15
)

// streamRecords keeps in the store at which version the streams of this daemon began, while a pool's upstreams have
// several: when all daemons are lost at once, nobody else knows. It is a suture.Service.
type streamRecords struct {
	store    Store
	book     *streamversion.Book
	instance string
	daemons  func() int
	// cleans reports whether this daemon removes outdated records.
	cleans func() bool
	log    *slog.Logger

	mu sync.Mutex
	// unwritten are streams that the current slot's record lacks.
	unwritten []streamversion.Begun

	// The following fields are Serve's: the current slot, the one in which the process started, the streams of the current
	// one, and whether its record in the store lacks some.
	slot, first int64
	streams     []streamversion.Begun
	dirty       bool
	// cleanedAt is when Serve last looked for outdated records, or began.
	cleanedAt time.Time
}

var _ suture.Service = (*streamRecords)(nil)

func newStreamRecords(m *Member, book *streamversion.Book) *streamRecords {
	return &streamRecords{store: m.cfg.Store, book: book, instance: m.cfg.Settings.Instance, daemons: m.peers.KnownCount, cleans: m.peers.ReadsFirst, log: m.log, first: -1}
}

// slotRecord is the value of a record.
type slotRecord struct {
	// At is the writer's time in Unix milliseconds.
	At     int64
	Groups []slotGroup
}

// slotGroup holds streams of one pool that began at one version.
type slotGroup struct {
	Pool, Version string
	Streams       []uint64
}

// add has streams written that have begun. It doesn't block.
func (r *streamRecords) add(streams []streamversion.Begun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range streams {
		if len(r.unwritten) < maxSlotStreams && r.book.IsMixed(s.Pool) {
			r.unwritten = append(r.unwritten, s)
		}
	}
}

// String implements fmt.Stringer; the supervisor logs it.
func (r *streamRecords) String() string { return "records of streams' versions" }

// Serve implements suture.Service.
func (r *streamRecords) Serve(ctx context.Context) error {
	r.cleanedAt = time.Now()
	for {
		sleep(ctx, max(recordInterval, time.Duration(r.daemons())*recordSpread))
		if ctx.Err() != nil {
			break
		}
		r.write(ctx, time.Now())
		if time.Since(r.cleanedAt) >= cleanInterval {
			r.cleanedAt = time.Now()
			if r.cleans() {
				r.clean(ctx, time.Now())
			}
		}
	}
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
	defer cancel()
	r.write(final, time.Now())
	return ctx.Err()
}

// write writes the record of the current slot if streams were added.
func (r *streamRecords) write(ctx context.Context, now time.Time) {
	length := r.slotTime()
	slot := now.UnixNano() / int64(length)
	if r.first < 0 {
		r.first = slot
	}
	if slot == r.first {
		return // its record may be that of the process before
	}
	if slot != r.slot && !r.dirty {
		r.slot, r.streams = slot, nil
	}
	r.mu.Lock()
	added := r.unwritten
	r.unwritten = nil
	r.mu.Unlock()
	r.streams = append(r.streams, added...)
	r.streams = r.streams[:min(len(r.streams), maxSlotStreams)]
	r.dirty = r.dirty || len(added) > 0
	if !r.dirty {
		return
	}
	value, err := msgpack.Marshal(recordOf(r.streams, now))
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	err = r.store.Put(ctx, TopicStreams, Entry{Key: fmt.Sprintf("%s/%d", r.instance, r.slot%recordSlots), Value: value})
	if err != nil {
		r.log.Warn("streams' versions not written", "streams", len(r.streams), "err", err)
		return
	}
	r.dirty = false
}

// clean removes records whose streams are no longer taken up.
func (r *streamRecords) clean(ctx context.Context, now time.Time) {
	entries, _, err := r.store.Newest(ctx, TopicStreams)
	removed := 0
	for _, e := range entries {
		if removed == maxCleaned || err != nil {
			break
		}
		if e.Value == nil || !isOutdated(e, r.book.LongestRetention(), now) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, CallTimeout)
		err = r.store.Put(call, TopicStreams, Entry{Key: e.Key})
		cancel()
		removed++
		sleep(ctx, cleanPause)
	}
	if removed > 0 || err != nil {
		r.log.Info("outdated records of streams removed", "records", removed, "of", len(entries), "err", err)
	}
}

// isOutdated reports whether a record's streams are no longer taken up. One that can't be read is.
func isOutdated(e Entry, retention time.Duration, now time.Time) bool {
	var record slotRecord
	return codec.Unmarshal(e.Value, &record) != nil || now.Sub(time.UnixMilli(record.At)) > 2*(retention+maxRecordSkew)
}

// slotTime is the time of the streams in one record.
func (r *streamRecords) slotTime() time.Duration {
	return max(minSlotTime, r.book.LongestRetention()/(recordSlots-2))
}

func recordOf(streams []streamversion.Begun, now time.Time) slotRecord {
	record := slotRecord{At: now.UnixMilli()}
	groups := make(versionGroups)
	for _, s := range streams {
		i, added := groups.of(s)
		if added {
			record.Groups = append(record.Groups, slotGroup{Pool: s.Pool, Version: s.Version})
		}
		record.Groups[i].Streams = append(record.Groups[i].Streams, uint64(s.Stream))
	}
	return record
}

// versionGroups numbers pairs of a pool and a version in the order in which they come.
type versionGroups map[[2]string]int

// of returns the number of a stream's pair, and whether it is a new one.
func (g versionGroups) of(s streamversion.Begun) (i int, added bool) {
	pair := [2]string{s.Pool, s.Version}
	i, known := g[pair]
	if !known {
		i = len(g)
		g[pair] = i
	}
	return i, !known
}

// recordedStreams returns the streams of a pool in the store's records that may still be taken up, maxRecalled at most.
func recordedStreams(entries []Entry, pool string, retention time.Duration, now time.Time) []streamversion.AgedStream {
	var all []streamversion.AgedStream
	for _, e := range entries {
		var record slotRecord
		if e.Value == nil || codec.Unmarshal(e.Value, &record) != nil {
			continue
		}
		age := max(0, now.Sub(time.UnixMilli(record.At)))
		if age > retention+maxRecordSkew {
			continue
		}
		for _, g := range record.Groups {
			for _, s := range g.Streams {
				if g.Pool == pool && len(all) < maxRecalled {
					begun := streamversion.Begun{Pool: pool, Version: g.Version, Stream: streamversion.Stream(s)}
					all = append(all, streamversion.AgedStream{Begun: begun, Age: min(age, retention)})
				}
			}
		}
	}
	return all
}
