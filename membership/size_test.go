package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// The target size: 10 data centres, 1,700 instances.
const (
	targetDataCentres = 10
	targetPerCentre   = 170
)

func targetMachine(now time.Time) *Machine {
	var dcs []string
	var peers []Peer
	for d := range targetDataCentres {
		dc := fmt.Sprintf("data-centre-%02d", d)
		dcs = append(dcs, dc)
		for i := range targetPerCentre {
			peers = append(peers, Peer{fmt.Sprintf("entry-%s-%03d", dc, i), dc})
		}
	}
	return New(Config{
		Self: peers[0], Peers: peers, Incarnation: uint64(now.UnixMilli()),
		Nearest: func(string) []string { return dcs },
	}, now)
}

func encodedSize(t require.TestingT, m Message) int {
	data, err := msgpack.Marshal(m)
	require.NoError(t, err)
	return len(data)
}

// Messages stay small at the target size, even if all other instances are silent.
func TestMessageSizeAtTargetSize(t *testing.T) {
	now := time.Now()
	m := targetMachine(now)
	out := m.Tick(now.Add(time.Hour))
	require.Len(t, out, targetPerCentre-1+targetDataCentres-1)
	beat, summary := encodedSize(t, out[0].Message), encodedSize(t, out[len(out)-1].Message)
	t.Logf("heartbeat %d B, summary %d B", beat, summary)
	require.Less(t, beat, 2<<10)
	require.Less(t, summary, 8<<10)
}

func BenchmarkTickAtTargetSize(b *testing.B) {
	now := time.Now()
	m := targetMachine(now)
	for b.Loop() {
		now = now.Add(DefaultHeartbeatInterval)
		m.Tick(now)
	}
}

func BenchmarkSummaryAtTargetSize(b *testing.B) {
	now := time.Now()
	m := targetMachine(now)
	dc := m.remote[0]
	s := Summary{DataCentre: dc.name, From: dc.members[0].Name, Incarnation: 1}
	for _, mem := range dc.members {
		s.Members = append(s.Members, Member{mem.Name, 1, Live})
	}
	for b.Loop() {
		s.Seq++
		m.ReceiveSummary(s, now)
	}
	b.ReportMetric(float64(encodedSize(b, s)), "B/summary")
}
