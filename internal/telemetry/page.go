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

// Page is a tally reporter that keeps the latest figures and writes them in
// the Prometheus text format. It is safe for use by several goroutines.
type Page struct {
	mu     sync.Mutex
	series map[string]*series
}

// series is one line of the page.
type series struct {
	name, labels string
	kind         seriesKind
	// bits holds an int64 sum for counters and a float64's bits for gauges.
	bits atomic.Uint64
}

type seriesKind uint8

const (
	counterSeries seriesKind = iota
	gaugeSeries
)

// NewPage returns an empty page.
func NewPage() *Page { return &Page{series: map[string]*series{}} }

// Capabilities says that the page takes tagged figures.
func (p *Page) Capabilities() tally.Capabilities { return p }

// Reporting reports that the page takes figures.
func (p *Page) Reporting() bool { return true }

// Tagging reports that the page keeps tags.
func (p *Page) Tagging() bool { return true }

// Flush does nothing: the page is always up to date.
func (p *Page) Flush() {}

// AllocateCounter returns the line of a counter.
func (p *Page) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return p.at(name, tags, counterSeries)
}

// AllocateGauge returns the line of a gauge.
func (p *Page) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return p.at(name, tags, gaugeSeries)
}

// AllocateTimer returns the two lines of a timer: its sum in microseconds and
// its count.
func (p *Page) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return timerSeries{
		sum:   p.at(name+"_us_sum", tags, counterSeries),
		count: p.at(name+"_count", tags, counterSeries),
	}
}

// AllocateHistogram returns the lines of a histogram, one a bucket.
func (p *Page) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return histogramSeries{page: p, name: name, tags: tags}
}

// WriteTo writes the page, its lines in order of name and labels.
func (p *Page) WriteTo(w io.Writer) (int64, error) {
	var buf bytes.Buffer
	last := ""
	for _, s := range p.sorted() {
		if s.name != last {
			fmt.Fprintf(&buf, "# TYPE %s %s\n", s.name, s.kind)
			last = s.name
		}
		fmt.Fprintf(&buf, "%s%s %s\n", s.name, s.labels, s.value())
	}
	return buf.WriteTo(w)
}

func (p *Page) sorted() []*series {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*series, 0, len(p.series))
	for _, s := range p.series {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].name != all[j].name {
			return all[i].name < all[j].name
		}
		return all[i].labels < all[j].labels
	})
	return all
}

func (p *Page) at(name string, tags map[string]string, kind seriesKind) *series {
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

// ReportCount adds to a counter.
func (s *series) ReportCount(value int64) { s.bits.Add(uint64(value)) }

// ReportGauge sets a gauge.
func (s *series) ReportGauge(value float64) { s.bits.Store(math.Float64bits(value)) }

// ReportSamples adds to a histogram's bucket.
func (s *series) ReportSamples(value int64) { s.bits.Add(uint64(value)) }

func (s *series) value() string {
	if s.kind == gaugeSeries {
		return strconv.FormatFloat(math.Float64frombits(s.bits.Load()), 'g', -1, 64)
	}
	return strconv.FormatInt(int64(s.bits.Load()), 10)
}

// String names the kind as the text format does.
func (k seriesKind) String() string {
	if k == gaugeSeries {
		return "gauge"
	}
	return "counter"
}

type timerSeries struct{ sum, count *series }

// ReportTimer adds one duration.
func (t timerSeries) ReportTimer(d time.Duration) {
	t.sum.ReportCount(d.Microseconds())
	t.count.ReportCount(1)
}

type histogramSeries struct {
	page *Page
	name string
	tags map[string]string
}

// ValueBucket returns the line of one bucket of plain values.
func (h histogramSeries) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return h.bucket(strconv.FormatFloat(upper, 'g', -1, 64))
}

// DurationBucket returns the line of one bucket of durations.
func (h histogramSeries) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	return h.bucket(upper.String())
}

func (h histogramSeries) bucket(upTo string) *series {
	tags := make(map[string]string, len(h.tags)+1)
	for k, v := range h.tags {
		tags[k] = v
	}
	// Each line counts its own bucket only; they aren't cumulative.
	tags["up_to"] = upTo
	return h.page.at(h.name+"_bucket", tags, counterSeries)
}

// formatLabels writes tags in order of name, so that one set of tags has one
// form.
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
