package rules

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/infra"
	"tamarackchute/journal"
	"tamarackchute/journal/journaltest"
)

const testRetention = time.Minute

// instance is a process with its journal, replica and publisher over a log.
type instance struct {
	journal   *journal.Journal
	replica   *Replica
	publisher *Publisher
	stop      func()
}

// disconnectableLog is a log whose connection can be cut for one process.
type disconnectableLog struct {
	infra.Log
	mu  sync.Mutex
	off bool
}

func (c *disconnectableLog) set(off bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off = off
}

func (c *disconnectableLog) isOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.off
}

func (c *disconnectableLog) Append(ctx context.Context, data []byte) (infra.Offset, error) {
	if c.isOff() {
		return 0, infra.ErrUnavailable
	}
	return c.Log.Append(ctx, data)
}

func (c *disconnectableLog) Read(ctx context.Context, from infra.Offset, limit int, wait time.Duration) (infra.ReadResult, error) {
	result, err := c.Log.Read(ctx, from, limit, wait)
	if c.isOff() {
		return infra.ReadResult{}, infra.ErrUnavailable
	}
	return result, err
}

// startInstance starts the components that an entry runs for the rules.
func startInstance(log infra.Log, slot int) *instance {
	quiet := slog.New(slog.DiscardHandler)
	j := journal.New(log, journal.Config{Writer: fmt.Sprint("instance", slot), Retention: testRetention, Logger: quiet})
	b := NewReplica(ReplicaOptions{Logger: quiet})
	j.Register(journal.KindRules, b)
	c := NewCheckpointer(j, b, CheckpointerOptions{Retention: testRetention, Slot: slot, Slots: 7, Logger: quiet})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = j.Serve(ctx) })
	wg.Go(func() { _ = c.Serve(ctx) })
	stop := sync.OnceFunc(func() { cancel(); wg.Wait() })
	return &instance{journal: j, replica: b, publisher: NewPublisher(j, b, testKnown), stop: stop}
}

func (i *instance) publish(t require.TestingT, base Version, when string) Result {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := i.publisher.Publish(ctx, Publication{Base: base, Document: document(rule("r", when, toAgronomy)), Author: "anna"})
	require.NoError(t, err)
	return r
}

// expire trims records that are older than the log's retention.
func expire(log *journaltest.Log) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for off := infra.Offset(1); off < log.Next(); off++ {
		result, err := log.Read(ctx, off, 1, 0)
		if err != nil {
			continue // trimmed already
		}
		if time.Since(result.Records[0].At) <= testRetention {
			return
		}
		log.Trim(off + 1)
	}
}

// Guards against deciding publications by their time of arrival at an instance
// instead of their position in the log. Two operators repeatedly publish at the same
// time through different instances: one must win, the other must get a conflict, and
// no instance may show the loser's rules or go back.
func TestRacingPublishers(t *testing.T) {
	const rounds = 1000
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		log.SetLatency(2 * time.Millisecond)
		instances := []*instance{startInstance(log, 0), startInstance(log, 1), startInstance(log, 2)}
		defer func() {
			for _, i := range instances {
				i.stop()
			}
		}()
		version := Version{}
		for round := range rounds {
			results := make([]Result, 2)
			var wg sync.WaitGroup
			for side := range results {
				wg.Go(func() {
					results[side] = instances[side].publish(t, version, fmt.Sprintf("load > %d.%d", round, side))
				})
			}
			wg.Wait()
			if results[0].Outcome != OutcomeAccepted {
				results[0], results[1] = results[1], results[0]
			}
			require.Equal(t, OutcomeAccepted, results[0].Outcome, "round %d", round)
			require.Equal(t, OutcomeConflict, results[1].Outcome, "round %d", round)
			require.Equal(t, results[0].Version, results[1].Current)
			require.Len(t, results[1].Diff, 1)
			require.True(t, version.Less(results[0].Version))
			version = results[0].Version
			time.Sleep(10 * time.Millisecond)
			for _, i := range instances {
				require.Equal(t, version, i.replica.Current().Version, "round %d", round)
			}
		}
	})
}

// Guards against a retried append that counts as a second publication: its operator
// would get "unknown", or undo later changes by retrying. The append's reply is lost,
// nothing is written, or the record arrives after the retry.
func TestLostAppendReply(t *testing.T) {
	faults := []journaltest.Fault{journaltest.FaultReplyLost, journaltest.FaultLost, journaltest.FaultLate, journaltest.FaultHang}
	for _, fault := range faults {
		synctest.Test(t, func(t *testing.T) {
			log := journaltest.NewLog()
			a, b := startInstance(log, 0), startInstance(log, 1)
			defer a.stop()
			defer b.stop()
			synctest.Wait()
			log.Fail(fault)
			result := a.publish(t, Version{}, "stream")
			require.Equal(t, OutcomeAccepted, result.Outcome)
			next := b.publish(t, result.Version, "!stream")
			require.Equal(t, OutcomeAccepted, next.Outcome)
			// Published again at another instance, it must get its first verdict.
			again := Publication{ID: result.ID, Document: document(rule("r", "stream", toAgronomy))}
			settled, err := b.publisher.Publish(t.Context(), again)
			require.NoError(t, err)
			require.Equal(t, OutcomeAccepted, settled.Outcome)
			time.Sleep(3 * time.Second)
			require.Equal(t, next.Version, a.replica.Current().Version)
			require.Equal(t, next.Version, b.replica.Current().Version)
		})
	}
}

