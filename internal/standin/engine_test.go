package standin

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/standin/oracle"
	"tamarackchute/router"
	"tamarackchute/upstream"
)

// startLoop runs an engine's step loop without its HTTP server.
func startLoop(t *testing.T, c EngineConfig) *Engine {
	c.Addr, c.Models = "127.0.0.1:0", []string{"m"}
	e, err := NewEngine(c)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		e.run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		e.closeListener()
		close(e.ended)
		e.tasks.Wait()
	})
	return e
}

func words(n int) string { return strings.TrimSpace(strings.Repeat("word ", n)) }

func message(id, prompt string, tokens int) engineclient.GenerateMessage {
	return engineclient.GenerateMessage{AttemptID: id, Model: "m", Prompt: prompt, MaxTokens: tokens}
}

func submit(t *testing.T, e *Engine, m engineclient.GenerateMessage) *tokenReader {
	t.Helper()
	s, err := e.submit(m, false)
	require.NoError(t, err)
	return s.open()
}

// TestSpeed checks the duration of a decode step to the microsecond and that of a prefill
// to the millisecond, on a fake clock. The evaluation of role policies depends on them.
func TestSpeed(t *testing.T) {
	cases := []struct {
		role    upstream.Role
		batch   int
		scale   float64
		words   int
		prefill time.Duration
		step    time.Duration
	}{
		{upstream.RolePrefill, 1, 1, 800, 100 * time.Millisecond, 60 * time.Millisecond},
		{upstream.RoleDecode, 1, 1, 800, 400 * time.Millisecond, 15 * time.Millisecond},
		{upstream.RoleMixed, 1, 1, 800, 166667 * time.Microsecond, 25 * time.Millisecond},
		{upstream.RoleDecode, 1, 10, 800, 40 * time.Millisecond, 1500 * time.Microsecond},
		{upstream.RoleDecode, 32, 1, 1, 0, 30 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%s/%d/%v", tc.role, tc.batch, tc.scale), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				speed := DefaultSpeed()
				speed.Scale = tc.scale
				e := startLoop(t, EngineConfig{Name: "e", Role: tc.role, Speed: speed})
				started := time.Now()
				var readers []*tokenReader
				for i := range tc.batch {
					readers = append(readers, submit(t, e, message(fmt.Sprint(i), words(tc.words), 50)))
				}
				var buf [maxTokenLine]byte
				for range 20 {
					for _, r := range readers {
						_, err := r.Read(buf[:])
						require.NoError(t, err)
					}
				}
				at20 := time.Now()
				_, err := readers[tc.batch-1].Read(buf[:])
				require.NoError(t, err)
				if tc.batch == 1 {
					assert.InDelta(t, tc.prefill+19*tc.step, at20.Sub(started), float64(time.Millisecond))
				}
				assert.InDelta(t, tc.step, time.Since(at20), float64(time.Microsecond))
			})
		})
	}
}

// A role change without a preceding drain interrupts responses. The stand-in must count
// exactly those that a caller waits for; otherwise a count of 0 would prove nothing about
// planned stops.
func TestRoleChangeInterruptsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startLoop(t, EngineConfig{Name: "e", Role: upstream.RoleMixed, Speed: DefaultSpeed()})
		readers := []*tokenReader{
			submit(t, e, message("a", words(10), 500)),
			submit(t, e, message("b", words(10), 500)),
		}
		done := submit(t, e, message("done", words(10), 2))
		_, err := io.ReadAll(done)
		require.NoError(t, err)
		abandoned := submit(t, e, message("gone", words(10), 500))
		require.NoError(t, abandoned.Close())

		order := upstream.Order{ID: "1", Kind: upstream.OrderRole, Role: upstream.RoleDecode, FencingToken: 1}
		require.NoError(t, e.order(order))
		for _, r := range readers {
			_, err := io.ReadAll(r)
			require.ErrorIs(t, err, errInterrupted)
		}
		_, err = e.submit(message("c", words(10), 5), false)
		require.ErrorIs(t, err, errOutOfService)
		time.Sleep(5*time.Second - time.Millisecond)
		assert.True(t, e.State().Busy)
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		st, c := e.State(), e.Counters()
		assert.Equal(t, upstream.RoleDecode, st.Role)
		assert.False(t, st.Busy)
		assert.EqualValues(t, 2, c.InterruptedByOrder)
		assert.EqualValues(t, 1, c.RoleChanges)
		_, err = io.ReadAll(submit(t, e, message("d", words(10), 5)))
		require.NoError(t, err)
	})
}

