// Package settings reads and checks the settings file of a deployment: JSON
// with comments, shared by all its programs.
package settings

// Deployment is one settings file.
type Deployment struct {
	Name        string       `json:"name" validate:"required"`
	DataCentres []DataCentre `json:"data_centres" validate:"min=1,dive"`
	// Links gives the one-way latency between data centres, both ways alike.
	Links     []Link     `json:"links" validate:"dive"`
	Instances []Instance `json:"instances" validate:"min=1,dive"`
	Upstreams []Upstream `json:"upstreams" validate:"min=1,dive"`
	Platform  Platform   `json:"platform"`
	Discovery Discovery  `json:"discovery"`
	Lease     Lease      `json:"lease"`
	Protected Protected  `json:"protected"`
	Admission Admission  `json:"admission"`
	// Streams is left out of a file that is written from a deployment without it.
	Streams  Streams  `json:"streams,omitzero"`
	Roles    Roles    `json:"roles"`
	Routing  Routing  `json:"routing"`
	Security Security `json:"security"`
	Log      Logging  `json:"log"`
	// InitialRules is the path of a rule set that an operator publishes first;
	// it is used by no program but the trial script.
	InitialRules string `json:"initial_rules"`
}

// DataCentre names a data centre.
type DataCentre struct {
	Name string `json:"name" validate:"required"`
}

// Link is the way between two data centres.
type Link struct {
	From         string  `json:"from" validate:"required"`
	To           string  `json:"to" validate:"required"`
	OneWayMillis float64 `json:"one_way_ms" validate:"gt=0"`
}

// Instance is one entry instance with the addresses of its two programs.
type Instance struct {
	Name       string `json:"name" validate:"required"`
	DataCentre string `json:"data_centre" validate:"required"`
	// Callers is where chute-entry serves callers (HTTP).
	Callers string `json:"callers" validate:"required,ip_port"`
	// Operators is where chute-entry serves operators (HTTP).
	Operators string `json:"operators" validate:"required,ip_port"`
	// Peers is where chute-entry takes connections of the system's processes.
	Peers string `json:"peers" validate:"required,ip_port"`
	// ControllerOperators and ControllerPeers are the same for chute-controller.
	ControllerOperators string `json:"controller_operators" validate:"required,ip_port"`
	ControllerPeers     string `json:"controller_peers" validate:"required,ip_port"`
}

// UpstreamKind tells engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Fencing says whether an engine refuses an outdated fencing number.
type Fencing string

// The two sorts of engine.
const (
	FencingChecked Fencing = "checked"
	FencingNone    Fencing = "none"
)

// Upstream is one engine or plain service.
type Upstream struct {
	Name       string       `json:"name" validate:"required"`
	Kind       UpstreamKind `json:"kind" validate:"oneof=engine service"`
	DataCentre string       `json:"data_centre" validate:"required"`
	Address    string       `json:"address" validate:"required,ip_port"`
	// Pool is the name by which rules send requests here.
	Pool string `json:"pool" validate:"required"`
	// The rest is for engines only.
	Models  []string `json:"models"`
	Fencing Fencing  `json:"fencing" validate:"omitempty,oneof=checked none"`
	// Role is the role at the deployment's first start.
	Role string `json:"role" validate:"omitempty,oneof=prefill decode mixed"`
}

// Platform gives the addresses of the platform's services.
type Platform struct {
	Log       string `json:"log" validate:"required,ip_port"`
	Instances string `json:"instances" validate:"required,ip_port"`
	Weights   string `json:"weights" validate:"required,ip_port"`
	// AppendsPerSecond is this process group's share of the log's limit.
	AppendsPerSecond float64 `json:"appends_per_s" validate:"gt=0"`
	// RetentionSeconds is how long the log keeps a record.
	RetentionSeconds float64 `json:"retention_s" validate:"gt=0"`
	// WeightBytesPerSecond is the weight store's limit for all data centres.
	WeightBytesPerSecond float64 `json:"weight_bytes_per_s" validate:"gt=0"`
}

// Discovery sets how callers learn where to connect.
type Discovery struct {
	// TTLSeconds is how long a caller may keep an answer.
	TTLSeconds float64 `json:"keep_s" validate:"gt=0"`
	// GraceSeconds is the longest that a stopping instance waits beyond that
	// for its requests to end.
	GraceSeconds float64 `json:"grace_s" validate:"gt=0"`
}

// Lease sets the leaders' leases.
type Lease struct {
	TermSeconds  float64 `json:"term_s" validate:"gt=0"`
	RenewSeconds float64 `json:"renew_s" validate:"gt=0"`
	// DriftFraction is the most that two clocks' rates may differ.
	DriftFraction float64 `json:"drift_fraction" validate:"gte=0,lt=0.5"`
	// SettleSeconds is waited before the first order to engines that don't
	// check fencing numbers, after their former leader has gone.
	SettleSeconds float64 `json:"settle_s" validate:"gte=0"`
}

