package journal

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"tamarackchute/infra"
)

// Defaults of Config.
const (
	defaultMaxBatchBytes  = 64 << 10
	defaultRetention      = time.Hour
	defaultMaxPending     = 4096
	defaultMaxPendingSize = 8 << 20
	defaultAppendTimeout  = 2 * time.Second
	defaultMaxInFlight    = 16
	defaultLongPoll       = 2 * time.Second
)

// Config sets a journal up. Zero values stand for the defaults.
type Config struct {
	// Writer names this process in its entries: instance/program/incarnation.
	Writer string
	// Linger is how long an entry waits for company in its append. With 0 an
	// entry goes out as soon as the rate and the appends in flight allow, and
	// shares its append with what came meanwhile.
	Linger time.Duration
	// AppendsPerSecond bounds this process's appends; 0 sets no bound.
	AppendsPerSecond float64
	// Retention is how long the log keeps a record, and for how long entry
	// IDs are known. One hour by default.
	Retention time.Duration
	// MaxBatchBytes is the largest record, 64 KiB by default.
	MaxBatchBytes int
	// MaxBatchEntries is the most entries in one record; 1 switches group
	// commit off.
	MaxBatchEntries int
	// MaxPending is the most entries that wait for the log, 4096 by default.
	MaxPending int
	// AppendTimeout bounds one append; then its outcome counts as unknown. Two
	// seconds by default.
	AppendTimeout time.Duration
	// MaxInFlight is the most appends under way at once, 16 by default.
	MaxInFlight int
	// LongPoll is how long a read waits for the next record, two seconds by
	// default. An outage is noticed after at most twice that.
	LongPoll time.Duration
	// Logger takes the journal's messages; slog.Default() if nil.
	Logger *slog.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.MaxBatchBytes, defaultMaxBatchBytes)
	setDefault(&c.MaxBatchEntries, maxEntriesPerRecord)
	setDefault(&c.MaxPending, defaultMaxPending)
	setDefault(&c.AppendTimeout, defaultAppendTimeout)
	setDefault(&c.MaxInFlight, defaultMaxInFlight)
	setDefault(&c.LongPoll, defaultLongPoll)
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	return c
}

func setDefault[T ~int | ~int64](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Trimmer is a Folder that wants to know when records expired before they
// were read. Trimmed is called from the goroutine that calls Apply: every
// record before oldest that wasn't applied yet never will be.
type TrimListener interface {
	Trimmed(oldest infra.Offset)
}

// Restorer is a Folder whose log may come back from an older copy. Restored is called from
// the goroutine that calls Apply: all that was applied is void, and what has outlived the
// restore is applied again, from oldest on.
type RestoreListener interface {
	Restored(oldest infra.Offset)
}

// Health is what a journal knows about the log.
type Health struct {
	// LogUp is whether the last read was answered.
	LogUp bool
	// LastContact is when the log last answered a read or an append.
	LastContact time.Time
	// Pending is the number of entries that wait to be folded.
	Pending int
}

// Stats counts what a journal has done since it was made.
type Stats struct {
	// Appends counts records that the log confirmed, Entries what they held.
	Appends, Entries int64
	// FailedAppends counts appends without a confirmation.
	FailedAppends int64
	// Folded counts entries given to folders, Duplicates those left out.
	Applied, Duplicates int64
	// Corrupt counts records that could not be decoded and were skipped.
	Corrupt int64
}

// Journal is a process's access to the journal. Its Serve runs the reader and
// the writer.
type Journal struct {
	cfg     Config
	log     infra.Log
	limiter *rate.Limiter
	folders map[Kind]StateMachine
	dedupe  *deduper

	// wake has room for one signal to the writer.
	wake     chan struct{}
	caughtUp chan struct{}

	mu      sync.Mutex
	queue   *queue
	next    infra.Offset // first offset not read yet
	target  infra.Offset // Next of the first read after the start
	applied Position
	health  Health
	stats   Stats
	// failedInRow counts failed appends since the last confirmed one.
	failedInRow int
}

// New returns a journal over log. Folders are registered before Serve.
func New(log infra.Log, cfg Config) *Journal {
	cfg = cfg.withDefaults()
	limit := rate.Inf
	if cfg.AppendsPerSecond > 0 {
		limit = rate.Limit(cfg.AppendsPerSecond)
	}
	return &Journal{
		cfg:      cfg,
		log:      log,
		limiter:  rate.NewLimiter(limit, 1),
		folders:  map[Kind]StateMachine{},
		dedupe:   newDeduper(cfg.Retention, defaultMaxIDs),
		wake:     make(chan struct{}, 1),
		caughtUp: make(chan struct{}),
		queue:    newQueue(cfg.MaxPending, defaultMaxPendingSize),
		next:     1,
	}
}

// Register names the folder of a kind of entry. It must not be called after
// Serve, nor twice for one kind.
func (j *Journal) Register(k Kind, f StateMachine) {
	if _, ok := j.folders[k]; ok {
		panic("journal: two folders for one kind of entry")
	}
	j.folders[k] = f
}

// Serve reads and writes until ctx ends. It may be called again after it has
// returned, and then goes on where it was.
func (j *Journal) Serve(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { j.read(ctx) })
	wg.Go(func() { j.write(ctx) })
	wg.Wait()
	return ctx.Err()
}

// Append implements Writer. An empty ID is replaced by a new one. If the ID
// was folded before, the position is that of the duplicate. When the log is
// slow or down the call waits until ctx ends, unless the backlog is full. See
// the package's errors for how it fails.
func (j *Journal) Append(ctx context.Context, e Entry) (Position, error) {
	if e.Writer == "" {
		e.Writer = j.cfg.Writer
	}
	if e.ID == "" {
		e.ID = uuid.NewString()
	}
	if entrySize(e) > j.cfg.MaxBatchBytes {
		return Position{}, ErrTooLarge
	}
	if ctx.Err() != nil {
		return Position{}, ErrNeverSent
	}
	j.mu.Lock()
	p := j.queue.add(e, time.Now())
	j.mu.Unlock()
	if p == nil {
		return Position{}, ErrBacklogFull
	}
	j.wakeWriter()
	select {
	case <-p.done:
		return p.position, nil
	case <-ctx.Done():
		return j.giveUp(p)
	}
}

// giveUp ends the wait for p and tells truly what may have become of it.
func (j *Journal) giveUp(p *pending) (Position, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	select {
	case <-p.done:
		return p.position, nil
	default:
	}
	j.queue.leave(p)
	if p.maybeWritten {
		return Position{}, ErrOutcomeUnknown
	}
	return Position{}, ErrNeverSent
}

// Applied returns the position of the last entry folded. Every entry at or
// before it that the log still held was folded.
func (j *Journal) Applied() Position {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.applied
}

// CaughtUp is closed once the reader has folded all that stood in the log at
// its first read.
func (j *Journal) CaughtUp() <-chan struct{} { return j.caughtUp }

// Health tells what is known about the log.
func (j *Journal) Health() Health {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := j.health
	h.Pending = len(j.queue.byID)
	return h
}

// Stats returns the counts so far.
func (j *Journal) Stats() Stats {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stats
}

// lastIndex makes a position that is behind every entry of its record.
const lastIndex = math.MaxUint16
