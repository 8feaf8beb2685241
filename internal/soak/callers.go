package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"tamarackchute/platform/standin"
)

const (
	// pauseBetween is the mean time between two requests of a caller, loyalPause that
	// of a loyal one: some of its connections idle while their daemon leaves.
	pauseBetween = 20 * time.Millisecond
	loyalPause   = 2 * time.Second
	// For each callersForLoyal callers there is a loyal one.
	callersForLoyal = 2
	// closeOneIn is how often a caller gives up a request that it has sent.
	closeOneIn = 6
	// keepAtLeast bounds how often a caller asks where to connect.
	keepAtLeast = 200 * time.Millisecond
	// patienceSlack is how long a caller waits beyond its deadline.
	patienceSlack = 3 * time.Second
)

// caller sends one request after the other, on connections that it keeps.
type caller struct {
	name int
	site *site
	rng  *rand.Rand
	// client asks the directory, and sends the requests of a caller that isn't loyal.
	client  *standin.Caller
	known   []string
	askNext time.Time
	sent    int
	loyal   *loyalty
}

// loyalty is the connection that a loyal caller uses until it is closed.
type loyalty struct {
	client  *standin.Caller
	address string
	// life is the daemon's process that the connection was made to.
	life int
}

func newCaller(s *site, seed uint64, name int) *caller {
	return &caller{name: name, site: s, rng: rand.New(rand.NewPCG(seed, uint64(name)+1)), client: standin.NewCaller()}
}

func newLoyalCaller(s *site, seed uint64, name int) *caller {
	c := newCaller(s, seed, name)
	c.loyal = &loyalty{}
	return c
}

// run sends requests until ctx ends; one that is under way then ends first.
func (c *caller) run(ctx context.Context) {
	defer c.client.Close()
	pause := pauseBetween
	if c.loyal != nil {
		pause = loyalPause
		defer func() { c.loyal.close() }()
	}
	for ctx.Err() == nil {
		c.next()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rng.ExpFloat64() * float64(pause))):
		}
	}
}

// next sends a request, to a daemon that the directory names or on the connection that a
// loyal caller has.
func (c *caller) next() {
	if c.loyal != nil && c.loyal.client != nil && c.loyal.client.Open() {
		c.request(c.loyal.client, c.loyal.address, c.loyal.life)
		return
	}
	c.locate()
	if len(c.known) == 0 {
		return
	}
	address := c.known[c.rng.IntN(len(c.known))]
	d, ok := c.site.daemonAt(address)
	if !ok {
		c.site.oracle.report(Recovers, "a directory names %s, which is no daemon's address", address)
		return
	}
	client, life := c.client, d.lifeNow()
	if c.loyal != nil {
		c.loyal.close()
		client = standin.NewSingleConnectionCaller()
		*c.loyal = loyalty{client: client, address: address, life: life}
	}
	c.request(client, address, life)
}

func (l *loyalty) close() {
	if l.client != nil {
		l.client.Close()
	}
}

// locate asks any daemon where to connect, once the last answer has expired.
// Without an answer the old one is used on.
func (c *caller) locate() {
	if time.Now().Before(c.askNext) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), keepAtLeast)
	defer cancel()
	d := c.site.daemons[c.rng.IntN(len(c.site.daemons))]
	addresses, keep, err := c.client.Resolve(ctx, d.about.Directory())
	if err != nil || len(addresses) == 0 {
		c.askNext = time.Now().Add(keepAtLeast)
		return
	}
	c.known = addresses
	c.askNext = time.Now().Add(max(keep, keepAtLeast))
}

// request sends one to a process of the daemon at an address.
func (c *caller) request(client *standin.Caller, address string, life int) {
	d, _ := c.site.daemonAt(address)
	s := c.draw()
	c.sent++
	id := fmt.Sprintf("%d-%d", c.name, c.sent)
	c.site.oracle.sent(id, s, d.number)

	ctx, cancel := context.WithTimeout(context.Background(), s.deadline+patienceSlack)
	defer cancel()
	event := func() {}
	if c.rng.IntN(closeOneIn) == 0 {
		event = c.giveUp(id, s, cancel)
	}
	reply := client.Send(ctx, address, s.name, id, s.deadline, s.stream, event)
	c.site.oracle.answered(id, life, reply)
	if reply.Err != nil && !neverConnected(reply.Err) {
		c.site.checkCut(d, life, id, reply)
	}
}

// draw picks a kind of request. Half are streams: they last long enough to meet
// troubles midway.
func (c *caller) draw() service {
	if c.rng.IntN(2) == 0 {
		return services[slices.IndexFunc(services, func(s service) bool { return s.stream })]
	}
	return services[c.rng.IntN(len(services))]
}

// giveUp closes a request some time after it was sent, or after its second
// event. It returns what to call after an event.
func (c *caller) giveUp(id string, s service, cancel func()) (event func()) {
	closeNow := func() {
		c.site.oracle.closed(id)
		cancel()
	}
	if !s.stream {
		time.AfterFunc(time.Duration(c.rng.IntN(200))*time.Millisecond, closeNow)
		return func() {}
	}
	events := 0
	return func() {
		if events++; events == 2 {
			closeNow()
		}
	}
}

// neverConnected tells errors before anything of the request was sent.
func neverConnected(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, standin.ErrNoConnection)
}

// checkCut checks a broken connection once it is known how the process ended, if it did.
func (s *site) checkCut(d *daemon, life int, id string, reply standin.Reply) {
	at := time.Now()
	s.cuts.Go(func() {
		time.Sleep(exitSlack)
		s.oracle.cut(id, reply, at, d.awaitEnd(life))
	})
}
