package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Callers may estimate six times the output that they allow. Without the limit, engines
// would seem full, and KV memory would be reserved for output that can't occur.
func TestExpectedOutputIsLimitedByMaxOutput(t *testing.T) {
	for _, c := range []struct{ expected, most, want int }{
		{expected: 0, most: 0, want: defaultOutputTokens},
		{expected: 0, most: 700, want: 700},
		{expected: 300, most: 700, want: 300},
		{expected: 4200, most: 700, want: 700},
		{expected: 300, most: 0, want: 300},
	} {
		require.Equal(t, c.want, expectedOutput(&Generation{ExpectedOutput: c.expected, MaxOutput: c.most}))
	}
}
