package capacity

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// The tables stand between these marks in docs/CAPACITY.md.
const (
	beginTables = "<!-- tables: written by chute-capacity page -->\n"
	endTables   = "<!-- end of tables -->\n"
)

// ReplaceTables returns a document with the tables worked out anew.
func ReplaceTables(document string, m Measured) (string, error) {
	before, rest, found := strings.Cut(document, beginTables)
	_, after, closed := strings.Cut(rest, endTables)
	if !found || !closed {
		return "", eris.New("the document has no marks for the tables")
	}
	var b strings.Builder
	err := WriteTables(&b, m)
	return before + beginTables + b.String() + endTables + after, err
}

// WriteTables writes the rows nearest their bounds, a table for each role and
// the formulas, as Markdown. Rows are numbered, so that text can name them.
func WriteTables(w io.Writer, m Measured) error {
	worked, err := workAll(m)
	if err != nil {
		return err
	}
	p := &page{w: w}
	p.nearest(worked)
	if err := p.breaks(worked); err != nil {
		return err
	}
	for _, role := range rolesOf(worked) {
		p.heading(role)
		for i, row := range worked {
			if row.Role == role {
				p.row(i+1, row)
			}
		}
	}
	p.formulas(worked)
	return p.err
}

// rolesOf names the roles in the order in which rows first name them.
func rolesOf(worked []Worked) []string {
	var names []string
	for _, w := range worked {
		if !slices.Contains(names, w.Role) {
			names = append(names, w.Role)
		}
	}
	return names
}

func workAll(m Measured) ([]Worked, error) {
	var all []Worked
	for _, r := range Rows() {
		w, err := r.Work(m)
		if err != nil {
			return nil, err
		}
		all = append(all, w)
	}
	return all, nil
}

// page writes Markdown until the first error.
type page struct {
	w   io.Writer
	err error
}

func (p *page) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *page) heading(role string) {
	p.printf("\n### %s\n\n| | what | resource |", role)
	for _, s := range Scenarios {
		p.printf(" %s |", s.Name)
	}
	p.printf(" of the bound | carried by |\n|%s\n", strings.Repeat("---|", 5+len(Scenarios)))
}

func (p *page) row(number int, w Worked) {
	p.printf("| %d | %s | %s |", number, w.What, w.Resource)
	for i, r := range w.Results {
		p.printf(" %s |", w.cell(i, r))
	}
	p.printf(" %s | %s |\n", bound(w), w.Mechanism)
}

// cell gives a scenario's value: what was measured of the whole deployment
// first, if it was.
func (w Worked) cell(scenario int, r Result) string {
	switch {
	case scenario < len(w.Today):
		return fmt.Sprintf("%s m (%s)", amount(w.Today[scenario], w.Resource), show(r, w.Resource))
	case w.Proposed && scenario < len(w.Results)-1:
		return "–"
	default:
		return show(r, w.Resource)
	}
}

// show gives a result with its unit, and marks it m (measured at this size) or
// d (derived).
func show(r Result, of Resource) string {
	mark := " d"
	if r.Measured {
		mark = " m"
	}
	return amount(r.Value, of) + mark
}

// Unit steps of the page: 1 KB is 1,000 bytes.
const (
	kilo = 1e3
	mega = 1e6
	// nanosPercent is one percent of a core, in nanoseconds a second.
	nanosPercent = 1e7
)

func amount(v float64, of Resource) string {
	switch of {
	case Memory:
		return digits(v/mega) + " MB"
	case Traffic:
		return digits(v/kilo) + " KB/s"
	case CPU:
		return digits(v/nanosPercent) + "%"
	case Messages, Rate:
		return digits(v) + "/s"
	case Seconds:
		return digits(v) + " s"
	default:
		return digits(v)
	}
}

// least is the smallest amount that is shown as a number.
const least = 0.001

// digits gives a number with three significant digits and no exponent.
func digits(v float64) string {
	if v == 0 {
		return "0"
	}
	if math.Abs(v) < least {
		return "<0.001"
	}
	places := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if places <= 0 {
		return thousands(strconv.FormatFloat(v, 'f', 0, 64))
	}
	return strconv.FormatFloat(v, 'f', min(places, 5), 64)
}

func thousands(s string) string {
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

func bound(w Worked) string {
	switch {
	case w.Share == 0:
		return "–"
	case w.Breaks == nil:
		return digits(100*w.Share) + "%"
	case w.shareIn(0) > 1:
		return digits(w.Share) + "×, over it today"
	default:
		v := w.Breaks.Values
		return fmt.Sprintf("%s×, from %.0f instances / %.0f upstreams on", digits(w.Share), v["instances"], v["upstreams"])
	}
}

// formulas lists how each row was worked out.
func (p *page) formulas(all []Worked) {
	p.printf("\n### Formulas\n\n")
	for i, w := range all {
		p.printf("%d. `%s`", i+1, w.Formula)
		if w.LimitName != "" {
			p.printf("; bound: %s", w.LimitName)
		}
		p.printf("\n")
	}
}

// nearestRows is how many rows are named for each scenario.
const nearestRows = 3

// nearest lists the rows nearest below their bounds, and those furthest above.
func (p *page) nearest(all []Worked) {
	p.printf("\n### The rows nearest their bounds\n\n| size | nearest below | furthest above | rows above |\n|---|---|---|---|\n")
	for i, s := range Scenarios {
		below, above := bounded(all, i)
		p.printf("| %s | %s | %s | %d |\n", s.Name, named(all, below, i), named(all, above, i), len(above))
	}
}

// bounded returns the places of the rows below and above their bounds in a
// scenario, those with the greatest shares first.
func bounded(all []Worked, scenario int) (below, above []int) {
	for i, w := range all {
		if _, ok := w.limit(); !ok || w.Proposed {
			continue
		}
		if w.shareIn(scenario) > 1 {
			above = append(above, i)
		} else {
			below = append(below, i)
		}
	}
	byShare := func(a, b int) int { return cmp.Compare(all[b].shareIn(scenario), all[a].shareIn(scenario)) }
	slices.SortFunc(below, byShare)
	slices.SortFunc(above, byShare)
	return below, above
}

func named(all []Worked, places []int, scenario int) string {
	var names []string
	for _, at := range places[:min(nearestRows, len(places))] {
		w := all[at]
		names = append(names, fmt.Sprintf("%d. %s: %s, %s: %s×", at+1, w.Role, w.What, w.Resource, digits(w.shareIn(scenario))))
	}
	return strings.Join(names, "<br>")
}

func (w Worked) shareIn(scenario int) float64 {
	limit, _ := w.limit()
	if scenario < len(w.Today) {
		return w.Today[scenario] / limit
	}
	return w.Results[scenario].Value / limit
}
