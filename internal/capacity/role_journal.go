package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"tamarackchute/infra"
	"tamarackchute/journal"
	"tamarackchute/journal/journaltest"
)

// journalExperiments measure the journal itself, whatever its entries mean. An
// entry here has a body of bodyBytes, about that of a claim.
func journalExperiments() []Experiment {
	return []Experiment{
		{
			ID: "journal.record", Unit: Bytes, Per: "entry", Method: MethodEncoded, Sizes: []int{1, 10, 100},
			Measure: func(n int) (float64, error) {
				data, err := journal.EncodeRecord(writer, plainEntries(n))
				return float64(len(data)) - float64(n*bodyBytes), err
			},
		},
		{
			ID: "journal.encode", Unit: Nanos, Per: "entry", Method: MethodCPU, Sizes: []int{1, 10, 100},
			Measure: func(n int) (float64, error) {
				entries := plainEntries(n)
				var err error
				ns := cpuOf(func() { _, err = journal.EncodeRecord(writer, entries) })
				return ns, err
			},
		},
		{
			ID: "journal.read", Unit: Nanos, Per: "entry", Method: MethodCPU, Sizes: []int{10_000, 30_000, 60_000},
			Measure: func(n int) (float64, error) {
				log, err := filledLog(n)
				if err != nil {
					return 0, err
				}
				return cpuOnce(func() { readAll(log) }), nil
			},
		},
		{
			ID: "journal.known", Unit: Bytes, Per: "entry", Method: MethodHeap, Sizes: []int{10_000, 100_000, 400_000},
			Measure: func(n int) (float64, error) {
				log, err := filledLog(n)
				if err != nil {
					return 0, err
				}
				return heapOf(func() any { return readAll(log) }), nil
			},
		},
	}
}

const (
	bodyBytes = 60
	// writer has the length of a real one: instance/program/incarnation.
	writer = "entry-data-centre-0-17/entry/7d444840-9dc0-11d1-b245-5ffdce74fad2"
	// perRecord is how many entries share a record of a filled log.
	perRecord = 20
)

func plainEntries(n int) []journal.Entry {
	entries := make([]journal.Entry, n)
	for i := range entries {
		entries[i] = journal.Entry{Kind: journal.KindClaim, ID: uuid.NewString(), Writer: writer, Body: make([]byte, bodyBytes)}
	}
	return entries
}

// filledLog holds n entries.
func filledLog(n int) (infra.Log, error) {
	log := journaltest.NewLog()
	for left := n; left > 0; left -= perRecord {
		data, err := journal.EncodeRecord(writer, plainEntries(min(left, perRecord)))
		if err != nil {
			return nil, err
		}
		if _, err := log.Append(context.Background(), data); err != nil {
			return nil, err
		}
	}
	return log, nil
}

// noFolder takes entries and keeps nothing.
type noFolder struct{}

func (noFolder) Apply(journal.Placed) {}

// readAll reads a log to its end and returns the journal that did it.
func readAll(log infra.Log) *journal.Journal {
	j := journal.New(log, journal.Config{Writer: writer, Logger: slog.New(slog.DiscardHandler)})
	j.Register(journal.KindClaim, noFolder{})
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() { _ = j.Serve(ctx) })
	<-j.CaughtUp()
	cancel()
	running.Wait()
	return j
}

// sequence places entries one after the other, each in a record of its own.
type sequence struct {
	next infra.Offset
	at   time.Time
}

func newSequence() *sequence { return &sequence{next: 1, at: time.Now()} }

// place gives an entry the next position and the same moment as all others.
func (s *sequence) place(kind journal.Kind, id string, body []byte) journal.Placed {
	p := journal.Placed{
		Position: journal.Position{Offset: s.next}, At: s.at, ReadAt: s.at,
		Entry: journal.Entry{Kind: kind, ID: id, Writer: writer, Body: body},
	}
	s.next++
	return p
}

func entryID(i int) string { return fmt.Sprintf("7d444840-9dc0-11d1-b245-%012d", i) }
