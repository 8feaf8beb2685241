package journal_test

import (
	"context"
	"fmt"

	"tamarackchute/journal"
	"tamarackchute/journal/journaltest"
)

// firstWins decides by log order: the first entry in the log wins, and every
// reader sees the same one.
type firstWins struct{ winner string }

func (f *firstWins) Apply(p journal.LogEntry) {
	if f.winner == "" {
		f.winner = string(p.Entry.Body)
	}
}

func ExampleJournal() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := journaltest.NewLog()
	var names []string
	for _, name := range []string{"cesis-1", "valmiera-1"} {
		j, f := journal.New(log, journal.Config{Writer: name}), &firstWins{}
		j.Register(journal.KindAudit, f)
		go func() { _ = j.Serve(ctx) }()
		// Append returns after the entry was applied to f, so f.winner is set.
		if _, err := j.Append(ctx, journal.Entry{Kind: journal.KindAudit, Body: []byte(name)}); err != nil {
			panic(err)
		}
		names = append(names, f.winner)
	}
	fmt.Println(names)
	// Output: [cesis-1 cesis-1]
}
