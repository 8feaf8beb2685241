package capacity

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// replacement says what would take the place of a mechanism that doesn't carry
// the target, and which interface of the code lets it.
type replacement struct {
	mechanism string
	// rows are the whats of the rows that show it.
	rows []string
	by   string
	// through is the interface that stays.
	through string
}

var replacements = []replacement{
	{
		mechanism: "appends a second on one log",
		rows:      []string{"appends wanted without group commit", "time between two appends of an instance"},
		by: "a writer a region that batches its processes' entries: the equal share of the limit is what breaks first, " +
			"not the limit; then one log a region, with rules alone in the common one",
		through: "`journal.Writer`, which says nothing of who appends; `infra.Log`",
	},
	{
		mechanism: "protected calls at 75,000 requests a second",
		rows:      []string{"keys known at a time", "every entry reads every claim"},
		by: "recorders by key range within a region: entries ask them, they batch claims into the log and alone keep " +
			"their range's keys; a recorder's right is a lease",
		through: "`claim.Core` has no I/O and takes its entries from anybody; `claim.Journal`; `lease.Keeper` by scope",
	},
	{
		mechanism: "every daemon reads the whole journal, twice",
		rows:      []string{"both programs' reads", "known IDs", "reads served"},
		by: "a reader a data centre that hands records on, without what only other data centres need; one reader for " +
			"both programs of an instance",
		through: "`infra.Log` as the relay's two sides; `journal.Folder` by kind; positions stay those of the log",
	},
	{
		mechanism: "rules to 1,700 daemons",
		rows:      []string{"changes in the time that one has", "publications to a reader", "compiling each change"},
		by: "sections with versions of their own, changed by differences, so that editors of different sections don't " +
			"conflict; traffic and compiling carry the target as they are",
		through: "`rules.Move`, `rules.DiffDocuments`; `Book` folds by the base's version, which can name a section's",
	},
	{
		mechanism: "membership traffic",
		rows:      []string{"heartbeats, out and in", "summaries in", "summaries out, the instance that hands them on"},
		by:        "groups of about 14 within a data centre; changes alone between groups and data centres, with a digest that shows a loss",
		through:   "`membership.Machine` gives messages and takes messages; `membership.View` and discovery stay",
	},
	{
		mechanism: "KV affinity state",
		rows:      []string{"prefix index (KV affinity)", "cache events", "taking cache events in"},
		by: "each entry learns from its own requests and from the events of a subset of engines; callers of one organisation " +
			"are told the same few entries; a prefix's engines by rendezvous hashing beyond that",
		through: "`router.PrefixIndex` takes beliefs from events and from sends alike; `Request.PrefixBlocks`; `Scorer`",
	},
	{
		mechanism: "load reports and connections to every engine",
		rows:      []string{"load reports and empty polls for cache events", "chute-entry, idle", "load reports"},
		by: "each instance asks its share of its data centre's engines and hands digests on; it routes to a subset " +
			"of engines of its own and near data centres",
		through: "`Tracker.SetReport` says nothing of who asked; `NewTracker` takes any list of upstreams",
	},
	{
		mechanism: "entries' statuses to the leaders",
		rows:      []string{"statuses and acknowledgements", "statuses in, acknowledgements out", "statuses: codec and sockets"},
		by: "statuses only about engines that are drained, summed up within a data centre; demand summed up likewise, " +
			"once a second",
		through: "`controller.Statuses.Drained` and `Demand`; `wire.EntryStatus` may name fewer engines",
	},
	{
		mechanism: "one leader for all engines of a data centre",
		rows:      []string{"engines' states read", "messages"},
		by:        "leases for groups of engines, dealt out to the instances; longer terms, as fencing numbers guard against late orders",
		through:   "`controller.ScopeOf` names the scope of an engine; `lease` and `orders` take any number of scopes",
	},
	{
		mechanism: "the platform's list",
		rows:      []string{"both programs' polls", "decoding and taking in"},
		by: "one reader a data centre that hands changes on. It alone stays over its budget while the list has no " +
			"way to ask for changes: this needs the platform",
		through: "`infra.InstanceList`; `membership` already corrects the list faster than it is read",
	},
	{
		mechanism: "discovery",
		rows:      []string{"answers to callers"},
		by:        "at most 8 addresses, drawn from the nearest live ones, kept for 30 s",
		through:   "`discovery.Answer` holds any number of addresses; `Directory.Where`",
	},
	{
		mechanism: "the blast radius of a lost data centre",
		rows:      []string{"requests suspected of it", "appends of the reports take"},
		by: "a crash of many engines within seconds, or of an engine whose data centre is suspected, makes no suspects: " +
			"no single request can have crashed them all",
		through: "`crash.Guard.Crashed` gets every report, so a check in front of it needs no other change; `membership.View` knows a suspected data centre",
	},
}

// breaks writes where today's mechanisms break and what replaces them.
func (p *page) breaks(all []Worked) error {
	p.printf("\n### Where today's mechanisms break\n\n| mechanism | breaks (row) | what replaces it | what of the code stays |\n|---|---|---|---|\n")
	for _, r := range replacements {
		var places []string
		for _, what := range r.rows {
			at := -1
			for i, w := range all {
				if w.What == what && (at < 0 || w.Share > all[at].Share) {
					at = i
				}
			}
			if at < 0 {
				return eris.Errorf("no row is called %q", what)
			}
			places = append(places, fmt.Sprintf("%s (%d): %s", what, at+1, breakText(all[at])))
		}
		p.printf("| %s | %s | %s | %s |\n", r.mechanism, strings.Join(places, "<br>"), r.by, r.through)
	}
	return nil
}

// breakText says in words where a row reaches its bound.
func breakText(w Worked) string {
	switch {
	case w.Share == 0:
		return "has no bound, " + amount(w.Results[len(w.Results)-1].Value, w.Resource) + " at the target"
	case w.Breaks == nil:
		return "doesn't break, " + digits(100*w.Share) + "% at the target"
	case w.shareIn(0) > 1:
		return "over the target's budget today"
	default:
		return fmt.Sprintf("from %.0f instances and %.0f upstreams on", w.Breaks.Values["instances"], w.Breaks.Values["upstreams"])
	}
}
