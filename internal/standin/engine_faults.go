package standin

import "tamarackchute/internal/standin/oracle"

// EngineFaults are an engine's faults.
type EngineFaults struct {
	NetworkFaults
	// Freeze stops all work and all answers.
	Freeze bool `json:"freeze"`
	// SlowFactor above 1 makes each step longer.
	SlowFactor float64 `json:"slow_factor"`
	// Poison is the marker in a prompt that crashes the engine when it gets to
	// work on it; empty for none.
	Poison string `json:"poison"`
	// RestartMillis is how long a crash lasts that names no time of its own.
	RestartMillis int `json:"restart_ms"`
	// Crash crashes it now, once. CrashInChange crashes it halfway through
	// changes.
	Crash             *Crash  `json:"crash"`
	CrashDuringChange Trigger `json:"crash_in_change"`
	// Refuse answers a generate that it was not run.
	Refuse Trigger `json:"refuse"`
	// CloseGenerate takes a generate in and closes its connection without
	// answering.
	CloseGenerate Trigger `json:"close_generate"`
	// BreakStream breaks a stream's connection before token BreakAt; the
	// engine goes on.
	BreakStream Trigger `json:"break_stream"`
	BreakAt     int     `json:"break_at"`
	// CrossAnswers names another attempt in a generate's response.
	WrongAttemptID Trigger `json:"cross_answers"`
	// SilentLoad answers load reports with an error.
	FailLoadReports bool `json:"silent_load"`
	// LoseOrderReply takes an order and closes the connection.
	LoseOrderReply Trigger `json:"lose_order_reply"`
	// LateOrder closes the connection and takes the order LateOrderMillis
	// later.
	DelayOrder       Trigger `json:"late_order"`
	OrderDelayMillis int     `json:"late_order_ms"`
	// FailExports answers requests for KV cache with an error, so that the
	// importing engine works through the prompt itself.
	FailExports Trigger `json:"fail_exports"`
}

func newEngineFaults() EngineFaults {
	return EngineFaults{
		SlowFactor:    1,
		Poison:        oracle.PoisonMarker,
		RestartMillis: defaultRestartMillis,
	}
}

// EngineCounters are an engine's counters. Tokens and times are as on the
// clock, with the scale in them.
type EngineCounters struct {
	Requests      int64 `json:"requests"`
	Completed     int64 `json:"completed"`
	RefusedNotRun int64 `json:"refused_not_run"`
	Cancelled     int64 `json:"cancelled"`
	// Abandoned streams lost their reader and nobody took them up.
	Abandoned  int64 `json:"abandoned"`
	Resumed    int64 `json:"resumed"`
	ResumeGone int64 `json:"resume_gone"`
	// WrongPrior counts requests whose prior text is not the beginning of the
	// answer.
	WrongPrior         int64 `json:"wrong_prior"`
	Steps              int64 `json:"steps"`
	Tokens             int64 `json:"tokens"`
	PromptTokens       int64 `json:"prompt_tokens"`
	PrefilledTokens    int64 `json:"prefilled_tokens"`
	PrefillMicros      int64 `json:"prefill_us"`
	DecodeMicros       int64 `json:"decode_us"`
	ChangeMillis       int64 `json:"change_ms"`
	KVExports          int64 `json:"kv_exports"`
	KVImports          int64 `json:"kv_imports"`
	KVImportsFailed    int64 `json:"kv_imports_failed"`
	KVImportBytes      int64 `json:"kv_import_bytes"`
	Crashes            int64 `json:"crashes"`
	InterruptedByCrash int64 `json:"cut_by_crash"`
	// CutByOrder counts answers that an order cut off while somebody waited
	// for them.
	InterruptedByOrder int64 `json:"cut_by_order"`
	RoleChanges        int64 `json:"role_changes"`
	Orders             int64 `json:"orders"`
	FailedOrders       int64 `json:"failed_orders"`
	// ConflictingOrders came while another order was carried out.
	ConflictingOrders int64 `json:"conflicting_orders"`
	RepeatedOrders    int64 `json:"repeated_orders"`
	FencedOrders      int64 `json:"fenced_orders"`
	// OutdatedOrdersTaken had an outdated fencing number and were obeyed, by
	// an engine that doesn't check.
	OutdatedOrdersAccepted int64 `json:"outdated_orders_taken"`
	// WorkAfterLeaving counts requests that came more than 3 s after the list
	// showed the engine as leaving.
	WorkAfterTermination int64 `json:"work_after_leaving"`
}
