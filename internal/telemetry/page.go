package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// Page is a tally reporter that stores the current values of all metrics and writes
// them in the Prometheus text format. It is safe for concurrent use.
type Page struct {
	mu     sync.Mutex
	series map[string]*series
}

// series is one time series, which is one line of the page.
type series struct {
	name, labels string
	kind         seriesKind
	// bits holds an int64 sum for counters and the bits of a float64 for gauges.
	bits atomic.Uint64
}

type seriesKind uint8

const (
	counterSeries seriesKind = iota
	gaugeSeries
)

// NewPage returns an empty page.
func NewPage() *Page { return &Page{series: map[string]*series{}} }

// Capabilities implements tally.BaseStatsReporter.
func (p *Page) Capabilities() tally.Capabilities { return p }

// Reporting implements tally.Capabilities: the page accepts values.
func (p *Page) Reporting() bool { return true }

// Tagging implements tally.Capabilities: the page supports tags.
func (p *Page) Tagging() bool { return true }

// Flush does nothing: values are stored as soon as they are reported.
func (p *Page) Flush() {}

// AllocateCounter returns the series of a counter.
func (p *Page) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return p.lookup(name, tags, counterSeries)
}

// AllocateGauge returns the series of a gauge.
func (p *Page) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return p.lookup(name, tags, gaugeSeries)
}

// AllocateTimer returns the two series of a timer: the sum in microseconds and the
// count.
func (p *Page) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return timerSeries{
		sum:   p.lookup(name+"_us_sum", tags, counterSeries),
		count: p.lookup(name+"_count", tags, counterSeries),
	}
}

// AllocateHistogram returns a histogram with one series for each bucket.
func (p *Page) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return histogramSeries{page: p, name: name, tags: tags}
}

// WriteTo writes the page, sorted by name and labels.
func (p *Page) WriteTo(w io.Writer) (int64, error) {
	var buf bytes.Buffer
	lastName := ""
	for _, s := range p.sorted() {
		if s.name != lastName {
			fmt.Fprintf(&buf, "# TYPE %s %s\n", s.name, s.kind)
			lastName = s.name
		}
		fmt.Fprintf(&buf, "%s%s %s\n", s.name, s.labels, s.value())
	}
	return buf.WriteTo(w)
}

func (p *Page) sorted() []*series {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*series, 0, len(p.series))
	for _, s := range p.series {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].name != list[j].name {
			return list[i].name < list[j].name
		}
		return list[i].labels < list[j].labels
	})
	return list
}

// lookup returns the series with the given name and tags, which it creates if needed.
func (p *Page) lookup(name string, tags map[string]string, kind seriesKind) *series {
	labels := formatLabels(tags)
	p.mu.Lock()
	defer p.mu.Unlock()
	key := name + labels
	if s, ok := p.series[key]; ok {
		return s
	}
	s := &series{name: name, labels: labels, kind: kind}
	p.series[key] = s
	return s
}

// ReportCount implements tally.CachedCount.
func (s *series) ReportCount(value int64) { s.bits.Add(uint64(value)) }

// ReportGauge implements tally.CachedGauge.
func (s *series) ReportGauge(value float64) { s.bits.Store(math.Float64bits(value)) }

// ReportSamples implements tally.CachedHistogramBucket.
func (s *series) ReportSamples(value int64) { s.bits.Add(uint64(value)) }

func (s *series) value() string {
	if s.kind == gaugeSeries {
		return strconv.FormatFloat(math.Float64frombits(s.bits.Load()), 'g', -1, 64)
	}
	return strconv.FormatInt(int64(s.bits.Load()), 10)
}

// String returns the name of the kind in the Prometheus text format.
func (k seriesKind) String() string {
	if k == gaugeSeries {
		return "gauge"
	}
	return "counter"
}

type timerSeries struct{ sum, count *series }

// ReportTimer implements tally.CachedTimer.
func (t timerSeries) ReportTimer(d time.Duration) {
	t.sum.ReportCount(d.Microseconds())
	t.count.ReportCount(1)
}

type histogramSeries struct {
	page *Page
	name string
	tags map[string]string
}

// ValueBucket returns the series of a bucket of plain values.
func (h histogramSeries) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return h.bucket(strconv.FormatFloat(upper, 'g', -1, 64))
}

// DurationBucket returns the series of a bucket of durations.
func (h histogramSeries) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	return h.bucket(upper.String())
}

func (h histogramSeries) bucket(upTo string) *series {
	tags := make(map[string]string, len(h.tags)+1)
	for k, v := range h.tags {
		tags[k] = v
	}
	// Unlike the buckets of Prometheus histograms, these aren't cumulative.
	tags["up_to"] = upTo
	return h.page.lookup(h.name+"_bucket", tags, counterSeries)
}

// formatLabels formats tags sorted by name, so that equal tags give equal labels.
func formatLabels(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	names := make([]string, 0, len(tags))
	for name := range tags {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	b.WriteByte('{')
	for i, name := range names {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", name, tags[name])
	}
	b.WriteByte('}')
	return b.String()
}
