// Package settings reads and validates the settings file of a deployment. The file
// is JSON with comments and is shared by all programs of the deployment.
package settings

// Deployment is the content of one settings file.
type Deployment struct {
	Name        string       `json:"name" validate:"required"`
	DataCentres []DataCentre `json:"data_centres" validate:"min=1,dive"`
	// Links gives the one-way latency of every pair of data centres, the same in
	// both directions.
	Links     []Link     `json:"links" validate:"dive"`
	Instances []Instance `json:"instances" validate:"min=1,dive"`
	Upstreams []Upstream `json:"upstreams" validate:"min=1,dive"`
	Platform  Platform   `json:"platform"`
	Discovery Discovery  `json:"discovery"`
	Lease     Lease      `json:"lease"`
	Protected Protected  `json:"protected"`
	Admission Admission  `json:"admission"`
	// Keys is omitted when a deployment without it is encoded.
	Keys Keys `json:"keys,omitzero"`
	// Rules is omitted when a deployment without it is encoded.
	Rules Rules `json:"rules,omitzero"`
	// Streams is omitted when a deployment without it is encoded.
	Streams  Streams  `json:"streams,omitzero"`
	Roles    Roles    `json:"roles"`
	Routing  Routing  `json:"routing"`
	Security Security `json:"security"`
	Log      Logging  `json:"log"`
	// InitialRules is the path of the rule set that an operator publishes first.
	// Only the trial script uses it.
	InitialRules string `json:"initial_rules"`
}

// DataCentre names a data centre.
type DataCentre struct {
	Name string `json:"name" validate:"required"`
}

// Link is the connection between two data centres.
type Link struct {
	From         string  `json:"from" validate:"required"`
	To           string  `json:"to" validate:"required"`
	OneWayMillis float64 `json:"one_way_ms" validate:"gt=0"`
}

// Instance is one instance, with the addresses of its two programs: chute-entry and
// chute-controller.
type Instance struct {
	Name       string `json:"name" validate:"required"`
	DataCentre string `json:"data_centre" validate:"required"`
	// Callers is the address at which chute-entry serves callers (HTTP).
	Callers string `json:"callers" validate:"required,ip_port"`
	// Operators is the address at which chute-entry serves operators (HTTP).
	Operators string `json:"operators" validate:"required,ip_port"`
	// Peers is the address at which chute-entry accepts connections from the
	// system's other processes.
	Peers string `json:"peers" validate:"required,ip_port"`
	// Forwards is the address at which chute-entry takes requests that other instances forward; empty
	// if it takes none. Callers must not reach it.
	Forwards string `json:"forwards,omitempty" validate:"omitempty,ip_port"`
	// ControllerOperators and ControllerPeers are the corresponding addresses of
	// chute-controller.
	ControllerOperators string `json:"controller_operators" validate:"required,ip_port"`
	ControllerPeers     string `json:"controller_peers" validate:"required,ip_port"`
}

// UpstreamKind distinguishes engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Fencing says whether an engine rejects orders with an outdated fencing token.
type Fencing string

// The values of Fencing.
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
	// Pool is the name by which rules route requests to this upstream.
	Pool string `json:"pool" validate:"required"`
	// Models, Fencing and Role are for engines only.
	Models  []string `json:"models"`
	Fencing Fencing  `json:"fencing" validate:"omitempty,oneof=checked none"`
	// Role is the engine's role when the deployment starts for the first time.
	Role string `json:"role" validate:"omitempty,oneof=prefill decode mixed"`
}

// Platform gives the addresses of the platform's services.
type Platform struct {
	Log       string `json:"log" validate:"required,ip_port"`
	Instances string `json:"instances" validate:"required,ip_port"`
	Weights   string `json:"weights" validate:"required,ip_port"`
	// AppendsPerSecond is this deployment's share of the log's rate limit.
	AppendsPerSecond float64 `json:"appends_per_s" validate:"gt=0"`
	// RetentionSeconds is how long the log retains a record.
	RetentionSeconds float64 `json:"retention_s" validate:"gt=0"`
	// WeightBytesPerSecond is the weight store's rate limit over all data centres.
	WeightBytesPerSecond float64 `json:"weight_bytes_per_s" validate:"gt=0"`
}

// Discovery configures how callers discover the instances to connect to.
type Discovery struct {
	// TTLSeconds is how long a caller may cache a discovery response.
	TTLSeconds float64 `json:"keep_s" validate:"gt=0"`
	// GraceSeconds is the longest that an instance that shuts down waits for its
	// requests to end, after TTLSeconds have passed.
	GraceSeconds float64 `json:"grace_s" validate:"gt=0"`
}

// Lease configures the leaders' leases.
type Lease struct {
	TermSeconds  float64 `json:"term_s" validate:"gt=0"`
	RenewSeconds float64 `json:"renew_s" validate:"gt=0"`
	// DriftFraction is the largest relative difference between the rates of two
	// clocks.
	DriftFraction float64 `json:"drift_fraction" validate:"gte=0,lt=0.5"`
	// SettleSeconds is how long a new leader waits after the previous leader's end
	// before its first order to engines that don't check fencing tokens.
	SettleSeconds float64 `json:"settle_s" validate:"gte=0"`
}

