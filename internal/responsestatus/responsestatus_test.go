package responsestatus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheck(t *testing.T) {
	for _, status := range []int{-20, 0, 1, 20, 99, 101, 600, 999, 1000} {
		require.ErrorIs(t, Check(status), ErrImpossible, status)
	}
	for _, status := range []int{100, 102, 200, 204, 404, 599} {
		require.NoError(t, Check(status))
	}
}
