package exchange

import (
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is the time by which a kept connection is given up before the
// upstream closes it: requests cross the network for a few milliseconds, and
// the limit is stated in whole seconds.
const keepAliveMargin = 300 * time.Millisecond

// keepAlive returns the idle limit that a Keep-Alive header states.
func keepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.Trim(value, `"`))
		if err != nil || seconds < 0 {
			return 0, false
		}
		return max(0, time.Duration(seconds)*time.Second-keepAliveMargin), true
	}
	return 0, false
}
