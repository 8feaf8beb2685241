package member

import (
	"context"
	"time"

	"tamarackchute/usage"
)

// ProviderSettings are the settings of the platform's calls that one daemon makes for the site.
// The zero value means that there are none.
type ProviderSettings struct {
	// Address is where the calls go, IP:PORT.
	Address string
	// ReportsUsage and OrdersServers say which calls are expected.
	ReportsUsage, OrdersServers bool
	// UsageWindow is the length of a window of usage, UsageDue the time after its end within which
	// it is to be reported.
	UsageWindow, UsageDue time.Duration
	// Fenced says that calls with a fencing token lower than one seen before are refused.
	Fenced bool
}

// Holder identifies the daemon that makes a call, and its right to do so.
type Holder struct {
	Instance     string
	FencingToken uint64
}

// ServerOrder is an order for the number of a pool's upstreams in a data centre.
type ServerOrder struct {
	Pool, DataCentre string
	// Spot orders upstreams that the platform may reclaim; they are counted separately.
	Spot  bool
	Count int
}

// Provider makes calls to the platform.
type Provider interface {
	// ReportUsage reports the usage of a window.
	ReportUsage(ctx context.Context, h Holder, r usage.Report) (ProviderOutcome, error)
	// OrderServers orders upstreams.
	OrderServers(ctx context.Context, h Holder, o ServerOrder) (ProviderOutcome, error)
}

// ProviderOutcome is the outcome of a call to the platform.
type ProviderOutcome uint8

// The outcomes of calls to the platform.
const (
	// ProviderUnknown means that there was no answer; the call may take effect, also later.
	ProviderUnknown ProviderOutcome = iota
	// ProviderAccepted means that the call has taken effect.
	ProviderAccepted
	// ProviderFenced means that a higher fencing token was seen.
	ProviderFenced
	// ProviderConflict means that a higher fencing token was seen, or that there are no such
	// upstreams to be had now.
	ProviderConflict
	// ProviderBusy means that too many calls were made.
	ProviderBusy
	// ProviderRefused means that the call had no effect for another reason.
	ProviderRefused
)

// String returns the outcome's name in logs.
func (o ProviderOutcome) String() string {
	return [...]string{"unknown", "accepted", "fenced", "conflict", "busy", "refused"}[o]
}
