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

// everywhere is a list that names every instance.
type everywhere struct{}

func (everywhere) Gone(string, time.Time) bool { return false }
func (everywhere) Listed(string) bool          { return true }

// member is one process: a journal, a view and a keeper.
type member struct {
	*Keeper
	view   *View
	cancel context.CancelFunc
	done   conc.WaitGroup
}

func join(log *journaltest.Log, instance string, delay time.Duration) *member {
	quiet := slog.New(slog.DiscardHandler)
	m := &member{view: NewView()}
	j := journal.New(log, journal.Config{Writer: instance, Logger: quiet})
	j.Register(journal.KindLease, m.view)
	cfg := KeeperConfig{Writer: instance, AddressBound: true, Config: Config{
		Scope: "s", Instance: instance, Incarnation: "1", Term: 3 * time.Second, Renew: time.Second,
		Drift: 0.01, ClaimDelay: delay, Retention: time.Hour,
	}}
	m.Keeper = NewKeeper(cfg, j, m.view, everywhere{}, quiet)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { _ = j.Serve(ctx) })
	m.done.Go(func() { _ = m.Serve(ctx) })
	return m
}

func (m *member) leave() {
	m.cancel()
	m.done.Wait()
}

func leaders(members []*member) (n int) {
	for _, m := range members {
		if _, ok := m.Authority(); ok {
			n++
		}
	}
	return n
}

// The log loses replies and appends, takes some late, and is down for a while.
// Whatever happens there must never be two leaders, and afterwards there must
// be one again.
func TestKeepersOverAFaultyLog(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { faultyLog(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func faultyLog(t *testing.T, rng *rand.Rand) {
	log := journaltest.NewLog()
	log.SetLatency(10 * time.Millisecond)
	log.SetLateAfter(4 * time.Second)
	var members []*member
	for i := range 3 {
		members = append(members, join(log, fmt.Sprint("i", i), time.Duration(i)*50*time.Millisecond))
	}
	faults := []journaltest.Fault{
		journaltest.FaultNone, journaltest.FaultNone, journaltest.FaultNotWritten, journaltest.FaultReplyLost,
		journaltest.FaultLost, journaltest.FaultLate, journaltest.FaultHang,
	}
	appends := -1
	for tick := range 6000 { // a minute
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
		require.LessOrEqual(t, leaders(members), 1)
	}
	time.Sleep(2 * time.Minute) // the faults left over are used up by then
	assert.Equal(t, 1, leaders(members))
	for _, m := range members {
		m.leave()
	}
}

// A controller is being stopped while an order is on its way. Were the scope
// released before the order's end, the next leader could send its own first.
func TestReleaseWaitsForTheOrderInHand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		m := join(log, "i1", 0)
		time.Sleep(5 * time.Second)
		_, done, ok := m.Use()
		require.True(t, ok)
		released := make(chan error, 1)
		go func() { released <- m.Release(t.Context()) }()
		time.Sleep(10 * time.Second)
		assert.True(t, m.view.Scope("s").Held)
		_, _, ok = m.Use()
		assert.False(t, ok, "no new order")
		done()
		require.NoError(t, <-released)
		assert.False(t, m.view.Scope("s").Held)
		m.leave()
	})
}

// Guards against a process that stops without releasing what it has just claimed, as its own
// reader hasn't shown it the claim yet: nobody would lead for a term.
func TestReleaseWaitsForTheClaimUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		log.SetLateAfter(time.Second)
		log.Fail(journaltest.FaultHang)
		m := join(log, "i1", 0)
		time.Sleep(3500 * time.Millisecond)
		require.Equal(t, 1, log.Appends())
		require.False(t, m.view.Scope("s").Known)
		require.NoError(t, m.Release(t.Context()))
		time.Sleep(10 * time.Second)
		assert.True(t, m.view.Scope("s").Known)
		assert.False(t, m.view.Scope("s").Held)
		m.leave()
	})
}

// An order got no reply. Its sender asks for a higher number, so that the
// engine refuses the copy that may still be under way.
func TestRenumberBeginsATermWithAHigherNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := join(journaltest.NewLog(), "i1", 0)
		time.Sleep(5 * time.Second)
		before, ok := m.Authority()
		require.True(t, ok)
		m.Renumber()
		time.Sleep(2 * time.Second)
		after, ok := m.Authority()
		require.True(t, ok)
		assert.Greater(t, after.FencingToken, before.FencingToken)
		m.leave()
	})
}
