package capacity

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// LineKind says what a line of the CSV file holds.
type LineKind string

// The kinds of line.
const (
	KindSlope LineKind = "slope"
	KindBase  LineKind = "base"
	// KindPoint is the mean at one size.
	KindPoint LineKind = "point"
	// KindMean is the mean over a deployment as it is, nothing varied.
	KindMean LineKind = "mean"
)

// Line is one measured figure.
type Line struct {
	ID   string
	Kind LineKind
	Unit Unit
	Figure
	// Sizes are those that the figure rests on, Rounds how often each was
	// measured, R2 how well the line fits (slopes only).
	Sizes  []int
	Rounds int
	R2     float64
	Method Method
}

// Lines returns an experiment's figures as lines.
func (e Experiment) Lines(s Samples) []Line {
	f := s.Fit()
	line := func(id string, k LineKind, v Figure, sizes []int) Line {
		return Line{ID: id, Kind: k, Unit: e.Unit, Figure: v, Sizes: sizes, Rounds: len(s.Rounds), Method: e.Method}
	}
	slope := line(e.SlopeID(), KindSlope, f.Slope, e.Sizes)
	slope.R2 = f.R2
	lines := []Line{slope, line(e.BaseID(), KindBase, f.Base, e.Sizes)}
	for i, size := range e.Sizes {
		lines = append(lines, line(e.PointID(size), KindPoint, f.Points[i], []int{size}))
	}
	return lines
}

var header = []string{"id", "kind", "unit", "value", "low", "high", "r2", "rounds", "sizes", "method"}

// The places of the header's columns.
const (
	columnID = iota
	columnKind
	columnUnit
	columnValue
	columnLow
	columnHigh
	columnR2
	columnRounds
	columnSizes
	columnMethod
)

// WriteLines writes the lines as CSV.
func WriteLines(w io.Writer, lines []Line) error {
	out := csv.NewWriter(w)
	if err := out.Write(header); err != nil {
		return err
	}
	for _, l := range lines {
		if err := out.Write(l.row()); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func (l Line) row() []string {
	sizes := make([]string, len(l.Sizes))
	for i, n := range l.Sizes {
		sizes[i] = strconv.Itoa(n)
	}
	r2 := ""
	if l.Kind == KindSlope {
		r2 = strconv.FormatFloat(l.R2, 'f', 4, 64)
	}
	return []string{
		l.ID, string(l.Kind), string(l.Unit), short(l.Value), short(l.Low), short(l.High),
		r2, strconv.Itoa(l.Rounds), strings.Join(sizes, " "), string(l.Method),
	}
}

// significant is the number of digits kept in the CSV file.
const significant = 5

func short(v float64) string { return strconv.FormatFloat(v, 'g', significant, 64) }

// ReadLines reads what WriteLines wrote.
func ReadLines(r io.Reader) ([]Line, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 || !slices.Equal(rows[0], header) {
		return nil, eris.New("the CSV file has another header")
	}
	lines := make([]Line, 0, len(rows)-1)
	for _, row := range rows[1:] {
		l, err := parseRow(row)
		if err != nil {
			return nil, eris.Wrapf(err, "line %s", row[columnID])
		}
		lines = append(lines, l)
	}
	return lines, nil
}

func parseRow(row []string) (Line, error) {
	l := Line{
		ID: row[columnID], Kind: LineKind(row[columnKind]),
		Unit: Unit(row[columnUnit]), Method: Method(row[columnMethod]),
	}
	numbers := []struct {
		column int
		into   *float64
	}{
		{columnValue, &l.Value}, {columnLow, &l.Low}, {columnHigh, &l.High}, {columnR2, &l.R2},
	}
	var err error
	for _, n := range numbers {
		if n.column == columnR2 && row[columnR2] == "" {
			continue
		}
		if *n.into, err = strconv.ParseFloat(row[n.column], 64); err != nil {
			return l, err
		}
	}
	if l.Rounds, err = strconv.Atoi(row[columnRounds]); err != nil {
		return l, err
	}
	for _, field := range strings.Fields(row[columnSizes]) {
		size, err := strconv.Atoi(field)
		if err != nil {
			return l, err
		}
		l.Sizes = append(l.Sizes, size)
	}
	return l, nil
}

// String gives the line as text: the value and its interval.
func (l Line) String() string {
	text := fmt.Sprintf("%-46s %12s  [%s, %s] %s", l.ID, short(l.Value), short(l.Low), short(l.High), l.Unit)
	if l.Kind == KindSlope {
		text += fmt.Sprintf(", R² %.4f", l.R2)
	}
	return text
}
