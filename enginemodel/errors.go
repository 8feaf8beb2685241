package enginemodel

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackchute/upstream"
)

const (
	// errorUnit is the resolution of a prediction error, as a share of the prediction.
	errorUnit = 0.01
	// maxError is the upper bound of recorded errors, in units.
	maxError = 10_000
	// errorDigits is the precision of the histogram in significant digits.
	errorDigits = 2
)

// errorHistogram counts prefills by their relative prediction error.
type errorHistogram struct {
	histogram *hdrhistogram.Histogram
}

func newErrorHistogram() *errorHistogram {
	return &errorHistogram{histogram: hdrhistogram.New(1, maxError, errorDigits)}
}

func (e *errorHistogram) record(took, expected float64) {
	share := int64(math.Abs(took-expected) / max(minTime, expected) / errorUnit)
	_ = e.histogram.RecordValue(min(maxError, max(1, share))) // the value is clamped, so this can't fail
}

// ErrorStats is the distribution of relative prediction errors of prefills.
type ErrorStats struct {
	Count    int64
	P50, P90 float64
}

// PredictionErrors returns the prediction errors of prefills by engines of a role.
func (m *Model) PredictionErrors(role upstream.Role) ErrorStats {
	e := m.errors[role]
	if e == nil {
		return ErrorStats{}
	}
	h := e.histogram
	return ErrorStats{
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)) * errorUnit,
		P90:   float64(h.ValueAtQuantile(90)) * errorUnit,
	}
}
