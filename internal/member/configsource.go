package member

import (
	"time"

	"tamarackchute/internal/transfer"
)

// largeConfigBytes is the size above which a configuration is read from the store rather than from a peer:
// the store's link carries a copy for each daemon, that of the first daemon that has a version doesn't.
const largeConfigBytes = 64 << 10

// readsFromStore reports whether a peer's newer configuration is to be read from the store.
func readsFromStore(peer Summary, storeDown bool) bool {
	return peer.ConfigBytes > largeConfigBytes && !storeDown
}

// awaitedConfig is what a daemon knows of a newer configuration that it doesn't have yet.
type awaitedConfig struct {
	// known is the time since it has heard of it.
	known time.Duration
	// received is how far its transfer has come; size is that of the document, 0 if it isn't known.
	received transfer.Progress
	size     int
	// bound is the time within which it is to be in force; 0 means that there is none.
	bound time.Duration
}

// needsPeer reports whether a further peer is to be asked: nothing is on its way after hedgeDelay, or what
// is won't have arrived within the bound. Otherwise, another copy would only delay the first.
func (a awaitedConfig) needsPeer() bool {
	switch {
	case a.known < hedgeDelay:
		return false
	case a.received.Bytes == 0:
		return true
	case a.size == 0 || a.bound == 0:
		return false
	}
	receiving := a.received.Lasted - a.received.First // the read may have waited for the change
	whole := time.Duration(float64(receiving) * float64(a.size) / float64(a.received.Bytes))
	return a.known+whole-receiving > a.bound
}
