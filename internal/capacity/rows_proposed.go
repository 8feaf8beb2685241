package capacity

import "strings"

// proposedRows are mechanisms that aren't built: what would carry the target,
// worked out from today's slopes. Their sizes are in the scenario's values.
var proposedRows = withSum([]Row{
	proposed("reports: the own share of the data centre's engines", Traffic,
		`dc_engines / dc_instances * shared_polls_per_s * engine.load.bytes_per_poll`,
		"each instance asks its share of the engines and tells the others"),
	proposed("reports: digests of a subset of engines", Traffic,
		`shared_polls_per_s * (subset_engines * digest_bytes + subset_engines * dc_instances / dc_engines * frame_bytes)`,
		"an instance routes to a subset of engines and hears of those alone"),
	proposed("connections to a subset of engines", Memory,
		`subset_engines * process.entry_engines.bytes_per_engine`,
		"instead of to every engine"),
	proposed("heartbeats within a group", Traffic,
		`2 * group_beats_per_s * (group_instances - 1) * wire.heartbeat.bytes_per_heartbeat`,
		"groups of about the root of a data centre's instances"),
	proposed("changes of groups and data centres", Traffic,
		`starts_per_s * 2 * wire.summary.bytes_per_member + group_beats_per_s * (data_centres - 1 + dc_instances / group_instances) * frame_bytes`,
		"changes alone, and a digest of each group and data centre every 2 s"),
	proposed("leases of groups of engines, the own data centre's", Traffic,
		`dc_engines / lease_engines * long_renewals_per_s * (lease.renewal.bytes_per_renewal + log.read.bytes_per_record)`,
		"a lease a group of engines, a longer term; the journal's relay leaves out other data centres' renewals"),
	proposed("appends of all leases", Rate,
		`engines / lease_engines * long_renewals_per_s`,
		"as above, over all data centres"),
	proposed("rules: one changed rule", Traffic,
		`rule_changes_per_s * (at("rules.publication.bytes", 5) + rules.document.bytes_per_rule)`,
		"sections with versions of their own, as a difference"),
	proposed("rules: compiling one rule", CPU,
		`rule_changes_per_s * at("rules.fold.ns", 5)`,
		"as above"),
	proposed("orders and their audit, the own region's", Traffic,
		`role_changes_per_s * records_per_change * (orders.change.bytes_per_record + audit.record.bytes_per_record) / regions`,
		"relayed within the region that they concern"),
	proposed("protected calls: a recorder's share", Traffic,
		`protected_per_s / instances * claim.entries.bytes_per_call * recorder_copies`,
		"recorders by key range within a region batch claims; each range has so many readers"),
	proposed("protected calls: keys of a recorder", Memory,
		`protected_per_s * remember_s / instances * recorder_copies * claim.ledger.bytes_per_key`,
		"as above"),
	proposed("protected calls: appends", Rate,
		`regions * recorder_appends_per_s`,
		"each region's recorders hand batches on through one writer"),
	proposed("drains: statuses on demand", Traffic,
		`role_changes_per_s * 10 * pushes_per_s * frame_bytes * 2 + models * digest_bytes`,
		"only of engines that are drained, summed up within a data centre; demand once a second"),
	proposed("engines' states", Traffic,
		`dc_engines / dc_instances * 0.1 * engine.state.bytes_per_read`,
		"the leader of a few engines reads them every 10 s, more often only during a change"),
	proposed("discovery: at most 8 addresses, kept for 30 s", Traffic,
		`callers / 30 / instances * at("discovery.answer.bytes", 8)`,
		"a sample of the nearest"),
})

// withSum adds the sum of the traffic.
func withSum(rows []Row) []Row {
	var parts []string
	for _, r := range rows {
		if r.Resource == Traffic {
			parts = append(parts, r.Formula)
		}
	}
	return append(rows, proposed("traffic of all proposals", Traffic, strings.Join(parts, " + "), "the sum of the above"))
}

func proposed(what string, r Resource, formula, mechanism string) Row {
	row := Row{Role: "Proposed, not built", What: what, Resource: r, Formula: formula, Mechanism: mechanism, Proposed: true}
	if r == Rate {
		row.Limit, row.LimitName = 300, "the log's appends a second"
	}
	return row
}