// Protected configures protected calls, which run at most once.
type Protected struct {
	// LingerMillis is the longest that a claim waits for other claims, to share one
	// append with them.
	LingerMillis float64 `json:"commit_ms" validate:"gte=0"`
	// ClaimTimeoutMillis bounds the wait for a claim; after it the call is refused.
	ClaimTimeoutMillis float64 `json:"claim_timeout_ms" validate:"gt=0"`
	// KeyTTLSeconds is how long an idempotency key is remembered.
	KeyTTLSeconds float64 `json:"remember_s" validate:"gt=0"`
	// MaxRecordedBytes is the largest response that is recorded, to be replayed when
	// the call is sent again.
	MaxRecordedBytes int `json:"max_recorded_bytes" validate:"gte=0"`
}

// Keys configures the callers' API keys, which the rules list.
type Keys struct {
	// RevocationSeconds is the time after its removal from which a key isn't used by any instance; 0
	// means that there is no such bound.
	RevocationSeconds float64 `json:"revocation_s" validate:"gte=0"`
}

// Rules says when published rules take effect.
type Rules struct {
	// ApplySeconds is the time within which published rules decide at each instance. One that hasn't
	// read the log for longer refuses no request for good. 0 means that there is no such bound.
	ApplySeconds float64 `json:"apply_s" validate:"gte=0"`
}

// Admission configures admission control.
type Admission struct {
	// MaxQueued is the most requests that one entry queues.
	MaxQueued int `json:"max_queued" validate:"gt=0"`
	// MaxBodyBytes is the largest request body that is accepted.
	MaxBodyBytes int `json:"max_body_bytes" validate:"gt=0"`
	// ShortReserve is the fraction of the engines kept free of long requests that
	// have not started.
	ShortReserve float64 `json:"short_reserve" validate:"gte=0,lt=1"`
	// RetryBudget is the fraction of requests that may be retried.
	RetryBudget float64 `json:"retry_budget" validate:"gte=0,lte=1"`
}

// Streams limits the time and memory of responses.
type Streams struct {
	// MaxBufferedBytes bounds the text of one stream that is buffered so that another
	// engine can continue it; MaxTotalBufferedBytes bounds the sum over all streams
	// of one entry.
	MaxBufferedBytes      int   `json:"kept_bytes" validate:"gte=0"`
	MaxTotalBufferedBytes int64 `json:"kept_bytes_in_all" validate:"gte=0"`
	// DefaultDeadlineSeconds is the deadline of requests, streamed or not, whose rule
	// sets none.
	DefaultDeadlineSeconds float64 `json:"default_deadline_s" validate:"gt=0,lte=86400"`
}

// Roles configures the role policy.
type Roles struct {
	Policy string `json:"policy" validate:"oneof=gain fixed threshold schedule"`
	// ChangeWeight multiplies the cost of a role change, the capacity that it loses:
	// 1 favours goodput most, higher values make changes rarer.
	ChangeWeight float64 `json:"change_weight" validate:"gt=0"`
	// DwellSeconds is the least time between two changes of one engine.
	DwellSeconds float64 `json:"dwell_s" validate:"gte=0"`
	// ChangeSeconds is how long an engine is out of service during a role change.
	ChangeSeconds float64 `json:"change_s" validate:"gt=0"`
	// MaxAtOnce bounds the concurrent role changes in one data centre.
	MaxAtOnce int `json:"max_at_once" validate:"gt=0"`
	// MaxReportAgeSeconds is the age beyond which a demand report is ignored.
	MaxReportAgeSeconds float64 `json:"max_picture_age_s" validate:"gt=0"`
	// Schedule is used by the policy "schedule" only.
	Schedule []RoleStep `json:"schedule" validate:"dive"`
}

// RoleStep sets how many engines of the deployment have each role from a point in
// time.
type RoleStep struct {
	// AtUnixSeconds is the start of the step as a Unix time: seconds since 1970.
	AtUnixSeconds float64 `json:"at_unix_s" validate:"gt=0"`
	Prefill       int     `json:"prefill" validate:"gte=0"`
	Decode        int     `json:"decode" validate:"gte=0"`
	Mixed         int     `json:"mixed" validate:"gte=0"`
}

// Routing configures how an upstream is selected.
type Routing struct {
	// Picker names the selection policy; empty means "cost". The others are baselines
	// for experiments.
	Picker string `json:"picker" validate:"omitempty,oneof=cost least_outstanding round_robin"`
}

// Security holds paths and hashes of secrets, never a secret itself.
type Security struct {
	// PeerSecretFile is the path of the secret shared by the system's processes.
	PeerSecretFile string     `json:"peer_secret_file" validate:"required"`
	Operators      []Operator `json:"operators" validate:"dive"`
	// TLSCertFile and TLSKeyFile enable TLS on every listener if both are set;
	// TLSCAFile holds the certificate authorities that the system's processes trust.
	TLSCertFile string `json:"tls_cert_file"`
	TLSKeyFile  string `json:"tls_key_file"`
	TLSCAFile   string `json:"tls_ca_file"`
}

// Operator is a person authorised to publish rules.
type Operator struct {
	Name string `json:"name" validate:"required"`
	// TokenSHA256 is the hexadecimal SHA-256 hash of the operator's token.
	TokenSHA256 string `json:"token_sha256" validate:"required,len=64,hexadecimal"`
}

// Logging configures the format and level of log lines.
type Logging struct {
	Format string `json:"format" validate:"omitempty,oneof=text json"`
	Level  string `json:"level" validate:"omitempty,oneof=debug info warn error"`
}
