package lease

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/journal"
	"tamarackchute/journal/journaltest"
)

// allListed is an instance list that has every instance.
type allListed struct{}

func (allListed) Gone(string, time.Time) bool { return false }
func (allListed) Listed(string) bool          { return true }

// process is the journal, the view and the keeper of one process.
type process struct {
	*Keeper
	view   *View
	cancel context.CancelFunc
	done   conc.WaitGroup
}

func startProcess(log *journaltest.Log, instance string, delay time.Duration) *process {
	quiet := slog.New(slog.DiscardHandler)
	p := &process{view: NewView()}
	j := journal.New(log, journal.Config{Writer: instance, Logger: quiet})
	j.Register(journal.KindLease, p.view)
	cfg := KeeperConfig{Writer: instance, AddressBound: true, Config: Config{
		Scope: "s", Instance: instance, Incarnation: "1", Term: 3 * time.Second, Renew: time.Second,
		Drift: 0.01, ClaimDelay: delay, Retention: time.Hour,
	}}
	p.Keeper = NewKeeper(cfg, j, p.view, allListed{}, quiet)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() { _ = j.Serve(ctx) })
	p.done.Go(func() { _ = p.Serve(ctx) })
	return p
}

func (p *process) stop() {
	p.cancel()
	p.done.Wait()
}

func countLeaders(processes []*process) (n int) {
	for _, p := range processes {
		if _, ok := p.Authority(); ok {
			n++
		}
	}
	return n
}

// Guards against two leaders at a time, against none after the faults, and against a fencing token that is
// used again after another leader, while
// the log loses replies and appends, stores some appends late and has outages.
func TestKeepersOnFaultyLog(t *testing.T) {
	var tokens tokenCheck
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tokens = tokenCheck{regained: tokens.regained}
				faultyLog(t, rand.New(rand.NewPCG(seed, 1)), &tokens)
			})
		})
	}
	require.Positive(t, tokens.regained, "some gaps between authorities under one token")
}

// tokenCheck fails if a process has authority under a token again after another process has had any.
type tokenCheck struct {
	last   Authority
	holder *process
	past   map[uint64]bool
	// regained counts authorities that were regained after a gap.
	regained int
	gap      bool
}

func (c *tokenCheck) observe(t *testing.T, processes []*process) {
	held := false
	for _, p := range processes {
		a, ok := p.Authority()
		if !ok {
			continue
		}
		held = true
		require.True(t, p.IsLastHolder())
		require.Falsef(t, c.past[a.FencingToken], "token %d is used again", a.FencingToken)
		if c.holder != nil && a.FencingToken != c.last.FencingToken {
			c.past[c.last.FencingToken] = true
		} else if c.gap {
			require.Same(t, c.holder, p)
			c.regained++
		}
		c.holder, c.last = p, a
	}
	c.gap = c.holder != nil && !held
}

func faultyLog(t *testing.T, rng *rand.Rand, tokens *tokenCheck) {
	tokens.past = make(map[uint64]bool)
	log := journaltest.NewLog()
	log.SetLatency(10 * time.Millisecond)
	log.SetLateAfter(4 * time.Second)
	var processes []*process
	for i := range 3 {
		processes = append(processes, startProcess(log, fmt.Sprint("i", i), time.Duration(i)*50*time.Millisecond))
	}
	faults := []journaltest.Fault{
		journaltest.FaultNone, journaltest.FaultNone, journaltest.FaultNotWritten, journaltest.FaultReplyLost,
		journaltest.FaultLost, journaltest.FaultLate, journaltest.FaultHang,
	}
	appends := -1
	for tick := range 6000 { // one minute
		if n := log.Appends(); n != appends {
			log.Fail(faults[rng.IntN(len(faults))])
			appends = n
		}
		if tick%1500 == 0 {
			log.Outage(rng.IntN(2) == 0)
		}
		if tick%1500 == 500 {
			log.Outage(false)
		}
		time.Sleep(10 * time.Millisecond)
		require.LessOrEqual(t, countLeaders(processes), 1)
		tokens.observe(t, processes)
	}
	time.Sleep(2 * time.Minute) // by then the remaining faults are used up
	assert.Equal(t, 1, countLeaders(processes))
	for _, p := range processes {
		p.stop()
	}
}

// Guards against a release while an order is in flight: the next leader could
// send an order that arrives first.
func TestReleaseWaitsForActiveOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		p := startProcess(log, "i1", 0)
		time.Sleep(5 * time.Second)
		_, done, ok := p.Use()
		require.True(t, ok)
		released := make(chan error, 1)
		go func() { released <- p.Release(t.Context()) }()
		time.Sleep(10 * time.Second)
		assert.True(t, p.view.Scope("s").Held)
		_, _, ok = p.Use()
		assert.False(t, ok, "no new order")
		done()
		require.NoError(t, <-released)
		assert.False(t, p.view.Scope("s").Held)
		p.stop()
	})
}

// Guards against a process that stops without releasing a claim that it has sent
// but not yet read back: the scope would have no leader for a term.
func TestReleaseWaitsForPendingClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		log.SetLateAfter(time.Second)
		log.Fail(journaltest.FaultHang)
		p := startProcess(log, "i1", 0)
		time.Sleep(3500 * time.Millisecond)
		require.Equal(t, 1, log.Appends())
		require.False(t, p.view.Scope("s").Known)
		require.NoError(t, p.Release(t.Context()))
		time.Sleep(10 * time.Second)
		assert.True(t, p.view.Scope("s").Known)
		assert.False(t, p.view.Scope("s").Held)
		p.stop()
	})
}

// After an order without a reply, its sender needs a higher fencing token, so
// that the engine refuses a copy that may still be in flight.
func TestRenumberRaisesFencingToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startProcess(journaltest.NewLog(), "i1", 0)
		time.Sleep(5 * time.Second)
		before, ok := p.Authority()
		require.True(t, ok)
		p.Renumber()
		time.Sleep(2 * time.Second)
		after, ok := p.Authority()
		require.True(t, ok)
		assert.Greater(t, after.FencingToken, before.FencingToken)
		p.stop()
	})
}
