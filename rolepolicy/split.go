package rolepolicy

// BestSplit returns the split of a number of engines that serves the largest share
// of a demand, and that share. best are an engine's rates in the best role for each
// kind of work; the rates in other roles follow from the prior table. Among equal
// splits it returns the one with the most spare capacity.
func BestSplit(engines int, best, demand Rates) (Split, float64) {
	table := scaledPrior(best)
	// Doubling the demand distinguishes between splits that serve all of it.
	double := Rates{Prefill: 2 * demand.Prefill, Decode: 2 * demand.Decode}
	var found counts
	most := -1.0
	for p := 0; p <= engines; p++ {
		for d := 0; d+p <= engines; d++ {
			c := counts{prefill: p, decode: d, mixed: engines - p - d}
			if share := table.served(c, double); share > most {
				most, found = share, c
			}
		}
	}
	split := Split{Prefill: found[prefill], Decode: found[decode], Mixed: found[mixed]}
	return split, table.served(found, demand)
}

// Served returns the share of a demand that the split serves according to the
// capacity model.
func (s Split) Served(best, demand Rates) float64 {
	table := scaledPrior(best)
	return table.served(counts{prefill: s.Prefill, decode: s.Decode, mixed: s.Mixed}, demand)
}

// scaledPrior returns the rate table of an engine with the given best rates.
func scaledPrior(best Rates) rateTable {
	var table rateTable
	for r := range roleCount {
		table[r].Prefill = priorTable[r].Prefill * best.Prefill
		table[r].Decode = priorTable[r].Decode * best.Decode
	}
	return table
}
