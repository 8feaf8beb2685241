// Package journaltest provides an in-memory log with fault injection for tests of
// packages that use the journal. It uses package time, so it works within a
// testing/synctest bubble.
package journaltest

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tamarackchute/infra"
)

// Fault is the way in which one append fails.
type Fault uint8

// The faults of an append.
const (
	// FaultNone: the append succeeds.
	FaultNone Fault = iota
	// FaultNotWritten: the append fails with an error that matches ErrNotWritten.
	FaultNotWritten
	// FaultReplyLost: the record is written, but Append returns ErrUnavailable.
	FaultReplyLost
	// FaultLost: nothing is written, and Append returns ErrUnavailable.
	FaultLost
	// FaultLate: Append returns ErrUnavailable at once; the record is written
	// after the delay set by SetLateAfter.
	FaultLate
	// FaultHang: Append blocks until its context ends; the record is written
	// after the delay set by SetLateAfter.
	FaultHang
)

// Log is an in-memory infra.Log. Use NewLog to create one.
type Log struct {
	mu      sync.Mutex
	records []infra.Record
	oldest  infra.Offset
	// changed is closed and replaced at each new record or change of settings.
	changed   chan struct{}
	outage    bool
	hang      bool
	hangWaits bool
	faults    []Fault
	lateAfter time.Duration
	latency   time.Duration
	limiter   *rate.Limiter
	appends   int
}

var _ infra.Log = (*Log)(nil)

// NewLog returns an empty log without faults.
func NewLog() *Log {
	return &Log{oldest: 1, changed: make(chan struct{}), lateAfter: time.Second}
}

// SetLatency sets the round-trip time of appends and reads.
func (l *Log) SetLatency(d time.Duration) { l.update(func() { l.latency = d }) }

// SetLateAfter sets the delay with which late records are written; one second by
// default.
func (l *Log) SetLateAfter(d time.Duration) { l.update(func() { l.lateAfter = d }) }

// SetRate limits the appends per second of all writers together; beyond the limit
// Append returns ErrRateLimited. A rate of 0 means no limit.
func (l *Log) SetRate(perSecond float64, burst int) {
	l.update(func() {
		l.limiter = nil
		if perSecond > 0 {
			l.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		}
	})
}

// Outage starts or ends an outage in which every call fails at once, appends with
// an error that matches ErrNotWritten.
func (l *Log) Outage(on bool) { l.update(func() { l.outage = on }) }

// HangWaitingReads makes reads hang that wait for a record, whether there is one or not.
func (l *Log) HangWaitingReads(on bool) { l.update(func() { l.hangWaits = on }) }

// Hang starts or ends an outage in which every call blocks until its context
// ends. Appends made meanwhile are not written.
func (l *Log) Hang(on bool) { l.update(func() { l.hang = on }) }

// Fail queues faults for the next appends, one for each.
func (l *Log) Fail(faults ...Fault) { l.update(func() { l.faults = append(l.faults, faults...) }) }

// Trim expires all records before oldest.
func (l *Log) Trim(oldest infra.Offset) {
	l.update(func() {
		oldest = min(oldest, l.next())
		for len(l.records) > 0 && l.records[0].Offset < oldest {
			l.records = l.records[1:]
		}
		l.oldest = max(l.oldest, oldest)
	})
}

// TrimBefore expires all records that were written before t.
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

// Put writes a record regardless of faults, as another writer would.
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

// Appends returns the number of attempted appends.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements infra.Log.
func (l *Log) Append(ctx context.Context, data []byte) (infra.Offset, error) {
	data = append([]byte(nil), data...)
	if err := sleep(ctx, l.countAppend()/2); err != nil {
		return 0, infra.ErrNotWritten
	}
	off, late, err := l.appendNow(data)
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
	if err := sleep(ctx, l.currentLatency()/2); err != nil {
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
		res, changed, hang, err := l.readNow(from, limit)
		if err != nil {
			return res, err
		}
		hang = hang || wait > 0 && l.waitsHang()
		if !hang && (len(res.Records) > 0 || expired) {
			if sleep(ctx, l.currentLatency()) != nil {
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

func (l *Log) waitsHang() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hangWaits
}

// errHang makes Append block until its context ends.
const errHang = hangError("hang")

type hangError string

func (e hangError) Error() string { return string(e) }

// appendNow performs one append without latency. It writes the record unless an
// outage, the rate limit or the next queued fault prevents that; late is the delay
// after which the caller must write it.
func (l *Log) appendNow(data []byte) (off infra.Offset, late time.Duration, err error) {
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
		return 0, l.lateAfter, infra.ErrUnavailable
	case FaultHang:
		return 0, l.lateAfter, errHang
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

func (l *Log) readNow(from infra.Offset, limit int) (infra.ReadResult, chan struct{}, bool, error) {
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

func (l *Log) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.signal()
}

func (l *Log) countAppend() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	return l.latency
}

func (l *Log) currentLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency
}

func sleep(ctx context.Context, d time.Duration) error {
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
