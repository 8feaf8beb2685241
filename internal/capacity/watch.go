package capacity

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"gonum.org/v1/gonum/stat"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/controller"
	"tamarackchute/internal/settings"
)

// The roles of processes.
const (
	roleEntry    = "entry"
	roleLeader   = "leader"
	roleFollower = "follower"
	roleLog      = "log"
)

// Watch measures running processes over some windows of time.
type Watch struct {
	Deployment *settings.Deployment
	// PIDs are by entry/NAME and controller/NAME, NAME being the instance's.
	PIDs map[string]int
	// Control is the address of the stand-ins' control page.
	Control string
	// Token is an operator's, for the controllers' pages.
	Token   string
	Series  string
	Size    int
	Windows int
	Window  time.Duration
}

// Run returns the mean of each role and unit in each window.
func (w Watch) Run(ctx context.Context) ([]Sample, error) {
	roles, err := w.roles(ctx)
	if err != nil {
		return nil, err
	}
	before, err := w.look(ctx)
	if err != nil {
		return nil, err
	}
	var all []Sample
	for range w.Windows {
		time.Sleep(w.Window)
		after, err := w.look(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, w.samples(roles, before, after)...)
		before = after
	}
	// A change of leaders in between would have mixed the roles up.
	now, err := w.roles(ctx)
	if err != nil {
		return nil, err
	}
	if !maps.Equal(roles, now) {
		return nil, eris.New("leaders changed during the measurement")
	}
	return all, nil
}

// roles gives each process its role. A controller's own page says whether it
// leads.
func (w Watch) roles(ctx context.Context) (map[string]string, error) {
	roles := map[string]string{}
	for name := range w.PIDs {
		program, instance, _ := strings.Cut(name, "/")
		if program == roleEntry {
			roles[name] = roleEntry
			continue
		}
		in, ok := w.Deployment.Instance(instance)
		if !ok {
			return nil, eris.Errorf("the settings name no instance %q", instance)
		}
		leads, err := w.leads(ctx, in)
		if err != nil {
			return nil, eris.Wrapf(err, "status of %s", name)
		}
		roles[name] = roleFollower
		if leads {
			roles[name] = roleLeader
		}
	}
	return roles, nil
}

// leads asks an instance's controller whether it leads any scope.
func (w Watch) leads(ctx context.Context, in settings.Instance) (bool, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/status")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+w.Token)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := httpx.New(in.ControllerOperators, httpx.Options{}).Do(ctx, req, resp); err != nil {
		return false, err
	}
	if !httpx.IsSuccess(resp.StatusCode()) {
		return false, httpx.StatusOf(resp)
	}
	var page controller.Status
	if err := json.Unmarshal(resp.Body(), &page); err != nil {
		return false, err
	}
	return slices.ContainsFunc(page.Scopes, func(s controller.ScopeStatus) bool { return s.Led }), nil
}

// looked is one look at all processes and at the log.
type looked struct {
	usage   map[string]Usage
	appends float64
}

// totals is what is needed of the stand-ins' page.
type totals struct {
	LogAppends float64 `json:"log_appends"`
}

func (w Watch) look(ctx context.Context) (looked, error) {
	l := looked{usage: map[string]Usage{}}
	t, err := httpx.GetJSON[totals](ctx, httpx.New(w.Control, httpx.Options{}), "/totals")
	if err != nil {
		return l, eris.Wrap(err, "stand-ins")
	}
	l.appends = t.LogAppends
	for name, pid := range w.PIDs {
		if l.usage[name], err = UsageOf(pid); err != nil {
			return l, eris.Wrap(err, name)
		}
	}
	return l, nil
}

func (w Watch) samples(roles map[string]string, before, after looked) []Sample {
	values := map[string]map[Unit][]float64{}
	for name, role := range roles {
		if values[role] == nil {
			values[role] = map[Unit][]float64{}
		}
		a, b := before.usage[name], after.usage[name]
		seconds := b.At.Sub(a.At).Seconds()
		v := values[role]
		v[NanosSec] = append(v[NanosSec], float64(b.CPU-a.CPU)/seconds)
		v[BytesSec] = append(v[BytesSec], float64(b.Bytes-a.Bytes)/seconds)
		v[Bytes] = append(v[Bytes], float64(b.Resident))
	}
	var all []Sample
	for _, role := range slices.Sorted(maps.Keys(values)) {
		for _, unit := range slices.Sorted(maps.Keys(values[role])) {
			mean := stat.Mean(values[role][unit], nil)
			all = append(all, Sample{Role: role, Series: w.Series, Size: w.Size, Unit: unit, Value: mean})
		}
	}
	if _, varied := seriesOf[w.Series]; varied {
		return all // the log's rate follows the leaders, of which these have one
	}
	rate := (after.appends - before.appends) / w.Window.Seconds()
	return append(all, Sample{Role: roleLog, Series: w.Series, Size: w.Size, Unit: PerSec, Value: rate})
}
