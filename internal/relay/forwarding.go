package relay

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/freshness"
	"tamarackchute/internal/codec"
	"tamarackchute/internal/fleet"
)

// A daemon without a path to the upstreams of a pool forwards requests to another daemon, which
// treats them as if they were its own callers'. Both speak HTTP/1.1 on a listener that callers
// don't know, with one header for each direction.
const (
	// forwardHeader carries a forwardedCall in a request, outcomeHeader a forwardedOutcome in its
	// response.
	forwardHeader = "Tamarackchute-Forwarded"
	outcomeHeader = "Tamarackchute-Outcome"
)

// forwardedCall is what the daemon that took a request from its caller has decided so far.
type forwardedCall struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// From is the instance that forwards the request.
	From string
	// ConfigVersion is the version of the configuration in force there, or the newest by which one of its
	// callers' requests was decided elsewhere.
	ConfigVersion uint64
	// Elapsed is the time since the request arrived there, Remaining that until its deadline.
	Elapsed, Remaining time.Duration
	// Attempts counts the attempts that may have run, MayHaveRun says that one of them may have run the
	// request, and Begun that one has begun to.
	Attempts   int
	MayHaveRun bool
	Begun      bool
	// Prefills counts the prefills done.
	Prefills int
	// ResumeAfter is the id of the last event that the caller received.
	ResumeAfter int
	// Retried says that the caller retries after a refusal, DemandCounted that the request has been
	// added to the measured demand.
	Retried, DemandCounted bool
	// VersionFixed says that the stream may go on only at Version of the upstreams' software.
	VersionFixed bool
	Version      string

	// returnable is nil unless the daemon takes the request back from one that stops.
	returnable *returnableCall
}

// forwardedOutcome is what the daemon to which a request was forwarded says of its response.
type forwardedOutcome struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	// ConfigVersion is the version of the configuration in force at the daemon.
	ConfigVersion uint64
	// Attempts counts the attempts that may have run, those of the forwarding daemon included.
	Attempts int
	// MayHaveRun says that the request may have run.
	MayHaveRun bool
	// Reason says why the daemon failed the request; empty if the response is an upstream's.
	Reason string
	// Message is the failure's message, RetryAfter when the caller may come back.
	Message    string
	RetryAfter time.Duration
	// Upstream and Started identify the upstream whose response it is; Started is in Unix
	// milliseconds.
	Upstream string
	Started  int64
	// Version is that of the upstream's software.
	Version string
	// Incapable means that the daemon can't serve such requests now, though another one may.
	Incapable bool
}

func encodeHeader(v any) string {
	b, err := msgpack.Marshal(v)
	if err != nil { // the types passed here can always be encoded
		panic(err)
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

func decodeHeader(h http.Header, name string, v any) error {
	b, err := base64.RawStdEncoding.DecodeString(h.Get(name))
	if err != nil {
		return err
	}
	return codec.Unmarshal(b, v)
}

// failureOutcome describes a failure of a forwarded request to the daemon that forwarded it.
func (c *call) failureOutcome(f *failure) forwardedOutcome {
	return forwardedOutcome{
		ConfigVersion: c.version, Attempts: c.attempts.Attempts(), MayHaveRun: c.attempts.MayHaveRun(),
		Reason: string(f.reason), Message: f.message, RetryAfter: f.retryAfter, Incapable: !c.ranHere() && incapable(f.reason),
	}
}

// incapable reports whether a failure for this reason says nothing of what other daemons can do.
func incapable(why reason) bool {
	switch why {
	case reasonNoConfig, reasonOlderConfig, reasonShuttingDown, reasonStaleKeys, reasonUnreachable, reasonNoMemory:
		return true
	}
	return false
}

// addOutcome adds the outcome to the headers of a response, if the request was forwarded to this
// daemon. It replaces any header of that name that an upstream has sent.
func (c *call) addOutcome(h http.Header, o forwardedOutcome) {
	h.Del(outcomeHeader)
	h.Del(returnedHeader)
	if c.forwarded == nil {
		return
	}
	h.Set(outcomeHeader, encodeHeader(o))
	h.Set(c.relay.cfg.Dialect.RequestIDHeader(), c.ID)
}

// copyResponseHeaders copies the headers of an upstream's response to the caller's.
func (c *call) copyResponseHeaders(from *fleet.Upstream, src http.Header) {
	h := c.out.Header()
	c.relay.cfg.Dialect.CopyResponseHeaders(h, src)
	c.addOutcome(h, forwardedOutcome{ConfigVersion: c.version, Attempts: c.attempts.Attempts(), MayHaveRun: true, Upstream: from.ID, Version: from.Version, Started: from.Started.UnixMilli()})
}

// recordConfig records by which version of the configuration another daemon has decided.
func (r *Relay) recordConfig(version uint64) {
	for {
		newest := r.newestConfig.Load()
		if version <= newest || r.newestConfig.CompareAndSwap(newest, version) {
			return
		}
	}
}

// recordNamed records that another daemon has named a version.
func (r *Relay) recordNamed(version uint64, by string) {
	if r.cfg.Configuration != nil {
		r.cfg.Configuration.RecordNamed(version, by)
	}
}

// standing returns how current the configuration in force is.
func (r *Relay) standing() freshness.Standing {
	s := freshness.Standing{Version: r.cfg.State.Snapshot().Config.Version}
	if r.cfg.Configuration != nil {
		s = r.cfg.Configuration.Standing()
	}
	s.Newest = max(s.Newest, r.newestConfig.Load())
	return s
}

// requiredConfig returns the oldest version of the configuration by which requests may be decided: the
// newest by which another daemon has decided one of this daemon's, or that has been in force elsewhere for
// so long that the one here is overdue.
func (r *Relay) requiredConfig() uint64 {
	if s := r.standing(); s.Overdue() {
		return s.Newest
	}
	return r.newestConfig.Load()
}

// outdated reports whether the configuration in force here is older than the one required.
func (r *Relay) outdated() bool {
	return r.cfg.State.Snapshot().Config.Version < r.requiredConfig()
}

// failOutdated returns the failure of a request that this daemon may not decide for now.
func (c *call) failOutdated() *failure {
	return c.fail(reasonOlderConfig, "this daemon's configuration is older than another one's")
}

// observeForwarded records that an upstream says, in a response to another daemon, that it is
// draining: this daemon passes that on.
func (r *Relay) observeForwarded(o forwardedOutcome, status int, h http.Header) {
	u := r.cfg.State.Snapshot().Upstreams[o.Upstream]
	if u == nil || u.Started.UnixMilli() != o.Started || !r.cfg.Dialect.Advice(status, h).Draining {
		return
	}
	if r.cfg.State.MarkDraining(u) {
		r.metrics.recordLeaving(u.Pool)
		r.cfg.Logger.Info("upstream leaves", "upstream", u.ID, "started", u.Started, "pool", u.Pool, "status", status)
	}
}
