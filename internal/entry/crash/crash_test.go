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

// ownLog is a log that folds each entry at once.
type applyingLog struct {
	mu    sync.Mutex
	guard *quarantine.Guard
	next  infra.Offset
}

func (l *applyingLog) Append(_ context.Context, e journal.Entry) (journal.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	p := journal.Placed{Position: journal.Position{Offset: l.next}, At: time.Now(), ReadAt: time.Now(), Entry: e}
	l.guard.Apply(p)
	return p.Position, nil
}

func digest(name string) quarantine.Digest { return quarantine.DigestOf("m", "/p", []byte(name)) }

// One request in a batch crashes its engine and takes four others with it. All
// five are suspects, wait until that is known, and then run apart; the innocent
// ones get through and are free again, the guilty one crashes a second engine
// and is quarantined. A connection that breaks while the engine lives makes
// nobody a suspect.
func TestOnlyTheCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := map[string]bool{"e1": true, "e2": true}
		log := &applyingLog{}
		guard := quarantine.NewGuard(quarantine.DefaultConfig(), log, "w", nil)
		log.guard = guard
		det := New(guard, func(_ context.Context, engine string) error {
			if dead[engine] {
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

		begin("e3", "unlucky", false).End(Broken)
		require.Equal(t, quarantine.Clean, statusOf("unlucky"), "the engine lives")

		names := []string{"guilty", "a", "b", "c", "d"}
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
		require.ErrorIs(t, err, quarantine.ErrReserved, "suspects run apart")
		run.Clear()
		det.Wait()
		require.Equal(t, quarantine.Clean, statusOf("a"))
		run.End(Inconclusive)

		begin("e2", "guilty", true).End(Broken)
		det.Wait()
		require.Equal(t, quarantine.Quarantined, statusOf("guilty"))
		require.Equal(t, quarantine.Suspected, statusOf("c"))
	})
}
