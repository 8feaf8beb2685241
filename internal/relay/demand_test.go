package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Work that arrives at a constant rate keeps as many engines busy, whether or not it is served.
func TestDemandFollowsTheRateOfWork(t *testing.T) {
	var m demandMeter
	now := time.Now()
	const interval = 100 * time.Millisecond
	for range 200 {
		now = now.Add(interval)
		m.add("p", 150, 400, now) // the milliseconds of 1.5 and 4 engines
	}
	p := m.pools["p"]
	p.decay(now.Add(interval / 2))
	require.InEpsilon(t, 1.5, p.PrefillEngines, 0.05)
	require.InEpsilon(t, 4, p.DecodeEngines, 0.05)
	p.decay(now.Add(20 * demandTimeConstant))
	require.Less(t, p.PrefillEngines+p.DecodeEngines, 0.01)
}
