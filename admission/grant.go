package admission

import "time"

// Grant is the leave to send a request. Retries of the request go under the
// same grant.
type Grant struct {
	c        *Controller
	w        *waiter
	released bool
}

// Waited is how long the request was in the queue.
func (g *Grant) Waited() time.Duration { return g.w.granted.Sub(g.w.arrived) }

// FirstToken says that the upstream has begun to answer, which makes room for
// the next request. Calling it again does nothing.
func (g *Grant) FirstToken() {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	now := g.c.now()
	p := g.c.pool(g.w.req.Pool, g.w.req.Model)
	p.tick(now)
	p.firstToken(g.w, now)
	g.c.startWaiting(p)
}

// Release ends the grant, with the output tokens that the answer had. Calling
// it again does nothing.
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
