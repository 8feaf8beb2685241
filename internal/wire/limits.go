package wire

import (
	"time"

	"tamarackchute/upstreamlimit"
)

// UpstreamLimits reports the limits that upstreams have named, as the sender knows them.
type UpstreamLimits struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Limits   []UpstreamLimit
	// Incarnation and SentAt are as in MemberState; the ages in the limits count from SentAt.
	Incarnation uint64
	SentAt      time.Duration
}

// UpstreamLimit is an upstreamlimit.Report.
type UpstreamLimit struct {
	//lint:ignore U1000 msgpack reads it: the fields are encoded without their names.
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Started  int64
	// PerSecond is the limit in requests a second.
	PerSecond              float64
	NamedSentAge, NamedAge time.Duration
	Denied                 bool
	DeniedAge              time.Duration
}

// Kind implements Message.
func (UpstreamLimits) Kind() Kind { return KindUpstreamLimits }

// LimitsOf returns the message for reports, as an incarnation of a daemon sends it at a time.
func LimitsOf(reports []upstreamlimit.Report, incarnation uint64, sentAt time.Duration) UpstreamLimits {
	m := UpstreamLimits{Limits: make([]UpstreamLimit, 0, len(reports)), Incarnation: incarnation, SentAt: sentAt}
	for _, r := range reports {
		m.Limits = append(m.Limits, UpstreamLimit{
			ID: r.Upstream.ID, Started: r.Upstream.Started, PerSecond: r.PerSecond,
			NamedSentAge: r.NamedSentAge, NamedAge: r.NamedAge, Denied: r.Denied, DeniedAge: r.DeniedAge,
		})
	}
	return m
}

// Report returns the report that the message carries.
func (l UpstreamLimit) Report() upstreamlimit.Report {
	return upstreamlimit.Report{
		Upstream: upstreamlimit.Upstream{ID: l.ID, Started: l.Started}, PerSecond: l.PerSecond,
		NamedSentAge: l.NamedSentAge, NamedAge: l.NamedAge, Denied: l.Denied, DeniedAge: l.DeniedAge,
	}
}
