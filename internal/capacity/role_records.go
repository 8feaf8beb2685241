package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"tamarackchute/internal/audit"
	"tamarackchute/journal"
	"tamarackchute/quarantine"
)

// recordExperiments measure the audit trail and the quarantine.
func recordExperiments() []Experiment {
	return []Experiment{
		{
			ID: "audit.record", Unit: Bytes, Per: "record", Method: MethodEncoded, Sizes: []int{1, 2, 4},
			Measure: func(n int) (float64, error) {
				body, err := auditBody()
				if err != nil {
					return 0, err
				}
				return recordBytes(n, journal.KindAudit, body)
			},
		},
		{
			ID: "audit.trail", Unit: Bytes, Per: "record", Method: MethodHeap, Sizes: []int{100, 500, 1000},
			Measure: func(n int) (float64, error) { return auditTrail(n, heapOf) },
		},
		{
			ID: "audit.fold", Unit: Nanos, Per: "record", Method: MethodCPU, Sizes: []int{1000, 5000, 20_000},
			Measure: func(n int) (float64, error) {
				return auditTrail(n, func(fold func() any) float64 { return cpuOnce(func() { fold() }) })
			},
		},
		{
			ID: "quarantine.crash", Unit: Bytes, Per: "suspect", Method: MethodEncoded, Sizes: []int{1, 8, 32},
			Measure: func(n int) (float64, error) {
				body, err := crashBody(0, n)
				if err != nil {
					return 0, err
				}
				return recordBytes(1, journal.KindQuarantine, body)
			},
		},
		{
			ID: "quarantine.state", Unit: Bytes, Per: "suspect", Method: MethodHeap, Sizes: []int{320, 1600, 3200},
			Measure: func(n int) (float64, error) { return suspects(n, heapOf) },
		},
		{
			ID: "quarantine.fold", Unit: Nanos, Per: "suspect", Method: MethodCPU, Sizes: []int{320, 1600, 3200},
			Measure: func(n int) (float64, error) {
				return suspects(n, func(fold func() any) float64 { return cpuOnce(func() { fold() }) })
			},
		},
		{
			ID: "quarantine.check", Unit: Nanos, Per: "candidate", Method: MethodCPU, Sizes: []int{8, 100, 400, 1150},
			Measure: measureCheck,
		},
	}
}

// keepWriter keeps the body that was appended last.
type keepWriter struct{ body []byte }

// Append implements journal.Writer.
func (w *keepWriter) Append(_ context.Context, e journal.Entry) (journal.Position, error) {
	w.body = e.Body
	return journal.Position{Offset: 1}, nil
}

func auditBody() ([]byte, error) {
	w := &keepWriter{}
	err := audit.Append(context.Background(), w, audit.Record{
		Who: "entry-data-centre-0-17/controller", What: audit.RoleChanged, Target: "engine-data-centre-0-123",
		Reason: "decode lacks 1234 of 5678 tokens/s, prefill has 910 to spare; pays back in 12 s",
		From:   "role prefill, model model-0 v1", To: "role decode, model model-0 v1",
	})
	return w.body, err
}

// auditTrail folds n records and measures that.
func auditTrail(n int, measure func(func() any) float64) (float64, error) {
	body, err := auditBody()
	if err != nil {
		return 0, err
	}
	return measure(func() any {
		t, at := audit.NewTrail(0, slog.New(slog.DiscardHandler)), newSequence()
		for i := range n {
			t.Apply(at.place(journal.KindAudit, entryID(i), body))
		}
		return t
	}), nil
}

// inFlightPerEngine is how many requests are in flight on an engine that dies,
// a full batch.
const inFlightPerEngine = 32

// crashBody is the entry's body of an engine's crash with n suspects.
func crashBody(engine, n int) ([]byte, error) {
	w := &keepWriter{}
	g := quarantine.NewGuard(quarantine.DefaultConfig(), w, writer, nil)
	digests := make([]quarantine.Digest, n)
	for i := range digests {
		digests[i] = quarantine.DigestOf(model(0), "/v1/generate", fmt.Appendf(nil, "prompt %d of engine %d", i, engine))
	}
	err := g.Crashed(context.Background(), engineName(engine), starting, digests)
	return w.body, err
}

func engineName(i int) string { return fmt.Sprintf("engine-data-centre-0-%d", i) }

// suspects folds crashes with n suspects in all and measures that.
func suspects(n int, measure func(func() any) float64) (float64, error) {
	var bodies [][]byte
	for engine := range n / inFlightPerEngine {
		body, err := crashBody(engine, inFlightPerEngine)
		if err != nil {
			return 0, err
		}
		bodies = append(bodies, body)
	}
	return measure(func() any {
		s, at := quarantine.NewState(quarantine.DefaultConfig()), newSequence()
		for i, body := range bodies {
			s.Apply(at.place(journal.KindQuarantine, entryID(i), body))
		}
		return s
	}), nil
}

// measureCheck asks of a clean request whether it may run on each of n
// candidates, as the router does for one decision.
func measureCheck(n int) (float64, error) {
	g := quarantine.NewGuard(quarantine.DefaultConfig(), &keepWriter{}, writer, time.Now)
	d := quarantine.DigestOf(model(0), "/v1/generate", []byte("prompt"))
	names := make([]string, n)
	for i := range names {
		names[i] = engineName(i)
	}
	return cpuOf(func() {
		for _, name := range names {
			g.MayRunOn(name, d)
		}
	}), nil
}
