package transit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clockDifference is that of the sender's clock to the recipient's.
const clockDifference = 1000 * time.Hour

// hear delivers a message that was sent at a time of the recipient's clock.
func hear(m *Meter, id uint64, sentAt, now time.Duration) time.Duration {
	return m.Late(id, sentAt+clockDifference, now)
}

// Guards against messages that count as new though they waited on a link that stalled, or while the
// recipient stood still, for however long.
func TestMessagesThatWaitedAreLate(t *testing.T) {
	for _, wait := range []time.Duration{time.Second, memory, 10 * memory} {
		var m Meter
		const onTime = 5 * time.Millisecond
		require.Zero(t, hear(&m, 1, 0, onTime))
		sent := 200 * time.Millisecond
		for now := sent + wait; sent < now; sent += 200 * time.Millisecond {
			require.Equal(t, now-sent-onTime, hear(&m, 1, sent, now), "waited for up to %v", wait)
		}
	}
}

// Guards against a delay that is measured by a first message which was late itself, or by another sender's.
func TestQuickestMessageCounts(t *testing.T) {
	var m Meter
	require.Zero(t, hear(&m, 1, 0, time.Second))
	require.Zero(t, hear(&m, 1, time.Second, time.Second+time.Millisecond))
	require.Equal(t, time.Second, hear(&m, 1, 2*time.Second, 3*time.Second+time.Millisecond))
	require.Zero(t, hear(&m, 2, 2*time.Second, 3*time.Second))
}

// Guards against clocks that drift, by which all messages would be late in the end.
func TestOldMessagesDontCountForever(t *testing.T) {
	var m Meter
	require.Zero(t, hear(&m, 1, 0, 0))
	for now := time.Duration(0); now <= 4*memory; now += time.Second {
		late := hear(&m, 1, now-now/10_000, now)
		require.Less(t, late, 3*time.Millisecond)
	}
}

// Guards against memory that grows with each start of a daemon.
func TestSendersAreForgotten(t *testing.T) {
	var m Meter
	for id := range uint64(maxSenders + 100) {
		hear(&m, id, 0, time.Duration(id))
	}
	require.Len(t, m.senders, maxSenders)
	require.Contains(t, m.senders, uint64(maxSenders+99))
}
