package crash

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/journal"
	"tamarackchute/quarantine"
	"tamarackchute/upstream"
)

// applyingLog is a log that applies each entry to the quarantine at once.
type applyingLog struct {
	mu    sync.Mutex
	guard *quarantine.Guard
	next  infra.Offset
}

func (l *applyingLog) Append(_ context.Context, e journal.Entry) (journal.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	p := journal.LogEntry{Position: journal.Position{Offset: l.next}, At: time.Now(), ReadAt: time.Now(), Entry: e}
	l.guard.Apply(p)
	return p.Position, nil
}

func digest(name string) quarantine.Digest { return quarantine.DigestOf("m", "/p", []byte(name)) }

// One request crashes its engine, on which four others were in flight. All five
// become suspects and then run in isolation: those that complete are cleared, and the
// one that crashes a second engine is quarantined. A connection that breaks while the
// engine still responds creates no suspects.
func TestOnlyTheCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := map[string]bool{"e1": true, "e2": true}
		log := &applyingLog{}
		guard := quarantine.NewGuard(quarantine.DefaultConfig(), log, "w", nil)
		log.guard = guard
		det := New(guard, func(_ context.Context, engine Engine) error {
			if down[engine.ID] {
				return upstream.ErrNotSent
			}
			return nil
		})
		begin := func(engine, name string, suspected bool) *Run {
			r, err := det.Begin(t.Context(), engine, digest(name), suspected)
			require.NoError(t, err)
			return r
		}
		statusOf := func(name string) quarantine.Status {
			v, _ := guard.Check(digest(name))
			return v.Status
		}

		begin("e3", "cut off", false).End(Broken)
		require.Equal(t, quarantine.Clean, statusOf("cut off"), "the engine still responds")

		names := []string{"crashing", "a", "b", "c", "d"}
		var wg sync.WaitGroup
		for _, name := range names {
			run := begin("e1", name, false)
			wg.Go(func() {
				run.End(Broken)
				require.Equal(t, quarantine.Suspected, statusOf(name), name)
			})
		}
		wg.Wait()

		run := begin("e3", "a", true)
		_, err := det.Begin(t.Context(), "e3", digest("b"), true)
		require.ErrorIs(t, err, quarantine.ErrReserved, "suspects are isolated from each other")
		run.Clear()
		det.Wait()
		require.Equal(t, quarantine.Clean, statusOf("a"))
		run.End(Inconclusive)

		begin("e2", "crashing", true).End(Broken)
		det.Wait()
		require.Equal(t, quarantine.Quarantined, statusOf("crashing"))
		require.Equal(t, quarantine.Suspected, statusOf("c"))
	})
}
