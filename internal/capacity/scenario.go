package capacity

// Scenario is the size of a deployment and of its work, by the names that
// formulas use.
type Scenario struct {
	Name   string
	Values map[string]float64
}

const secondsPerDay = 86400

// common holds what is alike in all scenarios: the times of the programs and
// the sample settings.
var common = map[string]float64{
	"list_polls_per_s":      2,    // entry and controller each: listEvery, listPoll
	"report_polls_per_s":    2,    // entry: reportEvery
	"load_polls_per_s":      1,    // leader: pace of change_s 4
	"state_reads_per_s":     2,    // leader: slowestRead
	"pushes_per_s":          2,    // entry: pushEvery
	"capacity_sums_per_s":   4,    // entry: capacityEvery
	"beats_per_s":           2,    // membership.DefaultBeat
	"summaries_per_s":       1,    // membership.DefaultSummaryEvery
	"renewals_per_s":        1,    // settings: renew_s
	"idle_reads_per_s":      0.5,  // journal's long poll
	"decisions_per_s":       1,    // leader: pace
	"appends_per_s":         300,  // settings: platform.appends_per_s
	"retention_s":           3600, // settings: platform.retention_s
	"remember_s":            1800, // settings: protected.remember_s
	"keep_s":                5,    // settings: discovery.keep_s
	"records_per_change":    4,    // draining, drained, ordered, confirmed
	"heap_overhead":         2,    // Go collects at twice the live heap
	"max_prefix_blocks":     131072,
	"max_known_ids":         1048576, // two generations of 524,288
	"max_keys":              500000,
	"trail_records":         1000,
	"block_tokens":          16,
	"kv_bytes_per_token":    50000, // router.DefaultConfig
	"max_queued":            4096,
	"max_organisations":     4096,
	"claim_timeout_s":       2,
	"summary_fresh_s":       4, // membership.DefaultSummaryFresh
	"processes_an_instance": 2,

	// Sizes of the proposals that aren't built.
	"shared_polls_per_s":     0.5,
	"subset_engines":         64,
	"digest_bytes":           24,
	"frame_bytes":            60,
	"group_instances":        14,
	"group_beats_per_s":      0.5,
	"lease_engines":          69,
	"long_renewals_per_s":    0.1,
	"recorder_copies":        3,
	"recorder_appends_per_s": 20,
	"regions":                5,
}

// KalkuRinda, Regnbrunnur and Target are the sizes of docs/CAPACITY.md. The
// work of today's two isn't in their settings and is assumed; the page says so.
var (
	KalkuRinda = newScenario("Kaļķu Rinda", map[string]float64{
		"instances": 7, "data_centres": 3, "dc_instances": 3, "engines": 8, "services": 3, "dc_engines": 3,
		"scopes": 3, "models": 1, "candidates": 8, "rule_count": 5, "organisations": 24, "callers": 100,
		"requests_per_s": 10, "tokens_per_s": 3000, "streams": 108, "prompt_tokens_per_s": 6000,
		"protected_per_s": 2, "rule_changes_per_s": 10. / secondsPerDay, "role_changes_per_s": 200. / secondsPerDay,
		"crashes_per_s": 1. / secondsPerDay, "starts_per_s": 7. / secondsPerDay,
	})
	Regnbrunnur = newScenario("Regnbrunnur", map[string]float64{
		"instances": 7, "data_centres": 4, "dc_instances": 2, "engines": 11, "services": 4, "dc_engines": 3,
		"scopes": 4, "models": 1, "candidates": 11, "rule_count": 6, "organisations": 24, "callers": 100,
		"requests_per_s": 10, "tokens_per_s": 3000, "streams": 108, "prompt_tokens_per_s": 6000,
		"protected_per_s": 2, "rule_changes_per_s": 10. / secondsPerDay, "role_changes_per_s": 100. / secondsPerDay,
		"crashes_per_s": 1. / secondsPerDay, "starts_per_s": 7. / secondsPerDay,
	})
	Target = newScenario("target", map[string]float64{
		"instances": 1700, "data_centres": 10, "dc_instances": 170, "engines": 6900, "services": 0, "dc_engines": 690,
		"scopes": 10, "models": 6, "candidates": 1150, "rule_count": 300, "organisations": 47000, "callers": 47000,
		"requests_per_s": 75_000, "tokens_per_s": 22e6, "streams": 22e6 * 0.036, "prompt_tokens_per_s": 13000e9 / 50000,
		"protected_per_s": 750, "rule_changes_per_s": 12000. / secondsPerDay,
		"role_changes_per_s": 2 * 0.16 * 6900 / secondsPerDay,
		"crashes_per_s":      160. / secondsPerDay, "starts_per_s": (160. + 1500) / secondsPerDay,
	})
	// Scenarios are in the order of the page's columns.
	Scenarios = []Scenario{KalkuRinda, Regnbrunnur, Target}
)

func newScenario(name string, own map[string]float64) Scenario {
	values := map[string]float64{}
	for k, v := range common {
		values[k] = v
	}
	for k, v := range own {
		values[k] = v
	}
	values["upstreams"] = values["engines"] + values["services"]
	values["listed"] = values["instances"] + values["upstreams"]
	values["leaders"] = values["data_centres"]
	return Scenario{Name: name, Values: values}
}

// Between returns the scenario on the straight way from a to b: a at 0, b at 1.
func Between(a, b Scenario, way float64) Scenario {
	values := map[string]float64{}
	for k, v := range a.Values {
		values[k] = v + way*(b.Values[k]-v)
	}
	return Scenario{Name: "between", Values: values}
}
