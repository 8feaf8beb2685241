package capacity

// lossRows are what the loss of a whole data centre, or an hour of parting, asks
// of the rest.
var lossRows = []Row{
	{
		Role: "A lost data centre", What: "streams broken off at its engines", Resource: Count, Serving: true,
		Formula:   `streams * dc_engines / engines`,
		Mechanism: "each goes on at another engine with its text so far",
	},
	{
		Role: "A lost data centre", What: "requests suspected of it", Resource: Count,
		Formula:   `streams * dc_engines / engines`,
		Mechanism: "`crash.Watch` takes each dead engine by itself: all in flight there are suspects",
		Limit:     4096, LimitName: "`quarantine.Config.MaxDigests`",
	},
	{
		Role: "A lost data centre", What: "crash reports", Resource: Count, Serving: true,
		Formula:   `dc_engines * min(instances, streams / engines)`,
		Mechanism: "each entry reports each engine that it had work on",
	},
	{
		Role: "A lost data centre", What: "crash reports to each reader", Resource: Memory, Serving: true,
		Formula:   `dc_engines * min(instances, streams / engines) * at("quarantine.crash.bytes", 1)`,
		Mechanism: "through the journal",
	},
	{
		Role: "A lost data centre", What: "appends of the reports take", Resource: Seconds,
		Formula:   `min(instances, dc_engines * streams / engines) / appends_per_s`,
		Mechanism: "one append an instance; claims wait meanwhile",
		Limit:     2, LimitName: "`claim_timeout_ms`",
	},
	{
		Role: "A lost data centre", What: "callers sent elsewhere after", Resource: Seconds, Serving: true,
		Formula:   `summary_fresh_s + keep_s`,
		Mechanism: "the summaries stop counting, then the callers' answers",
	},
	{
		Role: "A lost data centre", What: "requests a second of one entry, instead", Resource: Rate, Serving: true,
		Formula:   `requests_per_s / (instances - dc_instances)`,
		Mechanism: "the other data centres' entries",
	},
	{
		Role: "A lost data centre", What: "its instances' starts read", Resource: Memory, Serving: true,
		Formula:   `dc_instances * processes_an_instance * retention_s * ` + journalBytes,
		Mechanism: "each start reads the whole retention from the one log",
	},
	{
		Role: "Regions parted for an hour", What: "protected calls refused in one region", Resource: Count, Serving: true,
		Formula:   `protected_per_s / regions * 3600`,
		Mechanism: "without the log a protected call is refused as not run",
	},
	{
		Role: "Regions parted for an hour", What: "as a share of the log's retention", Resource: Count,
		Formula:   `3600 / retention_s`,
		Mechanism: "beyond 1 the region comes back with a gap, and waits for checkpoints",
		Limit:     1, LimitName: "the retention",
	},
}
