package standin

import (
	"context"
	"crypto/tls"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/logclient"
)

// LogConfig configures the log.
type LogConfig struct {
	Addr string
	TLS  *tls.Config
	// AppendsPerSecond is the rate limit over all writers.
	AppendsPerSecond float64
	// Retention is how long a record is kept.
	Retention time.Duration
}

// LogFaults are the faults of the log.
type LogFaults struct {
	NetworkFaults
	// SlowMillis delays each append and read.
	SlowMillis int `json:"slow_ms"`
	// LoseReply closes the connection after an append took effect.
	LoseReply Trigger `json:"lose_reply"`
	// DelayAppend answers an append with an error and makes it take effect
	// AppendDelayMillis later.
	DelayAppend       Trigger `json:"land_late"`
	AppendDelayMillis int     `json:"land_late_ms"`
	// FailReads answers reads with an error.
	FailReads Trigger `json:"fail_reads"`
	// ExpireAll expires all current records; the field is then cleared.
	ExpireAll bool `json:"expire_all"`
}

// LogCounters are the counters of the log.
type LogCounters struct {
	Appends        int64  `json:"appends"`
	AppendBytes    int64  `json:"append_bytes"`
	RateLimited    int64  `json:"rate_limited"`
	LostReplies    int64  `json:"lost_replies"`
	DelayedAppends int64  `json:"landed_late"`
	Reads          int64  `json:"reads"`
	ReadBytes      int64  `json:"read_bytes"`
	Oldest         uint64 `json:"oldest"`
	Next           uint64 `json:"next"`
	// Senders breaks the counters down by sender, ordered by name.
	Senders []LogSender `json:"senders"`
}

// LogSender counts the requests of one sender.
type LogSender struct {
	Sender      string `json:"sender"`
	Appends     int64  `json:"appends"`
	AppendBytes int64  `json:"append_bytes"`
	Reads       int64  `json:"reads"`
	ReadBytes   int64  `json:"read_bytes"`
}

// Log stands in for the platform's log.
type Log struct {
	*endpoint
	faults  *faultState[LogFaults]
	limiter *rate.Limiter

	mu       sync.Mutex
	store    logStore
	appended chan struct{} // closed and replaced at each append
	counters LogCounters
	senders  map[string]*LogSender
}

// burstSeconds is the rate limiter's burst, in seconds of the rate limit.
const burstSeconds = 0.1

// NewLog returns a log that is already listening.
func NewLog(c LogConfig) (*Log, error) {
	base, err := newEndpoint("log", "log", c.Addr, c.TLS)
	if err != nil {
		return nil, err
	}
	burst := max(1, int(c.AppendsPerSecond*burstSeconds))
	return &Log{
		endpoint: base,
		faults:   newFaultState(LogFaults{}),
		limiter:  rate.NewLimiter(rate.Limit(c.AppendsPerSecond), burst),
		store:    logStore{next: 1, oldest: 1, retention: c.Retention},
		appended: make(chan struct{}),
		senders:  map[string]*LogSender{},
	}, nil
}

// Serve implements Component.
func (l *Log) Serve(ctx context.Context) error { return l.serve(ctx, l.handle) }

func (l *Log) handle(ctx *fasthttp.RequestCtx) {
	if serveAdmin(l, ctx) || applyOutage(l.endpoint, l.faults, ctx) {
		return
	}
	l.sleep(time.Duration(l.faults.get().SlowMillis) * time.Millisecond)
	switch string(ctx.Path()) {
	case logclient.PathAppend:
		l.handleAppend(ctx)
	case logclient.PathRead:
		l.handleRead(ctx)
	default:
		ctx.NotFound()
	}
}

func (l *Log) handleAppend(ctx *fasthttp.RequestCtx) {
	if !l.limiter.Allow() {
		l.count(func(c *LogCounters) { c.RateLimited++ })
		replyNotRun(ctx, fasthttp.StatusTooManyRequests, "append rate limit")
		return
	}
	data := append([]byte(nil), ctx.PostBody()...)
	sender := string(ctx.Request.Header.Peek(httpx.HeaderSender))
	if l.faults.trigger(func(f *LogFaults) *Trigger { return &f.DelayAppend }) {
		l.delayAppend(sender, data)
		ctx.Error("append failed", fasthttp.StatusInternalServerError)
		return
	}
	offset := l.append(sender, data)
	if l.faults.trigger(func(f *LogFaults) *Trigger { return &f.LoseReply }) {
		l.count(func(c *LogCounters) { c.LostReplies++ })
		dropConnection(ctx)
		return
	}
	ctx.Response.Header.Set(logclient.HeaderOffset, strconv.FormatUint(offset, 10))
}

