package rules_test

import (
	"fmt"

	"tamarackchute/rules"
)

func ExampleParse() {
	set, err := rules.Parse([]byte(`{"rules": [
	  // Bookings run at most once.
	  {"name": "bookings", "when": "method == \"POST\" && path startsWith \"/bookings\"",
	   "then": {"pool": "booking", "protected": true, "deadline_ms": 5000}},
	  {"name": "full", "when": "load > 2 && header(\"X-Rush\") == \"\"",
	   "then": {"refuse": {"status": 429, "reason": "only rush requests for now"}}},
	  {"name": "rest", "when": "model == \"agronomy\"", "then": {"pool": "engines"}},
	]}`), rules.KnownNames{Pools: []string{"booking", "engines"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(set.Match(rules.Request{Method: "POST", Path: "/bookings/7"}).Rule)
	fmt.Println(set.Match(rules.Request{Model: "agronomy", Load: 2.5}).Then.Refuse.Reason)
	fmt.Println(set.Match(rules.Request{Model: "agronomy"}).Then.Pool)
	fmt.Println(set.Match(rules.Request{Path: "/"}).Then.Refuse.Reason)

	_, err = rules.Parse([]byte(`{"rules": [{"name": "a", "when": "modle == 3", "then": {"pool": "x"}}]}`), rules.KnownNames{})
	fmt.Println(err)
	// Output:
	// bookings
	// only rush requests for now
	// engines
	// no rule matches
	// invalid rules: line 1, column 35: rule "a": when: unknown name modle
}