// A controller reads an engine's state after the engine crashed in the middle of a role
// change. The order must not appear to have been executed.
func TestCrashDuringChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startLoop(t, EngineConfig{Name: "e", Role: upstream.RoleMixed, ChecksFencing: true, Speed: DefaultSpeed()})
		require.NoError(t, e.SetFaults([]byte(`{"crash_in_change":{"next":1}}`)))
		before := e.State()
		order := upstream.Order{ID: "1", Kind: upstream.OrderRole, Role: upstream.RoleDecode, FencingToken: 7}
		require.NoError(t, e.order(order))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		after := e.State()
		assert.Equal(t, upstream.RoleMixed, after.Role)
		assert.False(t, after.Busy)
		assert.Empty(t, after.LastOrder)
		assert.EqualValues(t, 7, after.FencingToken)
		assert.NotEqual(t, before.Incarnation, after.Incarnation)
		require.NoError(t, e.order(order), "the same order sent again is executed")
		time.Sleep(6 * time.Second)
		synctest.Wait()
		assert.Equal(t, upstream.RoleDecode, e.State().Role)
	})
}

func TestUnreadStreamIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startLoop(t, EngineConfig{Name: "e", Speed: DefaultSpeed()})
		r := submit(t, e, message("a", words(10), 5000))
		r.onUnread = e.readerClosed
		require.NoError(t, r.Close())
		time.Sleep(abandonTimeout - time.Millisecond)
		assert.Equal(t, 1, e.State().Running)
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		assert.Zero(t, e.State().Running)
		assert.EqualValues(t, 1, e.Counters().Abandoned)
	})
}

// TestBatchAccounting drives the batch at random and checks its accounting: the queued
// prompt tokens, the allocated memory, and that the cache events match the cached blocks.
func TestBatchAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		speed := DefaultSpeed()
		speed.KVTokens, speed.MaxBatch, speed.ChunkTokens, speed.PrefillOnlyTokens = 400, 3, 16, 40
		stored := map[uint64]bool{}
		kv := newKVCache(speed.KVTokens, func(b uint64, s bool) {
			if stored[b] == s {
				t.Fatalf("event for block %x says stored=%v twice", b, s)
			}
			stored[b] = s
		})
		b := batch{speed: speed, kv: kv}
		var live []*sequence
		zeroStepTime := func(int, int) (time.Duration, time.Duration) { return 0, 0 }
		for i := range rapid.IntRange(5, 60).Draw(t, "operations") {
			switch rapid.SampledFrom([]string{"arrive", "step", "drop"}).Draw(t, "operation") {
			case "arrive":
				prompt := words(rapid.IntRange(1, 120).Draw(t, "prompt"))
				if rapid.Bool().Draw(t, "other beginning") {
					prompt = "other " + prompt
				}
				s := newSequence(message(fmt.Sprint(i), prompt, 20), "")
				s.priority = rapid.IntRange(0, 2).Draw(t, "priority")
				b.enqueue(s)
				live = append(live, s)
			case "step":
				done, _ := b.complete(b.plan(zeroStepTime))
				for _, s := range done {
					live = without(live, s)
				}
			case "drop":
				if len(live) > 0 {
					s := rapid.SampledFrom(live).Draw(t, "dropped")
					b.drop(s)
					live = without(live, s)
				}
			}
			checkAccounting(t, &b, live, stored)
		}
		for len(live) > 0 {
			done, _ := b.complete(b.plan(zeroStepTime))
			for _, s := range done {
				live = without(live, s)
			}
		}
		checkAccounting(t, &b, nil, stored)
	})
}

