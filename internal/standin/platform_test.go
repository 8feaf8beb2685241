package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
)

var noon = time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)

func TestLogRetention(t *testing.T) {
	s := logStore{next: 1, oldest: 1, retention: time.Minute}
	for i := range 10 {
		s.append(noon.Add(time.Duration(i)*10*time.Second), []byte{byte(i)})
	}
	cases := []struct {
		name    string
		at      time.Duration
		from    uint64
		oldest  uint64
		first   uint64 // 0 if none
		trimmed bool
	}{
		{"none expired", 90 * time.Second, 4, 4, 4, false},
		{"oldest expired", 91 * time.Second, 4, 5, 0, true},
		{"read at the end", 91 * time.Second, 11, 5, 0, false},
		{"all expired", time.Hour, 11, 11, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r, trimmed := s.read(noon.Add(tc.at), tc.from, 3)
			assert.Equal(t, tc.trimmed, trimmed)
			assert.Equal(t, tc.oldest, r.Oldest)
			assert.EqualValues(t, 11, r.Next)
			if tc.first == 0 {
				assert.Empty(t, r.Records)
				return
			}
			require.Len(t, r.Records, 3)
			assert.Equal(t, tc.first, r.Records[0].Offset)
		})
	}
}

func TestListHistory(t *testing.T) {
	instances := func(name string) []infra.Instance { return []infra.Instance{{Name: name}} }
	h := listHistory{{Instances: instances("first")}}
	h = h.add(noon, instances("second"))
	h = h.add(noon.Add(time.Second), instances("third"))
	assert.Equal(t, instances("first"), h.at(noon.Add(-time.Nanosecond)))
	assert.Equal(t, instances("second"), h.at(noon))
	assert.Equal(t, instances("third"), h.at(noon.Add(time.Hour)))
}

// Concurrent loads, such as from two data centres, share the store's bandwidth; each of
// them alone doesn't get all of it.
func TestWeightLoadsShareBandwidth(t *testing.T) {
	w := &WeightStore{config: WeightStoreConfig{BytesPerSecond: 100}, faults: newFaultState(WeightFaults{})}
	assert.Equal(t, time.Second, w.reserve(noon, 100))
	assert.Equal(t, 3*time.Second, w.reserve(noon, 200))
	assert.Equal(t, 3*time.Second, w.reserve(noon.Add(time.Second), 100))
	assert.Equal(t, time.Second, w.reserve(noon.Add(time.Hour), 100))
}

func TestFaultDocuments(t *testing.T) {
	s := newFaultState(LogFaults{SlowMillis: 5})
	require.NoError(t, s.merge([]byte(`{"outage":"hang","blocked":["a","b"]}`)))
	before := s.get()
	require.NoError(t, s.merge([]byte(`{"blocked":["c"]}`)))
	assert.Equal(t, []string{"a", "b"}, before.Blocked, "a copy returned earlier does not change")
	assert.Equal(t, OutageHang, s.get().Outage)
	assert.Equal(t, 5, s.get().SlowMillis)
	require.Error(t, s.merge([]byte(`{"outtage":"hang"}`)))
	assert.Equal(t, OutageHang, s.get().Outage)
}

func TestTrigger(t *testing.T) {
	for name, tc := range map[string]struct {
		trigger Trigger
		want    int // of 1000
	}{
		"none":     {Trigger{}, 0},
		"next 3":   {Trigger{Next: 3}, 3},
		"all":      {Trigger{Next: -1}, 1000},
		"fraction": {Trigger{Fraction: 1}, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFaultState(LogFaults{LoseReply: tc.trigger})
			fired := 0
			for range 1000 {
				if s.trigger(func(f *LogFaults) *Trigger { return &f.LoseReply }) {
					fired++
				}
			}
			assert.Equal(t, tc.want, fired)
		})
	}
}

func TestTerminationMark(t *testing.T) {
	var m terminationMark
	assert.False(t, m.graceExpired(noon))
	m.set(noon, true)
	m.set(noon.Add(time.Minute), true)
	assert.False(t, m.graceExpired(noon.Add(terminationGrace)))
	assert.True(t, m.graceExpired(noon.Add(terminationGrace+1)))
	m.set(noon, false)
	assert.False(t, m.graceExpired(noon.Add(time.Hour)))
}
