package exchange

import (
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is how long before the upstream's idle timeout a connection is no
// longer reused: a request takes some milliseconds to arrive, and the timeout is stated
// in whole seconds.
const keepAliveMargin = 300 * time.Millisecond

// parseKeepAlive returns the longest idle time that a Keep-Alive header allows, less
// keepAliveMargin.
func parseKeepAlive(header string) (time.Duration, bool) {
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