func without(live []*sequence, s *sequence) []*sequence {
	var out []*sequence
	for _, l := range live {
		if l != s {
			out = append(out, l)
		}
	}
	return out
}

func checkAccounting(t *rapid.T, b *batch, live []*sequence, stored map[uint64]bool) {
	remaining, privateTokens := 0, 0
	pins := map[uint64]bool{}
	for _, s := range live {
		remaining += s.remaining
		if !s.admitted {
			continue
		}
		privateTokens += s.privateTokens
		for _, h := range s.blocks {
			pins[h] = true
		}
	}
	cached := 0
	for _, s := range stored {
		if s {
			cached++
		}
	}
	require.Equal(t, remaining, b.queuedPrompt)
	require.Equal(t, privateTokens, b.kv.privateTokens)
	require.Len(t, b.kv.pinned, len(pins))
	require.Equal(t, cached, len(b.kv.pinned)+b.kv.idle.Len())
	require.LessOrEqual(t, privateTokens+cached*blockTokens, b.kv.total)
}

func TestQueueOrderIsPriorityThenArrival(t *testing.T) {
	b := batch{speed: DefaultSpeed(), kv: newKVCache(1000, func(uint64, bool) {})}
	for i, priority := range []int{0, 5, 0, 9, 5} {
		s := newSequence(message(fmt.Sprint(i), "x", 5), "")
		s.priority = priority
		b.enqueue(s)
	}
	b.admit()
	var order []string
	for _, s := range b.running {
		order = append(order, s.id)
	}
	assert.Equal(t, []string{"3", "1", "4", "0", "2"}, order)
}

func TestLoadReportLags(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	h := newLoadHistory(time.Second)
	for i := range 100 {
		h.add(upstream.LoadReport{At: start.Add(time.Duration(i) * 100 * time.Millisecond), Running: i})
	}
	last := start.Add(9900 * time.Millisecond)
	for name, tc := range map[string]struct {
		now     time.Time
		running int
		age     int64
	}{
		"while busy":      {last, 89, 1000},
		"just after":      {last.Add(250 * time.Millisecond), 91, 1000},
		"long after that": {last.Add(time.Hour), 99, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			r := h.at(tc.now)
			assert.Equal(t, tc.running, r.Running)
			assert.Equal(t, tc.age, r.AgeMillis)
		})
	}
	assert.LessOrEqual(t, len(h.reports), 2*lagBuckets)
}

// TestStreamMatchesOracle checks that a stream, started at any token, is the completion
// that the oracle computes.
func TestStreamMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.StringMatching(`[a-z]{1,8}( [a-z]{1,8}){0,30}`).Draw(t, "prompt")
		limit := rapid.IntRange(1, 60).Draw(t, "max tokens")
		a := oracle.Expected("m", prompt, limit)
		require.LessOrEqual(t, a.Tokens, limit)
		require.Equal(t, a.Finish == oracle.FinishLength, a.Tokens == limit)
		from := rapid.IntRange(0, a.Tokens-1).Draw(t, "from")
		s := newSequence(message("a", prompt, limit), "")
		for s.nextToken < a.Tokens {
			s.produce()
		}
		s.finish(statusFinished)
		out, err := io.ReadAll(s.resume(from))
		require.NoError(t, err)
		var want strings.Builder
		for i := from; i < a.Tokens; i++ {
			want.WriteString(oracle.Token("m", prompt, i))
		}
		require.Equal(t, want.String(), lineTexts(t, string(out)))
		require.Len(t, router.PrefixBlocks(prompt), oracle.PromptTokens(prompt)/blockTokens)
	})
}

func lineTexts(t *rapid.T, lines string) string {
	var b strings.Builder
	for line := range strings.Lines(lines) {
		_, rest, ok := strings.Cut(line, `"t":"`)
		require.True(t, ok)
		text, _, _ := strings.Cut(rest, `"`)
		b.WriteString(text)
	}
	return b.String()
}
