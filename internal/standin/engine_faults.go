package standin

import "tamarackchute/internal/standin/oracle"

// EngineFaults are the faults of an engine.
type EngineFaults struct {
	NetworkFaults
	// Freeze stops all steps and all responses.
	Freeze bool `json:"freeze"`
	// SlowFactor above 1 makes each step longer.
	SlowFactor float64 `json:"slow_factor"`
	// Poison is a marker: a prompt that contains it crashes the engine during its prefill.
	// Empty disables it.
	Poison string `json:"poison"`
	// RestartMillis is the downtime of a crash that doesn't set its own.
	RestartMillis int `json:"restart_ms"`
	// Crash crashes the engine at once; the field is then cleared. CrashDuringChange
	// crashes it halfway through an order.
	Crash             *Crash  `json:"crash"`
	CrashDuringChange Trigger `json:"crash_in_change"`
	// Refuse answers a generate or prefill request that it was not run.
	Refuse Trigger `json:"refuse"`
	// CloseGenerate accepts a generate request and closes its connection without a
	// response.
	CloseGenerate Trigger `json:"close_generate"`
	// BreakStream breaks the connection of a stream before token BreakAt, counted from the
	// first token of the attempt; the engine continues to decode.
	BreakStream Trigger `json:"break_stream"`
	BreakAt     int     `json:"break_at"`
	// WrongAttemptID names another attempt in the response to a generate request.
	WrongAttemptID Trigger `json:"cross_answers"`
	// FailLoadReports answers requests for load reports with an error.
	FailLoadReports bool `json:"silent_load"`
	// LoseOrderReply accepts an order and closes the connection without a response.
	LoseOrderReply Trigger `json:"lose_order_reply"`
	// DelayOrder closes the connection and executes the order OrderDelayMillis later.
	DelayOrder       Trigger `json:"late_order"`
	OrderDelayMillis int     `json:"late_order_ms"`
	// FailExports answers requests for a KV cache with an error, so that the importing
	// engine prefills the prompt itself.
	FailExports Trigger `json:"fail_exports"`
}

func newEngineFaults() EngineFaults {
	return EngineFaults{
		SlowFactor:    1,
		Poison:        oracle.PoisonMarker,
		RestartMillis: defaultRestartMillis,
	}
}

// EngineCounters are the counters of an engine. Times are on the clock, after scaling.
type EngineCounters struct {
	Requests      int64 `json:"requests"`
	Completed     int64 `json:"completed"`
	RefusedNotRun int64 `json:"refused_not_run"`
	Cancelled     int64 `json:"cancelled"`
	// Abandoned counts streams that lost their reader and were not resumed.
	Abandoned int64 `json:"abandoned"`
	Resumed   int64 `json:"resumed"`
	// ResumeGone counts resumes that were refused because the stream is unknown or no
	// longer available.
	ResumeGone int64 `json:"resume_gone"`
	// WrongPrior counts requests whose prior text is not the beginning of the expected
	// completion.
	WrongPrior      int64 `json:"wrong_prior"`
	Steps           int64 `json:"steps"`
	Tokens          int64 `json:"tokens"`
	PromptTokens    int64 `json:"prompt_tokens"`
	PrefilledTokens int64 `json:"prefilled_tokens"`
	PrefillMicros   int64 `json:"prefill_us"`
	DecodeMicros    int64 `json:"decode_us"`
	ChangeMillis    int64 `json:"change_ms"`
	KVExports       int64 `json:"kv_exports"`
	KVImports       int64 `json:"kv_imports"`
	KVImportsFailed int64 `json:"kv_imports_failed"`
	KVImportBytes   int64 `json:"kv_import_bytes"`
	// WrongKV counts imports of another prompt's KV cache.
	WrongKV            int64 `json:"wrong_kv"`
	Crashes            int64 `json:"crashes"`
	InterruptedByCrash int64 `json:"cut_by_crash"`
	// InterruptedByOrder counts responses that an order interrupted while a caller waited
	// for them.
	InterruptedByOrder int64 `json:"cut_by_order"`
	RoleChanges        int64 `json:"role_changes"`
	Orders             int64 `json:"orders"`
	FailedOrders       int64 `json:"failed_orders"`
	// ConflictingOrders counts orders that arrived while another was being executed.
	ConflictingOrders int64 `json:"conflicting_orders"`
	RepeatedOrders    int64 `json:"repeated_orders"`
	FencedOrders      int64 `json:"fenced_orders"`
	// OutdatedOrdersAccepted counts orders with an outdated fencing token that were
	// executed, by an engine that doesn't check tokens.
	OutdatedOrdersAccepted int64 `json:"outdated_orders_taken"`
	// WorkAfterTermination counts requests that arrived more than 3 s after the list showed
	// the engine as terminating.
	WorkAfterTermination int64 `json:"work_after_leaving"`
}
