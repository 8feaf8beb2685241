package capacity

// wholeProcess is a program's use by the slopes of the real processes: those by
// engines were measured with 3 instances in one data centre, which had one
// leader. Instances count as they do within one data centre, but for the given
// kind of instance.
func wholeProcess(role, unit, instances string) string {
	return "process." + role + "_engines." + unit + "_base + process." + role + "_engines." + unit + "_per_engine * engines" +
		" + max(0, process." + role + "_instances." + unit + "_per_instance) * (" + instances + " - 3)"
}

// What the slopes of traffic don't have.
const (
	// elsewhere: list rows of services and the renewals of the other leaders.
	elsewhere = " + list_polls_per_s * list.poll.bytes_per_row * services" +
		" + (leaders - 1) * renewals_per_s * (lease.renewal.bytes_per_renewal + log.read.bytes_per_record)"
	// entryElsewhere: list rows of other data centres' instances, statuses to
	// the other leaders, summaries.
	entryElsewhere = elsewhere +
		" + list_polls_per_s * list.poll.bytes_per_row * (instances - dc_instances)" +
		" + (leaders - 1) * (process.leader_instances.bytes_per_s_per_instance - list_polls_per_s * list.poll.bytes_per_row)" +
		" + summaries_per_s * (data_centres - 1) * at(\"wire.summary.bytes\", dc_instances)"
	// leaderElsewhere: a leader doesn't read the states of other data centres'
	// engines.
	leaderElsewhere = elsewhere + " - (engines - dc_engines) * state_reads_per_s * engine.state.bytes_per_read"
)

// deployments are the means of today's deployments as they are.
func deployments(role, unit string) []string {
	return []string{"process." + role + "_kalku_rinda." + unit, "process." + role + "_regnbrunnur." + unit}
}

// processRows are the programs whole, idle.
var processRows = []Row{
	wholeRow("entry", "chute-entry", CPU, "ns_per_s", "dc_instances", ""),
	wholeRow("entry", "chute-entry", Traffic, "bytes_per_s", "dc_instances", entryElsewhere),
	wholeRow("entry", "chute-entry", Memory, "bytes", "dc_instances", ""),
	wholeRow("leader", "chute-controller that leads", CPU, "ns_per_s", "instances", ""),
	wholeRow("leader", "chute-controller that leads", Traffic, "bytes_per_s", "instances", leaderElsewhere),
	wholeRow("leader", "chute-controller that leads", Memory, "bytes", "instances", ""),
	wholeRow("follower", "chute-controller that follows", CPU, "ns_per_s", "instances", ""),
	wholeRow("follower", "chute-controller that follows", Traffic, "bytes_per_s", "instances", elsewhere),
	wholeRow("follower", "chute-controller that follows", Memory, "bytes", "instances", ""),
	instanceRow(CPU, "ns_per_s", "", ""),
	instanceRow(Traffic, "bytes_per_s", entryElsewhere, leaderElsewhere),
	instanceRow(Memory, "bytes", "", ""),
	{
		Role: "Whole programs", What: "log: appends a second, idle", Resource: Rate,
		Formula: "leaders * renewals_per_s", Mechanism: "each leader renews its scopes in one append",
		Limit: 300, LimitName: "the log's appends a second", Today: deployments("log", "per_s"),
	},
	{
		Role: "Entry: streams", What: "requests and tokens of an entry", Resource: Messages, Serving: true,
		Formula: "(requests_per_s + tokens_per_s) / instances", Mechanism: "one event a token to the caller, one line from the engine",
	},
	{
		Role: "Entry: streams", What: "chute-entry, serving", Resource: CPU, Serving: true,
		Formula: "requests_per_s / instances * process.entry_tokens.ns_base" +
			" + tokens_per_s / instances * process.entry_tokens.ns_per_token",
		Mechanism: "streamed requests through the real entry, HTTP included",
	},
	{
		Role: "Entry: streams", What: "chute-entry, open streams", Resource: Memory, Serving: true,
		Formula:   "streams / instances * process.entry_streams.bytes_per_stream",
		Mechanism: "as resident memory",
	},
}

func wholeRow(role, program string, r Resource, unit, instances, more string) Row {
	return Row{
		Role: "Whole programs", What: program + ", idle", Resource: r,
		Formula: wholeProcess(role, unit, instances) + more, Mechanism: "all of its parts together", Today: deployments(role, unit),
	}
}

// instanceRow is an entry and a leader together, as one instance runs them.
func instanceRow(r Resource, unit, entryMore, leaderMore string) Row {
	var today []string
	for i, entry := range deployments("entry", unit) {
		today = append(today, entry+" + "+deployments("leader", unit)[i])
	}
	return Row{
		Role: "Whole programs", What: "both programs of an instance that leads, idle", Resource: r,
		Formula: wholeProcess("entry", unit, "dc_instances") + entryMore +
			" + " + wholeProcess("leader", unit, "instances") + leaderMore,
		Mechanism: "what the budget is for", Today: today,
	}
}
