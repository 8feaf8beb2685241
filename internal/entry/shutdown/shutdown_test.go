package shutdown

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// An instance is replaced. A caller that asked a moment before where to connect
// comes with its kept answer, and a stream is still running; both are cut off
// if the process exits as soon as it is told. It may exit only when every kept
// answer has run out and every request has ended, or the grace is over.
func TestStopWaitsForDiscoveryTTLAndRequests(t *testing.T) {
	began := time.Unix(1000, 0)
	s := State{DiscoveryTTL: 5 * time.Second, Grace: 60 * time.Second}
	require.Equal(t, Serving, s.Phase(began, 0))
	s.Begin(began)
	s.Begin(began.Add(3 * time.Second))
	for _, tc := range []struct {
		after  time.Duration
		active int
		want   Phase
	}{
		{0, 0, Deregistered},
		{4999 * time.Millisecond, 0, Deregistered},
		{5 * time.Second, 1, Draining},
		{5 * time.Second, 0, Stopped},
		{64 * time.Second, 1, Draining},
		{65 * time.Second, 1, Stopped},
	} {
		require.Equal(t, tc.want, s.Phase(began.Add(tc.after), tc.active), "%v, %d active", tc.after, tc.active)
	}
}

// A caller's request arrives while the instance leaves, and is cut off with "connection reset by
// peer" when it exits: the machine was so busy that the request still waited to be read when
// the instance looked for the last time, and found nothing in progress.
func TestShutdownServesUnreadRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unread, inProgress, answered := 1, 0, 0
		s := State{DiscoveryTTL: time.Second, Grace: time.Minute}
		s.CloseIdle = func() int {
			inProgress += unread
			unread = 0
			return inProgress
		}
		active := func() int {
			n := inProgress
			if n > 0 {
				inProgress--
				answered++
			}
			return n
		}
		s.Drain(nil, active, slog.New(slog.DiscardHandler))
		require.Equal(t, 1, answered)
	})
}
