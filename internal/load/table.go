package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// ReadTrials reads all trials in a folder and its subfolders.
func ReadTrials(folder string) ([]Trial, error) {
	var out []Trial
	err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.Name() != trialFile {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var t Trial
		if err := json.Unmarshal(text, &t); err != nil {
			return eris.Wrap(err, path)
		}
		t.folder = filepath.Dir(path)
		out = append(out, t)
		return nil
	})
	return out, eris.Wrap(err, "trials")
}

// group identifies trials that are compared with each other.
type group struct {
	deployment, mix string
	faults          bool
}

func (t Trial) group() group { return group{t.Deployment, t.Mix, t.Faults} }

func (g group) String() string {
	faults := "no faults"
	if g.faults {
		faults = "with faults"
	}
	return g.deployment + ", " + g.mix + ", " + faults
}

// row holds one policy's trials in a group.
type row struct {
	policy string
	trials []Trial
}

// groupRows sorts trials into groups and, within these, by policy.
func groupRows(trials []Trial) map[group][]row {
	out := map[group][]row{}
	for _, t := range trials {
		g := t.group()
		i := slices.IndexFunc(out[g], func(r row) bool { return r.policy == t.Policy })
		if i < 0 {
			i = len(out[g])
			out[g] = append(out[g], row{policy: t.Policy})
		}
		out[g][i].trials = append(out[g][i].trials, t)
	}
	for _, rs := range out {
		slices.SortFunc(rs, func(a, b row) int { return strings.Compare(a.policy, b.policy) })
	}
	return out
}

// median returns the median of a value over the row's trials.
func (r row) median(of func(Summary) float64) float64 {
	values := make([]float64, len(r.trials))
	for i, t := range r.trials {
		values[i] = of(t.Summary)
	}
	slices.Sort(values)
	n := len(values)
	if n == 0 {
		return 0
	}
	return (values[(n-1)/2] + values[n/2]) / 2
}

// valueRange returns the minimum and maximum of a value over the row's trials.
func (r row) valueRange(of func(Summary) float64) (least, most float64) {
	least, most = of(r.trials[0].Summary), of(r.trials[0].Summary)
	for _, t := range r.trials {
		v := of(t.Summary)
		least, most = min(least, v), max(most, v)
	}
	return least, most
}

func goodput(s Summary) float64 { return s.Goodput }
func changes(s Summary) float64 { return float64(s.RoleChanges) }

// withinDeadlineShare is the share of all requests with a complete response within the deadline.
func withinDeadlineShare(s Summary) float64 {
	if s.Requests == 0 {
		return 0
	}
	return float64(s.Complete-s.Late) / float64(s.Requests)
}

// PrintTable prints a table of all trials: medians over the seeds, and the range of the goodput.
func PrintTable(w io.Writer, trials []Trial) error {
	byGroup := groupRows(trials)
	groups := make([]group, 0, len(byGroup))
	for g := range byGroup {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(a.String(), b.String()) })
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, g := range groups {
		fmt.Fprintf(tab, "%s\n", g)
		fmt.Fprintln(tab, "policy\tseeds\tgoodput/s\tleast\tmost\ttokens/s\tin time\trefused\tlate\tunknown\twrong\tfirst p50\tp95 ms\tgap p50\tp95 ms\tshort in time\tchanges\t")
		for _, r := range byGroup[g] {
			printRow(tab, r)
		}
		fmt.Fprintln(tab)
		if g.mix == MixOverload {
			printPhases(tab, byGroup[g])
		}
	}
	return eris.Wrap(tab.Flush(), "table")
}

// printPhases prints each phase of each policy's first trial.
func printPhases(w io.Writer, rows []row) {
	fmt.Fprintln(w, "policy\tphase\tasked/s\tgoodput/s\tshort in time\t")
	for _, r := range rows {
		for _, p := range r.trials[0].Summary.Phases {
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.3f\t\n", r.policy, p.Name, p.RequestRate, p.Goodput, p.ShortWithinDeadline)
		}
	}
	fmt.Fprintln(w)
}

func printRow(w io.Writer, r row) {
	least, most := r.valueRange(goodput)
	of := func(f func(Summary) float64) float64 { return r.median(f) }
	fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.3f\t%.0f\t\n",
		r.policy, len(r.trials), of(goodput), least, most,
		of(func(s Summary) float64 { return s.GoodputTokens }),
		of(withinDeadlineShare),
		of(func(s Summary) float64 { return float64(s.NotRun) }),
		of(func(s Summary) float64 { return float64(s.Late) }),
		of(func(s Summary) float64 { return float64(s.Unknown) }),
		of(func(s Summary) float64 { return float64(s.WrongResponse) }),
		of(func(s Summary) float64 { return s.FirstTokenP50 }),
		of(func(s Summary) float64 { return s.FirstTokenP95 }),
		of(func(s Summary) float64 { return s.TokenGapP50 }),
		of(func(s Summary) float64 { return s.TokenGapP95 }),
		of(func(s Summary) float64 { return s.ShortWithinDeadline }),
		of(changes))
}
