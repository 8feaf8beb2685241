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
	for _, r := range w.Results {
		p.printf(" %s |", show(r, w.Resource))
	}
	p.printf(" %s | %s |\n", bound(w), w.Mechanism)
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

// digits gives a number with three significant digits and no exponent.
func digits(v float64) string {
	if v == 0 {
		return "0"
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
	default:
		v := w.Breaks.Values
		return fmt.Sprintf("%s×, breaks at %s instances / %s upstreams",
			digits(w.Share), digits(math.Floor(v["instances"])), digits(math.Floor(v["upstreams"])))
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

// nearest lists the rows with the greatest shares of their bounds.
func (p *page) nearest(all []Worked) {
	p.printf("\n### The rows nearest their bounds\n\n| size | rows, with their value as a share of the bound |\n|---|---|\n")
	for i, s := range Scenarios {
		var names []string
		for _, at := range nearestIn(all, i) {
			w := all[at]
			names = append(names, fmt.Sprintf("%d. %s: %s, %s×", at+1, w.Role, w.What, digits(w.shareIn(i))))
		}
		p.printf("| %s | %s |\n", s.Name, strings.Join(names, "<br>"))
	}
}

// nearestIn returns the places of the rows nearest their bounds in a scenario.
func nearestIn(all []Worked, scenario int) []int {
	var places []int
	for i, w := range all {
		if _, ok := w.limit(); ok {
			places = append(places, i)
		}
	}
	slices.SortFunc(places, func(a, b int) int {
		return cmp.Compare(all[b].shareIn(scenario), all[a].shareIn(scenario))
	})
	return places[:min(nearestRows, len(places))]
}

func (w Worked) shareIn(scenario int) float64 {
	limit, _ := w.limit()
	return w.Results[scenario].Value / limit
}
