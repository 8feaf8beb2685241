// Package daemonstatus defines the status that a daemon reports to operators as JSON. It is
// separate from the daemon so that the operators' command line doesn't depend on the daemon's
// packages.
package daemonstatus

import "time"

// Path is the path of the status page at the metrics address.
const Path = "/status"

// ReleasePath is the path at the metrics address to which a Release is posted.
const ReleasePath = "/quarantine/release"

// Release lets a quarantined request run again.
type Release struct {
	// Digest identifies the request, Operator and Reason are for the log.
	Digest   string `json:"digest"`
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
}

// Daemon is the status of a daemon and its view of its surroundings.
type Daemon struct {
	Instance     string `json:"instance"`
	DataCentre   string `json:"data_centre"`
	Callers      string `json:"callers"`
	Ready        bool   `json:"ready"`
	ShuttingDown bool   `json:"stopping"`
	// Requests is the number of requests in progress.
	Requests      int64  `json:"requests"`
	ConfigVersion uint64 `json:"config_version"`
	// ConfigAgeMS is the time since the configuration was last proven to be the newest, by the store
	// or by a peer; -1 if it never was. NewestConfig is the newest version that a peer has lately named.
	ConfigAgeMS  float64 `json:"config_age_ms"`
	NewestConfig uint64  `json:"newest_config,omitempty"`
	// ConfigRejected is set if the latest document can't be decoded.
	ConfigRejected *ConfigRejection `json:"config_rejected,omitempty"`
	// StoreEra counts how often the store was restored from an older copy.
	StoreEra uint64 `json:"store_era"`
	// UpstreamsAgeMS is the time since the list of upstreams was last read, by this daemon or by
	// a peer with the same list.
	UpstreamsAgeMS float64 `json:"upstreams_age_ms"`
	// LostPools are the pools to whose upstreams the daemon has lost its path.
	LostPools []string `json:"lost_pools,omitempty"`
	// KeysUsable says that API keys may be used, KeysProvenAgeMS the age of the proof that they are
	// current; both only where removed keys must not be used beyond a bound.
	KeysUsable      *bool          `json:"keys_usable,omitempty"`
	KeysProvenAgeMS *float64       `json:"keys_proven_ms,omitempty"`
	Organisations   []Organisation `json:"organisations,omitempty"`
	Lease           Lease          `json:"lease"`
	Peers           []Peer         `json:"peers"`
	Upstreams       []Upstream     `json:"upstreams"`
	RetryBudgets    []RetryBudget  `json:"budgets"`
	// Quarantined are the requests that are refused because upstreams crashed while they ran;
	// Suspects is the number of those that may become so.
	Quarantined []Quarantined `json:"quarantined,omitempty"`
	Suspects    int           `json:"suspects,omitempty"`
}

// ConfigRejection is a document that the daemon can't decode.
type ConfigRejection struct {
	At time.Time `json:"at"`
	// From is the store or the peer that it came from.
	From  string `json:"from"`
	Error string `json:"error"`
}

// Quarantined is a request that isn't run for now.
type Quarantined struct {
	// Digest identifies the request in logs and releases.
	Digest string `json:"digest"`
	// Part says that it is a part of prompts, which all requests with it share.
	Part bool `json:"part,omitempty"`
	// Crashed are the upstreams that crashed with it in flight, each with its start.
	Crashed []string `json:"crashed"`
	// RemainingMS is how long it lasts.
	RemainingMS float64 `json:"remaining_ms"`
}

// Organisation is one of the callers' organisations.
type Organisation struct {
	Name string `json:"name"`
	// Keys are the fingerprints of its API keys.
	Keys []string `json:"keys"`
}

// Lease is the daemon's part in the lease whose holder orders role changes.
type Lease struct {
	// Candidate means that the daemon competes for the lease, Held that it holds it.
	Candidate bool `json:"candidate"`
	Held      bool `json:"held"`
	// FencingToken is the token of the lease, if held.
	FencingToken uint64 `json:"fence,omitempty"`
}

// Peer is the status of another daemon, as last received.
type Peer struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Up means that the peer reported recently, Serving that it accepts callers.
	Up      bool `json:"up"`
	Serving bool `json:"serving"`
	// PathLost means that it reaches no upstream.
	PathLost bool `json:"path_lost,omitempty"`
	// UpdateAgeMS is the time since its last update.
	UpdateAgeMS   float64 `json:"told_ms"`
	ConfigVersion uint64  `json:"config_version"`
}

// Upstream is the status of a server.
type Upstream struct {
	ID         string `json:"id"`
	Pool       string `json:"pool"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Role is empty for a plain service.
	Role     string `json:"role,omitempty"`
	Draining bool   `json:"leaving"`
	// Usable means that the upstream may get requests: it isn't draining, ejected after failures
	// or changing its role.
	Usable bool `json:"usable"`
	// LimitPerSecond is the limit that the upstream has named, in requests a second from all daemons;
	// SharesLimit says whether this daemon is among those that may send them.
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"`
	SharesLimit    *bool    `json:"shares_limit,omitempty"`
	// Running is the number of requests there from all daemons, as far as known.
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// RetryBudget is a pool's use of its retry budget in the current window.
type RetryBudget struct {
	Pool     string  `json:"pool"`
	Requests float64 `json:"requests"`
	Retries  float64 `json:"repeats"`
	// Allowed is how many retries this daemon may make in the window.
	Allowed float64 `json:"allowed"`
}
