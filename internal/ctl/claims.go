package ctl

import (
	"flag"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/operator/api"
	"tamarackchute/internal/settings"
)

func prepareClaimsStatus(*flag.FlagSet) runner { return showClaims }

// claimsReport is the JSON output of "claims status" for one instance.
type claimsReport struct {
	Instance string `json:"instance"`
	// Error is set if the instance returned no status.
	Error  string           `json:"error,omitempty"`
	Claims *api.ClaimStatus `json:"claims,omitempty"`
}

func showClaims(s *session, _ []string) error {
	c, err := s.connect()
	if err != nil {
		return err
	}
	report, err := c.collectStatus(s)
	if err != nil {
		return err
	}
	if s.format == formatJSON {
		all := make([]claimsReport, len(report.Instances))
		for i, r := range report.Instances {
			all[i] = claimsReport{Instance: r.Name, Error: r.Error}
			if r.Status != nil {
				all[i].Claims = &r.Status.Claims
			}
		}
		return s.printJSON(all)
	}
	t := s.table("INSTANCE", "HISTORY", "KEYS", "REMARK")
	for _, r := range report.Instances {
		if r.Status == nil {
			t.row(r.Name, "no answer", "", r.Error)
			continue
		}
		history := "incomplete"
		if r.Status.Claims.Complete {
			history = "complete"
		}
		t.row(r.Name, history, strconv.Itoa(r.Status.Claims.Keys), "")
	}
	return t.flush()
}

func prepareAcceptGap(flags *flag.FlagSet) runner {
	reason := flags.String("reason", "", "`text` for the audit trail; needed")
	force := flags.Bool("force", false, "accept although some instance doesn't answer; right only if it is down")
	return func(s *session, _ []string) error {
		if *reason == "" {
			return usageError("claims accept-gap needs -reason")
		}
		c, err := s.connect()
		if err != nil {
			return err
		}
		report, err := c.collectStatus(s)
		if err != nil {
			return err
		}
		at, err := gapToAccept(report, *force)
		if err != nil {
			return err
		}
		return c.acceptGap(s, at, *reason)
	}
}

// gapToAccept returns the name of the instance at which to accept the gap. It fails
// while an instance has, or may have, the complete history: that instance still knows
// keys that the others would treat as unused.
func gapToAccept(report statusReport, force bool) (string, error) {
	at := ""
	var unreachable []string
	for _, r := range report.Instances {
		switch {
		case r.Status == nil:
			unreachable = append(unreachable, r.Name)
		case r.Status.Claims.Complete:
			return "", &exitError{code: ExitFailed, message: "not accepted: " + r.Name +
				" has the complete history; its checkpoint closes the others' gap"}
		case at == "":
			at = r.Name
		}
	}
	if len(unreachable) > 0 && !force {
		return "", &exitError{code: ExitFailed, message: "not accepted: no answer from " +
			strings.Join(unreachable, ", ") + ", which may have the complete history; if it is down, give -force"}
	}
	return at, nil
}

// acceptGap sends the acceptance to one instance, without retries. Accepting again
// after it took effect has no effect, so the operator may repeat the command.
func (c *client) acceptGap(s *session, at, reason string) error {
	in := c.instance(at)
	r, err := c.call(s.ctx, in, fasthttp.MethodPost, api.PathAcceptGap, api.AcceptGapRequest{Reason: reason})
	switch {
	case err != nil && mayHaveRun(err):
		return &exitError{code: ExitUnknown, message: "outcome unknown, look at claims status: " + at + ": " + cause(err)}
	case err != nil:
		return &exitError{code: ExitFailed, message: "not accepted: " + at + ": " + cause(err)}
	case r.status == fasthttp.StatusGatewayTimeout:
		return &exitError{code: ExitUnknown, message: "outcome unknown, look at claims status: " + r.failure().Error()}
	case r.status != fasthttp.StatusNoContent:
		return r.failure()
	}
	if s.format == formatJSON {
		return s.printJSON(acceptedGap{Instance: at})
	}
	fmt.Fprintf(s.Stdout, "accepted at %s; the other instances follow its checkpoint\n", at)
	return nil
}

// acceptedGap is the JSON output of "claims accept-gap".
type acceptedGap struct {
	// Instance is the name of the instance that accepted the gap.
	Instance string `json:"accepted_at"`
}

// instance returns the settings of an instance by its name, which must be known.
func (c *client) instance(name string) settings.Instance {
	for _, in := range c.instances {
		if in.Name == name {
			return in
		}
	}
	panic("ctl: report of an unknown instance")
}
