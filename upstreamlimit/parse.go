package upstreamlimit

import (
	"math"
	"strconv"
)

// Parse parses the limits that one response names, in requests a second, and returns the lowest. ok
// is false if none of them is a number that isn't negative.
func Parse(values []string) (perSecond float64, ok bool) {
	perSecond = math.Inf(1)
	for _, value := range values {
		limit, err := strconv.ParseFloat(value, 64)
		if err == nil && limit >= 0 && !math.IsInf(limit, 0) {
			perSecond = min(perSecond, limit)
		}
	}
	return perSecond, !math.IsInf(perSecond, 0)
}
