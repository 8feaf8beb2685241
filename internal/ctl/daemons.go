package ctl

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"tamarackchute/internal/daemonstatus"
)

// daemonReport is the status of one daemon, or the error of asking it.
type daemonReport struct {
	Address string `json:"address"`
	// Error is set if the daemon returned no status.
	Error  string               `json:"error,omitempty"`
	Status *daemonstatus.Daemon `json:"status,omitempty"`
}

func prepareDaemons(*flag.FlagSet) runner {
	return func(s *session, operands []string) error { return s.showDaemons(strings.Split(operands[0], ",")) }
}

// showDaemons queries all daemons concurrently. It fails if none answers.
func (s *session) showDaemons(addresses []string) error {
	reports := make([]daemonReport, len(addresses))
	var wg conc.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { reports[i] = s.askDaemon(address) })
	}
	wg.Wait()
	var responder *daemonstatus.Daemon
	for i := range reports {
		if reports[i].Status != nil && responder == nil {
			responder = reports[i].Status
		}
	}
	if responder == nil {
		return &exitError{code: ExitFailed, message: "no daemon answers: " + reports[0].Error}
	}
	if s.format == formatJSON {
		return s.printJSON(reports)
	}
	return s.printDaemons(reports, responder)
}

func (s *session) askDaemon(address string) daemonReport {
	status, err := s.fetchStatus(address)
	if err != nil {
		return daemonReport{Address: address, Error: err.Error()}
	}
	return daemonReport{Address: address, Status: status}
}

func (s *session) fetchStatus(address string) (*daemonstatus.Daemon, error) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+address+daemonstatus.Path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("%s answered with status %d", address, resp.StatusCode)
	}
	status := &daemonstatus.Daemon{}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxReply)).Decode(status); err != nil {
		return nil, eris.Wrapf(err, "%s answered in an unknown form", address)
	}
	return status, nil
}

func (s *session) printDaemons(reports []daemonReport, responder *daemonstatus.Daemon) error {
	t := s.table("DAEMON", "DATA CENTRE", "STATE", "LEASE", "CONFIGURATION", "STORE ERA", "LIST READ", "REQUESTS")
	for _, r := range reports {
		if r.Status == nil {
			t.row(r.Address, "", "no answer: "+r.Error)
			continue
		}
		t.row(r.Status.Instance, r.Status.DataCentre, daemonState(r.Status), leaseState(r.Status.Lease),
			strconv.FormatUint(r.Status.ConfigVersion, 10), strconv.FormatUint(r.Status.StoreEra, 10), formatAge(r.Status.UpstreamsAgeMS), strconv.FormatInt(r.Status.Requests, 10))
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintf(s.Stdout, "\nas %s knows:\n", responder.Instance)
	if err := s.printPeers(responder.Peers); err != nil {
		return err
	}
	if err := s.printServers(responder.Upstreams); err != nil {
		return err
	}
	return s.printRetryBudgets(responder.RetryBudgets)
}

func daemonState(d *daemonstatus.Daemon) string {
	switch {
	case d.ShuttingDown:
		return "stopping"
	case d.Ready && d.KeysUsable != nil && !*d.KeysUsable:
		return "ready, keys stale"
	case d.Ready && d.ConfigRejected != nil:
		return "ready, configuration rejected"
	case d.Ready && d.NewestConfig > d.ConfigVersion:
		return "ready, configuration outdated"
	case d.Ready && len(d.LostPools) > 0:
		return "ready, no path to " + strings.Join(d.LostPools, ", ")
	case d.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func leaseState(l daemonstatus.Lease) string {
	switch {
	case l.Held:
		return "holder, fence " + strconv.FormatUint(l.FencingToken, 10)
	case l.Candidate:
		return "candidate"
	default:
		return ""
	}
}

func formatAge(ms float64) string { return strconv.FormatFloat(ms/1000, 'f', 1, 64) + " s ago" }

func (s *session) printPeers(peers []daemonstatus.Peer) error {
	t := s.table("PEER", "DATA CENTRE", "STATE", "CONFIGURATION", "HEARD")
	for _, p := range peers {
		state := "silent"
		switch {
		case p.Up && p.Serving && p.PathLost:
			state = "serving, no path"
		case p.Up && p.Serving:
			state = "serving"
		case p.Up:
			state = "up"
		}
		t.row(p.Instance, p.DataCentre, state, strconv.FormatUint(p.ConfigVersion, 10), formatAge(p.UpdateAgeMS))
	}
	return t.flush()
}

func (s *session) printServers(servers []daemonstatus.Upstream) error {
	fmt.Fprintln(s.Stdout)
	t := s.table("SERVER", "POOL", "DATA CENTRE", "ADDRESS", "ROLE", "STATE", "RUNNING")
	for _, u := range servers {
		state := "not used"
		switch {
		case u.Draining:
			state = "leaving"
		case u.Usable:
			state = "used"
		}
		if u.LimitPerSecond != nil {
			state += fmt.Sprintf(", %g a second", *u.LimitPerSecond)
		}
		t.row(u.ID, u.Pool, u.DataCentre, u.Address, u.Role, state, fmt.Sprintf("%d of %d", u.Running, u.Slots))
	}
	return t.flush()
}

func (s *session) printRetryBudgets(budgets []daemonstatus.RetryBudget) error {
	fmt.Fprintln(s.Stdout)
	t := s.table("POOL", "REQUESTS", "REPEATS", "ALLOWED")
	for _, b := range budgets {
		t.row(b.Pool, fmt.Sprintf("%.0f", b.Requests), fmt.Sprintf("%.0f", b.Retries), fmt.Sprintf("%.1f", b.Allowed))
	}
	return t.flush()
}
