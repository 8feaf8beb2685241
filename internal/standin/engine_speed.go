package standin

import (
	"time"

	"tamarackchute/upstream"
)

// Speed sets how fast an engine works. Scale multiplies every speed, so that a
// shift of 20 minutes runs in 2 with a scale of 10.
type Speed struct {
	Scale float64
	// PrefillPerSec is the prompt tokens a second at full efficiency.
	PrefillPerSec float64
	// StepFirst and StepFull are the times of a decode step at batch size 1
	// and at MaxBatch; between them it grows evenly.
	MinStepTime, MaxStepTime time.Duration
	MaxBatch                 int
	// ChunkTokens bounds the prompt tokens of a step that also decodes, and
	// AloneTokens those of one that doesn't.
	ChunkTokens, PrefillOnlyTokens int
	// KVTokens is the size of the KV memory.
	KVTokens int
	// KVBytesPerToken and KVBytesPerSec are the cost of moving KV cache.
	KVBytesPerToken int64
	KVBytesPerSec   float64
	// Change is how long a change of role takes the engine out of service.
	ChangeDuration time.Duration
	// LoadLag is how old a load report is, EventLag how late a cache event.
	LoadLag, EventLag time.Duration
	// EventLoss is the fraction of cache events that are never told.
	EventLoss float64
}

// DefaultSpeed is an engine of ordinary size.
func DefaultSpeed() Speed {
	return Speed{
		Scale:             1,
		PrefillPerSec:     8000,
		MinStepTime:       15 * time.Millisecond,
		MaxStepTime:       30 * time.Millisecond,
		MaxBatch:          32,
		ChunkTokens:       256,
		PrefillOnlyTokens: 1024,
		KVTokens:          60_000,
		KVBytesPerToken:   128 << 10,
		KVBytesPerSec:     10e9,
		ChangeDuration:    5 * time.Second,
		LoadLag:           time.Second,
		EventLag:          500 * time.Millisecond,
		EventLoss:         0.05,
	}
}

// efficiency is how much of its full speed an engine has in a role.
type efficiency struct{ prefill, decode float64 }

var efficiencies = map[upstream.Role]efficiency{
	upstream.RolePrefill: {prefill: 1, decode: 0.25},
	upstream.RoleDecode:  {prefill: 0.25, decode: 1},
	upstream.RoleMixed:   {prefill: 0.6, decode: 0.6},
}

// prefillTime is how long prompt tokens take, without the scale.
func (s Speed) prefillTime(role upstream.Role, tokens int) time.Duration {
	rate := s.PrefillPerSec * efficiencies[role].prefill
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// decodeTime is how long a decode step takes, without the scale.
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

// scaled turns an engine's time into time on the clock.
func (s Speed) scaled(d time.Duration) time.Duration {
	if s.Scale <= 0 {
		return d
	}
	return time.Duration(float64(d) / s.Scale)
}

// rates returns what the engine can do in a role, in tokens a second on the
// clock: prompt tokens, and decoded tokens with a full batch.
func (s Speed) rates(role upstream.Role) (prefill, decode float64) {
	prefill = float64(time.Second) / float64(s.scaled(s.prefillTime(role, 1)))
	decode = float64(s.MaxBatch) * float64(time.Second) / float64(s.scaled(s.decodeTime(role, s.MaxBatch)))
	return prefill, decode
}

// transferTime is how long KV cache takes to move, on the clock.
func (s Speed) transferTime(bytes int64) time.Duration {
	return s.scaled(time.Duration(float64(bytes) / s.KVBytesPerSec * float64(time.Second)))
}