// Protected sets calls that run at most once.
type Protected struct {
	// LingerMillis is the longest that a claim waits for company in one append.
	LingerMillis float64 `json:"commit_ms" validate:"gte=0"`
	// ClaimTimeoutMillis bounds the wait for a claim; then the call is refused.
	ClaimTimeoutMillis float64 `json:"claim_timeout_ms" validate:"gt=0"`
	// KeyTTLSeconds is how long a key is known.
	KeyTTLSeconds float64 `json:"remember_s" validate:"gt=0"`
	// MaxRecordedBytes is the largest answer recorded whole for resends.
	MaxRecordedBytes int `json:"max_recorded_bytes" validate:"gte=0"`
}

// Admission sets what is taken and what refused.
type Admission struct {
	// MaxQueued is the most requests that wait in one entry.
	MaxQueued int `json:"max_queued" validate:"gt=0"`
	// MaxBodyBytes is the largest request taken.
	MaxBodyBytes int `json:"max_body_bytes" validate:"gt=0"`
	// ShortReserve is the share of the engines kept free of long requests that
	// have not started.
	ShortReserve float64 `json:"short_reserve" validate:"gte=0,lt=1"`
	// RetryBudget is the share of requests that may be retried.
	RetryBudget float64 `json:"retry_budget" validate:"gte=0,lte=1"`
}

// Streams sets what answers may take, in time and memory.
type Streams struct {
	// MaxBufferedBytes bounds the text kept of one stream so that another engine can
	// continue it; MaxTotalBufferedBytes bounds that of all streams of one entry.
	MaxBufferedBytes      int   `json:"kept_bytes" validate:"gte=0"`
	MaxTotalBufferedBytes int64 `json:"kept_bytes_in_all" validate:"gte=0"`
	// DefaultDeadlineSeconds is for requests, streams or not, whose rule sets no
	// deadline.
	DefaultDeadlineSeconds float64 `json:"default_deadline_s" validate:"gt=0,lte=86400"`
}

// Roles sets the role policy.
type Roles struct {
	Policy string `json:"policy" validate:"oneof=gain fixed threshold schedule"`
	// ChangeWeight is what one role change costs beside the capacity lost: 1
	// counts goodput most, higher values make changes rarer.
	ChangeWeight float64 `json:"change_weight" validate:"gt=0"`
	// DwellSeconds is the least time between two changes of one engine.
	DwellSeconds float64 `json:"dwell_s" validate:"gte=0"`
	// ChangeSeconds is how long an engine is out of service for a change.
	ChangeSeconds float64 `json:"change_s" validate:"gt=0"`
	// MaxAtOnce bounds the engines changing at once in a data centre.
	MaxAtOnce int `json:"max_at_once" validate:"gt=0"`
	// MaxReportAgeSeconds is the oldest demand picture acted on.
	MaxReportAgeSeconds float64 `json:"max_picture_age_s" validate:"gt=0"`
	// Schedule is followed by the policy "schedule" and no other.
	Schedule []RoleStep `json:"schedule" validate:"dive"`
}

// RoleStep says how many engines of the deployment have each role from a time
// on.
type RoleStep struct {
	// AtUnixSeconds is the time, in seconds since 1970.
	AtUnixSeconds float64 `json:"at_unix_s" validate:"gt=0"`
	Prefill       int     `json:"prefill" validate:"gte=0"`
	Decode        int     `json:"decode" validate:"gte=0"`
	Mixed         int     `json:"mixed" validate:"gte=0"`
}

// Routing sets how an upstream is picked.
type Routing struct {
	// Picker is "cost" if empty; the others are baselines for experiments.
	Picker string `json:"picker" validate:"omitempty,oneof=cost least_outstanding round_robin"`
}

// Security holds secrets' hashes and files, never a secret itself.
type Security struct {
	// PeerSecretFile holds the secret that the system's processes share.
	PeerSecretFile string     `json:"peer_secret_file" validate:"required"`
	Operators      []Operator `json:"operators" validate:"dive"`
	// TLSCertFile and TLSKeyFile switch TLS on for every listener if both are
	// set; TLSCAFile is what the system's processes trust.
	TLSCertFile string `json:"tls_cert_file"`
	TLSKeyFile  string `json:"tls_key_file"`
	TLSCAFile   string `json:"tls_ca_file"`
}

// Operator is somebody who may publish rules.
type Operator struct {
	Name string `json:"name" validate:"required"`
	// TokenSHA256 is the token's hash in hex.
	TokenSHA256 string `json:"token_sha256" validate:"required,len=64,hexadecimal"`
}

// Logging sets the form of log lines.
type Logging struct {
	Format string `json:"format" validate:"omitempty,oneof=text json"`
	Level  string `json:"level" validate:"omitempty,oneof=debug info warn error"`
}
