package admission

import "time"

// Grant is the permission to send a request. It covers the request's retries.
type Grant struct {
	c        *Controller
	w        *waiter
	released bool
}

// Waited is the time that the request spent in the queue.
func (g *Grant) Waited() time.Duration { return g.w.granted.Sub(g.w.arrived) }

// FirstToken records the first token, which makes room in the window for the next
// request. Further calls do nothing.
func (g *Grant) FirstToken() {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	now := g.c.now()
	p := g.c.pool(g.w.req.Pool, g.w.req.Model)
	p.tick(now)
	p.firstToken(g.w, now)
	g.c.startWaiting(p)
}

// Release ends the grant, with the number of output tokens. Further calls do
// nothing.
func (g *Grant) Release(res Result, output int) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	if g.released {
		return
	}
	g.released = true
	if res == ResultCompleted {
		p := g.c.pool(g.w.req.Pool, g.w.req.Model)
		p.adjustCharge(g.w, output)
		p.completed(g.w, g.c.now())
	}
	g.c.release(g.w)
}
