package router

import "slices"

// Filter drops upstreams that may not run a request.
type Filter interface {
	// Keep reports whether the candidate may run the request.
	Keep(c *Candidate, r *Request) bool
	// Lack is the reason given if this filter dropped the last candidate.
	Reason() NoUpstreamReason
}

type (
	drainingFilter struct{}
	serviceFilter  struct{}
	ejectedFilter  struct{}
	trialFilter    struct{}
	excludedFilter struct{}
	isolatedFilter struct{}
	memoryFilter   struct{}
)

// leavingFilter holds new work back from upstreams that leave or are about to
// be changed.
func (drainingFilter) Keep(c *Candidate, _ *Request) bool {
	return !c.Upstream.ShuttingDown && !c.Upstream.Draining
}
func (drainingFilter) Reason() NoUpstreamReason { return NoUpstreamDraining }

// serviceFilter holds work back from an engine whose report has it out of
// service, as during a role change.
func (serviceFilter) Keep(c *Candidate, _ *Request) bool { return !c.outOfService() }
func (serviceFilter) Reason() NoUpstreamReason           { return NoUpstreamOutOfService }

// ejectedFilter holds work back from an upstream that failed lately.
func (ejectedFilter) Keep(c *Candidate, _ *Request) bool { return !c.Ejected }
func (ejectedFilter) Reason() NoUpstreamReason           { return NoUpstreamEjected }

// trialFilter lets an upstream on probation have one request at a time, and
// none that must not fail.
func (trialFilter) Keep(c *Candidate, r *Request) bool {
	return !c.Trial || (c.Trials == 0 && !r.NoTrial)
}
func (trialFilter) Reason() NoUpstreamReason { return NoUpstreamEjected }

// excludedFilter keeps a retry away from upstreams already tried.
func (excludedFilter) Keep(c *Candidate, r *Request) bool {
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, c.Upstream.Name)
}
func (excludedFilter) Reason() NoUpstreamReason { return NoUpstreamExcluded }

// isolatedFilter keeps suspected requests apart from each other.
func (isolatedFilter) Keep(c *Candidate, r *Request) bool {
	return r.MayRunOn == nil || r.MayRunOn(c.Upstream.Name)
}
func (isolatedFilter) Reason() NoUpstreamReason { return NoUpstreamIsolation }

// memoryFilter drops engines whose KV memory couldn't hold the request even if
// it were alone there.
func (memoryFilter) Keep(c *Candidate, _ *Request) bool {
	total := c.Upstream.Report.KVTotalTokens
	return total <= 0 || c.kvTokens <= total
}
func (memoryFilter) Reason() NoUpstreamReason { return NoUpstreamKVMemory }
