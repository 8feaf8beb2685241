package load

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of the plots, and the number of buckets of those over time.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	buckets    = 60
)

// WritePlots draws two plots per group of trials: the goodput over time of each policy's first
// trial, and the median goodput of each policy as bars.
func WritePlots(folder string, trials []Trial) error {
	for g, rows := range groupRows(trials) {
		name := strings.NewReplacer(", ", "-", " ", "-").Replace(g.String())
		if err := plotSeries(filepath.Join(folder, name+"-over-time.png"), g, rows); err != nil {
			return err
		}
		if err := plotBars(filepath.Join(folder, name+"-goodput.png"), g, rows); err != nil {
			return err
		}
	}
	return nil
}

func plotSeries(path string, g group, rows []row) error {
	p := plot.New()
	p.Title.Text = "Goodput over time: " + g.String()
	p.X.Label.Text = "share of the run"
	p.Y.Label.Text = "complete responses within the deadline, 1/s"
	p.Legend.Top = true
	var lines []any
	for _, r := range rows {
		points, err := goodputOverTime(r.trials[0])
		if err != nil {
			return err
		}
		lines = append(lines, r.policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return eris.Wrap(err, "plot")
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}

func plotBars(path string, g group, rows []row) error {
	p := plot.New()
	p.Title.Text = "Goodput, median of the seeds: " + g.String()
	p.Y.Label.Text = "complete responses within the deadline, 1/s"
	p.Y.Min = 0
	values := make(plotter.Values, len(rows))
	names := make([]string, len(rows))
	for i, r := range rows {
		values[i], names[i] = r.median(goodput), r.policy
	}
	bars, err := plotter.NewBarChart(values, vg.Centimeter)
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	bars.Color = plotutil.Color(2)
	p.Add(bars)
	p.NominalX(names...)
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}

// The columns of a trial's results that the plots use.
const (
	columnAt      = "at_ms"
	columnOutcome = "outcome"
	columnLate    = "late"
	columnClass   = "class"
)

// goodputOverTime returns a trial's complete model responses within the deadline per second, by
// the time at which the requests were due.
func goodputOverTime(t Trial) (plotter.XYs, error) {
	f, err := os.Open(filepath.Join(t.folder, "requests.csv"))
	if err != nil {
		return nil, eris.Wrap(err, "plot")
	}
	defer func() { _ = f.Close() }()
	table, err := csv.NewReader(f).ReadAll()
	if err != nil || len(table) < 2 {
		return nil, eris.Errorf("plot: no results in %s: %v", t.folder, err)
	}
	column := map[string]int{}
	for i, name := range table[0] {
		column[name] = i
	}
	points := make(plotter.XYs, buckets)
	last, _ := strconv.ParseFloat(table[len(table)-1][column[columnAt]], 64)
	width := (last + 1) / buckets
	for i := range points {
		points[i].X = (float64(i) + 0.5) / buckets
	}
	for _, r := range table[1:] {
		class := r[column[columnClass]]
		if r[column[columnOutcome]] != string(Complete) || r[column[columnLate]] == "true" ||
			class == ClassProtected || class == ClassLookup {
			continue
		}
		at, _ := strconv.ParseFloat(r[column[columnAt]], 64)
		points[int(at/width)].Y += 1000 / width
	}
	return points, nil
}
