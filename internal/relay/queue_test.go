package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// placesByChoice are the free places of each choice.
type placesByChoice struct {
	mu    sync.Mutex
	free  map[string]int
	order []string
}

func (p *placesByChoice) take(name string, choices ...string) func() bool {
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range choices {
			if p.free[c] > 0 {
				p.free[c]--
				p.order = append(p.order, name)
				return true
			}
		}
		return false
	}
}

func (p *placesByChoice) add(choice string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free[choice] += n
}

// Guards against requests that wait behind a stream whose version has no place, though others have.
func TestWaitingStreamBlocksNoOtherChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, p := &queue{}, &placesByChoice{free: map[string]int{"v2": 1}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		until := time.Now().Add(time.Hour)
		go q.await(ctx, turn{choice: "v1"}, until, p.take("stream", "v1"))
		synctest.Wait()
		require.True(t, q.await(ctx, turn{class: onTime}, time.Now(), p.take("new", "v1", "v2")))
		require.Equal(t, 1, q.length())
	})
}

// Guards against a new request that takes the place which a taken-up stream waits for, before that one looks again.
func TestNewRequestTakesNoPlaceThatAStreamWaitsFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, p := &queue{}, &placesByChoice{free: map[string]int{}}
		until := time.Now().Add(time.Hour)
		var streams sync.WaitGroup
		for range 2 {
			streams.Go(func() {
				require.True(t, q.await(t.Context(), turn{choice: "v1"}, until, p.take("stream", "v1")))
			})
		}
		synctest.Wait()
		p.add("v1", 3)
		q.offer()
		require.True(t, p.take("new", "v1")())
		streams.Wait()
		require.Equal(t, []string{"stream", "stream", "new"}, p.order)
		require.True(t, q.empty())
	})
}

// Guards against a place that is lost because its waiter gave up while another one found it.
func TestWaiterThatIsServedDoesntLeave(t *testing.T) {
	q, p := &queue{}, &placesByChoice{free: map[string]int{"v1": 1}}
	w := &waiter{turn: turn{choice: "v1"}, try: func() bool { return false }, wake: make(chan struct{}, 1)}
	require.False(t, q.enter(w))
	w.try = p.take("stream", "v1")
	require.False(t, q.enter(&waiter{turn: turn{class: onTime}, try: func() bool { return false }, wake: make(chan struct{}, 1)}))
	require.True(t, q.leave(w))
	require.Equal(t, []string{"stream"}, p.order)
}
