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

// The defaults of Config, and bounds that aren't configurable.
const (
	defaultMaxBatchBytes  = 64 << 10
	defaultRetention      = time.Hour
	defaultMaxPending     = 4096
	defaultMaxPendingSize = 8 << 20
	defaultAppendTimeout  = 2 * time.Second
	defaultMaxInFlight    = 16
	defaultLongPoll       = 2 * time.Second
)

// Config configures a journal. Zero values select the defaults.
type Config struct {
	// Writer names this process in its entries: instance/program/incarnation.
	Writer string
	// Linger is how long an entry waits for others to share its append. With 0
	// an entry is sent as soon as the rate limit and the appends in flight
	// allow, together with the entries queued by then.
	Linger time.Duration
	// AppendsPerSecond limits this process's appends; 0 means no limit.
	AppendsPerSecond float64
	// Retention is how long the log keeps a record, and how long entry IDs are
	// remembered for deduplication. One hour by default.
	Retention time.Duration
	// MaxBatchBytes is the maximum size of a record, 64 KiB by default.
	MaxBatchBytes int
	// MaxBatchEntries is the maximum number of entries in a record; 1 disables
	// group commit.
	MaxBatchEntries int
	// MaxPending is the maximum number of pending entries, 4096 by default.
	MaxPending int
	// AppendTimeout is the time after which the outcome of an append counts as
	// unknown. Two seconds by default.
	AppendTimeout time.Duration
	// MaxInFlight is the maximum number of concurrent appends, 16 by default.
	MaxInFlight int
	// LongPoll is how long a read waits for the next record, two seconds by
	// default. An outage is detected after at most twice that time.
	LongPoll time.Duration
	// OnRead is called after each read whose records have been applied, with the time at which it
	// was sent, by a clock that runs while the machine is suspended. Nil does nothing.
	OnRead func(sentAt time.Duration)
	// Logger receives the journal's log messages; slog.Default() if nil.
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

// TrimListener is a StateMachine that is notified when records expired before
// they were read. Trimmed is called from the goroutine that calls Apply. Records
// before oldest that haven't been applied by then never will be.
type TrimListener interface {
	Trimmed(oldest infra.Offset)
}

// RestoreListener is a StateMachine that is notified when the log was restored
// from an older copy. Restored is called from the goroutine that calls Apply and
// must discard the state; the records that survived the restore are then applied
// again, starting at oldest.
type RestoreListener interface {
	Restored(oldest infra.Offset)
}

// LateStartListener is a StateMachine that is notified when the reader starts on a log that has
// been restored from an older copy, at any time before. The restore may have lost records on which
// other processes have acted. StartedAfterRestore is called from the goroutine that calls Apply,
// before any record is applied.
type LateStartListener interface {
	StartedAfterRestore(oldest infra.Offset)
}

// Health describes the log as observed by a journal.
type Health struct {
	// LogUp reports whether the last read succeeded.
	LogUp bool
	// LastContact is when the log last answered a read or confirmed an append.
	LastContact time.Time
	// Pending is the number of entries that haven't been applied yet.
	Pending int
}

// Stats holds a journal's counters since its creation.
type Stats struct {
	// Appends counts the records that the log confirmed, Entries their entries.
	Appends, Entries int64
	// FailedAppends counts appends without a confirmation.
	FailedAppends int64
	// Applied counts the first occurrences of entries, Duplicates the repeated
	// ones, which are skipped.
	Applied, Duplicates int64
	// Corrupt counts the records that couldn't be decoded and were skipped.
	Corrupt int64
}

// Journal reads and writes the journal for one process. Serve runs its reader
// and its writer.
type Journal struct {
	cfg           Config
	log           infra.Log
	limiter       *rate.Limiter
	stateMachines map[Kind]StateMachine
	dedupe        *deduper

	// wake signals the writer; it has a buffer of one.
	wake     chan struct{}
	caughtUp chan struct{}

	mu      sync.Mutex
	queue   *queue
	next    infra.Offset // next offset to read
	target  infra.Offset // end of the log at the first read; 0 before that
	applied Position
	// cancelRead cancels the waiting read in progress, nil if there is none. readHung says that it was
	// cancelled because it hung.
	cancelRead context.CancelFunc
	readHung   bool
	health     Health
	stats      Stats
	// consecutiveFailures counts the failed appends since the last confirmed one.
	consecutiveFailures int
}

// New returns a journal over log. Register its state machines before Serve.
func New(log infra.Log, cfg Config) *Journal {
	cfg = cfg.withDefaults()
	limit := rate.Inf
	if cfg.AppendsPerSecond > 0 {
		limit = rate.Limit(cfg.AppendsPerSecond)
	}
	return &Journal{
		cfg:           cfg,
		log:           log,
		limiter:       rate.NewLimiter(limit, 1),
		stateMachines: map[Kind]StateMachine{},
		dedupe:        newDeduper(cfg.Retention, defaultMaxIDs),
		wake:          make(chan struct{}, 1),
		caughtUp:      make(chan struct{}),
		queue:         newQueue(cfg.MaxPending, defaultMaxPendingSize),
		next:          1,
	}
}

// Register sets the state machine for a kind of entries. It must not be called
// after Serve, nor twice for one kind.
func (j *Journal) Register(k Kind, sm StateMachine) {
	if _, ok := j.stateMachines[k]; ok {
		panic("journal: two state machines registered for one kind of entry")
	}
	j.stateMachines[k] = sm
}

// Serve runs the reader and the writer until ctx ends. It may be called again
// after it has returned and then continues where it stopped.
func (j *Journal) Serve(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { j.runReader(ctx) })
	wg.Go(func() { j.runWriter(ctx) })
	wg.Wait()
	return ctx.Err()
}

// Append implements Writer. An empty ID is replaced by a new one. If an entry
// with the ID was applied before, the position is that of the duplicate. While
// the log is slow or unavailable the call blocks until ctx ends, unless the
// backlog is full. The package's errors describe how it fails.
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
		return j.cancelWait(p)
	}
}

// cancelWait ends one wait for p. Unless p has been applied, its error tells
// whether p may have been written.
func (j *Journal) cancelWait(p *pending) (Position, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	select {
	case <-p.done:
		return p.position, nil
	default:
	}
	j.queue.removeWaiter(p)
	if p.maybeWritten {
		return Position{}, ErrOutcomeUnknown
	}
	return Position{}, ErrNeverSent
}

// Applied returns the position of the last applied entry. Every entry up to it
// that was still in the log when it was read has been applied.
func (j *Journal) Applied() Position {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.applied
}

// CaughtUp returns a channel that is closed once the reader has applied all
// entries that the log held at the first read.
func (j *Journal) CaughtUp() <-chan struct{} { return j.caughtUp }

// Health returns the current state of the log as this journal observes it.
func (j *Journal) Health() Health {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := j.health
	h.Pending = len(j.queue.byID)
	return h
}

// Stats returns the current counters.
func (j *Journal) Stats() Stats {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stats
}

// maxIndex is the index of a position that follows every entry of its record.
const maxIndex = math.MaxUint16
