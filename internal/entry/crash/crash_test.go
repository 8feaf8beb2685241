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
type ownLog struct {
	mu    sync.Mutex
	guard *quarantine.Guard
	next  infra.Offset
}

func (l *ownLog) Append(_ context.Context, e journal.Entry) (journal.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	p := journal.LogEntry{Position: journal.Position{Offset: l.next}, At: time.Now(), ReadAt: time.Now(), Entry: e}
	l.guard.Apply(p)
	return p.Position, nil
}

func digest(name string) quarantine.Digest { return quarantine.DigestOf("m", "/p", []byte(name)) }

// One request in a batch crashes its engine and takes four others with it. All
// five are suspects, wait until that is known, and then run apart; the innocent
// ones get through and are free again, the guilty one crashes a second engine
// and is quarantined. A connection that breaks while the engine lives makes
// nobody a suspect.
func TestCrashTellsGuiltyFromInnocent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := map[string]bool{"e1": true, "e2": true}
		log := &ownLog{}
		guard := quarantine.NewGuard(quarantine.DefaultConfig(), log, "w", nil)
		log.guard = guard
		w := New(guard, func(_ context.Context, engine string) error {
			if dead[engine] {
				return upstream.ErrNotSent
			}
			return nil
		})
		begin := func(engine, name string, suspected bool) *Run {
			r, err := w.Begin(t.Context(), engine, digest(name), suspected)
			require.NoError(t, err)
			return r
		}
		standing := func(name string) quarantine.Status {
			v, _ := guard.Check(digest(name))
			return v.Status
		}

		begin("e3", "unlucky", false).End(Broken)
		require.Equal(t, quarantine.Clean, standing("unlucky"), "the engine lives")

		names := []string{"guilty", "a", "b", "c", "d"}
		var wg sync.WaitGroup
		for _, name := range names {
			run := begin("e1", name, false)
			wg.Go(func() {
				run.End(Broken)
				require.Equal(t, quarantine.Suspected, standing(name), name)
			})
		}
		wg.Wait()

		run := begin("e3", "a", true)
		_, err := w.Begin(t.Context(), "e3", digest("b"), true)
		require.ErrorIs(t, err, quarantine.ErrReserved, "suspects run apart")
		run.Acquit()
		w.Wait()
		require.Equal(t, quarantine.Clean, standing("a"))
		run.End(Ended)

		begin("e2", "guilty", true).End(Broken)
		w.Wait()
		require.Equal(t, quarantine.Quarantined, standing("guilty"))
		require.Equal(t, quarantine.Suspected, standing("c"))
	})
}
