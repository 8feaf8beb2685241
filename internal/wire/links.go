package wire

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
)

// linkRest is how long a link stays without anything sent over it.
const linkIdleTimeout = 30 * time.Second

// Links keeps a link to each address that something was sent to lately.
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

// NewLinks returns an empty set of links; its supervisor runs it. handle takes
// what peers send back, from several goroutines; nil drops it.
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

// Send queues a message for an address and never blocks; see Link.Send.
func (ls *Links) Send(address string, m Message) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	u, ok := ls.links[address]
	if !ok {
		u = &activeLink{link: NewLink(ls.cfg, address, ls.handle, ls.log)}
		u.token = ls.Add(u.link)
		ls.links[address] = u
	}
	u.lastUsed = time.Now()
	u.link.Send(m)
}

// sweeper ends links that have gone unused, such as those to former leaders.
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
	for address, u := range ls.links {
		if now.Sub(u.lastUsed) >= linkIdleTimeout {
			delete(ls.links, address)
			_ = ls.Remove(u.token)
		}
	}
}

// logEvents writes the supervisor's events as log lines.
func logEvents(log *slog.Logger) suture.EventHook {
	return func(e suture.Event) { log.Warn("supervisor", "event", e.String()) }
}
