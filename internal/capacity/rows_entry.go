package capacity

// entryRows are what one entry instance learns and tells.
var entryRows = []Row{
	{
		Role: "Entry: routing state", What: "upstreams known", Resource: Memory,
		Formula:   `at("router.state.bytes", upstreams)`,
		Mechanism: "`router.Tracker`: every entry knows every upstream",
	},
	{
		Role: "Entry: routing state", What: "prefix index (KV affinity)", Resource: Memory,
		Formula:   `min(max_prefix_blocks, prompt_tokens_per_s / block_tokens * 300) * router.prefix.bytes_per_block`,
		Mechanism: "`router.PrefixIndex`, bounded by `CacheBlocks`; blocks of the last 5 minutes would be worth keeping",
	},
	{
		Role: "Entry: routing state", What: "load reports and empty polls for cache events", Resource: Traffic,
		Formula:   `engines * report_polls_per_s * (engine.load.bytes_per_poll + engine.no_events.bytes_per_poll)`,
		Mechanism: "each entry asks each engine (`engineFeed`)",
	},
	{
		Role: "Entry: routing state", What: "messages of it", Resource: Messages,
		Formula:   `engines * report_polls_per_s * 2 * 2`,
		Mechanism: "question and answer, twice a poll",
	},
	{
		Role: "Entry: routing state", What: "cache events", Resource: Traffic,
		Formula:   `2 * prompt_tokens_per_s / block_tokens * engine.events.bytes_per_event`,
		Mechanism: "each entry reads all engines' events; each block is stored and dropped once",
	},
	{
		Role: "Entry: routing state", What: "taking cache events in", Resource: CPU,
		Formula:   `2 * prompt_tokens_per_s / block_tokens * router.prefix_events.ns_per_event`,
		Mechanism: "`PrefixIndex.apply`",
	},
	{
		Role: "Entry: routing state", What: "taking reports in", Resource: CPU,
		Formula:   `engines * report_polls_per_s * at("router.report.ns", upstreams)`,
		Mechanism: "`Tracker.SetReport`, without the HTTP calls (see the real processes)",
	},
	{
		Role: "Entry: routing state", What: "sums for admission and rules", Resource: CPU,
		Formula:   `capacity_sums_per_s * at("router.capacity.ns", upstreams)`,
		Mechanism: "`capacityFeed`: walks all upstreams",
	},
	{
		Role: "Entry: routing state", What: "snapshot made anew at role changes", Resource: CPU,
		Formula:   `role_changes_per_s * at("router.rebuild.ns", upstreams)`,
		Mechanism: "`Tracker.SetRole` indexes all upstreams",
	},
	{
		Role: "Entry: the platform's list", What: "both programs' polls", Resource: Traffic,
		Formula:   `processes_an_instance * list_polls_per_s * at("list.poll.bytes", listed)`,
		Mechanism: "`listFeed` and `controller.Presence` read the whole list",
	},
	{
		Role: "Entry: the platform's list", What: "polls and their answers", Resource: Messages,
		Formula:   `2 * processes_an_instance * list_polls_per_s`,
		Mechanism: "as above",
	},
	{
		Role: "Entry: the platform's list", What: "decoding and taking in", Resource: CPU,
		Formula: `list_polls_per_s * (processes_an_instance * at("list.decode.ns", listed)` +
			` + at("router.list.ns", listed) + at("membership.list.ns", listed))`,
		Mechanism: "JSON, `Tracker.SetList`, `Machine.ReadList`",
	},
	{
		Role: "Entry: discovery", What: "answers to callers", Resource: Traffic,
		Formula:   `callers / keep_s / instances * at("discovery.answer.bytes", instances)`,
		Mechanism: "`discovery.Directory` names every live instance; each caller asks once in `keep_s`",
	},
	{
		Role: "Entry: discovery", What: "questions and answers", Resource: Messages,
		Formula:   `2 * callers / keep_s / instances`,
		Mechanism: "as above",
	},
	{
		Role: "Entry: discovery", What: "making the answers", Resource: CPU,
		Formula:   `callers / keep_s / instances * at("discovery.answer.ns", instances)`,
		Mechanism: "`Directory.Where` and JSON",
	},
	{
		Role: "Entry: discovery", What: "addresses by data centre", Resource: Memory,
		Formula:   `discovery.state.bytes_per_instance / 10 * data_centres * instances`,
		Mechanism: "`Directory.near`: all instances once a data centre (the slope is for 10)",
	},
	{
		Role: "Entry: admission", What: "full queue", Resource: Memory, Serving: true,
		Formula:   `max_queued * admission.waiting.bytes_per_request`,
		Mechanism: "`admission.Controller`, bounded by `max_queued`",
	},
	{
		Role: "Entry: admission", What: "shares and rates of organisations", Resource: Memory,
		Formula: `min(organisations, max_organisations) * (models * admission.organisations.bytes_per_organisation` +
			` + admission.limits.bytes_per_organisation)`,
		Mechanism: "LRU of `MaxOrganisations`; whoever falls out starts with a full bucket. Each entry by itself: no messages",
	},
	{
		Role: "Entry: requests", What: "one request: match, check, admit, pick, book", Resource: CPU, Serving: true,
		Formula: `requests_per_s / instances * (at("rules.match.ns", rule_count) + quarantine.check.ns_per_candidate` +
			` + admission.acquire.ns_base + at("router.pick.ns", candidates) + router.books.ns_base)`,
		Mechanism: "the decisions alone, without HTTP and streams",
	},
	{
		Role: "Entry: requests", What: "tokens' books", Resource: CPU, Serving: true,
		Formula:   `tokens_per_s / instances * router.books.ns_per_token`,
		Mechanism: "`Ticket.Tokens`",
	},
	{
		Role: "Entry: requests", What: "judging the queue anew", Resource: CPU, Serving: true,
		Formula:   `10 * max_queued * admission.sweep.ns_per_waiting`,
		Mechanism: "`Controller.Sweep` ten times a second, full queue",
	},
	{
		Role: "Entry: status to the leaders", What: "statuses and acknowledgements", Resource: Traffic,
		Formula:   `pushes_per_s * leaders * (at("wire.status.bytes", min(engines, streams / instances)) + wire.ack.bytes_per_ack)`,
		Mechanism: "`status.pusher`: each entry to every leader, all engines with work",
	},
	{
		Role: "Entry: status to the leaders", What: "messages of it", Resource: Messages,
		Formula:   `2 * pushes_per_s * leaders`,
		Mechanism: "a status and its acknowledgement",
	},
	{
		Role: "Entry: status to the leaders", What: "making and sending them", Resource: CPU,
		Formula:   `pushes_per_s * leaders * wire.status.ns_per_status`,
		Mechanism: "msgpack, code and TCP; both ends are in the slope (30 engines with work)",
	},
}
