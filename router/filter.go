package router

import "slices"

// Filter rejects upstreams that may not run a request.
type Filter interface {
	// Keep reports whether the candidate may run the request.
	Keep(c *Candidate, r *Request) bool
	// Reason is the reason given if no upstream passes and this filter rejected
	// the most.
	Reason() NoUpstreamReason
}

type (
	drainingFilter struct{}
	serviceFilter  struct{}
	ejectedFilter  struct{}
	silentFilter   struct{}
	probingFilter  struct{}
	excludedFilter struct{}
	isolatedFilter struct{}
	memoryFilter   struct{}
	limitFilter    struct{}
)

// limitFilter rejects upstreams whose limit allows no request now.
func (limitFilter) Keep(c *Candidate, _ *Request) bool { return !c.Limited }
func (limitFilter) Reason() NoUpstreamReason           { return NoUpstreamLimited }

// drainingFilter rejects upstreams that are terminating or about to be changed.
func (drainingFilter) Keep(c *Candidate, _ *Request) bool {
	return !c.Upstream.Terminating && !c.Upstream.Draining
}
func (drainingFilter) Reason() NoUpstreamReason { return NoUpstreamDraining }

// serviceFilter rejects an engine whose report has it out of service, as during a
// role change.
func (serviceFilter) Keep(c *Candidate, _ *Request) bool { return !c.outOfService() }
func (serviceFilter) Reason() NoUpstreamReason           { return NoUpstreamOutOfService }

// ejectedFilter rejects ejected upstreams.
func (ejectedFilter) Keep(c *Candidate, _ *Request) bool { return !c.Ejected }
func (ejectedFilter) Reason() NoUpstreamReason           { return NoUpstreamEjected }

// silentFilter rejects ejected upstreams that don't seem to answer any request.
func (silentFilter) Keep(c *Candidate, _ *Request) bool {
	return !c.Ejected || !c.node.live.silent.Load()
}
func (silentFilter) Reason() NoUpstreamReason { return NoUpstreamEjected }

// probingFilter allows an upstream that is probed one request at a time, and none with
// NoProbe set.
func (probingFilter) Keep(c *Candidate, r *Request) bool {
	return !c.Probing || (c.Probes == 0 && !r.NoProbe)
}
func (probingFilter) Reason() NoUpstreamReason { return NoUpstreamEjected }

// excludedFilter rejects upstreams that an earlier attempt of the request used.
func (excludedFilter) Keep(c *Candidate, r *Request) bool {
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, c.Upstream.Name)
}
func (excludedFilter) Reason() NoUpstreamReason { return NoUpstreamExcluded }

// isolatedFilter keeps suspected requests apart from each other.
func (isolatedFilter) Keep(c *Candidate, r *Request) bool {
	return r.MayRunOn == nil || r.MayRunOn(c.Upstream.Name)
}
func (isolatedFilter) Reason() NoUpstreamReason { return NoUpstreamIsolation }

// memoryFilter rejects engines whose total KV memory can't hold the request.
func (memoryFilter) Keep(c *Candidate, _ *Request) bool {
	total := c.Upstream.Report.KVTotalTokens
	return total <= 0 || c.kvTokens <= total
}
func (memoryFilter) Reason() NoUpstreamReason { return NoUpstreamKVMemory }
