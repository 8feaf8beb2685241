package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/settings"
)

// Counters are the stand-ins' counters. They tell what the system did to its upstreams
// independently of what it reports. standin.EngineCounters and standin.ServiceCounters define
// them, under the same JSON keys.
type Counters struct {
	Tokens               int64 `json:"tokens"`
	InterruptedByOrder   int64 `json:"cut_by_order"`
	InterruptedByCrash   int64 `json:"cut_by_crash"`
	RoleChanges          int64 `json:"role_changes"`
	ConflictingOrders    int64 `json:"conflicting_orders"`
	WorkAfterTermination int64 `json:"work_after_leaving"`
	Keys                 int64 `json:"keys"`
	RanTwice             int64 `json:"ran_twice"`
}

func (c *Counters) add(o Counters) {
	c.Tokens += o.Tokens
	c.InterruptedByOrder += o.InterruptedByOrder
	c.InterruptedByCrash += o.InterruptedByCrash
	c.RoleChanges += o.RoleChanges
	c.ConflictingOrders += o.ConflictingOrders
	c.WorkAfterTermination += o.WorkAfterTermination
	// Services of one process share these counters, so their sum would count a call repeatedly.
	c.Keys = max(c.Keys, o.Keys)
	c.RanTwice = max(c.RanTwice, o.RanTwice)
}

// since returns the difference from earlier counters.
func (c Counters) since(before Counters) Counters {
	return Counters{
		Tokens:               c.Tokens - before.Tokens,
		InterruptedByOrder:   c.InterruptedByOrder - before.InterruptedByOrder,
		InterruptedByCrash:   c.InterruptedByCrash - before.InterruptedByCrash,
		RoleChanges:          c.RoleChanges - before.RoleChanges,
		ConflictingOrders:    c.ConflictingOrders - before.ConflictingOrders,
		WorkAfterTermination: c.WorkAfterTermination - before.WorkAfterTermination,
		Keys:                 c.Keys - before.Keys,
		RanTwice:             c.RanTwice - before.RanTwice,
	}
}

// Standins reads the stand-ins' counters and sets their faults.
type Standins struct {
	Client *http.Client
	// Control is the address of the control page for all stand-ins, which also answers for
	// crashed ones. If it is empty, each upstream is queried at its own address.
	Control   string
	Upstreams []settings.Upstream
}

// Counters returns the sum of all upstreams' counters.
func (s Standins) Counters(ctx context.Context) (Counters, error) {
	var sum Counters
	if s.Control != "" {
		err := s.get(ctx, "http://"+s.Control+"/totals", &sum)
		return sum, err
	}
	for _, u := range s.Upstreams {
		var one Counters
		if err := s.get(ctx, "http://"+u.Address+"/counters", &one); err != nil {
			return sum, err
		}
		sum.add(one)
	}
	return sum, nil
}

func (s Standins) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "counters")
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return eris.Wrap(err, "counters")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("counters: status %d from %s", resp.StatusCode, url)
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(into), "counters")
}

// SetFaults sets the faults of the named stand-in in the JSON form that stand-ins accept. It needs
// the control page.
func (s Standins) SetFaults(ctx context.Context, name string, faults []byte) error {
	url := "http://" + s.Control + "/parts/" + name + "/faults"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(faults))
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("faults: status %d for %s", resp.StatusCode, name)
	}
	return nil
}
