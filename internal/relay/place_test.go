package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Callers guess six times the tokens that they allow. Engines seemed full of answers which
// could never be that long, and memory was held for them.
func TestExpectedOutputIsWithinItsBound(t *testing.T) {
	for _, c := range []struct{ expected, most, want int }{
		{expected: 0, most: 0, want: assumedOutput},
		{expected: 0, most: 700, want: 700},
		{expected: 300, most: 700, want: 300},
		{expected: 4200, most: 700, want: 700},
		{expected: 300, most: 0, want: 300},
	} {
		require.Equal(t, c.want, expectedOutput(&Generation{ExpectedOutput: c.expected, MaxOutput: c.most}))
	}
}
