package capacity

// controllerRows are what a controller does.
var controllerRows = []Row{
	{
		Role: "Controller: leader", What: "state of engines and orders", Resource: Memory,
		Formula:   `at("orders.state.bytes", engines) + at("role.state.bytes", engines)`,
		Mechanism: "`orders.View` over all engines, the policy's picture",
	},
	{
		Role: "Controller: leader", What: "statuses of entries", Resource: Memory,
		Formula:   `at("controller.statuses.bytes", instances)`,
		Mechanism: "`controller.Statuses` (30 engines with work each)",
	},
	{
		Role: "Controller: leader", What: "statuses in, acknowledgements out", Resource: Traffic,
		Formula:   `instances * pushes_per_s * (at("wire.status.bytes", min(engines, streams / instances)) + wire.ack.bytes_per_ack)`,
		Mechanism: "every entry to every leader",
	},
	{
		Role: "Controller: leader", What: "statuses: codec and sockets", Resource: CPU,
		Formula:   `instances * pushes_per_s * wire.status.ns_per_status`,
		Mechanism: "both ends are in the slope (30 engines with work)",
	},
	{
		Role: "Controller: leader", What: "engines' states read", Resource: Traffic,
		Formula:   `dc_engines * state_reads_per_s * engine.state.bytes_per_read`,
		Mechanism: "`Executor`: each engine of the data centre, always",
	},
	{
		Role: "Controller: leader", What: "load reports", Resource: Traffic,
		Formula:   `engines * load_polls_per_s * engine.load.bytes_per_poll`,
		Mechanism: "`controller.Loads`: each leader asks every engine",
	},
	{
		Role: "Controller: leader", What: "messages", Resource: Messages,
		Formula:   `2 * (instances * pushes_per_s + dc_engines * state_reads_per_s + engines * load_polls_per_s)`,
		Mechanism: "as above",
	},
	{
		Role: "Role decision", What: "decision: engines", Resource: CPU,
		Formula:   `decisions_per_s * at("role.decide.ns", engines)`,
		Mechanism: "`rolepolicy.Gain` over the engines of all data centres",
	},
	{
		Role: "Role decision", What: "decision: rows of demand", Resource: CPU,
		Formula:   `decisions_per_s * instances * models * role.demand.ns_per_row`,
		Mechanism: "one row an entry and model",
	},
	{
		Role: "Controller: leader", What: "drains", Resource: CPU,
		Formula:   `role_changes_per_s / data_centres * 10 * 10 * at("controller.drained.ns", instances)`,
		Mechanism: "`Statuses.Drained` ten times a second over a drain of 10 s",
	},
	{
		Role: "Controller: follower", What: "orders folded", Resource: CPU,
		Formula:   `role_changes_per_s * records_per_change * at("orders.fold.ns", engines)`,
		Mechanism: "`orders.View` copies the map of all engines at each record",
	},
	{
		Role: "Controller: follower", What: "leases folded", Resource: CPU,
		Formula:   `leaders * renewals_per_s * at("lease.fold.ns", scopes)`,
		Mechanism: "`lease.View` copies the map of all scopes",
	},
	{
		Role: "Controller: follower", What: "leases", Resource: Memory,
		Formula:   `at("lease.state.bytes", scopes)`,
		Mechanism: "`lease.View`",
	},
}
