package capacity

import (
	"net/http"
	"runtime"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"tamarackchute/claim"
	"tamarackchute/journal"
	"tamarackchute/upstream"
)

// claimExperiments measure protected calls by their number. Each has a key of
// its own and an answer of answerBytes.
func claimExperiments() []Experiment {
	sizes := []int{5000, 20_000, 50_000}
	return []Experiment{
		{
			ID: "claim.entries", Unit: Bytes, Per: "call", Method: MethodEncoded, Sizes: []int{100, 500, 2000},
			Measure: func(n int) (float64, error) {
				entries, err := protectedCalls(n)
				if err != nil {
					return 0, err
				}
				return groupedBytes(entries)
			},
		},
		{
			ID: "claim.ledger", Unit: Bytes, Per: "key", Method: MethodHeap, Sizes: sizes,
			Measure: func(n int) (float64, error) {
				entries, err := protectedCalls(n)
				if err != nil {
					return 0, err
				}
				// The entries must outlive the measurement, or their end would count.
				defer runtime.KeepAlive(entries)
				return heapOf(func() any { return foldClaims(entries) }), nil
			},
		},
		{
			ID: "claim.fold", Unit: Nanos, Per: "call", Method: MethodCPU, Sizes: sizes,
			Measure: func(n int) (float64, error) {
				entries, err := protectedCalls(n)
				if err != nil {
					return 0, err
				}
				return cpuOnce(func() { foldClaims(entries) }), nil
			},
		},
		{
			ID: "claim.checkpoint", Unit: Bytes, Per: "key", Method: MethodEncoded, Sizes: sizes,
			Measure: measureCheckpoint,
		},
	}
}

// answerBytes is the length of a protected call's answer.
const answerBytes = 120

// claimConfig is that of the sample deployments, with no answers kept: how many
// are is bounded by MaxAnswerBytes whatever the number of keys.
func claimConfig() claim.Config {
	return claim.Config{
		Writer: writer, ClaimTimeout: 2 * time.Second, Remember: 30 * time.Minute, Retention: time.Hour,
		MaxRecordedBytes: 4096, MaxAnswerBytes: 1,
	}
}

// protectedCalls are the entries of n calls: a claim and an outcome each.
func protectedCalls(n int) ([]journal.Placed, error) {
	now := time.Now()
	core := claim.NewCore(claimConfig(), now)
	env := claim.Env{Now: now, LogUp: true}
	at := newSequence()
	var all []journal.Placed
	note := func(e journal.Entry) {
		p := at.place(e.Kind, e.ID, e.Body)
		all = append(all, p)
		core.Apply(p)
	}
	answer := claim.Recorded{
		Status:  http.StatusOK,
		Headers: []upstream.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    make([]byte, answerBytes),
	}
	for range n {
		id, step := core.Start(env, claim.ParseKey(uuid.NewString()), 1)
		asked, ok := step.(claim.ClaimStep)
		if !ok {
			return nil, eris.Errorf("call wasn't claimed: %#v", step)
		}
		note(asked.Entry)
		core.Claimed(env, id, claim.Appended)
		if refused := core.Confirm(env, id, false); refused != nil {
			return nil, eris.Errorf("call wasn't dispatched: %#v", refused)
		}
		core.Dispatched(env, id, answer, claim.DispatchAnswered)
		for _, m := range core.Outbox() {
			note(m.Entry)
			core.Sent(m)
		}
	}
	if len(all) != 2*n {
		return nil, eris.Errorf("%d entries for %d calls", len(all), n)
	}
	return all, nil
}

// groupedBytes is the size of the records that hold the entries, perRecord to
// one.
func groupedBytes(entries []journal.Placed) (float64, error) {
	total := 0
	for from := 0; from < len(entries); from += perRecord {
		var group []journal.Entry
		for _, p := range entries[from:min(len(entries), from+perRecord)] {
			group = append(group, p.Entry)
		}
		data, err := journal.EncodeRecord(writer, group)
		if err != nil {
			return 0, err
		}
		total += len(data)
	}
	return float64(total), nil
}

func foldClaims(entries []journal.Placed) *claim.Ledger {
	l := claim.NewLedger(claimConfig())
	for _, p := range entries {
		l.Apply(p)
	}
	return l
}

func measureCheckpoint(n int) (float64, error) {
	entries, err := protectedCalls(n)
	if err != nil {
		return 0, err
	}
	core := claim.NewCore(claimConfig(), time.Now())
	for _, p := range entries {
		core.Apply(p)
	}
	total := 0
	for _, e := range core.Checkpoint(entries[len(entries)-1].Position) {
		total += len(e.Body)
	}
	return float64(total), nil
}
