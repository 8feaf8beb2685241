package outlier

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func after(outcomes string) History {
	var h History
	for _, o := range outcomes {
		if o == 's' {
			h.Succeed()
		} else {
			h.Fail()
		}
	}
	return h
}

// Guards against an upstream that answers most requests and counts as gone, and against one that is gone
// and counts as answering.
func TestAnswers(t *testing.T) {
	for outcomes, want := range map[string]bool{
		"":                  true,
		"ssss":              true,
		"f":                 false, // it has never answered
		"ssssf":             false, // it hasn't failed before
		"sfssfsf":           true,
		"sffsfsffsff":       true,
		"sfssfsffffffffffs": true, // it is back
		"sfsfsfsfsfffffff":  false,
	} {
		require.Equal(t, want, after(outcomes).Answers(), outcomes)
	}
}

// An upstream that fails a share of its requests counts as answering most of the time, one that answers
// nothing after a few attempts never.
func TestShareOfTimeThatAnUpstreamAnswers(t *testing.T) {
	const attempts = 20_000
	for _, c := range []struct{ failing, least, most float64 }{
		{0.03, 0.95, 1}, {0.4, 0.8, 1}, {0.6, 0.8, 1}, {1, 0, 0.001},
	} {
		rnd := rand.New(rand.NewPCG(1, 2))
		var h History
		answering := 0.0
		for range attempts {
			if rnd.Float64() < c.failing {
				h.Fail()
			} else {
				h.Succeed()
			}
			if h.Answers() {
				answering++
			}
		}
		require.GreaterOrEqual(t, answering/attempts, c.least, "failing %v", c.failing)
		require.LessOrEqual(t, answering/attempts, c.most, "failing %v", c.failing)
	}
}

// Guards against an upstream that usually fails and is never known to be gone.
func TestRowOfFailuresIsBounded(t *testing.T) {
	var h History
	for range 1000 {
		for range 9 {
			h.Fail()
		}
		h.Succeed()
	}
	for range maxRow {
		require.GreaterOrEqual(t, h.FailureShare(), 0.0)
		h.Fail()
	}
	require.False(t, h.Answers())
}
