package logclient_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/logclient"
	"tamarackchute/internal/standin"
	"tamarackchute/internal/standin/standintest"
)

func config(perSecond float64) standin.LogConfig {
	return standin.LogConfig{AppendsPerSecond: perSecond, Retention: time.Hour}
}

func TestAppendAndRead(t *testing.T) {
	l := standintest.Log(t, config(1000))
	c := logclient.New(l.Addr(), httpx.Options{})
	for i := range 5 {
		offset, err := c.Append(t.Context(), fmt.Appendf(nil, "record %d", i))
		require.NoError(t, err)
		require.EqualValues(t, i+1, offset)
	}
	got, err := c.Read(t.Context(), 2, 3, 0)
	require.NoError(t, err)
	assert.EqualValues(t, 1, got.Oldest)
	assert.EqualValues(t, 6, got.Next)
	require.Len(t, got.Records, 3)
	for i, r := range got.Records {
		assert.EqualValues(t, i+2, r.Offset)
		assert.Equal(t, fmt.Sprintf("record %d", i+1), string(r.Data))
		assert.WithinDuration(t, time.Now(), r.At, time.Minute)
	}
}

func TestReadWaitsForTheNextRecord(t *testing.T) {
	l := standintest.Log(t, config(1000))
	c := logclient.New(l.Addr(), httpx.Options{})
	type read struct {
		result infra.ReadResult
		err    error
	}
	waiting := make(chan read, 1)
	go func() {
		r, err := c.Read(context.Background(), 1, 10, 30*time.Second)
		waiting <- read{r, err}
	}()
	_, err := c.Append(t.Context(), []byte("x"))
	require.NoError(t, err)
	got := <-waiting
	require.NoError(t, got.err)
	require.Len(t, got.result.Records, 1)

	empty, err := c.Read(t.Context(), 2, 10, time.Millisecond)
	require.NoError(t, err)
	assert.Empty(t, empty.Records)
}

// Guards against an uncertain outcome that is reported as certain: a rule reported as
// not written takes effect later, or a request is refused as not run though its claim is
// in the log.
func TestAppendUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults string
		// want is nil if Append succeeds.
		want error
		// written means that the record is in the log in the end.
		written bool
	}{
		{"none", `{}`, nil, true},
		{"slow", `{"slow_ms":20}`, nil, true},
		{"reply lost", `{"lose_reply":{"next":1}}`, infra.ErrUnavailable, true},
		{"written late", `{"land_late":{"next":1},"land_late_ms":30}`, infra.ErrUnavailable, true},
		{"outage with errors", `{"outage":"error"}`, infra.ErrUnavailable, false},
		{"outage with closed connections", `{"outage":"close"}`, infra.ErrUnavailable, false},
		{"outage without answers", `{"outage":"hang"}`, infra.ErrUnavailable, false},
		{"this sender is partitioned", `{"blocked":["entry-1"]}`, infra.ErrUnavailable, false},
		{"another sender is partitioned", `{"blocked":["entry-2"]}`, nil, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := standintest.Log(t, config(1000))
			standintest.SetFaults(t, l, tc.faults)
			c := logclient.New(l.Addr(), httpx.Options{Sender: "entry-1", Timeout: 200 * time.Millisecond})
			_, err := c.Append(t.Context(), []byte("x"))
			if tc.want == nil {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, tc.want)
				assert.NotErrorIs(t, err, infra.ErrNotWritten)
			}
			standintest.SetFaults(t, l, `{"outage":"","blocked":[]}`)
			wait := time.Duration(0)
			if tc.written {
				wait = 10 * time.Second
			}
			got, err := c.Read(t.Context(), 1, 10, wait)
			require.NoError(t, err)
			assert.Equal(t, tc.written, len(got.Records) == 1)
		})
	}
}

func TestAppendNotWritten(t *testing.T) {
	t.Run("rate limit", func(t *testing.T) {
		l := standintest.Log(t, config(0.001))
		c := logclient.New(l.Addr(), httpx.Options{})
		_, err := c.Append(t.Context(), []byte("x"))
		require.NoError(t, err)
		_, err = c.Append(t.Context(), []byte("y"))
		require.ErrorIs(t, err, infra.ErrRateLimited)
		require.ErrorIs(t, err, infra.ErrNotWritten)
		assert.EqualValues(t, 1, l.Counters().Appends)
	})
	t.Run("connection refused", func(t *testing.T) {
		_, err := logclient.New("127.0.0.1:1", httpx.Options{}).Append(t.Context(), []byte("x"))
		require.ErrorIs(t, err, infra.ErrNotWritten)
	})
}

func TestReadUnderFaults(t *testing.T) {
	for _, faults := range []string{
		`{"outage":"error"}`, `{"outage":"close"}`, `{"outage":"hang"}`, `{"fail_reads":{"next":1}}`,
	} {
		t.Run(faults, func(t *testing.T) {
			l := standintest.Log(t, config(1000))
			standintest.SetFaults(t, l, faults)
			c := logclient.New(l.Addr(), httpx.Options{Timeout: 100 * time.Millisecond})
			_, err := c.Read(t.Context(), 1, 10, 0)
			require.ErrorIs(t, err, infra.ErrUnavailable)
		})
	}
}

// A reader that was disconnected for longer than the log's retention must get an error
// about missed records; otherwise its state would diverge from that of others.
func TestReadOfExpiredRecords(t *testing.T) {
	l := standintest.Log(t, config(1000))
	c := logclient.New(l.Addr(), httpx.Options{})
	for range 3 {
		_, err := c.Append(t.Context(), []byte("x"))
		require.NoError(t, err)
	}
	standintest.SetFaults(t, l, `{"expire_all":true}`)
	_, err := c.Read(t.Context(), 2, 10, 0)
	var trimmed *infra.TrimmedError
	require.ErrorAs(t, err, &trimmed)
	assert.EqualValues(t, 4, trimmed.Oldest)
	offset, err := c.Append(t.Context(), []byte("x"))
	require.NoError(t, err)
	assert.EqualValues(t, 4, offset)
}
