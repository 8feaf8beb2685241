package standin

import (
	"time"

	"tamarackchute/upstream"
)

// Speed sets how fast an engine works. Scale multiplies every speed: with a scale of 10, a
// mix of 20 minutes runs in 2.
type Speed struct {
	Scale float64
	// PrefillPerSecond is the number of prompt tokens per second at full efficiency.
	PrefillPerSecond float64
	// MinStepTime and MaxStepTime are the durations of a decode step at batch size 1 and at
	// MaxBatch; between them the duration grows linearly.
	MinStepTime, MaxStepTime time.Duration
	MaxBatch                 int
	// ChunkTokens bounds the prompt tokens of a step that also decodes, PrefillOnlyTokens
	// those of a step that doesn't.
	ChunkTokens, PrefillOnlyTokens int
	// KVTokens is the size of the KV memory in tokens.
	KVTokens int
	// KVBytesPerToken and KVBytesPerSecond determine the duration of a KV transfer.
	KVBytesPerToken  int64
	KVBytesPerSecond float64
	// ChangeDuration is how long the engine is out of service during a role change.
	ChangeDuration time.Duration
	// LoadLag is the age of a load report, EventLag the delay of a cache event.
	LoadLag, EventLag time.Duration
	// EventLoss is the fraction of cache events that are lost.
	EventLoss float64
}

// DefaultSpeed returns the speed of a medium-sized engine.
func DefaultSpeed() Speed {
	return Speed{
		Scale:             1,
		PrefillPerSecond:  8000,
		MinStepTime:       15 * time.Millisecond,
		MaxStepTime:       30 * time.Millisecond,
		MaxBatch:          32,
		ChunkTokens:       256,
		PrefillOnlyTokens: 1024,
		KVTokens:          60_000,
		KVBytesPerToken:   128 << 10,
		KVBytesPerSecond:  10e9,
		ChangeDuration:    5 * time.Second,
		LoadLag:           time.Second,
		EventLag:          500 * time.Millisecond,
		EventLoss:         0.05,
	}
}

// efficiency is the fraction of its full speed that an engine reaches in a role.
type efficiency struct{ prefill, decode float64 }

var efficiencies = map[upstream.Role]efficiency{
	upstream.RolePrefill: {prefill: 1, decode: 0.25},
	upstream.RoleDecode:  {prefill: 0.25, decode: 1},
	upstream.RoleMixed:   {prefill: 0.6, decode: 0.6},
}

// prefillTime returns how long prefilling takes, before scaling.
func (s Speed) prefillTime(role upstream.Role, tokens int) time.Duration {
	rate := s.PrefillPerSecond * efficiencies[role].prefill
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// decodeTime returns how long a decode step takes, before scaling.
func (s Speed) decodeTime(role upstream.Role, batch int) time.Duration {
	if batch == 0 {
		return 0
	}
	t := float64(s.MinStepTime)
	if s.MaxBatch > 1 {
		t += float64(s.MaxStepTime-s.MinStepTime) * float64(batch-1) / float64(s.MaxBatch-1)
	}
	return time.Duration(t / efficiencies[role].decode)
}

// scaled converts a duration of the simulated engine to a duration on the clock.
func (s Speed) scaled(d time.Duration) time.Duration {
	if s.Scale <= 0 {
		return d
	}
	return time.Duration(float64(d) / s.Scale)
}

// rates returns the engine's capacity in a role, in tokens per second on the clock:
// prefilled tokens, and decoded tokens with a full batch.
func (s Speed) rates(role upstream.Role) (prefill, decode float64) {
	prefill = float64(time.Second) / float64(s.scaled(s.prefillTime(role, 1)))
	decode = float64(s.MaxBatch) * float64(time.Second) / float64(s.scaled(s.decodeTime(role, s.MaxBatch)))
	return prefill, decode
}

// transferTime returns the duration of a KV transfer on the clock.
func (s Speed) transferTime(bytes int64) time.Duration {
	return s.scaled(time.Duration(float64(bytes) / s.KVBytesPerSecond * float64(time.Second)))
}
