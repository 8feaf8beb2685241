package capacity

// logRows are what the platform's one log and its writers bear.
var logRows = []Row{
	{
		Role: "Claims: at most once", What: "keys", Resource: Memory,
		Formula:   `min(max_keys, protected_per_s * remember_s) * claim.ledger.bytes_per_key`,
		Mechanism: "`claim.Ledger` at every entry, bounded by `MaxKeys`",
	},
	{
		Role: "Claims: at most once", What: "keys known at a time", Resource: Count,
		Formula:   `protected_per_s * remember_s`,
		Mechanism: "beyond `MaxKeys` new calls are refused", Limit: 500_000, LimitName: "`MaxKeys`",
	},
	{
		Role: "Claims: at most once", What: "every entry reads every claim", Resource: Traffic,
		Formula:   journalClaims,
		Mechanism: "claim and outcome through the journal",
	},
	{
		Role: "Claims: at most once", What: "claims and outcomes read", Resource: Messages,
		Formula:   `2 * protected_per_s`,
		Mechanism: "entries, several to a record",
	},
	{
		Role: "Claims: at most once", What: "folding", Resource: CPU,
		Formula:   `protected_per_s * claim.fold.ns_per_call`,
		Mechanism: "`claim.Ledger` at every entry",
	},
	{
		Role: "Claims: at most once", What: "time between two appends of an instance", Resource: Seconds,
		Formula:   `instances / appends_per_s`,
		Mechanism: "each process has an equal share of the log's limit; a claim waits for its process's next append",
		Limit:     2, LimitName: "`claim_timeout_ms`",
	},
	{
		Role: "Claims: at most once", What: "entries in one append", Resource: Count,
		Formula:   `max(1, 2 * protected_per_s / appends_per_s)`,
		Mechanism: "group commit", Limit: 64 << 10 / 151, LimitName: "a record of 64 KiB",
	},
	{
		Role: "The platform's log", What: "appends wanted without group commit", Resource: Rate,
		Formula: `leaders * renewals_per_s + 2 * protected_per_s + rule_changes_per_s +` +
			` 2 * role_changes_per_s * records_per_change + crashes_per_s`,
		Mechanism: "one log for all", Limit: 300, LimitName: "the log's appends a second",
	},
	{
		Role: "The platform's log", What: "reads served", Resource: Rate,
		Formula: `processes_an_instance * instances * (idle_reads_per_s + min(appends_per_s, leaders * renewals_per_s +` +
			` 2 * protected_per_s))`,
		Mechanism: "each process's long poll is answered at each append",
	},
	{
		Role: "The platform's log", What: "bytes served", Resource: Traffic, Serving: true,
		Formula:   `processes_an_instance * instances * ` + journalBytes,
		Mechanism: "every process reads everything",
	},
	{
		Role: "Audit", What: "trail", Resource: Memory,
		Formula:   `at("audit.trail.bytes", trail_records)`,
		Mechanism: "`audit.Trail`: the latest 1,000 records",
	},
	{
		Role: "Audit", What: "records to a reader", Resource: Traffic,
		Formula:   `(role_changes_per_s * records_per_change + rule_changes_per_s) * audit.record.bytes_per_record`,
		Mechanism: "through the journal; rules' records follow from their fold",
	},
	{
		Role: "Audit", What: "records read", Resource: Messages,
		Formula:   `role_changes_per_s * records_per_change + rule_changes_per_s`,
		Mechanism: "as above",
	},
	{
		Role: "Audit", What: "folding", Resource: CPU,
		Formula:   `(role_changes_per_s * records_per_change + rule_changes_per_s) * audit.fold.ns_per_record`,
		Mechanism: "`audit.Trail`",
	},
	{
		Role: "Audit", What: "time that the trail covers", Resource: Seconds, Serving: true,
		Formula:   `trail_records / (role_changes_per_s * records_per_change + rule_changes_per_s)`,
		Mechanism: "then the log's retention is all that is left",
	},
	{
		Role: "Quarantine", What: "suspects", Resource: Memory,
		Formula:   `at("quarantine.state.bytes", crashes_per_s * streams / engines * 600)`,
		Mechanism: "`quarantine.State`, kept 10 minutes",
	},
	{
		Role: "Quarantine", What: "crash reports to a reader", Resource: Traffic,
		Formula:   journalCrashes,
		Mechanism: "one report an entry with work there; here as one",
	},
	{
		Role: "Quarantine", What: "folding", Resource: CPU,
		Formula:   `crashes_per_s * streams / engines * quarantine.fold.ns_per_suspect`,
		Mechanism: "`quarantine.State`",
	},
	{
		Role: "Quarantine", What: "a look at each request", Resource: CPU, Serving: true,
		Formula:   `requests_per_s / instances * quarantine.check.ns_per_candidate`,
		Mechanism: "`Guard.Check`; suspects alone are asked about for each candidate",
	},
}
