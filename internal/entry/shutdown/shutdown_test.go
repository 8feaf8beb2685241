package shutdown

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an exit that cuts off callers with a cached discovery response or with
// a stream in progress. The instance may exit only when the cached responses have
// expired and all requests have ended, or when the grace period is over.
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

// Guards against cutting off a request that has arrived but hasn't been read at the last
// check, as on an overloaded machine: it isn't in progress yet, and the caller would get
// "connection reset by peer" at the exit.
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

// Guards against an instance that accepts connections until it exits, so that the last ones are
// closed before their requests arrive.
func TestListenersCloseBeforeTheEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		busyFor, wantClosed time.Duration
	}{
		"nothing in progress": {0, time.Second},
		"busy for a while":    {3 * time.Second, 3 * time.Second},
		"busy until the end":  {time.Hour, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var closed time.Duration
				s := State{DiscoveryTTL: time.Second, Grace: 10 * time.Second, AcceptReserve: 2 * time.Second}
				s.StopAccepting = func() { closed = time.Since(start) }
				s.CloseIdle = func() int { return 0 }
				active := func() int {
					if time.Since(start) < tc.busyFor {
						return 1
					}
					return 0
				}
				s.Drain(nil, active, slog.New(slog.DiscardHandler))
				require.InDelta(t, tc.wantClosed, closed, float64(checkInterval))
			})
		})
	}
}

// Guards against a process that exits long after it has closed its last connections, or closes
// them while a request has come in.
func TestLastStepsAreOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var steps []string
		late := 1
		s := State{DiscoveryTTL: time.Second, Grace: time.Minute}
		s.StopAccepting = func() { steps = append(steps, "stop accepting") }
		s.BeforeClose = func() { steps = append(steps, "before close") }
		s.CloseIdle = func() int {
			steps = append(steps, "close idle")
			n := late
			late = 0
			return n
		}
		s.Drain(nil, func() int { return 0 }, slog.New(slog.DiscardHandler))
		require.Equal(t, []string{"stop accepting", "before close", "close idle", "close idle"}, steps)
	})
}