// Guards against rules that vanish when their log record expires: rules are
// published, then nothing is for many retentions, and a new instance starts. Then the
// same with no instance running to write checkpoints.
func TestRulesOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		a, b := startInstance(log, 0), startInstance(log, 3)
		version := a.publish(t, Version{}, "stream").Version
		before := log.Appends()
		for range 100 {
			time.Sleep(testRetention / 10)
			expire(log)
		}
		require.InDelta(t, 30, log.Appends()-before, 6, "one checkpoint in a third of the retention")
		late := startInstance(log, 5)
		defer late.stop()
		time.Sleep(3 * time.Second)
		require.Equal(t, version, late.replica.Current().Version)
		require.Equal(t, OutcomeAccepted, late.publish(t, version, "!stream").Outcome)

		a.stop()
		b.stop()
		late.stop()
		time.Sleep(2 * testRetention)
		expire(log)
		lost := startInstance(log, 0)
		defer lost.stop()
		time.Sleep(20 * time.Second)
		require.Nil(t, lost.replica.Current(), "the rules are unknown, which isn't the same as no rules")
		require.Equal(t, OutcomeUnknown, lost.publish(t, Version{}, "stream").Outcome)
		forced, err := lost.publisher.Publish(t.Context(), Publication{Document: document(rule("r", "load > 1", toAgronomy)), Force: true})
		require.NoError(t, err)
		require.Equal(t, OutcomeAccepted, forced.Outcome)
		require.Equal(t, forced.Version, lost.replica.Current().Version)
	})
}

// An instance reconnects after its connection to the log was cut for longer than
// the retention. It must neither go back to old rules nor decide a race of which it
// missed records: it requests a checkpoint and has the rules within seconds.
func TestPartitionedInstanceCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		link := &disconnectableLog{Log: log}
		a, b := startInstance(log, 0), startInstance(link, 1)
		defer a.stop()
		defer b.stop()
		first := a.publish(t, Version{}, "stream").Version
		time.Sleep(time.Second)
		link.set(true)
		second := a.publish(t, first, "!stream").Version
		for range 30 {
			time.Sleep(testRetention / 10)
			expire(log)
		}
		require.Equal(t, first, b.replica.Current().Version, "disconnected, it keeps its rules")
		link.set(false)
		third := a.publish(t, second, "load > 1").Version
		time.Sleep(3 * time.Second)
		require.Equal(t, third, b.replica.Current().Version)
		require.True(t, b.replica.Status().Settled)
	})
}

// Guards against a rule set that barely fits into a record: its checkpoint, which is
// larger, would fail, and the rules would vanish with their record.
func TestTooLargeForARecord(t *testing.T) {
	noise := make([]byte, maxCompressedBytes)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(noise)
	large := fmt.Appendf(nil, "/* %x */ {\"rules\": []}", noise)
	_, err := NewPublisher(nil, nil, testKnown).Publish(t.Context(), Publication{Document: large})
	require.ErrorContains(t, err, "after compression")
	fits := Checkpoint{State: State{Document: large[:maxCompressedBytes]}}
	record, err := journal.EncodeRecord("w", []journal.Entry{{Body: encodeCheckpoint(fits)}})
	require.NoError(t, err)
	require.Less(t, len(record), 64<<10-2*maxNameBytes-1000)
}

// Guards against an instance that starts while the log is down and refuses all
// requests although its peers have the rules. It gets a peer's state, then the log
// recovers with a newer publication.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := journaltest.NewLog()
		a := startInstance(log, 0)
		defer a.stop()
		first := a.publish(t, Version{}, "stream").Version
		log.Outage(true)
		b := startInstance(log, 1)
		defer b.stop()
		time.Sleep(time.Second)
		require.True(t, b.replica.Current().Version.IsZero())
		require.True(t, b.replica.ApplyPeerState(a.replica.PeerState(a.journal.Applied())))
		require.Equal(t, first, b.replica.Current().Version)
		// The deadline lies between two attempts of the journal's writer, which
		// happen at multiples of 50 ms: at the instant of an attempt its outcome
		// would be unknown.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second+25*time.Millisecond)
		defer cancel()
		_, err := a.publisher.Publish(ctx, Publication{Base: first, Document: document(rule("r", "!stream", toAgronomy))})
		require.True(t, errors.Is(err, infra.ErrNotWritten), "refused while the log is down: %v", err)
		log.Outage(false)
		second := a.publish(t, first, "!stream").Version
		time.Sleep(3 * time.Second)
		require.Equal(t, second, b.replica.Current().Version)
		require.Zero(t, b.replica.Status().Faults)
		require.False(t, b.replica.ApplyPeerState(PeerState{State: State{Version: first}, Through: journal.Position(first)}))
	})
}