// delayAppend appends after a delay: it simulates a record that the log accepts after its
// writer has been sent an error.
func (l *Log) delayAppend(sender string, data []byte) {
	delay := time.Duration(l.faults.get().AppendDelayMillis) * time.Millisecond
	time.AfterFunc(delay, func() {
		l.append(sender, data)
		l.count(func(c *LogCounters) { c.DelayedAppends++ })
	})
}

func (l *Log) append(sender string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.store.append(time.Now(), data)
	close(l.appended)
	l.appended = make(chan struct{})
	s := l.sender(sender)
	l.counters.Appends++
	s.Appends++
	l.counters.AppendBytes += int64(len(data))
	s.AppendBytes += int64(len(data))
	return offset
}

func (l *Log) handleRead(ctx *fasthttp.RequestCtx) {
	if l.faults.trigger(func(f *LogFaults) *Trigger { return &f.FailReads }) {
		ctx.Error("read failed", fasthttp.StatusInternalServerError)
		return
	}
	args := ctx.QueryArgs()
	from := uint64(args.GetUintOrZero("from"))
	limit := args.GetUintOrZero("max")
	wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
	reply, trimmed := l.longPoll(from, limit, wait)
	if applyOutage(l.endpoint, l.faults, ctx) {
		return
	}
	doc, err := msgpack.Marshal(&reply)
	if err != nil {
		panic(err)
	}
	l.countRead(string(ctx.Request.Header.Peek(httpx.HeaderSender)), len(doc))
	if trimmed {
		ctx.SetStatusCode(fasthttp.StatusGone)
	}
	ctx.SetContentType("application/msgpack")
	ctx.SetBody(doc)
}

// longPoll reads records and waits until there is at least one. A change of the faults ends
// the wait, so that an outage also affects pending reads.
func (l *Log) longPoll(from uint64, limit int, wait time.Duration) (logclient.ReadReply, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	_, changed := l.faults.watch()
	for {
		reply, trimmed, grown := l.read(from, limit)
		if trimmed || len(reply.Records) > 0 {
			return reply, trimmed
		}
		select {
		case <-grown:
		case <-timer.C:
			return reply, false
		case <-changed:
			return reply, false
		case <-l.ended:
			return reply, false
		}
	}
}

func (l *Log) read(from uint64, limit int) (logclient.ReadReply, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply, trimmed := l.store.read(time.Now(), from, limit)
	return reply, trimmed, l.appended
}

func (l *Log) count(add func(*LogCounters)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.counters)
}

func (l *Log) countRead(sender string, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sender(sender)
	l.counters.Reads++
	s.Reads++
	l.counters.ReadBytes += int64(bytes)
	s.ReadBytes += int64(bytes)
}

func (l *Log) sender(name string) *LogSender {
	s := l.senders[name]
	if s == nil {
		s = &LogSender{Sender: name}
		l.senders[name] = s
	}
	return s
}

// Counters returns the counters.
func (l *Log) Counters() LogCounters {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counters
	c.Oldest, c.Next = l.store.oldest, l.store.next
	for _, s := range l.senders {
		c.Senders = append(c.Senders, *s)
	}
	sort.Slice(c.Senders, func(i, j int) bool { return c.Senders[i].Sender < c.Senders[j].Sender })
	return c
}

// CountersJSON implements Component.
func (l *Log) CountersJSON() []byte { return encode(l.Counters()) }

// FaultsJSON implements Component.
func (l *Log) FaultsJSON() []byte { return encode(l.faults.get()) }

// SetFaults implements Component.
func (l *Log) SetFaults(doc []byte) error {
	if err := l.faults.merge(doc); err != nil {
		return err
	}
	if l.faults.get().ExpireAll {
		l.faults.set(func(f *LogFaults) { f.ExpireAll = false })
		l.mu.Lock()
		defer l.mu.Unlock()
		l.store.trim(l.store.next)
	}
	return nil
}
