package capacity

// The parts of the journal's traffic, in bytes a second at each reader: records
// as the codec makes them, with what a read adds to each.
const (
	journalRenewals = "leaders * renewals_per_s * (lease.renewal.bytes_per_renewal + log.read.bytes_per_record)"
	journalClaims   = "protected_per_s * claim.entries.bytes_per_call"
	journalRules    = "rule_changes_per_s * at(\"rules.publication.bytes\", rule_count)"
	journalOrders   = "role_changes_per_s * records_per_change * (orders.change.bytes_per_record + audit.record.bytes_per_record)"
	journalCrashes  = "crashes_per_s * at(\"quarantine.crash.bytes\", streams / engines)"
	journalBytes    = "(" + journalRenewals + " + " + journalClaims + " + " + journalRules + " + " +
		journalOrders + " + " + journalCrashes + ")"
	journalEntries = "(leaders * renewals_per_s + 2 * protected_per_s + rule_changes_per_s + " +
		"2 * role_changes_per_s * records_per_change + crashes_per_s)"
)

// sharedRows are what every instance has of membership and journal.
var sharedRows = []Row{
	{
		Role: "Membership", What: "state", Resource: Memory,
		Formula:   `at("membership.state.bytes", instances)`,
		Mechanism: "`membership.Machine` knows every instance",
	},
	{
		Role: "Membership", What: "connections within the data centre", Resource: Memory,
		Formula:   `wire.link.bytes_per_link * (dc_instances - 1)`,
		Mechanism: "`wire.Links`: one outgoing and one incoming connection a peer",
	},
	{
		Role: "Membership", What: "heartbeats, out and in", Resource: Traffic,
		Formula:   `2 * beats_per_s * (dc_instances - 1) * wire.heartbeat.bytes_per_heartbeat`,
		Mechanism: "everybody to everybody within a data centre",
	},
	{
		Role: "Membership", What: "summaries in", Resource: Traffic,
		Formula:   `summaries_per_s * (data_centres - 1) * at("wire.summary.bytes", dc_instances)`,
		Mechanism: "one summary of each other data centre a second, handed on",
	},
	{
		Role: "Membership", What: "summaries out, the instance that hands them on", Resource: Traffic,
		Formula:   `summaries_per_s * (data_centres - 1) * dc_instances * at("wire.summary.bytes", dc_instances)`,
		Mechanism: "the receiver of a data centre sends each summary to all others in its own",
	},
	{
		Role: "Membership", What: "messages, out and in", Resource: Messages,
		Formula:   `2 * beats_per_s * (dc_instances - 1) + summaries_per_s * (data_centres - 1)`,
		Mechanism: "as above",
	},
	{
		Role: "Membership", What: "beats: deciding", Resource: CPU,
		Formula:   `beats_per_s * at("membership.beat.ns", dc_instances)`,
		Mechanism: "`Machine.Tick` and `ReceiveHeartbeat`",
	},
	{
		Role: "Membership", What: "beats: codec and sockets", Resource: CPU,
		Formula:   `beats_per_s * (dc_instances - 1) * wire.heartbeat.ns_per_heartbeat`,
		Mechanism: "one sent and one received a peer and beat, which is what the slope holds",
	},
	{
		Role: "Membership", What: "summaries", Resource: CPU,
		Formula: `summaries_per_s * (data_centres - 1) * (at("membership.summary.ns", dc_instances)` +
			` + wire.summary170.ns_per_summary * dc_instances / 170)`,
		Mechanism: "`Machine.ReceiveSummary` and the codec",
	},
	{
		Role: "Journal reading", What: "both programs' reads", Resource: Traffic,
		Formula:   `processes_an_instance * (` + journalBytes + ` + idle_reads_per_s * log.idle.bytes_per_poll)`,
		Mechanism: "`journal.Journal`: every process reads the whole log",
	},
	{
		Role: "Journal reading", What: "reads and their answers", Resource: Messages,
		Formula:   `2 * processes_an_instance * (idle_reads_per_s + min(appends_per_s, leaders * renewals_per_s + 2 * protected_per_s))`,
		Mechanism: "one long poll at a time, answered at each append",
	},
	{
		Role: "Journal reading", What: "decoding and known IDs", Resource: CPU,
		Formula:   `processes_an_instance * ` + journalEntries + ` * journal.read.ns_per_entry`,
		Mechanism: "`journal` reader and deduper",
	},
	{
		Role: "Journal reading", What: "known IDs", Resource: Memory,
		Formula:   `processes_an_instance * min(max_known_ids, 2 * retention_s * ` + journalEntries + `) * journal.known.bytes_per_entry`,
		Mechanism: "two generations of the retention",
	},
	{
		Role: "Journal reading", What: "a start reads the whole retention", Resource: Seconds,
		Formula:   `retention_s * ` + journalEntries + ` * (journal.read.ns_per_entry + claim.fold.ns_per_call / 2) / 1e9`,
		Mechanism: "processor time of one start, on one core", Limit: 13, LimitName: "13 s to be in force",
	},
	{
		Role: "Rules: distribution and match", What: "publications to a reader", Resource: Traffic,
		Formula:   journalRules,
		Mechanism: "each change carries the whole document, compressed",
	},
	{
		Role: "Rules: distribution and match", What: "publications", Resource: Messages,
		Formula:   `rule_changes_per_s`,
		Mechanism: "within the journal's reads",
	},
	{
		Role: "Rules: distribution and match", What: "compiling each change", Resource: CPU,
		Formula:   `rule_changes_per_s * at("rules.fold.ns", rule_count)`,
		Mechanism: "`rules.Book`: every entry compiles every version whole",
	},
	{
		Role: "Rules: distribution and match", What: "set in force", Resource: Memory,
		Formula:   `at("rules.set.bytes", rule_count)`,
		Mechanism: "`rules.Set`",
	},
	{
		Role: "Rules: distribution and match", What: "match of a request", Resource: CPU, Serving: true,
		Formula:   `requests_per_s / instances * at("rules.match.ns", rule_count)`,
		Mechanism: "`Set.Match`, the last rule",
	},
	{
		Role: "Rules: distribution and match", What: "changes in the time that one has", Resource: Count,
		Formula:   `rule_changes_per_s * 13`,
		Mechanism: "changes in the 13 s that one has to be in force; above 1 editors race each other", Limit: 1, LimitName: "one change under way",
	},
}
