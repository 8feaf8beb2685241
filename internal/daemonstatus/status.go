// Package daemonstatus holds what a daemon tells operators of itself, as JSON. It is
// apart from the daemon so that the operators' command line needn't be built with
// all of it.
package daemonstatus

// Path is where the metrics address serves a Daemon.
const Path = "/status"

// Daemon is a daemon and what it believes of its surroundings.
type Daemon struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Callers    string `json:"callers"`
	Ready      bool   `json:"ready"`
	Stopping   bool   `json:"stopping"`
	// Requests is the number in progress.
	Requests      int64  `json:"requests"`
	ConfigVersion uint64 `json:"config_version"`
	// StoreEra counts how often the store has come back from an older copy.
	StoreEra uint64 `json:"store_era"`
	// UpstreamsAgeMS is the time since the list of upstreams was read, here or
	// by a daemon that has the same.
	UpstreamsAgeMS float64    `json:"upstreams_age_ms"`
	Lease          Lease      `json:"lease"`
	Peers          []Peer     `json:"peers"`
	Upstreams      []Upstream `json:"upstreams"`
	Budgets        []Budget   `json:"budgets"`
}

// Lease is the daemon's part in the lease under which engines get orders.
type Lease struct {
	// Candidate says that it tries to hold the lease, Held that it does.
	Candidate bool `json:"candidate"`
	Held      bool `json:"held"`
	// Fence is the fencing number of a lease that is held.
	FencingToken uint64 `json:"fence,omitempty"`
}

// Peer is another daemon.
type Peer struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Up says that it was heard from lately, Serving that it takes callers.
	Up            bool    `json:"up"`
	Serving       bool    `json:"serving"`
	UpdateAgeMS   float64 `json:"told_ms"`
	ConfigVersion uint64  `json:"config_version"`
}

// Upstream is a server.
type Upstream struct {
	ID         string `json:"id"`
	Pool       string `json:"pool"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Role is empty for a plain service.
	Role     string `json:"role,omitempty"`
	Draining bool   `json:"leaving"`
	// Usable says that it may get requests now: it doesn't leave, isn't ejected
	// after failures and doesn't change its role.
	Usable bool `json:"usable"`
	// Running is the number of requests there from all daemons, as far as known.
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// Budget is what a pool's repeats have used of their bound in the present window.
type Budget struct {
	Pool     string  `json:"pool"`
	Requests float64 `json:"requests"`
	Retries  float64 `json:"repeats"`
	// Allowed is how many repeats this daemon may make in the window.
	Allowed float64 `json:"allowed"`
}
