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
	// meanThinkTime is the mean time between two requests of a caller, meanSingleConnThinkTime that
	// of a single-connection one: long enough that some of its connections are idle while their daemon
	// shuts down.
	meanThinkTime           = 20 * time.Millisecond
	meanSingleConnThinkTime = 2 * time.Second
	// There is one single-connection caller for each callersPerSingleConn callers.
	callersPerSingleConn = 2
	// One in closeOneIn requests is closed by its caller before the response is complete.
	closeOneIn = 6
	// One in longPromptsOneIn callers has prompts of longPrompt tokens, which are worth a prefill
	// at another engine.
	longPromptsOneIn = 4
	longPrompt       = 9000
	// One in linksOneIn callers has a link in the paths of its requests, which leads to another service.
	linksOneIn = 5
	link       = "https://" + standin.RuleHost + "/repeat/x"
	// minResolveInterval bounds how often a caller asks a directory for addresses.
	minResolveInterval = 200 * time.Millisecond
	// callerTimeoutSlack is how long a caller waits beyond its request's deadline.
	callerTimeoutSlack = 3 * time.Second
)

// caller sends one request after another over persistent connections.
type caller struct {
	name int
	site *site
	rng  *rand.Rand
	// client queries the directory, and sends the requests of a caller with many connections.
	client      *standin.Caller
	addresses   []string
	nextResolve time.Time
	sent        int
	single      *singleConn
}

// singleConn is the connection that a single-connection caller uses until the daemon closes it.
type singleConn struct {
	client  *standin.Caller
	address string
	// launch is the number of the daemon process that the connection was made to.
	launch int
}

func newCaller(s *site, seed uint64, name int) *caller {
	c := &caller{name: name, site: s, rng: rand.New(rand.NewPCG(seed, uint64(name)+1)), client: standin.NewCaller()}
	if name%longPromptsOneIn == 0 {
		c.client.PromptTokens = longPrompt
	}
	return c
}

func newSingleConnectionCaller(s *site, seed uint64, name int) *caller {
	c := newCaller(s, seed, name)
	c.single = &singleConn{}
	return c
}

// run sends requests until ctx ends, and then waits for the one in flight.
func (c *caller) run(ctx context.Context) {
	defer c.client.Close()
	thinkTime := meanThinkTime
	if c.single != nil {
		thinkTime = meanSingleConnThinkTime
		defer func() { c.single.close() }()
	}
	for ctx.Err() == nil {
		c.sendNext()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rng.ExpFloat64() * float64(thinkTime))):
		}
	}
}

// sendNext sends a request over the single connection if it is open, otherwise to a daemon that
// the directory names.
func (c *caller) sendNext() {
	if c.single != nil && c.single.client != nil && c.single.client.Open() {
		c.request(c.single.client, c.single.address, c.single.launch)
		return
	}
	c.resolve()
	if len(c.addresses) == 0 {
		return
	}
	address := c.addresses[c.rng.IntN(len(c.addresses))]
	d, ok := c.site.daemonAt(address)
	if !ok {
		c.site.oracle.report(Recovers, "a directory names %s, which is no daemon's address", address)
		return
	}
	client, launch := c.client, d.currentLaunch()
	if c.single != nil {
		c.single.close()
		client = standin.NewSingleConnectionCaller()
		*c.single = singleConn{client: client, address: address, launch: launch}
	}
	c.request(client, address, launch)
}

func (c *singleConn) close() {
	if c.client != nil {
		c.client.Close()
	}
}

// resolve asks a random daemon for addresses once the last answer has expired. If it fails, the
// caller keeps using the old addresses.
func (c *caller) resolve() {
	if time.Now().Before(c.nextResolve) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), minResolveInterval)
	defer cancel()
	d := c.site.daemons[c.rng.IntN(len(c.site.daemons))]
	addresses, ttl, err := c.client.Resolve(ctx, d.config.Directory())
	if err != nil || len(addresses) == 0 {
		c.nextResolve = time.Now().Add(minResolveInterval)
		return
	}
	c.addresses = addresses
	c.nextResolve = time.Now().Add(max(ttl, minResolveInterval))
}

// request sends one request to a given process of the daemon at an address.
func (c *caller) request(client *standin.Caller, address string, launch int) {
	d, _ := c.site.daemonAt(address)
	s := c.pickService()
	c.sent++
	id := fmt.Sprintf("%d-%d", c.name, c.sent)
	key := c.site.keyFor(c.name%organisations, c.rng.IntN(removedKeyOneIn) == 0)
	client.Key = key.text
	if c.name%linksOneIn == 0 {
		client.Path = "/" + s.name + "/" + link
	}
	c.site.oracle.sent(id, s, key, d.number)

	ctx, cancel := context.WithTimeout(context.Background(), s.deadline+callerTimeoutSlack)
	defer cancel()
	onEvent := func() {}
	if c.rng.IntN(closeOneIn) == 0 {
		onEvent = c.scheduleClose(id, s, cancel)
	}
	reply := client.Send(ctx, address, s.name, id, s.deadline, s.stream, onEvent)
	c.site.oracle.answered(id, launch, reply)
	if reply.Err != nil && !nothingSent(reply.Err) {
		c.site.checkLostConnection(d, launch, id, reply)
	}
}

// pickService draws a service. Half of the requests are streams, which last long enough for
// faults to hit them midway.
func (c *caller) pickService() service {
	if c.rng.IntN(2) == 0 {
		return services[slices.IndexFunc(services, func(s service) bool { return s.stream })]
	}
	return services[c.rng.IntN(len(services))]
}

// scheduleClose closes a plain request after a random delay of up to 200 ms, a stream after its
// second event. The returned function must be called after each event.
func (c *caller) scheduleClose(id string, s service, cancel func()) (onEvent func()) {
	closeNow := func() {
		c.site.oracle.callerClosed(id)
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

// nothingSent reports whether the error occurred before any byte of the request was sent.
func nothingSent(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, standin.ErrNoConnection)
}

// checkLostConnection checks a broken connection once it is known whether and how the process
// exited.
func (s *site) checkLostConnection(d *daemon, launch int, id string, reply standin.Reply) {
	lostAt := time.Now()
	s.pendingChecks.Go(func() {
		time.Sleep(exitSlack)
		s.oracle.connectionLost(id, reply, lostAt, d.awaitExit(launch))
	})
}
