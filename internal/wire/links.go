package wire

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
)

// linkIdleTimeout is how long a link stays open without a message sent over it.
const linkIdleTimeout = 30 * time.Second

// Links maintains a link to each address to which something was sent recently.
type Links struct {
	*suture.Supervisor
	cfg    Config
	handle func(Message)
	log    *slog.Logger

	mu    sync.Mutex
	links map[string]*activeLink
}

type activeLink struct {
	link     *Link
	token    suture.ServiceToken
	lastUsed time.Time
}

// NewLinks returns an empty set of links; its supervisor runs it. handle receives
// the peers' messages, from several goroutines; with nil they are dropped.
func NewLinks(name string, cfg Config, handle func(Message), log *slog.Logger) *Links {
	ls := &Links{
		Supervisor: suture.New(name, suture.Spec{EventHook: logEvents(log)}),
		cfg:        cfg,
		handle:     handle,
		log:        log,
		links:      map[string]*activeLink{},
	}
	ls.Add(&sweeper{ls})
	return ls
}

// Send queues a message for an address and never blocks. Like Link.Send, it may lose
// the message.
func (ls *Links) Send(address string, m Message) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	active, ok := ls.links[address]
	if !ok {
		active = &activeLink{link: NewLink(ls.cfg, address, ls.handle, ls.log)}
		active.token = ls.Add(active.link)
		ls.links[address] = active
	}
	active.lastUsed = time.Now()
	active.link.Send(m)
}

// sweeper removes links that are no longer used, such as those to former leaders.
type sweeper struct {
	links *Links
}

func (s *sweeper) String() string { return "sweeper of unused links" }

func (s *sweeper) Serve(ctx context.Context) error {
	for sleep(ctx, linkIdleTimeout) {
		s.links.sweep(time.Now())
	}
	return ctx.Err()
}

func (ls *Links) sweep(now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for address, active := range ls.links {
		if now.Sub(active.lastUsed) >= linkIdleTimeout {
			delete(ls.links, address)
			_ = ls.Remove(active.token)
		}
	}
}

// logEvents returns a hook that logs the supervisor's events.
func logEvents(log *slog.Logger) suture.EventHook {
	return func(e suture.Event) { log.Warn("supervisor", "event", e.String()) }
}
