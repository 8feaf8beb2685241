package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/platform/standin"
)

// Guards against a check that takes arrivals for crashes: copies of a request that are in flight at one
// server crash it once, and one that breaks off on a cut link crashes none.
func TestLethalRequestIsRefusedFromItsThirdCrash(t *testing.T) {
	o := newOracle(newFaultLog())
	o.serverListed("repeat-1", "repeat")
	copies := 0
	reach := func(times int) {
		for range times {
			copies++
			id := fmt.Sprint("copy-", copies)
			o.sentLethal(id, lethalPrefix, repeatService, validKey, 0)
			o.Arrived(standin.RequestInfo{Server: "repeat-1", ID: id})
		}
	}
	reach(3)
	o.lethalCrash(lethalPrefix)
	o.lethalCrash(lethalPrefix)
	require.False(t, o.mustBeRefused(lethalPrefix))
	reach(maxLethalArrivals + 1)
	require.Empty(t, o.Violations())

	o.lethalCrash(lethalPrefix)
	require.True(t, o.mustBeRefused(lethalPrefix))
	reach(maxLethalArrivals + 1)
	require.Empty(t, o.Violations(), "within the time for the word to spread")
	o.lethal[lethalPrefix].refusedFrom = time.Now().Add(-time.Millisecond)
	reach(maxLethalArrivals)
	require.Empty(t, o.Violations())
	reach(1)
	require.Len(t, o.Violations(), 1)
	require.Equal(t, LethalRefused, o.Violations()[0].Promise)
}
