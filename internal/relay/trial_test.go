package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/placement"
	"tamarackchute/quarantine"
)

// Guards against suspects that take all upstreams of a pool, or find none in a pool of one.
func TestTrialRoom(t *testing.T) {
	for name, c := range map[string]struct {
		usable            []string
		listed            int
		claimed, reserved []string
		avoid             []string
		ok                bool
	}{
		"three idle":                      {usable: []string{"a", "b", "c"}, listed: 3, ok: true},
		"two of three have suspects":      {usable: []string{"a", "b", "c"}, listed: 3, claimed: []string{"a", "b"}, avoid: []string{"c"}, ok: true},
		"both are reserved for others":    {usable: []string{"a", "b", "c"}, listed: 3, claimed: []string{"a", "b"}, reserved: []string{"a", "b"}, avoid: []string{"a", "b", "c"}},
		"the last of three":               {usable: []string{"a"}, listed: 3, avoid: []string{"a"}},
		"the only one":                    {usable: []string{"a"}, listed: 1, ok: true},
		"the only one, reserved":          {usable: []string{"a"}, listed: 1, claimed: []string{"a"}, reserved: []string{"a"}, avoid: []string{"a"}},
		"none is usable: placement fails": {listed: 3, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			avoid, ok := trialRoom(placement.UsableUpstreams{IDs: c.usable, Listed: c.listed}, quarantine.Reservations{Claimed: c.claimed, Reserved: c.reserved})
			require.Equal(t, c.ok, ok)
			require.ElementsMatch(t, c.avoid, avoid)
		})
	}
}

// Guards against claims by all daemons at once for a part that requests at all of them wait for.
func TestTrialsOfPartsAreSpread(t *testing.T) {
	now := time.Now()
	part := trial{digest: quarantine.PartDigest("p", "m", 7)}
	claims := 0
	for range 200 {
		next := part
		if next.mayClaim(false, now.Add(maxPartTrialDelay/20)) {
			claims++
		}
		if next.mayClaim(false, now.Add(maxPartTrialDelay/10)) {
			claims++
		}
		require.True(t, next.mayClaim(false, now.Add(2*maxPartTrialDelay)), "it has its turn")
		require.False(t, next.mayClaim(true, now.Add(2*maxPartTrialDelay)), "another one has it")
		require.False(t, next.claimAt.After(now), "its delay is drawn anew")
	}
	require.Less(t, claims, 100)
	whole := trial{digest: quarantine.Digest{A: 1, B: 2}}
	require.True(t, whole.mayClaim(false, now), "few wait for a whole request")
}
