package settings

// Defaults returns a deployment with the default value of every optional setting.
// Name, data centres, instances, upstreams, security and the platform's addresses
// have no defaults.
func Defaults() Deployment {
	return Deployment{
		Platform: Platform{
			AppendsPerSecond:     200,
			RetentionSeconds:     3600,
			WeightBytesPerSecond: 200e6,
		},
		Discovery: Discovery{TTLSeconds: 5, GraceSeconds: 60},
		Lease: Lease{
			TermSeconds:   3,
			RenewSeconds:  1,
			DriftFraction: 0.01,
			SettleSeconds: 1,
		},
		Protected: Protected{
			LingerMillis:       4,
			ClaimTimeoutMillis: 2000,
			KeyTTLSeconds:      1800,
			MaxRecordedBytes:   4096,
		},
		Admission: Admission{
			MaxQueued:    4096,
			MaxBodyBytes: 1 << 20,
			ShortReserve: 0.15,
			RetryBudget:  0.1,
		},
		Streams: Streams{
			MaxBufferedBytes:       64 << 10,
			MaxTotalBufferedBytes:  16 << 20,
			DefaultDeadlineSeconds: 120,
		},
		Roles: Roles{
			Policy:              "gain",
			ChangeWeight:        1,
			DwellSeconds:        20,
			ChangeSeconds:       4,
			MaxAtOnce:           1,
			MaxReportAgeSeconds: 10,
		},
		Log: Logging{Format: "text", Level: "info"},
	}
}
