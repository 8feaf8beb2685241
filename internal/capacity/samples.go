package capacity

import (
	"cmp"
	"encoding/csv"
	"errors"
	"io"
	"os"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// Sample is one value measured of real processes.
type Sample struct {
	// Role is the program's role: entry, leader, follower or log.
	Role string
	// Series says what was varied, such as instances, or names a deployment.
	Series string
	Size   int
	Unit   Unit
	Value  float64
}

// AppendSamples adds samples to a file.
func AppendSamples(name string, samples []Sample) error {
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	out := csv.NewWriter(file)
	for _, s := range samples {
		// Errors stay with the writer until the end.
		_ = out.Write([]string{s.Role, s.Series, strconv.Itoa(s.Size), string(s.Unit), short(s.Value)})
	}
	out.Flush()
	return errors.Join(out.Error(), file.Close())
}

// ReadSamples reads what AppendSamples wrote.
func ReadSamples(r io.Reader) ([]Sample, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, err
	}
	var all []Sample
	for _, row := range rows {
		s := Sample{Role: row[0], Series: row[1], Unit: Unit(row[3])}
		if s.Size, err = strconv.Atoi(row[2]); err != nil {
			return nil, err
		}
		if s.Value, err = strconv.ParseFloat(row[4], 64); err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// seriesOf names what one more of a series is.
var seriesOf = map[string]string{
	"instances": "instance",
	"engines":   "engine",
	"tokens":    "token",
	"streams":   "stream",
}

// sampleKey is what is fitted together.
type sampleKey struct {
	role, series string
	unit         Unit
}

// SampleLines fits the samples of each role, series and unit. A series that
// only names a deployment has means alone.
func SampleLines(samples []Sample) ([]Line, error) {
	bySize := map[sampleKey]map[int][]float64{}
	var keys []sampleKey
	for _, s := range samples {
		k := sampleKey{s.Role, s.Series, s.Unit}
		if bySize[k] == nil {
			bySize[k] = map[int][]float64{}
			keys = append(keys, k)
		}
		bySize[k][s.Size] = append(bySize[k][s.Size], s.Value)
	}
	var lines []Line
	for _, k := range keys {
		more, err := k.lines(bySize[k])
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func (k sampleKey) lines(values map[int][]float64) ([]Line, error) {
	var s Samples
	for size := range values {
		s.Sizes = append(s.Sizes, size)
	}
	slices.SortFunc(s.Sizes, cmp.Compare)
	rounds := len(values[s.Sizes[0]])
	for r := range rounds {
		row := make([]float64, len(s.Sizes))
		for i, size := range s.Sizes {
			if len(values[size]) != rounds {
				return nil, eris.Errorf("%s by %s: size %d has %d values, not %d", k.role, k.series, size, len(values[size]), rounds)
			}
			row[i] = values[size][r]
		}
		s.Rounds = append(s.Rounds, row)
	}
	e := Experiment{ID: "process." + k.role + "_" + k.series, Unit: k.unit, Method: MethodProcess, Sizes: s.Sizes}
	if k.role == roleLog {
		e.Method = MethodLog
	}
	per, varied := seriesOf[k.series]
	if !varied {
		return []Line{{
			ID: e.ID + "." + string(e.Unit), Kind: KindMean, Unit: e.Unit, Figure: s.mean(),
			Sizes: s.Sizes, Rounds: rounds, Method: e.Method,
		}}, nil
	}
	e.Per = per
	return e.Lines(s), nil
}
