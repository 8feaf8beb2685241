// Package journaltest holds an in-memory log with faults on demand, for tests
// of packages that work over the journal. It takes the time from package time,
// so that it works within a testing/synctest bubble.
package journaltest

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tamarackchute/infra"
)

// Fault is what happens to one append.
type Fault uint8

// The faults of an append.
const (
	// FaultNone: the append works.
	FaultNone Fault = iota
	// FaultNotWritten: refused, with an error that matches ErrNotWritten.
	FaultNotWritten
	// FaultReplyLost: the record is written, the writer gets ErrUnavailable.
	FaultReplyLost
	// FaultLost: nothing is written, the writer gets ErrUnavailable.
	FaultLost
	// FaultLate: the writer gets ErrUnavailable at once, and the record is
	// written after the log's LateAfter.
	FaultLate
	// FaultHang: no answer until the writer gives up; the record is written
	// after the log's LateAfter.
	FaultHang
)

// Log implements infra.Log in memory. Its zero value is not usable.
type Log struct {
	mu      sync.Mutex
	records []infra.Record
	oldest  infra.Offset
	// changed is closed and replaced with each new record or change of state.
	changed chan struct{}
	outage  bool
	hang    bool
	faults  []Fault
	late    time.Duration
	latency time.Duration
	limiter *rate.Limiter
	appends int
}

var _ infra.Log = (*Log)(nil)

// NewLog returns an empty log without faults.
func NewLog() *Log {
	return &Log{oldest: 1, changed: make(chan struct{}), late: time.Second}
}

// SetLatency sets how long each append takes, and each read that finds a
// record, there and back.
func (l *Log) SetLatency(d time.Duration) { l.set(func() { l.latency = d }) }

// SetLateAfter sets how long after its append a late record is written; one
// second unless set.
func (l *Log) SetLateAfter(d time.Duration) { l.set(func() { l.late = d }) }

// SetRate bounds the appends a second, from all writers; beyond it they get
// ErrRateLimited. A rate of 0 sets no bound.
func (l *Log) SetRate(perSecond float64, burst int) {
	l.set(func() {
		l.limiter = nil
		if perSecond > 0 {
			l.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		}
	})
}

// Outage starts or ends an outage in which every call is refused at once:
// appends with an error that matches ErrNotWritten.
func (l *Log) Outage(on bool) { l.set(func() { l.outage = on }) }

// Hang starts or ends an outage in which no call is answered until its caller
// gives up. Appends made meanwhile are not written.
func (l *Log) Hang(on bool) { l.set(func() { l.hang = on }) }

// Fail sets the faults of the next appends, one each.
func (l *Log) Fail(faults ...Fault) { l.set(func() { l.faults = append(l.faults, faults...) }) }

// Trim lets all records before oldest expire.
func (l *Log) Trim(oldest infra.Offset) {
	l.set(func() {
		oldest = min(oldest, l.next())
		for len(l.records) > 0 && l.records[0].Offset < oldest {
			l.records = l.records[1:]
		}
		l.oldest = max(l.oldest, oldest)
	})
}

// TrimBefore lets all records expire that were written before t.
func (l *Log) TrimBefore(t time.Time) {
	l.mu.Lock()
	oldest := l.oldest
	for _, r := range l.records {
		if r.At.Before(t) {
			oldest = r.Offset + 1
		}
	}
	l.mu.Unlock()
	l.Trim(oldest)
}

// Put writes a record, whatever the faults. It serves as another writer.
func (l *Log) Put(data []byte) infra.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.put(data)
}

// Next returns the offset that the next record will get.
func (l *Log) Next() infra.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next()
}

// Appends returns the number of appends tried.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements infra.Log.
func (l *Log) Append(ctx context.Context, data []byte) (infra.Offset, error) {
	data = append([]byte(nil), data...)
	if err := pause(ctx, l.begin()/2); err != nil {
		return 0, infra.ErrNotWritten
	}
	off, late, err := l.take(data)
	if late > 0 {
		time.AfterFunc(late, func() { l.Put(data) })
	}
	if err == errHang {
		<-ctx.Done()
		return 0, infra.ErrUnavailable
	}
	if err != nil {
		return 0, err
	}
	if err := pause(ctx, l.wait()/2); err != nil {
		return 0, infra.ErrUnavailable
	}
	return off, nil
}

// Read implements infra.Log.
func (l *Log) Read(ctx context.Context, from infra.Offset, limit int, wait time.Duration) (infra.ReadResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := wait <= 0
	for {
		res, changed, hang, err := l.look(from, limit)
		if err != nil {
			return res, err
		}
		if !hang && (len(res.Records) > 0 || expired) {
			if pause(ctx, l.wait()) != nil {
				return infra.ReadResult{}, infra.ErrUnavailable
			}
			return res, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return infra.ReadResult{}, infra.ErrUnavailable
		}
	}
}

// errHang makes Append wait for its caller to give up.
const errHang = hangError("hang")

type hangError string

func (e hangError) Error() string { return string(e) }

// take decides what becomes of one append.
func (l *Log) take(data []byte) (off infra.Offset, late time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return 0, 0, infra.ErrNotWritten
	}
	if l.hang {
		return 0, 0, errHang
	}
	if l.limiter != nil && !l.limiter.Allow() {
		return 0, 0, infra.ErrRateLimited
	}
	switch l.nextFault() {
	case FaultNotWritten:
		return 0, 0, infra.ErrNotWritten
	case FaultReplyLost:
		l.put(data)
		return 0, 0, infra.ErrUnavailable
	case FaultLost:
		return 0, 0, infra.ErrUnavailable
	case FaultLate:
		return 0, l.late, infra.ErrUnavailable
	case FaultHang:
		return 0, l.late, errHang
	default:
		return l.put(data), 0, nil
	}
}

func (l *Log) nextFault() Fault {
	if len(l.faults) == 0 {
		return FaultNone
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	return f
}

func (l *Log) look(from infra.Offset, limit int) (infra.ReadResult, chan struct{}, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return infra.ReadResult{}, nil, false, infra.ErrUnavailable
	}
	res := infra.ReadResult{Oldest: l.oldest, Next: l.next()}
	if l.hang {
		return res, l.changed, true, nil
	}
	if from < l.oldest {
		return res, nil, false, &infra.TrimmedError{Oldest: l.oldest}
	}
	if from < res.Next {
		first := len(l.records) - int(res.Next-from)
		last := min(first+limit, len(l.records))
		res.Records = append(res.Records, l.records[first:last]...)
	}
	return res, l.changed, false, nil
}

func (l *Log) put(data []byte) infra.Offset {
	r := infra.Record{Offset: l.next(), At: time.Now(), Data: data}
	l.records = append(l.records, r)
	l.signal()
	return r.Offset
}

func (l *Log) next() infra.Offset { return l.oldest + infra.Offset(len(l.records)) }

func (l *Log) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.signal()
}

func (l *Log) begin() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	return l.latency
}

func (l *Log) wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency
}

func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
