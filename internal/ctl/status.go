package ctl

import (
	"errors"
	"flag"
	"fmt"
	"strconv"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/operator/api"
	"tamarackchute/rules"
)

// instanceReport is what was learnt of one instance.
type instanceReport struct {
	Name string `json:"name"`
	// Error is set if it didn't answer.
	Error  string      `json:"error,omitempty"`
	Status *api.Status `json:"status,omitempty"`
}

// statusReport is the JSON form of "status".
type statusReport struct {
	Instances []instanceReport `json:"instances"`
}

func prepareStatus(*flag.FlagSet) runner { return showStatus }

func showStatus(s *session, _ []string) error {
	c, err := s.connect()
	if err != nil {
		return err
	}
	report, err := c.report(s)
	if err != nil {
		return err
	}
	if s.form == formJSON {
		return s.printJSON(report)
	}
	return s.printReport(report)
}

// report asks all instances at once. It fails if none answers, or if they
// refuse the token.
func (c *client) report(s *session) (statusReport, error) {
	reports := make([]instanceReport, len(c.instances))
	failures := make([]error, len(c.instances))
	var wg conc.WaitGroup
	for i, in := range c.instances {
		wg.Go(func() {
			r, err := c.call(s.ctx, in, fasthttp.MethodGet, api.PathStatus, nil)
			reports[i], failures[i] = newReport(in.Name, r, err)
		})
	}
	wg.Wait()
	answered := 0
	for i := range reports {
		var exit *exitError
		if errors.As(failures[i], &exit) && exit.code == ExitUnauthorised {
			return statusReport{}, failures[i]
		}
		if reports[i].Status != nil {
			answered++
		}
	}
	if answered == 0 {
		return statusReport{}, &exitError{code: ExitFailed, message: "no instance answers: " + reports[0].Error}
	}
	return statusReport{Instances: reports}, nil
}

func newReport(name string, r *reply, err error) (instanceReport, error) {
	if err != nil {
		return instanceReport{Name: name, Error: cause(err)}, err
	}
	if r.status != fasthttp.StatusOK {
		return instanceReport{Name: name, Error: r.failure().Error()}, r.failure()
	}
	var status api.Status
	if err := r.into(&status); err != nil {
		return instanceReport{Name: name, Error: err.Error()}, err
	}
	return instanceReport{Name: name, Status: &status}, nil
}

func (s *session) printReport(report statusReport) error {
	t := s.table("INSTANCE", "DATA CENTRE", "STATE", "LOG", "RULES", "REQUESTS", "REMARK")
	var teller *api.Status
	versions := map[rules.Version]int{}
	for _, r := range report.Instances {
		if r.Status == nil {
			t.row(r.Name, "", "no answer", "", "", "", r.Error)
			continue
		}
		if teller == nil {
			teller = r.Status
		}
		versions[r.Status.Rules.InForce]++
		t.row(r.Name, r.Status.DataCentre, stateOf(r.Status), upOrDown(r.Status.LogUp),
			r.Status.Rules.InForce.String(), strconv.Itoa(r.Status.Requests), remark(r.Status.Rules))
	}
	if err := t.end(); err != nil {
		return err
	}
	if len(versions) > 1 {
		fmt.Fprintf(s.Stdout, "%d versions of the rules are in force\n", len(versions))
	}
	fmt.Fprintln(s.Stdout)
	if err := s.printLeaders(teller); err != nil {
		return err
	}
	fmt.Fprintln(s.Stdout)
	return s.printUpstreams(teller)
}

func stateOf(st *api.Status) string {
	switch {
	case st.ShuttingDown:
		return "leaving"
	case st.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func upOrDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

// remark tells what an operator has to know of an instance's rules.
func remark(r rules.Status) string {
	switch {
	case r.Problem != "":
		return "version " + r.Accepted.String() + " doesn't compile here"
	case !r.Settled:
		return "records of the log were missed; waits for a checkpoint"
	case r.Faults.Contradictions > 0:
		return "a checkpoint or peer contradicts the log"
	default:
		return ""
	}
}

func (s *session) printLeaders(st *api.Status) error {
	t := s.table("SCOPE", "LEADER", "FENCING NUMBER", "SINCE")
	for _, l := range st.Leaders {
		t.row(l.Scope, l.Holder, strconv.FormatUint(l.FencingToken, 10), clock(l.Since))
	}
	return t.end()
}

func (s *session) printUpstreams(st *api.Status) error {
	t := s.table("UPSTREAM", "KIND", "DATA CENTRE", "POOL", "ROLE", "USABLE", "IN FLIGHT AT "+st.Instance, "CHANGE")
	for _, u := range st.Upstreams {
		usable := "no"
		if u.Usable {
			usable = "yes"
		}
		t.row(u.Name, u.Kind, u.DataCentre, u.Pool, u.Role, usable, strconv.Itoa(u.InFlight), u.Change)
	}
	return t.end()
}
