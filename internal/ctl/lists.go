package ctl

import (
	"flag"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/operator/api"
)

// defaultEntries is the default of -n, the number of listed entries.
const defaultEntries = 20

func pathWithCount(path string, n int) string {
	return path + "?" + url.Values{api.ParamCount: {strconv.Itoa(n)}}.Encode()
}

func prepareHistory(flags *flag.FlagSet) runner {
	n := flags.Int("n", defaultEntries, "`number` of publications")
	return func(s *session, _ []string) error {
		var history api.History
		if done, err := s.fetch(pathWithCount(api.PathHistory, *n), &history); done || err != nil {
			return err
		}
		t := s.table("VERSION", "OUTCOME", "BASE", "AT", "BY", "NOTE")
		for _, v := range history.Publications {
			outcome := string(v.Outcome)
			if v.Forced {
				outcome += ", forced"
			}
			t.row(v.Version.String(), outcome, v.Base.String(), formatTime(v.At), v.Author, v.Note)
		}
		return t.flush()
	}
}

func prepareAudit(flags *flag.FlagSet) runner {
	n := flags.Int("n", defaultEntries, "`number` of records")
	return func(s *session, _ []string) error {
		var trail api.Audit
		if done, err := s.fetch(pathWithCount(api.PathAudit, *n), &trail); done || err != nil {
			return err
		}
		t := s.table("AT", "WHO", "WHAT", "TARGET", "FROM", "TO", "REASON")
		for _, r := range trail.Records {
			t.row(formatTime(r.At), r.Who, string(r.What), r.Target, r.From, r.To, r.Reason)
		}
		return t.flush()
	}
}

// fetch decodes the response of the first instance that answers. With JSON output it
// prints the response itself and reports done.
func (s *session) fetch(path string, into any) (done bool, err error) {
	c, err := s.connect()
	if err != nil {
		return false, err
	}
	r, err := c.first(s.ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return false, err
	}
	if err := r.decode(into); err != nil {
		return false, err
	}
	if s.format == formatJSON {
		return true, s.printJSON(into)
	}
	return false, nil
}

func formatTime(at time.Time) string { return at.UTC().Format(time.RFC3339) }

// table prints rows with aligned columns.
type table struct{ w *tabwriter.Writer }

const columnGap = 2

func (s *session) table(titles ...string) table {
	t := table{w: tabwriter.NewWriter(s.Stdout, 0, 0, columnGap, ' ', 0)}
	t.row(titles...)
	return t
}

// row prints one row, with "-" for empty cells.
func (t table) row(cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t table) flush() error { return t.w.Flush() }
