// Package outlier judges an upstream whose attempts fail. One that has stopped answering is told from
// one that fails a share of its requests by its own history: both fail several times in a row, but only
// to the latter that has happened before. An upstream that is excluded for its failures and still
// answers some requests is a last resort, for requests that no other upstream takes.
package outlier

const (
	// smoothing is the weight of one attempt in the usual share of failures.
	smoothing = 0.15
	// minLikelihood is the likelihood of a row of failures, by the usual share, below which the
	// upstream has stopped answering.
	minLikelihood = 0.01
	// maxRow bounds the failures in a row that count, and so the time until an upstream that
	// usually fails is known to have stopped answering.
	maxRow = 8
)

// History is what the attempts at one upstream say about the next one. The zero value is that of an
// upstream that hasn't failed.
type History struct {
	// usual is the smoothed share of failures before the current row, row the failures since the last
	// success.
	usual float64
	row   int
}

// Succeed records an attempt that was answered.
func (h *History) Succeed() {
	for range min(h.row, maxRow) {
		h.usual += smoothing * (1 - h.usual)
	}
	h.usual *= 1 - smoothing
	h.row = 0
}

// Fail records an attempt that failed.
func (h *History) Fail() { h.row++ }

// Row returns the number of failures since the last success.
func (h History) Row() int { return h.row }

// FailureShare returns the share of attempts that usually fail.
func (h History) FailureShare() float64 { return h.usual }

// Answers reports whether the upstream may still answer some requests: it has not failed since its last
// success, or its failures since are no more than usual.
func (h History) Answers() bool {
	if h.row >= maxRow {
		return false
	}
	likelihood := 1.0
	for range h.row {
		likelihood *= h.usual
	}
	return likelihood >= minLikelihood
}
