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
	for _, perSecond := range []float64{0, 0.3, 0.4, 1, 6.7, 14.1} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			f := newFleet(7, 1)
			f.limited, f.perSecond = true, perSecond
			f.step(0)
			named, orders := f.now, 0
			for elapsed := time.Duration(0); elapsed < lasts; elapsed += tick {
				if leader := int(elapsed/leads) % len(f.limiters); elapsed%interval == 0 && f.limiters[leader].TakeOrder(limited) {
					orders++
					f.sent = append(f.sent, f.now, f.now)
				}
				f.step(tick)
			}
			require.LessOrEqual(t, f.most(named.Add(notice)), allowed(perSecond))
			if perSecond < minPerSecond {
				require.Zero(t, orders)
				return
			}
			require.GreaterOrEqual(t, orders, len(f.limiters), "each leader's first one at least")
		})
	}
}

func TestOrdersNeedMembership(t *testing.T) {
	f := newFleet(1, 1)
	require.True(t, f.limiters[0].TakeOrder(limited), "no limit")
	f.limited, f.perSecond = true, 10
	f.step(0)
	f.limiters[0].SetMembers([]string{"another"})
	require.False(t, f.limiters[0].TakeOrder(limited))
}
