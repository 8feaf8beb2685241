package rolepolicy

// BestSplit returns the split of so many engines that serves most of a demand,
// and the share that it serves. best are an engine's rates in the role for
// each kind of work; the other roles follow the prior shares. Among equal
// splits it takes the one with the most capacity left over.
func BestSplit(engines int, best, demand Rates) (Split, float64) {
	table := scaledPrior(best)
	// Twice the demand tells apart the splits that serve all of it.
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

// Served is the share of a demand that the split serves, by the capacity
// model.
func (s Split) Served(best, demand Rates) float64 {
	table := scaledPrior(best)
	return table.served(counts{prefill: s.Prefill, decode: s.Decode, mixed: s.Mixed}, demand)
}

// scaledPrior is the rate table of an engine with these best rates.
func scaledPrior(best Rates) rateTable {
	var table rateTable
	for r := range roleCount {
		table[r].Prefill = priorTable[r].Prefill * best.Prefill
		table[r].Decode = priorTable[r].Decode * best.Decode
	}
	return table
}
