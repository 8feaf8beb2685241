package relay

import (
	"net/http"
	"time"

	"tamarackchute/internal/fleet"
)

// ForwardedHandler returns the handler of requests that other daemons forward, and of their probes.
// Forwarded requests are decided as callers' are, but never forwarded again. It must not be
// reachable by callers.
func (r *Relay) ForwardedHandler() http.Handler { return http.HandlerFunc(r.serveForwarded) }

func (r *Relay) serveForwarded(w http.ResponseWriter, in *http.Request) {
	if in.Header.Get(probeHeader) != "" {
		r.serveProbe(w, in)
		return
	}
	var forwarded forwardedCall
	if err := decodeHeader(in.Header, forwardHeader, &forwarded); err != nil {
		http.Error(w, "the request doesn't come from a daemon: "+err.Error(), http.StatusBadRequest)
		return
	}
	in.Header.Del(forwardHeader)
	var returnable returnableCall
	if in.Header.Get(returnableHeader) != "" && decodeHeader(in.Header, returnableHeader, &returnable) == nil {
		forwarded.returnable = &returnable
	}
	in.Header.Del(returnableHeader)
	r.serve(w, in, &forwarded)
}

// checkForwarded returns a failure if this daemon's configuration is older than that of the daemon
// which forwarded the request: it must not decide for it.
func (c *call) checkForwarded(config *fleet.Config) *failure {
	if c.forwarded == nil || config.Version >= c.forwarded.ConfigVersion {
		return nil
	}
	return newFailure(http.StatusServiceUnavailable, reasonOlderConfig, "this daemon's configuration is older")
}

// resume takes over what the forwarding daemon has decided.
func (c *call) resume(f *forwardedCall) {
	now := time.Now()
	c.arrived = now.Add(-f.Elapsed)
	c.deadline = now.Add(f.Remaining)
	c.Call.ResumeAfter, c.prefills = f.ResumeAfter, f.Prefills
	c.retried, c.demandCounted, c.begun = f.Retried, f.DemandCounted, f.Begun
	c.origin = streamOrigin{fixed: f.VersionFixed, version: f.Version}
	for range f.Attempts {
		c.attempts.RecordAttempt()
	}
	if f.MayHaveRun {
		c.attempts.RecordRun()
	}
	if r := f.returnable; r != nil {
		c.returnedFrom = r.ReturnedFrom[:min(len(r.ReturnedFrom), maxReturns)]
	}
}
