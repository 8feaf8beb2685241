package upstreamlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against orders that wait behind the requests of all processes for good, and against orders
// that go beyond the limit: one process at a time gives them, and tries twice a second.
func TestOrdersHaveRoomWithinTheLimit(t *testing.T) {
	const (
		leads    = 3 * time.Second
		tick     = 100 * time.Millisecond
		lasts    = 60 * time.Second
		interval = 500 * time.Millisecond
	)
	for _, c := range []struct {
		perSecond float64
		// silent means that only responses to callers' requests name the limit.
		silent bool
	}{{0, false}, {0, true}, {0.3, false}, {0.3, true}, {0.4, false}, {0.4, true}, {1, false}, {6.7, true}, {14.1, false}} {
		perSecond := c.perSecond
		t.Run(fmt.Sprint(perSecond, " ", c.silent), func(t *testing.T) {
			f := newFleet(7, 1)
			f.limited, f.perSecond = true, perSecond
			f.step(0)
			named, orders := f.now, 0
			for elapsed := time.Duration(0); elapsed < lasts; elapsed += tick {
				if leader := int(elapsed/leads) % len(f.limiters); elapsed%interval == 0 && f.limiters[leader].TakeOrder(limited) {
					f.answerOrder(leader, c.silent)
					if f.limiters[leader].TakeOrdered(limited) {
						orders++
						f.answerOrder(leader, c.silent)
					}
				}
				f.step(tick)
			}
			require.LessOrEqual(t, f.most(named.Add(notice)), allowed(perSecond))
			if perSecond < minPerSecond {
				require.True(t, c.silent || orders == 0)
				return
			}
			require.GreaterOrEqual(t, orders, len(f.limiters), "each leader's first one at least")
		})
	}
}

// answerOrder lets a process send a request of an order, whose response may not tell of the limit.
func (f *fleet) answerOrder(i int, silent bool) {
	if !silent {
		f.answer(i)
		return
	}
	f.sent = append(f.sent, f.now)
}

// Guards against an engine that no request reaches, as it only prefills or is without a use, and that has
// once named a limit near zero: nobody would ask it whether the limit is over, so that it got no order.
func TestOrderAsksWhetherALimitIsOver(t *testing.T) {
	const interval = 500 * time.Millisecond
	for _, silent := range []bool{false, true} {
		f := newFleet(7, 1)
		f.limited, f.perSecond = true, 0.3
		f.answer(2)
		f.exchange()
		leader := f.limiters[0]
		require.False(t, leader.TakeOrder(limited), "it has just named its limit")
		f.limited = false
		var ordered time.Duration
		for elapsed := interval; ordered == 0 && elapsed < time.Minute; elapsed += interval {
			f.now = f.now.Add(interval)
			if leader.TakeOrder(limited) {
				f.answerOrder(0, silent)
				require.True(t, leader.TakeOrdered(limited))
				ordered = elapsed
			}
		}
		require.NotZero(t, ordered)
		require.LessOrEqual(t, ordered, staleAfter+probeSpread+interval)
	}
}

// Guards against a second request that the response to the first one forbids.
func TestLimitNamedDuringAnOrder(t *testing.T) {
	f := newFleet(3, 1)
	leader := f.limiters[0]
	require.True(t, leader.TakeOrder(limited), "no limit is known")
	f.limited, f.perSecond = true, 0
	f.answer(0)
	require.False(t, leader.TakeOrdered(limited))
	f.perSecond = 10
	f.now = f.now.Add(time.Second)
	f.answer(0)
	require.True(t, leader.TakeOrdered(limited))
	require.True(t, leader.TakeOrdered(limited))
	require.False(t, leader.TakeOrdered(limited), "the room of one order")
}

func TestOrdersNeedMembership(t *testing.T) {
	f := newFleet(1, 1)
	require.True(t, f.limiters[0].TakeOrder(limited), "no limit")
	f.limited, f.perSecond = true, 10
	f.step(0)
	f.limiters[0].SetMembers([]string{"another"})
	require.False(t, f.limiters[0].TakeOrder(limited))
}
