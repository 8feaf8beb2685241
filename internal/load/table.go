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

// ReadTrials reads the figures of all trials in a folder and those below it.
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

// group is what trials are compared within.
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

// row is one policy's trials in a group.
type row struct {
	policy string
	trials []Trial
}

// rows sorts trials into groups and, within these, by policy.
func rows(trials []Trial) map[group][]row {
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

// median returns the middle of a figure over the row's trials.
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

// spread returns the least and the greatest of a figure.
func (r row) spread(of func(Summary) float64) (least, most float64) {
	least, most = of(r.trials[0].Summary), of(r.trials[0].Summary)
	for _, t := range r.trials {
		v := of(t.Summary)
		least, most = min(least, v), max(most, v)
	}
	return least, most
}

func goodput(s Summary) float64 { return s.Goodput }
func changes(s Summary) float64 { return float64(s.RoleChanges) }

// inTime is the share of all requests that were answered whole and in time.
func inTime(s Summary) float64 {
	if s.Requests == 0 {
		return 0
	}
	return float64(s.Complete-s.Late) / float64(s.Requests)
}

// PrintTable writes the figures of all trials: medians over the seeds, with
// the spread of the goodput.
func PrintTable(w io.Writer, trials []Trial) error {
	byGroup := rows(trials)
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

// printPhases writes the figures of each phase of each policy's first trial.
func printPhases(w io.Writer, rs []row) {
	fmt.Fprintln(w, "policy\tphase\tasked/s\tgoodput/s\tshort in time\t")
	for _, r := range rs {
		for _, p := range r.trials[0].Summary.Phases {
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.3f\t\n", r.policy, p.Name, p.RequestRate, p.Goodput, p.ShortInTime)
		}
	}
	fmt.Fprintln(w)
}

func printRow(w io.Writer, r row) {
	least, most := r.spread(goodput)
	of := func(f func(Summary) float64) float64 { return r.median(f) }
	fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.3f\t%.0f\t\n",
		r.policy, len(r.trials), of(goodput), least, most,
		of(func(s Summary) float64 { return s.GoodputTokens }),
		of(inTime),
		of(func(s Summary) float64 { return float64(s.NotRun) }),
		of(func(s Summary) float64 { return float64(s.Late) }),
		of(func(s Summary) float64 { return float64(s.Unknown) }),
		of(func(s Summary) float64 { return float64(s.WrongAnswer) }),
		of(func(s Summary) float64 { return s.FirstTokenP50 }),
		of(func(s Summary) float64 { return s.FirstTokenP95 }),
		of(func(s Summary) float64 { return s.TokenGapP50 }),
		of(func(s Summary) float64 { return s.TokenGapP95 }),
		of(func(s Summary) float64 { return s.ShortInTime }),
		of(changes))
}
