package relay

import (
	"testing"

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
