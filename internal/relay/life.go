package relay

import (
	"context"
	"net/http"
	"time"

	"tamarackchute/internal/exchange"
	"tamarackchute/internal/patience"
)

const (
	// lifeCheckTimeout limits the time in which a daemon that lives answers.
	lifeCheckTimeout = 500 * time.Millisecond
	// lifeCheckAge is how long an answer counts.
	lifeCheckAge = time.Second
)

// lifeCheck is a question to another daemon whether it lives.
type lifeCheck struct {
	// answeredAt is when the last question ended, zero before that; silent says that no answer came.
	answeredAt time.Time
	silent     bool
	inProgress bool
}

// peerIsSilent reports whether a daemon to which a request was forwarded sends nothing at all. One that
// sends no states here, as most of a large site, is asked, and isn't silent until that has failed.
func (r *Relay) peerIsSilent(p ForwardPeer) bool {
	if silent := r.cfg.PeerSilent; silent != nil && !silent(p.Instance) {
		return false
	}
	f := r.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	check := f.asked[p.Address]
	if time.Since(check.answeredAt) <= lifeCheckAge {
		return check.silent
	}
	if !check.inProgress {
		f.asked[p.Address] = lifeCheck{inProgress: true}
		go r.checkLife(p)
	}
	return false
}

// checkLife asks another daemon whether it lives.
func (r *Relay) checkLife(p ForwardPeer) {
	ctx, cancel := patience.WithTimeout(context.Background(), lifeCheckTimeout)
	defer cancel()
	h := http.Header{}
	h.Set(probeHeader, encodeHeader(upstreamProbe{}))
	resp, err := r.forwarder.connsTo(p).Do(ctx, &exchange.Request{Method: http.MethodGet, Target: "/", Host: p.Address, Header: h})
	if err == nil {
		resp.Close() // whatever it says of an upstream without an ID
	}
	r.forwarder.mu.Lock()
	defer r.forwarder.mu.Unlock()
	r.forwarder.asked[p.Address] = lifeCheck{answeredAt: time.Now(), silent: err != nil}
}
