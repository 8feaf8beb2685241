package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/entry/stream"
	"tamarackchute/internal/settings"
	"tamarackchute/journal/journaltest"
)

// The stream limits and the default deadline must come from the settings, not from
// built-in values.
func TestStreamsFollowTheSettings(t *testing.T) {
	d, err := settings.Load("../../deploy/kalku-rinda/settings.json")
	require.NoError(t, err)
	d.Streams = settings.Streams{MaxBufferedBytes: 8, MaxTotalBufferedBytes: 12, DefaultDeadlineSeconds: 3}
	e := newTestEntry(t, d, journaltest.NewLog(), d.Instances[0].Name)
	require.Equal(t, 3*time.Second, e.gatewayOptions().DefaultDeadline)
	for _, c := range []struct {
		text string
		kept bool
	}{{"12345678", true}, {"12345", false}, {"1234", true}, {"123456789", false}} {
		p := stream.NewOutputBuffer(e.answers.MemoryBudget, e.answers.MaxBufferedBytes)
		p.Add(c.text)
		_, kept := p.Text()
		require.Equal(t, c.kept, kept, c.text)
	}
}
