package relay

import (
	"context"
	"errors"
	"slices"

	"tamarackchute/internal/fleet"
)

// StreamVersions knows at which software version of its upstream a stream began.
type StreamVersions interface {
	// Begin records the version of the upstream that sent the first event of a stream, which is named
	// by the ID of its request.
	Begin(pool, request, version string)
	// VersionOf returns the version at which a stream began, and whether that is known. It may ask
	// other daemons, which takes milliseconds.
	VersionOf(ctx context.Context, pool, request string) (string, bool)
	// AwaitList waits until the list of upstreams has been read by a call that began after this one, which
	// it reports, or until the list suffices.
	AwaitList(ctx context.Context, suffices func() bool) bool
}

// errOtherVersion stops an attempt at an upstream whose software has changed since it was placed.
var errOtherVersion = errors.New("the upstream has another software version than the one that began the stream")

// streamOrigin is where the stream of a call began. It may go on only at the same version.
type streamOrigin struct {
	// fixed says that the stream has begun; version is that of the upstream which began it.
	fixed   bool
	version string
	// listAwaited says that the list of upstreams was to be read again, listRead that this has succeeded.
	listAwaited, listRead bool
}

// findOrigin finds the version at which a stream began that the caller takes up again.
func (c *call) findOrigin(ctx context.Context) *failure {
	if c.origin.fixed || c.ResumeAfter == 0 || !c.rule.Stream || c.relay.cfg.Versions == nil {
		return nil
	}
	version, known := c.relay.cfg.Versions.VersionOf(ctx, c.pool, c.Resumes)
	if !known {
		return c.fail(reasonVersionUnknown, "it isn't known which software version began the stream")
	}
	c.origin = streamOrigin{fixed: true, version: version}
	return nil
}

// checkOrigin returns a failure if no upstream of the version that began the stream takes requests any
// more. A list from before the request may lack those that have joined since.
func (c *call) checkOrigin(ctx context.Context) *failure {
	if !c.origin.fixed || c.originServes() {
		return nil
	}
	if versions := c.relay.cfg.Versions; versions != nil && !c.origin.listAwaited {
		c.origin.listAwaited = true
		c.origin.listRead = versions.AwaitList(ctx, c.originServes)
		if c.originServes() {
			return nil
		}
	}
	return c.fail(reasonVersionGone, "no upstream of the software version that began the stream is left")
}

// originServes reports whether an upstream of the version that began the stream takes requests.
func (c *call) originServes() bool {
	upstreams := c.relay.cfg.State.Snapshot().Pools[c.pool]
	return slices.ContainsFunc(upstreams, func(u *fleet.Upstream) bool { return !u.Draining && u.Version == c.origin.version })
}

// suitsOrigin reports whether the stream may go on at an upstream, whose entry may have changed since
// the request was placed.
func (c *call) suitsOrigin(u *fleet.Upstream) bool {
	current := c.relay.cfg.State.Snapshot().Upstreams[u.ID]
	return !c.origin.fixed || current == nil || current.Version == c.origin.version
}

// recordOrigin records the version of the upstream that sends the first event of the stream.
func (c *call) recordOrigin(u *fleet.Upstream) {
	if !c.origin.fixed {
		c.origin = streamOrigin{fixed: true, version: u.Version}
	}
	if c.relay.cfg.Versions != nil {
		c.relay.cfg.Versions.Begin(c.pool, c.streamID(), c.origin.version)
	}
}

// streamID returns the ID of the caller's request that brought the first event of the stream.
func (c *call) streamID() string {
	if c.ResumeAfter > 0 && c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// otherVersions returns the upstreams of the pool at which the stream can't go on.
func (c *call) otherVersions(s *fleet.Snapshot) []string {
	if !c.origin.fixed {
		return nil
	}
	var others []string
	for _, u := range s.Pools[c.pool] {
		if u.Version != c.origin.version {
			others = append(others, u.ID)
		}
	}
	return others
}

// servingVersions returns the versions of the pool's upstreams that take requests.
func servingVersions(s *fleet.Snapshot, pool string) []string {
	var versions []string
	for _, u := range s.Pools[pool] {
		if !u.Draining && !slices.Contains(versions, u.Version) {
			versions = append(versions, u.Version)
		}
	}
	slices.Sort(versions)
	return versions
}
